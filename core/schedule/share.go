package schedule

import "primrosedale.example/primrosedale/core/model"

// shareBurst is the time over which a team may submit its share at once.
const shareBurst = 2 * model.Second

// shares counts the jobs that each team has submitted against its share: a bucket
// that fills with the team's weight a second.
type shares map[model.TeamID]*bucket

type bucket struct {
	level float64
	at    model.Time
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
		b = &bucket{level: most, at: now}
		s[team] = b
	}
	b.level = min(most, b.level+weight*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
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
		b.level++
	}
}
