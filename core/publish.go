package core

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/view"
)

// publish emits a new view if something in it has changed.
func (s *State) publish() {
	leader, term := s.holder.Leader()
	until := s.holder.LeaseEnd()
	old := s.view
	control := s.fleet.ControlIndex
	if old.Leader == leader && old.Term == term && old.LeaseUntil == until &&
		old.Ready == s.relay.Ready(s.now) && old.BodyLimit == s.relay.BodyLimit() &&
		old.Stopping == s.stopping && s.viewControlIndex == control && old.Rules == s.fleet.Rules {
		return
	}
	next := &view.View{
		Rules:      s.fleet.Rules,
		Teams:      s.keys,
		Leader:     leader,
		Term:       term,
		Applied:    s.fleet.Index,
		LeaseUntil: until,
		Stopping:   s.stopping,
		Ready:      s.relay.Ready(s.now),
		BodyLimit:  s.relay.BodyLimit(),
	}
	s.viewControlIndex = control
	s.view = next
	s.out = append(s.out, effect.Publish{View: next})
}

// enforceKeys updates the keys in force and ends the waiting requests whose key is no
// longer among them.
func (s *State) enforceKeys() {
	if s.keys != nil && s.keysControlIndex == s.fleet.ControlIndex {
		return
	}
	s.keys, s.keysControlIndex = s.teamsByKey(), s.fleet.ControlIndex
	s.emit(s.table.KeysChanged(s.now, s.keys)...)
}

// teamsByKey returns the keys in force with their teams. The key of a team that the
// rules no longer name is not in force.
func (s *State) teamsByKey() map[model.Digest]model.TeamID {
	teams := make(map[model.Digest]model.TeamID, len(s.fleet.Keys))
	for _, k := range s.fleet.Keys {
		if _, known := s.fleet.Rules.Teams[k.Team]; known && !k.Withdrawn {
			teams[k.Hash] = k.Team
		}
	}
	return teams
}

func (s *State) answerStatus(e event.StatusRequested) {
	answer := effect.AnswerStatus{Query: e.Query}
	if e.Burn {
		answer.Burn = s.burnReportInput()
	} else if e.Task != "" {
		if t := s.fleet.Tasks[e.Task]; t != nil && t.Team == e.Team {
			answer.Task = t
		}
	} else {
		answer.Status = s.status()
	}
	s.emit(answer)
}

func (s *State) status() *view.Status {
	log := s.log.Status()
	leader, _ := s.holder.Leader()
	st := &view.Status{
		Host: s.cfg.Host, DataCentre: s.cfg.DataCentre, Role: log.Role.String(), Leader: leader,
		Term: log.Term, Applied: s.fleet.Index, Commit: log.Commit,
		Revision: s.fleet.Rules.Revision, RulesHash: s.fleet.RulesHash,
		Serving: s.holder.Valid(s.now), Held: s.table.Len(),
		Tasks: s.fleet.TasksByPhase(), Pools: s.poolStatus(),
	}
	for _, v := range log.Voters {
		st.Voters = append(st.Voters, v.Host)
	}
	slices.Sort(st.Voters)
	for _, dc := range model.SortedKeys(s.fleet.Rules.DataCentres) {
		if s.fleet.Rules.DataCentres[dc].Out {
			st.Out = append(st.Out, dc)
		}
	}
	if s.leading != nil {
		s.leaderStatus(st)
	}
	return st
}

func (s *State) poolStatus() []view.PoolStatus {
	ids := slices.Sorted(maps.Keys(s.fleet.Rules.Pools))
	pools := make([]view.PoolStatus, 0, len(ids))
	for _, id := range ids {
		pools = append(pools, view.PoolStatus{
			Pool: id, Hosts: s.fleet.HostsIn(id), Unavailable: s.fleet.UnavailableIn(id),
			Budget: s.fleet.Rules.Pools[id].UnavailableMax,
		})
	}
	return pools
}

func (s *State) leaderStatus(st *view.Status) {
	for _, h := range s.leading.members {
		host := view.HostStatus{Host: h, Serving: s.leading.granter.Serving(s.now, h)}
		if session := s.leading.granter.Session(h); session != nil {
			host.Applied, host.Leaving = session.Applied, session.Leaving
		}
		st.Hosts = append(st.Hosts, host)
	}
	st.InForce = s.leading.granter.InForce(s.now, s.leading.members)
	s.leading.owner.Status(s.env(), st)
}
