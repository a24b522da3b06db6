package core

import (
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
)

type (
	logEntry    = consensus.Entry[fleet.Command]
	logSnapshot = consensus.Snapshot[*fleet.State]
)

// apply applies one committed log entry to the replicated state, answers its submitter
// and, on the leader, passes the result to the sub-reducers.
func (s *State) apply(e *logEntry) {
	if e.Kind == consensus.EntryVoters {
		s.logVoters(e)
	}
	if e.Kind != consensus.EntryCommand || e.Command == nil {
		s.fleet.Index = e.Index
		return
	}
	c := e.Command
	before := s.stateBefore(c)
	result := s.fleet.Apply(e.Index, c)
	s.answerCommand(c, result)
	s.logCommand(c, result)
	if s.leading != nil {
		s.logChanges(before, c, result)
		s.commandCommitted(c, result)
	}
}

func (s *State) logCommand(c *fleet.Command, result fleet.Result) {
	l := effect.Log{Index: s.fleet.Index}
	switch {
	case c.ApplyRules != nil && result.Problem != nil:
		l.Code, l.Detail = effect.RulesRefused, result.Problem.Error()
	case c.ApplyRules != nil:
		l.Code = effect.RulesAccepted
	case c.GrantKey != nil && result.Problem == nil:
		l.Code, l.Team, l.Detail = effect.KeyGranted, c.GrantKey.Team, c.GrantKey.Name
	case c.WithdrawKey != nil && result.Problem == nil:
		l.Code, l.Detail = effect.KeyWithdrawn, c.WithdrawKey.Name
	case c.AddMember != nil:
		l.Code, l.Host = effect.MemberAdded, c.AddMember.Host
	default:
		return
	}
	s.emit(l)
}
