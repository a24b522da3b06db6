package core

import (
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/delegate"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

func (s *State) dataCentreOf(id model.WorkerID) model.DataCentreID {
	if w := s.fleet.Jobs.Workers[id]; w != nil {
		return w.DataCentre
	}
	return ""
}

// advanceDelegates updates the replicas that can make calls for the leader, and ends
// the calls of those that no longer can.
func (s *State) advanceDelegates() {
	if s.leading.dispatcher == nil {
		return
	}
	var replicas []delegate.Replica
	for _, p := range s.log.Status().Peers {
		if p.Voter {
			replicas = append(replicas, delegate.Replica{Host: p.ID.Host, LastHeard: p.LastHeard})
		}
	}
	s.handleWorkerReplies(s.leading.dispatcher.Advance(s.now, replicas))
}

// handleDelegateReplies handles the results of calls that a replica made for this
// leader.
func (s *State) handleDelegateReplies(from model.HostID, m *message.WorkerReplies) {
	if s.leading.dispatcher != nil {
		s.handleWorkerReplies(s.leading.dispatcher.HandleReplies(s.now, from, m))
	}
}

func (s *State) handleWorkerReplies(replies []order.Reply) {
	for i := range replies {
		s.withScheduler(func(env schedule.Env, out *schedule.Out) { s.leading.scheduler.Replied(env, out, &replies[i]) })
	}
}

// callWorkers makes calls to workers on behalf of the leader. It ignores those of an
// earlier term.
func (s *State) callWorkers(from model.HostID, m *message.WorkerCalls) {
	if m.Term < s.log.BasicStatus().Term {
		return
	}
	for _, c := range s.agent.AcceptCalls(s.now, from, m) {
		s.emit(effect.CallWorker{Call: c, Term: m.Term, SendBy: delegate.SendBy(&c, m.Reported)})
	}
}

// handleWorkerReply handles the result of a call to a worker. The result of a call that
// this process made as the leader, which has no term, is dropped if it no longer leads.
func (s *State) handleWorkerReply(e event.WorkerReplied) {
	switch {
	case e.Term != 0:
		s.agent.CompleteCall(s.now, e.Term, e.Reply)
	case s.leading != nil:
		s.handleWorkerReplies([]order.Reply{e.Reply})
	}
}

// flushCalls sends the calls that this event assigned to other replicas, and the
// results of the calls that this replica made for the leader.
func (s *State) flushCalls() {
	if s.leading != nil && s.leading.dispatcher != nil {
		for _, m := range s.leading.dispatcher.Flush() {
			s.send(m.To, m.Message)
		}
	}
	if !s.runsJobs() || !s.cfg.Durable || s.leading != nil {
		return
	}
	if status := s.log.BasicStatus(); status.Role == consensus.Follower && status.Leader.Host != "" {
		s.agent.Follow(status.Leader.Host, status.Term)
	}
	if m, ok := s.agent.Flush(s.now); ok {
		s.send(m.To, m.Message)
	}
}
