// Package maintenance plans changes to hosts: maintenance waves, moves between
// pools, and the drains and reboots that both need.
//
// A Planner lives for one term of the leader. Each step is a fleet.PlanHost
// that is checked against the budgets of its pool when it is applied. All that
// a plan needs to go on is in the replicated state of its host, so that a later
// leader continues it. The planner looks at a host when it changes, and at a
// few hosts at each tick in turn, so that one event has bounded work.
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
	// DrainMax is how long a host may drain before its drain is given up. It
	// then returns to service and is not drained again for DrainPause.
	DrainMax   = 30 * model.Minute
	DrainPause = 10 * model.Minute
	// ReturnMax is how long a host may take to come back with the wanted image
	// before that counts as harm done by the wave.
	ReturnMax = 10 * model.Minute
	// failedReturnsMax is the number of such hosts at which a wave stops.
	failedReturnsMax = 2
	// MissingFor is how long a pool must lack a host before it gets one, so
	// that a host that restarts causes no move.
	MissingFor = 30 * model.Second
	// MoveInterval is the shortest time between two moves of one host.
	MoveInterval = 10 * model.Minute
	// refusedDelay is the pause before a refused step is tried again.
	refusedDelay = model.Second
	// hostsPerTick bounds the hosts looked at in one tick of 50 ms: 690 hosts
	// take 1.1 s.
	hostsPerTick = 32
)

// Env is what the planner may read while it handles an event.
type Env struct {
	Now   model.Time
	Fleet *fleet.State
	// Busy reports whether a request may be running on a target of the host.
	Busy func(model.HostID) bool
	// Policy is fixed for the life of a process.
	Policy PolicyName
	// Reserved returns what the tasks on a host take of it.
	Reserved func(model.HostID) model.Resources
	// Need returns what a queued task is expected to take.
	Need func(*fleet.Task) model.Resources
}

// Out collects what the planner asks for.
type Out struct {
	Effects   []effect.Effect
	Proposals []fleet.Command
}

func (o *Out) log(e effect.Log) { o.Effects = append(o.Effects, e) }

// Planner holds what the leader knows of hosts beyond the replicated state.
type Planner struct {
	rules *rules.Rules
	waves map[model.PoolID]string // the wave in force for each pool
	hosts map[model.HostID]*host
	pools map[model.PoolID]*pool

	hostOrder       []model.HostID // in which hosts are looked at
	hostOrderSorted bool           // order is complete
	hostCursor      int
	passes          int // complete passes over order

	termStart     model.Time
	poolOrder     []model.PoolID // of the rules, sorted
	sizedPools    []model.PoolID // of them, those that demand sizes
	sizedCursor   int
	totalCapacity model.Resources // of the hosts of the last pass
	totalHosts    int             // hosts of the last pass
	spareHosts    int             // of them, in spare pools and not out

	nextMoveSearch model.Time // no search for a host to move before this time

	changingHosts  int            // hosts in a drain or reboot that are not gone, with proposed ones
	servingByImage map[string]int // hosts that serve, by image
	trialsByImage  map[string]int // hosts in a drain or reboot or proposed to be, by the image they are to get

	failedReturns map[string]map[model.HostID]bool // hosts that did not come back, by wave
	stoppedWaves  map[string]bool                  // waves that did harm
}

// host is what the planner adds to the replicated state of a host.
type host struct {
	state         fleet.Host
	known         bool       // state is set
	missing       bool       // has not come back from a reboot within ReturnMax
	stepProposed  bool       // a step is proposed
	drainProposed bool       // the proposed step takes it out of service
	moveProposed  bool       // the proposed step takes it to another pool
	notBefore     model.Time // no step before this time
}

// pool counts the hosts of one pool.
type pool struct {
	proposedDrains  int // proposed drains that are not yet committed
	lost            int // not up without a plan, or gone
	movingOut       int // that move to another pool
	movingIn        int // of other pools, that move to this one
	proposedMovesIn int // proposed moves to this pool that are not yet committed
	// proposedMovesOut counts the proposed moves from this pool that are not yet
	// committed.
	proposedMovesOut int

	lastSurvey, nextSurvey survey // of the last pass over the hosts and the present one
	need                   need
	shortage               condition // has fewer hosts than it is to have
	excess                 condition // has more
}

// New returns the planner of a term that begins at env.Now.
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

// adoptRules adopts rules. A change of them lets stopped waves go on.
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
	// Two waves of one pool would reboot its hosts in turn for ever, so that
	// the last one by name is in force.
	for _, name := range model.SortedKeys(r.Waves) {
		for _, pool := range r.Waves[name].Pools {
			p.waves[pool] = name
		}
	}
}

// Committed handles a command that has been applied, with its result.
func (p *Planner) Committed(env Env, out *Out, c *fleet.Command, result fleet.Result) {
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

// NotProposed takes back steps that the log did not accept.
func (p *Planner) NotProposed(env Env, commands []fleet.Command) {
	for i := range commands {
		if c := commands[i].PlanHost; c != nil {
			p.clearProposal(c, p.host(c.Host))
		}
	}
}

func (p *Planner) planCommitted(env Env, out *Out, c *fleet.PlanHost, result fleet.Result) {
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

// clearProposal takes a step out of the counts of proposed ones.
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

// countTrial counts hosts that are to get an image.
func (p *Planner) countTrial(image string, n int) {
	if image != "" {
		p.trialsByImage[image] += n
	}
}

// Advance does what is due at time env.Now.
func (p *Planner) Advance(env Env, out *Out) {
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

// syncHost takes over the replicated state of a host into the counts of pools.
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

// sortHosts orders hosts so that neighbours are of different racks: the first
// host of each rack, then the second of each. Hosts are drained in this order,
// which keeps one rack from losing several hosts at one time.
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
