package schedule

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
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

// Empty stops runs of hosts so that they become empty: long-running tasks, as far as
// the number that each step may miss allows and another host has room. Other runs
// end by themselves.
func (s *Scheduler) Empty(env Env, out *Out, hosts ...model.HostID) {
	e := &emptying{
		env: env, s: s, staying: make(map[model.ServiceID][]*worker),
		missing: make(map[jobs.StepRef]int), room: make(map[roomOf][]*worker),
	}
	for _, host := range hosts {
		for _, w := range s.byHost[host] {
			if w.longRunning > 0 {
				e.empty(out, w)
			}
		}
	}
}

// emptying is what is found out while hosts are emptied, in which room does not change.
type emptying struct {
	env     Env
	s       *Scheduler
	staying map[model.ServiceID][]*worker // that may be given new runs, on hosts that stay
	missing map[jobs.StepRef]int          // tasks that are not up, counted as far as is allowed
	room    map[roomOf][]*worker          // the first that have room for a task, two at most
}

type roomOf struct {
	step    jobs.StepRef
	service model.ServiceID
}

func (e *emptying) empty(out *Out, w *worker) {
	for _, r := range sortedRunsOf(w) {
		if !r.step.LongRunning || !r.isUp(e.env) || !e.maySpare(r) || !e.hasRoomElsewhere(r) {
			continue
		}
		e.s.stop(e.env, out, r, "its host is due for maintenance")
		if r.job.Task(r.ref.TaskRef).Run == r.ref.Run {
			e.missing[r.ref.StepRef()]++
		}
	}
}

// hasRoomElsewhere reports whether a run could go on at once on another worker
// whose host stays.
func (e *emptying) hasRoomElsewhere(r *run) bool {
	key := roomOf{r.ref.StepRef(), r.worker.info.Service}
	room, known := e.room[key]
	if !known {
		for _, w := range e.stayingOf(key.service) {
			if r.claim.Fits(w.free()) && allows(w, r.step, r.ref.TaskRef) {
				room = append(room, w)
			}
			if len(room) == 2 {
				break // one of them is not the worker of the run
			}
		}
		e.room[key] = room
	}
	return slices.ContainsFunc(room, func(w *worker) bool { return w != r.worker })
}

func (e *emptying) stayingOf(service model.ServiceID) []*worker {
	list, known := e.staying[service]
	if !known {
		list = slices.DeleteFunc(e.s.usable(e.env, e.s.pool(service)), func(w *worker) bool { return e.s.leaving[w.info.Host] })
		e.staying[service] = list
	}
	return list
}

// isUp reports whether a run is past its start and does all of its work.
func (r *run) isUp(env Env) bool {
	return r.phase == begun && !r.stopping && r.progress == 100 && r.worker.isFresh(env.Now)
}

// maySpare reports whether a long-running task may be stopped now.
func (e *emptying) maySpare(r *run) bool {
	if r.step.MissAllowed == 0 {
		return true
	}
	step := r.ref.StepRef()
	if _, known := e.missing[step]; !known {
		e.missing[step] = e.countMissing(r)
	}
	return e.missing[step] < r.step.MissAllowed
}

// countMissing counts the tasks of a run's step that are not up, up to the number that
// the step may miss.
func (e *emptying) countMissing(r *run) int {
	missing := 0
	tasks := r.job.Rounds[r.ref.Round].Tasks[r.ref.Step]
	for i := range tasks {
		ref := r.ref
		ref.Index, ref.Run = i, tasks[i].Run
		if other := e.s.runs[ref]; other == nil || !other.isUp(e.env) {
			missing++
		}
		if missing == r.step.MissAllowed {
			break
		}
	}
	return missing
}
