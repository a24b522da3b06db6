package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// Guards against a call that waited in a socket during a pause and gets the horizon of
// the entries that were applied after it, before the call was read.
func TestCallsReadAfterAPauseKeepTheHorizonOfBefore(t *testing.T) {
	var h callHorizon
	now := model.Time(1000 * model.Second)
	ticks := func(n int, next uint64) {
		for range n {
			now = now.Add(TickInterval)
			h.observe(now, next)
			h.tick()
		}
	}
	ticks(3, 10)
	require.Equal(t, uint64(10), h.ofCall(10))
	now = now.Add(pauseMin)
	ticks(1, 10)
	require.Equal(t, uint64(10), h.ofCall(40), "the pause is noticed with the first event after it")
	ticks(settleTicks/2, 40)
	now = now.Add(pauseMin)
	ticks(1, 50)
	require.Equal(t, uint64(10), h.ofCall(50), "a second pause keeps the horizon of the first")
	ticks(settleTicks-2, 50)
	require.Equal(t, uint64(10), h.ofCall(50))
	ticks(1, 50)
	require.Equal(t, uint64(50), h.ofCall(50))
}

// Guards against a process that is short of processor time, not paused, and refuses
// orders.
func TestLateTicksAreNoPause(t *testing.T) {
	var h callHorizon
	now := model.Time(1000 * model.Second)
	for next := range uint64(100) {
		now = now.Add(pauseMin)
		h.observe(now, next)
		require.Equal(t, next, h.ofCall(next))
	}
}
