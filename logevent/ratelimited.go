package logevent

import (
	"sync/atomic"
	"time"
)

// minLineInterval is the shortest time between two lines of a RateLimited.
const minLineInterval = time.Second

// RateLimited limits the lines of an event that callers can cause at any rate: it writes
// the first at once, then at most one line a second with the count since the last line.
// It is safe for concurrent use.
type RateLimited struct {
	next  atomic.Int64 // UnixNano
	count atomic.Int64 // since the last line
}

// Emit counts the event and writes a line if one is due. The line has the fields of
// the latest event.
func (r *RateLimited) Emit(l Logger, id ID, fields ...Field) {
	if l.now == nil {
		return
	}
	r.count.Add(1)
	now, next := l.now().UnixNano(), r.next.Load()
	if now < next || !r.next.CompareAndSwap(next, now+int64(minLineInterval)) {
		return
	}
	l.With(Int(NameCount, r.count.Swap(0))).Emit(id, fields...)
}
