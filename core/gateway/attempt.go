package gateway

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Dispatch handles the owner's permission to start forwarding a request before
// startBy. An attempt that is not started is reported to the owner, which then frees
// the slot. It counts as ended, so that a duplicate of the message does not start it
// later.
func (t *Table) Dispatch(now, startBy model.Time, d *message.Dispatch) []effect.Effect {
	if d.Term != t.term || d.Gateway != t.incarnation {
		return nil
	}
	req := t.held[d.Request]
	if req == nil {
		return t.sendOwner(message.Message{Done: &message.Done{
			Request: d.Request, Attempt: d.Attempt, Outcome: message.OutcomeNotStarted, Untried: true, Final: true,
		}})
	}
	if req.attempt >= d.Attempt {
		return nil // a duplicate: this attempt has started or ended
	}
	switch req.phase {
	case forwarded:
		return nil // another attempt runs; the report of its end tells the owner which one
	case settling, withdrawn:
		return t.resend(now, req)
	}
	if now >= startBy {
		return t.rejectLate(now, req, d)
	}
	req.phase = forwarded
	req.attempt = d.Attempt
	req.done = nil
	req.startedLate = now > req.deadline
	req.runUntil = now.Add(d.MaxRun)
	req.forwardedRun = message.Forwarded{
		Request: d.Request, Attempt: d.Attempt, Team: req.Team, Queue: req.Queue,
		Target: d.Target, Inc: d.Inc,
	}
	t.due.Remove(d.Request)
	return []effect.Effect{effect.Forward{
		Request: d.Request, Attempt: d.Attempt, Target: d.Target, Inc: d.Inc, Address: d.Address,
		Ticket: d.Ticket, Term: d.Term, StartBy: startBy, Deadline: req.runUntil,
		Claimed: d.Claimed, Idempotent: req.Idempotent,
	}}
}

// rejectLate ends an attempt whose Dispatch arrived at startBy or later.
func (t *Table) rejectLate(now model.Time, req *request, d *message.Dispatch) []effect.Effect {
	req.attempt, req.endedAttempt = d.Attempt, d.Attempt
	req.done = &message.Done{
		Request: d.Request, Attempt: d.Attempt, Outcome: message.OutcomeNotStarted, Untried: true,
	}
	t.schedule(req, now)
	return t.sendOwner(message.Message{Done: req.done})
}

// Ended handles the end of a forwarded attempt.
func (t *Table) Ended(now model.Time, e event.ForwardEnded) []effect.Effect {
	req := t.held[e.Request]
	if req == nil || req.phase != forwarded || req.attempt != e.Attempt {
		return nil
	}
	req.endedAttempt = e.Attempt
	req.done = &message.Done{
		Request: e.Request, Attempt: e.Attempt, Outcome: e.Outcome, Status: e.Status,
		RunTime: e.RunTime, RetryAfter: e.RetryAfter, Answer: e.Answer, Untried: e.Untried,
	}
	req.done.Claim = req.claim()
	if e.Outcome == message.OutcomeUnknown {
		req.mayHaveRun = true
	}
	var out []effect.Effect
	switch {
	case req.mayRetry(now, e) && t.keyValid(req):
		req.phase = waiting
	case e.Outcome == message.OutcomeAnswered && !req.Idempotent && !e.TooLarge:
		req.phase = settling
		req.answerBy = now.Add(SettleTimeout)
	default:
		req.phase = settling
		out = t.answer(req, t.finalAnswer(req, e))
	}
	req.done.Final = req.phase == settling
	t.schedule(req, now)
	return append(out, t.sendOwner(message.Message{Done: req.done})...)
}

// claim returns the id of the claim that the request may hold, or nil.
func (req *request) claim() *fleet.ClaimID {
	if req.Idempotent {
		return nil
	}
	return &fleet.ClaimID{Team: req.Team, Key: req.Key}
}

// mayRetry reports whether the owner may start another attempt.
func (req *request) mayRetry(now model.Time, e event.ForwardEnded) bool {
	if req.callerGone || e.TooLarge || e.TimedOut || now >= req.deadline {
		return false
	}
	if e.Outcome == message.OutcomeNotStarted {
		return true
	}
	return e.Outcome == message.OutcomeUnknown && req.Idempotent
}

// finalAnswer returns the caller's answer after the last attempt.
func (t *Table) finalAnswer(req *request, e event.ForwardEnded) effect.AnswerRequest {
	a := effect.AnswerRequest{Request: e.Request}
	switch {
	case e.TooLarge:
		a.Problem = problem.New(problem.AnswerTooLarge, "the answer of target %s is over the limit", req.forwardedRun.Target)
	case e.Outcome == message.OutcomeAnswered:
		a.Attempt = e.Attempt
	case e.Outcome == message.OutcomeNotStarted && !t.keyValid(req):
		a.Problem = req.refusalProblem(keyRejectedProblem())
	case e.Outcome == message.OutcomeNotStarted:
		a.Problem = req.refusalProblem(problem.New(problem.PatienceExceeded, "target %s did not start the request", req.forwardedRun.Target))
	case e.TimedOut:
		a.Problem = problem.New(problem.DeadlineExceeded, "target %s did not answer within the run time", req.forwardedRun.Target)
	default:
		a.Problem = problem.New(problem.OutcomeUnknown, "the connection to target %s failed", req.forwardedRun.Target)
	}
	return a
}

// Settled handles the owner's acknowledgement of a Done or Withdraw.
func (t *Table) Settled(s *message.Settled) []effect.Effect {
	req := t.held[s.Request]
	if req == nil || req.phase == forwarded || req.endedAttempt != s.Attempt {
		return nil
	}
	if req.phase == waiting || req.phase == withdrawn && !s.Final {
		req.done = nil // only the attempt is settled; the request still waits or is being withdrawn
		return nil
	}
	if !s.Final {
		return nil
	}
	t.remove(req)
	return t.answer(req, effect.AnswerRequest{Request: s.Request, Attempt: s.Attempt})
}
