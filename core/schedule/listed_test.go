package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
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
