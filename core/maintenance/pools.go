package maintenance

import (
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// fillPools gives a spare host to each pool that has been below its minimum
// for MissingFor. Its time grows with the number of pools; the hosts of spare
// pools are looked at only when one is needed.
func (p *Planner) fillPools(env Env, out *Out) {
	if p.rounds == 0 {
		return
	}
	for _, id := range model.SortedKeys(p.rules.Pools) {
		q := p.pool(id)
		// Spare pools would exchange their hosts.
		if rule := p.rules.Pools[id]; rule.Spare || p.have(env, id, q) >= rule.HostsMin {
			q.short = false
			continue
		}
		if !q.short {
			q.short = true
			q.shortSince = env.Now
		}
		if env.Now.Sub(q.shortSince) < MissingFor || env.Now < p.donateAt {
			continue
		}
		// A host that one pool cannot have, no other pool can have either.
		if !p.donate(env, out, id) {
			p.donateAt = env.Now.Add(refusedDelay)
		}
	}
}

// have returns the hosts that a pool has or is about to get. Hosts in a planned
// change that return to it count, lost ones do not.
func (p *Planner) have(env Env, id model.PoolID, q *pool) int {
	return env.Fleet.HostsIn(id) - q.lost - q.leaving + q.joining + q.donated
}

// donate begins the move of a host from a spare pool: the one with the fewest
// tasks. It reports false if there is none.
func (p *Planner) donate(env Env, out *Out, to model.PoolID) bool {
	var best model.HostID
	fewest := 0
	for _, id := range p.order {
		if !p.mayDonate(env, id) {
			continue
		}
		if n := len(env.Fleet.PlacedOn(id)); best == "" || n < fewest {
			best, fewest = id, n
		}
	}
	return best != "" && p.move(env, out, best, p.hosts[best], to, reasonMinimum)
}

func (p *Planner) mayDonate(env Env, id model.HostID) bool {
	h := p.hosts[id]
	if !p.rules.Pools[h.state.Pool].Spare || !h.state.Up || h.state.Phase != fleet.HostServing {
		return false
	}
	if _, bound := p.rules.Hosts[id]; bound {
		return false // the rules place it where it is
	}
	if h.proposed || env.Now < h.notUntil || h.movedLately(env.Now) {
		return false
	}
	return p.keepsMinimum(env, h.state.Pool) && p.hasBudget(env, h.state.Pool)
}

// keepsMinimum reports whether a pool may give one of its hosts away.
func (p *Planner) keepsMinimum(env Env, id model.PoolID) bool {
	serving := env.Fleet.HostsIn(id) - env.Fleet.UnavailableIn(id) - p.pool(id).drains
	return serving-1 >= p.rules.Pools[id].HostsMin
}
