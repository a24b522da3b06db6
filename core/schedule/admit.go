package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

const (
	// usableFraction is the fraction of a pool's capacity that is in use while work
	// waits. The rest is lost to fragmentation between tasks of different sizes.
	usableFraction = 0.88
	// minRetryAfter and maxRetryAfter bound the delay in the Retry-After header of a
	// refusal: the header has whole seconds, and bursts last a few seconds.
	minRetryAfter = 1 * model.Second
	maxRetryAfter = 4 * model.Second
)

// Admit returns a problem if a job cannot be served in time, or nil. The estimated
// wait is the work of all jobs of its service that are served before it, plus the delay
// that an overloaded leader adds.
func (s *Scheduler) Admit(env Env, q *jobs.Queue, j *jobs.Job) *problem.Problem {
	if j.LongRunning() || j.FirstAt != 0 {
		return nil
	}
	p := s.services[q.Service]
	if p == nil {
		return nil
	}
	capacity := s.batchCapacity(env, p)
	if capacity <= 0 {
		return nil
	}
	ahead := 0.0
	m := s.durations(q.ID)
	candidate := &activeJob{job: j, precedence: q.Precedence, due: env.Clock.Add(allowedTime(m, q, j))}
	for _, other := range p.jobs {
		if !other.longRunning && compareJobs(other, candidate) < 0 {
			ahead += other.remainingWork(s.durations(other.job.Queue))
		}
	}
	wait := model.Duration(ahead / (capacity * usableFraction) * float64(model.Second))
	slack, delay := allowedTime(m, q, j)-criticalPath(m, j), s.leaderDelay(j)
	if wait+delay <= slack {
		return nil
	}
	refusal := problem.New(problem.QueueOverloaded, "the work ahead takes %d ms, orders and ends %d ms, the job can wait %d ms",
		wait/model.Millisecond, delay/model.Millisecond, slack/model.Millisecond)
	wait += delay
	refusal.RetryAfter = min(max(wait-slack, minRetryAfter), maxRetryAfter)
	return refusal
}

// batchCapacity returns the capacity, in thousandths of a core, that the workers of a
// service offer to tasks that are not long-running, as of the latest tick.
func (s *Scheduler) batchCapacity(env Env, p *pool) float64 {
	if p.batchMilliCPUValid {
		return p.batchMilliCPU
	}
	sum := int64(0)
	for _, w := range p.workers {
		if s.isUsable(env, w) {
			sum += w.info.Capacity.MilliCPU - w.longRunningClaim
		}
	}
	p.batchMilliCPU, p.batchMilliCPUValid = float64(sum), true
	return p.batchMilliCPU
}

// Fits reports whether, for each task of the job, some worker of the service is large
// enough. It returns true if the service has no known worker.
func (s *Scheduler) Fits(q *jobs.Queue, j *jobs.Job) bool {
	p := s.services[q.Service]
	if p == nil || len(p.workers) == 0 {
		return true
	}
	for i := range j.Steps {
		fits := false
		for _, w := range p.workers {
			fits = fits || j.Steps[i].Claim().Fits(w.info.Capacity)
		}
		if !fits {
			return false
		}
	}
	return true
}
