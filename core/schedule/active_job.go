package schedule

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule/contention"
)

// activeJob is the scheduler's state of one active job.
type activeJob struct {
	job            *jobs.Job
	service        model.ServiceID
	longRunning    bool
	begun          bool // one of its tasks has begun on a worker
	lost           map[jobs.TaskRef]*lostRun
	maxAttempts    int             // number of failures of one task at which the job fails, 0 for no limit
	precedence     int             // of its queue
	due            model.Time      // replicated clock; the job is late after this
	late           bool            // due has passed
	overShare      bool            // beyond the number of jobs of its team's share
	overPart       bool            // its team uses more than its part of a contended pool
	ready          []jobs.TaskRef  // tasks that may be assigned
	unconstrained  bool            // every ready task may run on any worker
	hold           *hold           // its reservation, or nil
	planAt         model.Time      // earliest time of the next plan of a reservation, after one in vain
	minClaim       model.Resources // smallest claim of any ready task, for each resource
	stale          bool            // ready must be rebuilt
	remaining      remainingWork
	remainingValid bool           // remaining is up to date
	waited         model.Duration // time before its acceptance since it was first submitted
	hasFutureRound bool           // some round is not due yet
	policy         *jobs.Advice   // of its queue, nil for a queue without a policy service
	advice         map[jobs.StepRef]*advice
	failedOn       map[jobs.TaskRef]model.WorkerID // worker of each task's latest failed run
}

func (s *Scheduler) addJob(env Env, j *jobs.Job) {
	job := &activeJob{job: j, service: j.Service, overShare: j.OverShare, longRunning: j.LongRunning(), begun: j.Started, stale: true,
		failedOn: make(map[jobs.TaskRef]model.WorkerID), advice: make(map[jobs.StepRef]*advice),
	}
	job.waited = s.waited(env, j.ID)
	s.active[j.ID] = job
	s.enqueue(env, job)
}

// enqueue inserts a job into the ordered job list of its service.
func (s *Scheduler) enqueue(env Env, job *activeJob) {
	if q := env.State.QueueOf(job.job); q != nil {
		job.service, job.precedence, job.policy = q.Service, q.Precedence, q.Advice
		job.maxAttempts = q.MaxAttempts
		job.due = job.job.Accepted.Add(allowedTime(s.durations(q.ID), q, job.job) - job.waited)
	}
	if job.longRunning {
		job.maxAttempts = 0
	}
	list := s.pool(job.service)
	job.overPart = list.shares.Over(job.job.Team)
	at, _ := slices.BinarySearchFunc(list.jobs, job, compareJobs)
	list.jobs = slices.Insert(list.jobs, at, job)
	list.dirty = true
}

// compareJobs orders jobs by their class, and within a class by due time.
func compareJobs(a, b *activeJob) int {
	return cmp.Or(compareClasses(a, b), cmp.Compare(a.due, b.due), cmp.Compare(a.job.ID, b.job.ID))
}

// compareClasses orders the classes of jobs: first those with long-running tasks, since they
// should run without interruption, then by precedence, then those within their team's
// share before those over it. Late jobs come after those that can still be on time:
// otherwise, in a burst that exceeds the fleet, one late job would make all later ones
// late. Among the others, those of teams that use more than their part come last.
func compareClasses(a, b *activeJob) int {
	return cmp.Or(-compareBool(a.longRunning, b.longRunning), cmp.Compare(a.precedence, b.precedence),
		compareBool(a.overShare, b.overShare), compareBool(a.late, b.late), compareBool(a.overPart, b.overPart))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// refreshReady rebuilds the list of ready tasks if it may have changed.
func (job *activeJob) refreshReady(env Env) {
	if !job.stale && !job.hasFutureRound {
		return
	}
	job.ready, job.stale, job.hasFutureRound = job.ready[:0], false, false
	job.unconstrained = true
	for k := range job.job.Rounds {
		if due := job.job.RoundDue(k); due > env.Now {
			job.hasFutureRound = true
			continue
		}
		for step := range job.job.Rounds[k].Tasks {
			if !job.job.StepOpen(k, step) || job.job.Steps[step].Gang && !job.allWaiting(k, step) {
				continue
			}
			for i := range job.job.Rounds[k].Tasks[step] {
				if job.job.Rounds[k].Tasks[step][i].Phase == jobs.Waiting {
					job.addReady(jobs.TaskRef{Job: job.job.ID, Round: k, Step: step, Index: i})
				}
			}
		}
	}
}

func (job *activeJob) addReady(ref jobs.TaskRef) {
	step := &job.job.Steps[ref.Step]
	claim := step.Claim()
	if len(job.ready) == 0 {
		job.minClaim = claim
	}
	job.minClaim.MilliCPU = min(job.minClaim.MilliCPU, claim.MilliCPU)
	job.minClaim.MemoryMB = min(job.minClaim.MemoryMB, claim.MemoryMB)
	job.minClaim.Accelerators = min(job.minClaim.Accelerators, claim.Accelerators)
	job.unconstrained = job.unconstrained && isUnconstrained(step)
	job.ready = append(job.ready, ref)
}

// allWaiting reports whether all members of a gang are waiting, so that none may still
// be running.
func (job *activeJob) allWaiting(round, step int) bool {
	for _, t := range job.job.Rounds[round].Tasks[step] {
		if t.Phase != jobs.Waiting {
			return false
		}
	}
	return true
}

// remainingWork is the predicted work of a job that is not done.
type remainingWork struct {
	waiting contention.Work // of the tasks that wait
	placed  contention.Work // of the placed tasks, which are assumed to be half done
	open    contention.Work // of the waiting tasks whose steps are open, in one second
	claimed contention.Work // of the placed tasks, in one second
}

// remainingWork returns the work of a job that is not done.
func (job *activeJob) remainingWork(m *durationModel) *remainingWork {
	if job.remainingValid {
		return &job.remaining
	}
	var sum remainingWork
	for k := range job.job.Rounds {
		for i := range job.job.Rounds[k].Tasks {
			numWaiting, numPlaced := 0, 0
			for _, t := range job.job.Rounds[k].Tasks[i] {
				switch t.Phase {
				case jobs.Waiting:
					numWaiting++
				case jobs.Placed:
					numPlaced++
				}
			}
			step := &job.job.Steps[i]
			claim := step.Claim()
			one := workOf(claim, m.predict(step.Estimate).mean())
			sum.waiting = sum.waiting.Plus(one.Times(float64(numWaiting)))
			sum.placed = sum.placed.Plus(one.Times(float64(numPlaced) / 2))
			sum.claimed = sum.claimed.Plus(workOf(claim, model.Second).Times(float64(numPlaced)))
			if numWaiting > 0 && job.job.StepOpen(k, i) {
				sum.open = sum.open.Plus(workOf(claim, model.Second).Times(float64(numWaiting)))
			}
		}
	}
	job.remaining, job.remainingValid = sum, true
	return &job.remaining
}

// markChanged records that the state of a task of the job has changed.
func (job *activeJob) markChanged() { job.stale, job.remainingValid = true, false }
