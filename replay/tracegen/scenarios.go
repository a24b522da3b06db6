package tracegen

import (
	"fmt"
	"strings"

	"primrosedale.example/primrosedale/replay"
)

// scenarios are the kinds of traces.
var scenarios = map[string]func(*writer){
	"bursts":        (*writer).bursts,
	"centre":        (*writer).centreLoss,
	"full":          (*writer).everythingFull,
	"cancellations": (*writer).cancellations,
	"faults":        (*writer).faultyTargets,
	"overnight":     (*writer).overnightWork,
	"lending":       (*writer).lending,
	"refusals":      (*writer).refusingTargets,
	"tasks":         (*writer).tasks,
	"shared-pool":   (*writer).sharedPool,
	"pools":         (*writer).pools,
	"wave":          (*writer).wave,
	"harm":          (*writer).harm,
}

// Loads, as parts of the slots.
const (
	usualLoad = 0.7
	heavyLoad = 0.95 // exceeds what is left without one data centre
	fullLoad  = 1.6
)

// bursts lets each queue in turn burst beyond its service's capacity and then
// fall to almost nothing.
func (w *writer) bursts() {
	w.fleet()
	w.arrivals(w.inTurn(usualLoad, 4, 4, 2))
}

// centreLoss loses a data centre without notice, has the operators take it
// out, and brings it back: once by loss, once by the operators alone.
func (w *writer) centreLoss() {
	w.fleet()
	w.arrivals(steady(heavyLoad))
	lost, planned := w.deployment.centres[0], w.deployment.centres[1]
	w.add(10, replay.Event{Centre: &replay.Centre{ID: lost, Lost: true}})
	w.add(13, replay.Event{Operators: &replay.RulesChange{Centre: lost, Out: true}})
	w.add(24, replay.Event{Centre: &replay.Centre{ID: lost}})
	w.add(26, replay.Event{Operators: &replay.RulesChange{Centre: lost}})
	w.add(32, replay.Event{Operators: &replay.RulesChange{Centre: planned, Out: true}})
	w.add(40, replay.Event{Operators: &replay.RulesChange{Centre: planned}})
}

// everythingFull gives every team more work than its services can do.
func (w *writer) everythingFull() {
	w.fleet()
	w.arrivals(steady(fullLoad))
}

// The period in which a team with a large share sends nothing, in seconds.
const (
	idleFrom  = 12
	idleUntil = 22
)

// lending gives every team more work than its services can do, but for a time
// in which one team sends nothing: its share is lent and then taken back.
func (w *writer) lending() {
	w.fleet()
	idle := w.deployment.lender
	w.arrivals(func(q int, at float64) float64 {
		if w.deployment.queues[q].team == idle && at >= idleFrom && at < idleUntil {
			return 0
		}
		return fullLoad
	})
}

// Cancellations: the part of the callers that leave at once, and how far back
// their requests go.
const (
	cancelledPart  = 0.6
	cancelledSince = 6.0 // seconds
)

// cancellations lets most callers of the last seconds leave together, twice.
func (w *writer) cancellations() {
	w.fleet()
	w.arrivals(steady(1.1))
	for _, at := range []float64{12, 24} {
		for _, e := range w.trace.Events {
			if e.Arrive == nil || e.At > seconds(at) || e.At < seconds(at-cancelledSince) {
				continue
			}
			if w.rand.Float64() < cancelledPart {
				spread := w.rand.Float64() / 5
				w.add(at+spread, replay.Event{Abandon: &replay.Abandon{ID: string(e.Arrive.ID)}})
			}
		}
	}
}

// faultyTargets makes some targets of each service slow or failing for a time.
func (w *writer) faultyTargets() {
	w.fleet()
	w.arrivals(steady(usualLoad))
	faults := []replay.Target{
		{State: replay.TargetReady, Slow: 5},
		{State: replay.TargetReady, Fault: replay.FaultRefuse, RetryAfter: seconds(2)},
		{State: replay.TargetReady, Fault: replay.FaultDrop},
		{State: replay.TargetReady, Fault: replay.FaultRefuse},
		{State: replay.TargetCrashed},
		{State: replay.TargetLeaving},
	}
	n := 0
	for _, s := range w.deployment.services {
		for i := range (s.targets + 5) / 6 {
			fault := faults[n%len(faults)]
			fault.ID = targetID(s.id, i)
			w.add(8+float64(n)/4, replay.Event{Target: &fault})
			w.add(24+float64(n)/4, replay.Event{Target: &replay.Target{ID: fault.ID, State: replay.TargetReady}})
			n++
		}
	}
}

// refusingTargets makes a third of the targets of each service refuse all that
// they get for a time, half of these with a Retry-After.
func (w *writer) refusingTargets() {
	w.fleet()
	w.arrivals(steady(usualLoad))
	for _, s := range w.deployment.services {
		for i := range s.targets / 3 {
			fault := &replay.Target{ID: targetID(s.id, i), State: replay.TargetReady, Fault: replay.FaultRefuse}
			if i%2 == 0 {
				fault.RetryAfter = seconds(2)
			}
			w.add(10, replay.Event{Target: fault})
			w.add(20, replay.Event{Target: &replay.Target{ID: fault.ID, State: replay.TargetReady}})
		}
	}
}

// The urgent load of the overnight scenario, which lasts until the night.
const (
	urgentLoad = 1.05
	nightLoad  = 0.3
	nightLasts = 20.0 // seconds
)

// overnightWork puts the overnight queue on the targets of the urgent one.
// Urgent work alone could fill them until the night; most overnight requests
// cannot wait that long.
func (w *writer) overnightWork() {
	d := &w.deployment
	was, shared := string(d.overnight), string(d.shared)
	w.trace.Header.Rules = strings.ReplaceAll(w.trace.Header.Rules,
		fmt.Sprintf("service = %q", was), fmt.Sprintf("service = %q", shared))
	w.trace.Header.Rules = dropRules(w.trace.Header.Rules, "objective.") // one may name a service that is gone
	w.moveOvernight()
	w.fleet()
	w.arrivals(func(q int, at float64) float64 {
		night := at >= w.seconds-nightLasts
		switch {
		case string(d.queues[q].service) != shared || at >= w.seconds-nightLasts/2:
			return 0
		case d.queues[q].patience >= overnightPatience && !night:
			return 1
		case d.queues[q].patience >= overnightPatience:
			return 0
		case night:
			return nightLoad
		default:
			return urgentLoad
		}
	})
}

// overnightPatience tells overnight queues from urgent ones, in seconds.
const overnightPatience = 30

// overnightPart is the part of the shared slots that overnight work needs.
const overnightPart = 0.15

// moveOvernight gives the targets and the work of the overnight service to the
// shared one.
func (w *writer) moveOvernight() {
	d := &w.deployment
	was := w.slotsOf(d.overnight)
	var services []service
	for _, s := range d.services {
		if s.id == d.shared {
			s.targets += int(was) / slots
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
			queues[i].load = overnightPart
			queues[i].patience = overnightPatience
		}
	}
	d.queues = queues
}
