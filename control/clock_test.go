package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// Guards against decisions that follow the time of day while it jumps forward, back and
// forward again: leases would end early or be extended without a renewal.
func TestProcessClockIgnoresJumpsOfTheTimeOfDay(t *testing.T) {
	for _, start := range []time.Duration{0, -9 * time.Second, 7 * time.Second} {
		jumps := []time.Duration{start, 7 * time.Second, -9 * time.Second, 7 * time.Second}
		reads := 0
		trueTime := time.Now()
		l := newLoop(func() time.Time {
			jump := jumps[min(reads, len(jumps)-1)]
			reads++
			return trueTime.Add(jump)
		})
		first := l.Now()
		require.InDelta(t, float64(trueTime.Add(start).UnixNano()), float64(first), float64(time.Second))
		last := first
		for began := time.Now(); time.Since(began) < 20*time.Millisecond; {
			now := l.Now()
			require.GreaterOrEqual(t, now, last)
			require.Less(t, now.Sub(first), model.Second)
			last = now
		}
		require.Equal(t, 1, reads, "the time of day is read when the process starts only")
	}
}
