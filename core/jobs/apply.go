package jobs

import (
	"cmp"
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Result is the outcome of a command.
type Result struct {
	Problem *problem.Problem
	// SupersededBy is the index of the order because of which Problem is
	// problem.CallSuperseded.
	SupersededBy uint64
	// Applied reports, for each run of an Assign or End, whether it took effect.
	Applied []bool
	// Ended lists the jobs that the command ended.
	Ended []model.JobID
	// Changed is false if the command certainly left the state unchanged.
	Changed bool
}

// Apply applies a committed command. index is its index in the log and now the
// replicated clock.
func (s *State) Apply(c *Command, index uint64, now model.Time) Result {
	s.MakeMaps()
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.SetOut != nil:
		return s.setOut(c.SetOut, index)
	case c.Submit != nil:
		return s.submit(c.Submit, now)
	case c.Cancel != nil:
		return s.cancel(c.Cancel, now)
	case c.Assign != nil:
		return s.assign(c.Assign, now)
	case c.Confirm != nil:
		return s.confirm(c.Confirm)
	case c.End != nil:
		return s.end(c.End, now)
	case c.Announce != nil:
		return s.announce(c.Announce, index)
	case c.Depart != nil:
		return s.depart(c.Depart)
	case c.Forget != nil:
		return s.forget(c.Forget.Before)
	case c.StartWave != nil:
		return s.startWave(c.StartWave, now)
	case c.Maintain != nil:
		return s.maintain(c.Maintain)
	case c.CloseWave != nil:
		return s.closeWave(c.CloseWave.Wave)
	case c.Learn != nil:
		s.Learned = c.Learn
		return Result{Changed: true}
	}
	return Result{Problem: problem.New(problem.BadRequest, "the command is empty")}
}

// configure installs a configuration with a higher version. A version that is not
// higher is acknowledged and changes nothing.
func (s *State) configure(c *Config) Result {
	if s.Config != nil && c.Version <= s.Config.Version {
		return Result{}
	}
	s.noteRemovedQueues(c)
	s.Config = c
	return Result{Changed: true}
}

// noteRemovedQueues keeps the queues that next lacks, as long as jobs of them are known.
func (s *State) noteRemovedQueues(next *Config) {
	if s.Config != nil {
		for i := range s.Config.Queues {
			q := s.Config.Queues[i]
			s.Removed[q.ID] = q
		}
	}
	used := make(map[model.QueueID]bool)
	for _, j := range s.Jobs {
		used[j.Queue] = true
	}
	maps.DeleteFunc(s.Removed, func(id model.QueueID, _ Queue) bool { return !used[id] || next.Queue(id) != nil })
}

// IsAt reports whether callers find the job at the queue: the job belongs to it, or to a
// removed queue that had the same address.
func (s *State) IsAt(j *Job, q *Queue) bool {
	earlier, removed := s.Removed[j.Queue]
	return j.Queue == q.ID || removed && earlier.Address() == q.Address()
}

// QueueOf returns the queue of a job, also if a configuration has removed it, or nil if
// its settings are not known.
func (s *State) QueueOf(j *Job) *Queue {
	if q := s.Config.Queue(j.Queue); q != nil {
		return q
	}
	if q, removed := s.Removed[j.Queue]; removed && q.Service != "" {
		return &q
	}
	return nil
}

// setOut applies an order on a data centre. One that repeats the order in force is
// recorded too, since orders that are older than the repetition must not follow it.
func (s *State) setOut(c *SetOut, index uint64) Result {
	if later := s.SupersededBy(c); later != 0 {
		p := problem.New(problem.CallSuperseded, "a later order on data centre %s was recorded", c.DataCentre)
		return Result{Problem: p, SupersededBy: later}
	}
	s.ServiceOrders[c.DataCentre] = index
	if s.OutOfService[c.DataCentre] == c.Out {
		return Result{}
	}
	if c.Out {
		s.OutOfService[c.DataCentre] = true
	} else {
		delete(s.OutOfService, c.DataCentre)
	}
	return Result{Changed: true}
}

// SupersededBy returns the index of an order that may be later than c and says the
// opposite, or 0 if there is none.
func (s *State) SupersededBy(c *SetOut) uint64 {
	latest := s.ServiceOrders[c.DataCentre]
	if c.Horizon == 0 || latest < c.Horizon || s.OutOfService[c.DataCentre] == c.Out {
		return 0
	}
	return latest
}

// submit accepts a job. Submitting the same job again changes nothing.
func (s *State) submit(j *Job, now model.Time) Result {
	if known := s.Jobs[j.ID]; known != nil {
		return Result{Problem: known.Refusal()}
	}
	accepted := j.clone()
	accepted.Phase, accepted.Accepted, accepted.Started = Active, now, false
	for k := range accepted.Rounds {
		accepted.Rounds[k].Tasks = make([][]Task, len(accepted.Steps))
		for i := range accepted.Steps {
			accepted.Rounds[k].Tasks[i] = make([]Task, accepted.Steps[i].Tasks)
		}
	}
	s.Jobs[j.ID] = accepted
	return Result{Changed: true}
}

// Refusal returns why the job is not accepted any more, or nil.
func (j *Job) Refusal() *problem.Problem {
	if !j.Withdrawn {
		return nil
	}
	return problem.New(problem.JobRejected, "job %s was cancelled before it was submitted", j.ID)
}

func (s *State) cancel(c *Cancel, now model.Time) Result {
	j := s.Jobs[c.Job]
	if j == nil {
		unknown := problem.New(problem.UnknownJob, "there is no job %s", c.Job)
		if c.Queue == "" {
			return Result{Problem: unknown}
		}
		s.Jobs[c.Job] = &Job{ID: c.Job, Queue: c.Queue, Team: c.Team, Phase: Cancelled, Withdrawn: true, EndedAt: now}
		s.Ended = append(s.Ended, c.Job)
		return Result{Problem: unknown}
	}
	if j.Phase != Active {
		return Result{}
	}
	return Result{Changed: true, Ended: s.endJob(j, Cancelled, now)}
}

func (s *State) endJob(j *Job, p Phase, now model.Time) []model.JobID {
	j.Phase, j.EndedAt = p, now
	s.Ended = append(s.Ended, j.ID)
	j.dropTasks()
	return []model.JobID{j.ID}
}

// dropTasks frees the tasks, steps and specification of a job that has ended, once
// none of its tasks has a run.
func (j *Job) dropTasks() {
	if j.Phase == Active {
		return
	}
	for k := range j.Rounds {
		for _, tasks := range j.Rounds[k].Tasks {
			for i := range tasks {
				if tasks[i].Phase == Placed {
					return
				}
			}
		}
	}
	j.Rounds, j.Steps, j.Spec = nil, nil, ""
}

func (s *State) assign(c *Assign, now model.Time) Result {
	r := Result{Applied: make([]bool, len(c.Runs)), Changed: true}
	for i := range c.Runs {
		r.Applied[i] = s.assignOne(&c.Runs[i], now)
	}
	return r
}

func (s *State) assignOne(a *Assignment, now model.Time) bool {
	j := s.Jobs[a.Job]
	w := s.Workers[a.Worker]
	if j == nil || j.Phase != Active || w == nil || w.Incarnation != a.Incarnation {
		return false
	}
	t := j.Task(a.TaskRef)
	if t == nil || t.Phase != Waiting || a.Run <= t.Run || !j.StepOpen(a.Round, a.Step) {
		return false
	}
	t.Phase, t.Run, t.Worker, t.Incarnation, t.AssignedAt, t.Confirmed = Placed, a.Run, a.Worker, a.Incarnation, now, false
	j.Started = true
	return true
}

func (s *State) confirm(c *Confirm) Result {
	var r Result
	for _, ref := range c.Runs {
		if t := s.Task(ref.TaskRef); t != nil && t.Phase == Placed && t.Run == ref.Run {
			t.Confirmed, r.Changed = true, true
		}
	}
	return r
}

func (s *State) end(c *End, now model.Time) Result {
	r := Result{Applied: make([]bool, len(c.Runs)), Changed: true}
	for i := range c.Runs {
		var ended []model.JobID
		r.Applied[i], ended = s.endOne(&c.Runs[i], now)
		r.Ended = append(r.Ended, ended...)
	}
	return r
}

func (s *State) endOne(e *Ending, now model.Time) (bool, []model.JobID) {
	j := s.Jobs[e.Job]
	if j == nil {
		return false, nil
	}
	t := j.Task(e.TaskRef)
	switch {
	case t == nil:
		return false, nil
	case t.Phase == Placed && t.Run == e.Run:
		j.record(t, e)
	case slices.Contains(t.Abandoned, e.Run):
		t.recordAbandoned(e)
	default:
		return false, nil
	}
	switch {
	case j.Phase != Active:
		j.dropTasks()
	case e.Outcome == OutcomeFailed && e.MaxAttempts > 0 && j.failures(t, e) >= e.MaxAttempts:
		return true, s.endJob(j, Failed, now)
	case t.Phase == Done && j.isDone():
		return true, s.endJob(j, Completed, now)
	}
	return true, nil
}

// recordAbandoned applies the end of an abandoned run to its task. The first copy that
// is done completes the task, and each copy that failed counts as a failure.
func (t *Task) recordAbandoned(e *Ending) {
	t.Abandoned = slices.DeleteFunc(slices.Clone(t.Abandoned), func(run int) bool { return run == e.Run })
	switch e.Outcome {
	case OutcomeDone:
		t.Phase, t.Checkpoint = Done, ""
	case OutcomeFailed:
		t.Failures++
	}
}

// record applies the end of a run to its task. The members of a gang share one
// checkpoint, and the first member that is done completes all of them.
func (j *Job) record(t *Task, e *Ending) {
	step := &j.Steps[e.Step]
	members := j.Rounds[e.Round].Tasks[e.Step]
	if !step.Gang {
		members = nil
	}
	t.Phase, t.AssignedAt, t.Confirmed = Waiting, 0, false
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
		for i := range members {
			members[i].Checkpoint = e.Checkpoint
		}
	}
	switch {
	case e.Outcome == OutcomeLost && step.Copies:
		t.Abandoned = append(slices.Clip(t.Abandoned), e.Run)
	case e.Outcome == OutcomeFailed:
		t.Failures++
	case e.Outcome == OutcomeDone && !step.LongRunning:
		t.Phase, t.Checkpoint = Done, ""
		for i := range members {
			members[i].Phase, members[i].Checkpoint, members[i].AssignedAt, members[i].Confirmed = Done, "", 0, false
		}
	}
}

// failures counts the failed runs of a task, or of the gang that it belongs to.
func (j *Job) failures(t *Task, e *Ending) int {
	if !j.Steps[e.Step].Gang {
		return t.Failures
	}
	n := 0
	for _, member := range j.Rounds[e.Round].Tasks[e.Step] {
		n += member.Failures
	}
	return n
}

func (j *Job) isDone() bool {
	for k := range j.Rounds {
		for _, tasks := range j.Rounds[k].Tasks {
			for i := range tasks {
				if tasks[i].Phase != Done {
					return false
				}
			}
		}
	}
	return true
}

// announce records a worker. A new process replaces the earlier one of the same
// worker; an announcement of an older process is ignored.
func (s *State) announce(w *Worker, index uint64) Result {
	recorded := *w
	recorded.Incarnation, recorded.HostSince = index, index
	if old := s.Workers[w.ID]; old != nil {
		if old.StartedAt > w.StartedAt {
			return Result{}
		}
		if old.Host == w.Host {
			recorded.HostSince = cmp.Or(old.HostSince, old.Incarnation)
		}
		if old.SameIncarnation(w) {
			recorded.Incarnation = old.Incarnation
			recorded.Draining = old.Draining || w.Draining
		}
	}
	s.Workers[w.ID] = &recorded
	return Result{Changed: true}
}

func (s *State) depart(c *Depart) Result {
	if w := s.Workers[c.Worker]; w == nil || w.Incarnation != c.Incarnation {
		return Result{}
	}
	delete(s.Workers, c.Worker)
	return Result{Changed: true}
}

// forget removes jobs that ended before a time and have no run left.
func (s *State) forget(before model.Time) Result {
	kept := s.Ended[:0:0]
	for _, id := range s.Ended {
		j := s.Jobs[id]
		if j != nil && (j.EndedAt >= before || j.Rounds != nil) {
			kept = append(kept, id)
			continue
		}
		delete(s.Jobs, id)
	}
	s.Ended = kept
	return Result{Changed: true}
}

func (s *State) startWave(c *StartWave, now model.Time) Result {
	if s.Waves[c.Wave] != nil {
		return Result{}
	}
	s.Waves[c.Wave] = &Wave{
		Hosts: c.Hosts, Cap: c.Cap, Due: now.Add(c.Within), Ordered: make(map[model.HostID]bool),
	}
	return Result{Changed: true}
}

func (s *State) maintain(c *Maintain) Result {
	w := s.Waves[c.Wave]
	if w == nil {
		return Result{Problem: problem.New(problem.UnknownWave, "there is no wave %d", c.Wave)}
	}
	if w.Ordered == nil {
		w.Ordered = make(map[model.HostID]bool)
	}
	w.Ordered[c.Host] = w.Ordered[c.Host] || c.Accepted
	return Result{Changed: true}
}

func (s *State) closeWave(id uint64) Result {
	if w := s.Waves[id]; w != nil {
		w.Closed = true
	}
	return Result{Changed: true}
}
