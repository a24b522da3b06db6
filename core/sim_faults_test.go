package core

import (
	"fmt"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

const (
	hostCount    = 5 // the first three are durable
	voterCount   = 3
	targetCount  = 6
	targetSlots  = 3
	clockSpread  = 4900 // parts per million off the true rate: under 1% between two hosts
	faultsBegin  = 5 * second
	faultSpacing = 1200 * ms
)

func (w *world) build() {
	var voters []consensus.NodeID
	for i := range hostCount {
		h := &host{
			w: w, id: model.HostID(fmt.Sprintf("h%d", i+1)), dc: centres[i%len(centres)], durable: i < voterCount,
			offset: w.between(0, 1000*second), ppm: w.between(-clockSpread, clockSpread),
		}
		w.hosts = append(w.hosts, h)
		if h.durable {
			voters = append(voters, consensus.NodeID{Host: h.id, Incarnation: "disk"})
		}
	}
	for i := range targetCount {
		id := fmt.Sprintf("t%d", i+1)
		service := model.ServiceID("render")
		if i >= 4 {
			service = "index"
		}
		w.targets = append(w.targets, &target{w: w, reg: fleet.Target{
			ID: model.TargetID(id), Address: targetAddress(i + 1), Service: service,
			Host: model.HostID("m" + id), DataCentre: centres[i%len(centres)], Slots: targetSlots, Connections: 64,
		}})
	}
	for _, h := range w.hosts {
		if h.durable {
			h.disk.stored = consensus.Bootstrap[fleet.Command, *fleet.State](voters)
		}
		h.disk.identity = "disk"
		h.start()
	}
	for _, t := range w.targets {
		t.start()
	}
}

// injectFaults breaks things until faultsEnd and then makes them whole.
func (w *world) injectFaults() {
	w.every(faultSpacing/instant(1+w.rng.IntN(2)), func() {
		if w.now > faultsBegin && w.faults() {
			w.fault()
		}
	})
	// One disk only: the entries that it held are on one other disk, until the
	// new member has them.
	if w.chance(0.3) {
		w.at(w.between(faultsBegin, faultsEnd-10*second), pickOne(w, w.hosts[:voterCount]).loseDisk)
	}
	w.at(faultsEnd, w.heal)
}

func (w *world) fault() {
	h := pickOne(w, w.hosts)
	switch w.rng.IntN(16) {
	case 0:
		w.cutOneWay(h, pickOne(w, w.hosts))
	case 1, 2:
		w.isolate(h, w.chance(0.5))
	case 3, 4:
		h.freeze(w.between(100*ms, 4*second))
	case 5:
		h.crash()
		h.restartAfter(w.between(100*ms, 4*second))
	case 6, 7:
		w.killLeader()
	case 8:
		w.stop(h)
	case 9:
		if l := w.leader(); l != nil {
			w.stop(l)
		}
	case 10:
		w.killTarget()
	case 11:
		w.leaveTarget()
	case 12:
		w.changeTarget()
	case 13:
		w.crashSeveral()
	case 14, 15:
		w.isolateBusyLeader()
	}
}

func (w *world) stop(h *host) {
	// A stop takes some seconds, and is over when the faults end.
	if h.up && w.now < faultsEnd-6*second {
		w.note("%s is told to stop", h.id)
		h.post(h.life, event.StopRequested{})
	}
}

func (w *world) leader() *host {
	for _, h := range w.hosts {
		if h.up && !h.frozen && h.state.leading != nil {
			return h
		}
	}
	return nil
}

func (w *world) killLeader() {
	if l := w.leader(); l != nil {
		l.crash()
		l.restartAfter(w.between(100*ms, 3*second))
	}
}

func (w *world) crashSeveral() {
	for _, h := range w.hosts {
		if w.chance(0.6) {
			h.crash()
			h.restartAfter(w.between(100*ms, 2*second))
		}
	}
}

// isolateBusyLeader cuts the leader off and lets it have requests of its own,
// which it can start until its lease ends.
func (w *world) isolateBusyLeader() {
	l := w.leader()
	if l == nil {
		return
	}
	for range 30 {
		w.after(w.between(0, 2*second), func() { w.callAt(l, pickOne(w, queues)) })
	}
	w.isolate(l, true)
}

func (w *world) cutOneWay(a, b *host) {
	w.cutFor(w.between(300*ms, 4*second), a.id, b.id)
}

// isolate cuts a host from all others, from its own side only or both ways.
func (w *world) isolate(h *host, both bool) {
	d := w.between(300*ms, 4*second)
	for _, o := range w.hosts {
		if o == h {
			continue
		}
		w.cutFor(d, h.id, o.id)
		if both {
			w.cutFor(d, o.id, h.id)
		}
	}
}

func (w *world) cutFor(d instant, a, b model.HostID) {
	if a == b {
		return
	}
	w.note("cut %s to %s for %d ms", a, b, d/ms)
	pair := [2]model.HostID{a, b}
	w.cut[pair] = true
	w.after(d, func() { delete(w.cut, pair) })
}

func (w *world) killTarget() {
	if list := w.liveTargets(); len(list) > 0 {
		t := pickOne(w, list)
		t.die()
		w.after(w.between(100*ms, 4*second), t.restart)
	}
}

// leaveTarget lets a target leave, and return with the same address.
func (w *world) leaveTarget() {
	list := w.liveTargets()
	if len(list) == 0 {
		return
	}
	t := pickOne(w, list)
	t.leave()
	life := t.life
	w.after(w.between(4500*ms, 6*second), func() {
		if t.life == life && t.up {
			t.die()
			w.after(w.between(100*ms, 2*second), t.restart)
		}
	})
}

// changeTarget changes the registration of a running target.
func (w *world) changeTarget() {
	t := pickOne(w, w.targets)
	t.reg.Slots = 2 + w.rng.IntN(3)
	w.note("target %s now has %d slots", t.reg.ID, t.reg.Slots)
}

func (w *world) heal() {
	w.note("faults end")
	clear(w.cut)
	for _, h := range w.hosts {
		if h.frozen {
			h.thaw(h.life)
		}
		if !h.up {
			h.start()
		}
	}
	for _, t := range w.targets {
		if t.up && t.leaving {
			t.die()
		}
		if !t.up {
			t.start()
		}
	}
}
