package replay

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// hostSampleInterval is the time between two samples of the pools.
const hostSampleInterval = model.Second

// hostObservations are the facts about hosts, pools and waves that a replay of a
// trace with workers records.
type hostObservations struct {
	samples    int
	idle       int // hosts in service without a task, summed over the samples
	moves      int
	poolIdle   int // the part of idle that is in pools that are not spare
	buffer     int // hosts of pools that are not spare beyond what their running tasks fill, summed over the samples
	changes    map[model.HostID]*hostChange
	rollout    map[model.PoolID]*poolRollout
	pools      map[model.HostID]model.PoolID
	rolloutEnd map[string]model.Time // when the last host of a wave got its image
	pending    map[string]int        // hosts of a wave without its image or not in service
	waveHosts  map[string]int        // hosts of a wave
}

func newHostObservations() *hostObservations {
	return &hostObservations{
		pools: make(map[model.HostID]model.PoolID), rolloutEnd: make(map[string]model.Time),
		pending: make(map[string]int), waveHosts: make(map[string]int),
		changes: make(map[model.HostID]*hostChange), rollout: make(map[model.PoolID]*poolRollout),
	}
}

// sampleHosts records idle hosts, moves between pools and the progress of waves.
func (e *engine) sampleHosts() {
	if len(e.workers) == 0 || e.now < e.traceStart || e.now > e.traceStart.Add(e.trace.Header.Length.Duration()) {
		return
	}
	obs := e.obs.hosts
	obs.samples++
	f := e.state.Inspect().Fleet
	busy := make(map[model.HostID]bool)
	used := make(map[model.PoolID]model.Resources)
	for _, t := range f.Tasks {
		if t.Phase == fleet.TaskPlaced {
			busy[t.Worker] = true
			used[t.Spec.Pool] = used[t.Spec.Pool].Add(e.obs.tasks[t.ID].Size)
		}
	}
	for _, id := range model.SortedKeys(f.Hosts) {
		host := f.Hosts[id]
		if before, known := obs.pools[id]; known && before != host.Pool {
			obs.moves++
		}
		obs.pools[id] = host.Pool
		if host.Up && host.Phase == fleet.HostServing && !busy[id] {
			obs.idle++
			if !e.rules.Pools[host.Pool].Spare {
				obs.poolIdle++
			}
		}
	}
	for _, name := range model.SortedKeys(e.rules.Waves) {
		e.sampleWave(name, f)
	}
	e.samplePools(f, used)
	e.sampleHostChanges(f)
}

// samplePools records the buffer of each pool that is not spare and checks the
// budget of every pool. Lost hosts also use up a budget, but only planned changes
// can violate it.
func (e *engine) samplePools(f *fleet.State, used map[model.PoolID]model.Resources) {
	hosts, planned := make(map[model.PoolID]int), make(map[model.PoolID]int)
	capacity := make(map[model.PoolID]model.Resources)
	for _, host := range f.Hosts {
		rule, known := e.rules.Pools[host.Pool]
		if !known {
			e.obs.violations[InvariantPools]++
			continue
		}
		hosts[host.Pool]++
		if host.Capacity.MilliCPU > capacity[host.Pool].MilliCPU {
			capacity[host.Pool] = host.Capacity
		}
		if host.Phase != fleet.HostServing {
			if planned[host.Pool]++; planned[host.Pool] > rule.UnavailableMax {
				e.obs.violations[InvariantBudgets]++
			}
		}
	}
	for id, n := range hosts {
		if !e.rules.Pools[id].Spare {
			e.obs.hosts.buffer += max(0, n-hostsNeeded(used[id], capacity[id]))
		}
	}
}

// hostsNeeded returns the lowest number of hosts of the given capacity that can hold an
// amount.
func hostsNeeded(amount, capacity model.Resources) int {
	n := int64(0)
	for _, d := range [][2]int64{
		{amount.MilliCPU, capacity.MilliCPU}, {amount.MemoryMB, capacity.MemoryMB}, {amount.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			n = max(n, (d[0]+d[1]-1)/d[1])
		}
	}
	return int(n)
}

func (e *engine) sampleWave(name string, f *fleet.State) {
	obs, wave := e.obs.hosts, e.rules.Waves[name]
	obs.pending[name], obs.waveHosts[name] = 0, 0
	for _, host := range f.Hosts {
		if !slices.Contains(wave.Pools, host.Pool) {
			continue
		}
		obs.waveHosts[name]++
		if host.Image != wave.Image || host.Phase != fleet.HostServing {
			obs.pending[name]++
		}
	}
	if obs.pending[name] == 0 && obs.waveHosts[name] > 0 && obs.rolloutEnd[name] == 0 {
		obs.rolloutEnd[name] = e.now
	}
}

// measureHosts adds the measures of pools and waves.
func (r *Result) measureHosts(e *engine) {
	obs := e.obs.hosts
	if obs.samples == 0 {
		for _, name := range []string{MeasureIdleBuffer, MeasurePoolIdle, MeasurePoolBuffer, MeasureHostMoves, MeasureHostsHarmed,
			MeasureRollOutSeconds, MeasureRollOutRatio} {
			r.addMissing(name, "the trace has no workers")
		}
		return
	}
	r.add(MeasureIdleBuffer, float64(obs.idle)/float64(obs.samples))
	r.add(MeasurePoolIdle, float64(obs.poolIdle)/float64(obs.samples))
	r.add(MeasurePoolBuffer, float64(obs.buffer)/float64(obs.samples))
	r.add(MeasureHostMoves, float64(obs.moves))
	r.add(MeasureHostsHarmed, float64(e.hostsLostInReboot()))
	r.measureRollOut(e)
}

// hostsLostInReboot counts the hosts that did not come back from a reboot into an
// image that breaks them.
func (e *engine) hostsLostInReboot() int {
	n := 0
	for _, w := range e.workers {
		if w.Lost && w.BreakingImage != "" && w.Image == w.BreakingImage {
			n++
		}
	}
	return n
}

func (r *Result) measureRollOut(e *engine) {
	obs := e.obs.hosts
	noRollOut := func(reason string) {
		r.addMissing(MeasureRollOutSeconds, reason)
		r.addMissing(MeasureRollOutRatio, reason)
	}
	last := 0.0
	for _, name := range model.SortedKeys(obs.waveHosts) {
		if obs.rolloutEnd[name] == 0 {
			noRollOut(fmt.Sprintf("wave %s ended with %d of %d hosts to do", name, obs.pending[name], obs.waveHosts[name]))
			return
		}
		last = max(last, e.seconds(obs.rolloutEnd[name]))
	}
	if len(obs.waveHosts) == 0 {
		noRollOut("the rules have no wave")
		return
	}
	r.add(MeasureRollOutSeconds, last)
	r.addRatio(MeasureRollOutRatio, last, obs.earliestRolloutEnd(e.traceStart).Sub(e.traceStart).Seconds(), "no host needed a change")
}
