package schedule

import (
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Deadlines and leases are on the clock of the worker, which the leader knows from answers.
const (
	// minClockRate is the rate of the slowest worker clock that the platform allows.
	minClockRate = 0.98
	// leaseEndMargin is added to the time by which a lease must have ended. It is two
	// ticks.
	leaseEndMargin = 100 * model.Millisecond
	// lateLeaseEnd is how late a worker that is short of processor time ends the runs of an
	// expired lease.
	lateLeaseEnd = 300 * model.Millisecond
)

// setClock records the worker's clock in an answer to a call that was sent at sentAt.
func (w *worker) setClock(now model.Time, c order.ClockMS, sentAt model.Time) {
	if c >= w.clock {
		w.clock, w.clockAt, w.clockSince = c, now, sentAt
	}
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now model.Time) order.ClockMS {
	return w.clock + order.ClockMS(now.Sub(w.clockAt)/model.Millisecond)
}

// extendLease grants a lease of length d from now and returns its deadline by the
// worker's clock. It records when the lease has ended even on the slowest clock.
func (w *worker) extendLease(now model.Time, d model.Duration) order.ClockMS {
	deadline := w.clockNow(now) + order.ClockMS(d/model.Millisecond)
	w.leaseEndsBy = max(w.leaseEndsBy, w.clockReachedBy(deadline).Add(lateLeaseEnd))
	w.contact.sent(now)
	return deadline
}

// clockReachedBy returns the latest time at which the worker's clock reaches c.
func (w *worker) clockReachedBy(c order.ClockMS) model.Time {
	return w.clockAt.Add(maxElapsed(model.Duration(c-w.clock) * model.Millisecond))
}

// leaseDuration returns the lease that a poll grants: a part of the longest allowed
// lease, so that the runs of an unreachable worker can soon be started elsewhere.
func leaseDuration(b Bounds) model.Duration { return b.LeaseMax * 3 / 4 }

// maxElapsed returns the longest real time in which a worker's clock may advance by d,
// plus a margin.
func maxElapsed(d model.Duration) model.Duration {
	return model.Duration(float64(d)/minClockRate) + leaseEndMargin
}

// runsEndAfter returns the longest real time after which the runs have ended whose lease
// lasts for d of the worker's clock.
func runsEndAfter(d model.Duration) model.Duration { return maxElapsed(d) + lateLeaseEnd }
