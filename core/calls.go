package core

import (
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/delegate"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/handler"
	"primrosedale.example/primrosedale/core/hosts"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

// runsJobs reports whether this cluster runs jobs on workers that the leader calls.
func (s *State) runsJobs() bool { return s.cfg.Bounds.LeaseMax > 0 }

func (s *State) scheduleEnv() schedule.Env {
	return schedule.Env{
		Now: s.now, Clock: s.replicatedNow(), Term: s.leading.term, State: s.fleet.Jobs, Bounds: s.cfg.Bounds,
	}
}

// withScheduler runs handle on the scheduler, then emits the effects and proposes the
// commands that it returned. It does nothing if the cluster runs no jobs.
func (s *State) withScheduler(handle func(schedule.Env, *schedule.Out)) {
	if s.leading.scheduler == nil {
		return
	}
	var out schedule.Out
	env := s.scheduleEnv()
	handle(env, &out)
	s.emitOrders(out.Effects)
	s.proposeJobs(out.Proposals)
}

// placeTasks assigns tasks to workers. It runs after everything else that happened at
// this instant has been handled, and reports whether it proposed any assignment.
func (s *State) placeTasks() bool {
	if s.leading == nil || s.leading.scheduler == nil {
		return false
	}
	var out schedule.Out
	s.leading.scheduler.Place(s.scheduleEnv(), &out)
	s.emitOrders(out.Effects)
	s.proposeJobs(out.Proposals)
	return len(out.Proposals) > 0
}

// withHostPlanner runs handle on the planner of hosts, then carries out what the
// planner and, through it, the scheduler returned.
func (s *State) withHostPlanner(handle func(hosts.Env, *hosts.Out)) {
	if s.leading.hosts == nil {
		return
	}
	var out hosts.Out
	handle(hosts.Env{Schedule: s.scheduleEnv(), Scheduler: s.leading.scheduler, Self: s.cfg.Host}, &out)
	s.emitOrders(out.Effects)
	s.proposeJobs(out.Proposals)
	s.withScheduler(func(_ schedule.Env, o *schedule.Out) { *o = out.Schedule })
}

// emitOrders emits effects. Calls to workers and hosts are emitted only under the
// leader lease, since a later leader assumes that all leases and orders of this one
// were given before its own term. A call that is left out counts as a call without an
// answer.
func (s *State) emitOrders(effects []effect.Effect) {
	lease := s.log.HoldsLeaderLease(s.now)
	for _, e := range effects {
		switch e := e.(type) {
		case effect.CallWorker:
			if lease && !s.leading.dispatcher.Enqueue(s.now, e.Call, s.dataCentreOf(e.Call.Worker)) {
				e.SendBy = delegate.SendBy(&e.Call, s.now)
				s.emit(e)
			}
			continue
		case effect.CallHosts:
			if lease {
				e.SendBy = s.now.Add(delegate.MaxCallAge)
				s.emit(e)
			}
			continue
		case effect.CallAdvice:
			if !lease {
				continue
			}
		}
		s.emit(e)
	}
}

func (s *State) proposeJobs(commands []jobs.Command) {
	if len(commands) == 0 {
		return
	}
	list := make([]fleet.Command, len(commands))
	for i := range commands {
		list[i].Jobs = &commands[i]
	}
	s.propose(list...)
}

// leaderSilenceMax is the time without a message from the leader after which a replica
// no longer answers heartbeats itself: two heartbeats of the log and a tick.
const leaderSilenceMax = 2*HeartbeatInterval + TickInterval

// handleCall answers a heartbeat that contains nothing new, which saves the leader the
// work. Any other call is held and passed to the leader.
func (s *State) handleCall(c call.Call) {
	if h := c.Heartbeat; h != nil && s.isCaughtUp() && handler.IsRecorded(s.fleet.Jobs, h) {
		s.emit(effect.AnswerCall{Answer: call.Answer{Seq: c.Seq, Incarnation: s.cfg.Incarnation, Next: s.cfg.Host}})
		return
	}
	if s.cfg.Durable {
		c.Horizon = s.horizon.ofCall(s.fleet.Index + 1)
	}
	s.emit(s.relay.Accept(s.now, c, s.horizon.isSettling())...)
}

// isCaughtUp reports whether this replica hears a leader and has applied every entry
// that it knew to be committed at the earlier sample of commitSamples.
func (s *State) isCaughtUp() bool {
	status := s.log.BasicStatus()
	return s.cfg.Durable && !s.stopping && status.Role == consensus.Follower &&
		status.Leader.Host != "" && s.now.Sub(status.LeaderLastHeard) <= leaderSilenceMax && s.fleet.Index >= s.commits.previous
}

// commitSamples holds the commit index at two moments. previous was sampled between
// leaderSilenceMax and about twice that time ago.
type commitSamples struct {
	previous, latest uint64
	latestAt         model.Time // of latest
}

func (m *commitSamples) sample(now model.Time, commit uint64) {
	if now.Sub(m.latestAt) >= leaderSilenceMax {
		m.previous, m.latest, m.latestAt = m.latest, commit, now
	}
}

// heartbeatHost returns the host to which a worker sends its heartbeats: the replica
// that makes the calls to the worker, or this host if there is none.
func (s *State) heartbeatHost(w *jobs.Worker) model.HostID {
	if host, ok := s.leading.dispatcher.DelegateFor(s.now, w.ID, w.DataCentre); ok {
		return host
	}
	return s.cfg.Host
}

// decideCall decides a call if this process leads and holds the leader lease. Otherwise
// it tells the sender which host leads.
func (s *State) decideCall(from model.HostID, c *call.Call) {
	if !s.canDecide() {
		leader := s.log.BasicStatus().Leader.Host
		if leader == s.cfg.Host {
			leader = ""
		}
		s.send(from, message.Message{Redirect: &call.Redirect{Seq: c.Seq, Incarnation: c.Incarnation, Leader: leader}})
		return
	}
	if stamp := s.stamp(); c.Submit != nil && c.Stamp.Term != 0 && c.Stamp.Term != stamp.Term {
		s.send(from, message.Message{Redirect: &call.Redirect{Seq: c.Seq, Incarnation: c.Incarnation, Leader: s.cfg.Host, Stamp: stamp}})
		return
	}
	ref := jobs.CallRef{Host: from, Incarnation: c.Incarnation, Seq: c.Seq}
	env := handler.Env{Schedule: s.scheduleEnv(), Scheduler: s.leading.scheduler}
	if c.Heartbeat != nil {
		env.Next = s.heartbeatHost(&c.Heartbeat.Worker)
	}
	d := s.leading.handler.Decide(env, ref, c)
	for _, l := range d.Logs {
		if l.Host == "" {
			l.Host = from
		}
		s.emit(l)
	}
	if d.Answer != nil {
		s.answerCall(ref, *d.Answer)
		return
	}
	d.Command.Call = ref
	s.proposeJobs([]jobs.Command{*d.Command})
}

// stamp returns the current moment of this leader.
func (s *State) stamp() call.Stamp { return call.Stamp{Term: s.leading.term, At: s.now} }

// canDecide reports whether this process may answer calls from its state.
func (s *State) canDecide() bool {
	return s.leading != nil && s.leading.scheduler != nil && s.log.HoldsLeaderLease(s.now)
}

func (s *State) answerCall(ref jobs.CallRef, a call.Answer) {
	a.Seq, a.Incarnation = ref.Seq, ref.Incarnation
	s.send(ref.Host, message.Message{CallAnswer: &a})
}

// jobCommandCommitted answers the call that led to a committed command, logs the
// command and passes it to the leader's sub-reducers.
func (s *State) jobCommandCommitted(c *jobs.Command, r *jobs.Result) {
	if s.leading.scheduler == nil {
		return
	}
	if c.Call.Host != "" {
		s.answerCall(c.Call, s.answerTo(c, r))
	}
	s.logJobCommand(c, r)
	s.leading.handler.Committed(c)
	s.withScheduler(func(env schedule.Env, out *schedule.Out) { s.leading.scheduler.Committed(env, out, c, *r) })
	s.withHostPlanner(func(env hosts.Env, out *hosts.Out) { s.leading.hosts.Committed(env, out, c) })
}

func (s *State) answerTo(c *jobs.Command, r *jobs.Result) call.Answer {
	a := call.Answer{Problem: r.Problem, SupersededBy: r.SupersededBy}
	switch {
	case c.Announce != nil:
		a.Next = s.heartbeatHost(c.Announce)
	case c.Submit != nil && r.Problem == nil:
		a.State = call.JobQueued
	}
	return a
}

func (s *State) logJobCommand(c *jobs.Command, r *jobs.Result) {
	switch {
	case c.Submit != nil && r.Changed:
		s.emit(effect.Log{Code: effect.JobAccepted, Request: model.RequestID(c.Submit.ID), Queue: c.Submit.Queue,
			Team: c.Submit.Team, Index: s.fleet.Index, Count: len(c.Submit.Steps)})
	case c.Configure != nil:
		detail := "in force"
		if !r.Changed {
			detail = "not higher than the version in force"
		}
		s.emit(effect.Log{Code: effect.ConfigAccepted, Index: c.Configure.Version, Host: c.Call.Host, Detail: detail})
	case c.StartWave != nil && r.Changed:
		s.emit(effect.Log{Code: effect.WaveStarted, Index: c.StartWave.Wave, Count: len(c.StartWave.Hosts)})
	case c.Announce != nil && r.Changed && c.Announce.Draining:
		s.emit(effect.Log{Code: effect.WorkerDraining, Worker: c.Announce.ID, Host: c.Announce.Host})
	case c.SetOut != nil && r.Changed:
		code := effect.DataCentreIn
		if c.SetOut.Out {
			code = effect.DataCentreOut
		}
		s.emit(effect.Log{Code: code, Detail: string(c.SetOut.DataCentre)})
	}
}

// addReplicas adds replicas that this process may ask to admit it as a member. On the
// platform, a host without a data folder does not replicate the log; it only forwards
// calls.
func (s *State) addReplicas(replicas []model.HostID) {
	if s.cfg.Durable {
		s.log.AddPeers(replicas...)
	}
}

// answerContact tells an entry host which replica leads, the replicas and the limit of
// a body.
func (s *State) answerContact(from model.HostID, c *call.Contact) {
	status := s.log.BasicStatus()
	r := call.ContactReply{Seq: c.Seq, Leads: s.canDecide(), Leader: status.Leader.Host}
	if status.Role != consensus.Leader && (r.Leader == s.cfg.Host || s.isLeaderSilent(&status)) {
		r.Leader = ""
	}
	if r.Leads && s.cfg.Bounds.Enabled(schedule.DurableRefusals) {
		r.Stamp = s.stamp()
	}
	for _, v := range status.Voters {
		r.Replicas = append(r.Replicas, v.Host)
	}
	if cfg := s.fleet.Jobs.Config; cfg != nil {
		r.BodyBytes = cfg.Limits.BodyBytes
	}
	s.send(from, message.Message{ContactReply: &r})
}

// isLeaderSilent reports whether this replica has not heard its leader for so long that it
// may be gone. Such a leader is not named to entry hosts, which then wait for the next one.
func (s *State) isLeaderSilent(status *consensus.BasicStatus) bool {
	return s.cfg.Bounds.Enabled(schedule.DurableRefusals) && s.now.Sub(status.LeaderLastHeard) > leaderSilenceMax
}

func (s *State) handleAdviceReply(r *order.AdviceReply) {
	if s.leading == nil {
		return
	}
	s.withScheduler(func(env schedule.Env, out *schedule.Out) { s.leading.scheduler.Advised(env, out, r) })
}

func (s *State) handleHostsReply(r *order.HostReply) {
	if s.leading == nil {
		return
	}
	s.withHostPlanner(func(env hosts.Env, out *hosts.Out) { s.leading.hosts.Replied(env, out, r) })
}
