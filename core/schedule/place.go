package schedule

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// suspectAfterJobs is the number of jobs that fail on a worker, without a success in
// between, after which the worker is suspected of failing every run.
const suspectAfterJobs = 3

// suspectTime is how long a suspected worker gets no new runs. After it, a single
// failure is enough to suspect the worker again.
const suspectTime = 5 * model.Second

func (s *Scheduler) suspect(env Env, out *Out, w *worker) {
	w.suspectedAt = env.Now
	out.log(effect.WorkerSuspect, effect.Log{Worker: w.info.ID, Detail: "its latest runs failed or it could not start one"})
}

func (w *worker) isSuspect(now model.Time) bool {
	return w.suspectedAt != 0 && now.Sub(w.suspectedAt) < suspectTime
}

// maxAssignedRuns limits the runs of one command. Tasks may claim no resources, so
// capacity does not limit their number, but a log entry is limited to 4 MiB.
const maxAssignedRuns = 4096

// Place assigns tasks to workers in all services that have changed since the latest
// placement.
func (s *Scheduler) Place(env Env, out *Out) {
	if env.State.Config == nil {
		return
	}
	var runs []jobs.Assignment
	for _, id := range model.SortedKeys(s.services) {
		p := s.services[id]
		if !p.dirty {
			continue
		}
		p.dirty = false
		runs = s.placePool(env, out, p, runs)
	}
	for part := range slices.Chunk(runs, maxAssignedRuns) {
		out.Proposals = append(out.Proposals, jobs.Command{Assign: &jobs.Assign{Runs: part}})
	}
}

// placePool assigns tasks of one service. It passes over the jobs again after
// reservations have ended, which may have kept off jobs served earlier.
func (s *Scheduler) placePool(env Env, out *Out, p *pool, runs []jobs.Assignment) []jobs.Assignment {
	if !env.Bounds.Enabled(Reservations) {
		return s.placeService(env, out, p, runs)
	}
	s.checkReservations(env, out, p)
	for p.reservations.ended = true; p.reservations.ended; {
		p.reservations.ended = false
		runs = s.placeService(env, out, p, runs)
	}
	return runs
}

// placeService assigns tasks of one service, in the order of its jobs.
func (s *Scheduler) placeService(env Env, out *Out, p *pool, runs []jobs.Assignment) []jobs.Assignment {
	c := &candidates{env: env, s: s, pool: p}
	reserving := env.Bounds.Enabled(Reservations)
	for _, job := range p.jobs {
		job.refreshReady(env)
		if len(job.ready) > 0 && !c.cannotPlace(job) {
			runs = s.placeJob(env, out, c, job, runs)
		}
		if reserving && (len(job.ready) > 0 || job.hold != nil) {
			s.reserve(env, out, p, job)
		}
	}
	return runs
}

// placeJob assigns the ready tasks of one job.
func (s *Scheduler) placeJob(env Env, out *Out, c *candidates, job *activeJob, runs []jobs.Assignment) []jobs.Assignment {
	kept := job.ready[:0]
	var allowed []*worker
	for i := 0; i < len(job.ready); i++ {
		ref := job.ready[i]
		step := &job.job.Steps[ref.Step]
		if needsOnlyCapacity(job, step, ref) {
			if w := s.chooseByCapacity(env, c, job, ref); w != nil {
				runs = append(runs, s.assign(env, job, ref, w))
				s.fulfil(env, out, job, ref.StepRef())
				c.updateLargest()
				continue
			}
			end := i + 1
			if !s.proposed[ref] {
				end = job.endOfStep(i)
			}
			kept = append(kept, job.ready[i:end]...)
			i = end - 1
			continue
		}
		switch {
		case job.policy == nil:
			allowed = c.list()
		case i == 0 || job.ready[i-1].StepRef() != ref.StepRef():
			allowed = s.allowedWorkers(env, out, job, ref.StepRef(), c.list())
		}
		if step.Gang {
			kept = append(kept, ref)
			if ref.Index == 0 {
				if members := s.placeGang(env, allowed, job, ref); len(members) > 0 {
					runs = append(runs, members...)
					s.fulfil(env, out, job, ref.StepRef())
				}
				c.updateLargest()
			}
			continue
		}
		w := s.choose(env, allowed, c.largest, job, ref)
		if w == nil {
			kept = append(kept, ref)
			continue
		}
		runs = append(runs, s.assign(env, job, ref, w))
		s.fulfil(env, out, job, ref.StepRef())
		c.updateLargest()
	}
	job.ready = kept
	return runs
}

// endOfStep returns the index after the last ready task of the same step and round as
// task i. If no worker has capacity for one unconstrained task of a step, there is none
// for the others.
func (job *activeJob) endOfStep(i int) int {
	end := i + 1
	for end < len(job.ready) && job.ready[end].Step == job.ready[i].Step && job.ready[end].Round == job.ready[i].Round {
		end++
	}
	return end
}

// chooseByCapacity returns the worker for a task that needs only capacity, or nil.
func (s *Scheduler) chooseByCapacity(env Env, c *candidates, job *activeJob, ref jobs.TaskRef) *worker {
	step := &job.job.Steps[ref.Step]
	if s.proposed[ref] || s.overCap(env, job.job.Team, step.Size) {
		return nil
	}
	return c.bestFit(job, step)
}

// maxFree returns, for each resource, the largest amount that any of the workers has
// free.
func maxFree(workers []*worker) model.Resources {
	var most model.Resources
	for _, w := range workers {
		free := w.free()
		most.MilliCPU = max(most.MilliCPU, free.MilliCPU)
		most.MemoryMB = max(most.MemoryMB, free.MemoryMB)
		most.Accelerators = max(most.Accelerators, free.Accelerators)
	}
	return most
}

// usable returns the workers of a service that may be given new runs.
func (s *Scheduler) usable(env Env, p *pool) []*worker {
	var list []*worker
	for _, w := range p.workers {
		if s.isUsable(env, w) {
			list = append(list, w)
		}
	}
	return list
}

// isUsable reports whether a worker may be given new runs.
func (s *Scheduler) isUsable(env Env, w *worker) bool {
	return !w.processEnded && w.isFresh(env.Now) && !s.isSilent(env.Now, w) && !w.isSuspect(env.Now) && s.acceptsRuns(env, w)
}

// acceptsRuns reports whether a worker may get new runs: it is not draining, its data
// centre is in service and its host is not cordoned.
func (s *Scheduler) acceptsRuns(env Env, w *worker) bool {
	return !w.info.Draining && !env.State.OutOfService[w.info.DataCentre] && !s.cordoned[w.info.Host]
}

// choose returns the best of the usable workers for a task, or nil if none can take it
// now.
func (s *Scheduler) choose(env Env, usable []*worker, largest model.Resources, job *activeJob, ref jobs.TaskRef) *worker {
	step := &job.job.Steps[ref.Step]
	claim := step.Claim()
	if s.proposed[ref] || !claim.Fits(largest) || s.overCap(env, job.job.Team, step.Size) {
		return nil
	}
	var best *worker
	var bestScore score
	for _, w := range usable {
		if !claim.Fits(w.free()) || !meetsConstraints(w, step, ref) || !w.mayAnswer(step) || s.isReservedFrom(env, w, job, step) {
			continue
		}
		if sc := s.score(w, job, step, ref); best == nil || sc.less(bestScore) {
			best, bestScore = w, sc
		}
	}
	return best
}

func (s *Scheduler) overCap(env Env, team model.TeamID, size model.Resources) bool {
	if team == "" {
		return false
	}
	return env.State.Config.Teams[team].Exceeds(s.teamUsage[team].Add(size))
}

// meetsConstraints reports whether a worker satisfies the constraints of a step other
// than capacity.
func meetsConstraints(w *worker, step *jobs.Step, ref jobs.TaskRef) bool {
	if step.Requires != "" && !w.info.HasLabel(step.Requires) {
		return false
	}
	if step.PerWorker == 0 {
		return true
	}
	n := 0
	for other := range w.runs {
		if other.Job == ref.Job && other.Round == ref.Round && other.Step == ref.Step {
			n++
		}
	}
	return n < step.PerWorker
}

// score ranks the workers that can take a task. The smallest score is best.
type score struct {
	failed       bool // the latest run of the task failed there
	interference int  // best-effort runs and runs with a latency target that would share the worker
	remote       bool // not on the rack of the task's data
	leaving      bool // the task is long-running and the host is to be drained soon
	// mixPenalty keeps long-running tasks on few workers: it is 1 for a long-running task
	// on a worker without any, and -1 for another task on a worker with some.
	mixPenalty   int
	freeMilliCPU int64 // thousandths of a core that would stay free, for best fit
}

func (a score) less(b score) bool {
	if c := compareBool(a.failed, b.failed); c != 0 {
		return c < 0
	}
	if a.interference != b.interference {
		return a.interference < b.interference
	}
	if c := compareBool(a.remote, b.remote); c != 0 {
		return c < 0
	}
	if c := compareBool(a.leaving, b.leaving); c != 0 {
		return c < 0
	}
	if a.mixPenalty != b.mixPenalty {
		return a.mixPenalty < b.mixPenalty
	}
	return a.freeMilliCPU < b.freeMilliCPU
}

func (s *Scheduler) score(w *worker, job *activeJob, step *jobs.Step, ref jobs.TaskRef) score {
	sc := score{
		failed:       job.failedOn[ref] == w.info.ID,
		freeMilliCPU: w.free().MilliCPU - step.Claim().MilliCPU,
	}
	if step.DataRack != "" {
		sc.remote = w.info.Rack != step.DataRack
	}
	longRunning := 0
	for _, r := range w.runs {
		if r.step.LongRunning {
			longRunning++
		}
		if step.BestEffort && r.step.Target > 0 || r.step.BestEffort && step.Target > 0 {
			sc.interference++
		}
	}
	sc.leaving = step.LongRunning && s.leaving[w.info.Host]
	if step.LongRunning && longRunning == 0 {
		sc.mixPenalty = 1
	}
	if !step.LongRunning && longRunning > 0 {
		sc.mixPenalty = -1
	}
	return sc
}

// assign adds the next run of a task and returns its assignment.
func (s *Scheduler) assign(env Env, job *activeJob, ref jobs.TaskRef, w *worker) jobs.Assignment {
	return s.assignRun(env, job, jobs.RunRef{TaskRef: ref, Run: job.job.Task(ref).Run + 1}, w)
}

func (s *Scheduler) assignRun(env Env, job *activeJob, run jobs.RunRef, w *worker) jobs.Assignment {
	s.proposed[run.TaskRef] = true
	s.addRun(env, job.job, run, w.info.ID, w.info.Incarnation)
	return jobs.Assignment{RunRef: run, Worker: w.info.ID, Incarnation: w.info.Incarnation}
}
