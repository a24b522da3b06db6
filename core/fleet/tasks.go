package fleet

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// maxFailedWorkers is the number of distinct workers on which a task must fail
// before the task itself is considered faulty.
const maxFailedWorkers = 3

// submitTask adds a task to the queue of its pool.
func (s *State) submitTask(c *SubmitTask) Result {
	if earlier, ok := s.Tasks[c.Task]; ok {
		if earlier.Team == c.Team && earlier.Spec == c.Spec {
			return Result{Task: c.Task} // a resend
		}
		return refused(problem.TaskRejected, "task %s is already in use", c.Task)
	}
	if _, ok := s.Rules.Teams[c.Team]; !ok {
		return refused(problem.UnknownTeam, "there is no team %q", c.Team)
	}
	if refusal := s.checkTask(c); refusal != nil {
		return Result{Problem: refusal}
	}
	s.setTask(&Task{
		ID:          c.Task,
		Team:        c.Team,
		Spec:        c.Spec,
		Phase:       TaskQueued,
		Submitted:   s.Now,
		SubmitIndex: s.Index,
	})
	return Result{Task: c.Task}
}

// checkTask returns the reason why a task cannot be accepted, or nil if it can.
func (s *State) checkTask(c *SubmitTask) *problem.Problem {
	if !rules.ValidIdentifier(string(c.Task)) {
		return problem.New(problem.TaskRejected, "task %q is not printable ASCII without spaces", c.Task)
	}
	if _, ok := s.Rules.Pools[c.Spec.Pool]; !ok {
		return problem.New(problem.TaskRejected, "there is no pool %q", c.Spec.Pool)
	}
	size := c.Spec.Size
	if size.MilliCPU <= 0 || size.MemoryMB < 0 || size.Accelerators < 0 {
		return problem.New(problem.TaskRejected,
			"size: found %d milli-CPU, %d MB, %d accelerators, allowed at least 1, 0 and 0",
			size.MilliCPU, size.MemoryMB, size.Accelerators)
	}
	if c.Spec.Precedence < 0 || c.Spec.Precedence > rules.MaxPrecedence {
		return problem.New(problem.TaskRejected, "precedence: found %d, allowed 0 to %d",
			c.Spec.Precedence, rules.MaxPrecedence)
	}
	if c.Spec.RunTime < 0 || c.Spec.MaxRun < 0 {
		return problem.New(problem.TaskRejected, "run times: found %d and %d ns, allowed at least 0",
			c.Spec.RunTime, c.Spec.MaxRun)
	}
	return nil
}

// placeTask assigns a queued task to a worker if the state still permits it.
func (s *State) placeTask(c *PlaceTask) Result {
	task, ok := s.Tasks[c.Task]
	if !ok {
		return refused(problem.UnknownTask, "there is no task %q", c.Task)
	}
	worker, ok := s.Hosts[c.Worker]
	if !ok {
		return refused(problem.UnknownHost, "there is no host %q", c.Worker)
	}
	if refusal := s.checkPlacement(task, c.Worker, worker); refusal != nil {
		return Result{Problem: refusal}
	}
	placed := *task
	placed.Phase = TaskPlaced
	placed.Worker = c.Worker
	placed.WorkerInc = c.Inc
	placed.Epoch++
	placed.Placed = s.Now
	s.setTask(&placed)
	return Result{Task: c.Task}
}

// checkPlacement returns the reason why the task may not start on the worker, or nil
// if it may.
func (s *State) checkPlacement(task *Task, id model.HostID, worker Host) *problem.Problem {
	switch {
	case task.Phase != TaskQueued || task.Cancel:
		return problem.New(problem.PlanRejected, "task %s is %s", task.ID, task.Phase)
	case !worker.Up || worker.Phase != HostServing:
		return problem.New(problem.PlanRejected, "host %s does not serve", id)
	case worker.Pool != task.Spec.Pool:
		return problem.New(problem.PlanRejected, "host %s is in pool %q, the task is for %q",
			id, worker.Pool, task.Spec.Pool)
	case s.Rules.DataCentres[worker.DataCentre].Out:
		return problem.New(problem.PlanRejected, "data centre %s is out of service", worker.DataCentre)
	}
	limit := s.Rules.Teams[task.Team].Limit
	if running := s.index.placed[task.Team]; running+1 > limit {
		return problem.New(problem.PlanRejected, "team %s has %d tasks running, allowed %d",
			task.Team, running, limit)
	}
	return nil
}

// endTask records the end of the current run of a task. A resend has no
// effect; the end of an earlier run is refused.
func (s *State) endTask(c *EndTask) Result {
	task, ok := s.Tasks[c.Task]
	if !ok {
		return refused(problem.UnknownTask, "there is no task %q", c.Task)
	}
	if task.Epoch != c.Epoch {
		return refused(problem.PlanRejected, "task %s is in epoch %d, not %d", c.Task, task.Epoch, c.Epoch)
	}
	if task.Phase != TaskPlaced {
		return Result{Task: c.Task}
	}
	ended := *task
	ended.Detail = c.Detail
	if c.Outcome == OutcomeFailed && !slices.Contains(task.FailedOn, task.Worker) {
		ended.FailedOn = append(slices.Clone(task.FailedOn), task.Worker)
	}
	phase, ok := phaseAfter(&ended, c)
	if !ok {
		return refused(problem.BadRequest, "there is no task outcome %q", c.Outcome)
	}
	s.finishRun(&ended, phase)
	s.countTask(&ended, c.Outcome)
	return Result{Task: c.Task}
}

// phaseAfter returns the phase of a task after a run with this outcome, and false
// for an unknown outcome.
func phaseAfter(task *Task, c *EndTask) (TaskPhase, bool) {
	switch c.Outcome {
	case OutcomeFinished:
		return TaskFinished, true
	case OutcomeFailed:
		if !task.Spec.Idempotent || len(task.FailedOn) >= maxFailedWorkers {
			return TaskFailed, true
		}
	case OutcomeLost:
		if !task.Spec.Idempotent {
			return TaskUnknown, true
		}
	case OutcomeStopped, OutcomePreempted:
		// A stopped run may have had effects, so only an idempotent task may run
		// again. The others end here, unless a saved checkpoint lets them continue.
		if !task.Spec.Idempotent && !task.Cancel && !c.Saved {
			return TaskUnknown, true
		}
		task.Resume = task.Resume || c.Saved
		if c.Outcome == OutcomePreempted {
			task.Preemptions++
		}
	case OutcomeNotStarted:
	default:
		return "", false
	}
	if task.Cancel {
		return TaskCancelled, true
	}
	return TaskQueued, true
}

// finishRun stores the task in the phase after a run. A task that is queued
// again keeps its place in the order of submission.
func (s *State) finishRun(task *Task, phase TaskPhase) {
	task.Phase = phase
	if phase == TaskQueued {
		task.Worker = ""
		task.WorkerInc = ""
		task.Placed = 0
	} else {
		task.Ended = s.Now
		task.EndIndex = s.Index
	}
	s.setTask(task)
}

// cancelTask ends a queued task and requests the stop of a placed one. For a team,
// the tasks of other teams look like tasks that do not exist.
func (s *State) cancelTask(c *CancelTask) Result {
	task, ok := s.Tasks[c.Task]
	if !ok || task.Team != c.Team {
		return refused(problem.UnknownTask, "there is no task %q", c.Task)
	}
	cancelled := *task
	cancelled.Cancel = true
	switch task.Phase {
	case TaskQueued:
		s.finishRun(&cancelled, TaskCancelled)
	case TaskPlaced:
		s.setTask(&cancelled)
	}
	return Result{Task: c.Task}
}

// setTask replaces a task that is new or unfinished.
func (s *State) setTask(task *Task) {
	if earlier, ok := s.Tasks[task.ID]; ok {
		s.index.removeTask(earlier)
	}
	s.Tasks[task.ID] = task
	s.index.addTask(task)
}
