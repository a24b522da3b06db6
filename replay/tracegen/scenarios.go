package tracegen

import (
	"fmt"
	"strings"

	"primrosedale.example/primrosedale/replay"
)

// scenarios are the kinds of traces.
var scenarios = map[string]func(*generator){
	"bursts":        (*generator).bursts,
	"centre":        (*generator).centreLoss,
	"full":          (*generator).everythingFull,
	"cancellations": (*generator).cancellations,
	"faults":        (*generator).faultyTargets,
	"overnight":     (*generator).overnightWork,
	"lending":       (*generator).lending,
	"refusals":      (*generator).refusingTargets,
	"tasks":         (*generator).mixedTasks,
	"shared-pool":   (*generator).sharedPool,
	"pools":         (*generator).pools,
	"wave":          (*generator).wave,
	"harm":          (*generator).failingWave,
}

// Loads, as parts of the slots.
const (
	normalLoad = 0.7
	heavyLoad  = 0.95 // exceeds what is left without one data centre
	fullLoad   = 1.6
)

// bursts lets each queue in turn burst beyond its service's capacity and then
// fall to almost nothing.
func (g *generator) bursts() {
	g.startTargets()
	g.addArrivals(g.burstsInTurn(normalLoad, 4, 4, 2))
}

// centreLoss loses a data centre without notice, has the operators take it
// out, and brings it back: once by loss, once by the operators alone.
func (g *generator) centreLoss() {
	g.startTargets()
	g.addArrivals(steady(heavyLoad))
	lost, planned := g.deployment.dataCentres[0], g.deployment.dataCentres[1]
	g.add(10, replay.Event{Centre: &replay.Centre{ID: lost, Lost: true}})
	g.add(13, replay.Event{Operators: &replay.RulesChange{Centre: lost, Out: true}})
	g.add(24, replay.Event{Centre: &replay.Centre{ID: lost}})
	g.add(26, replay.Event{Operators: &replay.RulesChange{Centre: lost}})
	g.add(32, replay.Event{Operators: &replay.RulesChange{Centre: planned, Out: true}})
	g.add(40, replay.Event{Operators: &replay.RulesChange{Centre: planned}})
}

// everythingFull gives every team more work than its services can do.
func (g *generator) everythingFull() {
	g.startTargets()
	g.addArrivals(steady(fullLoad))
}

// The period in which a team with a large share sends nothing, in seconds.
const (
	idleFrom  = 12
	idleUntil = 22
)

// lending gives every team more work than its services can do, but for a time
// in which one team sends nothing: its share is lent and then taken back.
func (g *generator) lending() {
	g.startTargets()
	idle := g.deployment.idleTeam
	g.addArrivals(func(q int, at float64) float64 {
		if g.deployment.queues[q].team == idle && at >= idleFrom && at < idleUntil {
			return 0
		}
		return fullLoad
	})
}

// Cancellations: the part of the callers that leave at once, and how far back
// their requests go.
const (
	cancelledFraction = 0.6
	cancelledWindow   = 6.0 // seconds
)

// cancellations lets most callers of the last seconds leave together, twice.
func (g *generator) cancellations() {
	g.startTargets()
	g.addArrivals(steady(1.1))
	for _, at := range []float64{12, 24} {
		for _, e := range g.trace.Events {
			if e.Arrive == nil || e.At > seconds(at) || e.At < seconds(at-cancelledWindow) {
				continue
			}
			if g.rand.Float64() < cancelledFraction {
				spread := g.rand.Float64() / 5
				g.add(at+spread, replay.Event{Abandon: &replay.Abandon{ID: string(e.Arrive.ID)}})
			}
		}
	}
}

// faultyTargets makes some targets of each service slow or failing for a time.
func (g *generator) faultyTargets() {
	g.startTargets()
	g.addArrivals(steady(normalLoad))
	faults := []replay.Target{
		{State: replay.TargetReady, Slow: 5},
		{State: replay.TargetReady, Fault: replay.FaultRefuse, RetryAfter: seconds(2)},
		{State: replay.TargetReady, Fault: replay.FaultDrop},
		{State: replay.TargetReady, Fault: replay.FaultRefuse},
		{State: replay.TargetCrashed},
		{State: replay.TargetLeaving},
	}
	n := 0
	for _, s := range g.deployment.services {
		for i := range (s.targets + 5) / 6 {
			fault := faults[n%len(faults)]
			fault.ID = targetID(s.id, i)
			g.add(8+float64(n)/4, replay.Event{Target: &fault})
			g.add(24+float64(n)/4, replay.Event{Target: &replay.Target{ID: fault.ID, State: replay.TargetReady}})
			n++
		}
	}
}

// refusingTargets makes a third of the targets of each service refuse all that
// they get for a time, half of these with a Retry-After.
func (g *generator) refusingTargets() {
	g.startTargets()
	g.addArrivals(steady(normalLoad))
	for _, s := range g.deployment.services {
		for i := range s.targets / 3 {
			fault := &replay.Target{ID: targetID(s.id, i), State: replay.TargetReady, Fault: replay.FaultRefuse}
			if i%2 == 0 {
				fault.RetryAfter = seconds(2)
			}
			g.add(10, replay.Event{Target: fault})
			g.add(20, replay.Event{Target: &replay.Target{ID: fault.ID, State: replay.TargetReady}})
		}
	}
}

// The urgent load of the overnight scenario, which lasts until the night.
const (
	urgentLoad   = 1.05
	nightLoad    = 0.3
	nightSeconds = 20.0 // seconds
)

// overnightWork puts the overnight queue on the targets of the urgent one.
// Urgent work alone could fill them until the night; most overnight requests
// cannot wait that long.
func (g *generator) overnightWork() {
	d := &g.deployment
	was, shared := string(d.overnight), string(d.shared)
	g.trace.Header.Rules = strings.ReplaceAll(g.trace.Header.Rules,
		fmt.Sprintf("service = %q", was), fmt.Sprintf("service = %q", shared))
	g.trace.Header.Rules = dropRules(g.trace.Header.Rules, "objective.") // one may name a service that is gone
	g.moveOvernight()
	g.startTargets()
	g.addArrivals(func(q int, at float64) float64 {
		night := at >= g.seconds-nightSeconds
		switch {
		case string(d.queues[q].service) != shared || at >= g.seconds-nightSeconds/2:
			return 0
		case d.queues[q].patience >= overnightMinPatience && !night:
			return 1
		case d.queues[q].patience >= overnightMinPatience:
			return 0
		case night:
			return nightLoad
		default:
			return urgentLoad
		}
	})
}

// overnightMinPatience tells overnight queues from urgent ones, in seconds.
const overnightMinPatience = 30

// overnightFraction is the part of the shared slots that overnight work needs.
const overnightFraction = 0.15

// moveOvernight gives the targets and the work of the overnight service to the
// shared one.
func (g *generator) moveOvernight() {
	d := &g.deployment
	was := g.serviceSlots(d.overnight)
	var services []service
	for _, s := range d.services {
		if s.id == d.shared {
			s.targets += int(was) / targetSlots
		}
		if s.id != d.overnight {
			services = append(services, s)
		}
	}
	d.services = services
	queues := append([]queue(nil), d.queues...)
	for i := range queues {
		if queues[i].service == d.overnight {
			queues[i].service = d.shared
			queues[i].load = overnightFraction
			queues[i].patience = overnightMinPatience
		}
	}
	d.queues = queues
}
