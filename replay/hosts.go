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
	looks   int
	idle    int // hosts in service without a task, summed over the looks
	moves   int
	pools   map[model.HostID]model.PoolID
	rolled  map[string]model.Time // when the last host of a wave had its image
	pending map[string]int        // hosts of a wave without its image
	wanted  map[string]int        // hosts of a wave
}

func newHostBooks() *hostBooks {
	return &hostBooks{
		pools: make(map[model.HostID]model.PoolID), rolled: make(map[string]model.Time),
		pending: make(map[string]int), wanted: make(map[string]int),
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
	for _, t := range f.Tasks {
		if t.Phase == fleet.TaskPlaced {
			busy[t.Worker] = true
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
		}
	}
	for _, name := range model.SortedKeys(e.rules.Waves) {
		e.lookAtWave(name, f)
	}
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
		for _, name := range []string{MeasureIdleBuffer, MeasureHostMoves, MeasureRollOutSeconds} {
			r.none(name, "the trace has no workers")
		}
		return
	}
	r.add(MeasureIdleBuffer, float64(b.idle)/float64(b.looks))
	r.add(MeasureHostMoves, float64(b.moves))
	last := 0.0
	for _, name := range model.SortedKeys(b.wanted) {
		if b.rolled[name] == 0 {
			r.none(MeasureRollOutSeconds, fmt.Sprintf("wave %s ended with %d of %d hosts to do", name, b.pending[name], b.wanted[name]))
			return
		}
		last = max(last, e.seconds(b.rolled[name]))
	}
	if len(b.wanted) == 0 {
		r.none(MeasureRollOutSeconds, "the rules have no wave")
		return
	}
	r.add(MeasureRollOutSeconds, last)
}
