// Package dispatch is the owner of the request queues. It decides which
// request goes to which target and when, within the slots of the targets and
// the limits of the teams.
//
// An Owner lives for one term of the leader and starts empty. Gateways ask for
// the requests they hold and list those they have forwarded; targets list what
// they run. Nothing is dispatched until the fence has passed: every earlier
// serving lease has ended or belongs to a host that has reported. A registered
// target counts all its slots as running, for every team, until it knows the
// owner's term, or until a report that it sampled after the fence and the flight
// time has replaced that bound, or until the longest run of its service that could
// have started before the fence is over.
//
// A request counts as running from its dispatch (or the proposal of its claim)
// until its end is known: from the gateway that had the whole answer or did
// not start it, or from a report that the target sampled after the last moment
// at which the request could have reached it.
package dispatch

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/lease"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// Times and counts of the policy.
const (
	// StartBy is how long after its dispatch a request may start.
	StartBy = 1000 * model.Millisecond
	// FlightTime bounds how long bytes sent to a target can still arrive: the
	// TCP user timeout of the connection.
	FlightTime = 2000 * model.Millisecond
	// ClockMargin covers the difference of two clocks over the times above: 1%
	// of up to 4 s, rounded up.
	ClockMargin = 50 * model.Millisecond
	// clockRate is the inverse of the largest difference of two clocks' rates, 1%.
	clockRate = 100
	// SilentAfter is the time without an announcement after which a target
	// gets nothing new.
	SilentAfter = 2000 * model.Millisecond
	// ForgetMargin is added to the longest run of a silent target's service
	// before the target is forgotten.
	ForgetMargin = 10 * model.Second
	// LostAfter is how long after the deadline of a dispatched request its
	// gateway, which repeats each report every 500 ms, may take to report it.
	LostAfter = 5 * model.Second
	// RetryDelayMin and RetryDelayMax bound the exponential delay before the
	// next attempt of a request, and before the next use of a failing target.
	RetryDelayMin = 50 * model.Millisecond
	RetryDelayMax = 5 * model.Second
	// AttemptsMax bounds the attempts of one request that may have run.
	AttemptsMax = 4
	// EndedMemory is how long an ended run is remembered, so that a report that
	// was sampled before its end does not bring it back.
	EndedMemory = 30 * model.Second
)

// Env is what the owner may read while it handles an event.
type Env struct {
	Now     model.Time
	Fleet   *fleet.State
	Granter *lease.Granter
	Members []model.HostID // sorted
	// TasksRunning returns the running tasks of a team, including placements
	// that are proposed and not yet committed.
	TasksRunning func(model.TeamID) int
	Policy       PolicyName
}

// Out collects what the owner asks for.
type Out struct {
	Effects   []effect.Effect
	Proposals []fleet.Command
}

func (o *Out) send(to model.HostID, m message.Message) {
	o.Effects = append(o.Effects, effect.Send{To: to, Message: m})
}

func (o *Out) log(e effect.Log) { o.Effects = append(o.Effects, e) }

// Owner holds the queues, the targets' use and the running requests.
type Owner struct {
	term         uint64
	policy       policy
	began        model.Time
	fenced       bool
	fencedAt     model.Time
	rules        *rules.Rules
	requests     map[model.RequestID]*request
	byGateway    map[model.HostID]map[model.RequestID]*request
	runs         map[runID]*run
	services     map[model.ServiceID]*service
	servicesByID []*service // all, by id
	targets      map[model.TargetID]*target
	teams        map[model.TeamID]*team
	runTimes     map[model.QueueID]*runTimeStats
	timers       *pq.Queue[timerID, timer, struct{}]
	ended        map[model.RequestID]model.Time // end of the latest run
	endedFIFO    []endedRun
	lastLogged   map[effect.Log]model.Time         // events that are logged seldom, by their last line
	orphans      map[fleet.ClaimID]model.RequestID // held claims without a request at the last sweep

	// unknownSlots is the bound on requests that may run on targets that have
	// not reported since the fence.
	unverifiedSlots int
	dispatchSeq     uint64
}

// New returns the owner of all queues for a term. Targets registered in the
// fleet state are known from the start.
func New(env Env, term uint64) *Owner {
	o := &Owner{
		term:      term,
		policy:    policyNamed(env.Policy),
		began:     env.Now,
		requests:  make(map[model.RequestID]*request),
		byGateway: make(map[model.HostID]map[model.RequestID]*request),
		runs:      make(map[runID]*run),
		services:  make(map[model.ServiceID]*service),
		targets:   make(map[model.TargetID]*target),
		teams:     make(map[model.TeamID]*team),
		runTimes:  make(map[model.QueueID]*runTimeStats),
		timers:    pq.New[timerID, timer, struct{}](timer.before),
		ended:     make(map[model.RequestID]model.Time),
	}
	o.rules = env.Fleet.Rules
	for _, id := range model.SortedKeys(env.Fleet.Targets) {
		t := o.addTarget(env, env.Fleet.Targets[id])
		t.verified = false
		o.unverifiedSlots += t.reg.Slots
	}
	return o
}

// Ready reports whether the fence has passed.
func (o *Owner) Ready() bool { return o.fenced }

// RequestsRunning returns the running requests of a team, including those that
// may run unseen on targets that have not reported since the fence.
func (o *Owner) RequestsRunning(id model.TeamID) int {
	n := o.unverifiedSlots
	if t := o.teams[id]; t != nil {
		n += t.running
	}
	return n
}

func (o *Owner) team(id model.TeamID) *team {
	t := o.teams[id]
	if t == nil {
		t = &team{id: id, retryTokens: retryBurst}
		o.teams[id] = t
	}
	return t
}

func (o *Owner) service(id model.ServiceID) *service {
	s := o.services[id]
	if s == nil {
		s = newService(id, o.policy)
		o.services[id] = s
		o.servicesByID = append(o.servicesByID, s)
		slices.SortFunc(o.servicesByID, func(a, b *service) int { return cmp.Compare(a.id, b.id) })
		s.maxRun = o.maxRunOf(id)
	}
	return s
}

// FleetChanged adapts to a change of rules, hosts or targets.
func (o *Owner) FleetChanged(env Env, out *Out) {
	if o.rules != env.Fleet.Rules {
		o.rules = env.Fleet.Rules
		for _, s := range o.servicesByID {
			s.maxRun = o.maxRunOf(s.id)
		}
		o.refuseRemoved(env, out)
		o.rankAllTeams(env)
	}
	for _, id := range model.SortedKeys(o.targets) {
		o.updateUsable(env, o.targets[id])
	}
	o.dispatchAll(env, out)
}

// refuseOrphans refuses waiting requests whose queue or team is gone.
func (o *Owner) refuseRemoved(env Env, out *Out) {
	for _, id := range model.SortedKeys(o.requests) {
		r := o.requests[id]
		if r.state != stateQueued && r.state != stateDelayed {
			continue
		}
		queue, known := o.rules.Queues[r.ask.Queue]
		_, team := o.rules.Teams[r.ask.Team]
		switch {
		case !known:
			o.refuse(env, out, r, problem.New(problem.UnknownQueue, "queue %s was removed", r.ask.Queue))
		case !team:
			o.refuse(env, out, r, problem.New(problem.UnknownTeam, "team %s was removed", r.ask.Team))
		case r.state == stateQueued && (queue.Service != r.service.id || o.rank(env, queue, r) != r.rank):
			o.dequeue(env, r)
			o.enqueue(env, r)
		}
	}
}

// Committed handles the result of a command that the owner proposed, or of any
// command that changes what it works with.
func (o *Owner) Committed(env Env, out *Out, c *fleet.Command, result fleet.Result) {
	switch {
	case c.Claim != nil:
		o.claimCommitted(env, out, c.Claim, result)
	case c.Complete != nil:
		o.settle(env, out, c.Complete.Request)
	case c.Release != nil:
		o.settle(env, out, c.Release.Request)
	case c.RegisterTarget != nil:
		o.targetRegistered(env, out, c.RegisterTarget.Target)
	case c.RemoveTarget != nil:
		o.targetRemoved(env, out, c.RemoveTarget)
	case c.ApplyRules != nil && result.Problem == nil, c.PlanHost != nil, c.ReportHost != nil:
		o.FleetChanged(env, out)
	case c.EndTask != nil:
		o.rankAllTeams(env)
		o.dispatchAll(env, out)
	}
}
