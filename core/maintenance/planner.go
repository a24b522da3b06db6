// Package maintenance plans changes to hosts: maintenance waves, moves between pools,
// and the drains and reboots that both require.
//
// A Planner exists for one term of the leader. Each step is a fleet.PlanHost command,
// which is checked against the budget of the pool when it is applied. All state that
// a plan needs is in the replicated state of its host, so a later leader can continue
// it. The planner evaluates a host when it changes, and a few hosts in turn at each
// tick, so that the work for one event is bounded.
package maintenance

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// Times and counts of the policy.
const (
	// DrainTimeout is how long a host may drain before the drain is cancelled. The
	// host then returns to service and is not drained again for DrainRetryDelay.
	DrainTimeout    = 30 * model.Minute
	DrainRetryDelay = 10 * model.Minute
	// ReturnTimeout is how long a host may take to come back with the wanted image
	// before it counts as a failed return of the wave.
	ReturnTimeout = 10 * model.Minute
	// failedReturnsToStop is the number of failed returns at which a wave stops.
	failedReturnsToStop = 2
	// ShortageDelay is how long a pool must be short of a host before it gets one, so
	// that a host that restarts causes no move.
	ShortageDelay = 30 * model.Second
	// MoveInterval is the minimum time between two moves of one host.
	MoveInterval = 10 * model.Minute
	// refusedDelay is the delay before a refused step is tried again.
	refusedDelay = model.Second
	// hostsPerTick bounds the hosts evaluated in one tick of 50 ms: a pass over 690
	// hosts takes 1.1 s.
	hostsPerTick = 32
)

// Env is the context in which the planner handles an event.
type Env struct {
	Now   model.Time
	Fleet *fleet.State
	// Busy reports whether a request may be running on a target of the host.
	Busy func(model.HostID) bool
	// Policy does not change during the life of a process.
	Policy PolicyName
	// Reserved returns the resources that the tasks on a host reserve.
	Reserved func(model.HostID) model.Resources
	// Need returns the resources that a queued task is expected to need.
	Need func(*fleet.Task) model.Resources
}

// Output collects the effects and proposals that result from an event.
type Output struct {
	Effects   []effect.Effect
	Proposals []fleet.Command
}

func (o *Output) log(e effect.Log) { o.Effects = append(o.Effects, e) }

// Planner holds the leader's view of hosts beyond the replicated state.
type Planner struct {
	rules *rules.Rules
	waves map[model.PoolID]string // the wave that applies to each pool
	hosts map[model.HostID]*host
	pools map[model.PoolID]*pool

	hostOrder       []model.HostID // order of evaluation, see sortHosts
	hostOrderSorted bool           // hostOrder is up to date
	hostCursor      int
	passes          int // complete passes over hostOrder

	termStart     model.Time
	poolOrder     []model.PoolID // pools of the rules, sorted
	sizedPools    []model.PoolID // pools of poolOrder that are sized by demand
	sizedCursor   int
	totalCapacity model.Resources // of all hosts in the last pass
	totalHosts    int             // hosts in the last pass
	spareHosts    int             // in spare pools and not in a data centre that is out

	nextMoveSearch model.Time // no search for a host to move before this time

	// changingHosts counts the hosts in a drain or reboot, including proposed drains but
	// not missing hosts. trialsByImage counts the same hosts and the missing ones by the
	// image that they are to get, and servingByImage the serving hosts by their image.
	changingHosts  int
	servingByImage map[string]int
	trialsByImage  map[string]int

	failedReturns map[string]map[model.HostID]bool // hosts that did not come back, by wave
	stoppedWaves  map[string]bool                  // waves that stopped after failed returns
}

// host is the planner's state of a host.
type host struct {
	state         fleet.Host
	known         bool       // state is set
	missing       bool       // did not come back from a reboot within ReturnTimeout
	stepProposed  bool       // a step is proposed
	drainProposed bool       // the proposed step is a drain
	moveProposed  bool       // the proposed drain moves the host to another pool
	notBefore     model.Time // no step before this time
}

// pool counts the hosts of one pool.
type pool struct {
	proposedDrains   int // drains not yet committed
	lost             int // hosts that are down without a plan, or missing
	movingOut        int // hosts of this pool that move to another one
	movingIn         int // hosts of other pools that move to this one
	proposedMovesIn  int // moves to this pool not yet committed
	proposedMovesOut int // moves from this pool not yet committed

	lastSurvey, nextSurvey survey // results of the last pass over the hosts and of the current one
	need                   need
	shortage               condition // has fewer hosts than desiredHosts
	excess                 condition // has more hosts than desiredHosts
}

// New returns the Planner for a term that starts at env.Now.
func New(env Env) *Planner {
	p := &Planner{
		hosts:          make(map[model.HostID]*host),
		pools:          make(map[model.PoolID]*pool),
		servingByImage: make(map[string]int),
		trialsByImage:  make(map[string]int),
		termStart:      env.Now,
	}
	p.adoptRules(env.Fleet.Rules)
	for id := range env.Fleet.Hosts {
		p.syncHost(env, id)
	}
	return p
}

// adoptRules switches to new rules. Any change of the rules lets stopped waves
// continue.
func (p *Planner) adoptRules(r *rules.Rules) {
	p.rules = r
	p.waves = make(map[model.PoolID]string)
	p.failedReturns = make(map[string]map[model.HostID]bool)
	p.stoppedWaves = make(map[string]bool)
	p.poolOrder = model.SortedKeys(r.Pools)
	p.sizedPools = nil
	for _, id := range p.poolOrder {
		if rule := r.Pools[id]; rule.Sized() && !rule.Spare {
			p.sizedPools = append(p.sizedPools, id)
		}
	}
	// Two waves for one pool would reboot its hosts in turn for ever, so only the
	// last wave by name applies.
	for _, name := range model.SortedKeys(r.Waves) {
		for _, pool := range r.Waves[name].Pools {
			p.waves[pool] = name
		}
	}
}

// Committed handles a committed command and its result.
func (p *Planner) Committed(env Env, out *Output, c *fleet.Command, result fleet.Result) {
	switch {
	case c.ApplyRules != nil && result.Problem == nil:
		p.adoptRules(env.Fleet.Rules)
	case c.ReportHost != nil:
		p.syncHost(env, c.ReportHost.Host)
		p.nextStep(env, out, c.ReportHost.Host)
	case c.PlanHost != nil:
		p.planCommitted(env, out, c.PlanHost, result)
	}
}

// NotProposed rolls back steps that the log did not accept.
func (p *Planner) NotProposed(env Env, commands []fleet.Command) {
	for i := range commands {
		if c := commands[i].PlanHost; c != nil {
			p.clearProposal(c, p.host(c.Host))
		}
	}
}

func (p *Planner) planCommitted(env Env, out *Output, c *fleet.PlanHost, result fleet.Result) {
	h := p.host(c.Host)
	p.clearProposal(c, h)
	before := h.state
	p.syncHost(env, c.Host)
	if result.Problem != nil {
		h.notBefore = max(h.notBefore, env.Now.Add(refusedDelay))
		return
	}
	switch {
	case before.Phase == h.state.Phase:
	case h.state.Phase == fleet.HostDraining:
		out.log(effect.Log{Code: effect.HostDraining, Host: c.Host, Detail: c.Reason})
	case h.state.Phase == fleet.HostServing:
		out.log(effect.Log{Code: effect.HostReturned, Host: c.Host, Detail: c.Reason})
	}
	p.nextStep(env, out, c.Host)
}

// clearProposal removes a step from the counts of proposed steps.
func (p *Planner) clearProposal(c *fleet.PlanHost, h *host) {
	if !h.stepProposed {
		return
	}
	h.stepProposed = false
	if !h.drainProposed {
		return
	}
	h.drainProposed = false
	p.changingHosts--
	p.countTrial(c.Image, -1)
	p.pool(h.state.Pool).proposedDrains--
	if c.Pool != "" {
		p.pool(c.Pool).proposedMovesIn--
		p.pool(h.state.Pool).proposedMovesOut--
	}
}

// countTrial adds n to the number of hosts that are to get an image.
func (p *Planner) countTrial(image string, n int) {
	if image != "" {
		p.trialsByImage[image] += n
	}
}

// Advance evaluates the next hosts in turn and balances the pools.
func (p *Planner) Advance(env Env, out *Output) {
	if !p.hostOrderSorted {
		p.sortHosts()
	}
	for range min(hostsPerTick, len(p.hostOrder)) {
		id := p.hostOrder[p.hostCursor]
		p.nextStep(env, out, id)
		p.surveyHost(env, id, p.hosts[id])
		if p.hostCursor++; p.hostCursor == len(p.hostOrder) {
			p.hostCursor = 0
			p.passes++
			p.finishPass()
		}
	}
	p.balancePools(env, out)
}

func (p *Planner) host(id model.HostID) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{}
		p.hosts[id] = h
		p.hostOrder = append(p.hostOrder, id)
		p.hostOrderSorted = false
	}
	return h
}

func (p *Planner) pool(id model.PoolID) *pool {
	q := p.pools[id]
	if q == nil {
		q = &pool{}
		p.pools[id] = q
	}
	return q
}

// syncHost updates a host and the counts of its pools from the replicated state.
func (p *Planner) syncHost(env Env, id model.HostID) {
	state, ok := env.Fleet.Hosts[id]
	if !ok {
		return
	}
	h := p.host(id)
	p.countHost(h, -1)
	if h.state.Rack != state.Rack || h.state.DataCentre != state.DataCentre {
		p.hostOrderSorted = false
	}
	if h.known && h.drainProposed && h.state.Pool != state.Pool {
		p.pool(h.state.Pool).proposedDrains--
		p.pool(state.Pool).proposedDrains++
		if h.moveProposed {
			p.pool(h.state.Pool).proposedMovesOut--
			p.pool(state.Pool).proposedMovesOut++
		}
	}
	h.state = state
	h.known = true
	h.missing = h.missing && state.Phase == fleet.HostRebooting
	p.countHost(h, 1)
}

func (p *Planner) countHost(h *host, n int) {
	if !h.known {
		return
	}
	s := &h.state
	if s.Phase == fleet.HostServing && !s.Up || h.missing {
		p.pool(s.Pool).lost += n
	}
	switch {
	case s.Phase != fleet.HostServing:
		p.countTrial(s.ImageWant, n)
		if !h.missing {
			p.changingHosts += n
		}
	case s.Up:
		p.servingByImage[s.Image] += n
	}
	if s.MoveTo != "" {
		p.pool(s.Pool).movingOut += n
		p.pool(s.MoveTo).movingIn += n
	}
}

// sortHosts orders hosts so that neighbours are in different racks: the first host of
// each rack, then the second host of each rack, and so on. Hosts are drained in this
// order, so that one rack does not lose several hosts at once.
func (p *Planner) sortHosts() {
	p.hostOrderSorted = true
	slices.SortFunc(p.hostOrder, func(a, b model.HostID) int {
		x, y := &p.hosts[a].state, &p.hosts[b].state
		return cmp.Or(cmp.Compare(x.DataCentre, y.DataCentre), cmp.Compare(x.Rack, y.Rack), cmp.Compare(a, b))
	})
	indexInRack := make(map[model.HostID]int, len(p.hostOrder))
	for i, id := range p.hostOrder {
		if i > 0 && p.sameRack(p.hostOrder[i-1], id) {
			indexInRack[id] = indexInRack[p.hostOrder[i-1]] + 1
		}
	}
	slices.SortStableFunc(p.hostOrder, func(a, b model.HostID) int { return cmp.Compare(indexInRack[a], indexInRack[b]) })
}

func (p *Planner) sameRack(a, b model.HostID) bool {
	x, y := &p.hosts[a].state, &p.hosts[b].state
	return x.DataCentre == y.DataCentre && x.Rack == y.Rack
}
