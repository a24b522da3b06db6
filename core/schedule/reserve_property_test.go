package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Load: random jobs of all kinds in an overloaded pool, 3 in 100 tasks run 7 times as long as
// predicted, and for 15 s workers are lost or cordoned and leaders change. Guards against a
// worker over its capacity, a team over its cap, two runs of a task (see testLoad), and a
// large task or a gang that is passed over for longer than the bound.
func TestRandomLoadsWithReservations(t *testing.T) {
	for seed := range uint64(15) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRandomLoad(t, seed)
		})
	}
}

// longestRun is the longest run of a random load.
const longestRun = 7 * 1300 * ms

// passedOver is the bound on the time from the one start of a starved task to the next, or
// from the time at which the first is starved: the predicted time of the runs on the chosen
// workers, which for an overdue run is at most twice its time, and then the longest run.
const passedOver = 2*longestRun + longestRun + model.Second

func playRandomLoad(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	l := newLoad(t, simBounds, numberedWorkers(4+rng.IntN(6), 2)...)
	limit := cores(8)
	l.state.Config.Teams["capped"] = jobs.Team{Cap: limit}
	l.duration = func(ref jobs.TaskRef) model.Duration {
		if rng.IntN(100) < 3 {
			return longestRun
		}
		return staggered(ref)
	}
	submitted := 0
	submit := func(kind string, team model.TeamID, step jobs.Step) {
		submitted++
		step.Estimate = staggered(jobs.TaskRef{Index: submitted})
		l.submitJob(model.JobID(fmt.Sprintf("%s%06d", kind, submitted)), team, step)
	}
	stream := func() {
		waiting := make(map[model.TeamID]int)
		for _, job := range l.s.active {
			if !job.begun {
				waiting[job.job.Team]++
			}
		}
		for _, team := range []model.TeamID{"press", "capped"} {
			for ; waiting[team] < 8; waiting[team]++ {
				submit("small", team, jobs.Step{Tasks: 1 + rng.IntN(3), Size: model.Resources{MilliCPU: 500 + rng.Int64N(2000), MemoryMB: rng.Int64N(2000)}})
			}
		}
	}
	since := l.now // the latest start of a starved task, or the latest time without one
	for i := range 2200 {
		stream()
		if i < 300 && rng.IntN(12) == 0 {
			gang := rng.IntN(2) == 0
			submit("large", "press", jobs.Step{Tasks: 1 + rng.IntN(3), Size: model.Resources{MilliCPU: 3000 + rng.Int64N(5000), MemoryMB: 1000},
				Gang: gang, Colocated: gang && rng.IntN(2) == 0, PerWorker: rng.IntN(2)})
		}
		if i < 300 {
			l.disturb(rng, i)
			since = l.now
		}
		before := len(l.started)
		l.step()
		var capped model.Resources
		for ref, r := range l.running {
			if l.state.Jobs[ref.Job].Team == "capped" {
				capped = capped.Add(r.size)
			}
		}
		require.True(t, capped.Fits(limit.Max(model.Resources{MemoryMB: model.MaxAmount})), "a team is over its cap")
		waits, start := l.starved()
		if !waits || start && len(l.started) > before {
			since = l.now
		}
		require.LessOrEqual(t, l.now.Sub(since), passedOver, "a starved task is passed over")
	}
	for id, job := range l.s.active {
		require.NotEqual(t, "large", string(id)[:5], "%v has not ended", job.ready)
	}
}

// disturb loses a worker, cordons a host or changes the leader now and then.
func (l *testLoad) disturb(rng *rand.Rand, i int) {
	ids := model.SortedKeys(l.s.workers)
	switch {
	case i%40 == 20:
		w := l.s.workers[ids[rng.IntN(len(ids))]]
		info := *w.info
		l.crash(info.ID)
		l.accept(jobs.Command{Announce: &info})
	case i%40 == 30:
		l.s.CordonHosts(map[model.HostID]bool{l.s.workers[ids[rng.IntN(len(ids))]].info.Host: true})
	case i%40 == 39:
		l.s.CordonHosts(nil)
	case rng.IntN(60) == 0:
		l.newLeader()
	}
}

// starved reports whether a large task or gang waits whose job is late beyond the bound, and
// whether one of them has started in this step.
func (l *testLoad) starved() (waits, started bool) {
	for _, job := range l.s.active {
		if string(job.job.ID)[:5] != "large" || l.now <= job.due.Add(strictLateness) {
			continue
		}
		for i := range job.job.Steps[0].Tasks {
			at, begun := l.started[jobs.TaskRef{Job: job.job.ID, Index: i}]
			waits, started = waits || !begun, started || begun && at == l.now
		}
	}
	return waits, started
}
