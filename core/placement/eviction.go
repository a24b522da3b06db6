package placement

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// preemptFrom is how far below its share a team is when it begins to take lent
	// capacity back, in parts of the fleet. It goes on until it has its share.
	// Without the difference, one task that ends would start it again; with 0.03,
	// more tasks of a half-empty fleet finished late.
	preemptFrom = 0.06
	// preemptPart is the part of its share that a team lacks when it begins, if that
	// is less: the whole share of most of 34 teams is below preemptFrom.
	preemptPart = 0.5
	// preemptionsMax bounds how often the runs of one task are taken back.
	preemptionsMax = 2
	// checkpointLoss is the run time that a checkpoint is expected to cost. A
	// younger run is stopped without one.
	checkpointLoss = 2 * model.Second
	// throttleFactor divides the processors of a throttled run, which takes as
	// much longer.
	throttleFactor = 2
)

// standing is what a team with unfinished tasks takes of the fleet.
type standing struct {
	used     model.Resources
	share    float64
	entitled float64 // dominant share: its part of what all teams take, by shares
}

// standings are those of all teams with unfinished tasks. What the others are
// entitled to is lent to these in proportion.
type standings struct {
	total model.Resources
	teams map[model.TeamID]standing
}

// missing returns how much of the fleet a team is below its share.
func (s standings) missing(id model.TeamID) float64 {
	t := s.teams[id]
	return t.entitled - dominant(t.used, s.total)
}

// begins reports whether a team is far enough below its share to begin to take
// lent capacity back.
func (s standings) begins(id model.TeamID) bool {
	return s.missing(id) >= min(preemptFrom, preemptPart*s.teams[id].entitled)
}

// mayYield reports whether a lender still has its share after it has yielded an
// amount, and runs no less for its share than the claimant with need more. It
// then never claims the amount back, so that runs are not exchanged for ever.
func (s standings) mayYield(lender model.TeamID, yielded model.Resources, claimant model.TeamID, need model.Resources) bool {
	l, ok := s.teams[lender]
	if !ok || lender == claimant {
		return false
	}
	c := s.teams[claimant]
	left := dominant(l.used.Sub(yielded), s.total)
	return left >= l.entitled && left/l.share >= dominant(c.used.Add(need), s.total)/c.share
}

// runOnWorker is one run on a worker.
type runOnWorker struct {
	task        model.TaskID
	team        model.TeamID
	size        model.Resources
	ran         model.Duration
	precedence  int
	preemptions int
	idempotent  bool
	throttled   bool
}

// eviction is a way to take capacity from a run.
type eviction struct {
	run   runOnWorker
	kind  message.OrderKind
	freed model.Resources
	lost  float64 // work: run time in seconds, times the cores
}

// cheapest returns the way to take capacity from a run that loses the least
// work; it is false if there is none. A run that is not idempotent is not
// stopped without a checkpoint. One that was taken back often enough is
// throttled: that loses no work, but it holds its memory for as long again as it
// still has to run, which is taken to be as long as it has run.
func (r runOnWorker) cheapest() (eviction, bool) {
	cores := float64(r.size.MilliCPU) / 1000
	ran := r.ran.Seconds()
	switch {
	case r.preemptions >= preemptionsMax && r.throttled:
		return eviction{}, false
	case r.preemptions >= preemptionsMax:
		freed := model.Resources{MilliCPU: r.size.MilliCPU - r.size.MilliCPU/throttleFactor}
		return eviction{run: r, kind: message.OrderThrottle, freed: freed, lost: ran * cores}, true
	case r.ran < checkpointLoss && r.idempotent:
		return eviction{run: r, kind: message.OrderStop, freed: r.size, lost: ran * cores}, true
	}
	return eviction{run: r, kind: message.OrderCheckpoint, freed: r.size, lost: checkpointLoss.Seconds() * cores}, true
}

// preemptor is a task that waits, of a team below its share.
type preemptor struct {
	team       model.TeamID
	need       model.Resources
	precedence int
}

// plan returns the evictions that make room for the preemptor on a worker with free
// resources, and the work they lose. It is false if no evictions do.
func (s standings) plan(by preemptor, free model.Resources, evictable []runOnWorker) (evictions []eviction, lost float64, ok bool) {
	var options []eviction
	for _, r := range evictable {
		t, ok := r.cheapest()
		if ok && r.precedence <= by.precedence {
			options = append(options, t)
		}
	}
	slices.SortStableFunc(options, func(a, b eviction) int { return cmp.Compare(a.lost, b.lost) })
	yielded := make(map[model.TeamID]model.Resources)
	for _, t := range options {
		if by.need.Fits(free) {
			break
		}
		after := yielded[t.run.team].Add(t.freed)
		if !helps(by.need, free, t.freed) || !s.mayYield(t.run.team, after, by.team, by.need) {
			continue
		}
		yielded[t.run.team] = after
		free = free.Add(t.freed)
		evictions = append(evictions, t)
	}
	if !by.need.Fits(free) {
		return nil, 0, false
	}
	evictions = needed(by.need, free, evictions)
	for _, t := range evictions {
		lost += t.lost
	}
	return evictions, lost, true
}

// helps reports whether freed has any of what need lacks in free.
func helps(need, free, freed model.Resources) bool {
	return need.MilliCPU > free.MilliCPU && freed.MilliCPU > 0 ||
		need.MemoryMB > free.MemoryMB && freed.MemoryMB > 0 ||
		need.Accelerators > free.Accelerators && freed.Accelerators > 0
}

// needed leaves out evictions without which need still fits, the dearest first.
func needed(need, free model.Resources, evictions []eviction) []eviction {
	for i := len(evictions) - 1; i >= 0; i-- {
		if less := free.Sub(evictions[i].freed); need.Fits(less) {
			free = less
			evictions = slices.Delete(evictions, i, i+1)
		}
	}
	return evictions
}
