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
	keepMargin = 1.0
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
	id      model.ServiceID
	waiting map[model.TeamID]*pq.Queue[model.RequestID, rank, *request]
	ready   *pq.Queue[model.TeamID, turn, *request] // first waiting request of each team under its limit
	lanes   map[laneID]*lane
	laneIDs []laneID // keys of lanes, sorted
	usable  map[model.DataCentreID]*pq.Queue[model.TargetID, load, *target]
	centres []model.DataCentreID // keys of usable, sorted
	slots   int                  // of usable or full targets
	targets int                  // registered
	runs    queueStats           // of all its queues
	longest model.Duration       // longest run of its queues
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
		id:      id,
		waiting: make(map[model.TeamID]*pq.Queue[model.RequestID, rank, *request]),
		lanes:   make(map[laneID]*lane),
		ready:   pq.New[model.TeamID, turn, *request](p.among),
		usable:  make(map[model.DataCentreID]*pq.Queue[model.TargetID, load, *target]),
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
		q = pq.New[model.RequestID, rank, *request](o.policy.within)
		s.waiting[r.ask.Team] = q
		t := o.team(r.ask.Team)
		t.services = append(t.services, s)
	}
	q.Set(r.ask.Request, r.rank, r)
	o.orderIn(env, s, r.ask.Team)
	o.lane(s, r.ask.Team, r.rank.precedence).join(o, r)
	o.timers.Set(timerID{kind: timerDeadline, request: r.ask.Request}, timer{at: r.deadline}, struct{}{})
	if at := o.policy.agesAt(queue, r); at > env.Now {
		o.timers.Set(timerID{kind: timerAge, request: r.ask.Request}, timer{at: at}, struct{}{})
	}
}

// age moves a waiting request to the highest precedence.
func (o *Owner) age(env Env, id model.RequestID) {
	if r := o.requests[id]; r != nil && r.state == stateQueued {
		o.unqueue(env, r)
		o.enqueue(env, r)
	}
}

// precedences is the number of values of a precedence.
const precedences = 10

func clampPrecedence(p int) int { return min(max(p, 0), precedences-1) }

// unqueue takes a request out of the queue if it is in it.
func (o *Owner) unqueue(env Env, r *request) {
	if r.service == nil || r.service.waiting[r.ask.Team] == nil {
		return
	}
	if r.service.waiting[r.ask.Team].Remove(r.ask.Request) {
		o.lane(r.service, r.ask.Team, r.rank.precedence).waiting.Remove(r.rank)
		o.orderIn(env, r.service, r.ask.Team)
	}
}

// pump dispatches requests of a service as long as one may start.
func (o *Owner) pump(env Env, out *Out, s *service) {
	if s == nil || !o.fenced {
		return
	}
	for {
		_, _, r, ok := s.ready.Peek()
		if !ok {
			return
		}
		if !o.underLimit(env, r.ask.Team) || !o.policy.mayStart(o.use(r.ask.Team)) {
			s.ready.Remove(r.ask.Team) // until its running work changes
			continue
		}
		if env.Now >= r.deadline {
			o.refuse(env, out, r, o.impatience(r))
			continue
		}
		if !o.serves(env, r.gateway) {
			o.delay(env, r, RetryDelayMin)
			continue
		}
		t := o.pick(s, env.Fleet.Members[r.gateway].DataCentre)
		if t == nil {
			return
		}
		o.start(env, out, r, t)
	}
}

func (o *Owner) pumpAll(env Env, out *Out) {
	for _, s := range o.ordered {
		o.pump(env, out, s)
	}
}

// serves reports whether a gateway may start requests: it holds a lease of this
// term, to which a dispatch can refer.
func (o *Owner) serves(env Env, gateway model.HostID) bool {
	return env.Granter.Session(gateway) != nil && env.Granter.Serving(env.Now, gateway)
}

// start gives a request its slot, and dispatches it once it holds its claim.
func (o *Owner) start(env Env, out *Out, r *request, t *target) {
	o.unqueue(env, r)
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
	o.armLost(r)
	o.sendDispatch(env, out, r)
}

// armLost sets the time by which the gateway has reported the end of a
// dispatched request, even if its messages were lost for a while.
func (o *Owner) armLost(r *request) {
	o.timers.Set(timerID{kind: timerLost, request: r.ask.Request}, timer{at: r.run.deadline.Add(LostAfter)}, struct{}{})
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
func (o *Owner) tooLate(env Env, queue rules.Queue, r *request) *problem.Problem {
	s := o.services[queue.Service]
	if s == nil || !o.learned(s, r.ask.Queue) || s.slots == 0 || !o.fenced {
		return nil
	}
	place := o.rank(env, queue, r)
	l := o.lane(s, r.ask.Team, place.precedence)
	load := queueLoad{
		patience:  r.ask.Patience,
		wait:      l.wait(place),
		worth:     l.relativeWorth(r.ask.Worth),
		overnight: queue.Overnight,
	}
	if !o.policy.tooLate(load) {
		return nil
	}
	return o.cannotStart(s, load)
}

func (o *Owner) rank(env Env, queue rules.Queue, r *request) rank {
	precedence := clampPrecedence(queue.Precedence)
	if at := o.policy.agesAt(queue, r); at != 0 && env.Now >= at {
		precedence = precedences - 1
	}
	return rank{precedence, o.policy.key(queue, r), r.ask.Request}
}
