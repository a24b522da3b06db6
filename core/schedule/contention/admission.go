package contention

import (
	"math"

	"primrosedale.example/primrosedale/core/model"
)

const (
	// rateWindow is the time over which the rate of accepted work is measured: long
	// enough for several jobs, and short compared with a burst of a few seconds.
	rateWindow = 800 * model.Millisecond
	// toleratedSpread is the number of standard deviations by which the time of a job may
	// have to exceed its prediction for the job to be on time. A job whose chance is
	// better than 1 in 6 is accepted: in trials with the replays of core/hosts, 1 in 2 gave
	// 2 % fewer jobs on time.
	toleratedSpread = 1
	// idleFraction is the largest fraction of a pool that may be claimed, or arrive within
	// a second, for a late job to be accepted. The rest is left for the beginning of a
	// burst, since tasks are not preempted. In trials with the replays of core/hosts, 0.5
	// gave as many jobs on time and a third more late ones.
	idleFraction = 0.3
)

// Free returns the work that the pool can do in one second beside what others keep busy.
func (s Supply) Free(claimed Work) Work {
	return WorkOf(s.Capacity, model.Second).Times(s.Usable).Plus(claimed.Times(-1)).Max(Work{})
}

// Excess returns the part of the work of a step that finds no free capacity at once and
// so delays the step itself. Each of its tasks takes the given time.
func Excess(free, step Work, task model.Duration) Work {
	return step.Plus(free.Times(-task.Seconds())).Max(Work{})
}

// AcceptedRates follows the rate at which work is accepted, by the precedence of its queue.
type AcceptedRates struct {
	rates []acceptedRate
}

type acceptedRate struct {
	precedence int
	perSecond  Work
	at         model.Time
}

// Add adds the work of an accepted job.
func (a *AcceptedRates) Add(now model.Time, precedence int, w Work) {
	w = w.Times(1 / rateWindow.Seconds())
	for i := range a.rates {
		if r := &a.rates[i]; r.precedence == precedence {
			r.perSecond, r.at = r.decayed(now).Plus(w), now
			return
		}
	}
	a.rates = append(a.rates, acceptedRate{precedence, w, now})
}

func (r *acceptedRate) decayed(now model.Time) Work {
	return r.perSecond.Times(max(0, 1-now.Sub(r.at).Seconds()/rateWindow.Seconds()))
}

// Overtaking returns the rate of the work that is served before a job of the given
// precedence although it arrives later. Without it, a queue of low precedence is accepted
// as if the rest of a burst of higher precedence did not come.
func (a *AcceptedRates) Overtaking(now model.Time, precedence int) Work {
	var sum Work
	for i := range a.rates {
		if a.rates[i].precedence < precedence {
			sum = sum.Plus(a.rates[i].decayed(now))
		}
	}
	return sum
}

// Wait returns how long a job waits in all for the work ahead of it, for its own steps,
// and for the work that overtakes it meanwhile.
func (s Supply) Wait(ahead, own, overtaking Work) model.Duration {
	ahead = ahead.Plus(own)
	wait := s.TimeFor(ahead)
	if overtaking == (Work{}) {
		return wait
	}
	for range maxWaitRounds {
		next := s.TimeFor(ahead.Plus(overtaking.Times(wait.Seconds())))
		if next-wait < waitPrecision {
			return next
		}
		wait = next
	}
	return wait
}

// The wait grows with the work that arrives during it. If it does not settle within
// maxWaitRounds, the work that overtakes the job keeps most of the pool busy, and the
// wait is longer than any job can bear.
const (
	maxWaitRounds = 5
	waitPrecision = 20 * model.Millisecond
)

// Spread returns the standard deviation of the logarithm of a job's critical path. sigma is
// that of one task, tasks is the number of tasks that run in parallel in a step, and steps
// is the length of the chain. The maximum of n normal variables varies less than one of
// them; 1+0.26*ln(n) approximates by which factor, to 6 % up to n = 64.
func Spread(sigma float64, tasks, steps int) float64 {
	if sigma <= 0 || tasks < 1 || steps < 1 {
		return 0
	}
	return sigma / ((1 + 0.26*math.Log(float64(tasks))) * math.Sqrt(float64(steps)))
}

// Tolerance returns by how much a job may wait longer than its predicted slack and still
// be on time with sufficient probability. A job may take stretch times its critical path,
// so that a critical path that is longer than predicted leaves more slack.
func Tolerance(criticalPath model.Duration, stretch, spread float64) model.Duration {
	ms := float64(criticalPath/model.Millisecond) * max(0, stretch-1) * (math.Exp(toleratedSpread*spread) - 1)
	return model.DurationOf(math.Round(ms) * float64(model.Millisecond))
}

// IsIdle reports whether a pool can take a late job without making another one late. claimed
// is what tasks and the job itself claim, arriving what arrives within a second.
func IsIdle(capacity model.Resources, claimed, arriving Work) bool {
	return !claimed.Max(arriving).Exceeds(WorkOf(capacity, model.Second).Times(idleFraction))
}

// Utilization follows which fraction of a pool is in use while tasks wait. The rest is
// lost to fragmentation, which depends on the sizes of the tasks and on the long-running
// tasks beside them. The zero value is the default.
type Utilization struct {
	measured float64 // 0 for the default
}

const (
	// defaultUtilization holds for tasks of different sizes that are small compared with
	// a worker.
	defaultUtilization = 0.88
	// minUtilization bounds what is measured: a pool whose tasks wait for another reason
	// than capacity must not be mistaken for a full one.
	minUtilization = 0.6
	// utilizationWeight is the weight of one measurement in the moving average. With one
	// for each tick of 50 ms, the average follows in 1 s, a fraction of a burst.
	utilizationWeight = 0.05
)

// Fraction returns the fraction of the capacity that is in use while tasks wait.
func (u Utilization) Fraction() float64 {
	if u.measured == 0 {
		return defaultUtilization
	}
	return u.measured
}

// Observe adds a measurement of a pool's capacity, its used part, and the claims that wait
// for capacity. It counts only if the waiting claims would fill what is free.
func (u *Utilization) Observe(capacity, used, waiting model.Resources) {
	for _, d := range [][3]int64{
		{capacity.MilliCPU, used.MilliCPU, waiting.MilliCPU},
		{capacity.MemoryMB, used.MemoryMB, waiting.MemoryMB},
		{capacity.Accelerators, used.Accelerators, waiting.Accelerators},
	} {
		if d[0] <= 0 || d[2] <= d[0]-d[1] {
			continue
		}
		fraction := min(max(float64(d[1])/float64(d[0]), minUtilization), 1)
		u.measured = u.Fraction() + (fraction-u.Fraction())*utilizationWeight
		return
	}
}
