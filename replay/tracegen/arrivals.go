package tracegen

import (
	"fmt"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/replay"
)

// A burst is this many times the mean and the lull after it this fraction.
const (
	burstFactor = 5.0
	lullFactor  = 1.0 / 20
)

// fleet starts all targets at the beginning of the trace.
func (w *writer) fleet() {
	n := 0
	for _, s := range w.deployment.services {
		for i := range s.targets {
			w.add(0, replay.Event{Target: &replay.Target{
				ID: targetID(s.id, i), Service: s.id, DataCentre: w.deployment.centre(n),
				Host:  model.HostID(fmt.Sprintf("%s-host-%d", w.deployment.centre(n), n)),
				Slots: slots, Connections: connections, State: replay.TargetReady,
			}})
			n++
		}
	}
}

func targetID(s model.ServiceID, i int) model.TargetID {
	return model.TargetID(fmt.Sprintf("%s-%d", s, i+1))
}

// slotsOf returns the slots of a service.
func (w *writer) slotsOf(id model.ServiceID) float64 {
	for _, s := range w.deployment.services {
		if s.id == id {
			return float64(s.targets * slots)
		}
	}
	return 0
}

// firstArrival leaves time for the first announcements.
const firstArrival = 1.0 // seconds

// arrivals writes Poisson arrivals of every queue. factor gives the load at a
// time as a multiple of the queue's part of its service's slots.
func (w *writer) arrivals(factor func(queue int, at float64) float64) {
	for i, q := range w.deployment.queues {
		rate := q.load * w.slotsOf(q.service) / q.run
		// Thinning: candidates at the highest rate, of which a part arrives.
		highest := 0.0
		for at := 0.0; at < w.seconds; at += 0.1 {
			highest = max(highest, factor(i, at))
		}
		for at := firstArrival; highest > 0; {
			at += w.rand.ExpFloat64() / (rate * highest)
			if at >= w.seconds {
				break
			}
			if w.rand.Float64()*highest < factor(i, at) {
				w.arrive(q, at)
			}
		}
	}
}

func (w *writer) arrive(q queue, at float64) {
	w.requests++
	a := &replay.Arrive{
		ID: model.RequestID(fmt.Sprintf("%s-%d", q.id, w.requests)), Team: q.team, Queue: q.id,
		Run: seconds(w.lognormal(q.run, q.spread)), Patience: seconds(q.patience * (0.75 + w.rand.Float64()/2)),
		Worth: q.worth * (0.5 + w.rand.Float64()), Idempotent: q.idempotent,
	}
	w.add(at, replay.Event{Arrive: a})
}

// inTurn gives each queue its burst and its lull in turn, from a time on.
func (w *writer) inTurn(base, from, burst, lull float64) func(int, float64) float64 {
	queues := len(w.deployment.queues)
	period := burst + lull
	return func(q int, at float64) float64 {
		if at < from {
			return base
		}
		cycle := int((at - from) / period)
		within := at - from - float64(cycle)*period
		switch {
		case cycle%queues != q:
			return base
		case within < burst:
			return base * burstFactor
		default:
			return base * lullFactor
		}
	}
}

func steady(load float64) func(int, float64) float64 {
	return func(int, float64) float64 { return load }
}
