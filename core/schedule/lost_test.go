package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against a second run of a task that leaves no trace: the log names the run that
// was given up when the task starts again, and when its worker lists it after all.
func TestSecondRunOfATaskIsLogged(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.startOnA()
	for len(f.takeCalls("b")) == 0 {
		f.failPolls("a", order.NoAnswer, 50*ms)
		f.replyToPolls("b", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / 1e6)})
	}
	require.Equal(t, 1, f.logged[effect.RunRepeated])
	require.Zero(t, f.logged[effect.LostRunListed])
	for range 3 {
		f.advanceBy(pollRetryDelay)
		f.answerPoll("a", []order.Running{runningFully(ref("j", 0, 1))}, nil)
	}
	require.Equal(t, 1, f.logged[effect.LostRunListed], "once for each run")
	stops := f.takeCalls("a")
	require.Equal(t, &order.Stop{RunRef: ref("j", 0, 1)}, stops[0].Stop)
	require.Equal(t, jobs.Placed, f.state.Task(ref("j", 0, 1).TaskRef).Phase)
}
