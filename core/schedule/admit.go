package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/schedule/contention"
)

const (
	// usableFraction is the fraction of a pool's capacity that is in use while work
	// waits. The rest is lost to fragmentation between tasks of different sizes.
	usableFraction = 0.88
	// minRetryAfter and maxRetryAfter bound the delay in the Retry-After header of a
	// refusal: the header has whole seconds, and bursts last a few seconds.
	minRetryAfter = 1 * model.Second
	maxRetryAfter = 4 * model.Second
	// contendedSlackPercent is the percentage of its slack that a job may wait while the
	// fleet is too small for all services. Its workers are busy with a short queue too,
	// and with less accepted work they are free sooner for the burst of another service.
	contendedSlackPercent = 75
)

// Admit returns a problem if a job cannot be served in time, or nil. The estimated
// wait is the work of all jobs of its service that are served before it and of the runs
// of the others, plus the delay that an overloaded leader adds. A job that was refused
// before has used up the time since then.
func (s *Scheduler) Admit(env Env, q *jobs.Queue, j *jobs.Job) *problem.Problem {
	if j.LongRunning() || j.FirstAt != 0 {
		return nil
	}
	p := s.services[q.Service]
	if p == nil {
		return nil
	}
	capacity := s.batchCapacity(env, p)
	if capacity == (model.Resources{}) {
		return nil
	}
	forecast := s.forecasts[q.Service]
	m, waited := s.durations(q.ID), s.waited(env, j.ID)
	allowed := allowedTime(m, q, j) - waited
	slack := allowed - criticalPath(m, j)
	candidate := &activeJob{job: j, precedence: q.Precedence, due: env.Clock.Add(allowed), late: slack < 0}
	supply := contention.Supply{Now: env.Now, Capacity: capacity, Incoming: forecast.Incoming, Usable: usableFraction}
	wait := supply.TimeFor(s.workBefore(p, candidate))
	delay := s.leaderDelay(j)
	var accepted bool
	switch {
	case candidate.late:
		accepted = !forecast.Contended && s.hasIdleCapacity(env, q.Service, capacity, j)
	case forecast.Contended:
		accepted = wait+delay <= slack*contendedSlackPercent/100
	default:
		accepted = wait+delay <= slack
	}
	if accepted {
		return nil
	}
	refusal := problem.New(problem.QueueOverloaded, "the work ahead takes %d ms, orders and ends %d ms, the job can wait %d ms and has waited %d ms",
		wait/model.Millisecond, delay/model.Millisecond, slack/model.Millisecond, waited/model.Millisecond)
	refusal.RetryAfter = min(max(wait+delay-max(0, slack), minRetryAfter), maxRetryAfter)
	return refusal
}

// hasIdleCapacity reports whether the workers of a service could start a job at once, beside
// all tasks that run or could start. A job that is late already is accepted only then,
// and only if no other service needs their hosts.
func (s *Scheduler) hasIdleCapacity(env Env, id model.ServiceID, capacity model.Resources, j *jobs.Job) bool {
	d := s.Demand(env, id)
	claimed := workOf(d.Running.Add(d.Ready).Add(d.Late), model.Second)
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			claimed = claimed.Plus(workOf(j.Steps[i].Claim(), model.Second).Times(float64(j.Steps[i].Tasks)))
		}
	}
	return !claimed.Exceeds(workOf(capacity, model.Second).Times(usableFraction))
}

// workBefore returns the work that delays a job: the remaining work of all jobs that are
// served before it, and the runs of the others.
func (s *Scheduler) workBefore(p *pool, candidate *activeJob) contention.Work {
	var ahead contention.Work
	for _, other := range p.jobs {
		if other.longRunning {
			continue
		}
		waiting, placed := other.remainingWork(s.durations(other.job.Queue))
		ahead = ahead.Plus(placed)
		if compareJobs(other, candidate) < 0 {
			ahead = ahead.Plus(waiting)
		}
	}
	return ahead
}

// batchCapacity returns the capacity that the workers of a service offer to tasks that
// are not long-running, as of the latest tick.
func (s *Scheduler) batchCapacity(env Env, p *pool) model.Resources {
	if p.batchCapacityValid {
		return p.batchCapacity
	}
	var sum model.Resources
	for _, w := range p.workers {
		if s.isUsable(env, w) {
			sum = sum.Add(w.info.Capacity.Sub(w.longRunningClaim))
		}
	}
	p.batchCapacity, p.batchCapacityValid = sum, true
	return sum
}

// SetForecasts sets what is expected for each service.
func (s *Scheduler) SetForecasts(f map[model.ServiceID]Forecast) { s.forecasts = f }

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
