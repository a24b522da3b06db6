package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule/contention"
)

const (
	// arrivalWindow is the time over which the rate of arriving work is measured: long
	// enough for several jobs, and short compared with a burst of a few seconds.
	arrivalWindow = 800 * model.Millisecond
	// shortArrivalWindow and its doubles up to arrivalWindow show the beginning of a
	// burst.
	shortArrivalWindow = 200 * model.Millisecond
	// minBurstArrivals is the number of jobs in a short window from which its rate
	// counts.
	minBurstArrivals = 4
	// usualRateTime is the time constant of the average rate to which the rate at the
	// beginning of a burst is compared.
	usualRateTime = 8 * model.Second
	// burstFactor is the multiple of the usual rate at which a burst begins.
	burstFactor = 3
	// burstRiseTime is how long the rate of a burst is expected to rise: until hosts
	// that are ordered at its beginning have joined the pool.
	burstRiseTime = 2500 * model.Millisecond
	// burstRise is the factor by which the rate is expected to rise in this time.
	burstRise = 2
	// firstArrivalKept is how long the first submission of a job is remembered: longer
	// than callers repeat it.
	firstArrivalKept = 30 * model.Second
)

// arrival is the work of one submitted job.
type arrival struct {
	at   model.Time
	job  model.JobID
	work contention.Work
}

// firstArrivals remembers when each job was first submitted. A caller whose job was
// refused submits it again, and counts the time from its first attempt.
type firstArrivals struct {
	at    map[model.JobID]model.Time
	order []model.JobID // oldest first
}

// record records a submission and reports whether it is the first one of its job.
func (f *firstArrivals) record(now model.Time, id model.JobID) bool {
	for len(f.order) > 0 && now.Sub(f.at[f.order[0]]) > firstArrivalKept {
		delete(f.at, f.order[0])
		f.order = f.order[1:]
	}
	_, known := f.at[id]
	if !known {
		f.at[id] = now
		f.order = append(f.order, id)
	}
	return !known
}

// waited returns the time since a job was first submitted to this leader.
func (s *Scheduler) waited(env Env, id model.JobID) model.Duration {
	if first, known := s.firstArrivals.at[id]; known {
		return env.Now.Sub(first)
	}
	return 0
}

// Demand is the capacity that the jobs of a service need.
type Demand struct {
	LongRunning model.Resources // long-running tasks, running or waiting
	Running     model.Resources // other tasks of jobs that are not late, running
	Ready       model.Resources // other tasks of jobs that are not late, which could start at once
	Late        model.Resources // tasks of jobs that are late, running or ready
	// Arriving is the capacity that the work submitted lately would keep busy if it
	// continued to arrive at the same rate.
	Arriving model.Resources
	// MinHosts is the least number of workers over which the tasks of every step can
	// be spread.
	MinHosts int
	// LongRunningHosts is the number of workers with long-running tasks.
	LongRunningHosts int
	// Unplaced holds the claims of the long-running tasks that no present worker can
	// take, and UnplacedHosts the least number of workers over which they can be spread.
	Unplaced      model.Resources
	UnplacedHosts int
}

// OnTime returns the capacity that the pool needs for all work but that of late jobs.
func (d Demand) OnTime() model.Resources {
	return d.LongRunning.Add(d.Running.Add(d.Ready).Max(d.Arriving))
}

// Total returns the capacity that the pool should have.
func (d Demand) Total() model.Resources {
	return d.LongRunning.Add(d.Running.Add(d.Ready).Add(d.Late).Max(d.Arriving))
}

// RecordArrival records the arrival of a job, whether it is accepted or not. A job that
// is late already is no reason to expect more work.
func (s *Scheduler) RecordArrival(env Env, q *jobs.Queue, j *jobs.Job) {
	if j.LongRunning() || j.FirstAt != 0 {
		return
	}
	if s.firstArrivals.record(env.Now, j.ID) {
		for i := range j.Steps {
			s.durationModel(q.ID).observeEstimate(j.Steps[i].Estimate)
		}
	}
	p := s.pool(q.Service)
	p.dropOldArrivals(env.Now)
	for i := range p.arrivals {
		if p.arrivals[i].job == j.ID {
			return // the caller submits the same job again
		}
	}
	m := s.durations(q.ID)
	if s.waited(env, j.ID) <= allowedTime(m, q, j)-criticalPath(m, j) {
		p.arrivals = append(p.arrivals, arrival{env.Now, j.ID, estimatedWork(m, j)})
	}
}

func (p *pool) dropOldArrivals(now model.Time) {
	first := 0
	for first < len(p.arrivals) && now.Sub(p.arrivals[first].at) > arrivalWindow {
		first++
	}
	p.arrivals = p.arrivals[first:]
}

// burst follows the rate of arriving work of a service.
type burst struct {
	usual     contention.Work // moving average of the rate
	updatedAt model.Time
	beganAt   model.Time // of the latest burst
}

// observe adds the current rate and reports whether a burst has begun lately, so that
// the rate is expected to rise further. Its caller needs capacity before the rate shows
// how high the burst gets.
func (b *burst) observe(now model.Time, rate contention.Work) bool {
	if rate.Exceeds(b.usual.Times(burstFactor)) && now.Sub(b.beganAt) > usualRateTime {
		b.beganAt = now
	}
	if elapsed := now.Sub(b.updatedAt); b.updatedAt != 0 && elapsed > 0 {
		weight := min(1, elapsed.Seconds()/usualRateTime.Seconds())
		b.usual = b.usual.Times(1 - weight).Plus(rate.Times(weight))
	}
	b.updatedAt = now
	return b.beganAt != 0 && now.Sub(b.beganAt) < burstRiseTime
}

// arriving returns the rate of arriving work. At the beginning of a burst, the rate over
// the whole window lags behind, so the rates over shorter ones count too, each less one
// standard deviation of its number of jobs.
func (p *pool) arriving(now model.Time) model.Resources {
	windows, count := p.arrivalWindows(now)
	rate := highest(windows)
	if rises := p.burst.observe(now, rate); rises && count >= minBurstArrivals {
		rate = rate.Times(burstRise)
	}
	return rate.PerSecond()
}

// Demand returns the current demand of the jobs of a service.
func (s *Scheduler) Demand(env Env, service model.ServiceID) Demand {
	var d Demand
	p := s.services[service]
	if p == nil {
		return d
	}
	p.dropOldArrivals(env.Now)
	if env.Bounds.Enabled(PoolTrim) {
		d.Arriving = p.arrivingTrimmed(env.Now)
	} else {
		d.Arriving = p.arriving(env.Now)
	}
	for _, w := range p.workers {
		if w.longRunning > 0 {
			d.LongRunningHosts++
		}
		for _, r := range w.runs {
			switch {
			case r.step.LongRunning:
				d.LongRunning = d.LongRunning.Add(r.claim)
			case s.isLate(r.ref.Job):
				d.Late = d.Late.Add(r.claim)
			default:
				d.Running = d.Running.Add(r.claim)
			}
		}
	}
	for _, job := range p.jobs {
		job.refreshReady(env)
		for _, ref := range job.ready {
			step := &job.job.Steps[ref.Step]
			switch {
			case step.LongRunning:
				d.LongRunning = d.LongRunning.Add(step.Claim())
			case job.late:
				d.Late = d.Late.Add(step.Claim())
			default:
				d.Ready = d.Ready.Add(step.Claim())
			}
		}
		for i := range job.job.Steps {
			step := &job.job.Steps[i]
			if step.PerWorker > 0 {
				d.MinHosts = max(d.MinHosts, hostsForTasks(step.Tasks, step.PerWorker))
			}
		}
		if job.longRunning {
			s.addUnplaced(env, &d, job)
		}
	}
	return d
}

// hostsForTasks returns the number of hosts that n tasks need with at most perHost on
// each.
func hostsForTasks(n, perHost int) int { return (n-1)/perHost + 1 }

// addUnplaced adds the waiting long-running tasks of a job that an empty worker of any
// kind could take.
func (s *Scheduler) addUnplaced(env Env, d *Demand, job *activeJob) {
	waiting := make(map[jobs.StepRef]int)
	for _, ref := range job.ready {
		step := &job.job.Steps[ref.Step]
		if !step.LongRunning || step.Requires != "" || job.policy != nil || s.proposed[ref] || s.overCap(env, job.job.Team, step.Size) {
			continue
		}
		d.Unplaced = d.Unplaced.Add(step.Claim())
		waiting[ref.StepRef()]++
		if n := waiting[ref.StepRef()]; step.PerWorker > 0 {
			d.UnplacedHosts = max(d.UnplacedHosts, hostsForTasks(n, step.PerWorker))
		}
	}
}

// isLate reports whether a job is late. The runs of a job that has ended count as late.
func (s *Scheduler) isLate(id model.JobID) bool {
	job := s.active[id]
	return job == nil || job.late
}
