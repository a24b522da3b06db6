package schedule

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// HoldHosts names the hosts whose workers get no new runs.
func (s *Scheduler) HoldHosts(hosts map[model.HostID]bool) {
	if !maps.Equal(s.cordoned, hosts) {
		s.cordoned = hosts
		s.markAllDirty()
	}
}

// LeavingHosts names the hosts that are to be emptied soon.
func (s *Scheduler) LeavingHosts(hosts map[model.HostID]bool) { s.leaving = hosts }

// OnlyLongRunning reports whether a host runs nothing but long-running tasks.
func (s *Scheduler) OnlyLongRunning(host model.HostID) bool {
	for _, w := range s.workersByHost[host] {
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
	for _, w := range s.workersByHost[host] {
		n += len(w.runs) + w.pendingEndCommands
	}
	return n
}

// Empty stops runs of hosts so that they become empty: long-running tasks, as far as
// the number that each step may miss allows and another host has room. Other runs
// end by themselves.
func (s *Scheduler) Empty(env Env, out *Out, hosts ...model.HostID) {
	d := &hostDrain{
		env: env, s: s, stayingWorkers: make(map[model.ServiceID][]*worker),
		unavailable: make(map[jobs.StepRef]int), withRoom: make(map[placementKey][]*worker),
	}
	for _, host := range hosts {
		for _, w := range s.workersByHost[host] {
			if w.longRunning > 0 {
				d.drainWorker(out, w)
			}
		}
	}
}

// hostDrain is what is found out while hosts are emptied, in which room does not change.
type hostDrain struct {
	env            Env
	s              *Scheduler
	stayingWorkers map[model.ServiceID][]*worker // that may be given new runs, on hosts that stay
	unavailable    map[jobs.StepRef]int          // tasks that are not up, counted as far as is allowed
	withRoom       map[placementKey][]*worker    // the first that have room for a task, two at most
}

type placementKey struct {
	step    jobs.StepRef
	service model.ServiceID
}

func (d *hostDrain) drainWorker(out *Out, w *worker) {
	for _, r := range sortedRunsOf(w) {
		if !r.step.LongRunning || !r.isUp(d.env) || !d.mayStop(r) || !d.hasRoomElsewhere(r) {
			continue
		}
		d.s.stop(d.env, out, r, "its host is due for maintenance")
		if r.job.Task(r.ref.TaskRef).Run == r.ref.Run {
			d.unavailable[r.ref.StepRef()]++
		}
	}
}

// hasRoomElsewhere reports whether a run could go on at once on another worker
// whose host stays.
func (d *hostDrain) hasRoomElsewhere(r *run) bool {
	key := placementKey{r.ref.StepRef(), r.worker.info.Service}
	room, known := d.withRoom[key]
	if !known {
		for _, w := range d.workersOnStayingHosts(key.service) {
			if r.claim.Fits(w.free()) && meetsConstraints(w, r.step, r.ref.TaskRef) {
				room = append(room, w)
			}
			if len(room) == 2 {
				break // one of them is not the worker of the run
			}
		}
		d.withRoom[key] = room
	}
	return slices.ContainsFunc(room, func(w *worker) bool { return w != r.worker })
}

func (d *hostDrain) workersOnStayingHosts(service model.ServiceID) []*worker {
	list, known := d.stayingWorkers[service]
	if !known {
		list = slices.DeleteFunc(d.s.usable(d.env, d.s.pool(service)), func(w *worker) bool { return d.s.leaving[w.info.Host] })
		d.stayingWorkers[service] = list
	}
	return list
}

// isUp reports whether a run is past its start and does all of its work.
func (r *run) isUp(env Env) bool {
	return r.phase == begun && !r.stopping && r.progress == 100 && r.worker.isFresh(env.Now)
}

// mayStop reports whether a long-running task may be stopped now.
func (d *hostDrain) mayStop(r *run) bool {
	if r.step.MissAllowed == 0 {
		return true
	}
	step := r.ref.StepRef()
	if _, known := d.unavailable[step]; !known {
		d.unavailable[step] = d.countUnavailable(r)
	}
	return d.unavailable[step] < r.step.MissAllowed
}

// countUnavailable counts the tasks of a run's step that are not up, up to the number that
// the step may miss.
func (d *hostDrain) countUnavailable(r *run) int {
	missing := 0
	tasks := r.job.Rounds[r.ref.Round].Tasks[r.ref.Step]
	for i := range tasks {
		ref := r.ref
		ref.Index, ref.Run = i, tasks[i].Run
		if other := d.s.runs[ref]; other == nil || !other.isUp(d.env) {
			missing++
		}
		if missing == r.step.MissAllowed {
			break
		}
	}
	return missing
}
