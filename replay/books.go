package replay

import (
	"cmp"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/rulesfile"
)

// The invariants that a replay sees, by their names in outcome files.
const (
	InvariantTeamLimit   = "team_limit"   // starts above a team's upper limit
	InvariantAtMostOnce  = "at_most_once" // further starts of a non-idempotent request
	InvariantCentreOut   = "centre_out"   // starts in a data centre over outGrace after it was taken out
	InvariantLeaving     = "leaving"      // starts on a target over leaveGrace after it said that it leaves
	InvariantNotRun      = "not_run"      // refusals that say "not run" of a request that was started
	InvariantAnswers     = "answers"      // requests that were not answered exactly once
	InvariantOperators   = "operators"    // changes of operators that were refused
	InvariantOvercommits = "overcommits"  // requests sent to a target without a free slot
	InvariantBudgets     = "budgets"      // looks at a pool with more hosts in planned changes than its budget
	InvariantPools       = "pools"        // looks at a host that is in no pool of the rules
)

// Times after which a start counts against an invariant.
const (
	outGrace   = 3 * model.Second
	leaveGrace = 2 * model.Second
)

// request is one request and what came of it.
type request struct {
	*Arrive
	service    model.ServiceID
	overnight  bool
	arrived    model.Time
	began      model.Time // first start on a target, or zero
	starts     int
	forwards   int
	running    *run
	runs       []*run
	answered   model.Time
	answers    int
	kind       problem.Kind // of a refusal
	status     int          // of the last answer of a target
	abandoned  model.Time
	demandEnds bool // no longer counts as demand
}

// latest is the end of the request's patience.
func (r *request) latest() model.Time { return r.arrived.Add(r.Patience.Duration()) }

// done reports whether the caller got the answer of a complete run.
func (r *request) done() bool { return r.answers > 0 && r.kind == "" && r.status < 400 }

type taskBook struct {
	Task
	submitted  model.Time
	began      model.Time // first start on a worker, or zero
	starts     int
	finished   bool
	cancelled  bool
	ended      model.Time     // when it finished, or zero
	progress   model.Duration // that checkpoints have saved
	interrupts int            // runs that were stopped by order
	lost       model.Duration // run time that was lost by that
}

// centreChange is the loss or return of a data centre, or its being taken out
// or brought back by operators.
type centreChange struct {
	at   model.Time
	id   model.DataCentreID
	lost bool
}

// use names a team's part of a service.
type use struct {
	team    model.TeamID
	service model.ServiceID
}

// books is what a replay notes.
type books struct {
	Inputs      int
	Overcommits int
	Refused     []string
	Centres     []centreChange
	requests    map[model.RequestID]*request
	order       []*request
	keys        map[string]int // starts by idempotency key
	tasks       map[model.TaskID]*taskBook
	unanswered  int
	running     map[use]int
	teams       map[model.TeamID]int // running requests
	demand      map[use]int          // waiting and running requests
	violations  map[string]int
	samples     []sample
	hosts       *hostBooks
	taskLooks   []taskLook
}

func newBooks() *books {
	return &books{
		requests: make(map[model.RequestID]*request), keys: make(map[string]int),
		tasks: make(map[model.TaskID]*taskBook), running: make(map[use]int),
		teams: make(map[model.TeamID]int), demand: make(map[use]int), violations: make(map[string]int),
		hosts: newHostBooks(),
	}
}

func (e *engine) arrive(a *Arrive) error {
	queue, known := e.rules.Queues[a.Queue]
	if !known || e.books.requests[a.ID] != nil {
		return errors.Errorf("request %s has an unknown queue or was there before", a.ID)
	}
	r := &request{Arrive: a, service: queue.Service, overnight: queue.Overnight, arrived: e.now}
	e.books.requests[a.ID] = r
	e.books.order = append(e.books.order, r)
	e.books.unanswered++
	e.books.demand[r.use()]++
	arrival := event.Request{
		ID: a.ID, Team: a.Team, Queue: a.Queue, Idempotent: a.Idempotent,
		Worth: a.Worth, Patience: a.Patience.Duration(),
	}
	if !a.Idempotent {
		arrival.Key = rulesfile.Hash([]byte(r.key()))
		arrival.Body = rulesfile.Hash([]byte(a.Queue))
	}
	e.post(event.RequestArrived{Request: arrival})
	return nil
}

func (r *request) use() use { return use{r.Team, r.service} }

func (r *request) key() string { return cmp.Or(r.Key, string(r.ID)) }

// endDemand ends the request's part in the demand once.
func (b *books) endDemand(r *request) {
	if !r.demandEnds && r.running == nil {
		r.demandEnds = true
		b.demand[r.use()]--
	}
}

func (e *engine) abandon(id model.RequestID) {
	r := e.books.requests[id]
	if r == nil || r.answers > 0 || r.abandoned != 0 {
		return
	}
	r.abandoned = e.now
	e.books.unanswered--
	e.books.endDemand(r)
	e.post(event.RequestAbandoned{Request: id})
}

// answered notes the answer to a caller.
func (e *engine) answered(f effect.AnswerRequest) {
	r := e.books.requests[f.Request]
	r.answers++
	if r.answers > 1 || r.abandoned != 0 {
		e.books.violations[InvariantAnswers]++
		return
	}
	r.answered = e.now
	e.books.unanswered--
	if f.Problem != nil {
		r.kind = f.Problem.Kind
		if problem.Lookup(r.kind).Ran == problem.RanNo && r.starts > 0 {
			e.books.violations[InvariantNotRun]++
		}
	}
	e.books.endDemand(r)
}

// runBegan notes a start on a target and checks it.
func (e *engine) runBegan(r *run) {
	q, b := r.request, e.books
	r.began = e.now
	q.runs = append(q.runs, r)
	q.running = r
	q.starts++
	if q.began == 0 {
		q.began = e.now
	}
	if !q.Idempotent {
		if b.keys[q.key()]++; b.keys[q.key()] > 1 {
			b.violations[InvariantAtMostOnce]++
		}
	}
	b.running[q.use()]++
	b.teams[q.Team]++
	e.checkLimit(q.Team)
	e.checkCentre(r.target.reg.DataCentre)
	if t := r.target; t.state == TargetLeaving && e.now > t.leftAt.Add(leaveGrace) {
		b.violations[InvariantLeaving]++
	}
}

// checkCentre counts a start in a data centre that is out.
func (e *engine) checkCentre(id model.DataCentreID) {
	if out := e.outSince(id); out != 0 && e.now > out.Add(outGrace) {
		e.books.violations[InvariantCentreOut]++
	}
}

func (e *engine) checkLimit(team model.TeamID) {
	if e.books.teams[team]+e.tasksRunning(team) > e.rules.Teams[team].Limit {
		e.books.violations[InvariantTeamLimit]++
	}
}

// runEnded notes the end of a run on its target.
func (e *engine) runEnded(r *run, good bool) {
	q := r.request
	r.ended, r.good = e.now, good
	q.running = nil
	e.books.running[q.use()]--
	e.books.teams[q.Team]--
	if q.answers > 0 || q.abandoned != 0 {
		e.books.endDemand(q)
	}
}

// taskBegan notes a start of a task. One that resumes repeats nothing.
func (e *engine) taskBegan(w *worker, t *taskBook, resumes bool) {
	e.checkCentre(w.DataCentre)
	if !resumes {
		t.starts++
	}
	if t.began == 0 {
		t.began = e.now
	}
	if !t.Idempotent && t.starts > 1 {
		e.books.violations[InvariantAtMostOnce]++
	}
	e.checkLimit(t.Team)
}

// tasksRunning counts the running tasks of a team on all workers.
func (e *engine) tasksRunning(team model.TeamID) int {
	n := 0
	for _, w := range e.workers {
		for id, t := range w.tasks {
			if t.phase == message.RunRunning && e.books.tasks[id].Team == team {
				n++
			}
		}
	}
	return n
}

// checkEnd notes what is only known at the end.
func (b *books) checkEnd() {
	for _, r := range b.order {
		if r.answers == 0 && r.abandoned == 0 {
			b.violations[InvariantAnswers]++
		}
	}
	b.violations[InvariantOperators] = len(b.Refused)
	b.violations[InvariantOvercommits] = b.Overcommits
}

// policyName gives the default policy its name.
func policyName(p dispatch.PolicyName) dispatch.PolicyName { return cmp.Or(p, dispatch.PolicyShares) }
