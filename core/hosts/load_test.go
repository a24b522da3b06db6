package hosts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against a queue whose burst gets no hosts because the burst of another queue
// holds the whole fleet, and against accepted jobs that end late by the dozen. The first
// two bursts ask for 1.8 times what the fleet can do, the third for a quarter of it.
func TestOverlappingBurstsShareTheFleet(t *testing.T) {
	f := newFleetReplay(t, 30, model.Resources{MilliCPU: 64_000, MemoryMB: 262_144}, "first", "second", "third", "off")
	large := func(queue model.QueueID) func() *replayJob {
		return func() *replayJob {
			return f.newJob(queue, 2, 8, model.Resources{MilliCPU: 18_000, MemoryMB: 54_000}, 1600*ms, func() model.Duration { return f.logNormal(1600*ms, 0.2) })
		}
	}
	f.submitAtRate(6.2, model.Second, 9*model.Second, large("first"))
	f.submitAtRate(6.2, 9*model.Second, 17*model.Second, large("second"))
	f.submitAtRate(5, 13*model.Second, 19*model.Second, func() *replayJob {
		return f.newJob("third", 1+f.rng.IntN(2), 8, model.Resources{MilliCPU: 8_500, MemoryMB: 16_000}, 720*ms, func() model.Duration { return f.logNormal(800*ms, 1.2) })
	})
	f.run(60 * model.Second)
	queues := []model.QueueID{"first", "second", "third"}
	for _, queue := range queues {
		t.Logf("%s: %+v", queue, *f.results[queue])
	}
	for _, queue := range queues {
		r := f.results[queue]
		require.Equal(t, r.asked, r.onTime+r.late+r.refused, "every accepted job of queue %s ends", queue)
		require.Less(t, r.late, 12, "queue %s", queue)
		require.Greater(t, r.share(), 0.3, "queue %s", queue)
	}
}

// Guards against the loss of the beginning of a burst: the fleet has no leader for 1.2 s
// just after it has begun, hosts that are ordered as the rate rises come too late, and
// estimates that say nothing about the time that tasks take decide what is served.
func TestBeginningOfABurstIsServed(t *testing.T) {
	f := newFleetReplay(t, 540, model.Resources{MilliCPU: 64_000, MemoryMB: 262_144}, "quick", "other", "off")
	quick := func() *replayJob {
		return f.newJob("quick", 1+f.rng.IntN(2), 8, model.Resources{MilliCPU: 8_500, MemoryMB: 16_000}, 720*ms, func() model.Duration { return f.logNormal(800*ms, 1.2) })
	}
	f.submitAtRate(2, 0, 12*model.Second, quick)
	f.run(12 * model.Second)
	before := *f.results["quick"]
	f.submitAtRate(60, 0, 2*model.Second, quick)
	f.submitAtRate(130, 2*model.Second, 4*model.Second, quick)
	f.run(1400 * ms)
	f.changeLeader(1200 * ms)
	f.run(30 * model.Second)
	r := *f.results["quick"]
	t.Logf("before %+v, in all %+v", before, r)
	burst := replayResult{asked: r.asked - before.asked, onTime: r.onTime - before.onTime}
	require.Greater(t, burst.share(), 0.59)
	require.Equal(t, r.asked, r.onTime+r.late+r.refused)
}

// Guards against long-running tasks that wait although hosts are switched off: the free
// memory of the pool's hosts is in pieces that are too small for a task, or its step has
// a task on each of them.
func TestLongRunningTasksThatFindNoPlaceGetHosts(t *testing.T) {
	f := newFleetReplay(t, 60, model.Resources{MilliCPU: 64_000, MemoryMB: 262_144}, "studies", "other", "off")
	study := func(tasks, perWorker int, memory int64) {
		j := &replayJob{Job: jobs.Job{ID: model.JobID(rune('a' + len(f.jobs))), Queue: "studies", Service: "studies", Rounds: make([]jobs.Round, 1), Steps: []jobs.Step{
			{Tasks: tasks, Size: model.Resources{MilliCPU: 9_000, MemoryMB: memory}, LongRunning: true, PerWorker: perWorker},
		}}}
		f.jobs[j.ID] = j
		f.submit(j)
	}
	f.run(8 * model.Second) // the hosts that no pool needs are switched off
	study(9, 1, 96_000)
	study(21, 2, 80_000)
	study(24, 1, 64_000)
	f.run(5 * model.Second)
	running := 0
	for _, w := range f.workers {
		if !w.gone {
			running += len(w.runs)
		}
	}
	require.Equal(t, 9+21+24, running)
}
