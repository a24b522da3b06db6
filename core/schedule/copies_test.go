package schedule

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// startCopy submits a job with one task that may run in several copies and lets its first
// run begin on worker a. Worker a then stops answering. startCopy returns the first run
// and the order to start a second one on worker b.
func startCopy(t *testing.T, f *fixture, steps ...jobs.Step) (jobs.RunRef, order.Call) {
	f.state.Config.Teams["press"] = jobs.Team{}
	f.submit("j", append([]jobs.Step{{Tasks: 1, Size: cores(8), Copies: true}}, steps...)...)
	starts := f.takeCalls("a")
	require.Len(t, starts, 1)
	first := starts[0].Start.RunRef
	f.answerPoll("a", []order.Running{runningFully(first)}, nil)
	f.advanceBy(maxAnswerAge)
	f.answerPoll("b", nil, nil)
	f.advanceBy(100 * ms)
	starts = f.takeCalls("b")
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Start.Run)
	return first, starts[0]
}

func stoppedRuns(calls []order.Call) []jobs.RunRef {
	var refs []jobs.RunRef
	for _, c := range calls {
		if c.Stop != nil {
			refs = append(refs, c.Stop.RunRef)
		}
	}
	return refs
}

// Guards against a crash of the leader when it sends the order of a run again whose job
// is completed, or is no longer in the state.
func TestOrderOfACompletedJobIsNotSentAgain(t *testing.T) {
	for _, forgotten := range []bool{false, true} {
		f := newFixture(t, testWorker("a"), testWorker("b"))
		first, copied := startCopy(t, f)
		// The end is applied to the state only, so that the scheduler does not stop the
		// copies.
		end := jobs.Command{End: &jobs.End{Runs: []jobs.Ending{{RunRef: first, Outcome: jobs.OutcomeDone}}}}
		result := f.apply(end)
		require.Equal(t, []model.JobID{"j"}, result.Ended)
		require.Nil(t, f.state.Task(first.TaskRef))
		if forgotten {
			f.apply(jobs.Command{Forget: &jobs.Forget{Before: f.now.Add(model.Second)}})
			require.Empty(t, f.state.Jobs)
		}
		for range 20 {
			f.advanceBy(50 * ms)
		}
		require.Equal(t, []jobs.RunRef{copied.Start.RunRef}, stoppedRuns(f.takeCalls("b")))
	}
}

// Guards against copies of the last task that keep running after its job is completed.
func TestCompletionStopsCopies(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	first, copied := startCopy(t, f)
	f.act(func(out *Out) {
		f.apply(jobs.Command{End: &jobs.End{Runs: []jobs.Ending{{RunRef: first, Outcome: jobs.OutcomeDone}}}})
		f.s.handleJobEnded(f.env(), out, "j")
	})
	require.Equal(t, []jobs.RunRef{copied.Start.RunRef}, stoppedRuns(f.takeCalls("b")))
}

// Guards against the order of a run whose job has ended by the time its committed
// assignment is handled.
func TestAssignmentOfAnEndedJobIsNotOrdered(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	var out Out
	f.apply(jobs.Command{Submit: &jobs.Job{ID: "j", Queue: "q", Service: "render", Rounds: make([]jobs.Round, 1),
		Steps: []jobs.Step{{Tasks: 1, Size: cores(1)}}}})
	f.s.addJob(f.env(), f.state.Jobs["j"])
	f.s.Place(f.env(), &out)
	require.Len(t, out.Proposals, 1)
	assign := out.Proposals[0]
	result := f.apply(assign)
	run := assign.Assign.Runs[0].RunRef
	f.apply(jobs.Command{End: &jobs.End{Runs: []jobs.Ending{{RunRef: run, Outcome: jobs.OutcomeDone}}}})
	f.act(func(out *Out) { f.s.Committed(f.env(), out, &assign, result) })
	require.Empty(t, f.takeCalls("a"))
	require.Empty(t, f.s.runs)
}

// Guards against a copy that keeps running after another copy is done, because a run with
// a number between theirs was given up.
func TestAllCopiesOfADoneTaskAreStopped(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"), testWorker("c"))
	first, copied := startCopy(t, f, jobs.Step{Tasks: 1, Size: cores(1), After: []int{0}})
	second := copied.Start.RunRef
	f.answerPoll("b", []order.Running{runningFully(second)}, nil)
	f.advanceBy(maxAnswerAge)
	f.answerPoll("c", nil, nil)
	f.advanceBy(100 * ms)
	starts := f.takeCalls("c")
	require.Len(t, starts, 1)
	require.Equal(t, 3, starts[0].Start.Run)
	require.Nil(t, f.s.runs[second])

	f.answerPoll("a", nil, []order.Ended{{Number: 1, RunRef: first, Outcome: jobs.OutcomeDone}})
	require.Equal(t, jobs.Active, f.state.Jobs["j"].Phase)
	require.Equal(t, []jobs.RunRef{starts[0].Start.RunRef}, stoppedRuns(f.takeCalls("c")))
}

// Guards against a worker over its capacity. A run is given up because a copy may run
// elsewhere, but its order is delivered late, by a slow link or a delegate that was
// suspended, and the worker executes it until the order's deadline.
func TestCapacityOfAnOrderIsReservedUntilItsDeadline(t *testing.T) {
	f := newFixture(t, testWorker("w"))
	f.state.Config.Teams["press"] = jobs.Team{}
	f.takeCalls("w")
	f.advanceBy(maxAnswerAge - 100*ms)
	f.submit("0000000000000001", jobs.Step{Tasks: 1, Size: cores(8), Estimate: model.Second, Copies: true})
	first := f.takeCalls("w")
	require.Len(t, first, 1)
	f.advanceBy(200 * ms) // the worker now counts as silent
	f.answerPoll("w", nil, nil)
	f.submit("0000000000000002", jobs.Step{Tasks: 1, Size: cores(8), Estimate: model.Second})
	clock := f.s.workers["w"].clock
	require.Less(t, clock, first[0].Start.Deadline)
	for _, c := range f.takeCalls("w") {
		require.Nil(t, c.Start, "a second run is started while the first order may be executed for %d ms", first[0].Start.Deadline-clock)
	}
}

// Guards against a worker over its capacity. A worker that was silent answers an order
// before it has listed whether the runs that were given up meanwhile are still running.
func TestCapacityOfACopyIsReservedUntilItsWorkerListsIt(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["press"] = jobs.Team{}
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(7), Copies: true})
	first := f.takeCalls("a")
	require.Len(t, first, 1)
	f.answerPoll("a", []order.Running{runningFully(first[0].Start.RunRef)}, nil)
	f.submit("k", jobs.Step{Tasks: 1, Size: cores(1)})
	second := f.takeCalls("a")
	require.Len(t, second, 1)
	f.advanceBy(maxAnswerAge + ms)
	require.Nil(t, f.s.runs[first[0].Start.RunRef])
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: second[0], Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms))})
	})
	f.answerPollWith("a", order.Reply{Clock: second[0].Start.Deadline - 4000, Running: []order.Running{runningFully(second[0].Start.RunRef)}})
	f.advanceBy(50 * ms)
	require.True(t, f.s.workers["a"].isFresh(f.now))
	require.Empty(t, f.takeCalls("a"), "the first run may still be running")
	f.answerPoll("a", []order.Running{runningFully(second[0].Start.RunRef)}, nil)
	f.advanceBy(50 * ms)
	again := f.takeCalls("a")
	require.Len(t, again, 1)
	require.Equal(t, 2, again[0].Start.Run)
}

// Guards against a task that waits for the end of the longest lease although a copy of it
// may run. Its worker was silent already when the deadline of the order passed, and polls
// have failed since.
func TestCopyStartsAfterTheDeadlineOfTheOrder(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.state.Config.Teams["press"] = jobs.Team{}
	f.advanceBy(maxAnswerAge - 100*ms)
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(8), Copies: true})
	starts := f.takeCalls("a")
	require.Len(t, starts, 1)
	f.advanceBy(200 * ms)
	poll := f.calls[slices.IndexFunc(f.calls, func(c order.Call) bool { return c.Worker == "a" && c.Poll != nil })]
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &order.Reply{Call: poll, Status: order.NoAnswer}) })
	require.False(t, f.s.workers["a"].polled)
	f.answerPoll("b", nil, nil)
	require.Empty(t, f.takeCalls("b"))
	for range 40 {
		f.advanceBy(50 * ms)
	}
	f.answerPoll("b", nil, nil)
	f.advanceBy(50 * ms)
	require.Len(t, f.takeCalls("b"), 1)
}
