package placement

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// preemptionShortfall is how far below its share a team is when it begins to take lent
	// capacity back, in parts of the fleet. It goes on until it has its share.
	// Without the difference, one task that ends would start it again; with 0.03,
	// more tasks of a half-empty fleet finished late.
	preemptionShortfall = 0.06
	// preemptionSharePart is the part of its share that a team lacks when it begins, if that
	// is less: the whole share of most of 34 teams is below preemptFrom.
	preemptionSharePart = 0.5
	// preemptionsMax bounds how often the runs of one task are taken back.
	preemptionsMax = 2
	// checkpointCost is the run time that a checkpoint is expected to cost. A
	// younger run is stopped without one.
	checkpointCost = 2 * model.Second
	// throttleFactor divides the processors of a throttled run, which takes as
	// much longer.
	throttleFactor = 2
)

// teamAllocation is what a team with unfinished tasks takes of the fleet.
type teamAllocation struct {
	used        model.Resources
	share       float64
	entitlement float64 // dominant share: its part of what all teams take, by shares
}

// allocations are those of all teams with unfinished tasks. What the others are
// entitled to is lent to these in proportion.
type allocations struct {
	total model.Resources
	teams map[model.TeamID]teamAllocation
}

// shortfall returns how much of the fleet a team is below its share.
func (s allocations) shortfall(id model.TeamID) float64 {
	t := s.teams[id]
	return t.entitlement - dominantShare(t.used, s.total)
}

// mayStartPreemption reports whether a team is far enough below its share to begin to take
// lent capacity back.
func (s allocations) mayStartPreemption(id model.TeamID) bool {
	return s.shortfall(id) >= min(preemptionShortfall, preemptionSharePart*s.teams[id].entitlement)
}

// canYield reports whether a lender still has its share after it has yielded an
// amount, and runs no less for its share than the claimant with need more. It
// then never claims the amount back, so that runs are not exchanged for ever.
func (s allocations) canYield(lender model.TeamID, yielded model.Resources, claimant model.TeamID, need model.Resources) bool {
	l, ok := s.teams[lender]
	if !ok || lender == claimant {
		return false
	}
	c := s.teams[claimant]
	left := dominantShare(l.used.Sub(yielded), s.total)
	return left >= l.entitlement && left/l.share >= dominantShare(c.used.Add(need), s.total)/c.share
}

// evictionCandidate is one run on a worker.
type evictionCandidate struct {
	task        model.TaskID
	team        model.TeamID
	size        model.Resources
	runTime     model.Duration
	precedence  int
	preemptions int
	idempotent  bool
	throttled   bool
}

// eviction is a way to take capacity from a run.
type eviction struct {
	run      evictionCandidate
	kind     message.OrderKind
	freed    model.Resources
	lostWork float64 // work: run time in seconds, times the cores
}

// cheapestEviction returns the way to take capacity from a run that loses the least
// work; it is false if there is none. A run that is not idempotent is not
// stopped without a checkpoint. One that was taken back often enough is
// throttled: that loses no work, but it holds its memory for as long again as it
// still has to run, which is taken to be as long as it has run.
func (r evictionCandidate) cheapestEviction() (eviction, bool) {
	cores := float64(r.size.MilliCPU) / 1000
	ran := r.runTime.Seconds()
	switch {
	case r.preemptions >= preemptionsMax && r.throttled:
		return eviction{}, false
	case r.preemptions >= preemptionsMax:
		freed := model.Resources{MilliCPU: r.size.MilliCPU - r.size.MilliCPU/throttleFactor}
		return eviction{run: r, kind: message.OrderThrottle, freed: freed, lostWork: ran * cores}, true
	case r.runTime < checkpointCost && r.idempotent:
		return eviction{run: r, kind: message.OrderStop, freed: r.size, lostWork: ran * cores}, true
	}
	return eviction{run: r, kind: message.OrderCheckpoint, freed: r.size, lostWork: checkpointCost.Seconds() * cores}, true
}

// preemptor is a task that waits, of a team below its share.
type preemptor struct {
	team       model.TeamID
	need       model.Resources
	precedence int
}

// planEvictions returns the evictions that make room for the preemptor on a worker with free
// resources, and the work they lose. It is false if no evictions do.
func (s allocations) planEvictions(claimant preemptor, free model.Resources, candidates []evictionCandidate) (evictions []eviction, lostWork float64, ok bool) {
	var options []eviction
	for _, r := range candidates {
		e, ok := r.cheapestEviction()
		if ok && r.precedence <= claimant.precedence {
			options = append(options, e)
		}
	}
	slices.SortStableFunc(options, func(a, b eviction) int { return cmp.Compare(a.lostWork, b.lostWork) })
	yielded := make(map[model.TeamID]model.Resources)
	for _, e := range options {
		if claimant.need.Fits(free) {
			break
		}
		after := yielded[e.run.team].Add(e.freed)
		if !reducesShortage(claimant.need, free, e.freed) || !s.canYield(e.run.team, after, claimant.team, claimant.need) {
			continue
		}
		yielded[e.run.team] = after
		free = free.Add(e.freed)
		evictions = append(evictions, e)
	}
	if !claimant.need.Fits(free) {
		return nil, 0, false
	}
	evictions = dropUnneeded(claimant.need, free, evictions)
	for _, e := range evictions {
		lostWork += e.lostWork
	}
	return evictions, lostWork, true
}

// reducesShortage reports whether freed has any of what need lacks in free.
func reducesShortage(need, free, freed model.Resources) bool {
	return need.MilliCPU > free.MilliCPU && freed.MilliCPU > 0 ||
		need.MemoryMB > free.MemoryMB && freed.MemoryMB > 0 ||
		need.Accelerators > free.Accelerators && freed.Accelerators > 0
}

// dropUnneeded leaves out evictions without which need still fits, the dearest first.
func dropUnneeded(need, free model.Resources, evictions []eviction) []eviction {
	for i := len(evictions) - 1; i >= 0; i-- {
		if less := free.Sub(evictions[i].freed); need.Fits(less) {
			free = less
			evictions = slices.Delete(evictions, i, i+1)
		}
	}
	return evictions
}
