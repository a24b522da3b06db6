package core

import (
	"slices"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/delegate"
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/handler"
	"primrosedale.example/primrosedale/core/hosts"
	"primrosedale.example/primrosedale/core/lease"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/placement"
	"primrosedale.example/primrosedale/core/schedule"
)

// updateLeadership starts or ends the work of this process as the leader. It starts
// only once the process holds the leader lease of its term and has applied every entry
// that was committed when it got the lease: the other voters can commit entries that
// this process is still writing to its disk.
func (s *State) updateLeadership() {
	status := s.log.BasicStatus()
	leads := status.Role == consensus.Leader
	if s.leading != nil && (!leads || s.leading.term != status.Term) {
		s.emit(effect.Log{Code: effect.LeaderLost, Term: s.leading.term})
		s.leading = nil
	}
	if s.leading != nil || !leads || !s.log.HoldsLeaderLease(s.now) {
		return
	}
	if s.leaseTerm != status.Term {
		s.leaseTerm, s.leaseCommit = status.Term, status.Commit
	}
	if s.fleet.Index < s.leaseCommit {
		return
	}
	s.leading = &leadership{
		term:       status.Term,
		granter:    lease.NewGranter(s.now, status.Term, s.fleet.ControlIndex),
		members:    memberHosts(s.fleet),
		burn:       burn.NewCollector(burn.Leader{Host: s.cfg.Host, Term: status.Term}),
		silent:     make(map[model.HostID]bool),
		startedAt:  s.now,
		startClock: s.fleet.Now,
	}
	if s.leading.startClock == 0 {
		s.leading.startClock = s.now
	}
	s.leading.owner = dispatch.New(s.env(), status.Term)
	s.leading.placer = placement.New(s.placementEnv())
	s.leading.planner = maintenance.New(s.maintenanceEnv())
	if s.runsJobs() {
		s.leading.handler = handler.New()
		s.leading.dispatcher = delegate.NewDispatcher(status.Term)
		s.leading.scheduler = schedule.New(s.scheduleEnv())
		s.logRestored()
		s.leading.hosts = hosts.New(hosts.Env{Schedule: s.scheduleEnv(), Scheduler: s.leading.scheduler, Self: s.cfg.Host})
	}
	s.emit(effect.Log{Code: effect.LeaderElected, Term: status.Term})
	if cfg := s.fleet.Jobs.Config; cfg != nil && s.runsJobs() {
		s.emit(effect.Log{Code: effect.ConfigTakenOver, Term: status.Term, Index: cfg.Version})
	}
}

// logRestored logs what the scheduler of a new leader has taken over from earlier ones.
func (s *State) logRestored() {
	switch queues, ignored := s.leading.scheduler.Restored(); {
	case ignored:
		s.emit(effect.Log{Code: effect.LearnedIgnored, Term: s.leading.term})
	case queues > 0:
		s.emit(effect.Log{Code: effect.LearnedRestored, Term: s.leading.term, Count: queues})
	}
}

// advanceLeader does the leader's work that is due at a tick.
func (s *State) advanceLeader() {
	if s.leading == nil {
		return
	}
	s.propose() // proposes the deferred commands again
	s.logSilentHosts()
	if s.leading.loggedInForce < s.fleet.ControlIndex && s.leading.granter.InForce(s.now, s.leading.members) {
		s.leading.loggedInForce = s.fleet.ControlIndex
		s.emit(effect.Log{Code: effect.RulesInForce, Index: s.fleet.ControlIndex})
	}
	s.withOwner(func(env dispatch.Env, out *dispatch.Output) { s.leading.owner.Advance(env, out) })
	s.withPlacer(func(env placement.Env, out *placement.Output) { s.leading.placer.Advance(env, out) })
	s.withPlanner(func(env maintenance.Env, out *maintenance.Output) { s.leading.planner.Advance(env, out) })
	s.advanceDelegates()
	s.withScheduler(func(env schedule.Env, out *schedule.Out) { s.leading.scheduler.Advance(env, out) })
	s.withHostPlanner(func(env hosts.Env, out *hosts.Out) { s.leading.hosts.Advance(env, out) })
	s.proposeBurnRecord()
}

// withOwner runs handle on the owner of the request queues, then emits the effects and
// proposes the commands that it returned.
func (s *State) withOwner(handle func(dispatch.Env, *dispatch.Output)) {
	var out dispatch.Output
	handle(s.env(), &out)
	s.emit(out.Effects...)
	s.propose(out.Proposals...)
}

// replicatedNow returns the replicated clock, fleet.State.Now, advanced by the time
// that this process has led. The clocks of two hosts may differ by any amount, so
// durations that span several leaders, such as the retention of claims, must not depend
// on which host's clock is ahead. Time without a leader is not counted.
func (s *State) replicatedNow() model.Time {
	return s.leading.startClock.Add(s.now.Sub(s.leading.startedAt))
}

// setTimes sets the time of commands, on the replicated clock, before they are
// proposed.
func (s *State) setTimes(commands []fleet.Command) {
	for i := range commands {
		commands[i].At = s.replicatedNow()
	}
}

// propose sets the time of the commands and appends them to the log. The log accepts no
// commands during a transfer of the leadership; they are then deferred until the
// transfer fails, or dropped at the end of the term.
func (s *State) propose(commands ...fleet.Command) {
	s.setTimes(commands)
	s.leading.deferred = append(s.leading.deferred, commands...)
	if _, ok := s.log.Propose(s.leading.deferred...); ok {
		s.leading.deferred = nil
	}
}

// receiveAsLeader handles messages that only a leader acts on. Other processes drop
// them, and the sender tries again once it knows the new leader.
func (s *State) receiveAsLeader(from model.HostID, m message.Message) {
	if s.leading == nil {
		return
	}
	owner := s.leading.owner
	switch {
	case m.Renew != nil:
		s.handleRenew(from, m.Renew)
	case m.Command != nil:
		s.propose(m.Command.Command)
	case m.WorkerReplies != nil:
		s.handleDelegateReplies(from, m.WorkerReplies)
	case m.Ask != nil:
		s.withOwner(func(env dispatch.Env, out *dispatch.Output) { owner.Ask(env, out, from, m.Ask) })
	case m.Done != nil:
		s.withOwner(func(env dispatch.Env, out *dispatch.Output) { owner.Done(env, out, from, m.Done) })
	case m.Withdraw != nil:
		s.withOwner(func(env dispatch.Env, out *dispatch.Output) { owner.Withdraw(env, out, from, m.Withdraw) })
	case m.TargetReport != nil:
		s.withOwner(func(env dispatch.Env, out *dispatch.Output) {
			reply := owner.Report(env, out, m.TargetReport)
			s.send(from, message.Message{ReportReply: &reply})
		})
	case m.WorkerReport != nil:
		s.withPlacer(func(env placement.Env, out *placement.Output) {
			reply := s.leading.placer.Report(env, out, m.WorkerReport)
			s.send(from, message.Message{ReportReply: &reply})
		})
	}
}

// handleRenew handles the renewal of a serving lease. A host gets its first lease only
// once it is a member in the replicated state, so that a later leader waits for the
// host.
func (s *State) handleRenew(from model.HostID, r *message.Renew) {
	if r.Term != s.leading.term || s.leading.granter.Outdated(from, r.Incarnation) {
		return
	}
	if _, member := s.fleet.Members[from]; !member {
		s.propose(fleet.Command{AddMember: &fleet.AddMember{Host: from, DataCentre: r.DataCentre}})
		return
	}
	s.leading.burn.Received(burn.Process{Host: from, Incarnation: r.Incarnation}, r.Burn)
	earlier := s.leading.granter.Session(from)
	restarted := earlier != nil && earlier.Incarnation != r.Incarnation
	s.withOwner(func(env dispatch.Env, out *dispatch.Output) {
		s.leading.owner.GatewayRenewed(env, out, from, restarted)
		s.leading.owner.AdoptForwarded(env, from, r.Forwarded)
	})
	if !s.log.HoldsLeaderLease(s.now) {
		return
	}
	if grant := s.leading.granter.HandleRenew(s.now, from, r); grant != nil {
		s.send(from, message.Message{Grant: grant})
	}
}

// commandCommitted passes a committed command to the leader's sub-reducers.
func (s *State) commandCommitted(c *fleet.Command, result fleet.Result) {
	if c.Jobs != nil {
		s.jobCommandCommitted(c.Jobs, result.Jobs)
		return
	}
	s.leading.granter.ControlChanged(s.now, s.fleet.ControlIndex)
	if c.AddMember != nil && !slices.Contains(s.leading.members, c.AddMember.Host) {
		s.leading.members = memberHosts(s.fleet)
	}
	s.withOwner(func(env dispatch.Env, out *dispatch.Output) { s.leading.owner.Committed(env, out, c, result) })
	s.withPlacer(func(env placement.Env, out *placement.Output) { s.leading.placer.Committed(env, out, c, result) })
	s.withPlanner(func(env maintenance.Env, out *maintenance.Output) { s.leading.planner.Committed(env, out, c, result) })
}
