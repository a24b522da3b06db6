package hosts

import (
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule"
)

// Guards against features that change decisions while they are disabled: the orders to
// hosts and the stops of runs are those of commit fa44f8e, before waves were planned and
// pools trimmed, but for long-running tasks, whose workers are polled before the order since
// then. Times and sizes of the load are fixed, so that no rounding of
// floating-point functions matters.
func TestDisabledFeaturesDecideAsBefore(t *testing.T) {
	f := newFleetReplay(t, 120, model.Resources{MilliCPU: 64_000, MemoryMB: 131_072}, "quick", "studies", "off")
	f.disabled, f.startUp = schedule.AllFeatures, 800*ms
	hash, orders := fnv.New64a(), 0
	f.observe = func(e effect.Effect) {
		switch e := e.(type) {
		case effect.CallHosts:
			if c := e.Call; c.List == nil {
				orders++
				fmt.Fprintln(hash, f.now, c.Seq, c.Move, c.Maintain)
			}
		case effect.CallWorker:
			if c := e.Call; c.Stop != nil {
				orders++
				fmt.Fprintln(hash, f.now, c.Worker, c.Stop.RunRef)
			}
		}
	}
	f.submit(f.newStudy("studies", 9_000, 2))
	f.submit(f.newStudy("quick", 8_000, 3))
	for at := 6 * model.Second; at < 30*model.Second; at += 50 * ms {
		if at%(8*model.Second) < 4*model.Second {
			f.after(at, func() { f.submit(f.newFixedJob("quick")) })
		}
	}
	f.run(8 * model.Second)
	wave := &jobs.StartWave{Wave: 1, Cap: 16, Within: 20 * model.Second}
	for i, id := range model.SortedKeys(f.hosts) {
		if i%3 != 1 || i%2 == 0 {
			wave.Hosts = append(wave.Hosts, id)
		}
	}
	f.commit(&jobs.Command{StartWave: wave})
	f.after(8*model.Second, func() { f.changeLeader(1200 * ms) })
	f.run(40 * model.Second)
	t.Logf("%d orders, %d hosts maintained, hash %x", orders, len(f.maintained), hash.Sum64())
	require.Equal(t, 395, orders)
	require.Equal(t, uint64(0xde2c383b5d2d8a10), hash.Sum64())
}

// newFixedJob returns a job of two steps whose tasks all take 800 ms.
func (f *fleetReplay) newFixedJob(queue model.QueueID) *replayJob {
	j := f.newJob(queue, 2, 8, model.Resources{MilliCPU: 6_200, MemoryMB: 12_000}, 0, func() model.Duration { return 800 * ms })
	for _, times := range j.times {
		for i := range times {
			times[i] = 800 * ms
		}
	}
	j.objective = 3160 * ms
	return j
}

// newStudy returns a job of 24 long-running tasks, at most one on a worker.
func (f *fleetReplay) newStudy(queue model.QueueID, milliCPU int64, maxUnavailable int) *replayJob {
	j := &replayJob{Job: jobs.Job{ID: model.JobID(fmt.Sprintf("%016x", len(f.jobs))), Queue: queue, Service: model.ServiceID(queue), Rounds: make([]jobs.Round, 1), Steps: []jobs.Step{
		{Tasks: 24, Size: model.Resources{MilliCPU: milliCPU, MemoryMB: 16_000}, LongRunning: true, PerWorker: 1, MaxUnavailable: maxUnavailable},
	}}}
	f.jobs[j.ID] = j
	return j
}
