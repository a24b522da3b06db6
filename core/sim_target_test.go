package core

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	ticketMaxAge     = 3 * second
	flightMax        = 1950 * ms // dispatch.FlightTime, measured on the slowest clock
	announceInterval = 500 * ms
)

// target is a simulated target, which keeps its own record of what it runs.
type target struct {
	sim            *simulation
	reg            fleet.Target
	up             bool
	incarnation    int
	leaving        bool
	leavingAckedAt instant // when a leader acknowledged that it leaves
	seq            uint64
	acked          uint64
	term           uint64 // largest term seen in a reply
	sent           map[uint64]instant
	running        map[string]*running
	order          []string // keys of running, in order of start
}

type running struct{ call *simCall }

func (t *target) start() {
	t.incarnation++
	t.up, t.leaving, t.leavingAckedAt = true, false, 0
	t.seq, t.acked, t.term = 0, 0, 0
	t.sent = make(map[uint64]instant)
	t.running = make(map[string]*running)
	t.order = nil
	t.reg.Incarnation = model.Incarnation(fmt.Sprintf("%s-%d", t.reg.ID, t.incarnation))
	t.sim.tracef("target %s starts incarnation %d", t.reg.ID, t.incarnation)
	t.announce(t.incarnation)
}

func (t *target) restart() {
	if !t.up {
		t.start()
	}
}

// kill ends the target and everything that it runs.
func (t *target) kill() {
	t.sim.tracef("target %s is killed", t.reg.ID)
	t.up = false
	for _, key := range slices.Clone(t.order) {
		t.end(key)
	}
}

func (t *target) leave() {
	if !t.up || t.leaving {
		return
	}
	t.sim.tracef("target %s leaves", t.reg.ID)
	t.leaving = true
}

func (t *target) announce(incarnation int) {
	if t.sendAnnouncement(incarnation) {
		t.sim.after(announceInterval+t.sim.between(-20*ms, 20*ms), func() { t.announce(incarnation) })
	}
}

// sendAnnouncement sends one announcement of the current state.
func (t *target) sendAnnouncement(incarnation int) bool {
	sim := t.sim
	if !t.up || t.incarnation != incarnation {
		return false
	}
	t.seq++
	t.sent[t.seq] = sim.now
	report := message.TargetReport{Target: t.reg, Seq: t.seq, Acked: t.acked, Term: t.term, State: message.TargetReady}
	if t.leaving {
		report.State = message.TargetLeaving
	}
	for _, key := range t.order {
		c := t.running[key].call
		report.Running = append(report.Running, message.RunningRequest{Request: c.id, Team: c.team})
	}
	t.deliver(incarnation, report, sim.between(ms, 5*ms))
	return true
}

// deliver passes a report to a random host and the reply back to the target.
func (t *target) deliver(incarnation int, report message.TargetReport, delay instant) {
	sim := t.sim
	h := pickOne(sim, sim.hosts)
	if sim.minorFault(0.02) {
		return
	}
	if sim.minorFault(0.03) {
		delay = sim.between(5*ms, 900*ms)
	}
	sim.after(delay, func() {
		if !h.up {
			return
		}
		h.reports++
		report.Report = h.reports
		h.replies[report.Report] = func(reply message.ReportReply) {
			sim.after(sim.between(ms, 5*ms), func() {
				if t.incarnation == incarnation && reply.Problem == nil {
					t.acked = max(t.acked, report.Seq)
					if report.State == message.TargetLeaving && t.leavingAckedAt == 0 {
						t.leavingAckedAt = sim.now
					}
					t.learnTerm(incarnation, reply.Term)
				}
			})
		}
		h.deliver(h.incarnation, event.TargetReported{Report: report})
	})
}

// learnTerm takes the term of a reply, unless targets ignore terms in this run. A new
// term is announced at once, since the owner waits for that.
func (t *target) learnTerm(incarnation int, term uint64) {
	if term > t.term && !t.sim.targetsIgnoreTerms {
		t.term = term
		t.sendAnnouncement(incarnation)
	}
}

func (t *target) refusal(f effect.Forward) string {
	sent, known := t.sent[f.Ticket]
	switch {
	case f.Term < t.term:
		return "earlier term"
	case f.Inc != t.reg.Incarnation:
		return "other incarnation"
	case !known || t.sim.now-sent > ticketMaxAge:
		return "old ticket"
	case t.leaving:
		return "leaving"
	case len(t.running) >= t.reg.Slots:
		return "no free slot"
	}
	return ""
}

// end removes a run from the record.
func (t *target) end(key string) {
	r := t.running[key]
	if r == nil {
		return
	}
	delete(t.running, key)
	t.order = slices.DeleteFunc(t.order, func(k string) bool { return k == key })
	t.sim.observed.running[r.call.team]--
}

func (sim *simulation) targetAt(address string) *target {
	i := slices.IndexFunc(sim.targets, func(t *target) bool { return t.reg.Address == address })
	return sim.targets[i]
}

// sendToTarget sends the request of a Forward effect to its target.
func (sim *simulation) sendToTarget(h *host, f effect.Forward) {
	t := sim.targetAt(f.Address)
	c := sim.observed.calls[f.Request]
	incarnation := h.incarnation
	x := &forwardAttempt{sim: sim, h: h, incarnation: incarnation, f: f, startedAt: sim.now}
	flight := sim.between(ms/2, 3*ms)
	if sim.minorFault(0.02) {
		flight = sim.between(3*ms, flightMax)
	}
	if sim.minorFault(0.01) || flight > 100*ms && sim.chance(0.5) {
		sim.after(sim.between(ms, max(flight, 300*ms)), func() { x.end(message.OutcomeUnknown, false) }) // the connection breaks
	}
	sim.at(h.toTrueTime(f.Deadline), func() { x.end(message.OutcomeUnknown, true) })
	left := int64(f.Deadline.Sub(h.now()))
	sim.after(flight, func() {
		if !t.up {
			sim.after(sim.between(ms, 100*ms), func() { x.end(message.OutcomeUnknown, false) })
			return
		}
		sim.checkLeaving(t, f)
		if reason := t.refusal(f); reason != "" {
			sim.tracef("target %s refuses %s attempt %d: %s", t.reg.ID, f.Request, f.Attempt, reason)
			sim.after(sim.between(ms/2, 3*ms), func() { x.end(message.OutcomeNotStarted, false) })
			return
		}
		t.serve(x, c, left)
	})
}

// serve runs a request until it is done or its deadline is reached, and answers it.
func (t *target) serve(x *forwardAttempt, c *simCall, left instant) {
	sim, incarnation := t.sim, t.incarnation
	key := fmt.Sprintf("%s/%d", c.id, x.f.Attempt)
	if t.running[key] != nil {
		return
	}
	t.running[key] = &running{call: c}
	t.order = append(t.order, key)
	sim.checkStart(t, x, c)
	run := sim.between(10*ms, 300*ms)
	if sim.chance(0.05) || sim.inFaultPhase() && sim.chance(sim.longRunShare) {
		run = sim.between(300*ms, 3300*ms)
	}
	finished := run < left
	sim.after(min(run, left), func() {
		if t.incarnation != incarnation || !t.up {
			return
		}
		t.end(key)
		if !finished {
			return
		}
		sim.observed.finished[c.id]++
		back := sim.between(ms/2, 3*ms)
		if sim.minorFault(0.01) {
			return // the answer is lost
		}
		answer := &model.Answer{Status: 200, Body: []byte(c.claimText())}
		sim.after(back, func() { x.answer(answer) })
	})
}

// forwardAttempt is one attempt as the gateway's traffic goroutine sees it.
type forwardAttempt struct {
	sim         *simulation
	h           *host
	incarnation int
	f           effect.Forward
	startedAt   instant
	ended       bool
}

func (x *forwardAttempt) end(o message.Outcome, timedOut bool) {
	x.finish(event.ForwardEnded{Outcome: o, TimedOut: timedOut})
}

func (x *forwardAttempt) answer(a *model.Answer) {
	if x.ended || x.h.incarnation != x.incarnation || !x.h.up {
		return
	}
	x.sim.observed.received[fmt.Sprintf("%s/%d", x.f.Request, x.f.Attempt)] = true
	e := event.ForwardEnded{Outcome: message.OutcomeAnswered, Status: a.Status}
	if x.f.Claimed {
		e.Answer = a
	}
	x.finish(e)
}

func (x *forwardAttempt) finish(e event.ForwardEnded) {
	if x.ended {
		return
	}
	x.ended = true
	e.Request, e.Attempt = x.f.Request, x.f.Attempt
	e.RunTime = model.Duration(x.sim.now - x.startedAt)
	x.sim.tracef("%s forward of %s attempt %d ended %s", x.h.id, e.Request, e.Attempt, e.Outcome)
	x.h.deliver(x.incarnation, e)
}
