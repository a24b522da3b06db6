package schedule

import "primrosedale.example/primrosedale/core/model"

// shareBurst is the time in which an empty token bucket fills up. A team may submit the
// share of this time at once.
const shareBurst = 2 * model.Second

// shares holds a token bucket for each team. The bucket is filled at the rate of the
// team's weight per second, and each submitted job takes one token.
type shares map[model.TeamID]*tokenBucket

type tokenBucket struct {
	tokens   float64
	filledAt model.Time
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
	b.tokens = min(capacity, b.tokens+weight*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
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
