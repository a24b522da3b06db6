package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// arrivalWindow is the time over which the rate of arriving work is measured: long
// enough for several jobs, and short compared with a burst of a few seconds.
const arrivalWindow = 800 * model.Millisecond

// arrival is the work of one submitted job.
type arrival struct {
	at   model.Time
	job  model.JobID
	work float64 // estimate, in thousandths of a core times seconds
}

// Demand is the capacity that the jobs of a service need, in thousandths of a core.
type Demand struct {
	LongRunning int64 // long-running tasks, running or waiting
	Running     int64 // other tasks, running
	Ready       int64 // other tasks that could start at once
	// Arriving is the capacity that the work submitted within arrivalWindow would
	// keep busy if it continued to arrive at the same rate.
	Arriving int64
	// MinHosts is the least number of workers over which the tasks of every step can
	// be spread.
	MinHosts int
	// Largest is the claim of the largest task of any active job.
	Largest int64
}

// Need returns the capacity that the pool should have, in thousandths of a core.
func (d Demand) Need() int64 { return d.LongRunning + max(d.Running+d.Ready, d.Arriving) }

// RecordArrival records the arrival of a job, whether it is accepted or not.
func (s *Scheduler) RecordArrival(env Env, q *jobs.Queue, j *jobs.Job) {
	if j.LongRunning() || j.FirstAt != 0 {
		return
	}
	p := s.pool(q.Service)
	p.dropOldArrivals(env.Now)
	for i := range p.arrivals {
		if p.arrivals[i].job == j.ID {
			return // the caller submits the same job again
		}
	}
	p.arrivals = append(p.arrivals, arrival{env.Now, j.ID, estimatedWork(s.durations(q.ID), j)})
}

func (p *pool) dropOldArrivals(now model.Time) {
	first := 0
	for first < len(p.arrivals) && now.Sub(p.arrivals[first].at) > arrivalWindow {
		first++
	}
	p.arrivals = p.arrivals[first:]
}

// Demand returns the current demand of the jobs of a service.
func (s *Scheduler) Demand(env Env, service model.ServiceID) Demand {
	var d Demand
	p := s.services[service]
	if p == nil {
		return d
	}
	p.dropOldArrivals(env.Now)
	sum := 0.0
	for i := range p.arrivals {
		sum += p.arrivals[i].work
	}
	d.Arriving = int64(sum / arrivalWindow.Seconds())
	for _, w := range p.workers {
		for _, r := range w.runs {
			if r.step.LongRunning {
				d.LongRunning += r.claim.MilliCPU
			} else {
				d.Running += r.claim.MilliCPU
			}
		}
	}
	for _, job := range p.jobs {
		job.refreshReady(env)
		for _, ref := range job.ready {
			step := &job.job.Steps[ref.Step]
			if step.LongRunning {
				d.LongRunning += step.Claim().MilliCPU
			} else {
				d.Ready += step.Claim().MilliCPU
			}
		}
		for i := range job.job.Steps {
			step := &job.job.Steps[i]
			d.Largest = max(d.Largest, step.Claim().MilliCPU)
			if step.PerWorker > 0 {
				d.MinHosts = max(d.MinHosts, (step.Tasks+step.PerWorker-1)/step.PerWorker)
			}
		}
	}
	return d
}
