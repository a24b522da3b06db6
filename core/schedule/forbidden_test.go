package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against tasks that start on a worker that drains, in a data centre that is out
// of service or on a host that is to be emptied, since their assignment was proposed
// before and committed after.
func TestAssignmentIsCheckedAgainWhenItIsCommitted(t *testing.T) {
	for name, forbid := range map[string]func(b *bench){
		"draining": func(b *bench) {
			w := *b.state.Workers["a"]
			w.Draining = true
			b.commit(jobs.Command{Announce: &w})
		},
		"out of service": func(b *bench) {
			b.commit(jobs.Command{SetOut: &jobs.SetOut{DataCentre: "west", Out: true}})
		},
		"held": func(b *bench) { b.s.held = map[model.HostID]bool{"host-a": true} },
	} {
		t.Run(name, func(t *testing.T) {
			worker := testWorker("a")
			worker.DataCentre = "west"
			b := newBench(t, worker)
			submit := jobs.Command{Submit: &jobs.Job{ID: "j", Queue: "q", Service: "render", Team: "press",
				Steps: []jobs.Step{{Tasks: 1, Size: cores(1)}}, Rounds: make([]jobs.Round, 1)}}
			result := b.apply(submit)
			var out Out
			b.s.Committed(b.env(), &out, &submit, result)
			b.s.Place(b.env(), &out)
			require.Len(t, out.Proposals, 1)

			forbid(b)
			b.commit(out.Proposals[0])
			require.Empty(t, b.take("a"))
			require.Empty(t, b.s.runs, "its place is free again")
			require.Equal(t, jobs.Waiting, b.state.Task(ref("j", 0, 1).TaskRef).Phase)
		})
	}
}
