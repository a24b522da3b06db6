package core

import (
	"fmt"
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/view"
)

// host is one simulated host of the system.
type host struct {
	sim     *simulation
	id      model.HostID
	dc      model.DataCentreID
	durable bool
	offset  instant
	ppm     int64 // error of the clock's rate in parts per million

	up          bool
	incarnation int
	frozen      bool
	backlog     []event.Event
	state       *State
	view        *view.View
	revision    uint64 // largest rules revision published by this process
	reports     uint64
	replies     map[uint64]func(message.ReportReply)
	disk        disk
}

// disk holds what was synced. A crash loses the writes in flight, except for a prefix
// that may have reached the disk without being reported.
type disk struct {
	identity model.Incarnation
	stored   Stored
	pending  []effect.Persist
	busy     bool
}

func (d *disk) write(p effect.Persist) {
	if p.Snapshot != nil {
		d.stored.Snapshot = p.Snapshot
		if p.Install {
			d.stored.Entries = nil
		}
	}
	if p.HardState != nil {
		d.stored.HardState = *p.HardState
	}
	if len(p.Entries) == 0 {
		return
	}
	first := p.Entries[0].Index
	keep := slices.IndexFunc(d.stored.Entries, func(e consensus.Entry[fleet.Command]) bool { return e.Index >= first })
	if keep < 0 {
		keep = len(d.stored.Entries)
	}
	d.stored.Entries = append(d.stored.Entries[:keep:keep], p.Entries...)
}

// toLocal converts true time to the host's clock, and toTrueTime converts it back.
func (h *host) toLocal(t instant) model.Time {
	return model.Time(h.offset + t + t/1_000_000*h.ppm)
}

func (h *host) toTrueTime(t model.Time) instant {
	return (int64(t)-h.offset)/(1_000_000+h.ppm)*1_000_000 + 1
}

func (h *host) now() model.Time { return h.toLocal(h.sim.now) }

// maxClockStep is the largest jump of the time of day, either way. A process reads the
// time of day only when it starts, so that a jump shows in its next incarnation.
const maxClockStep = 10 * second

func (h *host) start() {
	sim := h.sim
	h.incarnation++
	h.offset = max(0, h.offset+sim.between(-maxClockStep, maxClockStep))
	h.up, h.frozen, h.backlog = true, false, nil
	h.view, h.revision = &view.View{}, 0
	h.replies = make(map[uint64]func(message.ReportReply))
	inc := model.Incarnation(fmt.Sprintf("%s-%d", h.id, h.incarnation))
	cfg := Config{Host: h.id, DataCentre: h.dc, Incarnation: inc, Replica: inc, Durable: h.durable, MaxVoters: voterCount, SnapshotEvery: 100}
	if h.durable {
		cfg.Replica = h.disk.identity
	} else {
		h.disk = disk{}
	}
	for _, o := range sim.hosts {
		if o != h {
			cfg.Peers = append(cfg.Peers, o.id)
		}
	}
	stored := h.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	s, err := New(cfg, stored, h.now(), sim.rng.Uint64())
	if err != nil {
		sim.fail("host %s does not start: %v", h.id, err)
		return
	}
	h.state = s
	sim.tracef("%s starts incarnation %d", h.id, h.incarnation)
	h.tick(h.incarnation)
}

func (h *host) tick(incarnation int) {
	if h.incarnation != incarnation || !h.up {
		return
	}
	if !h.frozen {
		h.handle(event.Tick{})
	}
	h.sim.after(50*ms, func() { h.tick(incarnation) })
}

// deliver hands an event to the process for which it is meant, if that still runs.
func (h *host) deliver(incarnation int, e event.Event) {
	if h.incarnation != incarnation || !h.up {
		return
	}
	if h.frozen {
		h.backlog = append(h.backlog, e)
		return
	}
	h.handle(e)
}

func (h *host) handle(e event.Event) {
	sim := h.sim
	effects := Reduce(h.state, event.Input{At: h.now(), Rand: sim.rng.Uint64(), Event: e})
	sim.observe(h)
	incarnation := h.incarnation
	for _, f := range effects {
		if h.incarnation != incarnation || !h.up {
			return
		}
		h.execute(f)
	}
}

func (h *host) execute(f effect.Effect) {
	sim, incarnation := h.sim, h.incarnation
	switch f := f.(type) {
	case effect.Send:
		to := sim.host(f.To)
		if !to.up {
			return
		}
		toIncarnation := to.incarnation
		sim.transmit(h.id, f.To, func() { to.deliver(toIncarnation, event.Received{From: h.id, Message: f.Message}) })
	case effect.Persist:
		h.disk.pending = append(h.disk.pending, f)
		h.sync(incarnation)
	case effect.Forward:
		h.forward(f)
	case effect.AnswerRequest:
		sim.requestAnswered(h, f)
	case effect.AnswerCommand:
		sim.commandAnswered(h, f)
	case effect.AnswerReport:
		if reply := h.replies[f.Reply.Report]; reply != nil {
			delete(h.replies, f.Reply.Report)
			reply(f.Reply)
		}
	case effect.Publish:
		h.view = f.View
		sim.viewPublished(h)
	case effect.Log:
		sim.tracef("%s log %s %s %s %s term=%d index=%d", h.id, f.Code, f.Target, f.Request, f.Detail, f.Term, f.Index)
	case effect.Halt:
		sim.hostHalted(h, f)
	}
}

func (h *host) sync(incarnation int) {
	sim := h.sim
	if h.disk.busy || len(h.disk.pending) == 0 {
		return
	}
	h.disk.busy = true
	lag := sim.between(ms/2, 4*ms)
	if sim.minorFault(0.01) {
		lag = sim.between(4*ms, 500*ms)
	}
	sim.after(lag, func() {
		if h.incarnation != incarnation || !h.up {
			return
		}
		h.disk.busy = false
		n := 1 + sim.rng.IntN(len(h.disk.pending))
		var done event.Persisted
		for _, p := range h.disk.pending[:n] {
			h.disk.write(p)
			if p.Term != 0 {
				done = event.Persisted{Term: p.Term, Index: p.Index}
			}
		}
		h.disk.pending = h.disk.pending[n:]
		h.sync(incarnation)
		if done.Term != 0 {
			h.deliver(incarnation, done)
		}
	})
}

// crash ends the process. Messages that it has sent may still arrive.
func (h *host) crash() {
	if !h.up {
		return
	}
	h.sim.tracef("%s crashes", h.id)
	h.stopped()
	if n := len(h.disk.pending); n > 0 {
		for _, p := range h.disk.pending[:h.sim.rng.IntN(n+1)] {
			h.disk.write(p)
		}
	}
	h.disk.pending, h.disk.busy = nil, false
}

// loseDisk crashes the process and replaces its data folder by an empty one with a new
// identity.
func (h *host) loseDisk() {
	h.crash()
	h.sim.tracef("%s loses its disk", h.id)
	h.disk = disk{identity: model.Incarnation(h.sim.nextID("disk"))}
	h.restartAfter(h.sim.between(100*ms, 3*second))
}

func (h *host) stopped() {
	h.up = false
	h.frozen = false
	h.backlog = nil
	h.view = &view.View{}
	maps.DeleteFunc(h.sim.links, func(pair [2]model.HostID, _ *link) bool { return pair[0] == h.id || pair[1] == h.id })
}

func (h *host) restartAfter(d instant) {
	incarnation := h.incarnation
	h.sim.after(d, func() {
		if h.incarnation == incarnation && !h.up {
			h.start()
		}
	})
}

func (h *host) freeze(d instant) {
	incarnation := h.incarnation
	if !h.up || h.frozen {
		return
	}
	h.sim.tracef("%s freezes for %d ms", h.id, d/ms)
	h.frozen = true
	h.sim.after(d, func() { h.thaw(incarnation) })
}

func (h *host) thaw(incarnation int) {
	if h.incarnation != incarnation || !h.frozen {
		return
	}
	h.sim.tracef("%s thaws", h.id)
	h.frozen = false
	for len(h.backlog) > 0 && h.up && !h.frozen && h.incarnation == incarnation {
		e := h.backlog[0]
		h.backlog = h.backlog[1:]
		h.handle(e)
	}
}

func (h *host) serving() bool { return h.up && !h.frozen && h.view.Serving(h.now()) }

// forward simulates the traffic goroutine that makes one attempt.
func (h *host) forward(f effect.Forward) {
	sim, incarnation := h.sim, h.incarnation
	lag := sim.between(0, ms)
	if sim.minorFault(0.02) {
		lag = sim.between(ms, 1500*ms)
	}
	sim.after(lag, func() { h.send(incarnation, f) })
}

func (h *host) send(incarnation int, f effect.Forward) {
	sim := h.sim
	if h.incarnation != incarnation || !h.up {
		return
	}
	if h.frozen {
		sim.after(20*ms, func() { h.send(incarnation, f) })
		return
	}
	now := h.now()
	if now > f.StartBy || now >= f.Deadline || !h.view.Serving(now) {
		h.deliver(incarnation, event.ForwardEnded{Request: f.Request, Attempt: f.Attempt, Outcome: message.OutcomeNotStarted})
		return
	}
	sim.sendToTarget(h, f)
}
