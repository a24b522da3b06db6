package hosts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against a move or maintenance that ends two tasks of a step at once though
// MaxUnavailable is one: their worker has restarted under its ID and has not listed its runs
// to this leader, so that its host counts as idle.
func TestHostOfARestartedWorkerIsKept(t *testing.T) {
	f := newFixture(t, 2)
	w := jobs.Worker{ID: "w", Host: "h0", Service: "render", Address: "w", StartedAt: 1, Capacity: cpu(64_000)}
	f.apply(jobs.Command{Announce: &w})
	f.apply(jobs.Command{Submit: &jobs.Job{ID: "j", Service: "render", Rounds: make([]jobs.Round, 1), Steps: []jobs.Step{
		{Tasks: 2, LongRunning: true, MaxUnavailable: 1},
	}}})
	assign := &jobs.Assign{}
	for i := range 2 {
		assign.Runs = append(assign.Runs, jobs.Assignment{Worker: "w", Incarnation: f.state.Workers["w"].Incarnation,
			RunRef: jobs.RunRef{TaskRef: jobs.TaskRef{Job: "j", Index: i}, Run: 1}})
	}
	f.apply(jobs.Command{Assign: assign})
	w.StartedAt = 2
	f.apply(jobs.Command{Announce: &w})
	f.startTerm()

	f.advance(takeoverDelay + 500*ms)
	idle := f.p.collectPools(f.env())[0].idle
	require.Len(t, idle, 1, "the host of the worker may not be moved")
	require.Equal(t, model.HostID("h1"), idle[0].ID)
	f.startWave(2)
	f.advance(25 * model.Second) // the remaining time is needed for both
	ordered := f.answerMaintenance(order.HostAccepted)
	require.Contains(t, ordered, model.HostID("h1"))
	require.NotContains(t, ordered, model.HostID("h0"), "nor maintained")
}
