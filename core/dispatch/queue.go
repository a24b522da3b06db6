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
	// admitMargin is the part of the patience that the expected wait of an
	// arriving request of mean worth may take. It changes by admitSlope for each
	// mean of worth above or below, between admitMin and admitMax, so that a
	// full queue admits what is worth most. It stays below the patience, so that
	// a request that was admitted is rarely refused later.
	admitMargin = 0.85
	admitSlope  = 0.6
	admitMin    = 0.5
	admitMax    = 0.95
	// keepMargin is the part of the patience left that the expected wait of a
	// waiting request may take.
	waitingMargin = 1.0
	// worthWeight is the weight of a new request in the mean worth.
	worthWeight = 0.05
)

// rank orders the waiting requests of one team for one service. It does not
// change while a request waits.
type rank struct {
	precedence int
	key        model.Time // the policy's, smaller goes first
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

// service holds the waiting requests and the usable targets of one service.
type service struct {
	id          model.ServiceID
	waiting     map[model.TeamID]*pq.Queue[model.RequestID, rank, *request]
	eligible    *pq.Queue[model.TeamID, teamRank, *request] // first waiting request of each team under its limit
	lanes       map[laneID]*lane
	laneIDs     []laneID // keys of lanes, sorted
	usable      map[model.DataCentreID]*pq.Queue[model.TargetID, targetLoad, *target]
	dataCentres []model.DataCentreID // keys of usable, sorted
	slots       int                  // of usable or full targets
	targetCount int                  // registered
	runTimes    runTimeStats         // of all its queues
	maxRun      model.Duration       // longest run of its queues
}

// team is one team's use of the fleet's targets.
type team struct {
	id          model.TeamID
	running     int        // requests that count as running
	services    []*service // in which it has a queue
	retryTokens float64
	retryAt     model.Time // of the last refill
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

// enqueue puts a request into the queue of its service.
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
	if at := o.policy.agesAt(queue, r); at > env.Now {
		o.timers.Set(timerID{kind: timerAging, request: r.ask.Request}, timer{at: at}, struct{}{})
	}
}

// age moves a waiting request to the highest precedence.
func (o *Owner) promote(env Env, id model.RequestID) {
	if r := o.requests[id]; r != nil && r.state == stateQueued {
		o.dequeue(env, r)
		o.enqueue(env, r)
	}
}

// precedences is the number of values of a precedence.
const precedenceLevels = 10

func clampPrecedence(p int) int { return min(max(p, 0), precedenceLevels-1) }

// unqueue takes a request out of the queue if it is in it.
func (o *Owner) dequeue(env Env, r *request) {
	if r.service == nil || r.service.waiting[r.ask.Team] == nil {
		return
	}
	if r.service.waiting[r.ask.Team].Remove(r.ask.Request) {
		o.lane(r.service, r.ask.Team, r.rank.precedence).waiting.Remove(r.rank)
		o.rankTeamIn(env, r.service, r.ask.Team)
	}
}

// pump dispatches requests of a service as long as one may start.
func (o *Owner) dispatchService(env Env, out *Out, s *service) {
	if s == nil || !o.fenced {
		return
	}
	for {
		_, _, r, ok := s.eligible.Peek()
		if !ok {
			return
		}
		if !o.underLimit(env, r.ask.Team) || !o.policy.mayStart(o.usage(r.ask.Team)) {
			s.eligible.Remove(r.ask.Team) // until its running work changes
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

func (o *Owner) dispatchAll(env Env, out *Out) {
	for _, s := range o.servicesByID {
		o.dispatchService(env, out, s)
	}
}

// serves reports whether a gateway may start requests: it holds a lease of this
// term, to which a dispatch can refer.
func (o *Owner) holdsLease(env Env, gateway model.HostID) bool {
	return env.Granter.Session(gateway) != nil && env.Granter.Serving(env.Now, gateway)
}

// start gives a request its slot, and dispatches it once it holds its claim.
func (o *Owner) assign(env Env, out *Out, r *request, t *target) {
	o.dequeue(env, r)
	o.timers.Remove(timerID{kind: timerDeadline, request: r.ask.Request})
	r.attempt++
	for o.runs[runID{r.ask.Request, r.attempt}] != nil {
		r.attempt++ // an attempt from before its gateway's lease ended
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

// dispatch lets the gateway forward the request.
func (o *Owner) dispatch(env Env, out *Out, r *request) {
	r.state = stateDispatched
	r.run.startBy = env.Now.Add(StartBy)
	r.run.deadline = r.run.startBy.Add(o.rules.Queues[r.ask.Queue].MaxRun)
	o.setLostTimer(r)
	o.sendDispatch(env, out, r)
}

// armLost sets the time by which the gateway has reported the end of a
// dispatched request, even if its messages were lost for a while.
func (o *Owner) setLostTimer(r *request) {
	o.timers.Set(timerID{kind: timerReportLost, request: r.ask.Request}, timer{at: r.run.deadline.Add(LostAfter)}, struct{}{})
}

func (o *Owner) sendDispatch(env Env, out *Out, r *request) {
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

// tooLate refuses a request that cannot start within its patience, by the
// learned run times of the requests that go before it. A refusal at once lets
// the caller act; a refusal at the end of its patience wastes that time.
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
	if at := o.policy.agesAt(queue, r); at != 0 && env.Now >= at {
		precedence = precedenceLevels - 1
	}
	return rank{precedence, o.policy.orderKey(queue, r), r.ask.Request}
}
