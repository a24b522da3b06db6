package hosts

import (
	"primrosedale.example/primrosedale/core/model"
)

const (
	// moveBurst and moveRate (per second) bound the orders that add hosts to pools: the
	// hosts of a burst are ordered within two ticks.
	moveBurst = 64
	moveRate  = 1280
	// switchOffBurst and switchOffRate (per second) bound the orders that switch hosts
	// off, which can wait. An order takes about 0.3 ms of the leader's processor.
	switchOffBurst = 16
	switchOffRate  = 320
)

// orderLimits spreads the orders to the owner of the hosts over time. The load that it answers is
// a fleet of thousands of hosts whose pools change at once: 2,245 orders in one tick took
// the processor of the leader for longer than an election timeout, and most were refused
// by the owner's limit and repeated every 500 ms.
type orderLimits struct {
	owner     bucket // limit of the owner of the hosts
	moves     bucket
	switchOff bucket
}

// newOrderLimits returns the limits for an owner that accepts a number of orders per second, 0 for
// no limit.
func newOrderLimits(now model.Time, ordersPerSecond float64) *orderLimits {
	return &orderLimits{
		owner:     newBucket(now, ordersPerSecond, ordersPerSecond),
		moves:     newBucket(now, moveRate, moveBurst),
		switchOff: newBucket(now, switchOffRate, switchOffBurst),
	}
}

// allowMove takes a move order and reports whether it may be sent now.
func (l *orderLimits) allowMove(now model.Time, switchesOff bool) bool {
	own := &l.moves
	if switchesOff {
		own = &l.switchOff
	}
	if !own.has(now) || !l.owner.has(now) {
		return false
	}
	own.take(now)
	l.owner.take(now)
	return true
}

// countMaintenance counts an order for maintenance, which is never held back: it has a due
// time, and the cap of its wave bounds the number.
func (l *orderLimits) countMaintenance(now model.Time) { l.owner.take(now) }

// bucket is a token bucket. A rate of 0 means no limit.
type bucket struct {
	rate, capacity, tokens float64
	filledAt               model.Time
}

func newBucket(now model.Time, rate, capacity float64) bucket {
	return bucket{rate: rate, capacity: capacity, tokens: capacity, filledAt: now}
}

func (b *bucket) fill(now model.Time) {
	if now > b.filledAt {
		b.tokens = min(b.capacity, b.tokens+b.rate*now.Sub(b.filledAt).Seconds())
		b.filledAt = now
	}
}

func (b *bucket) has(now model.Time) bool {
	b.fill(now)
	return b.rate == 0 || b.tokens >= 1
}

func (b *bucket) take(now model.Time) {
	b.fill(now)
	b.tokens--
}
