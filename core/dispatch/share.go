package dispatch

import "primrosedale.example/primrosedale/core/model"

// shareMin is the share, in percent, used for a team without a share, which gets
// the capacity that the other teams leave.
const shareMin = 0.1

// teamRank orders the teams that wait for one service: by the precedence of their
// first waiting request, highest first, then by usage, least first, then by the rank
// of that request.
type teamRank struct {
	usage float64 // running requests divided by the share
	rank
}

func (a teamRank) before(b teamRank) bool {
	if a.precedence != b.precedence {
		return a.precedence > b.precedence
	}
	if a.usage != b.usage {
		return a.usage < b.usage
	}
	return a.rank.before(b.rank)
}

// rankTeamIn updates the place of a team among those that wait for a service. It is
// called when the team's first waiting request or its running work changes.
func (o *Owner) rankTeamIn(env Env, s *service, id model.TeamID) {
	_, rank, r, ok := s.waiting[id].Peek()
	if !ok || !o.underLimit(env, id) {
		s.eligible.Remove(id)
		return
	}
	s.eligible.Set(id, teamRank{o.usagePerShare(id), rank}, r)
}

// rankTeam updates the place of a team in each service for which it has a queue.
func (o *Owner) rankTeam(env Env, t *team) {
	for _, s := range t.services {
		o.rankTeamIn(env, s, t.id)
	}
}

// rankAllTeams updates the places of all teams, after a change that affects them all.
func (o *Owner) rankAllTeams(env Env) {
	for _, id := range model.SortedKeys(o.teams) {
		o.rankTeam(env, o.teams[id])
	}
}

// usagePerShare returns the team's running requests divided by its share.
func (o *Owner) usagePerShare(id model.TeamID) float64 {
	share := max(o.rules.Teams[id].Share, shareMin)
	return float64(o.team(id).running) / share
}

// underLimit reports whether the team's running requests and tasks are below its
// limit.
func (o *Owner) underLimit(env Env, id model.TeamID) bool {
	limit := o.rules.Teams[id].Limit
	return o.RequestsRunning(id)+env.TasksRunning(id) < limit
}

// addUnverifiedSlots changes the bound on requests that may run on unverified
// targets. The bound counts as running for every team.
func (o *Owner) addUnverifiedSlots(env Env, change int) {
	o.unverifiedSlots += change
	o.rankAllTeams(env)
}
