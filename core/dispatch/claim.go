package dispatch

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// ClaimSweepInterval is the interval between two sweeps of the held claims. A gateway
// repeats its messages every 500 ms, so a claim whose request is unknown in two
// consecutive sweeps has lost its gateway.
const ClaimSweepInterval = 5 * model.Second

// sweepClaims completes held claims whose gateway is lost. Their requests may have
// run, so they are recorded with an unknown outcome, which is also the answer to a
// resend.
func (o *Owner) sweepClaims(env Env, out *Output) {
	o.timers.Set(timerID{kind: timerClaimSweep}, timer{at: env.Now.Add(ClaimSweepInterval)}, struct{}{})
	orphans := make(map[fleet.ClaimID]model.RequestID)
	for _, c := range env.Fleet.HeldClaims() {
		if o.requests[c.Request] != nil {
			continue
		}
		if o.orphanedClaims[c.ClaimID] != c.Request {
			orphans[c.ClaimID] = c.Request
			continue
		}
		out.log(effect.Log{Code: effect.ClaimUnknown, Request: c.Request, Team: c.Team})
		out.Proposals = append(out.Proposals, fleet.Command{Complete: &fleet.Complete{
			ClaimID: c.ClaimID, Request: c.Request, Unknown: true,
		}})
	}
	o.orphanedClaims = orphans
}

func (o *Owner) proposeClaim(env Env, out *Output, r *request) {
	out.Proposals = append(out.Proposals, fleet.Command{Claim: &fleet.Claim{
		ClaimID: r.claimID(),
		Request: r.ask.Request,
		Gateway: r.gateway,
		Body:    r.ask.Body,
	}})
}

func (o *Owner) proposeRelease(env Env, out *Output, r *request) {
	out.Proposals = append(out.Proposals, fleet.Command{Release: &fleet.Release{
		ClaimID: r.claimID(),
		Request: r.ask.Request,
	}})
}

// proposeOutcome records how a claimed request ended.
func (o *Owner) proposeOutcome(env Env, out *Output, id fleet.ClaimID, d *message.Done) {
	c := fleet.Command{}
	switch d.Outcome {
	case message.OutcomeNotStarted:
		c.Release = &fleet.Release{ClaimID: id, Request: d.Request}
	case message.OutcomeAnswered:
		c.Complete = &fleet.Complete{ClaimID: id, Request: d.Request, Status: d.Status, Answer: storable(d.Answer)}
	default:
		out.log(effect.Log{Code: effect.OutcomeUnknown, Request: d.Request, Team: id.Team})
		c.Complete = &fleet.Complete{ClaimID: id, Request: d.Request, Unknown: true}
	}
	out.Proposals = append(out.Proposals, c)
}

func storable(a *model.Answer) *model.Answer {
	if a == nil || len(a.Body) > fleet.MaxAnswerBytes {
		return nil
	}
	return a
}

// claimCommitted handles the result of a proposed claim. A request that was granted
// its claim is dispatched. Any other request is answered from the record of the
// request that holds the claim.
func (o *Owner) claimCommitted(env Env, out *Output, c *fleet.Claim, result fleet.Result) {
	r := o.requests[c.Request]
	if r == nil || r.state != stateClaiming {
		return
	}
	if result.Granted {
		o.claimGranted(env, out, r)
		return
	}
	o.endRun(env, r.run)
	r.run = nil
	if r.withdrawn {
		o.untrack(env, r)
		o.sendSettled(out, r.gateway, &message.Done{Request: c.Request, Attempt: r.settledAttempt, Final: true})
		o.dispatchService(env, out, r.service)
		return
	}
	o.answerFromClaim(env, out, r, result)
	o.dispatchService(env, out, r.service)
}

func (o *Owner) claimGranted(env Env, out *Output, r *request) {
	r.claimed = true
	if r.withdrawn {
		o.endRun(env, r.run)
		r.run = nil
		r.state = stateSettling
		o.proposeRelease(env, out, r)
		o.dispatchService(env, out, r.service)
		return
	}
	t := r.run.target
	if o.runs[r.run.id] != r.run || !o.usable(env, t) || !o.holdsLease(env, r.gateway) {
		o.endRun(env, r.run)
		r.run = nil
		o.enqueue(env, r)
		o.dispatchService(env, out, r.service)
		return
	}
	o.dispatch(env, out, r)
}

func (o *Owner) answerFromClaim(env Env, out *Output, r *request, result fleet.Result) {
	if result.Problem != nil {
		o.refuse(env, out, r, result.Problem)
		return
	}
	o.answerFromRecord(env, out, r, result.Claim)
}

// answerFromRecord answers a resend from the record of the request that holds the
// claim. A resend that is answered on arrival takes no slot and does not wait in a
// queue.
func (o *Owner) answerFromRecord(env Env, out *Output, r *request, record *fleet.ClaimRecord) {
	switch {
	case record.Body != r.ask.Body:
		o.refuse(env, out, r, problem.New(problem.KeyReused, "the key was used for another queue or body"))
	case record.State == fleet.ClaimComplete && record.Answer != nil:
		o.untrack(env, r)
		out.send(r.gateway, message.Message{Refuse: &message.Refuse{
			Term: o.term, Request: r.ask.Request, Answer: record.Answer,
		}})
	case record.State == fleet.ClaimComplete:
		o.refuse(env, out, r, problem.New(problem.AnswerNotRetained, "request %s ran with status %d", record.Request, record.Status))
	case record.State == fleet.ClaimHeld && o.requests[record.Request] != nil:
		p := problem.New(problem.InProgress, "request %s holds the idempotency key", record.Request)
		p.RetryAfter = model.Second
		o.refuse(env, out, r, p)
	default:
		o.refuse(env, out, r, problem.New(problem.OutcomeUnknown, "request %s may have run", record.Request))
	}
}
