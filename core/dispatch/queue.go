package dispatch

import (
	"cmp"
	"math"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// Parameters of the queue order and of early refusal.
const (
	// worthBonus brings a request forward by this time for each doubling of
	// its worth.
	worthBonus = 2 * model.Second
	// samplesMin is the number of run times that must be known before a request
	// is refused early on their strength.
	samplesMin = 20
	// runTimeWeight is the weight of a new sample in the mean run time.
	runTimeWeight = 0.1
	// earlyMargin is the factor by which the expected wait must exceed the
	// patience for an early refusal, since run times vary around their mean.
	earlyMargin = 1.5
)

// rank orders the waiting requests of one team for one service. It does not
// change while a request waits.
type rank struct {
	precedence int
	key        model.Time // the latest start, brought forward by worth
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
	length  [10]int                                 // waiting requests by precedence
	usable  map[model.DataCentreID]*pq.Queue[model.TargetID, load, *target]
	centres []model.DataCentreID // keys of usable, sorted
	slots   int                  // of usable or full targets
	targets int                  // registered
	longest model.Duration       // longest run of its queues
}

// queueStats is what is learned of one queue.
type queueStats struct {
	samples int
	mean    model.Duration // run time
}

// team is one team's use of the fleet's targets.
type team struct {
	id          model.TeamID
	running     int        // requests that count as running
	services    []*service // in which it has a queue
	retryTokens float64
	retryAt     model.Time // of the last refill
}

func newService(id model.ServiceID) *service {
	return &service{
		id:      id,
		waiting: make(map[model.TeamID]*pq.Queue[model.RequestID, rank, *request]),
		ready:   pq.New[model.TeamID, turn, *request](turn.before),
		usable:  make(map[model.DataCentreID]*pq.Queue[model.TargetID, load, *target]),
	}
}

// enqueue puts a request into the queue of its service.
func (o *Owner) enqueue(env Env, r *request) {
	queue := o.rules.Queues[r.ask.Queue]
	s := o.service(queue.Service)
	r.service = s
	r.state = stateQueued
	bonus := model.Duration(math.Log2(1+max(0, r.ask.Worth)) * float64(worthBonus))
	r.rank = rank{clampPrecedence(queue.Precedence), r.deadline.Add(-bonus), r.ask.Request}
	q := s.waiting[r.ask.Team]
	if q == nil {
		q = pq.New[model.RequestID, rank, *request](rank.before)
		s.waiting[r.ask.Team] = q
		t := o.team(r.ask.Team)
		t.services = append(t.services, s)
	}
	q.Set(r.ask.Request, r.rank, r)
	o.orderIn(env, s, r.ask.Team)
	s.length[r.rank.precedence]++
	o.timers.Set(timerID{kind: timerDeadline, request: r.ask.Request}, timer{at: r.deadline}, struct{}{})
}

func clampPrecedence(p int) int { return min(max(p, 0), 9) }

// unqueue takes a request out of the queue if it is in it.
func (o *Owner) unqueue(env Env, r *request) {
	if r.service == nil || r.service.waiting[r.ask.Team] == nil {
		return
	}
	if r.service.waiting[r.ask.Team].Remove(r.ask.Request) {
		r.service.length[r.rank.precedence]--
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
		if !o.underLimit(env, r.ask.Team) {
			s.ready.Remove(r.ask.Team) // tasks were placed since
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

// learn updates the mean run time of a queue.
func (o *Owner) learn(id model.QueueID, d *message.Done) {
	if d.Outcome != message.OutcomeAnswered {
		return
	}
	s := o.queues[id]
	if s == nil {
		s = &queueStats{mean: d.RunTime}
		o.queues[id] = s
	}
	s.samples++
	s.mean += model.Duration(runTimeWeight * float64(d.RunTime-s.mean))
}

// tooLate refuses a request that cannot start within its patience, by the mean
// run time and the requests that go before it. A refusal at once lets the
// caller act; a refusal at the end of its patience wastes that time.
func (o *Owner) tooLate(env Env, queue rules.Queue, a *message.Ask) *problem.Problem {
	s, stats := o.services[queue.Service], o.queues[a.Queue]
	if s == nil || stats == nil || stats.samples < samplesMin || s.slots == 0 || !o.fenced {
		return nil
	}
	ahead := 0
	for p := clampPrecedence(queue.Precedence); p < len(s.length); p++ {
		ahead += s.length[p]
	}
	wait := model.Duration(float64(stats.mean) * float64(ahead) / float64(s.slots))
	if float64(wait) <= earlyMargin*float64(a.Patience) {
		return nil
	}
	p := problem.New(problem.PatienceExceeded, "%d requests wait and the expected wait is %.1f s", ahead, wait.Seconds())
	p.RetryAfter = min(max(wait-a.Patience, model.Second), 30*model.Second)
	return p
}

// sortedKeys returns the keys of m in order, so that iteration is the same in
// every replay.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
