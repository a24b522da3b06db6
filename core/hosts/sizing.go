package hosts

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule"
)

const (
	// usablePercent is the percentage of a pool's capacity that work can fill. The
	// rest is lost to fragmentation between tasks of different sizes.
	usablePercent = 88
	// spareHosts is the number of hosts that a pool keeps beyond its need, for the
	// first jobs of a burst and for the loss of a host.
	spareHosts = 1
	// switchOffDelay is how long a pool must have had too many hosts before one is
	// switched off: moving a host off and back costs as much as running it for some
	// seconds.
	switchOffDelay = 1200 * model.Millisecond
)

// pool is one pool at the time of a decision.
type pool struct {
	id       model.ServiceID
	standby  bool
	demand   schedule.Demand
	hosts    int // usable ones, including those that are moving to it
	target   int // see setTargets
	idle     []*host
	busy     []*host         // hosts with runs that may be released
	incoming []*host         // hosts that are moving to it
	capacity model.Resources // of one host
}

// desiredHosts returns the number of hosts that the pool should have if the fleet has
// enough.
func (p *pool) desiredHosts() int {
	if p.capacity == (model.Resources{}) {
		return p.hosts
	}
	need := p.demand.Total()
	if need == (model.Resources{}) {
		return max(spareHosts, p.demand.MinHosts)
	}
	return max(max(p.hostsFor(need), p.demand.MinHosts)+spareHosts, p.longRunningHosts())
}

// onTimeHosts returns the number of hosts that the pool needs for all work but that of
// late jobs.
func (p *pool) onTimeHosts() int {
	return max(max(p.hostsFor(p.demand.OnTime()), p.demand.MinHosts)+spareHosts, p.longRunningHosts())
}

// longRunningHosts returns the number of hosts that the pool needs for its long-running
// tasks: those that have some, and others for the tasks that found no place there.
func (p *pool) longRunningHosts() int {
	unplaced := max(p.hostsFor(p.demand.Unplaced), p.demand.UnplacedHosts)
	return max(p.hostsFor(p.demand.LongRunning), p.demand.MinHosts, p.demand.LongRunningHosts+unplaced)
}

// hostsFor returns the number of hosts that offer a capacity to tasks of different sizes.
func (p *pool) hostsFor(need model.Resources) int {
	hosts := int64(0)
	for _, d := range [][2]int64{
		{need.MilliCPU, p.capacity.MilliCPU}, {need.MemoryMB, p.capacity.MemoryMB}, {need.Accelerators, p.capacity.Accelerators},
	} {
		if usable := max(1, d[1]*usablePercent/100); d[1] > 0 {
			hosts = max(hosts, (d[0]+usable-1)/usable)
		}
	}
	return int(hosts)
}

// setTargets sets the number of hosts that each pool is to have. If the fleet has too few
// for all, long-running tasks come first, then the work that can still be on time, then
// that of late jobs. Within each of these, no pool gets more than another one that needs
// more: bursts of two queues overlap, and the work that is accepted first would
// otherwise keep the fleet.
func setTargets(pools []*pool) {
	available := 0
	var serving []*pool
	contended := isContended(pools)
	for _, p := range pools {
		available += p.hosts
		if p.standby {
			continue
		}
		serving = append(serving, p)
		p.target = 0
		if !contended {
			p.target = p.desiredHosts()
		}
	}
	if !contended {
		return
	}
	for _, limit := range []func(*pool) int{(*pool).longRunningHosts, (*pool).onTimeHosts, (*pool).desiredHosts} {
		available -= raiseTargets(serving, available, limit)
	}
}

// isContended reports whether the fleet has too few hosts for all pools.
func isContended(pools []*pool) bool {
	available, wanted := 0, 0
	for _, p := range pools {
		available += p.hosts
		if !p.standby {
			wanted += p.desiredHosts()
		}
	}
	return wanted > available
}

// raiseTargets distributes up to the given number of hosts, one after the other, each to
// the pool below its limit that has got the fewest. It returns the number that it has
// distributed.
func raiseTargets(pools []*pool, available int, limit func(*pool) int) int {
	missing, given := make([]int, len(pools)), make([]int, len(pools))
	for i, p := range pools {
		missing[i] = limit(p) - p.target
	}
	for n := range available {
		next := -1
		for i := range pools {
			if given[i] < missing[i] && (next < 0 || given[i] < given[next]) {
				next = i
			}
		}
		if next < 0 {
			return n
		}
		given[next]++
		pools[next].target++
	}
	return available
}

// move is one host that changes its pool.
type move struct {
	host   *host
	to     model.ServiceID
	reason string
}

// planMoves returns the hosts to move now. Pools below their target get idle hosts:
// first those that are switched off, then those of pools above their target, largest
// excess first. Idle hosts that no pool needs are switched off if
// maySwitchOff allows it for their pool.
func planMoves(pools []*pool, maySwitchOff func(model.ServiceID) bool) []move {
	setTargets(pools)
	var list []move
	var standby, serving []*pool
	for _, p := range pools {
		if p.standby {
			standby = append(standby, p)
		} else {
			serving = append(serving, p)
		}
	}
	for _, p := range sortedByShortage(serving) {
		for shortage := p.target - p.hosts; shortage > 0; shortage-- {
			donor := findDonor(standby, serving, p)
			if donor == nil {
				break
			}
			reason := ", which has " + p.describe()
			list = append(list, move{takeIdleHost(donor), p.id, reason})
			p.hosts++
		}
	}
	if len(standby) == 0 {
		return list
	}
	for _, p := range serving {
		for p.hosts > p.target && len(p.idle) > 0 && maySwitchOff(p.id) {
			reason := ", which has too many, " + p.describe()
			list = append(list, move{takeIdleHost(p), standby[0].id, reason})
		}
	}
	return list
}

// shortage returns the number of hosts by which the pool is below its target.
func (p *pool) shortage() int { return p.target - p.hosts }

// describe returns the figures that decide about the hosts of a pool.
func (p *pool) describe() string {
	need := p.demand.Total()
	return fmt.Sprintf("%d hosts of %d for %d thousandths of a core and %d MB", p.hosts, p.target, need.MilliCPU, need.MemoryMB)
}

// sortedByShortage returns the pools sorted by the number of hosts they are short of,
// largest first.
func sortedByShortage(pools []*pool) []*pool {
	sorted := slices.Clone(pools)
	slices.SortStableFunc(sorted, func(a, b *pool) int { return b.shortage() - a.shortage() })
	return sorted
}

// findDonor returns the pool that gives a host to another one, or nil.
func findDonor(standby, serving []*pool, to *pool) *pool {
	for _, p := range standby {
		if len(p.idle) > 0 {
			return p
		}
	}
	var best *pool
	for _, p := range serving {
		if p == to || len(p.idle) == 0 || p.shortage() >= 0 {
			continue
		}
		if best == nil || p.shortage() < best.shortage() {
			best = p
		}
	}
	return best
}

func takeIdleHost(p *pool) *host {
	h := p.idle[0]
	p.idle = p.idle[1:]
	p.hosts--
	return h
}
