package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against a worker that crashes every leader in turn by listing a run of a known
// job with indexes that no task of the job has.
func TestListedRunsWithoutATaskDoNotCrashTheLeader(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	known := f.takeCalls("a")[0].Start.RunRef
	const largest = 1<<63 - 1
	for _, number := range []int{-1, -largest - 1, 1, largest} {
		var running []order.Running
		var ended []order.Ended
		for i, task := range []jobs.TaskRef{
			{Job: "j", Round: number}, {Job: "j", Step: number}, {Job: "j", Index: number}, {Job: "k", Step: number},
		} {
			running = append(running, runningFully(jobs.RunRef{TaskRef: task, Run: number}))
			ended = append(ended, order.Ended{Number: uint64(i + 1), RunRef: jobs.RunRef{TaskRef: task, Run: 1}, Outcome: jobs.OutcomeDone})
		}
		f.answerPoll("a", append(running, runningFully(known)), ended)
		require.NotNil(t, f.s.runs[known])
		require.NotEmpty(t, f.takeCalls("a"), "the runs are ordered to stop")
	}
}

// Guards against a task that is started a second time because the entry of its first run
// could not be parsed, and against a worker over its capacity for the same reason.
func TestRunWithAnUnparsedEntryIsKept(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 2, Size: cores(1)})
	starts := f.takeCalls("a")
	require.Len(t, starts, 2)
	first, second := starts[0].Start.RunRef, starts[1].Start.RunRef
	f.answerPoll("a", []order.Running{runningFully(first), runningFully(second)}, nil)
	f.submit("k", jobs.Step{Tasks: 1, Size: cores(1)})
	k := f.takeCalls("a")[0].Start.RunRef
	f.answerPoll("a", []order.Running{runningFully(first), runningFully(second), runningFully(k)}, nil)

	for range 100 {
		f.advanceBy(100 * ms)
		f.answerPollWith("a", order.Reply{Running: []order.Running{runningFully(first), runningFully(k)}, Unparsed: true, Partial: true})
		require.NotNil(t, f.s.runs[second], "the unparsed entry may be that of this run")
	}
	f.state.Config.Teams["press"] = jobs.Team{}
	f.submit("l", jobs.Step{Tasks: 1, Size: cores(1)})
	require.Empty(t, f.takeCalls("a"), "the claim of the run with the unparsed entry is not known")
	require.True(t, f.s.workers["a"].isFresh(f.now))

	// The other runs are tracked meanwhile. Once the entry can be parsed, placement
	// continues.
	f.answerPollWith("a", order.Reply{Unparsed: true, Partial: true, Ended: []order.Ended{{Number: 1, RunRef: first, Outcome: jobs.OutcomeDone}}})
	require.Equal(t, jobs.Done, f.state.Task(first.TaskRef).Phase)
	f.advanceBy(pollRetryDelay)
	f.answerPoll("a", []order.Running{runningFully(second), runningFully(k)}, nil)
	f.advanceBy(model.Second)
	l := f.takeCalls("a")
	require.Len(t, l, 1)
	f.answerPoll("a", []order.Running{runningFully(l[0].Start.RunRef)}, nil)
	require.Nil(t, f.s.runs[second], "a complete list does not contain it")
}

// Guards against the loss of an end because its entry, or the entry of an earlier end,
// could not be parsed. Also guards against polls without a delay between them, since a
// worker answers at once while it has an end to report.
func TestUnparsedEndIsNotForgotten(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 3, Size: cores(1)})
	var refs []jobs.RunRef
	for _, c := range f.takeCalls("a") {
		refs = append(refs, c.Start.RunRef)
	}
	require.Len(t, refs, 3)
	done := func(i int) order.Ended {
		return order.Ended{Number: uint64(i + 1), RunRef: refs[i], Outcome: jobs.OutcomeDone}
	}
	f.answerPoll("a", []order.Running{runningFully(refs[0]), runningFully(refs[1]), runningFully(refs[2])}, nil)
	polls := len(f.calls)
	for range 50 {
		f.answerPollWith("a", order.Reply{Partial: true, Ended: []order.Ended{done(0), {Unparsed: true}, done(2)}})
		require.Len(t, f.calls, polls-1, "the next poll comes after a delay")
		f.advanceBy(pollRetryDelay)
		require.Len(t, f.calls, polls)
		require.Equal(t, uint64(1), f.calls[polls-1].Poll.RecordedUpTo)
		require.Equal(t, jobs.Done, f.state.Task(refs[0].TaskRef).Phase)
		require.Equal(t, jobs.Done, f.state.Task(refs[2].TaskRef).Phase, "it is recorded, and the worker is not told to forget it")
		require.NotNil(t, f.s.runs[refs[1]])
	}
	require.Empty(t, f.takeCalls("a"), "nothing is started again")
	f.answerPoll("a", nil, []order.Ended{done(1), done(2)})
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
	require.Equal(t, uint64(3), f.calls[len(f.calls)-1].Poll.RecordedUpTo)
}
