// Package placement decides which task runs on which worker and when. It issues the
// orders to workers and determines from their reports how runs have ended.
//
// A Placer exists for one term of the leader. It starts from the replicated state,
// which lists all queued and placed tasks, and learns from reports which workers are
// alive. A run belongs to one incarnation of a worker and to the epoch of its
// placement, and may execute only under a lease, which each run order renews. A run
// counts as running until a report shows its end, or until every lease that any
// leader may have granted for it has expired.
package placement

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
	"primrosedale.example/primrosedale/core/rules"
)

// Times and counts of the policy.
const (
	// Lease is how long a run order permits a task to run, measured by the worker
	// from the time at which it sent the report that the order answers.
	Lease = 5 * model.Second
	// LeaseMargin is added to a lease before the leader treats it as expired. It
	// covers a 1% difference between the clock rates over the lease, and a pause of
	// the worker between reading its clock and stopping the task.
	LeaseMargin = 500 * model.Millisecond
	// StartTimeout is how long a reporting worker may take to start a run that it was
	// ordered to start: ten reports. Without this limit, a worker that does not
	// receive its orders would hold its tasks for ever.
	StartTimeout = 5 * model.Second
	// SilenceTimeout is the time without a report after which a worker gets no new tasks:
	// four report intervals.
	SilenceTimeout = 2 * model.Second
	// limitRetryInterval is the interval at which teams at their limit are tried again. It is
	// needed because the end of a request frees a unit of its team's limit without
	// notifying this package.
	limitRetryInterval = 200 * model.Millisecond
	// lostRetryDelay is the delay before the loss of a worker is proposed again.
	lostRetryDelay = model.Second
	// refusedDelay is the delay before a refused placement is tried again.
	refusedDelay = 500 * model.Millisecond
	// noFitDelayMin and noFitDelayMax bound the delay before a task that fits no
	// worker is tried again.
	noFitDelayMin = 500 * model.Millisecond
	noFitDelayMax = 4 * model.Second
	// failDelayMin and failDelayMax bound the delay before a failed task is tried
	// again, so that a task that always fails does not occupy a pool.
	failDelayMin = model.Second
	failDelayMax = 5 * model.Minute
	// noFitsPerPass and placementsPerPass bound the work of one pass over the queue
	// of a pool.
	noFitsPerPass     = 8
	placementsPerPass = 64
)

// Env is the context in which the placer handles an event.
type Env struct {
	Now   model.Time
	Fleet *fleet.State
	// MayGrant is true while no other leader can exist, so that a later leader can
	// bound the leases granted before its term.
	MayGrant bool
	// Ready is true once RequestsRunning also covers the requests dispatched in
	// earlier terms.
	Ready bool
	// RequestsRunning returns the number of running requests of a team.
	RequestsRunning func(model.TeamID) int
	Shares          SharePolicy
}

// Output collects the effects and proposals that result from an event.
type Output struct {
	Effects   []effect.Effect
	Proposals []fleet.Command
}

func (o *Output) log(e effect.Log) { o.Effects = append(o.Effects, e) }

func (o *Output) propose(c fleet.Command) { o.Proposals = append(o.Proposals, c) }

// Placer holds the leader's view of workers and unfinished tasks.
type Placer struct {
	termStart    model.Time
	rules        *rules.Rules
	workers      map[model.HostID]*worker
	pools        map[model.PoolID]*pool
	teams        map[model.TeamID]*team
	records      map[model.TaskID]*record
	colocated    map[teamDomain]int    // tasks on workers, by team and failure domain
	atLimit      map[model.TeamID]bool // teams that have queued tasks and are at their limit
	limitRetryAt model.Time            // next time to retry atLimit
	total        model.Resources       // capacity of the workers that are up
	sizes        *sizes
	timers       *pq.Queue[timerID, timer, struct{}]
}

// team holds the totals of a team over all pools.
type team struct {
	pending    int             // proposed placements that are not yet committed
	used       model.Resources // reserved for tasks that are placed or proposed
	unfinished int             // number of tasks
	preempting bool            // reclaims lent capacity until it has its share
	queues     map[model.PoolID]*teamQueue
}

// New returns the Placer for a term that starts at env.Now.
func New(env Env) *Placer {
	p := &Placer{
		termStart: env.Now,
		rules:     env.Fleet.Rules,
		workers:   make(map[model.HostID]*worker),
		pools:     make(map[model.PoolID]*pool),
		teams:     make(map[model.TeamID]*team),
		records:   make(map[model.TaskID]*record),
		colocated: make(map[teamDomain]int),
		atLimit:   make(map[model.TeamID]bool),
		sizes:     newSizes(),
		timers:    pq.New[timerID, timer, struct{}](timer.before),
	}
	for _, id := range model.SortedKeys(env.Fleet.Hosts) {
		p.syncHost(env, id)
		for _, task := range env.Fleet.PlacedOn(id) {
			p.syncTask(env, task.ID)
		}
	}
	for _, id := range model.SortedKeys(env.Fleet.Rules.Pools) {
		for task := range env.Fleet.QueuedIn(id) {
			p.syncTask(env, task.ID)
		}
	}
	for _, r := range p.records {
		// An earlier leader may have ordered the run up to the start of this term.
		r.runOrdered = true
		r.lastRunOrder = env.Now
	}
	return p
}

// PendingByTeam returns the number of proposed placements of a team that are not yet
// committed.
func (p *Placer) PendingByTeam(id model.TeamID) int {
	if t := p.teams[id]; t != nil {
		return t.pending
	}
	return 0
}

// Committed handles a committed command and its result.
func (p *Placer) Committed(env Env, out *Output, c *fleet.Command, result fleet.Result) {
	switch {
	case c.ApplyRules != nil && result.Problem == nil:
		p.rulesChanged(env)
	case c.ReportHost != nil:
		p.hostReported(env, c.ReportHost.Host)
	case c.PlanHost != nil:
		p.syncHost(env, c.PlanHost.Host)
	case c.SubmitTask != nil:
		p.syncTask(env, c.SubmitTask.Task)
	case c.CancelTask != nil:
		p.syncTask(env, c.CancelTask.Task)
	case c.PlaceTask != nil:
		p.placeCommitted(env, out, c.PlaceTask, result)
	case c.EndTask != nil:
		p.endCommitted(env, out, c.EndTask)
	}
}

// NotProposed rolls back proposals that the log did not accept.
func (p *Placer) NotProposed(env Env, commands []fleet.Command) {
	for i := range commands {
		c := &commands[i]
		switch {
		case c.ReportHost != nil:
			p.worker(c.ReportHost.Host).reportProposed = false
		case c.PlaceTask != nil:
			p.cancelPlacement(env, c.PlaceTask.Task, refusedDelay)
		case c.EndTask != nil:
			if r := p.records[c.EndTask.Task]; r != nil {
				r.endProposed = false
			}
		}
	}
}

func (p *Placer) rulesChanged(env Env) {
	p.rules = env.Fleet.Rules
	for _, id := range model.SortedKeys(p.workers) {
		p.refreshWorker(env, p.workers[id])
	}
	p.retryLimited(env)
}

func (p *Placer) pool(id model.PoolID) *pool {
	q := p.pools[id]
	if q == nil {
		q = newPool(id)
		p.pools[id] = q
	}
	return q
}

func (p *Placer) team(id model.TeamID) *team {
	t := p.teams[id]
	if t == nil {
		t = &team{queues: make(map[model.PoolID]*teamQueue)}
		p.teams[id] = t
	}
	return t
}
