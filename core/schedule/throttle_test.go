package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against a best-effort run that goes on at full speed beside one that misses its target,
// because the call that halts it was refused.
func TestRefusedThrottleIsRepeated(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["press"] = jobs.Team{}
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), Target: 100 * ms})
	f.submit("k", jobs.Step{Tasks: 1, Size: cores(1), BestEffort: true})
	require.Len(t, f.takeCalls("a"), 2)
	overloaded := runningFully(ref("j", 0, 1))
	overloaded.Load = 200
	list := []order.Running{overloaded, runningFully(ref("k", 0, 1))}
	f.answerPoll("a", list, nil)
	halt := f.takeCalls("a")
	require.Len(t, halt, 1)
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: halt[0], Status: order.Fenced, Clock: order.ClockMS(f.now / 1e6)})
	})
	f.advanceBy(50 * ms)
	f.answerPoll("a", list, nil)
	again := f.takeCalls("a")
	require.Len(t, again, 1)
	require.Equal(t, halt[0].Throttle, again[0].Throttle)
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: again[0], Status: order.Accepted, Clock: order.ClockMS(f.now / 1e6)})
	})
	f.advanceBy(50 * ms)
	f.answerPoll("a", list, nil)
	require.Empty(t, f.takeCalls("a"))
}
