package hosts

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule"
)

const (
	// usablePercent is the part of a pool's capacity that work can fill: the rest is
	// lost between tasks of different sizes, in percent.
	usablePercent = 88
	// spareHosts is what a pool keeps beyond its need, for the first jobs of a burst
	// and the loss of a host.
	spareHosts = 1
	// switchOffDelay is how long a pool must have had too many hosts before one is
	// switched off: a move there and back costs as much as some seconds of a host.
	switchOffDelay = 1200 * model.Millisecond
)

// pool is one pool at the time of a decision.
type pool struct {
	id       model.ServiceID
	standby  bool
	demand   schedule.Demand
	hosts    int // that it can use, with those on their way to it
	idle     []*host
	capacity int64 // of one host, thousandths of a core
}

// wantedHosts is the number of hosts that a pool should have.
func (p *pool) wantedHosts() int {
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

// planMoves returns the hosts to move now. Pools that lack hosts get idle ones: first
// those that are switched off, then those of pools that have more than they need,
// largest excess first. Hosts that no pool needs are switched off if shed allows it.
func planMoves(pools []*pool, shed func(model.ServiceID) bool) []move {
	var list []move
	var off, free []*pool
	for _, p := range pools {
		if p.standby {
			off = append(off, p)
		} else {
			free = append(free, p)
		}
	}
	for _, p := range sortedByShortage(free) {
		for lack := p.wantedHosts() - p.hosts; lack > 0; lack-- {
			donor := findDonor(off, free, p)
			if donor == nil {
				break
			}
			reason := fmt.Sprintf(", which has %d hosts for %d thousandths of a core", p.hosts, p.demand.Need())
			list = append(list, move{takeIdleHost(donor), p.id, reason})
			p.hosts++
		}
	}
	if len(off) == 0 {
		return list
	}
	for _, p := range free {
		for p.hosts > p.wantedHosts() && len(p.idle) > 0 && shed(p.id) {
			reason := fmt.Sprintf(", as %d hosts are too many for %d thousandths of a core", p.hosts, p.demand.Need())
			list = append(list, move{takeIdleHost(p), off[0].id, reason})
		}
	}
	return list
}

// sortedByShortage returns the pools, the one that lacks most hosts first.
func sortedByShortage(pools []*pool) []*pool {
	sorted := slices.Clone(pools)
	slices.SortStableFunc(sorted, func(a, b *pool) int { return (b.wantedHosts() - b.hosts) - (a.wantedHosts() - a.hosts) })
	return sorted
}

// findDonor returns the pool that gives a host, or nil.
func findDonor(off, free []*pool, to *pool) *pool {
	for _, p := range off {
		if len(p.idle) > 0 {
			return p
		}
	}
	var best *pool
	for _, p := range free {
		if p == to || len(p.idle) == 0 || p.hosts <= p.wantedHosts() {
			continue
		}
		if best == nil || p.hosts-p.wantedHosts() > best.hosts-best.wantedHosts() {
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
