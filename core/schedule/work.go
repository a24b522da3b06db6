package schedule

import (
	"math"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// work is what tasks reserve times how long they take: for each resource, the amount
// times seconds.
type work struct {
	milliCPU, memoryMB, accelerators float64
}

func workOf(r model.Resources, d model.Duration) work {
	return work{float64(r.MilliCPU) * d.Seconds(), float64(r.MemoryMB) * d.Seconds(), float64(r.Accelerators) * d.Seconds()}
}

func (w work) plus(other work) work {
	return work{w.milliCPU + other.milliCPU, w.memoryMB + other.memoryMB, w.accelerators + other.accelerators}
}

func (w work) times(factor float64) work {
	return work{w.milliCPU * factor, w.memoryMB * factor, w.accelerators * factor}
}

func (w work) max(other work) work {
	return work{max(w.milliCPU, other.milliCPU), max(w.memoryMB, other.memoryMB), max(w.accelerators, other.accelerators)}
}

// exceeds reports whether w is more than other in some dimension.
func (w work) exceeds(other work) bool {
	return w.milliCPU > other.milliCPU || w.memoryMB > other.memoryMB || w.accelerators > other.accelerators
}

// perSecond returns the capacity that is busy if the work arrives once a second.
func (w work) perSecond() model.Resources {
	return model.Resources{MilliCPU: int64(w.milliCPU), MemoryMB: int64(w.memoryMB), Accelerators: int64(w.accelerators)}
}

// estimatedWork returns the predicted work of a job.
func estimatedWork(m *durationModel, j *jobs.Job) work {
	var sum work
	for i := range j.Steps {
		step := &j.Steps[i]
		sum = sum.plus(workOf(step.Claim(), m.predict(step.Estimate).mean()).times(float64(step.Tasks)))
	}
	return sum
}

// Incoming is capacity that a service is going to have, because a host moves to it.
type Incoming struct {
	At       model.Time
	Capacity model.Resources
}

// Forecast is what the planner of hosts expects for a service.
type Forecast struct {
	Incoming []Incoming // in the order of its time
	// Contended is set while the fleet has too few hosts for all services.
	Contended bool
}

// maxServiceTime is the longest time that serviceTime returns.
const maxServiceTime = 1000 * model.Second

// serviceTime returns how long workers with the given free capacity take for some work,
// given the capacity that they are joined by, in the order of its time.
func serviceTime(now model.Time, capacity model.Resources, incoming []Incoming, w work) model.Duration {
	longest := model.Duration(0)
	for _, dimension := range []struct {
		amount   float64
		capacity func(model.Resources) int64
	}{
		{w.milliCPU, func(r model.Resources) int64 { return r.MilliCPU }},
		{w.memoryMB, func(r model.Resources) int64 { return r.MemoryMB }},
		{w.accelerators, func(r model.Resources) int64 { return r.Accelerators }},
	} {
		longest = max(longest, timeFor(now, dimension.amount, float64(dimension.capacity(capacity)), incoming, dimension.capacity))
	}
	return longest
}

// timeFor is serviceTime for one resource.
func timeFor(now model.Time, amount, rate float64, incoming []Incoming, capacityOf func(model.Resources) int64) model.Duration {
	at := now
	for _, in := range incoming {
		elapsed := max(0, in.At.Sub(at))
		served := rate * usableFraction * elapsed.Seconds()
		if served >= amount {
			break
		}
		amount -= served
		at = at.Add(elapsed)
		rate += float64(capacityOf(in.Capacity))
	}
	if amount <= 0 {
		return at.Sub(now)
	}
	seconds := amount / (rate * usableFraction)
	if rate <= 0 || math.IsNaN(seconds) || seconds > maxServiceTime.Seconds() {
		return maxServiceTime
	}
	return at.Sub(now) + model.Duration(seconds*float64(model.Second))
}
