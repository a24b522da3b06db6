package schedule

import (
	"maps"

	"primrosedale.example/primrosedale/core/model"
)

// HoldHosts names the hosts whose workers get no new runs.
func (s *Scheduler) HoldHosts(hosts map[model.HostID]bool) {
	if !maps.Equal(s.held, hosts) {
		s.held = hosts
		s.touchAll()
	}
}

// LeavingHosts names the hosts that are to be emptied soon.
func (s *Scheduler) LeavingHosts(hosts map[model.HostID]bool) { s.leaving = hosts }

// OnlyLongRunning reports whether a host runs nothing but long-running tasks.
func (s *Scheduler) OnlyLongRunning(host model.HostID) bool {
	for _, w := range s.byHost[host] {
		for _, r := range w.runs {
			if !r.step.LongRunning {
				return false
			}
		}
	}
	return true
}

// Load counts the runs that may be going on at the workers of a host, and the commands
// with ends of them that are not committed: until then only the worker is sure to keep
// these ends.
func (s *Scheduler) Load(host model.HostID) int {
	n := 0
	for _, w := range s.byHost[host] {
		n += len(w.runs) + w.unrecorded
	}
	return n
}

// Empty stops runs of a host so that it becomes empty: long-running tasks, as far as
// the number that each step may miss allows and another host has room. Other runs
// end by themselves.
func (s *Scheduler) Empty(env Env, out *Out, host model.HostID) {
	for _, w := range s.byHost[host] {
		if len(w.runs) == 0 || !w.hasLongRunning() {
			continue
		}
		for _, r := range sortedRunsOf(w) {
			if r.step.LongRunning && r.isUp(env) && s.maySpare(env, r) && s.hasRoomElsewhere(env, r) {
				s.stop(env, out, r, "its host is due for maintenance")
			}
		}
	}
}

func (w *worker) hasLongRunning() bool {
	for _, r := range w.runs {
		if r.step.LongRunning {
			return true
		}
	}
	return false
}

// hasRoomElsewhere reports whether a run could go on at once on another worker
// whose host stays.
func (s *Scheduler) hasRoomElsewhere(env Env, r *run) bool {
	for _, w := range s.usable(env, s.pool(r.worker.info.Service)) {
		if w != r.worker && !s.leaving[w.info.Host] && r.claim.Fits(w.free()) && allows(w, r.step, r.ref.TaskRef) {
			return true
		}
	}
	return false
}

// isUp reports whether a run is past its start and does all of its work.
func (r *run) isUp(env Env) bool {
	return r.phase == begun && !r.stopping && r.progress == 100 && r.worker.isFresh(env.Now)
}

// maySpare reports whether a long-running task may be stopped now.
func (s *Scheduler) maySpare(env Env, r *run) bool {
	if r.step.MissAllowed == 0 {
		return true
	}
	missing := 0
	for i := range r.job.Rounds[r.ref.Round].Tasks[r.ref.Step] {
		ref := r.ref
		ref.Index = i
		ref.Run = r.job.Rounds[ref.Round].Tasks[ref.Step][i].Run
		if other := s.runs[ref]; other == nil || !other.isUp(env) {
			missing++
		}
	}
	return missing < r.step.MissAllowed
}
