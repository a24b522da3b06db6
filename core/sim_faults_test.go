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
	clockSpread  = 4900 // largest clock error in parts per million; two hosts differ by less than 1%
	faultsBegin  = 5 * second
	faultSpacing = 1200 * ms
)

func (sim *simulation) build() {
	var voters []consensus.NodeID
	for i := range hostCount {
		h := &host{
			sim: sim, id: model.HostID(fmt.Sprintf("h%d", i+1)), dc: dataCentres[i%len(dataCentres)], durable: i < voterCount,
			offset: sim.between(0, 1000*second), ppm: sim.between(-clockSpread, clockSpread),
		}
		sim.hosts = append(sim.hosts, h)
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
		sim.targets = append(sim.targets, &target{sim: sim, reg: fleet.Target{
			ID: model.TargetID(id), Address: targetAddress(i + 1), Service: service,
			Host: model.HostID("m" + id), DataCentre: dataCentres[i%len(dataCentres)], Slots: targetSlots, Connections: 64,
		}})
	}
	for _, h := range sim.hosts {
		if h.durable {
			h.disk.stored = consensus.Bootstrap[fleet.Command, *fleet.State](voters)
		}
		h.disk.identity = "disk"
		h.start()
	}
	for _, t := range sim.targets {
		t.start()
	}
}

// scheduleFaults injects faults until faultsEnd and then repairs everything.
func (sim *simulation) scheduleFaults() {
	sim.every(faultSpacing/instant(1+sim.rng.IntN(2)), func() {
		if sim.now > faultsBegin && sim.inFaultPhase() {
			sim.injectFault()
		}
	})
	// At most one disk is lost: until the new member has its entries, they may be on
	// one other disk only.
	if sim.chance(0.3) {
		sim.at(sim.between(faultsBegin, faultsEnd-10*second), pickOne(sim, sim.hosts[:voterCount]).loseDisk)
	}
	sim.at(faultsEnd, sim.heal)
}

func (sim *simulation) injectFault() {
	h := pickOne(sim, sim.hosts)
	switch sim.rng.IntN(16) {
	case 0:
		sim.partitionOneWay(h, pickOne(sim, sim.hosts))
	case 1, 2:
		sim.isolate(h, sim.chance(0.5))
	case 3, 4:
		h.freeze(sim.between(100*ms, 4*second))
	case 5:
		h.crash()
		h.restartAfter(sim.between(100*ms, 4*second))
	case 6, 7:
		sim.killLeader()
	case 8:
		sim.stop(h)
	case 9:
		if l := sim.leader(); l != nil {
			sim.stop(l)
		}
	case 10:
		sim.killTarget()
	case 11:
		sim.leaveTarget()
	case 12:
		sim.changeTarget()
	case 13:
		sim.crashSeveral()
	case 14, 15:
		sim.isolateBusyLeader()
	}
}

func (sim *simulation) stop(h *host) {
	// A stop takes some seconds and has to be over when the faults end.
	if h.up && sim.now < faultsEnd-6*second {
		sim.tracef("%s is told to stop", h.id)
		h.deliver(h.incarnation, event.StopRequested{})
	}
}

func (sim *simulation) leader() *host {
	for _, h := range sim.hosts {
		if h.up && !h.frozen && h.state.leading != nil {
			return h
		}
	}
	return nil
}

func (sim *simulation) killLeader() {
	if l := sim.leader(); l != nil {
		l.crash()
		l.restartAfter(sim.between(100*ms, 3*second))
	}
}

func (sim *simulation) crashSeveral() {
	for _, h := range sim.hosts {
		if sim.chance(0.6) {
			h.crash()
			h.restartAfter(sim.between(100*ms, 2*second))
		}
	}
}

// isolateBusyLeader cuts the leader off and sends it requests, which it can start until
// its lease ends.
func (sim *simulation) isolateBusyLeader() {
	l := sim.leader()
	if l == nil {
		return
	}
	for range 30 {
		sim.after(sim.between(0, 2*second), func() { sim.callAt(l, pickOne(sim, queues)) })
	}
	sim.isolate(l, true)
}

func (sim *simulation) partitionOneWay(a, b *host) {
	sim.blockLink(sim.between(300*ms, 4*second), a.id, b.id)
}

// isolate blocks the messages of a host to all others and, if both is set, also the
// messages in the other direction.
func (sim *simulation) isolate(h *host, both bool) {
	d := sim.between(300*ms, 4*second)
	for _, o := range sim.hosts {
		if o == h {
			continue
		}
		sim.blockLink(d, h.id, o.id)
		if both {
			sim.blockLink(d, o.id, h.id)
		}
	}
}

func (sim *simulation) blockLink(d instant, a, b model.HostID) {
	if a == b {
		return
	}
	sim.tracef("cut %s to %s for %d ms", a, b, d/ms)
	pair := [2]model.HostID{a, b}
	sim.blocked[pair] = true
	sim.after(d, func() { delete(sim.blocked, pair) })
}

func (sim *simulation) killTarget() {
	if list := sim.liveTargets(); len(list) > 0 {
		t := pickOne(sim, list)
		t.kill()
		sim.after(sim.between(100*ms, 4*second), t.restart)
	}
}

// leaveTarget makes a target leave and return with the same address.
func (sim *simulation) leaveTarget() {
	list := sim.liveTargets()
	if len(list) == 0 {
		return
	}
	t := pickOne(sim, list)
	t.leave()
	incarnation := t.incarnation
	sim.after(sim.between(4500*ms, 6*second), func() {
		if t.incarnation == incarnation && t.up {
			t.kill()
			sim.after(sim.between(100*ms, 2*second), t.restart)
		}
	})
}

// changeTarget changes the number of slots in the registration of a target.
func (sim *simulation) changeTarget() {
	t := pickOne(sim, sim.targets)
	t.reg.Slots = 2 + sim.rng.IntN(3)
	sim.tracef("target %s now has %d slots", t.reg.ID, t.reg.Slots)
}

func (sim *simulation) heal() {
	sim.tracef("faults end")
	clear(sim.blocked)
	for _, h := range sim.hosts {
		if h.frozen {
			h.thaw(h.incarnation)
		}
		if !h.up {
			h.start()
		}
	}
	for _, t := range sim.targets {
		if t.up && t.leaving {
			t.kill()
		}
		if !t.up {
			t.start()
		}
	}
}
