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

// Invariants that a replay checks, by their names in outcome files.
const (
	InvariantTeamLimit   = "team_limit"   // starts above a team's upper limit
	InvariantAtMostOnce  = "at_most_once" // repeated starts of a non-idempotent request
	InvariantCentreOut   = "centre_out"   // starts in a data centre more than centreOutGrace after it was taken out
	InvariantLeaving     = "leaving"      // starts on a target more than leavingGrace after it reported leaving
	InvariantNotRun      = "not_run"      // "not run" refusals of a request that was started
	InvariantAnswers     = "answers"      // requests that were not answered exactly once
	InvariantOperators   = "operators"    // changes of operators that were refused
	InvariantOvercommits = "overcommits"  // requests sent to a target without a free slot
	InvariantBudgets     = "budgets"      // hosts in planned changes over the budget of their pool, summed over the samples
	InvariantPools       = "pools"        // samples of a host that is in no pool of the rules
)

// Grace periods after which a start counts as a violation.
const (
	centreOutGrace = 3 * model.Second
	leavingGrace   = 2 * model.Second
)

// request is a request of the trace and its history in the replay.
type request struct {
	*Arrive
	service     model.ServiceID
	overnight   bool
	arrivedAt   model.Time
	firstStart  model.Time // on a target; zero before it
	starts      int
	forwards    int
	running     *run
	runs        []*run
	answeredAt  model.Time
	answers     int
	kind        problem.Kind // of the refusal; empty if not refused
	status      int          // of the last response of a target
	abandonedAt model.Time
	demandEnded bool // it no longer counts as demand
}

// startBy returns the time at which the request's patience ends.
func (r *request) startBy() model.Time { return r.arrivedAt.Add(r.Patience.Duration()) }

// completed reports whether the caller got the response of a complete run.
func (r *request) completed() bool { return r.answers > 0 && r.kind == "" && r.status < 400 }

// taskRecord is a task of the trace and its history in the replay.
type taskRecord struct {
	Task
	submittedAt   model.Time
	firstStart    model.Time // on a worker; zero before it
	starts        int
	finished      bool
	cancelled     bool
	finishedAt    model.Time     // zero before it finished
	savedProgress model.Duration // run time that checkpoints saved
	interruptions int            // runs that were stopped by an order
	lostRunTime   model.Duration // run time lost by these interruptions
}

// centreChange is a change of a data centre: it is lost or returns, or operators
// take it out of service or bring it back.
type centreChange struct {
	at          model.Time
	id          model.DataCentreID
	unavailable bool
}

// teamService identifies the work of one team on one service.
type teamService struct {
	team    model.TeamID
	service model.ServiceID
}

// observations are the facts that a replay records for its measures.
type observations struct {
	inputs         int
	overcommits    int
	refusedChanges []string
	centreChanges  []centreChange
	requests       map[model.RequestID]*request
	byArrival      []*request
	startsByKey    map[string]int // by idempotency key
	tasks          map[model.TaskID]*taskRecord
	unanswered     int
	running        map[teamService]int
	runningByTeam  map[model.TeamID]int // requests
	demand         map[teamService]int  // waiting and running requests
	violations     map[string]int
	samples        []sample
	hosts          *hostObservations
	taskSamples    []taskSample
}

func newObservations() *observations {
	return &observations{
		requests: make(map[model.RequestID]*request), startsByKey: make(map[string]int),
		tasks: make(map[model.TaskID]*taskRecord), running: make(map[teamService]int),
		runningByTeam: make(map[model.TeamID]int), demand: make(map[teamService]int), violations: make(map[string]int),
		hosts: newHostObservations(),
	}
}

func (e *engine) arrive(a *Arrive) error {
	queue, known := e.rules.Queues[a.Queue]
	if !known || e.obs.requests[a.ID] != nil {
		return errors.Errorf("request %s has an unknown queue or was there before", a.ID)
	}
	r := &request{Arrive: a, service: queue.Service, overnight: queue.Overnight, arrivedAt: e.now}
	e.obs.requests[a.ID] = r
	e.obs.byArrival = append(e.obs.byArrival, r)
	e.obs.unanswered++
	e.obs.demand[r.teamService()]++
	arrival := event.Request{
		ID: a.ID, Team: a.Team, Queue: a.Queue, Idempotent: a.Idempotent,
		Worth: a.Worth, Patience: a.Patience.Duration(),
	}
	if !a.Idempotent {
		arrival.Key = rulesfile.Hash([]byte(r.effectiveKey()))
		arrival.Body = rulesfile.Hash([]byte(a.Queue))
	}
	e.post(event.RequestArrived{Request: arrival})
	return nil
}

func (r *request) teamService() teamService { return teamService{r.Team, r.service} }

func (r *request) effectiveKey() string { return cmp.Or(r.Key, string(r.ID)) }

// endDemand removes a request that is not running from the demand. It does so
// only once for each request.
func (obs *observations) endDemand(r *request) {
	if !r.demandEnded && r.running == nil {
		r.demandEnded = true
		obs.demand[r.teamService()]--
	}
}

func (e *engine) abandon(id model.RequestID) {
	r := e.obs.requests[id]
	if r == nil || r.answers > 0 || r.abandonedAt != 0 {
		return
	}
	r.abandonedAt = e.now
	e.obs.unanswered--
	e.obs.endDemand(r)
	e.post(event.RequestAbandoned{Request: id})
}

// recordAnswer records the response to a caller and checks its invariants.
func (e *engine) recordAnswer(f effect.AnswerRequest) {
	r := e.obs.requests[f.Request]
	r.answers++
	if r.answers > 1 || r.abandonedAt != 0 {
		e.obs.violations[InvariantAnswers]++
		return
	}
	r.answeredAt = e.now
	e.obs.unanswered--
	if f.Problem != nil {
		r.kind = f.Problem.Kind
		if problem.Lookup(r.kind).Ran == problem.RanNo && r.starts > 0 {
			e.obs.violations[InvariantNotRun]++
		}
	}
	e.obs.endDemand(r)
}

// recordStart records the start of a run on a target and checks its invariants.
func (e *engine) recordStart(r *run) {
	q, obs := r.request, e.obs
	r.startedAt = e.now
	q.runs = append(q.runs, r)
	q.running = r
	q.starts++
	if q.firstStart == 0 {
		q.firstStart = e.now
	}
	if !q.Idempotent {
		if obs.startsByKey[q.effectiveKey()]++; obs.startsByKey[q.effectiveKey()] > 1 {
			obs.violations[InvariantAtMostOnce]++
		}
	}
	obs.running[q.teamService()]++
	obs.runningByTeam[q.Team]++
	e.checkLimit(q.Team)
	e.checkCentre(r.target.reg.DataCentre)
	if t := r.target; t.state == TargetLeaving && e.now > t.leavingSince.Add(leavingGrace) {
		obs.violations[InvariantLeaving]++
	}
}

// checkCentre counts a violation if the data centre of a start is out of service
// for longer than the grace period.
func (e *engine) checkCentre(id model.DataCentreID) {
	if out := e.outSince(id); out != 0 && e.now > out.Add(centreOutGrace) {
		e.obs.violations[InvariantCentreOut]++
	}
}

func (e *engine) checkLimit(team model.TeamID) {
	if e.obs.runningByTeam[team]+e.tasksRunning(team) > e.rules.Teams[team].Limit {
		e.obs.violations[InvariantTeamLimit]++
	}
}

// recordRunEnd records the end of a run on its target.
func (e *engine) recordRunEnd(r *run, good bool) {
	q := r.request
	r.endedAt, r.succeeded = e.now, good
	q.running = nil
	e.obs.running[q.teamService()]--
	e.obs.runningByTeam[q.Team]--
	if q.answers > 0 || q.abandonedAt != 0 {
		e.obs.endDemand(q)
	}
}

// recordTaskStart records the start of a task and checks its invariants. A start
// that resumes from a checkpoint does not count as a repeated start.
func (e *engine) recordTaskStart(w *worker, t *taskRecord, resumes bool) {
	e.checkCentre(w.DataCentre)
	if !resumes {
		t.starts++
	}
	if t.firstStart == 0 {
		t.firstStart = e.now
	}
	if !t.Idempotent && t.starts > 1 {
		e.obs.violations[InvariantAtMostOnce]++
	}
	e.checkLimit(t.Team)
}

// tasksRunning counts the running tasks of a team on all workers.
func (e *engine) tasksRunning(team model.TeamID) int {
	n := 0
	for _, w := range e.workers {
		for id, t := range w.tasks {
			if t.phase == message.RunRunning && e.obs.tasks[id].Team == team {
				n++
			}
		}
	}
	return n
}

// checkFinal counts the violations that are only known at the end of the replay.
func (obs *observations) checkFinal() {
	for _, r := range obs.byArrival {
		if r.answers == 0 && r.abandonedAt == 0 {
			obs.violations[InvariantAnswers]++
		}
	}
	obs.violations[InvariantOperators] = len(obs.refusedChanges)
	obs.violations[InvariantOvercommits] = obs.overcommits
}

// policyOrDefault returns the name of the default policy if p is empty.
func policyOrDefault(p dispatch.PolicyName) dispatch.PolicyName {
	return cmp.Or(p, dispatch.PolicyShares)
}
