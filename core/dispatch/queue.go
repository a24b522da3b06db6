package dispatch

import (
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// Parameters of the queue order and of early refusal.
const (
	// admitMargin is the largest expected wait, as a part of the patience, with
	// which an arriving request of mean worth is admitted. The margin changes by
	// admitSlope for each multiple of the mean worth above or below 1, between
	// admitMin and admitMax, so that a full queue admits the requests of highest
	// worth. admitMax is below 1, so that an admitted request is rarely refused
	// later.
	admitMargin = 0.85
	admitSlope  = 0.6
	admitMin    = 0.5
	admitMax    = 0.95
	// waitingMargin is the largest expected wait of a waiting request, as a part
	// of its remaining patience, with which it stays in the queue.
	waitingMargin = 1.0
	// worthWeight is the weight of a new request in the moving average of the
	// worth.
	worthWeight = 0.05
)

// rank is the sort key of a waiting request among those of its team and service.
// It is immutable while the request is in the queue.
type rank struct {
	precedence int
	key        model.Time // policy.orderKey; smaller goes first
	id         model.RequestID
}

func (a rank) before(b rank) bool {
	if a.precedence != b.precedence {
		return a.precedence > b.precedence
	}
	if a.key != b.key {
		return a.key < b.key
	}
	return a.id < b.id
}

// service holds the waiting requests and the targets of one service.
type service struct {
	id          model.ServiceID
	waiting     map[model.TeamID]*pq.Queue[model.RequestID, rank, *request]
	eligible    *pq.Queue[model.TeamID, teamRank, *request] // first waiting request of each team below its limit
	lanes       map[laneID]*lane
	laneIDs     []laneID // keys of lanes, sorted
	usable      map[model.DataCentreID]*pq.Queue[model.TargetID, targetLoad, *target]
	dataCentres []model.DataCentreID // keys of usable, sorted
	slots       int                  // of available targets, including full and paused ones
	targetCount int                  // registered
	runTimes    runTimeStats         // over all queues of the service
	maxRun      model.Duration       // largest MaxRun of its queues
}

// team is the state of one team: its running requests, its queues and its retry
// budget.
type team struct {
	id          model.TeamID
	running     int        // requests counted as running
	services    []*service // for which the team has had waiting requests
	retryTokens float64
	retryAt     model.Time // last refill of retryTokens
}

func newService(id model.ServiceID, p policy) *service {
	return &service{
		id:       id,
		waiting:  make(map[model.TeamID]*pq.Queue[model.RequestID, rank, *request]),
		lanes:    make(map[laneID]*lane),
		eligible: pq.New[model.TeamID, teamRank, *request](p.teamBefore),
		usable:   make(map[model.DataCentreID]*pq.Queue[model.TargetID, targetLoad, *target]),
	}
}

// enqueue adds a request to the queue of its service and starts its timers.
func (o *Owner) enqueue(env Env, r *request) {
	queue := o.rules.Queues[r.ask.Queue]
	s := o.service(queue.Service)
	r.service = s
	r.state = stateQueued
	r.rank = o.rank(env, queue, r)
	q := s.waiting[r.ask.Team]
	if q == nil {
		q = pq.New[model.RequestID, rank, *request](o.policy.requestBefore)
		s.waiting[r.ask.Team] = q
		t := o.team(r.ask.Team)
		t.services = append(t.services, s)
	}
	q.Set(r.ask.Request, r.rank, r)
	o.rankTeamIn(env, s, r.ask.Team)
	o.lane(s, r.ask.Team, r.rank.precedence).insert(o, r)
	o.timers.Set(timerID{kind: timerDeadline, request: r.ask.Request}, timer{at: r.deadline}, struct{}{})
	if at := o.policy.promotionTime(queue, r); at > env.Now {
		o.timers.Set(timerID{kind: timerPromotion, request: r.ask.Request}, timer{at: at}, struct{}{})
	}
}

// promote moves a waiting request to the highest precedence.
func (o *Owner) promote(env Env, id model.RequestID) {
	if r := o.requests[id]; r != nil && r.state == stateQueued {
		o.dequeue(env, r)
		o.enqueue(env, r)
	}
}

// precedenceLevels is the number of precedence values, which start at 0.
const precedenceLevels = 10

func clampPrecedence(p int) int { return min(max(p, 0), precedenceLevels-1) }

// dequeue removes a request from its queue, if it is in one.
func (o *Owner) dequeue(env Env, r *request) {
	if r.service == nil || r.service.waiting[r.ask.Team] == nil {
		return
	}
	if r.service.waiting[r.ask.Team].Remove(r.ask.Request) {
		o.lane(r.service, r.ask.Team, r.rank.precedence).waiting.Remove(r.rank)
		o.rankTeamIn(env, r.service, r.ask.Team)
	}
}

// dispatchService starts waiting requests of a service, in order, until none may
// start or no target is free.
func (o *Owner) dispatchService(env Env, out *Output, s *service) {
	if s == nil || !o.fenced {
		return
	}
	for {
		_, _, r, ok := s.eligible.Peek()
		if !ok {
			return
		}
		if !o.underLimit(env, r.ask.Team) || !o.policy.mayStart(o.usage(r.ask.Team)) {
			s.eligible.Remove(r.ask.Team) // rankTeam adds it again when its running work changes
			continue
		}
		if env.Now >= r.deadline {
			o.refuse(env, out, r, o.patienceProblem(r))
			continue
		}
		if !o.holdsLease(env, r.gateway) {
			o.delay(env, r, RetryDelayMin)
			continue
		}
		t := o.pickTarget(s, env.Fleet.Members[r.gateway].DataCentre)
		if t == nil {
			return
		}
		o.assign(env, out, r, t)
	}
}

func (o *Owner) dispatchAll(env Env, out *Output) {
	for _, s := range o.servicesByID {
		o.dispatchService(env, out, s)
	}
}

// holdsLease reports whether a gateway may start requests: it holds a serving lease
// of this term, and has a session, whose last renewal a dispatch refers to.
func (o *Owner) holdsLease(env Env, gateway model.HostID) bool {
	return env.Granter.Session(gateway) != nil && env.Granter.Serving(env.Now, gateway)
}

// assign reserves a slot of t for a request. An idempotent request, or one that
// holds its claim, is dispatched at once. For any other request the claim is proposed,
// and the request is dispatched when the claim is committed.
func (o *Owner) assign(env Env, out *Output, r *request, t *target) {
	o.dequeue(env, r)
	o.timers.Remove(timerID{kind: timerDeadline, request: r.ask.Request})
	r.attempt++
	for o.runs[runID{r.ask.Request, r.attempt}] != nil {
		r.attempt++ // number in use by an attempt from before its gateway lost its lease
	}
	deadline := env.Now.Add(StartBy + o.rules.Queues[r.ask.Queue].MaxRun)
	r.run = o.startRun(env, runID{r.ask.Request, r.attempt}, r.ask.Team, t, deadline)
	if r.ask.Idempotent || r.claimed {
		o.dispatch(env, out, r)
		return
	}
	r.state = stateClaiming
	o.proposeClaim(env, out, r)
}

// dispatch permits the gateway to forward the request.
func (o *Owner) dispatch(env Env, out *Output, r *request) {
	r.state = stateDispatched
	r.run.startBy = env.Now.Add(StartBy)
	r.run.deadline = r.run.startBy.Add(o.rules.Queues[r.ask.Queue].MaxRun)
	o.setEndReportTimer(r)
	o.sendDispatch(env, out, r)
}

// setEndReportTimer sets the time by which the gateway must have reported the end of a
// dispatched request. EndReportTimeout leaves time to repeat messages that are lost.
func (o *Owner) setEndReportTimer(r *request) {
	o.timers.Set(timerID{kind: timerEndReport, request: r.ask.Request}, timer{at: r.run.deadline.Add(EndReportTimeout)}, struct{}{})
}

func (o *Owner) sendDispatch(env Env, out *Output, r *request) {
	t := r.run.target
	session := env.Granter.Session(r.gateway)
	if session == nil {
		return
	}
	out.send(r.gateway, message.Message{Dispatch: &message.Dispatch{
		Term: o.term, Request: r.ask.Request, Gateway: r.ask.Inc, Attempt: r.attempt,
		Target: t.reg.ID, Inc: t.reg.Incarnation, Address: t.reg.Address, Ticket: t.seq,
		Claimed: r.claimed, Renewal: session.LastSeq, StartBy: r.run.startBy.Sub(session.LastRenew), MaxRun: o.rules.Queues[r.ask.Queue].MaxRun,
	}})
}

// checkAdmission returns a problem for an arriving request that is not expected to
// start within its patience, as estimated from the measured run times of the requests
// ahead of it. A caller that is refused at once can act at once; one that is refused
// at the end of its patience has waited in vain.
func (o *Owner) checkAdmission(env Env, queue rules.Queue, r *request) *problem.Problem {
	s := o.services[queue.Service]
	if s == nil || !o.hasRunTimes(s, r.ask.Queue) || s.slots == 0 || !o.fenced {
		return nil
	}
	place := o.rank(env, queue, r)
	l := o.lane(s, r.ask.Team, place.precedence)
	estimate := waitEstimate{
		patience:  r.ask.Patience,
		wait:      l.wait(place),
		worth:     l.relativeWorth(r.ask.Worth),
		overnight: queue.Overnight,
	}
	if !o.policy.refusesArrival(estimate) {
		return nil
	}
	return o.expectedWaitProblem(s, estimate)
}

func (o *Owner) rank(env Env, queue rules.Queue, r *request) rank {
	precedence := clampPrecedence(queue.Precedence)
	if at := o.policy.promotionTime(queue, r); at != 0 && env.Now >= at {
		precedence = precedenceLevels - 1
	}
	return rank{precedence, o.policy.orderKey(queue, r), r.ask.Request}
}
