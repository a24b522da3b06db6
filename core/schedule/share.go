package schedule

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule/contention"
)

// shareBurst is the time in which an empty token bucket fills up. A team may submit the
// share of this time at once.
const shareBurst = 2 * model.Second

// shares holds a token bucket for each team. The bucket is filled at the rate of the
// team's weight per second, and each submitted job takes one token.
type shares map[model.TeamID]*tokenBucket

type tokenBucket struct {
	tokens   float64
	filledAt model.Time
	spare    float64 // tokens that the full bucket could not hold, while jobs over the share wait
}

// take takes one token for a job of a team and reports whether the job is within the
// team's share. A weight of zero means an unlimited share.
func (s shares) take(now model.Time, team model.TeamID, weight float64) bool {
	if team == "" || weight <= 0 {
		return true
	}
	capacity := max(1, weight*shareBurst.Seconds())
	b := s[team]
	if b == nil {
		b = &tokenBucket{tokens: capacity, filledAt: now}
		s[team] = b
	}
	b.fill(now, weight, capacity)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill adds the tokens since the latest call and returns those that exceed the capacity.
func (b *tokenBucket) fill(now model.Time, weight, capacity float64) float64 {
	tokens := b.tokens + weight*now.Sub(b.filledAt).Seconds()
	b.tokens, b.filledAt = min(capacity, tokens), now
	return tokens - b.tokens
}

// takeSpare takes a token that the full bucket of a team cannot hold, for a job that was
// accepted over the share and still waits. Tokens of the bucket are kept for the jobs that
// the team submits next.
func (s shares) takeSpare(now model.Time, team model.TeamID, weight float64) bool {
	b := s[team]
	if b == nil || weight <= 0 {
		return false
	}
	b.spare = min(1, b.spare+b.fill(now, weight, max(1, weight*shareBurst.Seconds())))
	if b.spare < 1 {
		return false
	}
	b.spare = 0
	return true
}

// updateShares updates the classes of the jobs of a pool, which depend on what their teams
// submit and use at present, and sorts them again if some class has changed.
func (s *Scheduler) updateShares(env Env, out *Out, id model.ServiceID, p *pool) {
	changed, waiting := false, false
	for _, job := range p.jobs { // in the order of their due times within a class
		if job.longRunning || job.job.Team == "" {
			continue
		}
		weight := env.State.Config.Teams[job.job.Team].Weight
		if job.overShare && !job.late && s.shares.takeSpare(env.Now, job.job.Team, weight) {
			job.overShare, changed = false, true
		}
		left := job.remainingWork(s.durations(job.job.Queue))
		p.shares.Add(job.job.Team, weight, left.claimed)
		waiting = waiting || left.open != (contention.Work{})
	}
	var contended model.Resources
	if waiting {
		contended = s.batchCapacity(env, p)
	}
	parts := p.shares.Observe(env.Now, contended)
	if len(parts) > 0 {
		changed = true
		for _, job := range p.jobs {
			job.overPart = p.shares.Over(job.job.Team)
		}
	}
	for _, c := range parts {
		detail := fmt.Sprintf("it uses %d %% of pool %s on average, its part is %d %%", c.Used, id, c.Part)
		switch {
		case !waiting:
			detail = fmt.Sprintf("no task waits for capacity of pool %s", id)
		case c.Over:
			detail += ", its jobs come after those of other teams"
		}
		out.log(effect.TeamPart, effect.Log{Team: c.Team, Count: c.Used, Detail: detail})
	}
	if changed {
		slices.SortFunc(p.jobs, compareJobs)
	}
}

// TakeShare counts a submitted job against the share of its team and reports whether it
// is within the share.
func (s *Scheduler) TakeShare(env Env, team model.TeamID) bool {
	return s.shares.take(env.Now, team, env.State.Config.Teams[team].Weight)
}

// ReturnShare undoes the count of a job that was refused, since its caller will submit it
// again.
func (s *Scheduler) ReturnShare(team model.TeamID) {
	if b := s.shares[team]; b != nil {
		b.tokens++
	}
}
