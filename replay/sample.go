package replay

import (
	"maps"

	"primrosedale.example/primrosedale/core/model"
)

// fullFraction is the fraction of the slots of every service that must be
// taken for everything to count as full. A slot is free for the time of two
// messages between two runs, so 1 is not reached.
const fullFraction = 0.95

// sample is the use of the fleet at one time.
type sample struct {
	at       model.Time
	capacity map[model.ServiceID]int // slots that could run work
	running  map[use]int
	demand   map[use]int
	limits   map[model.TeamID]int
	shares   map[model.TeamID]float64
}

// sample notes the use of the fleet while the trace lasts.
func (e *engine) sample() {
	if e.now < e.began || e.now > e.began.Add(e.trace.Header.Length.Duration()) {
		return
	}
	s := sample{
		at: e.now, capacity: make(map[model.ServiceID]int),
		running: maps.Clone(e.books.running), demand: maps.Clone(e.books.demand),
		limits: make(map[model.TeamID]int), shares: make(map[model.TeamID]float64),
	}
	for _, t := range e.order {
		s.capacity[t.reg.Service] += e.slots(t)
	}
	for id, team := range e.rules.Teams {
		s.limits[id], s.shares[id] = team.Limit, team.Share
	}
	e.books.samples = append(e.books.samples, s)
}

// slots returns how many slots of a target could run work now.
func (e *engine) slots(t *target) int {
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

// full reports whether the slots of every service are taken and work waits.
func (s *sample) full() bool {
	running, demand := make(map[model.ServiceID]int), 0
	total := 0
	for u, n := range s.running {
		running[u.service] += n
		total += n
	}
	for _, n := range s.demand {
		demand += n
	}
	for service, slots := range s.capacity {
		if float64(running[service]) < fullFraction*float64(slots) {
			return false
		}
	}
	return total > 0 && demand > total
}
