package schedule

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// requireRoomIndex checks that the index of each service holds its workers by what
// they have free, and that it finds the worker that a look at each would find.
func requireRoomIndex(t testing.TB, s *Scheduler, env Env) {
	plain := &jobs.Job{Steps: []jobs.Step{{Tasks: 1}}}
	for _, p := range s.services {
		var listed []*worker
		for _, list := range [][]*worker{p.room.without, p.room.withLongRunning} {
			require.True(t, slices.IsSortedFunc(list, compareRoom))
			listed = append(listed, list...)
		}
		require.ElementsMatch(t, p.workers, listed)
		for _, w := range p.workers {
			require.Equal(t, roomKey{true, w.hasLongRunning(), w.free().MilliCPU}, w.place, w.info.ID)
		}
		for _, cpu := range []int64{1, 1000, 4000, 64_000} {
			plain.Steps[0].Size = model.Resources{MilliCPU: cpu}
			job := &progress{job: plain}
			scanned := s.choose(env, s.usable(env, p), plain.Steps[0].Size, job, jobs.TaskRef{})
			c := &candidates{env: env, s: s, pool: p}
			require.Equal(t, scanned, s.choosePlain(env, c, job, jobs.TaskRef{}))
		}
	}
}

// Guards against a task that waits for a worker that has left its pool, and against
// one that is placed by the room of a worker's earlier size or service.
func TestRoomFollowsAnnouncements(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(2)})
	requireRoomIndex(t, b.s, b.env())
	larger := *b.state.Workers["a"]
	larger.Capacity.MilliCPU = 16_000
	b.commit(jobs.Command{Announce: &larger})
	requireRoomIndex(t, b.s, b.env())
	moved := larger
	moved.Service = "other"
	b.commit(jobs.Command{Announce: &moved})
	requireRoomIndex(t, b.s, b.env())
	b.commit(jobs.Command{Depart: &jobs.Depart{Worker: "b", Life: b.state.Workers["b"].Life}})
	requireRoomIndex(t, b.s, b.env())
}
