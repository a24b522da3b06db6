package hosts

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule"
)

// waveReplay plays a maintenance wave over some of 350 hosts. Jobs of 24 long-running tasks, at most one on a worker, run in two
// of the pools, and the queues of three pools have bursts in turn.
type waveReplay struct {
	*fleetReplay
	due     model.Time
	stops   int // of long-running runs
	maxDown int
	waits   map[string]int // log events of waiting hosts by reason
	studies []model.JobID
}

func newWaveReplay(t testing.TB, disabled schedule.FeatureSet, seed uint64, hosts, cap int, within model.Duration) *waveReplay {
	w := newBurstReplay(t, disabled, false)
	w.run(2100 * ms)
	w.startWave(seed, hosts, cap, within)
	w.watch()
	return w
}

// newBurstReplay returns a fleet with long-running tasks and bursts that begin now.
func newBurstReplay(t testing.TB, disabled schedule.FeatureSet, ramp bool) *waveReplay {
	f := newFleetReplay(t, 350, model.Resources{MilliCPU: 64_000, MemoryMB: 131_072}, "quick", "batch", "studies", "mixed", "off")
	f.disabled, f.startUp = disabled, 800*ms
	w := &waveReplay{fleetReplay: f, waits: make(map[string]int)}
	f.observe = func(e effect.Effect) {
		if c, ok := e.(effect.CallWorker); ok && c.Call.Stop != nil && f.isLongRunning(c.Call.Stop.Job) {
			w.stops++
		}
		if l, ok := e.(effect.Log); ok && l.Code == effect.WaveHostWaits {
			w.waits[l.Detail]++
		}
	}
	for i := range 7 {
		j := f.newStudy([]model.QueueID{"studies", "studies", "mixed"}[i%3], 8_000+int64(i%3)*1_000, 2+i%2)
		w.studies = append(w.studies, j.ID)
		f.submit(j)
	}
	f.run(8 * model.Second) // the usual rate of each queue is known
	w.submitBursts(ramp)
	return w
}

func (f *fleetReplay) isLongRunning(id model.JobID) bool { return f.jobs[id].LongRunning() }

// submitBursts submits the jobs of 34 s: the rate of each queue in turn is five times its
// mean for 4 s of 16 s, and a twentieth of it otherwise. A ramp rises to that in 2.5 s, as
// the bursts of a played day did.
func (w *waveReplay) submitBursts(ramp bool) {
	for i, queue := range []model.QueueID{"quick", "batch", "mixed"} {
		newJob := func() *replayJob {
			if queue == "batch" {
				return w.newJob(queue, 2, 8, model.Resources{MilliCPU: 13_000, MemoryMB: 26_000}, 1300*ms, func() model.Duration { return w.logNormal(1300*ms, 0.4) })
			}
			return w.newJob(queue, 1+w.rng.IntN(2), 8, model.Resources{MilliCPU: 6_200, MemoryMB: 12_000}, 1000*ms, func() model.Duration { return w.logNormal(1000*ms, 0.4) })
		}
		mean := []float64{12, 4, 8}[i]
		for from := model.Duration(0); from < 32*model.Second; from += 16 * model.Second {
			start := from + model.Duration(i)*5*model.Second
			w.submitAtRate(mean/20, from, start, newJob)
			for k := range model.Duration(8) {
				rate := mean * 5
				if ramp {
					rate *= min(1, 0.25+0.3*(float64(k)+0.5)/2)
				}
				w.submitAtRate(rate, start+k*500*ms, start+(k+1)*500*ms, newJob)
			}
			w.submitAtRate(mean/20, start+4*model.Second, from+16*model.Second, newJob)
		}
	}
}

func (w *waveReplay) startWave(seed uint64, n, cap int, within model.Duration) {
	hosts := model.SortedKeys(w.hosts)
	rand.New(rand.NewPCG(seed, 7)).Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	hosts = hosts[:n]
	slices.Sort(hosts)
	w.due = w.now.Add(within)
	w.commit(&jobs.Command{StartWave: &jobs.StartWave{Wave: 1, Hosts: hosts, Cap: cap, Within: within}})
}

// watch counts the hosts that are down and the long-running tasks that are not up.
func (w *waveReplay) watch() {
	down, up := 0, make(map[model.JobID]int)
	for _, at := range w.maintained {
		if w.now.Sub(at) < replayMaintenance {
			down++
		}
	}
	for _, worker := range w.workers {
		for ref := range worker.runs {
			if w.now.Sub(w.began[ref]) >= w.startUp {
				up[ref.Job]++
			}
		}
	}
	w.maxDown = max(w.maxDown, down)
	for _, id := range w.studies {
		step := &w.jobs[id].Steps[0]
		require.LessOrEqual(w.t, step.Tasks-up[id], step.MaxUnavailable, "unavailable tasks of study %s", id)
	}
	w.after(50*ms, w.watch)
}

// late returns the hosts of the wave whose maintenance did not begin in time.
func (w *waveReplay) late() []model.HostID {
	var list []model.HostID
	for _, id := range w.state.Waves[1].Hosts {
		if at, begun := w.maintained[id]; !begun || at > w.due {
			list = append(list, id)
		}
	}
	return list
}

// Guards against hosts of a wave that are late because the long-running tasks on them
// wait one after another for a place, because a list of hosts is read late, or because the
// leader changes; and against a wave that exceeds its cap or the MaxUnavailable of a step.
func TestWaveIsInTime(t *testing.T) {
	for _, test := range []struct {
		hosts  int
		within model.Duration
	}{{165, 27 * model.Second}, {190, 17 * model.Second}} {
		for seed := range uint64(2) {
			w := newWaveReplay(t, 0, seed, test.hosts, 62, test.within)
			w.after(test.within/2, func() { w.changeLeader(1200 * ms) })
			w.run(40 * model.Second)
			t.Logf("%d hosts: late %v, at most %d down, %d runs stopped, waits %v", test.hosts, w.late(), w.maxDown, w.stops, w.waits)
			require.Empty(t, w.late())
			require.True(t, w.state.Waves[1].Closed)
			require.LessOrEqual(t, w.maxDown, 62)
			// One event for each reason of each host at most: reasons do not alternate.
			for reason, n := range w.waits {
				require.LessOrEqual(t, n, 2*test.hosts, reason)
			}
		}
	}
}
