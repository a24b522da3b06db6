// Package contention decides who gets the capacity of a pool that cannot process its whole
// backlog: which jobs are refused, and in which order the teams are served.
package contention

import (
	"math"

	"primrosedale.example/primrosedale/core/model"
)

// Work is what tasks reserve times how long they take: for each resource, the amount
// times seconds.
type Work struct {
	MilliCPU, MemoryMB, Accelerators float64
}

// WorkOf returns the work of a task that reserves r for d.
func WorkOf(r model.Resources, d model.Duration) Work {
	return Work{float64(r.MilliCPU) * d.Seconds(), float64(r.MemoryMB) * d.Seconds(), float64(r.Accelerators) * d.Seconds()}
}

// Plus returns the sum of two amounts of work.
func (w Work) Plus(other Work) Work {
	return Work{w.MilliCPU + other.MilliCPU, w.MemoryMB + other.MemoryMB, w.Accelerators + other.Accelerators}
}

// Times returns the work multiplied by a factor.
func (w Work) Times(factor float64) Work {
	return Work{w.MilliCPU * factor, w.MemoryMB * factor, w.Accelerators * factor}
}

// Max returns the larger amount of each resource.
func (w Work) Max(other Work) Work {
	return Work{max(w.MilliCPU, other.MilliCPU), max(w.MemoryMB, other.MemoryMB), max(w.Accelerators, other.Accelerators)}
}

// Exceeds reports whether w is more than other in some dimension.
func (w Work) Exceeds(other Work) bool {
	return w.MilliCPU > other.MilliCPU || w.MemoryMB > other.MemoryMB || w.Accelerators > other.Accelerators
}

// PerSecond returns the capacity that is busy if the work arrives once a second.
func (w Work) PerSecond() model.Resources {
	return model.Resources{MilliCPU: int64(w.MilliCPU), MemoryMB: int64(w.MemoryMB), Accelerators: int64(w.Accelerators)}
}

// Incoming is capacity that a service is going to have, because a host moves to it.
type Incoming struct {
	At       model.Time
	Capacity model.Resources
}

// maxServiceTime is the longest time that TimeFor returns.
const maxServiceTime = 1000 * model.Second

// Supply is the capacity that a pool offers to its work.
type Supply struct {
	Now      model.Time
	Capacity model.Resources // of the present workers
	Incoming []Incoming      // in the order of its time
	Usable   float64         // fraction that is in use while work waits
}

// TimeFor returns how long the workers take for some work.
func (s Supply) TimeFor(w Work) model.Duration {
	longest := model.Duration(0)
	for _, dimension := range []struct {
		amount   float64
		capacity func(model.Resources) int64
	}{
		{w.MilliCPU, func(r model.Resources) int64 { return r.MilliCPU }},
		{w.MemoryMB, func(r model.Resources) int64 { return r.MemoryMB }},
		{w.Accelerators, func(r model.Resources) int64 { return r.Accelerators }},
	} {
		longest = max(longest, s.timeFor(dimension.amount, dimension.capacity))
	}
	return longest
}

// timeFor is TimeFor for one resource.
func (s Supply) timeFor(amount float64, capacityOf func(model.Resources) int64) model.Duration {
	at, rate := s.Now, float64(capacityOf(s.Capacity))
	for _, in := range s.Incoming {
		elapsed := max(0, in.At.Sub(at))
		served := rate * s.Usable * elapsed.Seconds()
		if served >= amount {
			break
		}
		amount -= served
		at = at.Add(elapsed)
		rate += float64(capacityOf(in.Capacity))
	}
	if amount <= 0 {
		return at.Sub(s.Now)
	}
	seconds := amount / (rate * s.Usable)
	if rate <= 0 || math.IsNaN(seconds) || seconds > maxServiceTime.Seconds() {
		return maxServiceTime
	}
	return at.Sub(s.Now) + model.Duration(seconds*float64(model.Second))
}
