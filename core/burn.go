package core

import (
	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// objectiveKeys are the counters that the objectives of one revision of the rules need.
type objectiveKeys struct {
	rules *rules.Rules
	keys  burn.Keys
}

// countEndedRequests adds the requests that ended in this event to the burn counters.
func (s *State) countEndedRequests() {
	for _, end := range s.table.TakeEnds() {
		s.countBurn(s.requestKey(end.Team, end.Queue), end.Cause, 1)
	}
}

// takeDueCounts returns the counts to send with the next Renew. It first drops the
// counts that the replicated state of this host already contains.
func (s *State) takeDueCounts(term uint64) []burn.Batch {
	s.burn.Recorded(s.fleet.Burn.Recorded(burn.Process{Host: s.cfg.Host, Incarnation: s.cfg.Incarnation}))
	return s.burn.Due(s.now, term)
}

// countRefusals counts the requests and tasks that the traffic goroutines refused.
func (s *State) countRefusals(list []event.Refusal) {
	for _, r := range list {
		key := s.requestKey(r.Team, r.Queue)
		if r.Pool != "" {
			key = burn.Key{Team: r.Team, Pool: r.Pool}
		}
		s.countBurn(key, burn.CauseOfProblem(r.Kind), r.Count)
	}
}

func (s *State) requestKey(team model.TeamID, queue model.QueueID) burn.Key {
	return burn.Key{Team: team, Service: s.fleet.Rules.Queues[queue].Service}
}

func (s *State) countBurn(key burn.Key, cause burn.Cause, n uint64) {
	if s.objectives.rules != s.fleet.Rules {
		s.objectives = objectiveKeys{s.fleet.Rules, burn.KeysOf(s.fleet.Rules)}
	}
	if s.objectives.keys.Has(key) {
		s.burn.Count(key, cause, n)
	}
}

// proposeBurnRecord proposes a command that records the counts received by the leader.
func (s *State) proposeBurnRecord() {
	if !s.log.HoldsLeaderLease(s.now) {
		return
	}
	record := s.leading.burn.Due(s.now, &s.fleet.Burn)
	if record == nil {
		return
	}
	s.withOwner(func(_ dispatch.Env, out *dispatch.Output) {
		out.Proposals = append(out.Proposals, fleet.Command{At: s.now, RecordBurn: &fleet.RecordBurn{Record: *record}})
	})
}

// sendFinalCounts sends the leader the counts of a process that is about to exit. If
// the message is lost, they are lost with the process.
func (s *State) sendFinalCounts() {
	leader, term := s.holder.Leader()
	if leader == "" || leader == s.cfg.Host {
		return
	}
	s.countEndedRequests()
	r := s.holder.Renew(s.now, s.fleet.Index, true)
	if r.Full {
		r.Forwarded = s.table.Forwarded(s.now)
	}
	r.Burn = s.burn.Last(s.now, term)
	s.send(leader, message.Message{Renew: r})
}

func (s *State) burnReportInput() *burn.ReportInput {
	return &burn.ReportInput{Now: s.now, Rules: s.fleet.Rules, History: s.fleet.Burn}
}
