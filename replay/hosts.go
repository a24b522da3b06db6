package replay

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// hostInterval is the time between two looks at the pools.
const hostInterval = model.Second

// hostBooks is what is noted of the pools while a trace with workers lasts.
type hostBooks struct {
	looks    int
	idle     int // hosts in service without a task, summed over the looks
	moves    int
	poolIdle int // of idle, in pools that are not spare
	buffer   int // hosts of pools beyond what their running tasks fill, summed over the looks
	changes  map[model.HostID]*hostChange
	rollout  map[model.PoolID]*poolRollOut
	pools    map[model.HostID]model.PoolID
	rolled   map[string]model.Time // when the last host of a wave had its image
	pending  map[string]int        // hosts of a wave without its image
	wanted   map[string]int        // hosts of a wave
}

func newHostBooks() *hostBooks {
	return &hostBooks{
		pools: make(map[model.HostID]model.PoolID), rolled: make(map[string]model.Time),
		pending: make(map[string]int), wanted: make(map[string]int),
		changes: make(map[model.HostID]*hostChange), rollout: make(map[model.PoolID]*poolRollOut),
	}
}

// lookAtHosts notes idle hosts, moves between pools and the progress of waves.
func (e *engine) lookAtHosts() {
	if len(e.workers) == 0 || e.now < e.began || e.now > e.began.Add(e.trace.Header.Length.Duration()) {
		return
	}
	b := e.books.hosts
	b.looks++
	f := e.state.Inspect().Fleet
	busy := make(map[model.HostID]bool)
	used := make(map[model.PoolID]model.Resources)
	for _, t := range f.Tasks {
		if t.Phase == fleet.TaskPlaced {
			busy[t.Worker] = true
			used[t.Spec.Pool] = used[t.Spec.Pool].Add(e.books.tasks[t.ID].Size)
		}
	}
	for _, id := range model.SortedKeys(f.Hosts) {
		host := f.Hosts[id]
		if before, known := b.pools[id]; known && before != host.Pool {
			b.moves++
		}
		b.pools[id] = host.Pool
		if host.Up && host.Phase == fleet.HostServing && !busy[id] {
			b.idle++
			if !e.rules.Pools[host.Pool].Spare {
				b.poolIdle++
			}
		}
	}
	for _, name := range model.SortedKeys(e.rules.Waves) {
		e.lookAtWave(name, f)
	}
	e.lookAtPools(f, used)
	e.lookAtChanges(f)
}

// lookAtPools notes the buffer of each pool that is not spare, and checks its
// budget. Hosts that are lost use up the budget, but only planned changes can
// exceed it.
func (e *engine) lookAtPools(f *fleet.State, used map[model.PoolID]model.Resources) {
	hosts, planned := make(map[model.PoolID]int), make(map[model.PoolID]int)
	capacity := make(map[model.PoolID]model.Resources)
	for _, host := range f.Hosts {
		rule, known := e.rules.Pools[host.Pool]
		if !known {
			e.books.violations[InvariantPools]++
			continue
		}
		hosts[host.Pool]++
		if host.Capacity.MilliCPU > capacity[host.Pool].MilliCPU {
			capacity[host.Pool] = host.Capacity
		}
		if host.Phase != fleet.HostServing {
			if planned[host.Pool]++; planned[host.Pool] > rule.UnavailableMax {
				e.books.violations[InvariantBudgets]++
			}
		}
	}
	for id, n := range hosts {
		if !e.rules.Pools[id].Spare {
			e.books.hosts.buffer += max(0, n-filled(used[id], capacity[id]))
		}
	}
}

// filled returns how many whole hosts of a capacity an amount fills at least.
func filled(amount, capacity model.Resources) int {
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

func (e *engine) lookAtWave(name string, f *fleet.State) {
	b, wave := e.books.hosts, e.rules.Waves[name]
	b.pending[name], b.wanted[name] = 0, 0
	for _, host := range f.Hosts {
		if !slices.Contains(wave.Pools, host.Pool) {
			continue
		}
		b.wanted[name]++
		if host.Image != wave.Image || host.Phase != fleet.HostServing {
			b.pending[name]++
		}
	}
	if b.pending[name] == 0 && b.wanted[name] > 0 && b.rolled[name] == 0 {
		b.rolled[name] = e.now
	}
}

// measureHosts adds the figures of pools and waves.
func (r *Result) measureHosts(e *engine) {
	b := e.books.hosts
	if b.looks == 0 {
		for _, name := range []string{MeasureIdleBuffer, MeasurePoolIdle, MeasurePoolBuffer, MeasureHostMoves, MeasureHostsHarmed,
			MeasureRollOutSeconds, MeasureRollOutRatio} {
			r.none(name, "the trace has no workers")
		}
		return
	}
	r.add(MeasureIdleBuffer, float64(b.idle)/float64(b.looks))
	r.add(MeasurePoolIdle, float64(b.poolIdle)/float64(b.looks))
	r.add(MeasurePoolBuffer, float64(b.buffer)/float64(b.looks))
	r.add(MeasureHostMoves, float64(b.moves))
	r.add(MeasureHostsHarmed, float64(e.harmed()))
	r.measureRollOut(e)
}

// harmed counts the hosts that were lost in a reboot.
func (e *engine) harmed() int {
	n := 0
	for _, w := range e.workers {
		if w.Lost && w.Breaks != "" && w.Image == w.Breaks {
			n++
		}
	}
	return n
}

func (r *Result) measureRollOut(e *engine) {
	b := e.books.hosts
	noRollOut := func(reason string) {
		r.none(MeasureRollOutSeconds, reason)
		r.none(MeasureRollOutRatio, reason)
	}
	last := 0.0
	for _, name := range model.SortedKeys(b.wanted) {
		if b.rolled[name] == 0 {
			noRollOut(fmt.Sprintf("wave %s ended with %d of %d hosts to do", name, b.pending[name], b.wanted[name]))
			return
		}
		last = max(last, e.seconds(b.rolled[name]))
	}
	if len(b.wanted) == 0 {
		noRollOut("the rules have no wave")
		return
	}
	r.add(MeasureRollOutSeconds, last)
	r.ratio(MeasureRollOutRatio, last, b.shortestRollOut(e.began).Sub(e.began).Seconds(), "nothing had to be done")
}
