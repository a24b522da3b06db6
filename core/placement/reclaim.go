package placement

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// claimFrom is how far below its share a team is when it begins to take lent
	// capacity back, in parts of the fleet. It goes on until it has its share.
	// Without the difference, one task that ends would start it again; with 0.03,
	// more tasks of a half-empty fleet finished late.
	claimFrom = 0.06
	// claimPart is the part of its share that a team lacks when it begins, if that
	// is less: the whole share of most of 34 teams is below claimFrom.
	claimPart = 0.5
	// takenBackMax bounds how often the runs of one task are taken back.
	takenBackMax = 2
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
	return s.missing(id) >= min(claimFrom, claimPart*s.teams[id].entitled)
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

// loan is one run on a worker.
type loan struct {
	task       model.TaskID
	team       model.TeamID
	size       model.Resources
	ran        model.Duration
	precedence int
	takenBack  int
	idempotent bool
	throttled  bool
}

// take is a way to take capacity from a run.
type take struct {
	loan  loan
	kind  message.OrderKind
	freed model.Resources
	lost  float64 // work: run time in seconds, times the cores
}

// cheapest returns the way to take capacity from a run that loses the least
// work; it is false if there is none. A run that is not idempotent is not
// stopped without a checkpoint. One that was taken back often enough is
// throttled: that loses no work, but it holds its memory for as long again as it
// still has to run, which is taken to be as long as it has run.
func (l loan) cheapest() (take, bool) {
	cores := float64(l.size.MilliCPU) / 1000
	ran := l.ran.Seconds()
	switch {
	case l.takenBack >= takenBackMax && l.throttled:
		return take{}, false
	case l.takenBack >= takenBackMax:
		freed := model.Resources{MilliCPU: l.size.MilliCPU - l.size.MilliCPU/throttleFactor}
		return take{loan: l, kind: message.OrderThrottle, freed: freed, lost: ran * cores}, true
	case l.ran < checkpointLoss && l.idempotent:
		return take{loan: l, kind: message.OrderStop, freed: l.size, lost: ran * cores}, true
	}
	return take{loan: l, kind: message.OrderCheckpoint, freed: l.size, lost: checkpointLoss.Seconds() * cores}, true
}

// claim is a task that waits, of a team below its share.
type claim struct {
	team       model.TeamID
	need       model.Resources
	precedence int
}

// plan returns the takes that make room for the claim on a worker with free
// resources, and the work they lose. It is false if no takes do.
func (s standings) plan(c claim, free model.Resources, loans []loan) (takes []take, lost float64, ok bool) {
	var options []take
	for _, l := range loans {
		t, ok := l.cheapest()
		if ok && l.precedence <= c.precedence {
			options = append(options, t)
		}
	}
	slices.SortStableFunc(options, func(a, b take) int { return cmp.Compare(a.lost, b.lost) })
	yielded := make(map[model.TeamID]model.Resources)
	for _, t := range options {
		if c.need.Fits(free) {
			break
		}
		after := yielded[t.loan.team].Add(t.freed)
		if !helps(c.need, free, t.freed) || !s.mayYield(t.loan.team, after, c.team, c.need) {
			continue
		}
		yielded[t.loan.team] = after
		free = free.Add(t.freed)
		takes = append(takes, t)
	}
	if !c.need.Fits(free) {
		return nil, 0, false
	}
	takes = needed(c.need, free, takes)
	for _, t := range takes {
		lost += t.lost
	}
	return takes, lost, true
}

// helps reports whether freed has any of what need lacks in free.
func helps(need, free, freed model.Resources) bool {
	return need.MilliCPU > free.MilliCPU && freed.MilliCPU > 0 ||
		need.MemoryMB > free.MemoryMB && freed.MemoryMB > 0 ||
		need.Accelerators > free.Accelerators && freed.Accelerators > 0
}

// needed leaves out takes without which need still fits, the dearest first.
func needed(need, free model.Resources, takes []take) []take {
	for i := len(takes) - 1; i >= 0; i-- {
		if less := free.Sub(takes[i].freed); need.Fits(less) {
			free = less
			takes = slices.Delete(takes, i, i+1)
		}
	}
	return takes
}
