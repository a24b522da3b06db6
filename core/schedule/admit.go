package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

const (
	// usableFraction is the part of a pool that work fills while more waits; the rest is
	// lost between tasks of different sizes.
	usableFraction = 0.88
	// minRetryAfter and retryMax bound the wait that a refused caller is told: the header
	// has whole seconds, and bursts last some seconds.
	minRetryAfter = 1 * model.Second
	maxRetryAfter = 4 * model.Second
)

// Admit returns why a job cannot be served in time, or nil. The work ahead of it
// is that of all jobs of its service that go before it; what this process itself is
// late with comes to that.
func (s *Scheduler) Admit(env Env, q *jobs.Queue, j *jobs.Job) *problem.Problem {
	if j.LongRunning() || j.FirstAt != 0 {
		return nil
	}
	p := s.services[q.Service]
	if p == nil {
		return nil
	}
	room := s.batchCapacity(env, p)
	if room <= 0 {
		return nil
	}
	ahead := 0.0
	own := &activeJob{job: j, precedence: q.Precedence, due: env.Clock.Add(allowedTime(q, j))}
	for _, other := range p.jobs {
		if !other.longRunning && compareJobs(other, own) < 0 {
			ahead += other.remainingWork()
		}
	}
	wait := model.Duration(ahead / (room * usableFraction) * float64(model.Second))
	slack, late := allowedTime(q, j)-criticalPath(j), s.leaderDelay(j)
	if wait+late <= slack {
		return nil
	}
	refusal := problem.New(problem.QueueOverloaded, "the work ahead takes %d ms, orders and ends %d ms, the job can wait %d ms",
		wait/model.Millisecond, late/model.Millisecond, slack/model.Millisecond)
	wait += late
	refusal.RetryAfter = min(max(wait-slack, minRetryAfter), maxRetryAfter)
	return refusal
}

// batchCapacity is the number of thousandths of a core that jobs which end can use on
// the workers of a service, as of the latest tick.
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

// Fits reports whether any worker of the service is large enough for each task
// of the job. It is true if no worker is known.
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
