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

func (w *worker) hasLongRunning() bool {
	for _, r := range w.runs {
		if r.step.LongRunning {
			return true
		}
	}
	return false
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

// requireNothingFits checks, after a placement, that no task was passed over for which
// there is a worker, looking at each for itself.
func requireNothingFits(t testing.TB, s *Scheduler, env Env) {
	for _, p := range s.services {
		for _, job := range p.jobs {
			for _, ref := range job.ready {
				if job.advised != nil || !runsAnywhere(&job.job.Steps[ref.Step]) {
					continue
				}
				if w := s.choosePlain(env, &candidates{env: env, s: s, pool: p}, job, ref); w != nil {
					require.Fail(t, "a task was passed over", "%v fits on %s", ref, w.info.ID)
				}
			}
		}
	}
}

// Guards against a task that waits though there is room for it, because one before it
// was refused: a larger one, one that is assigned already, or one whose team is at its
// cap.
func TestRefusedTasksHoldUpNoOthers(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.state.Config.Teams["other"] = jobs.Team{}
	team := func(id model.JobID, team model.TeamID, steps ...jobs.Step) {
		b.commit(jobs.Command{Submit: &jobs.Job{ID: id, Queue: "q", Service: "render", Team: team, Steps: steps, Rounds: make([]jobs.Round, 1)}})
	}
	placed := func(id model.JobID) int {
		n := 0
		for r := range b.s.runs {
			if r.Job == id {
				n++
			}
		}
		return n
	}
	memory := model.Resources{MilliCPU: 500, MemoryMB: 9000}
	team("a", "other", jobs.Step{Tasks: 2, Size: cores(9)}, jobs.Step{Tasks: 3, Size: cores(1)})
	require.Equal(t, 3, placed("a"), "a step behind one that is too large")
	team("b", "press", jobs.Step{Tasks: 4, Size: cores(2)}, jobs.Step{Tasks: 2, Size: cores(1)})
	require.Equal(t, 2, placed("b"), "a step behind one that the cap does not allow")
	team("c", "other", jobs.Step{Tasks: 1, Size: memory}, jobs.Step{Tasks: 1, Size: model.Resources{MilliCPU: 1000, MemoryMB: 1}})
	require.Equal(t, 1, placed("c"), "a step behind one with too much memory")
	requireNothingFits(t, b.s, b.env())

	// The first task of a step is assigned and its assignment not committed.
	b = newBench(t, testWorker("a"))
	var out Out
	submit := jobs.Command{Submit: &jobs.Job{ID: "d", Queue: "q", Service: "render", Steps: []jobs.Step{{Tasks: 3, Size: cores(3)}}, Rounds: make([]jobs.Round, 1)}}
	b.s.Committed(b.env(), &out, &submit, b.apply(submit))
	b.s.Place(b.env(), &out)
	require.Equal(t, 2, placed("d"))
	larger := *b.state.Workers["a"]
	larger.Capacity.MilliCPU = 9000
	b.s.active["d"].changed()
	announce := jobs.Command{Announce: &larger}
	b.s.Committed(b.env(), &out, &announce, b.apply(announce))
	b.s.Place(b.env(), &out)
	require.Equal(t, 3, placed("d"))
	requireNothingFits(t, b.s, b.env())
}

// Guards against a walk over all tasks that wait at each end: jobs whose claims no
// worker has room for are passed over as they are.
func TestFullPoolIsNotSearchedForEachJob(t *testing.T) {
	b := benchOfBacklog(t, 2, 50)
	p := b.s.services["render"]
	c := &candidates{env: b.env(), s: b.s, pool: p}
	require.Empty(t, b.s.placeService(b.env(), &Out{}, p, nil))
	searched := 0
	for _, job := range p.jobs {
		job.refresh(b.env())
		if len(job.ready) > 0 && !c.refuses(job) {
			searched++
			b.s.placeJob(b.env(), &Out{}, c, job, nil)
		}
	}
	require.Equal(t, 1, searched)
	require.Len(t, c.refused, 1)
	requireNothingFits(t, b.s, b.env())
}
