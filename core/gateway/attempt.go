package gateway

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Dispatch handles the owner's permission to forward a request until startBy. An
// attempt that is not started is reported back, so that the owner frees the
// slot; it counts as ended, so that a repeated message does not start it later.
func (t *Table) Dispatch(now, startBy model.Time, d *message.Dispatch) []effect.Effect {
	if d.Term != t.term || d.Gateway != t.inc {
		return nil
	}
	h := t.held[d.Request]
	if h == nil {
		return t.sendOwner(message.Message{Done: &message.Done{
			Request: d.Request, Attempt: d.Attempt, Outcome: message.OutcomeNotStarted, Untried: true, Final: true,
		}})
	}
	if h.attempt >= d.Attempt {
		return nil // a repeated message: this attempt has begun or ended
	}
	switch h.phase {
	case forwarded:
		return nil // its end tells the owner which attempt ran
	case settling, withdrawn:
		return t.resend(now, h)
	}
	if now >= startBy {
		return t.expired(now, h, d)
	}
	h.phase = forwarded
	h.attempt = d.Attempt
	h.done = nil
	h.runUntil = now.Add(d.MaxRun)
	h.run = message.Forwarded{
		Request: d.Request, Attempt: d.Attempt, Team: h.req.Team, Queue: h.req.Queue,
		Target: d.Target, Inc: d.Inc,
	}
	t.due.Remove(d.Request)
	return []effect.Effect{effect.Forward{
		Request: d.Request, Attempt: d.Attempt, Target: d.Target, Inc: d.Inc, Address: d.Address,
		Ticket: d.Ticket, Term: d.Term, StartBy: startBy, Deadline: h.runUntil,
		Claimed: d.Claimed, Idempotent: h.req.Idempotent,
	}}
}

// expired ends an attempt whose time to start has passed.
func (t *Table) expired(now model.Time, h *held, d *message.Dispatch) []effect.Effect {
	h.attempt, h.ended = d.Attempt, d.Attempt
	h.done = &message.Done{
		Request: d.Request, Attempt: d.Attempt, Outcome: message.OutcomeNotStarted, Untried: true,
	}
	t.schedule(h, now)
	return t.sendOwner(message.Message{Done: h.done})
}

// Ended handles the end of a forwarded attempt.
func (t *Table) Ended(now model.Time, e event.ForwardEnded) []effect.Effect {
	h := t.held[e.Request]
	if h == nil || h.phase != forwarded || h.attempt != e.Attempt {
		return nil
	}
	h.ended = e.Attempt
	h.done = &message.Done{
		Request: e.Request, Attempt: e.Attempt, Outcome: e.Outcome, Status: e.Status,
		RunTime: e.RunTime, RetryAfter: e.RetryAfter, Answer: e.Answer,
	}
	h.done.Claim = h.claim()
	if e.Outcome == message.OutcomeUnknown {
		h.mayRan = true
	}
	var out []effect.Effect
	switch {
	case h.mayRetry(now, e) && t.keyHolds(h):
		h.phase = waiting
	case e.Outcome == message.OutcomeAnswered && !h.req.Idempotent && !e.TooLarge:
		h.phase = settling
		h.answerBy = now.Add(SettleTimeout)
	default:
		h.phase = settling
		out = t.answer(h, t.ending(h, e))
	}
	h.done.Final = h.phase == settling
	t.schedule(h, now)
	return append(out, t.sendOwner(message.Message{Done: h.done})...)
}

// claim names the claim that the request may hold, or is nil.
func (h *held) claim() *fleet.ClaimID {
	if h.req.Idempotent {
		return nil
	}
	return &fleet.ClaimID{Team: h.req.Team, Key: h.req.Key}
}

// mayRetry reports whether the owner may choose another attempt.
func (h *held) mayRetry(now model.Time, e event.ForwardEnded) bool {
	if h.gone || e.TooLarge || e.TimedOut || now >= h.deadline {
		return false
	}
	if e.Outcome == message.OutcomeNotStarted {
		return true
	}
	return e.Outcome == message.OutcomeUnknown && h.req.Idempotent
}

// ending is the caller's answer after the last attempt.
func (t *Table) ending(h *held, e event.ForwardEnded) effect.AnswerRequest {
	a := effect.AnswerRequest{Request: e.Request}
	switch {
	case e.TooLarge:
		a.Problem = problem.New(problem.AnswerTooLarge, "the answer of target %s is over the limit", h.run.Target)
	case e.Outcome == message.OutcomeAnswered:
		a.Attempt = e.Attempt
	case e.Outcome == message.OutcomeNotStarted && !t.keyHolds(h):
		a.Problem = h.truthful(keyRejected())
	case e.Outcome == message.OutcomeNotStarted:
		a.Problem = h.truthful(problem.New(problem.PatienceExceeded, "target %s did not start the request", h.run.Target))
	case e.TimedOut:
		a.Problem = problem.New(problem.DeadlineExceeded, "target %s did not answer within the run time", h.run.Target)
	default:
		a.Problem = problem.New(problem.OutcomeUnknown, "the connection to target %s failed", h.run.Target)
	}
	return a
}

// Settled handles the owner's receipt for a Done.
func (t *Table) Settled(s *message.Settled) []effect.Effect {
	h := t.held[s.Request]
	if h == nil || h.phase == forwarded || h.ended != s.Attempt {
		return nil
	}
	if h.phase == waiting || h.phase == withdrawn && !s.Final {
		h.done = nil // the attempt is settled, the request goes on or is withdrawn
		return nil
	}
	if !s.Final {
		return nil
	}
	t.remove(h)
	return t.answer(h, effect.AnswerRequest{Request: s.Request, Attempt: s.Attempt})
}
