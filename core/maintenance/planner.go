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
	// harmMax is the number of such hosts at which a wave stops.
	harmMax = 2
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

	order  []model.HostID // in which hosts are looked at
	sorted bool           // order is complete
	cursor int
	rounds int // complete passes over order

	began     model.Time
	poolOrder []model.PoolID // of the rules, sorted
	sized     []model.PoolID // of them, those that demand sizes
	nextSized int
	capacity  model.Resources // of the hosts of the last pass
	counted   int             // hosts of the last pass
	spares    int             // of them, in spare pools and not out

	donateAt model.Time // no search for a host to move before this time

	changing int            // hosts in a drain or reboot that are not gone, with proposed ones
	images   map[string]int // hosts that serve, by image
	trials   map[string]int // hosts in a drain or reboot or proposed to be, by the image they are to get

	harmed  map[string]map[model.HostID]bool // hosts that did not come back, by wave
	stopped map[string]bool                  // waves that did harm
}

// host is what the planner adds to the replicated state of a host.
type host struct {
	state    fleet.Host
	known    bool       // state is set
	gone     bool       // has not come back from a reboot within ReturnMax
	proposed bool       // a step is proposed
	leaves   bool       // the proposed step takes it out of service
	away     bool       // the proposed step takes it to another pool
	notUntil model.Time // no step before this time
}

// pool counts the hosts of one pool.
type pool struct {
	drains  int // proposed drains that are not yet committed
	lost    int // not up without a plan, or gone
	leaving int // that move to another pool
	joining int // of other pools, that move to this one
	donated int // proposed moves to this pool that are not yet committed
	// drainsAway counts the proposed moves from this pool that are not yet
	// committed.
	drainsAway int

	found, next survey // of the last pass over the hosts and the present one
	need        need
	missing     condition // has fewer hosts than it is to have
	excess      condition // has more
}

// New returns the planner of a term that begins at env.Now.
func New(env Env) *Planner {
	p := &Planner{
		hosts:  make(map[model.HostID]*host),
		pools:  make(map[model.PoolID]*pool),
		images: make(map[string]int),
		trials: make(map[string]int),
		began:  env.Now,
	}
	p.takeRules(env.Fleet.Rules)
	for id := range env.Fleet.Hosts {
		p.observe(env, id)
	}
	return p
}

// takeRules adopts rules. A change of them lets stopped waves go on.
func (p *Planner) takeRules(r *rules.Rules) {
	p.rules = r
	p.waves = make(map[model.PoolID]string)
	p.harmed = make(map[string]map[model.HostID]bool)
	p.stopped = make(map[string]bool)
	p.poolOrder = model.SortedKeys(r.Pools)
	p.sized = nil
	for _, id := range p.poolOrder {
		if rule := r.Pools[id]; rule.Sized() && !rule.Spare {
			p.sized = append(p.sized, id)
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
		p.takeRules(env.Fleet.Rules)
	case c.ReportHost != nil:
		p.observe(env, c.ReportHost.Host)
		p.examine(env, out, c.ReportHost.Host)
	case c.PlanHost != nil:
		p.planCommitted(env, out, c.PlanHost, result)
	}
}

// NotProposed takes back steps that the log did not accept.
func (p *Planner) NotProposed(env Env, commands []fleet.Command) {
	for i := range commands {
		if c := commands[i].PlanHost; c != nil {
			p.unpropose(c, p.host(c.Host))
		}
	}
}

func (p *Planner) planCommitted(env Env, out *Out, c *fleet.PlanHost, result fleet.Result) {
	h := p.host(c.Host)
	p.unpropose(c, h)
	before := h.state
	p.observe(env, c.Host)
	if result.Problem != nil {
		h.notUntil = max(h.notUntil, env.Now.Add(refusedDelay))
		return
	}
	switch {
	case before.Phase == h.state.Phase:
	case h.state.Phase == fleet.HostDraining:
		out.log(effect.Log{Code: effect.HostDraining, Host: c.Host, Detail: c.Reason})
	case h.state.Phase == fleet.HostServing:
		out.log(effect.Log{Code: effect.HostReturned, Host: c.Host, Detail: c.Reason})
	}
	p.examine(env, out, c.Host)
}

// unpropose takes a step out of the counts of proposed ones.
func (p *Planner) unpropose(c *fleet.PlanHost, h *host) {
	if !h.proposed {
		return
	}
	h.proposed = false
	if !h.leaves {
		return
	}
	h.leaves = false
	p.changing--
	p.trial(c.Image, -1)
	p.pool(h.state.Pool).drains--
	if c.Pool != "" {
		p.pool(c.Pool).donated--
		p.pool(h.state.Pool).drainsAway--
	}
}

// trial counts hosts that are to get an image.
func (p *Planner) trial(image string, n int) {
	if image != "" {
		p.trials[image] += n
	}
}

// Advance does what is due at time env.Now.
func (p *Planner) Advance(env Env, out *Out) {
	if !p.sorted {
		p.sortHosts()
	}
	for range min(hostsPerTick, len(p.order)) {
		id := p.order[p.cursor]
		p.examine(env, out, id)
		p.surveyHost(env, id, p.hosts[id])
		if p.cursor++; p.cursor == len(p.order) {
			p.cursor = 0
			p.rounds++
			p.surveyDone()
		}
	}
	p.fillPools(env, out)
}

func (p *Planner) host(id model.HostID) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{}
		p.hosts[id] = h
		p.order = append(p.order, id)
		p.sorted = false
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

// observe takes over the replicated state of a host into the counts of pools.
func (p *Planner) observe(env Env, id model.HostID) {
	state, ok := env.Fleet.Hosts[id]
	if !ok {
		return
	}
	h := p.host(id)
	p.count(h, -1)
	if h.state.Rack != state.Rack || h.state.DataCentre != state.DataCentre {
		p.sorted = false
	}
	if h.known && h.leaves && h.state.Pool != state.Pool {
		p.pool(h.state.Pool).drains--
		p.pool(state.Pool).drains++
		if h.away {
			p.pool(h.state.Pool).drainsAway--
			p.pool(state.Pool).drainsAway++
		}
	}
	h.state = state
	h.known = true
	h.gone = h.gone && state.Phase == fleet.HostRebooting
	p.count(h, 1)
}

func (p *Planner) count(h *host, n int) {
	if !h.known {
		return
	}
	s := &h.state
	if s.Phase == fleet.HostServing && !s.Up || h.gone {
		p.pool(s.Pool).lost += n
	}
	switch {
	case s.Phase != fleet.HostServing:
		p.trial(s.ImageWant, n)
		if !h.gone {
			p.changing += n
		}
	case s.Up:
		p.images[s.Image] += n
	}
	if s.MoveTo != "" {
		p.pool(s.Pool).leaving += n
		p.pool(s.MoveTo).joining += n
	}
}

// sortHosts orders hosts so that neighbours are of different racks: the first
// host of each rack, then the second of each. Hosts are drained in this order,
// which keeps one rack from losing several hosts at one time.
func (p *Planner) sortHosts() {
	p.sorted = true
	slices.SortFunc(p.order, func(a, b model.HostID) int {
		x, y := &p.hosts[a].state, &p.hosts[b].state
		return cmp.Or(cmp.Compare(x.DataCentre, y.DataCentre), cmp.Compare(x.Rack, y.Rack), cmp.Compare(a, b))
	})
	place := make(map[model.HostID]int, len(p.order))
	for i, id := range p.order {
		if i > 0 && p.sameRack(p.order[i-1], id) {
			place[id] = place[p.order[i-1]] + 1
		}
	}
	slices.SortStableFunc(p.order, func(a, b model.HostID) int { return cmp.Compare(place[a], place[b]) })
}

func (p *Planner) sameRack(a, b model.HostID) bool {
	x, y := &p.hosts[a].state, &p.hosts[b].state
	return x.DataCentre == y.DataCentre && x.Rack == y.Rack
}
