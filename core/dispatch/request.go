package dispatch

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

type requestState uint8

const (
	stateQueued     requestState = iota // in the queue of its service
	stateDelayed                        // waiting for the delay before its next attempt
	stateClaiming                       // holds a slot; its claim is proposed and not yet committed
	stateDispatched                     // the gateway may have forwarded it
	stateSettling                       // ended; the completion or release of its claim is not yet committed
)

// request is the owner's record of one request that a gateway holds.
type request struct {
	ask            message.Ask
	gateway        model.HostID
	service        *service
	rank           rank
	state          requestState
	arrived        model.Time
	deadline       model.Time // latest start
	claimed        bool       // the request holds its claim
	attempt        int        // the latest attempt
	failures       int        // attempts that failed
	run            *run       // current attempt, in stateClaiming and stateDispatched
	withdrawn      bool       // withdrawn while in stateClaiming
	adopted        bool       // from a gateway's list of forwarded attempts; its Ask is not known
	settledAttempt int        // attempt to report in Settled
}

func (r *request) claimID() fleet.ClaimID { return fleet.ClaimID{Team: r.ask.Team, Key: r.ask.Key} }

// Ask handles a gateway's request for a target. A repeated Ask for a dispatched
// request means that the Dispatch may have been lost, so it is sent again. The
// gateway ignores a duplicate, or reports that it did not start the attempt.
func (o *Owner) Ask(env Env, out *Output, from model.HostID, a *message.Ask) {
	if s := env.Granter.Session(from); s == nil || s.Incarnation != a.Inc {
		return // from an earlier process of the host, or one that has not renewed its lease yet
	}
	if r := o.requests[a.Request]; r != nil {
		if r.state == stateDispatched && a.Attempt < r.attempt {
			o.sendDispatch(env, out, r)
		}
		return
	}
	r := &request{ask: *a, gateway: from, attempt: a.Attempt, arrived: env.Now, deadline: env.Now.Add(a.Patience)}
	if p := o.checkNames(a); p != nil {
		o.refuse(env, out, r, p)
		return
	}
	if record := env.Fleet.Claims[r.claimID()]; !a.Idempotent && record != nil && record.Request != a.Request {
		o.answerFromRecord(env, out, r, record)
		return
	}
	if p := o.checkAdmission(env, o.rules.Queues[a.Queue], r); p != nil {
		o.refuse(env, out, r, p)
		return
	}
	o.track(r)
	o.enqueue(env, r)
	o.dispatchService(env, out, r.service)
}

// checkNames returns a problem if the rules do not define the queue or the team.
func (o *Owner) checkNames(a *message.Ask) *problem.Problem {
	if _, known := o.rules.Queues[a.Queue]; !known {
		return problem.New(problem.UnknownQueue, "there is no queue %s", a.Queue)
	}
	if _, known := o.rules.Teams[a.Team]; !known {
		return problem.New(problem.UnknownTeam, "there is no team %s", a.Team)
	}
	return nil
}

func (o *Owner) track(r *request) {
	o.requests[r.ask.Request] = r
	held := o.byGateway[r.gateway]
	if held == nil {
		held = make(map[model.RequestID]*request)
		o.byGateway[r.gateway] = held
	}
	held[r.ask.Request] = r
}

func (o *Owner) untrack(env Env, r *request) {
	o.dequeue(env, r)
	delete(o.requests, r.ask.Request)
	delete(o.byGateway[r.gateway], r.ask.Request)
	o.dropTimers(r)
}

func (o *Owner) dropTimers(r *request) {
	o.timers.Remove(timerID{kind: timerDeadline, request: r.ask.Request})
	o.timers.Remove(timerID{kind: timerDelay, request: r.ask.Request})
	o.timers.Remove(timerID{kind: timerPromotion, request: r.ask.Request})
	o.timers.Remove(timerID{kind: timerEndReport, request: r.ask.Request})
}

// refuse removes a waiting request and sends its gateway the problem. It does not
// release a claim that the request may hold, because a delayed Ask can make the owner
// queue a request that its gateway has already started. The claim is released when the
// gateway withdraws the request.
func (o *Owner) refuse(env Env, out *Output, r *request, p *problem.Problem) {
	o.logQueueFull(env, out, r, p)
	o.untrack(env, r)
	out.send(r.gateway, message.Message{Refuse: &message.Refuse{Term: o.term, Request: r.ask.Request, Problem: p}})
	out.log(effect.Log{Code: effect.RequestRefused, Request: r.ask.Request, Team: r.ask.Team, Detail: string(p.Kind)})
}

// Withdraw handles a gateway's notice that it will not start the request any more.
func (o *Owner) Withdraw(env Env, out *Output, from model.HostID, w *message.Withdraw) {
	r := o.requests[w.Request]
	if r == nil {
		r = &request{ask: message.Ask{Request: w.Request}, gateway: from}
		o.track(r)
	}
	switch {
	case r.state == stateSettling:
		return
	case r.state == stateClaiming:
		r.withdrawn, r.settledAttempt = true, w.Attempt
		return
	case r.run != nil && r.attempt > w.Attempt:
		o.endRun(env, r.run)
	case r.run != nil:
		o.detachRun(env, r.run, env.Now)
	}
	r.run = nil
	o.endRequest(env, out, r, &message.Done{
		Request: w.Request, Attempt: w.Attempt, Outcome: message.OutcomeNotStarted, Claim: w.Claim, Final: true,
	})
	o.dispatchAll(env, out)
}

// Done handles the end of an attempt.
func (o *Owner) Done(env Env, out *Output, from model.HostID, d *message.Done) {
	r := o.requests[d.Request]
	switch {
	case r == nil:
		o.doneUntracked(env, out, from, d)
	case r.state == stateSettling:
		return // Settled is sent when the completion or release of the claim is committed
	case r.state != stateDispatched || r.attempt != d.Attempt:
		o.doneEarlier(env, out, r, d)
	default:
		o.doneCurrent(env, out, r, d)
	}
	o.dispatchAll(env, out)
}

// doneCurrent handles the end of the latest attempt.
func (o *Owner) doneCurrent(env Env, out *Output, r *request, d *message.Done) {
	o.endAttempt(env, r, d)
	switch {
	case d.Final:
		o.endRequest(env, out, r, d)
	case r.adopted:
		// The gateway sends a new Ask, which has what is needed to queue it.
		o.untrack(env, r)
		o.sendSettled(out, r.gateway, d)
	default:
		o.sendSettled(out, r.gateway, d)
		o.retry(env, out, r, d)
	}
}

// doneEarlier handles the end of an attempt that is not the current one: either the
// request was dropped when its gateway lost its lease and was then asked for again,
// or the message is a duplicate.
func (o *Owner) doneEarlier(env Env, out *Output, r *request, d *message.Done) {
	if run := o.runs[runID{d.Request, d.Attempt}]; run != nil && run != r.run {
		o.endOrDetach(env, run, d)
	}
	if !d.Final {
		o.sendSettled(out, r.gateway, d)
		return
	}
	// The gateway starts no attempt after a Done that is final.
	if r.run != nil {
		o.endRun(env, r.run)
		r.run = nil
	}
	o.endRequest(env, out, r, d)
}

// endAttempt updates the run, the run time statistics, the retry budget and the
// target's pause with the outcome of the current attempt.
func (o *Owner) endAttempt(env Env, r *request, d *message.Done) {
	run := r.run
	r.run = nil
	o.recordRunTime(r.ask.Queue, run.target.service, d)
	if d.Outcome == message.OutcomeAnswered {
		o.addRetryTokens(env, r.ask.Team, 1)
	}
	o.endOrDetach(env, run, d)
	if !d.Untried {
		o.updatePause(env, run.target, d)
	}
}

// endOrDetach ends a run if the outcome shows its end; otherwise the run stays
// counted and detached.
func (o *Owner) endOrDetach(env Env, run *run, d *message.Done) {
	if d.Outcome == message.OutcomeUnknown {
		o.detachRun(env, run, env.Now)
		return
	}
	o.endRun(env, run)
}

// endRequest ends a request for which its gateway makes no further attempt. If it
// holds its claim, Settled is sent when the outcome is committed, otherwise at once.
func (o *Owner) endRequest(env Env, out *Output, r *request, d *message.Done) {
	claim := d.Claim
	if claim == nil && r.claimed {
		id := r.claimID()
		claim = &id
	}
	if claim == nil || !holdsClaim(env, *claim, d.Request) {
		o.untrack(env, r)
		o.sendSettled(out, r.gateway, d)
		return
	}
	o.dequeue(env, r)
	o.dropTimers(r)
	r.state = stateSettling
	r.settledAttempt = d.Attempt
	o.proposeOutcome(env, out, *claim, d)
}

// holdsClaim reports whether the request holds the claim and no outcome is recorded.
func holdsClaim(env Env, id fleet.ClaimID, request model.RequestID) bool {
	record := env.Fleet.Claims[id]
	return record != nil && record.Request == request && record.State == fleet.ClaimHeld
}

// doneUntracked handles a Done for a request that this owner does not track: it
// ended under an earlier leader, or its Settled was lost.
func (o *Owner) doneUntracked(env Env, out *Output, from model.HostID, d *message.Done) {
	if run := o.runs[runID{d.Request, d.Attempt}]; run != nil {
		o.endOrDetach(env, run, d)
	}
	if d.Claim == nil || !d.Final || !holdsClaim(env, *d.Claim, d.Request) {
		o.sendSettled(out, from, d)
		return
	}
	r := &request{
		ask:     message.Ask{Request: d.Request, Team: d.Claim.Team, Key: d.Claim.Key},
		gateway: from, claimed: true, attempt: d.Attempt, state: stateSettling, settledAttempt: d.Attempt,
	}
	o.track(r)
	o.proposeOutcome(env, out, *d.Claim, d)
}

// settle tells the gateway that the completion or release of the request's claim is
// committed.
func (o *Owner) settle(env Env, out *Output, id model.RequestID) {
	r := o.requests[id]
	if r == nil || r.state != stateSettling {
		return
	}
	o.untrack(env, r)
	o.sendSettled(out, r.gateway, &message.Done{Request: id, Attempt: r.settledAttempt, Final: true})
}

func (o *Owner) sendSettled(out *Output, to model.HostID, d *message.Done) {
	out.send(to, message.Message{Settled: &message.Settled{Request: d.Request, Attempt: d.Attempt, Final: d.Final}})
}
