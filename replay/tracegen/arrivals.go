package tracegen

import (
	"fmt"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/replay"
)

// Load during a burst and during the lull after it, as multiples of the mean.
const (
	burstFactor = 5.0
	lullFactor  = 1.0 / 20
)

// startTargets adds the start of all targets at the beginning of the trace.
func (g *generator) startTargets() {
	n := 0
	for _, s := range g.deployment.services {
		for i := range s.targets {
			g.add(0, replay.Event{Target: &replay.Target{
				ID: targetID(s.id, i), Service: s.id, DataCentre: g.deployment.dataCentre(n),
				Host:  model.HostID(fmt.Sprintf("%s-host-%d", g.deployment.dataCentre(n), n)),
				Slots: targetSlots, Connections: targetConnections, State: replay.TargetReady,
			}})
			n++
		}
	}
}

func targetID(s model.ServiceID, i int) model.TargetID {
	return model.TargetID(fmt.Sprintf("%s-%d", s, i+1))
}

// serviceSlots returns the number of slots of a service.
func (g *generator) serviceSlots(id model.ServiceID) float64 {
	for _, s := range g.deployment.services {
		if s.id == id {
			return float64(s.targets * targetSlots)
		}
	}
	return 0
}

// firstArrival is the earliest arrival in seconds. It leaves time for the first
// reports of the targets.
const firstArrival = 1.0

// addArrivals adds Poisson arrivals to every queue. factor returns the load at a time
// as a multiple of the queue's mean load.
func (g *generator) addArrivals(factor func(queue int, at float64) float64) {
	for i, q := range g.deployment.queues {
		rate := q.load * g.serviceSlots(q.service) / q.run
		// Thinning: candidates are drawn at the highest rate, and each is accepted
		// with the ratio of the current rate to the highest.
		highest := 0.0
		for at := 0.0; at < g.seconds; at += 0.1 {
			highest = max(highest, factor(i, at))
		}
		for at := firstArrival; highest > 0; {
			at += g.rand.ExpFloat64() / (rate * highest)
			if at >= g.seconds {
				break
			}
			if g.rand.Float64()*highest < factor(i, at) {
				g.addRequest(q, at)
			}
		}
	}
}

func (g *generator) addRequest(q queue, at float64) {
	g.requests++
	a := &replay.Arrive{
		ID: model.RequestID(fmt.Sprintf("%s-%d", q.id, g.requests)), Team: q.team, Queue: q.id,
		Run: seconds(g.lognormal(q.run, q.spread)), Patience: seconds(q.patience * (0.75 + g.rand.Float64()/2)),
		Worth: q.worth * (0.5 + g.rand.Float64()), Idempotent: q.idempotent,
	}
	g.add(at, replay.Event{Arrive: a})
}

// burstsInTurn returns a load factor that gives each queue in turn a burst and a lull,
// starting at from. All other queues have the base load.
func (g *generator) burstsInTurn(base, from, burst, lull float64) func(int, float64) float64 {
	queues := len(g.deployment.queues)
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
