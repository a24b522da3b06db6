package pending

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"primrosedale.example/primrosedale/core/event"
)

type posterFunc func(event.Event) bool

func (p posterFunc) Post(e event.Event) bool { return p(e) }

// Guards against a resend that gets no result because the first submission waits under
// the same key, and against waiters that are never removed.
func TestEveryWaiterOfAKeyReceivesTheResult(t *testing.T) {
	const waiters = 50
	var table Table[string, int]
	var posted, done sync.WaitGroup
	posted.Add(waiters)
	for range waiters {
		done.Go(func() {
			post := posterFunc(func(event.Event) bool { posted.Done(); return true })
			v, outcome := table.Await(context.Background(), post, "id", event.Tick{}, time.Minute)
			assert.Equal(t, Delivered, outcome)
			assert.Equal(t, 7, v)
		})
	}
	posted.Wait()
	assert.True(t, table.Deliver("id", 7))
	done.Wait()
	assert.False(t, table.Deliver("id", 7), "a waiter was not removed")
}

// Guards against a wait that never ends, and against waiting for an event that was not
// accepted.
func TestAwaitEndsWithoutResult(t *testing.T) {
	var table Table[string, int]
	full := posterFunc(func(event.Event) bool { return false })
	accepted := posterFunc(func(event.Event) bool { return true })
	_, outcome := table.Await(context.Background(), full, "a", event.Tick{}, time.Minute)
	assert.Equal(t, QueueFull, outcome)
	_, outcome = table.Await(context.Background(), accepted, "a", event.Tick{}, time.Millisecond)
	assert.Equal(t, TimedOut, outcome)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, outcome = table.Await(ended, accepted, "a", event.Tick{}, time.Minute)
	assert.Equal(t, TimedOut, outcome)
}
