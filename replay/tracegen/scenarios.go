package tracegen

import (
	"fmt"
	"strings"

	"primrosedale.example/primrosedale/replay"
)

// scenarios maps the name of each scenario to its generator.
var scenarios = map[string]func(*generator){
	"bursts":        (*generator).bursts,
	"centre":        (*generator).centreLoss,
	"full":          (*generator).overload,
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

// Loads, as fractions of the slots.
const (
	normalLoad = 0.7
	heavyLoad  = 0.95 // exceeds the capacity that remains without one data centre
	fullLoad   = 1.6
)

// bursts gives each queue in turn a burst above the capacity of its service, followed
// by a lull with almost no load.
func (g *generator) bursts() {
	g.startTargets()
	g.addArrivals(g.burstsInTurn(normalLoad, 4, 4, 2))
}

// centreLoss makes two data centres unavailable, one after the other. The first one is
// lost without notice, operators then take it out of service, and it returns. The second
// one is only taken out of service and brought back by operators.
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

// overload gives every team more work than its services can run.
func (g *generator) overload() {
	g.startTargets()
	g.addArrivals(steady(fullLoad))
}

// The period in which a team with a large share sends nothing, in seconds.
const (
	idleFrom  = 12
	idleUntil = 22
)

// lending gives every team more work than its services can run, except for a period in
// which one team sends nothing. Other teams use its share in this period, and it
// reclaims the share afterwards.
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

// Parameters of the scenario cancellations: the fraction of the callers that
// disconnect together, and the largest age of their requests.
const (
	cancelledFraction = 0.6
	cancelledWindow   = 6.0 // seconds
)

// cancellations makes most callers of the last seconds disconnect within a fifth of a
// second, twice.
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

// faultyTargets makes some targets of each service slow or faulty for a while.
func (g *generator) faultyTargets() {
	g.startTargets()
	g.addArrivals(steady(normalLoad))
	faults := []replay.Target{
		{State: replay.TargetReady, Slowdown: 5},
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

// refusingTargets makes a third of the targets of each service refuse all requests for
// a while, half of them with a Retry-After.
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

// Urgent load in the scenario overnight, before and during the night. Loads are
// fractions of the slots; the night is the last part of the trace.
const (
	urgentLoad   = 1.05
	nightLoad    = 0.3
	nightSeconds = 20.0 // seconds
)

// overnightWork runs the overnight queue on the targets of the urgent one. Urgent work
// alone can fill these targets until the night, and the patience of most overnight
// requests ends before the night.
func (g *generator) overnightWork() {
	d := &g.deployment
	overnight, shared := string(d.overnight), string(d.shared)
	g.trace.Header.Rules = strings.ReplaceAll(g.trace.Header.Rules,
		fmt.Sprintf("service = %q", overnight), fmt.Sprintf("service = %q", shared))
	g.trace.Header.Rules = dropRules(g.trace.Header.Rules, "objective.") // an objective may name the removed service
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

// overnightMinPatience is the patience in seconds from which a queue counts as
// overnight and not as urgent.
const overnightMinPatience = 30

// overnightFraction is the fraction of the shared slots that overnight work needs.
const overnightFraction = 0.15

// moveOvernight moves the targets and the work of the overnight service to the shared
// service.
func (g *generator) moveOvernight() {
	d := &g.deployment
	overnight := g.serviceSlots(d.overnight)
	var services []service
	for _, s := range d.services {
		if s.id == d.shared {
			s.targets += int(overnight) / targetSlots
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
