package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against tasks that start on a draining worker, in a data centre that is out of
// service or on a cordoned host, because their assignment was proposed before that change
// and committed after it.
func TestAssignmentIsCheckedAgainWhenItIsCommitted(t *testing.T) {
	for name, forbid := range map[string]func(f *fixture){
		"draining": func(f *fixture) {
			w := *f.state.Workers["a"]
			w.Draining = true
			f.commit(jobs.Command{Announce: &w})
		},
		"out of service": func(f *fixture) {
			f.commit(jobs.Command{SetOut: &jobs.SetOut{DataCentre: "west", Out: true}})
		},
		"held": func(f *fixture) { f.s.cordoned = map[model.HostID]bool{"host-a": true} },
	} {
		t.Run(name, func(t *testing.T) {
			worker := testWorker("a")
			worker.DataCentre = "west"
			f := newFixture(t, worker)
			submit := jobs.Command{Submit: &jobs.Job{ID: "j", Queue: "q", Service: "render", Team: "press",
				Steps: []jobs.Step{{Tasks: 1, Size: cores(1)}}, Rounds: make([]jobs.Round, 1)}}
			result := f.apply(submit)
			var out Out
			f.s.Committed(f.env(), &out, &submit, result)
			f.s.Place(f.env(), &out)
			require.Len(t, out.Proposals, 1)

			forbid(f)
			f.commit(out.Proposals[0])
			require.Empty(t, f.takeCalls("a"))
			require.Empty(t, f.s.runs, "its capacity is free again")
			require.Equal(t, jobs.Waiting, f.state.Task(ref("j", 0, 1).TaskRef).Phase)
		})
	}
}
