package core

import (
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Reduce applies one event to the state and returns its effects in order. Once the
// process has halted, it does nothing.
func Reduce(s *State, in event.Input) []effect.Effect {
	s.now = in.At
	s.rand = in.Rand
	s.out = nil
	if s.horizon.observe(in.At, s.fleet.Index+1) {
		s.relay.NotePause()
	}
	if s.halted {
		return nil
	}
	s.handle(in.Event)
	s.handlePending()
	s.flushCalls()
	s.countEndedRequests()
	s.publish()
	return s.out
}

func (s *State) handle(e event.Event) {
	switch e := e.(type) {
	case event.Batch:
		for _, one := range e.Events {
			s.handle(one)
		}
	case event.Tick:
		s.tick()
	case event.Received:
		s.receive(e.From, e.Message)
	case event.Persisted:
		s.log.Persisted(e.Term, e.Index)
	case event.PersistFailed:
		s.handlePersistFailure(e.Reason)
	case event.RequestArrived:
		s.emit(s.table.Accept(s.now, e.Request)...)
	case event.RequestAbandoned:
		s.emit(s.table.CallerDisconnected(s.now, e.Request)...)
	case event.ForwardEnded:
		s.emit(s.table.Ended(s.now, e)...)
	case event.RequestsRefused:
		s.countRefusals(e.Refusals)
	case event.TargetReported:
		s.forwardReport(e.Report.Report, message.Message{TargetReport: &e.Report})
	case event.WorkerReported:
		s.forwardReport(e.Report.Report, message.Message{WorkerReport: &e.Report})
	case event.CommandSubmitted:
		s.submit(e.Command)
	case event.StatusRequested:
		s.answerStatus(e)
	case event.CallArrived:
		s.handleCall(e.Call)
	case event.CallAbandoned:
		s.relay.Abandon(e.Seq)
	case event.WorkerReplied:
		s.handleWorkerReply(e)
	case event.HostsReplied:
		s.handleHostsReply(&e.Reply)
	case event.AdviceReplied:
		s.handleAdviceReply(&e.Reply)
	case event.SettingsChanged:
		s.relay.SetSeeds(e.Seeds)
		s.addReplicas(e.Seeds)
	case event.StopRequested:
		s.stop()
	}
}

// handlePending repeats until nothing is left to do at this instant: it applies entries
// that became committed and handles messages that the process sent to itself.
func (s *State) handlePending() {
	for {
		s.followLeader()
		s.handleLogOutput()
		s.enforceKeys()
		s.updateLeadership()
		s.haltIfRetired()
		if len(s.local) == 0 {
			if s.placeTasks() {
				continue
			}
			return
		}
		m := s.local[0]
		s.local = s.local[1:]
		s.receive(s.cfg.Host, m)
	}
}

func (s *State) tick() {
	s.log.Tick(s.now, s.rand)
	s.horizon.tick()
	s.commits.sample(s.now, s.log.BasicStatus().Commit)
	s.transferIfDiskStalled()
	s.followLeader()
	s.updateLeadership()
	s.logLeaseChange()
	s.renew()
	s.emit(s.table.Advance(s.now)...)
	s.advanceLeader()
	s.resendCommands()
	s.emit(s.relay.Advance(s.now)...)
	s.finishStop()
}

func (s *State) receive(from model.HostID, m message.Message) {
	switch {
	case m.Log != nil:
		if m.Log.From.Host == from {
			s.log.Step(s.now, s.rand, *m.Log)
		}
	case m.Grant != nil:
		s.handleGrant(m.Grant)
	case m.Dispatch != nil:
		s.emit(s.table.Dispatch(s.now, s.startBy(m.Dispatch), m.Dispatch)...)
	case m.Refuse != nil:
		s.emit(s.table.Refuse(s.now, m.Refuse)...)
	case m.Settled != nil:
		s.emit(s.table.Settled(m.Settled)...)
	case m.ReportReply != nil:
		s.emit(effect.AnswerReport{Reply: *m.ReportReply})
	case m.Call != nil:
		s.decideCall(from, m.Call)
	case m.CallAnswer != nil:
		s.emit(s.relay.HandleAnswer(s.now, m.CallAnswer)...)
	case m.Redirect != nil:
		s.emit(s.relay.HandleRedirect(s.now, from, m.Redirect)...)
	case m.WorkerCalls != nil:
		s.callWorkers(from, m.WorkerCalls)
	case m.Contact != nil:
		s.answerContact(from, m.Contact)
	case m.ContactReply != nil:
		s.addReplicas(append(m.ContactReply.Replicas, m.ContactReply.Leader))
		s.emit(s.relay.HandleContactReply(s.now, from, m.ContactReply)...)
	default:
		s.receiveAsLeader(from, m)
	}
}

// startBy returns the latest time at which a dispatched request may start on this host,
// or zero if it may not start.
func (s *State) startBy(d *message.Dispatch) model.Time {
	sent, known := s.holder.RenewSentAt(d.Renewal)
	if !known || !s.holder.Valid(s.now) {
		return 0
	}
	return sent.Add(d.StartBy)
}

func (s *State) handleGrant(g *message.Grant) {
	if s.holder.HandleGrant(g) {
		s.emit(s.table.Resend(s.now)...)
	}
	s.logLeaseChange()
}

// followLeader tells the sub-reducers which host leads.
func (s *State) followLeader() {
	status := s.log.BasicStatus()
	leader := status.Leader.Host
	s.logTermChange(status.Term)
	if s.holder.SetLeader(leader, status.Term) {
		s.emit(s.table.SetLeader(s.now, leader, status.Term)...)
	}
	if s.cfg.Durable {
		s.relay.SetTerm(status.Term)
		s.emit(s.relay.SetLeader(s.now, leader)...)
	}
}

// renew asks the leader for the next serving lease when that is due.
func (s *State) renew() {
	if !s.holder.Due(s.now) {
		return
	}
	leader, _ := s.holder.Leader()
	r := s.holder.Renew(s.now, s.fleet.Index, s.stopping)
	if r.Full {
		r.Forwarded = s.table.Forwarded(s.now)
	}
	r.Burn = s.takeDueCounts(r.Term)
	s.send(leader, message.Message{Renew: r})
}

// forwardReport forwards an announcement to the leader, which answers it.
func (s *State) forwardReport(id uint64, m message.Message) {
	leader, _ := s.holder.Leader()
	if leader == "" {
		s.emit(effect.AnswerReport{Reply: message.ReportReply{
			Report: id, Problem: problem.New(problem.NoLeader, "no leader is known"),
		}})
		return
	}
	s.send(leader, m)
}

// handleLogOutput carries out what the replicated log asks for: it persists and applies
// entries and sends messages.
func (s *State) handleLogOutput() {
	for {
		o := s.log.TakeOutput()
		if o.Snapshot != nil {
			s.fleet = o.Snapshot.State.Clone()
			s.fleet.RebuildIndex()
			s.loadReplicas(o.Snapshot)
			s.emit(effect.Log{Code: effect.SnapshotReceived, Index: o.Snapshot.Index})
		}
		s.persist(o.Snapshot, o.HardState, o.Entries)
		for i := range o.Committed {
			s.apply(&o.Committed[i])
		}
		for i := range o.Messages {
			s.send(o.Messages[i].To.Host, message.Message{Log: &o.Messages[i]})
		}
		s.takeSnapshot()
		if len(o.Committed) == 0 && len(o.Messages) == 0 && o.HardState == nil && len(o.Entries) == 0 {
			return
		}
	}
}

// persist hands a write to the log writer. On a host without a data folder, whose copy
// of the log is kept in memory only by design, the write counts as done at once.
func (s *State) persist(snap *logSnapshot, hs *consensus.HardState, entries []logEntry) {
	if snap == nil && hs == nil && len(entries) == 0 {
		return
	}
	status := s.log.BasicStatus()
	if !s.cfg.Durable {
		s.log.Persisted(status.Term, status.LastIndex)
		return
	}
	s.emit(effect.Persist{
		Snapshot: snap, Install: snap != nil, HardState: hs, Entries: entries,
		Term: status.Term, Index: status.LastIndex,
	})
}

func (s *State) takeSnapshot() {
	if !s.log.WantsSnapshot() {
		return
	}
	snap, ok := s.log.MakeSnapshot(s.fleet.Index, s.fleet.Clone())
	if !ok {
		return
	}
	s.log.Compact(snap)
	s.emit(effect.Log{Code: effect.SnapshotTaken, Index: snap.Index})
	if s.cfg.Durable {
		s.emit(effect.Persist{Snapshot: &snap})
	}
}

// haltIfRetired halts a replica whose identity has left the voter set. A host without a
// data folder has a new identity in each process and is never a voter.
func (s *State) haltIfRetired() {
	if s.halted || !s.cfg.Durable || !s.log.BasicStatus().Retired {
		return
	}
	s.halted = true
	s.emit(effect.Log{Code: effect.ReplicaRetired}, effect.Halt{Reason: "the identity of this replica is retired", Retired: true})
}

func (s *State) handlePersistFailure(reason string) {
	s.halted = true
	s.out = append(s.out, effect.Log{Code: effect.SyncFailed, Detail: reason}, effect.Halt{Reason: reason})
}
