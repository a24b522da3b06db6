package maintenance

import (
	"cmp"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// fillPools gives a host to each pool that has lacked one for MissingFor, and
// returns hosts that a pool has had too many of for ExcessFor to a spare pool.
// Its time grows with the number of pools; hosts are looked at only when one is
// needed or too many.
func (p *Planner) fillPools(env Env, out *Out) {
	if p.rounds == 0 {
		return
	}
	p.learnNeeds(env)
	for _, id := range p.poolOrder {
		q := p.pool(id)
		rule := p.rules.Pools[id]
		if rule.Spare {
			continue // spare pools would exchange their hosts
		}
		more := p.have(env, id, q) - p.want(env, id, q)
		q.missing.set(env.Now, more < 0)
		q.excess.set(env.Now, more > 0 && p.sizes(env, rule))
		switch {
		case env.Now < p.donateAt:
		case q.missing.lasts(env, MissingFor):
			// A host that one pool cannot have, no other pool can have either.
			if !p.donate(env, out, id) {
				p.donateAt = env.Now.Add(refusedDelay)
			}
		case q.excess.lasts(env, ExcessFor):
			if !p.release(env, out, id) {
				p.donateAt = env.Now.Add(refusedDelay)
			}
		}
	}
}

// condition is something that must last before it has a consequence.
type condition struct {
	holds bool
	since model.Time
}

func (c *condition) set(now model.Time, holds bool) {
	if holds && !c.holds {
		c.since = now
	}
	c.holds = holds
}

// lasts reports whether the condition has held for a time. The baseline acts on
// the moment.
func (c *condition) lasts(env Env, d model.Duration) bool {
	return c.holds && (env.Policy == PolicyFirstFit || env.Now.Sub(c.since) >= d)
}

// have returns the hosts that a pool has or is about to get. Hosts in a planned
// change that return to it count; lost ones and those in a data centre that is
// out do not.
func (p *Planner) have(env Env, id model.PoolID, q *pool) int {
	hosts := env.Fleet.HostsIn(id) - q.lost - q.leaving + q.joining + q.donated
	if p.sizes(env, p.rules.Pools[id]) {
		hosts -= q.found.out
	}
	return hosts
}

// donate begins the move of a host to a pool: from a spare pool, or else from
// one that has had more hosts than it needs for ExcessFor. It reports false if
// there is none.
func (p *Planner) donate(env Env, out *Out, to model.PoolID) bool {
	if p.moving() >= movesMax {
		return false
	}
	reason := reasonMinimum
	if p.sizes(env, p.rules.Pools[to]) {
		reason = reasonNeed
	}
	best := p.bestHost(env, func(id model.HostID) bool { return p.mayDonate(env, id) }, to)
	return best != "" && p.move(env, out, best, p.hosts[best], to, reason)
}

// release begins the move of a host that a pool has too many to a spare pool.
func (p *Planner) release(env Env, out *Out, from model.PoolID) bool {
	to, ok := p.spareFor(env)
	if !ok || p.moving() >= movesMax {
		return false
	}
	mayLeave := func(id model.HostID) bool {
		return p.hosts[id].state.Pool == from && p.mayDonate(env, id)
	}
	best := p.bestHost(env, mayLeave, to)
	return best != "" && p.move(env, out, best, p.hosts[best], to, reasonExcess)
}

// spareFor returns the spare pool that takes a host.
func (p *Planner) spareFor(env Env) (model.PoolID, bool) {
	for _, id := range p.poolOrder {
		rule := p.rules.Pools[id]
		if rule.Spare && (!rule.Sized() || p.have(env, id, p.pool(id)) < rule.HostsMax) {
			return id, true
		}
	}
	return "", false
}

// moving counts the hosts that move or are proposed to.
func (p *Planner) moving() int {
	n := 0
	for _, q := range p.pools {
		n += q.joining + q.donated
	}
	return n
}

// offer ranks a host for a move; smaller is better.
type offer struct {
	lent  int // 1 if its pool is not spare
	busy  int // 1 with tasks: its drain waits for their end
	here  int // hosts of its new pool in its rack
	there int // hosts of its own pool in its rack, negated
	tasks int
}

func (a offer) compare(b offer) int {
	return cmp.Or(cmp.Compare(a.lent, b.lent), cmp.Compare(a.busy, b.busy), cmp.Compare(a.here, b.here),
		cmp.Compare(a.there, b.there), cmp.Compare(a.tasks, b.tasks))
}

// bestHost returns the host that may move and costs least, or "". Pools whose
// hosts are spread over many racks need the smallest buffers. The baseline takes
// the first host.
func (p *Planner) bestHost(env Env, may func(model.HostID) bool, to model.PoolID) model.HostID {
	var best model.HostID
	var least offer
	for _, id := range p.order {
		if !may(id) {
			continue
		}
		if env.Policy == PolicyFirstFit {
			return id
		}
		if o := p.offerOf(env, id, to); best == "" || o.compare(least) < 0 {
			best, least = id, o
		}
	}
	return best
}

func (p *Planner) offerOf(env Env, id model.HostID, to model.PoolID) offer {
	s := &p.hosts[id].state
	o := offer{tasks: len(env.Fleet.PlacedOn(id))}
	place := rack{s.DataCentre, s.Rack}
	if !p.rules.Pools[to].Spare {
		o.here = p.pool(to).found.domains[place]
	}
	if !p.rules.Pools[s.Pool].Spare {
		o.lent = 1
		o.there = -p.pool(s.Pool).found.domains[place]
	}
	if o.tasks > 0 {
		o.busy = 1
	}
	return o
}

// mayDonate reports whether a host may leave its pool for a pool that lacks
// one.
func (p *Planner) mayDonate(env Env, id model.HostID) bool {
	h := p.hosts[id]
	rule := p.rules.Pools[h.state.Pool]
	if !h.state.Up || h.state.Phase != fleet.HostServing || p.pinned(id) {
		return false
	}
	if h.proposed || env.Now < h.notUntil || h.movedLately(env.Now) || p.rules.DataCentres[h.state.DataCentre].Out {
		return false
	}
	if !rule.Spare && !p.hasExcess(env, h.state.Pool) {
		return false
	}
	return p.keepsMinimum(env, h.state.Pool) && p.hasBudget(env, h.state.Pool)
}

// hasExcess reports whether a pool that is sized has had more hosts than it
// needs for ExcessFor, and still has.
func (p *Planner) hasExcess(env Env, id model.PoolID) bool {
	q := p.pool(id)
	return p.sizes(env, p.rules.Pools[id]) && q.excess.lasts(env, ExcessFor) &&
		p.have(env, id, q)-q.drainsAway > p.want(env, id, q)
}

// pinned reports whether the rules hold a host in its pool. In a pool that is
// sized they name only the pool in which it starts.
func (p *Planner) pinned(id model.HostID) bool {
	placement, bound := p.rules.Hosts[id]
	return bound && !p.rules.Pools[placement.Pool].Sized()
}

// keepsMinimum reports whether a pool may give one of its hosts away.
func (p *Planner) keepsMinimum(env Env, id model.PoolID) bool {
	serving := env.Fleet.HostsIn(id) - env.Fleet.UnavailableIn(id) - p.pool(id).drains
	return serving-1 >= p.rules.Pools[id].HostsMin
}

// stillNeeded reports whether a move that has begun still has a purpose: a burst
// may be over before its host is drained. A planner that has not led for long
// does not know the needs yet.
func (p *Planner) stillNeeded(env Env, id model.HostID, h *host) bool {
	from, to := h.state.Pool, h.state.MoveTo
	if env.Policy == PolicyFirstFit || p.poolWanted(id, h) == to || env.Now.Sub(p.began) < ExcessFor {
		return true
	}
	if p.rules.Pools[to].Spare {
		q := p.pool(from)
		return !p.sizes(env, p.rules.Pools[from]) || p.have(env, from, q) >= p.want(env, from, q)
	}
	q := p.pool(to)
	return !p.sizes(env, p.rules.Pools[to]) || p.have(env, to, q) <= p.want(env, to, q)
}
