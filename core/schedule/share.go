package schedule

import "primrosedale.example/primrosedale/core/model"

// shareBurst is the time over which a team may submit its share at once.
const shareBurst = 2 * model.Second

// shares counts the jobs that each team has submitted against its share: a bucket
// that fills with the team's weight a second.
type shares map[model.TeamID]*tokenBucket

type tokenBucket struct {
	tokens   float64
	filledAt model.Time
}

// take counts one job of a team and reports whether it is within the team's share.
// A weight of zero stands for any number.
func (s shares) take(now model.Time, team model.TeamID, weight float64) bool {
	if team == "" || weight <= 0 {
		return true
	}
	most := max(1, weight*shareBurst.Seconds())
	b := s[team]
	if b == nil {
		b = &tokenBucket{tokens: most, filledAt: now}
		s[team] = b
	}
	b.tokens = min(most, b.tokens+weight*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// WithinShare counts a job that a team submits and reports whether it is within
// the team's share.
func (s *Scheduler) WithinShare(env Env, team model.TeamID) bool {
	return s.shares.take(env.Now, team, env.State.Config.Teams[team].Weight)
}

// GiveBack takes back the count of a job that was refused: its caller will submit it
// in again.
func (s *Scheduler) GiveBack(team model.TeamID) {
	if b := s.shares[team]; b != nil {
		b.tokens++
	}
}
