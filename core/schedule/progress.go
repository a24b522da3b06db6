package schedule

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// progress is what the scheduler knows of one active job.
type progress struct {
	job         *jobs.Job
	service     model.ServiceID
	longRunning bool
	begun       bool       // a task of it has begun on a worker
	attempts    int        // failures of one task at which the job fails, 0 for no limit
	rank        int        // precedence of its queue
	due         model.Time // replicated clock: it is late after this
	late        bool       // its time is over
	ready       []jobs.TaskRef
	anywhere    bool            // all of them run anywhere
	least       model.Resources // of each resource, the least that any of them claims
	stale       bool            // ready must be rebuilt
	workLeft    float64         // see left
	workKnown   bool            // workLeft is that of now
	undated     bool            // some round is not due yet
	advised     *jobs.Advice    // of its queue, nil without
	advice      map[jobs.StepRef]*advice
	failedOn    map[jobs.TaskRef]model.WorkerID // the worker of the latest failure
}

func (s *Scheduler) addJob(env Env, j *jobs.Job) {
	p := &progress{job: j, service: j.Service, longRunning: j.LongRunning(), begun: j.Started, stale: true,
		failedOn: make(map[jobs.TaskRef]model.WorkerID), advice: make(map[jobs.StepRef]*advice),
	}
	s.active[j.ID] = p
	s.enqueue(env, p)
}

// enqueue puts a job into the order of its service.
func (s *Scheduler) enqueue(env Env, p *progress) {
	if q := env.State.Config.Queue(p.job.Queue); q != nil {
		p.service, p.rank, p.advised = q.Service, q.Precedence, q.Advice
		p.attempts = q.MaxAttempts
		p.due = p.job.Accepted.Add(allowed(q, p.job))
	}
	if p.longRunning {
		p.attempts = 0
	}
	list := s.pool(p.service)
	at, _ := slices.BinarySearchFunc(list.jobs, p, compareProgress)
	list.jobs = slices.Insert(list.jobs, at, p)
	list.dirty = true
}

// compareProgress orders jobs: long-running tasks first, since each moment without
// one is missed, then by precedence, then those within their team's share, then by
// the time at which they are late. Jobs
// whose time is over go behind those that can still be on time: in a burst beyond
// the fleet one late job would otherwise make all later ones late.
func compareProgress(a, b *progress) int {
	return cmp.Or(-compareBool(a.longRunning, b.longRunning), cmp.Compare(a.rank, b.rank),
		compareBool(a.job.Beyond, b.job.Beyond), compareBool(a.late, b.late), cmp.Compare(a.due, b.due), cmp.Compare(a.job.ID, b.job.ID))
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

// allowed is the time from submission after which a job is late.
func allowed(q *jobs.Queue, j *jobs.Job) model.Duration {
	return model.Duration(float64(chain(j))*q.Stretch) + q.Target
}

// chain is the longest chain of estimated work of a job.
func chain(j *jobs.Job) model.Duration {
	longest := model.Duration(0)
	ends := make([]model.Duration, len(j.Steps))
	for i := range j.Steps {
		begin := model.Duration(0)
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// depth is the number of steps of a job that follow each other at most.
func depth(j *jobs.Job) int {
	deepest := 0
	depths := make([]int, len(j.Steps))
	for i := range j.Steps {
		for _, before := range j.Steps[i].After {
			depths[i] = max(depths[i], depths[before])
		}
		depths[i]++
		deepest = max(deepest, depths[i])
	}
	return deepest
}

// work is the estimated work of a job in thousandths of a core times time.
func work(j *jobs.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Tasks) * float64(j.Steps[i].Size.MilliCPU) * j.Steps[i].Estimate.Seconds()
	}
	return sum
}

// refresh lists the tasks of a job that may be started.
func (p *progress) refresh(env Env) {
	if !p.stale && !p.undated {
		return
	}
	p.ready, p.stale, p.undated = p.ready[:0], false, false
	p.anywhere = true
	for k := range p.job.Rounds {
		if due := p.job.Due(k); due > env.Now {
			p.undated = true
			continue
		}
		for step := range p.job.Rounds[k].Tasks {
			if !p.job.Open(k, step) || p.job.Steps[step].Gang && !p.isWhole(k, step) {
				continue
			}
			for i := range p.job.Rounds[k].Tasks[step] {
				if p.job.Rounds[k].Tasks[step][i].Phase == jobs.Waiting {
					p.addReady(jobs.TaskRef{Job: p.job.ID, Round: k, Step: step, Index: i})
				}
			}
		}
	}
}

func (p *progress) addReady(ref jobs.TaskRef) {
	step := &p.job.Steps[ref.Step]
	claim := step.Claim()
	if len(p.ready) == 0 {
		p.least = claim
	}
	p.least.MilliCPU = min(p.least.MilliCPU, claim.MilliCPU)
	p.least.MemoryMB = min(p.least.MemoryMB, claim.MemoryMB)
	p.least.Accelerators = min(p.least.Accelerators, claim.Accelerators)
	p.anywhere = p.anywhere && runsAnywhere(step)
	p.ready = append(p.ready, ref)
}

// isWhole reports whether no member of a gang may still be running.
func (p *progress) isWhole(round, step int) bool {
	for _, t := range p.job.Rounds[round].Tasks[step] {
		if t.Phase != jobs.Waiting {
			return false
		}
	}
	return true
}

// left is the estimated work of a job that is not done, in thousandths of a core
// times seconds. Of what runs, half is taken to be done.
func (p *progress) left() float64 {
	if p.workKnown {
		return p.workLeft
	}
	sum := 0.0
	for k := range p.job.Rounds {
		for step := range p.job.Rounds[k].Tasks {
			open := 0.0
			for i := range p.job.Rounds[k].Tasks[step] {
				switch p.job.Rounds[k].Tasks[step][i].Phase {
				case jobs.Waiting:
					open++
				case jobs.Placed:
					open += 0.5
				}
			}
			st := &p.job.Steps[step]
			sum += open * float64(st.Size.MilliCPU) * st.Estimate.Seconds()
		}
	}
	p.workLeft, p.workKnown = sum, true
	return sum
}

// changed records that the state of a task has changed.
func (p *progress) changed() { p.stale, p.workKnown = true, false }
