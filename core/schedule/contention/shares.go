package contention

import (
	"math"

	"primrosedale.example/primrosedale/core/model"
)

const (
	// usageTime is the time constant of the average use of a pool by a team.
	usageTime = 4 * model.Second
	// tolerance is the multiple of its part that a team may use on average before its jobs
	// come after others. Jobs arrive at random, and with a part of a few jobs the use
	// varies by about half of it. In trials with the replays of core/hosts, 1 gave 3 % fewer
	// jobs on time beside a team at 8 times its rate, and 2 half of the gain beside a
	// team with large jobs.
	tolerance = 1.5
	// returnFraction is the fraction of this limit below which a team that was over it
	// counts as below again, so that its jobs do not change places with each task.
	returnFraction = 0.8
)

// Shares follows how much of one pool each team uses, by dominant resource. It handles a
// pool whose backlog exceeds it: each team with jobs there has a part of the pool in
// proportion to its weight, and the jobs of those that use more come after the others.
// What a team does not use is lent to the others, since only teams with jobs count.
type Shares struct {
	teams      map[model.TeamID]*teamUse
	observedAt model.Time
}

type teamUse struct {
	use    Work // average
	weight float64
	claims Work // latest, in one second
	active bool
	over   bool
}

// Add adds what a job claims to the next observation.
func (s *Shares) Add(team model.TeamID, weight float64, claims Work) {
	if team == "" || weight <= 0 {
		return // its share is not limited
	}
	t := s.teams[team]
	if t == nil {
		if s.teams == nil {
			s.teams = make(map[model.TeamID]*teamUse)
		}
		t = &teamUse{}
		s.teams[team] = t
	}
	t.weight, t.active = weight, true
	t.claims = t.claims.Plus(claims)
}

// PartChange says that a team began or ceased to use more than its part. Both figures are
// percentages of the pool.
type PartChange struct {
	Team       model.TeamID
	Over       bool
	Used, Part int
}

// Observe ends an observation and returns the teams that are over their part and were not
// before, or the reverse, sorted. contended is the capacity of the pool, or zero if no
// task waits for capacity. No team is over its part then.
func (s *Shares) Observe(now model.Time, contended model.Resources) []PartChange {
	keep := max(0, 1-now.Sub(s.observedAt).Seconds()/usageTime.Seconds())
	s.observedAt = now
	teams := model.SortedKeys(s.teams)
	weights := 0.0
	for _, id := range teams {
		if t := s.teams[id]; t.active {
			weights += t.weight
		}
	}
	capacity := WorkOf(contended, model.Second)
	var changes []PartChange
	for _, id := range teams {
		t := s.teams[id]
		t.use = t.use.Times(keep).Plus(t.claims.Times(1 - keep))
		part := 0.0
		if t.active {
			part = t.weight / weights
		}
		limit := part * tolerance
		if t.over {
			limit *= returnFraction
		}
		over := contended != (model.Resources{}) && t.active && t.use.Exceeds(capacity.Times(limit))
		if over != t.over {
			t.over = over
			changes = append(changes, PartChange{id, over, percent(t.use.dominantShare(capacity)), percent(part)})
		}
		if !t.active && t.use.MilliCPU+t.use.MemoryMB+t.use.Accelerators < 1 {
			delete(s.teams, id)
		}
		t.claims, t.active = Work{}, false
	}
	return changes
}

func percent(fraction float64) int { return int(math.Round(fraction * 100)) }

// dominantShare returns the largest fraction of a resource of the whole, 0 if it has none.
func (w Work) dominantShare(whole Work) float64 {
	share := 0.0
	for _, d := range [][2]float64{{w.MilliCPU, whole.MilliCPU}, {w.MemoryMB, whole.MemoryMB}, {w.Accelerators, whole.Accelerators}} {
		if d[1] > 0 {
			share = max(share, d[0]/d[1])
		}
	}
	return share
}

// Over reports whether a team uses more than its part.
func (s *Shares) Over(team model.TeamID) bool {
	t := s.teams[team]
	return t != nil && t.over
}
