// Package dispatch implements the owner of the request queues. It decides which
// request is sent to which target and when, within the slots of the targets and the
// limits of the teams.
//
// An Owner exists for one term of the leader and starts without requests. Gateways
// ask for targets for the requests they hold and list those they have forwarded;
// targets list the requests they run. Nothing is dispatched until the fence has
// passed, that is, until every earlier serving lease has ended or belongs to a host
// that has reported. A target that was registered before the term is unverified at
// first: all its slots count as running, for every team. That ends when the target
// reports that it knows the owner's term, when it sends a report that was sampled
// after FlightTime had passed since the fence, or when the longest run of its service
// that could have started before the fence is over.
//
// A request counts as running from its dispatch (or the proposal of its claim) until
// its end is known: from the gateway, which received the whole answer or did not
// start the request, or from a report that the target sampled after the last moment
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

// Time limits and counts.
const (
	// StartBy is the time after a dispatch within which the gateway may start the
	// attempt.
	StartBy = 1000 * model.Millisecond
	// FlightTime is the longest time for which bytes sent to a target can still
	// arrive. It equals the TCP user timeout of the connection.
	FlightTime = 2000 * model.Millisecond
	// ClockMargin covers the drift between two clocks over the times above: 1% of up
	// to 4 s, rounded up.
	ClockMargin = 50 * model.Millisecond
	// clockRate is the inverse of the maximum drift between two clocks, 1%.
	clockRate = 100
	// SilenceTimeout is the time without a report after which a target gets no new
	// requests.
	SilenceTimeout = 2000 * model.Millisecond
	// RemovalMargin is added to SilenceTimeout and the longest run of the service to
	// get the time after which a silent target is removed.
	RemovalMargin = 10 * model.Second
	// EndReportTimeout is how long after the deadline of a dispatched request its
	// gateway may take to report the end. The gateway repeats each message every 500 ms.
	EndReportTimeout = 5 * model.Second
	// RetryDelayMin and RetryDelayMax bound the exponential backoff before the next
	// attempt of a request, and before the next use of a failing target.
	RetryDelayMin = 50 * model.Millisecond
	RetryDelayMax = 5 * model.Second
	// AttemptsMax is the number of attempts after which a request is refused if the
	// outcome of its last attempt is unknown.
	AttemptsMax = 4
	// EndedRetention is how long an ended run is remembered, so that a report that was
	// sampled before its end does not make it count as a new run.
	EndedRetention = 30 * model.Second
)

// Env is the input that the owner may read while it handles an event.
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

// Output collects the effects and the proposed commands of the owner.
type Output struct {
	Effects   []effect.Effect
	Proposals []fleet.Command
}

func (o *Output) send(to model.HostID, m message.Message) {
	o.Effects = append(o.Effects, effect.Send{To: to, Message: m})
}

func (o *Output) log(e effect.Log) { o.Effects = append(o.Effects, e) }

// Owner holds the queues, the targets and the running requests of one term.
type Owner struct {
	term           uint64
	policy         policy
	termStart      model.Time
	fenced         bool
	fencedAt       model.Time
	rules          *rules.Rules
	requests       map[model.RequestID]*request
	byGateway      map[model.HostID]map[model.RequestID]*request
	runs           map[runID]*run
	services       map[model.ServiceID]*service
	servicesByID   []*service // all services, sorted by id
	targets        map[model.TargetID]*target
	teams          map[model.TeamID]*team
	runTimes       map[model.QueueID]*runTimeStats
	timers         *pq.Queue[timerID, timer, struct{}]
	ended          map[model.RequestID]model.Time // end of the latest run of a request
	endedFIFO      []endedRun
	lastLogged     map[effect.Log]model.Time         // when each rate-limited event was last logged
	orphanedClaims map[fleet.ClaimID]model.RequestID // held claims without a request at the last sweep

	// unverifiedSlots is the number of slots of unverified targets. It bounds the
	// requests of earlier owners that may still run on them.
	unverifiedSlots int
	dispatchSeq     uint64
}

// New returns the owner of all queues for a term. The targets that are registered in
// the fleet state are unverified at first.
func New(env Env, term uint64) *Owner {
	o := &Owner{
		term:      term,
		policy:    policyNamed(env.Policy),
		termStart: env.Now,
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

// RequestsRunning returns the running requests of a team. It includes all slots of
// unverified targets, on which requests of earlier owners may run.
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

// FleetChanged handles a change of rules, hosts or targets.
func (o *Owner) FleetChanged(env Env, out *Output) {
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

// refuseRemoved refuses waiting requests whose queue or team was removed, and queues
// those again whose service or rank has changed.
func (o *Owner) refuseRemoved(env Env, out *Output) {
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

// Committed handles a committed command and its result: one that the owner proposed,
// or another one that affects the owner's state.
func (o *Owner) Committed(env Env, out *Output, c *fleet.Command, result fleet.Result) {
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
