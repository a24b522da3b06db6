package hosts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

// held is the time in seconds that hosts spent in pools other than the standby pool.
type held struct {
	total, joining, idle, busy float64
	used                       float64 // part of busy that the claims of the tasks add up to
	moves, onTime              int
}

// countHeld adds up what the hosts of all pools do until the end of the replay.
func (w *waveReplay) countHeld(sum *held) {
	for _, h := range w.hosts {
		worker := w.workers[h.Worker]
		switch {
		case h.Pool == "off":
			continue
		case h.State == order.HostMoving:
			sum.joining += 0.05
		case worker != nil && len(worker.runs) > 0:
			sum.busy += 0.05
			var claims model.Resources
			for ref := range worker.runs {
				claims = claims.Add(w.jobs[ref.Job].Steps[ref.Step].Claim())
			}
			sum.used += 0.05 * max(float64(claims.MilliCPU)/float64(h.Capacity.MilliCPU), float64(claims.MemoryMB)/float64(h.Capacity.MemoryMB))
		default:
			sum.idle += 0.05
		}
		sum.total += 0.05
	}
	w.after(50*ms, func() { w.countHeld(sum) })
}

// Guards against hosts that are moved to a pool for a burst and leave it again unused, and
// against saving hosts at the cost of jobs that are late then.
func TestBurstsHoldNoUnneededHosts(t *testing.T) {
	for _, ramp := range []bool{false, true} {
		var sums [2]held
		for i, disabled := range []schedule.FeatureSet{1 << schedule.PoolTrim, 0} {
			w := newBurstReplay(t, disabled, ramp)
			sum := &sums[i]
			w.observe = func(e effect.Effect) {
				if c, ok := e.(effect.CallHosts); ok && c.Call.Move != nil {
					sum.moves++
				}
			}
			w.countHeld(sum)
			w.run(38 * model.Second)
			for _, r := range w.results {
				sum.onTime += r.onTime
			}
			t.Logf("ramp %v disabled %v: %+v", ramp, disabled, *sum)
		}
		require.GreaterOrEqual(t, sums[1].onTime, sums[0].onTime)
		require.Less(t, sums[1].total, sums[0].total)
		require.Less(t, sums[1].moves, sums[0].moves)
	}
}
