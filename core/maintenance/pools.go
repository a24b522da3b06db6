package maintenance

import (
	"cmp"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// balancePools starts to move a host to each pool that has been short of one for
// ShortageDelay, and to move hosts from pools that have had a surplus for ExcessDelay
// to a spare pool. Its time grows with the number of pools; hosts are searched only when a
// pool is short of one or has a surplus.
func (p *Planner) balancePools(env Env, out *Output) {
	if p.passes == 0 {
		return
	}
	p.updateNeeds(env)
	for _, id := range p.poolOrder {
		q := p.pool(id)
		rule := p.rules.Pools[id]
		if rule.Spare {
			continue // otherwise spare pools would exchange hosts with each other
		}
		surplus := p.currentHosts(env, id, q) - p.desiredHosts(env, id, q)
		q.shortage.set(env.Now, surplus < 0)
		q.excess.set(env.Now, surplus > 0 && p.isSized(env, rule))
		switch {
		case env.Now < p.nextMoveSearch:
		case q.shortage.heldFor(env, ShortageDelay):
			// If no host can move to this pool, none can move to another pool either, so
			// the next search, for any pool, waits.
			if !p.addHost(env, out, id) {
				p.nextMoveSearch = env.Now.Add(refusedDelay)
			}
		case q.excess.heldFor(env, ExcessDelay):
			if !p.releaseHost(env, out, id) {
				p.nextMoveSearch = env.Now.Add(refusedDelay)
			}
		}
	}
}

// condition is a state that must persist for some time before it has an effect.
type condition struct {
	holding bool
	since   model.Time
}

func (c *condition) set(now model.Time, holds bool) {
	if holds && !c.holding {
		c.since = now
	}
	c.holding = holds
}

// heldFor reports whether the condition has held for a duration. PolicyFirstFit acts
// at once.
func (c *condition) heldFor(env Env, d model.Duration) bool {
	return c.holding && (env.Policy == PolicyFirstFit || env.Now.Sub(c.since) >= d)
}

// currentHosts returns the hosts that a pool has or is about to get. Hosts with a
// plan after which they return to the pool count; lost hosts do not, nor do hosts in
// a data centre that is out if the pool is sized by demand.
func (p *Planner) currentHosts(env Env, id model.PoolID, q *pool) int {
	hosts := env.Fleet.HostsIn(id) - q.lost - q.movingOut + q.movingIn + q.proposedMovesIn
	if p.isSized(env, p.rules.Pools[id]) {
		hosts -= q.lastSurvey.hostsOut
	}
	return hosts
}

// addHost starts to move a host to a pool: from a spare pool, or else from a pool
// that has had a surplus for ExcessDelay. It reports false if there is no such host.
func (p *Planner) addHost(env Env, out *Output, to model.PoolID) bool {
	if p.movingHosts() >= movesMax {
		return false
	}
	reason := reasonMinimum
	if p.isSized(env, p.rules.Pools[to]) {
		reason = reasonNeed
	}
	host := p.cheapestHost(env, func(id model.HostID) bool { return p.mayMove(env, id) }, to)
	return host != "" && p.move(env, out, host, p.hosts[host], to, reason)
}

// releaseHost starts to move a surplus host of a pool to a spare pool.
func (p *Planner) releaseHost(env Env, out *Output, from model.PoolID) bool {
	to, ok := p.sparePoolWithRoom(env)
	if !ok || p.movingHosts() >= movesMax {
		return false
	}
	eligible := func(id model.HostID) bool {
		return p.hosts[id].state.Pool == from && p.mayMove(env, id)
	}
	host := p.cheapestHost(env, eligible, to)
	return host != "" && p.move(env, out, host, p.hosts[host], to, reasonExcess)
}

// sparePoolWithRoom returns the first spare pool that can take another host.
func (p *Planner) sparePoolWithRoom(env Env) (model.PoolID, bool) {
	for _, id := range p.poolOrder {
		rule := p.rules.Pools[id]
		if rule.Spare && (!rule.Sized() || p.currentHosts(env, id, p.pool(id)) < rule.HostsMax) {
			return id, true
		}
	}
	return "", false
}

// movingHosts returns the number of hosts that are moving or proposed to move.
func (p *Planner) movingHosts() int {
	n := 0
	for _, q := range p.pools {
		n += q.movingIn + q.proposedMovesIn
	}
	return n
}

// moveCost ranks the hosts that may move. The fields are compared in order; lower is
// better.
type moveCost struct {
	fromWorkPool       int // 1 if its pool is not a spare pool
	hasTasks           int // 1 if it has tasks, which must end before it is drained
	rackmatesInNewPool int // hosts of the new pool in its rack
	rackmatesInOldPool int // hosts of the old pool in its rack, negated
	tasks              int
}

func (a moveCost) compare(b moveCost) int {
	return cmp.Or(cmp.Compare(a.fromWorkPool, b.fromWorkPool), cmp.Compare(a.hasTasks, b.hasTasks),
		cmp.Compare(a.rackmatesInNewPool, b.rackmatesInNewPool),
		cmp.Compare(a.rackmatesInOldPool, b.rackmatesInOldPool), cmp.Compare(a.tasks, b.tasks))
}

// cheapestHost returns the eligible host with the lowest cost of a move, or "". The
// cost favours spreading a pool over racks, because such pools need the smallest
// buffers. PolicyFirstFit takes the first eligible host.
func (p *Planner) cheapestHost(env Env, eligible func(model.HostID) bool, to model.PoolID) model.HostID {
	var best model.HostID
	var leastCost moveCost
	for _, id := range p.hostOrder {
		if !eligible(id) {
			continue
		}
		if env.Policy == PolicyFirstFit {
			return id
		}
		if cost := p.moveCostOf(env, id, to); best == "" || cost.compare(leastCost) < 0 {
			best, leastCost = id, cost
		}
	}
	return best
}

func (p *Planner) moveCostOf(env Env, id model.HostID, to model.PoolID) moveCost {
	s := &p.hosts[id].state
	cost := moveCost{tasks: len(env.Fleet.PlacedOn(id))}
	domain := failureDomain{s.DataCentre, s.Rack}
	if !p.rules.Pools[to].Spare {
		cost.rackmatesInNewPool = p.pool(to).lastSurvey.domains[domain]
	}
	if !p.rules.Pools[s.Pool].Spare {
		cost.fromWorkPool = 1
		cost.rackmatesInOldPool = -p.pool(s.Pool).lastSurvey.domains[domain]
	}
	if cost.tasks > 0 {
		cost.hasTasks = 1
	}
	return cost
}

// mayMove reports whether a host may leave its pool for another one.
func (p *Planner) mayMove(env Env, id model.HostID) bool {
	h := p.hosts[id]
	rule := p.rules.Pools[h.state.Pool]
	if !h.state.Up || h.state.Phase != fleet.HostServing || p.pinned(id) {
		return false
	}
	if h.stepProposed || env.Now < h.notBefore || h.movedRecently(env.Now) || p.rules.DataCentres[h.state.DataCentre].Out {
		return false
	}
	if !rule.Spare && !p.hasExcess(env, h.state.Pool) {
		return false
	}
	return p.keepsMinimum(env, h.state.Pool) && p.hasBudget(env, h.state.Pool)
}

// hasExcess reports whether a pool that is sized by demand has had a surplus for
// ExcessDelay, and still has one.
func (p *Planner) hasExcess(env Env, id model.PoolID) bool {
	q := p.pool(id)
	return p.isSized(env, p.rules.Pools[id]) && q.excess.heldFor(env, ExcessDelay) &&
		p.currentHosts(env, id, q)-q.proposedMovesOut > p.desiredHosts(env, id, q)
}

// pinned reports whether the rules keep a host in its pool. For a pool that is sized
// by demand, the rules name only the pool in which the host starts.
func (p *Planner) pinned(id model.HostID) bool {
	placement, ok := p.rules.Hosts[id]
	return ok && !p.rules.Pools[placement.Pool].Sized()
}

// keepsMinimum reports whether a pool still has its minimum of hosts after losing one
// more.
func (p *Planner) keepsMinimum(env Env, id model.PoolID) bool {
	serving := env.Fleet.HostsIn(id) - env.Fleet.UnavailableIn(id) - p.pool(id).proposedDrains
	return serving-1 >= p.rules.Pools[id].HostsMin
}

// moveStillNeeded reports whether a move that has started is still needed: a burst of
// demand may be over before the host is drained. Until a term has lasted for
// ExcessDelay the needs are not yet known, so the answer is true.
func (p *Planner) moveStillNeeded(env Env, id model.HostID, h *host) bool {
	from, to := h.state.Pool, h.state.MoveTo
	if env.Policy == PolicyFirstFit || p.poolByRules(id, h) == to || env.Now.Sub(p.termStart) < ExcessDelay {
		return true
	}
	if p.rules.Pools[to].Spare {
		q := p.pool(from)
		return !p.isSized(env, p.rules.Pools[from]) || p.currentHosts(env, from, q) >= p.desiredHosts(env, from, q)
	}
	q := p.pool(to)
	return !p.isSized(env, p.rules.Pools[to]) || p.currentHosts(env, to, q) <= p.desiredHosts(env, to, q)
}
