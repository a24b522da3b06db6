package schedule

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against two tasks of a step that are ended at once though MaxUnavailable is one: a
// worker restarts under its ID, the later process runs both on orders to the earlier one, and
// its host counts as idle until its first list.
func TestHostOfARestartedWorkerHasItsRuns(t *testing.T) {
	for restarts := 1; restarts <= 3; restarts++ {
		for _, leaderChanges := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d restarts, leader changes %t", restarts, leaderChanges), func(t *testing.T) {
				w := testWorker("a")
				w.StartedAt = 1
				f := newFixture(t, w)
				f.submit("j", jobs.Step{Tasks: 2, Size: cores(1), LongRunning: true, MaxUnavailable: 1})
				require.Len(t, f.takeCalls("a"), 2) // neither has an answer
				requireRuns := func(n int, msg string) {
					t.Helper()
					require.Equal(t, n, f.s.PendingRuns("host-a"), msg)
					require.Equal(t, n > 0, f.s.OnlyLongRunning("host-a") && f.s.PendingRuns("host-a") > 0, msg)
					_, ends := f.s.TimeUntilIdle(f.env(), "host-a")
					require.Equal(t, n == 0, ends, msg)
				}
				for i := range restarts {
					f.advanceBy(800 * ms)
					w.StartedAt = int64(2 + i)
					record := w
					f.commit(jobs.Command{Announce: &record})
					requireRuns(2, "the later process may run both")
				}
				if leaderChanges {
					f.calls = nil
					f.s = New(f.env())
					f.advance()
					requireRuns(2, "the new leader knows of no list")
				}
				f.answerPollWith("a", order.Reply{StartedAt: w.StartedAt, Clock: 700, Running: []order.Running{
					runningFully(ref("j", 0, 1)), runningFully(ref("j", 1, 1)),
				}})
				requireRuns(2, "it lists both")
			})
		}
	}
}

// Guards against a host that is kept from a move or maintenance by the runs of an earlier
// process of its worker, after the present process has listed what it runs.
func TestHostOfARestartedWorkerIsIdleAfterItsList(t *testing.T) {
	w := testWorker("a")
	w.StartedAt = 1
	f := newFixture(t, w)
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true, MaxUnavailable: 1})
	require.Len(t, f.takeCalls("a"), 1)
	f.advanceBy(800 * ms)
	record := w
	record.StartedAt = 2
	f.commit(jobs.Command{Announce: &record})
	f.s.CordonHosts(map[model.HostID]bool{"host-a": true})
	f.answerPollWith("a", order.Reply{StartedAt: 2, Clock: 700})
	require.NotEmpty(t, f.s.runs, "its order may still arrive")
	require.Zero(t, f.s.PendingRuns("host-a"))
}
