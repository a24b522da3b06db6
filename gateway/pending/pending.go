// Package pending lets HTTP handlers wait for results that the control
// goroutine delivers by key. Delivery never blocks and takes no lock that a
// handler holds.
package pending

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"primrosedale.example/primrosedale/core/event"
)

// Poster passes events to the control goroutine.
type Poster interface {
	// Post reports false if the bounded queue is full.
	Post(e event.Event) bool
}

// Outcome says how a wait ended.
type Outcome int

// The outcomes of a wait.
const (
	Delivered Outcome = iota // a result arrived
	QueueFull                // the event was not accepted
	TimedOut                 // the event was accepted and no result arrived in time
)

// Table holds waiters by key. The zero Table is empty and ready for use.
type Table[K comparable, V any] struct {
	waiters sync.Map // K to *waiter[V], an immutable list
}

// waiter is one element of the immutable list of waiters of a key. Several
// handlers wait for one key when a submission is sent again while the first
// one is still waiting.
type waiter[V any] struct {
	result chan V
	next   *waiter[V]
}

// Deliver sends v to every waiter of key. It reports whether there was one.
func (t *Table[K, V]) Deliver(key K, v V) bool {
	found, ok := t.waiters.Load(key)
	if !ok {
		return false
	}
	for w := found.(*waiter[V]); w != nil; w = w.next {
		select {
		case w.result <- v:
		default: // it has a result already
		}
	}
	return true
}

// Await posts e and waits for the result delivered under key, for at most
// limit or until ctx ends.
func (t *Table[K, V]) Await(ctx context.Context, p Poster, key K, e event.Event, limit time.Duration) (V, Outcome) {
	var none V
	result := make(chan V, 1)
	t.add(key, result)
	defer t.remove(key, result)
	if !p.Post(e) {
		return none, QueueFull
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case v := <-result:
		return v, Delivered
	case <-timer.C:
		return none, TimedOut
	case <-ctx.Done():
		return none, TimedOut
	}
}

func (t *Table[K, V]) add(key K, result chan V) {
	for {
		found, ok := t.waiters.Load(key)
		if !ok {
			if _, raced := t.waiters.LoadOrStore(key, &waiter[V]{result: result}); !raced {
				return
			}
			continue
		}
		head := found.(*waiter[V])
		if t.waiters.CompareAndSwap(key, head, &waiter[V]{result: result, next: head}) {
			return
		}
	}
}

func (t *Table[K, V]) remove(key K, result chan V) {
	for {
		found, ok := t.waiters.Load(key)
		if !ok {
			return
		}
		head := found.(*waiter[V])
		rest := without(head, result)
		if rest == nil {
			if t.waiters.CompareAndDelete(key, head) {
				return
			}
			continue
		}
		if t.waiters.CompareAndSwap(key, head, rest) {
			return
		}
	}
}

// without returns a copy of the list w without the waiter of result.
func without[V any](w *waiter[V], result chan V) *waiter[V] {
	if w == nil {
		return nil
	}
	rest := without(w.next, result)
	if w.result == result {
		return rest
	}
	return &waiter[V]{result: w.result, next: rest}
}

// IDSequence issues identifiers that are unique within a process. It starts at a random
// number, so that the identifiers of two parts of a process, or of two incarnations of
// it, do not collide.
type IDSequence struct{ last atomic.Uint64 }

// NewIDSequence returns an IDSequence that continues from the random number start.
func NewIDSequence(start uint64) *IDSequence {
	s := &IDSequence{}
	s.last.Store(start)
	return s
}

// Next returns the next identifier. It is never zero.
func (s *IDSequence) Next() uint64 {
	for {
		if id := s.last.Add(1); id != 0 {
			return id
		}
	}
}
