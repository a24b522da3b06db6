package placement

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// preemptionShortfall is how far below its share a team must be before it starts
	// to reclaim lent capacity, as a fraction of the fleet. Preemption then continues
	// until the team has its share. Without this hysteresis a single task that ends
	// would restart preemption; with 0.03, more tasks of a half-empty fleet finished
	// late.
	preemptionShortfall = 0.06
	// preemptionSharePart is the fraction of its share that a team must lack to
	// start, if that is less than preemptionShortfall: most of 34 teams have a whole
	// share below preemptionShortfall.
	preemptionSharePart = 0.5
	// preemptionsMax bounds how often runs of one task are preempted.
	preemptionsMax = 2
	// checkpointCost is the run time that a checkpoint is expected to cost. A younger
	// run is stopped without a checkpoint if it is idempotent.
	checkpointCost = 2 * model.Second
	// throttleFactor divides the CPU of a throttled run, whose run time grows by the
	// same factor.
	throttleFactor = 2
)

// teamAllocation is the part of the fleet that a team with unfinished tasks uses and
// is entitled to.
type teamAllocation struct {
	used        model.Resources
	share       float64
	entitlement float64 // dominant share: what all teams use, divided in proportion to shares
}

// allocations are those of all teams with unfinished tasks. The shares of the other
// teams are lent to these in proportion to their own shares.
type allocations struct {
	total model.Resources
	teams map[model.TeamID]teamAllocation
}

// shortfall returns how far a team is below its entitlement, as a fraction of the
// fleet.
func (s allocations) shortfall(id model.TeamID) float64 {
	t := s.teams[id]
	return t.entitlement - dominantShare(t.used, s.total)
}

// mayStartPreemption reports whether a team is far enough below its share to start
// reclaiming lent capacity.
func (s allocations) mayStartPreemption(id model.TeamID) bool {
	return s.shortfall(id) >= min(preemptionShortfall, preemptionSharePart*s.teams[id].entitlement)
}

// canYield reports whether a team that uses lent capacity keeps its entitlement after
// it yields an amount, and still uses at least as much relative to its share as the
// claimant does with need added. That team therefore never reclaims the amount, and
// two teams cannot preempt each other's runs in turn for ever.
func (s allocations) canYield(borrower model.TeamID, yielded model.Resources, claimant model.TeamID, need model.Resources) bool {
	b, ok := s.teams[borrower]
	if !ok || borrower == claimant {
		return false
	}
	c := s.teams[claimant]
	left := dominantShare(b.used.Sub(yielded), s.total)
	return left >= b.entitlement && left/b.share >= dominantShare(c.used.Add(need), s.total)/c.share
}

// evictionCandidate is a run on a worker that capacity may be taken from.
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

// eviction is a way to reclaim capacity from a run.
type eviction struct {
	run      evictionCandidate
	kind     message.OrderKind
	freed    model.Resources
	lostWork float64 // in core seconds
}

// cheapestEviction returns the way to reclaim capacity from a run that loses the
// least work, or false if there is none. A run that is not idempotent is never
// stopped without a checkpoint. A run whose task was preempted preemptionsMax times
// is throttled instead. That loses no work, but the run then holds its memory for
// twice its remaining run time, which is estimated to be its run time so far.
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

// preemptor is a waiting task of a team below its share.
type preemptor struct {
	team       model.TeamID
	need       model.Resources
	precedence int
}

// planEvictions returns the evictions that make room for the claimant on a worker
// with free resources, and the work that they lose. It returns false if no set of
// evictions is enough.
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

// reducesShortage reports whether freed contains any resource that need lacks in
// free.
func reducesShortage(need, free, freed model.Resources) bool {
	return need.MilliCPU > free.MilliCPU && freed.MilliCPU > 0 ||
		need.MemoryMB > free.MemoryMB && freed.MemoryMB > 0 ||
		need.Accelerators > free.Accelerators && freed.Accelerators > 0
}

// dropUnneeded removes evictions that need does not require in order to fit, starting
// with those that lose the most work.
func dropUnneeded(need, free model.Resources, evictions []eviction) []eviction {
	for i := len(evictions) - 1; i >= 0; i-- {
		if less := free.Sub(evictions[i].freed); need.Fits(less) {
			free = less
			evictions = slices.Delete(evictions, i, i+1)
		}
	}
	return evictions
}
