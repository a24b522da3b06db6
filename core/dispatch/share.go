package dispatch

import "primrosedale.example/primrosedale/core/model"

// shareMin is the share, in percent, that a team without one is treated as
// having: it gets what others leave.
const shareMin = 0.1

// turn orders the teams that wait for one service: the highest precedence of
// their first request, then the least running work for the share, then the
// request's own rank.
type teamRank struct {
	usage float64 // running requests in proportion to the share
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

// orderIn gives a team its place among those that wait for a service. It is
// called when the team's first request or its running work changes.
func (o *Owner) rankTeamIn(env Env, s *service, id model.TeamID) {
	_, rank, r, ok := s.waiting[id].Peek()
	if !ok || !o.underLimit(env, id) {
		s.eligible.Remove(id)
		return
	}
	s.eligible.Set(id, teamRank{o.usagePerShare(id), rank}, r)
}

// orderTeam gives a team its place in every service that it waits for.
func (o *Owner) rankTeam(env Env, t *team) {
	for _, s := range t.services {
		o.rankTeamIn(env, s, t.id)
	}
}

// orderTeams does so for all teams, after a change that concerns them all.
func (o *Owner) rankAllTeams(env Env) {
	for _, id := range model.SortedKeys(o.teams) {
		o.rankTeam(env, o.teams[id])
	}
}

// useOfShare is the team's running requests in proportion to its share.
func (o *Owner) usagePerShare(id model.TeamID) float64 {
	share := max(o.rules.Teams[id].Share, shareMin)
	return float64(o.team(id).running) / share
}

// underLimit reports whether the team may have one more running request.
func (o *Owner) underLimit(env Env, id model.TeamID) bool {
	limit := o.rules.Teams[id].Limit
	return o.RequestsRunning(id)+env.TasksRunning(id) < limit
}

// knowSlots changes the bound on requests that may run unseen, which counts for
// every team.
func (o *Owner) addUnverifiedSlots(env Env, change int) {
	o.unverifiedSlots += change
	o.rankAllTeams(env)
}
