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
	idle     []*host
	capacity int64 // of one host, thousandths of a core
}

// desiredHosts returns the number of hosts that the pool should have.
func (p *pool) desiredHosts() int {
	if p.capacity == 0 {
		return p.hosts
	}
	need := p.demand.Need()
	if need == 0 {
		return max(spareHosts, p.demand.MinHosts)
	}
	usable := p.capacity * usablePercent / 100
	return max(int((need+usable-1)/usable), p.demand.MinHosts) + spareHosts
}

// move is one host that changes its pool.
type move struct {
	host   *host
	to     model.ServiceID
	reason string
}

// planMoves returns the hosts to move now. Pools with too few hosts get idle ones:
// first those that are switched off, then those of pools with more than they should
// have, largest excess first. Idle hosts that no pool needs are switched off if
// maySwitchOff allows it for their pool.
func planMoves(pools []*pool, maySwitchOff func(model.ServiceID) bool) []move {
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
		for shortage := p.desiredHosts() - p.hosts; shortage > 0; shortage-- {
			donor := findDonor(standby, serving, p)
			if donor == nil {
				break
			}
			reason := fmt.Sprintf(", which has %d hosts for %d thousandths of a core", p.hosts, p.demand.Need())
			list = append(list, move{takeIdleHost(donor), p.id, reason})
			p.hosts++
		}
	}
	if len(standby) == 0 {
		return list
	}
	for _, p := range serving {
		for p.hosts > p.desiredHosts() && len(p.idle) > 0 && maySwitchOff(p.id) {
			reason := fmt.Sprintf(", as %d hosts are too many for %d thousandths of a core", p.hosts, p.demand.Need())
			list = append(list, move{takeIdleHost(p), standby[0].id, reason})
		}
	}
	return list
}

// sortedByShortage returns the pools sorted by the number of hosts they are short of,
// largest first.
func sortedByShortage(pools []*pool) []*pool {
	sorted := slices.Clone(pools)
	slices.SortStableFunc(sorted, func(a, b *pool) int { return (b.desiredHosts() - b.hosts) - (a.desiredHosts() - a.hosts) })
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
		if p == to || len(p.idle) == 0 || p.hosts <= p.desiredHosts() {
			continue
		}
		if best == nil || p.hosts-p.desiredHosts() > best.hosts-best.desiredHosts() {
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
