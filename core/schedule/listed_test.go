package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against a worker that ends every leader in turn by listing a run of a known
// job whose numbers no task has.
func TestRunsWithoutATaskEndNoLeader(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	known := b.take("a")[0].Start.RunRef
	const largest = 1<<63 - 1
	for _, number := range []int{-1, -largest - 1, 1, largest} {
		var running []order.Running
		var ended []order.Ended
		for i, task := range []jobs.TaskRef{
			{Job: "j", Round: number}, {Job: "j", Step: number}, {Job: "j", Index: number}, {Job: "k", Step: number},
		} {
			running = append(running, atWork(jobs.RunRef{TaskRef: task, Run: number}))
			ended = append(ended, order.Ended{Number: uint64(i + 1), RunRef: jobs.RunRef{TaskRef: task, Run: 1}, Outcome: jobs.OutcomeDone})
		}
		b.answerPoll("a", append(running, atWork(known)), ended)
		require.NotNil(t, b.s.runs[known])
		require.NotEmpty(t, b.take("a"), "the runs are told to stop")
	}
}

// Guards against a run that is started a second time because the row of the first
// could not be read, and against more on a worker than it has room for.
func TestRunWhoseRowCannotBeReadGoesOn(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 2, Size: cores(1)})
	starts := b.take("a")
	require.Len(t, starts, 2)
	first, second := starts[0].Start.RunRef, starts[1].Start.RunRef
	b.answerPoll("a", []order.Running{atWork(first), atWork(second)}, nil)
	b.submit("k", jobs.Step{Tasks: 1, Size: cores(1)})
	k := b.take("a")[0].Start.RunRef
	b.answerPoll("a", []order.Running{atWork(first), atWork(second), atWork(k)}, nil)

	for range 100 {
		b.pass(100 * ms)
		b.list("a", order.Reply{Running: []order.Running{atWork(first), atWork(k)}, Unread: true, Partial: true})
		require.NotNil(t, b.s.runs[second], "it may be the one that could not be read")
	}
	b.state.Config.Teams["press"] = jobs.Team{}
	b.submit("l", jobs.Step{Tasks: 1, Size: cores(1)})
	require.Empty(t, b.take("a"), "what the run that could not be read takes is not known")
	require.True(t, b.s.workers["a"].isFresh(b.now))

	// The others are followed all the while, and all is well once the row can be read.
	b.list("a", order.Reply{Unread: true, Partial: true, Ended: []order.Ended{{Number: 1, RunRef: first, Outcome: jobs.OutcomeDone}}})
	require.Equal(t, jobs.Done, b.state.Task(first.TaskRef).Phase)
	b.pass(pollRetry)
	b.answerPoll("a", []order.Running{atWork(second), atWork(k)}, nil)
	b.pass(model.Second)
	l := b.take("a")
	require.Len(t, l, 1)
	b.answerPoll("a", []order.Running{atWork(l[0].Start.RunRef)}, nil)
	require.Nil(t, b.s.runs[second], "a list that was read in full does not have it")
}

// Guards against an end that is forgotten because its row, or one before it, could
// not be read, and against polls that follow each other without a pause, as a
// worker answers at once while it has an end to tell.
func TestEndThatCannotBeReadIsNotForgotten(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 3, Size: cores(1)})
	var refs []jobs.RunRef
	for _, c := range b.take("a") {
		refs = append(refs, c.Start.RunRef)
	}
	require.Len(t, refs, 3)
	done := func(i int) order.Ended {
		return order.Ended{Number: uint64(i + 1), RunRef: refs[i], Outcome: jobs.OutcomeDone}
	}
	b.answerPoll("a", []order.Running{atWork(refs[0]), atWork(refs[1]), atWork(refs[2])}, nil)
	polls := len(b.calls)
	for range 50 {
		b.list("a", order.Reply{Partial: true, Ended: []order.Ended{done(0), {Unread: true}, done(2)}})
		require.Len(t, b.calls, polls-1, "the next poll comes after a pause")
		b.pass(pollRetry)
		require.Len(t, b.calls, polls)
		require.Equal(t, uint64(1), b.calls[polls-1].Hold.Seen)
		require.Equal(t, jobs.Done, b.state.Task(refs[0].TaskRef).Phase)
		require.Equal(t, jobs.Done, b.state.Task(refs[2].TaskRef).Phase, "it is recorded, though not forgotten")
		require.NotNil(t, b.s.runs[refs[1]])
	}
	require.Empty(t, b.take("a"), "nothing is started again")
	b.answerPoll("a", nil, []order.Ended{done(1), done(2)})
	require.Equal(t, jobs.Completed, b.state.Jobs["j"].Phase)
	require.Equal(t, uint64(3), b.calls[len(b.calls)-1].Hold.Seen)
}
