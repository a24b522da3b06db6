package schedule

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// requireCapacityIndex checks that the index of each service holds its workers in the
// order of their free capacity, and that it finds the same worker as a search of all.
func requireCapacityIndex(t testing.TB, s *Scheduler, env Env) {
	plain := &jobs.Job{Steps: []jobs.Step{{Tasks: 1}}}
	for _, p := range s.services {
		var listed []*worker
		for _, list := range [][]*worker{p.capacityIndex.without, p.capacityIndex.withLongRunning} {
			require.True(t, slices.IsSortedFunc(list, compareFree))
			listed = append(listed, list...)
		}
		require.ElementsMatch(t, p.workers, listed)
		for _, w := range p.workers {
			require.Equal(t, capacityKey{true, w.hasLongRunning(), w.free().MilliCPU}, w.indexKey, w.info.ID)
		}
		for _, cpu := range []int64{1, 1000, 4000, 64_000} {
			plain.Steps[0].Size = model.Resources{MilliCPU: cpu}
			job := &activeJob{job: plain}
			scanned := s.choose(env, s.usable(env, p), plain.Steps[0].Size, job, jobs.TaskRef{})
			c := &candidates{env: env, s: s, pool: p}
			require.Equal(t, scanned, s.chooseByCapacity(env, c, job, jobs.TaskRef{}))
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

// Guards against an outdated capacity index after a worker has left its pool or has
// announced another capacity or service.
func TestCapacityIndexFollowsAnnouncements(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(2)})
	requireCapacityIndex(t, f.s, f.env())
	larger := *f.state.Workers["a"]
	larger.Capacity.MilliCPU = 16_000
	f.commit(jobs.Command{Announce: &larger})
	requireCapacityIndex(t, f.s, f.env())
	moved := larger
	moved.Service = "other"
	f.commit(jobs.Command{Announce: &moved})
	requireCapacityIndex(t, f.s, f.env())
	f.commit(jobs.Command{Depart: &jobs.Depart{Worker: "b", Incarnation: f.state.Workers["b"].Incarnation}})
	requireCapacityIndex(t, f.s, f.env())
}

// requireNothingFits checks, after a placement, that no ready, unconstrained task fits on
// any worker, by a separate search for each task. A task may fit only on workers that are
// reserved for others.
func requireNothingFits(t testing.TB, s *Scheduler, env Env) {
	for _, p := range s.services {
		for _, job := range p.jobs {
			for _, ref := range job.ready {
				if job.policy != nil || !isUnconstrained(&job.job.Steps[ref.Step]) {
					continue
				}
				if w := s.chooseByCapacity(env, &candidates{env: env, s: s, pool: p}, job, ref); w != nil {
					require.Fail(t, "a task that fits was not placed", "%v fits on %s", ref, w.info.ID)
				}
				requireReservedWhereItFits(t, s, env, p, job, ref)
			}
		}
	}
}

// requireReservedWhereItFits checks that each worker that has the capacity for a task which
// was not placed is on the list of a reservation of the pool that binds the job of the task.
func requireReservedWhereItFits(t testing.TB, s *Scheduler, env Env, p *pool, job *activeJob, ref jobs.TaskRef) {
	step := &job.job.Steps[ref.Step]
	if s.proposed[ref] || s.overCap(env, job.job.Team, step.Size) {
		return
	}
	for _, w := range s.usable(env, p) {
		reserved := slices.ContainsFunc(p.reservations.holds, func(h *hold) bool { return h.binds(job) && w.holdsFor(h) })
		require.True(t, reserved || !step.Claim().Fits(w.free()), "%v fits on %s", ref, w.info.ID)
	}
}

// requireReservations checks that each reservation is that of a waiting job, that they are
// few, and that the workers and the pool agree on them.
func requireReservations(t testing.TB, s *Scheduler, env Env) {
	for _, p := range s.services {
		require.LessOrEqual(t, len(p.reservations.holds), maxHolds(len(p.workers))+1, "a strict one may be added")
		claims := 0
		for _, h := range p.reservations.holds {
			require.Same(t, h.job, s.active[h.step.Job])
			require.True(t, slices.ContainsFunc(h.job.ready, func(ref jobs.TaskRef) bool { return ref.StepRef() == h.step }))
			for _, place := range h.places {
				if place.Worker != "" {
					claims++
					require.True(t, s.workers[place.Worker].holdsFor(h))
				}
			}
		}
		for _, w := range p.workers {
			claims -= len(w.reserved)
		}
		require.Zero(t, claims, "a worker holds a reservation that has ended")
	}
}

// Guards against a task that waits although it fits on a worker, because an earlier one
// could not be placed: a larger task, one that is assigned already, or one whose team is
// at its cap.
func TestTasksThatCannotBePlacedDoNotBlockOthers(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["other"] = jobs.Team{}
	team := func(id model.JobID, team model.TeamID, steps ...jobs.Step) {
		f.commit(jobs.Command{Submit: &jobs.Job{ID: id, Queue: "q", Service: "render", Team: team, Steps: steps, Rounds: make([]jobs.Round, 1)}})
	}
	placed := func(id model.JobID) int {
		n := 0
		for r := range f.s.runs {
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
	requireNothingFits(t, f.s, f.env())

	// The first tasks of a step are assigned and their assignments are not committed.
	f = newFixture(t, testWorker("a"))
	var out Out
	submit := jobs.Command{Submit: &jobs.Job{ID: "d", Queue: "q", Service: "render", Steps: []jobs.Step{{Tasks: 3, Size: cores(3)}}, Rounds: make([]jobs.Round, 1)}}
	f.s.Committed(f.env(), &out, &submit, f.apply(submit))
	f.s.Place(f.env(), &out)
	require.Equal(t, 2, placed("d"))
	larger := *f.state.Workers["a"]
	larger.Capacity.MilliCPU = 9000
	f.s.active["d"].markChanged()
	announce := jobs.Command{Announce: &larger}
	f.s.Committed(f.env(), &out, &announce, f.apply(announce))
	f.s.Place(f.env(), &out)
	require.Equal(t, 3, placed("d"))
	requireNothingFits(t, f.s, f.env())
}

// Guards against a search over all waiting tasks whenever a run ends: a job is skipped as
// a whole if its smallest claim fits on no worker.
func TestFullPoolIsNotSearchedForEachJob(t *testing.T) {
	f := newBacklogFixture(t, 2, 50)
	p := f.s.services["render"]
	c := &candidates{env: f.env(), s: f.s, pool: p}
	require.Empty(t, f.s.placeService(f.env(), &Out{}, p, nil))
	searched := 0
	for _, job := range p.jobs {
		job.refreshReady(f.env())
		if len(job.ready) > 0 && !c.cannotPlace(job) {
			searched++
			f.s.placeJob(f.env(), &Out{}, c, job, nil)
		}
	}
	require.Equal(t, 1, searched)
	require.Len(t, c.unplaceable, 1)
	requireNothingFits(t, f.s, f.env())
}
