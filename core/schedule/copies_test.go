package schedule

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// startCopy submits a job with one task that may run in several copies, has its first
// run begin on worker a, and returns that run and the order for a second one on b.
func startCopy(t *testing.T, b *bench, steps ...jobs.Step) (jobs.RunRef, order.Call) {
	b.state.Config.Teams["press"] = jobs.Team{}
	b.submit("j", append([]jobs.Step{{Tasks: 1, Size: cores(8), Copies: true}}, steps...)...)
	starts := b.take("a")
	require.Len(t, starts, 1)
	first := starts[0].Start.RunRef
	b.answerPoll("a", []order.Running{atWork(first)}, nil)
	b.pass(freshness)
	b.answerPoll("b", nil, nil)
	b.pass(100 * ms)
	starts = b.take("b")
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Start.Run)
	return first, starts[0]
}

func stopped(calls []order.Call) []jobs.RunRef {
	var refs []jobs.RunRef
	for _, c := range calls {
		if c.Stop != nil {
			refs = append(refs, c.Stop.RunRef)
		}
	}
	return refs
}

// Guards against a leader that ends when it repeats an order of a job that is
// completed, or that nobody knows any more.
func TestOrderOfACompletedJobIsNotRepeated(t *testing.T) {
	for _, forgotten := range []bool{false, true} {
		b := newBench(t, testWorker("a"), testWorker("b"))
		first, copied := startCopy(t, b)
		// The task is taken to have ended without its copies being looked at.
		end := jobs.Command{End: &jobs.End{Runs: []jobs.Ending{{RunRef: first, Outcome: jobs.OutcomeDone}}}}
		result := b.apply(end)
		require.Equal(t, []model.JobID{"j"}, result.Ended)
		require.Nil(t, b.state.Task(first.TaskRef))
		if forgotten {
			b.apply(jobs.Command{Forget: &jobs.Forget{Before: b.now.Add(model.Second)}})
			require.Empty(t, b.state.Jobs)
		}
		for range 20 {
			b.pass(50 * ms)
		}
		require.Equal(t, []jobs.RunRef{copied.Start.RunRef}, stopped(b.take("b")))
	}
}

// Guards against copies of the last task that go on once its job is completed.
func TestCompletionStopsCopies(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	first, copied := startCopy(t, b)
	b.act(func(out *Out) {
		b.apply(jobs.Command{End: &jobs.End{Runs: []jobs.Ending{{RunRef: first, Outcome: jobs.OutcomeDone}}}})
		b.s.jobEnded(b.env(), out, "j")
	})
	require.Equal(t, []jobs.RunRef{copied.Start.RunRef}, stopped(b.take("b")))
}

// Guards against an assignment whose job has ended by the time it is handled.
func TestAssignmentOfAnEndedJobIsNotOrdered(t *testing.T) {
	b := newBench(t, testWorker("a"))
	var out Out
	b.apply(jobs.Command{Submit: &jobs.Job{ID: "j", Queue: "q", Service: "render", Rounds: make([]jobs.Round, 1),
		Steps: []jobs.Step{{Tasks: 1, Size: cores(1)}}}})
	b.s.addJob(b.env(), b.state.Jobs["j"])
	b.s.Place(b.env(), &out)
	require.Len(t, out.Proposals, 1)
	assign := out.Proposals[0]
	result := b.apply(assign)
	run := assign.Assign.Runs[0].RunRef
	b.apply(jobs.Command{End: &jobs.End{Runs: []jobs.Ending{{RunRef: run, Outcome: jobs.OutcomeDone}}}})
	b.act(func(out *Out) { b.s.Committed(b.env(), out, &assign, result) })
	require.Empty(t, b.take("a"))
	require.Empty(t, b.s.runs)
}

// Guards against copies that go on after another is done because the run between
// them was given up.
func TestAllCopiesOfADoneTaskAreStopped(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"), testWorker("c"))
	first, copied := startCopy(t, b, jobs.Step{Tasks: 1, Size: cores(1), After: []int{0}})
	second := copied.Start.RunRef
	b.answerPoll("b", []order.Running{atWork(second)}, nil)
	b.pass(freshness)
	b.answerPoll("c", nil, nil)
	b.pass(100 * ms)
	starts := b.take("c")
	require.Len(t, starts, 1)
	require.Equal(t, 3, starts[0].Start.Run)
	require.Nil(t, b.s.runs[second])

	b.answerPoll("a", nil, []order.Ended{{Number: 1, RunRef: first, Outcome: jobs.OutcomeDone}})
	require.Equal(t, jobs.Active, b.state.Jobs["j"].Phase)
	require.Equal(t, []jobs.RunRef{starts[0].Start.RunRef}, stopped(b.take("c")))
}

// Guards against a worker over its capacity: an order whose run was given up because a
// copy may run elsewhere is still carried out until its deadline, by a slow link or by
// a delegate that was frozen.
func TestRoomOfAnOrderIsKeptUntilItsDeadline(t *testing.T) {
	b := newBench(t, testWorker("w"))
	b.state.Config.Teams["press"] = jobs.Team{}
	b.take("w")
	b.pass(freshness - 100*ms)
	b.submit("0000000000000001", jobs.Step{Tasks: 1, Size: cores(8), Estimate: model.Second, Copies: true})
	first := b.take("w")
	require.Len(t, first, 1)
	b.pass(200 * ms) // its worker counts as silent
	b.answerPoll("w", nil, nil)
	b.submit("0000000000000002", jobs.Step{Tasks: 1, Size: cores(8), Estimate: model.Second})
	clock := b.s.workers["w"].clock
	require.Less(t, clock, first[0].Start.Deadline)
	for _, c := range b.take("w") {
		require.Nil(t, c.Start, "a second run while the order of the first stands for %d ms", first[0].Start.Deadline-clock)
	}
}

// Guards against a worker over its capacity: it answers an order and has not yet said
// whether the runs that were given up while it was silent go on.
func TestRoomOfACopyIsKeptUntilItsWorkerLists(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.state.Config.Teams["press"] = jobs.Team{}
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(7), Copies: true})
	first := b.take("a")
	require.Len(t, first, 1)
	b.answerPoll("a", []order.Running{atWork(first[0].Start.RunRef)}, nil)
	b.submit("k", jobs.Step{Tasks: 1, Size: cores(1)})
	second := b.take("a")
	require.Len(t, second, 1)
	b.pass(freshness + ms)
	require.Nil(t, b.s.runs[first[0].Start.RunRef])
	b.act(func(out *Out) {
		b.s.Replied(b.env(), out, &order.Reply{Call: second[0], Status: order.Accepted, Clock: order.ClockMS(b.now / model.Time(ms))})
	})
	b.list("a", order.Reply{Clock: second[0].Start.Deadline - 4000, Running: []order.Running{atWork(second[0].Start.RunRef)}})
	b.pass(50 * ms)
	require.True(t, b.s.workers["a"].isFresh(b.now))
	require.Empty(t, b.take("a"), "the first run may go on")
	b.answerPoll("a", []order.Running{atWork(second[0].Start.RunRef)}, nil)
	b.pass(50 * ms)
	again := b.take("a")
	require.Len(t, again, 1)
	require.Equal(t, 2, again[0].Start.Run)
}

// Guards against a task that waits for the longest lease though a copy of it may run:
// its worker was silent before the order became void, and polls have failed since.
func TestCopyStartsOnceTheOrderIsVoid(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	b.state.Config.Teams["press"] = jobs.Team{}
	b.pass(freshness - 100*ms)
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(8), Copies: true})
	starts := b.take("a")
	require.Len(t, starts, 1)
	b.pass(200 * ms)
	poll := b.calls[slices.IndexFunc(b.calls, func(c order.Call) bool { return c.Worker == "a" && c.Hold != nil })]
	b.act(func(out *Out) { b.s.Replied(b.env(), out, &order.Reply{Call: poll, Status: order.Silent}) })
	require.False(t, b.s.workers["a"].polled)
	b.answerPoll("b", nil, nil)
	require.Empty(t, b.take("b"))
	for range 40 {
		b.pass(50 * ms)
	}
	b.answerPoll("b", nil, nil)
	b.pass(50 * ms)
	require.Len(t, b.take("b"), 1)
}
