package schedule

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// CordonHosts sets the hosts whose workers get no new runs.
func (s *Scheduler) CordonHosts(hosts map[model.HostID]bool) {
	if !maps.Equal(s.cordoned, hosts) {
		s.cordoned = hosts
		s.markAllDirty()
	}
}

// SetLeavingHosts sets the hosts that are to be drained soon.
func (s *Scheduler) SetLeavingHosts(hosts map[model.HostID]bool) { s.leaving = hosts }

// OnlyLongRunning reports whether all runs on a host are those of long-running tasks.
func (s *Scheduler) OnlyLongRunning(host model.HostID) bool {
	for r := range s.runsOnHost(host) {
		if !r.step.LongRunning {
			return false
		}
	}
	return true
}

// HasUnreachableRuns reports whether some worker that may have runs refuses connections.
func (s *Scheduler) HasUnreachableRuns() bool {
	for _, w := range s.workers {
		if w.refusals >= maxRefusals && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// IsOverloaded reports whether this process is short of processor time.
func (s *Scheduler) IsOverloaded(env Env) bool { return s.isOverloaded(env.Now) }

// TimeUntilIdle returns the predicted time until the last run on a host has ended. It
// returns false if one of them is that of a long-running task.
func (s *Scheduler) TimeUntilIdle(env Env, host model.HostID) (model.Duration, bool) {
	longest := model.Duration(0)
	for r := range s.runsOnHost(host) {
		if r.step.LongRunning {
			return 0, false
		}
		left := s.durations(r.job.Queue).predict(r.step.Estimate).mean()
		if r.phase != assigned {
			left -= env.Now.Sub(r.sentAt)
		}
		longest = max(longest, left)
	}
	return longest, true
}

// runsOnHost yields the runs that may be running on a host. Until the present process of a
// worker has answered a poll, it may be running those of earlier records of the worker, on
// orders that were sent to them.
func (s *Scheduler) runsOnHost(host model.HostID) iter.Seq[*run] {
	return func(yield func(*run) bool) {
		for _, w := range s.workersByHost[host] {
			for _, r := range w.runs {
				if !yield(r) {
					return
				}
			}
			if w.polled {
				continue
			}
			for _, old := range s.detached {
				if !w.isLaterThan(old) {
					continue
				}
				for _, r := range old.runs {
					if r.phase != assigned && !yield(r) {
						return
					}
				}
			}
		}
	}
}

// PendingRuns counts the runs that may be running on a host, and the commands with ends of
// runs of its workers that are not committed yet. Until such a command is committed, the
// worker may hold the only lasting record of these ends.
func (s *Scheduler) PendingRuns(host model.HostID) int {
	n := 0
	for range s.runsOnHost(host) {
		n++
	}
	for _, w := range s.workersByHost[host] {
		n += w.pendingEndCommands
	}
	return n
}

// DrainHosts drains hosts: it stops long-running tasks as far as the MaxUnavailable of
// each step permits and another host has free capacity. Other runs end by themselves.
func (s *Scheduler) DrainHosts(env Env, out *Out, hosts ...model.HostID) {
	d := &hostDrain{
		env: env, s: s, stayingWorkers: make(map[model.ServiceID][]*worker),
		unavailable: make(map[jobs.StepRef]int), withCapacity: make(map[placementKey][]*worker),
	}
	s.drainBlocks = make(map[model.HostID]DrainBlock)
	for _, host := range hosts {
		for _, w := range s.workersByHost[host] {
			if w.longRunning > 0 {
				d.drainWorker(out, w)
			}
		}
	}
}

// hostDrain caches results during one call of DrainHosts, in which free capacity does not
// change.
type hostDrain struct {
	env            Env
	s              *Scheduler
	stayingWorkers map[model.ServiceID][]*worker // usable workers on hosts that are not leaving
	unavailable    map[jobs.StepRef]int          // unavailable tasks by step, counted up to MaxUnavailable
	withCapacity   map[placementKey][]*worker    // the first two workers with free capacity for a task of a step
	places         map[model.ServiceID]*drainPlaces
}

type placementKey struct {
	step    jobs.StepRef
	service model.ServiceID
}

func (d *hostDrain) drainWorker(out *Out, w *worker) {
	for _, r := range sortedRunsOf(w) {
		if !r.step.LongRunning {
			continue
		}
		if b := d.drainBlock(r); b != "" {
			d.block(r, b)
			continue
		}
		d.block(r, BlockedByStop)
		d.s.stop(d.env, out, r, "its host is due for maintenance")
		if r.job.Task(r.ref.TaskRef).Run == r.ref.Run {
			d.unavailable[r.ref.StepRef()]++
		}
	}
}

// fitsElsewhere reports whether the task of a run could start again at once on
// another worker whose host is not leaving.
func (d *hostDrain) fitsElsewhere(r *run) bool {
	key := placementKey{r.ref.StepRef(), r.worker.info.Service}
	found, known := d.withCapacity[key]
	if !known {
		for _, w := range d.workersOnStayingHosts(key.service) {
			if r.claim.Fits(w.free()) && meetsConstraints(w, r.step, r.ref.TaskRef) {
				found = append(found, w)
			}
			if len(found) == 2 {
				break // at least one of the two is not the worker of the run
			}
		}
		d.withCapacity[key] = found
	}
	return slices.ContainsFunc(found, func(w *worker) bool { return w != r.worker })
}

func (d *hostDrain) workersOnStayingHosts(service model.ServiceID) []*worker {
	list, known := d.stayingWorkers[service]
	if !known {
		list = slices.DeleteFunc(d.s.usable(d.env, d.s.pool(service)), func(w *worker) bool { return d.s.leaving[w.info.Host] })
		d.stayingWorkers[service] = list
	}
	return list
}

// isUp reports whether a long-running run has started completely and its worker has
// answered recently.
func (r *run) isUp(env Env) bool {
	return r.phase == begun && !r.stopping && r.progress == 100 && r.worker.isFresh(env.Now)
}

// mayStop reports whether a long-running task may be stopped now without exceeding the
// MaxUnavailable of its step.
func (d *hostDrain) mayStop(r *run) bool {
	if r.step.MaxUnavailable == 0 {
		return true
	}
	step := r.ref.StepRef()
	if _, known := d.unavailable[step]; !known {
		d.unavailable[step] = d.s.countUnavailable(d.env, r.job, step, r.step.MaxUnavailable)
	}
	return d.unavailable[step] < r.step.MaxUnavailable
}

// countUnavailable counts the tasks of a step that are not up: those whose run is not known, is
// being stopped, or has not started completely, and those on silent workers. It stops counting
// at a limit.
func (s *Scheduler) countUnavailable(env Env, j *jobs.Job, step jobs.StepRef, limit int) int {
	unavailable := 0
	tasks := j.Rounds[step.Round].Tasks[step.Step]
	for i := range tasks {
		ref := jobs.RunRef{TaskRef: jobs.TaskRef{Job: step.Job, Round: step.Round, Step: step.Step, Index: i}, Run: tasks[i].Run}
		if other := s.runs[ref]; other == nil || !other.isUp(env) {
			unavailable++
		}
		if unavailable == limit {
			break
		}
	}
	return unavailable
}

// describeStep describes how many tasks of the step of a run that is stopped are not up. It
// returns an empty string if the step has no MaxUnavailable.
func (s *Scheduler) describeStep(env Env, ref jobs.RunRef) string {
	j := env.State.Jobs[ref.Job]
	if j == nil || j.Phase != jobs.Active || j.Task(ref.TaskRef) == nil || j.Steps[ref.Step].MaxUnavailable == 0 {
		return ""
	}
	return fmt.Sprintf("; %d of its step are not up, %d may be, its task is in phase %q with run %d",
		s.countUnavailable(env, j, ref.StepRef(), j.Steps[ref.Step].Tasks), j.Steps[ref.Step].MaxUnavailable,
		j.Task(ref.TaskRef).Phase, j.Task(ref.TaskRef).Run)
}
