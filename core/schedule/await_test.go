package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// awaitFixture returns a fixture whose worker a has not answered for a while, and a
// long-running job j that is assigned to it.
func awaitFixture(t *testing.T, more ...jobs.Worker) *fixture {
	a := testWorker("a")
	a.StartedAt = 1000
	f := newFixture(t, append([]jobs.Worker{a}, more...)...)
	f.advanceBy(2 * justAnsweredTime)
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true})
	return f
}

// Guards against the order of a long-running task that reaches a worker when it is lost: the
// task would wait for as long as a call may be held.
func TestOrderOfALongRunningTaskFollowsAnAnswer(t *testing.T) {
	f := awaitFixture(t)
	require.Empty(t, f.takeCalls("a"), "ordered without an answer")
	require.Zero(t, f.lastPoll("a").Poll.Wait, "the worker answers at once")
	f.now = f.now.Add(5 * ms)
	f.answerPoll("a", nil, nil)
	starts := f.takeCalls("a")
	require.Len(t, starts, 1)
	require.NotNil(t, starts[0].Start)
	require.NotZero(t, f.lastPoll("a").Poll.Wait)
	f.submit("k", jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true})
	require.Len(t, f.takeCalls("a"), 1, "the latest answer is recent")
}

// Guards against a long-running task that waits for a worker which does not answer.
func TestLongRunningTaskDoesNotWaitForASilentWorker(t *testing.T) {
	f := awaitFixture(t, testWorker("b"))
	silent := f.lastWorkerAsked()
	f.now = f.now.Add(900 * ms)
	f.replyToPolls(silent, order.Reply{Status: order.NoAnswer})
	require.Empty(t, f.takeCalls(silent))
	other := model.WorkerID("b")
	if silent == other {
		other = "a"
	}
	f.answerPoll(other, nil, nil)
	require.Len(t, f.takeCalls(other), 1)
	require.NotContains(t, f.s.runs, ref("j", 0, 1))
}

// The same with a poll whose result is lost.
func TestLongRunningTaskDoesNotWaitForALostAnswer(t *testing.T) {
	f := awaitFixture(t)
	f.calls = nil
	for asked := f.now; f.s.runs[ref("j", 0, 1)] != nil; f.advanceBy(50 * ms) {
		require.LessOrEqual(t, f.now.Sub(asked), awaitAnswerTime+50*ms)
		require.Empty(t, f.takeCalls("a"))
	}
}

// Guards against a task that waits for good: its worker is replaced or leaves, or the job is
// cancelled, before the order is sent.
func TestAwaitingRunEndsWithItsWorkerOrJob(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"replaced": func(f *fixture) { f.announceLater("a", 6000) },
		"left": func(f *fixture) {
			f.commit(jobs.Command{Depart: &jobs.Depart{Worker: "a", Incarnation: f.state.Workers["a"].Incarnation}})
		},
		"cancelled": func(f *fixture) {
			f.commit(jobs.Command{Cancel: &jobs.Cancel{Job: "j"}})
			f.answerPoll("a", nil, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := awaitFixture(t)
			end(f)
			require.NotContains(t, f.s.runs, ref("j", 0, 1))
			for _, c := range f.takeCalls("a") {
				require.Nil(t, c.Start)
			}
		})
	}
}

// Guards against a second run of a long-running task whose order is held for a worker that
// nothing reaches.
func TestOrderOfALongRunningTaskHeldForAnUnreachableWorker(t *testing.T) {
	f := awaitFixture(t)
	f.answerPoll("a", nil, nil)
	starts := f.takeCalls("a")
	require.Len(t, starts, 1)
	sent := f.now
	f.unanswered(starts[0])
	f.requireKept(sent.Add(maxCallDelay + simBounds.LeaseMax))
}

// lastWorkerAsked returns the worker of the latest poll that asks for an answer at once.
func (f *fixture) lastWorkerAsked() model.WorkerID {
	for i := len(f.calls) - 1; i >= 0; i-- {
		if c := f.calls[i]; c.Poll != nil && c.Poll.Wait == 0 {
			return c.Worker
		}
	}
	f.t.Fatal("no worker was asked")
	return ""
}

// Guards against a second run of a long-running task that an earlier leader ordered, if the order
// is held for a worker that nothing reaches.
func TestOrderOfALongRunningTaskIsInherited(t *testing.T) {
	f, _ := orderedFixture(t, jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true})
	sent := f.now
	f.calls = nil
	f.s = New(f.env())
	f.requireKept(sent.Add(maxCallDelay + simBounds.LeaseMax))
}

// Guards against a long-running task that waits for the longest delay of a call after a change of
// leader, although its order was answered before.
func TestLongRunningTaskWithAnAnsweredOrderIsNotHeld(t *testing.T) {
	for name, confirm := range map[string]func(f *fixture, start order.Call){
		"accepted": func(f *fixture, start order.Call) { f.startAnswered(start, order.ClockMS(f.now/model.Time(ms))) },
		"listed": func(f *fixture, _ order.Call) {
			f.answerPoll("a", []order.Running{runningFully(ref("j", 0, 1))}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, start := orderedFixture(t, jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true})
			confirm(f, start)
			require.True(t, f.state.Task(ref("j", 0, 1).TaskRef).Confirmed)
			f.calls = nil
			f.s = New(f.env())
			for began := f.now; f.s.runs[ref("j", 0, 1)] != nil; f.failPolls("a", order.NoAnswer, 50*ms) {
				require.LessOrEqual(t, f.now.Sub(began), runsEndAfter(simBounds.LeaseMax)+100*ms)
			}
		})
	}
}

// Guards against a long-running task that waits for the longest delay of a call after a second
// change of leader: the record that its order was answered was lost with the first leader.
func TestLostConfirmIsProposedByTheNextLeader(t *testing.T) {
	f, start := orderedFixture(t, jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true})
	run := start.Start.RunRef
	var lost Out
	f.s.Replied(f.env(), &lost, &order.Reply{Call: start, Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms))})
	require.Len(t, lost.Proposals, 1)
	require.NotNil(t, lost.Proposals[0].Confirm)
	f.calls = nil
	f.s = New(f.env())
	f.advance()
	for began := f.now; !f.state.Task(run.TaskRef).Confirmed; f.advanceBy(50 * ms) {
		require.LessOrEqual(t, f.now.Sub(began), lateCallTime+2*pollWait)
		if f.lastPoll("a").Poll != nil {
			f.answerPollWith("a", order.Reply{StartedAt: 1000, Running: []order.Running{runningFully(run)}})
		}
	}
}
