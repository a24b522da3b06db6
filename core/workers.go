package core

import (
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/placement"
)

func (s *State) placementEnv() placement.Env {
	return placement.Env{
		Now:             s.now,
		Fleet:           s.fleet,
		MayGrant:        s.log.HoldsLeaderLease(s.now),
		Ready:           s.leading.owner.Ready(),
		RequestsRunning: s.leading.owner.RequestsRunning,
		Shares:          sharePolicy(s.cfg.Policy),
	}
}

// sharePolicy returns how the placer counts tasks against shares, and whether it
// preempts tasks, under a policy.
func sharePolicy(name dispatch.PolicyName) placement.SharePolicy {
	switch name {
	case dispatch.PolicyStatic, dispatch.PolicyTaskCount:
		return placement.SharePolicy{ByUnits: true, NoPreemption: true}
	case dispatch.PolicyNoPreemption:
		return placement.SharePolicy{NoPreemption: true}
	default:
		return placement.SharePolicy{}
	}
}

func (s *State) maintenanceEnv() maintenance.Env {
	// A drain may span several leaders, so its duration is measured on the replicated clock.
	return maintenance.Env{
		Now: s.replicatedNow(), Fleet: s.fleet, Policy: s.cfg.HostPolicy,
		Busy: s.leading.owner.HostBusy, Reserved: s.leading.placer.Reserved, Need: s.leading.placer.Need,
	}
}

// withPlacer runs handle on the placer, then emits the effects and proposes the
// commands that it returned. It tells the placer if the log did not accept the
// commands.
func (s *State) withPlacer(handle func(placement.Env, *placement.Output)) {
	var out placement.Output
	env := s.placementEnv()
	handle(env, &out)
	if !s.emitAndPropose(out.Effects, out.Proposals) {
		s.leading.placer.NotProposed(env, out.Proposals)
	}
}

// withPlanner runs handle on the planner, then emits the effects and proposes the
// commands that it returned. It tells the planner if the log did not accept the
// commands.
func (s *State) withPlanner(handle func(maintenance.Env, *maintenance.Output)) {
	var out maintenance.Output
	env := s.maintenanceEnv()
	handle(env, &out)
	if !s.emitAndPropose(out.Effects, out.Proposals) {
		s.leading.planner.NotProposed(env, out.Proposals)
	}
}

// emitAndPropose emits effects and proposes commands. It returns false if the log did
// not accept the commands, as during a transfer of the leadership, which may fail and
// leave this process leading.
func (s *State) emitAndPropose(effects []effect.Effect, proposals []fleet.Command) bool {
	s.emit(effects...)
	if len(proposals) == 0 {
		return true
	}
	s.setTimes(proposals)
	_, ok := s.log.Propose(proposals...)
	return ok
}
