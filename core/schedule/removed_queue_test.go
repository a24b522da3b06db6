package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// removeQueue configures another queue in the place of q, and begins a new term.
func (f *fixture) removeQueue() {
	next := *f.state.Config
	next.Version++
	next.Queues = []jobs.Queue{{ID: "other", Prefix: "/other/", Service: "render", MaxAttempts: 9, Stretch: 1.5, Target: 600 * ms}}
	f.commit(jobs.Command{Configure: &next})
	f.s = New(f.env())
	f.advance()
}

// Guards against a job that waits for good: its queue is removed while the policy service is
// asked about it, and the next leader has its tasks started without a ticket, which workers
// refuse.
func TestJobOfARemovedQueueKeepsItsAdvice(t *testing.T) {
	f := adviceFixture(t)
	f.removeQueue()
	f.answerPoll("a", nil, nil)
	require.Empty(t, f.takeCalls("a"))
	require.Len(t, f.asked, 2)
	f.advise(f.asked[1], "a")
	starts := f.takeCalls("a")
	require.Len(t, starts, 1)
	require.Equal(t, "ticket of a", starts[0].Start.Ticket)
}

// Guards against a task that is tried without end: the next leader did not know the maximum
// number of attempts of a queue that was removed, nor when its jobs are late.
func TestJobOfARemovedQueueKeepsItsAttempts(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), Estimate: model.Second})
	due := f.s.active["j"].due
	for run := 1; run <= 2; run++ {
		if run == 2 {
			f.removeQueue()
			require.Equal(t, due, f.s.active["j"].due)
		}
		failed := []order.Ended{{Number: uint64(run), RunRef: ref("j", 0, run), Outcome: jobs.OutcomeFailed}}
		f.answerPoll("a", nil, failed)
		for began := f.now; run == 2 && f.now.Sub(began) < lateCallTime+deferredEndPollDelay; { // a copy of the earlier leader's order may arrive
			if f.now.Sub(began) < lateCallTime {
				require.Equal(t, jobs.Active, f.state.Jobs["j"].Phase)
			}
			f.advanceBy(50 * ms)
			if f.lastPoll("a").Poll != nil {
				f.answerPoll("a", nil, failed)
			}
		}
	}
	require.Equal(t, jobs.Failed, f.state.Jobs["j"].Phase)
}
