package replay

import (
	"maps"

	"primrosedale.example/primrosedale/core/model"
)

// sample is the state of the targets and their work at one time.
type sample struct {
	at       model.Time
	capacity map[model.ServiceID]int // slots that could run work
	running  map[teamService]int
	demand   map[teamService]int
	limits   map[model.TeamID]int
	shares   map[model.TeamID]float64
}

// recordSample adds a sample while the trace lasts.
func (e *engine) recordSample() {
	if e.now < e.traceStart || e.now > e.traceStart.Add(e.trace.Header.Length.Duration()) {
		return
	}
	s := sample{
		at: e.now, capacity: make(map[model.ServiceID]int),
		running: maps.Clone(e.obs.running), demand: maps.Clone(e.obs.demand),
		limits: make(map[model.TeamID]int), shares: make(map[model.TeamID]float64),
	}
	for _, t := range e.targetOrder {
		s.capacity[t.reg.Service] += e.usableSlots(t)
	}
	for id, team := range e.rules.Teams {
		s.limits[id], s.shares[id] = team.Limit, team.Share
	}
	e.obs.samples = append(e.obs.samples, s)
}

// usableSlots returns how many slots of a target can run work now.
func (e *engine) usableSlots(t *target) int {
	switch {
	case t.state == TargetCrashed || t.state == TargetLost:
		return 0
	case t.state == TargetLeaving || e.rules.DataCentres[t.reg.DataCentre].Out:
		return len(t.running)
	case t.fault != FaultNone:
		return 0
	default:
		return t.reg.Slots
	}
}

func (s *sample) slots() int {
	n := 0
	for _, c := range s.capacity {
		n += c
	}
	return n
}

// full reports whether every service has at least as much demand as slots. It
// compares demand and not running work, so that a policy that leaves slots idle is
// measured over the same periods as one that does not.
func (s *sample) full() bool {
	demand := make(map[model.ServiceID]int)
	for u, n := range s.demand {
		demand[u.service] += n
	}
	for service, slots := range s.capacity {
		if demand[service] < slots {
			return false
		}
	}
	return s.slots() > 0
}
