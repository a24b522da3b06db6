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
	path := criticalPath(m, j)
	allowed := allowedTimeFor(path, q) - waited
	slack := allowed - path
	candidate := &activeJob{job: j, precedence: q.Precedence, due: env.Clock.Add(allowed), late: slack < 0, overShare: j.OverShare, overPart: p.shares.Over(j.Team)}
	supply := contention.Supply{Now: env.Now, Capacity: capacity, Incoming: forecast.Incoming, Usable: usableFraction}
	ahead, claimed := s.workBefore(p, candidate)
	wait := supply.TimeFor(ahead)
	if env.Bounds.Enabled(Contention) {
		supply.Usable = p.utilization.Fraction()
		wait = supply.Wait(ahead, ownWork(m, j, supply.Free(claimed)), p.accepted.Overtaking(env.Now, q.Precedence))
		slack += contention.Tolerance(path, q.Stretch, spread(m, j))
	}
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
	if env.Bounds.Enabled(Contention) && slack >= 0 && p.retries.Passed(j.ID) {
		accepted = accepted || wait+delay <= slack // even if the fleet is contended
	}
	if accepted {
		if env.Bounds.Enabled(Contention) {
			p.retries.Accept(candidate.class())
			p.accepted.Add(env.Now, q.Precedence, estimatedWork(m, j))
		}
		return nil
	}
	refusal := problem.New(problem.QueueOverloaded, "the work ahead takes %d ms, orders and ends %d ms, the job can wait %d ms and has waited %d ms",
		wait/model.Millisecond, delay/model.Millisecond, slack/model.Millisecond, waited/model.Millisecond)
	refusal.RetryAfter = min(max(wait+delay-max(0, slack), minRetryAfter), maxRetryAfter)
	if env.Bounds.Enabled(Contention) {
		perSecond := workOf(capacity, model.Second).Times(supply.Usable)
		refusal.RetryAfter = p.retries.Refuse(env.Now, candidate.class(), estimatedWork(m, j), wait+delay-max(0, slack), slack, perSecond)
		refusal.RetryExact = true
	}
	return refusal
}

// allowedTimeFor is allowedTime for a job with the given critical path.
func allowedTimeFor(path model.Duration, q *jobs.Queue) model.Duration {
	return model.DurationOf(float64(path)*q.Stretch) + q.Target
}

// class returns what decides which of two refused jobs comes first.
func (job *activeJob) class() contention.Class {
	return contention.Class{ID: job.job.ID, Precedence: job.precedence, OverShare: job.overShare, Due: job.due}
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
	if env.Bounds.Enabled(Contention) {
		return contention.IsIdle(capacity, claimed, workOf(d.Arriving, model.Second))
	}
	return !claimed.Exceeds(workOf(capacity, model.Second).Times(usableFraction))
}

// spread returns the standard deviation of the logarithm of a job's critical path.
func spread(m *durationModel, j *jobs.Job) float64 {
	sigma, tasks := 0.0, 1
	for i := range j.Steps {
		sigma = max(sigma, m.predict(j.Steps[i].Estimate).sigma)
		tasks = max(tasks, j.Steps[i].Tasks)
	}
	return contention.Spread(sigma, tasks, chainLength(j))
}

// observeUtilization measures which part of a pool is in use while tasks wait that need
// nothing but capacity.
func (s *Scheduler) observeUtilization(env Env, p *pool) {
	var waiting, used model.Resources
	for _, job := range p.jobs {
		if job.longRunning || !job.unconstrained || len(job.ready) == 0 || s.overCap(env, job.job.Team, job.minClaim) {
			continue
		}
		for _, ref := range job.ready {
			waiting = waiting.Add(job.job.Steps[ref.Step].Claim())
		}
	}
	if waiting == (model.Resources{}) {
		return
	}
	for _, w := range p.workers {
		if s.isUsable(env, w) {
			used = used.Add(w.used.Sub(w.longRunningClaim))
		}
	}
	p.utilization.Observe(s.batchCapacity(env, p), used, waiting)
}

// ownWork returns the work of a job that delays its own steps, beside free capacity.
func ownWork(m *durationModel, j *jobs.Job, free contention.Work) contention.Work {
	var own contention.Work
	for i := range j.Steps {
		step := &j.Steps[i]
		mean := m.predict(step.Estimate).mean()
		own = own.Plus(contention.Excess(free, workOf(step.Claim(), mean).Times(float64(step.Tasks)), mean))
	}
	return own
}

// workBefore returns the work that delays a job: the remaining work of all jobs that are
// served before it, and the runs of the others. It also returns what these keep busy in
// one second, or would if there were capacity.
func (s *Scheduler) workBefore(p *pool, candidate *activeJob) (ahead, claimed contention.Work) {
	for _, other := range p.jobs {
		if other.longRunning {
			continue
		}
		left := &other.remaining
		if !other.remainingValid { // the look-up of the model costs more than the rest of the loop
			left = other.remainingWork(s.durations(other.job.Queue))
		}
		ahead = ahead.Plus(left.placed)
		claimed = claimed.Plus(left.claimed)
		if compareJobs(other, candidate) < 0 {
			ahead = ahead.Plus(left.waiting)
			claimed = claimed.Plus(left.open)
		}
	}
	return ahead, claimed
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
