// Package gateway holds the requests that this host has accepted from its
// callers, from arrival to answer. It asks the owner of the queues for a
// target, lets the traffic side forward the request, reports the outcome to
// the owner, and answers the caller exactly once.
//
// Messages to the owner may be lost, so an Ask is sent again while the request
// waits and a Done until it is settled. The owner knows both by request id.
package gateway

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
	"primrosedale.example/primrosedale/core/problem"
)

// Times of the protocol.
const (
	// ResendInterval is the time after which an unanswered Ask or Done is sent again.
	ResendInterval = 500 * model.Millisecond
	// OwnerGrace is how long after the end of its patience a request waits for
	// the owner's own refusal before the gateway refuses it.
	OwnerGrace = 250 * model.Millisecond
	// SettleTimeout is how long the answer to a claimed request is held back
	// for the commit that stores it. After it the caller gets the answer, and a
	// resend is told that the outcome is unknown.
	SettleTimeout = 5 * model.Second
	// StopPatience is how long a stopping host lets waiting requests wait.
	StopPatience = 2 * model.Second
)

// Table is the set of held requests.
type Table struct {
	incarnation model.Incarnation
	leader      model.HostID
	term        uint64
	stopping    bool
	keys        map[model.Digest]model.TeamID // in force
	held        map[model.RequestID]*request
	due         *pq.Queue[model.RequestID, due, *request]
	ends        []End // not yet taken
}

// due is the time at which a request needs attention; the id breaks ties.
type due struct {
	at model.Time
	id model.RequestID
}

// phase is what a request waits for.
type phase uint8

const (
	waiting   phase = iota // for a Dispatch or a Refuse
	forwarded              // an attempt is running
	settling               // the last attempt has ended; waiting for Settled
	withdrawn              // no attempt follows; waiting for Settled
)

// request is a request that this host holds for a caller.
type request struct {
	event.Request

	phase        phase
	deadline     model.Time // the request may start until then
	attempt      int        // the latest attempt that was forwarded
	endedAttempt int        // attempts that have ended
	mayHaveRun   bool       // an attempt ended with an unknown outcome
	answered     bool       // the caller has its answer, or has gone
	callerGone   bool       // the caller has gone
	startedLate  bool       // the latest attempt began after the deadline
	forwardedRun message.Forwarded
	runUntil     model.Time // deadline of the running attempt
	done         *message.Done
	answerBy     model.Time // while settling with the answer held back
}

// New returns an empty table for the process life inc.
func New(incarnation model.Incarnation) *Table {
	less := func(a, b due) bool {
		if a.at != b.at {
			return a.at < b.at
		}
		return a.id < b.id
	}
	return &Table{
		incarnation: incarnation,
		held:        make(map[model.RequestID]*request),
		due:         pq.New[model.RequestID, due, *request](less),
	}
}

// Len returns the number of held requests.
func (t *Table) Len() int { return len(t.held) }

// Unanswered returns the number of callers that still wait for an answer.
func (t *Table) Unanswered() int {
	n := 0
	for _, req := range t.held {
		if !req.answered {
			n++
		}
	}
	return n
}

// Stop begins the graceful stop: nothing new is accepted, and requests that
// wait for a target are refused as not run after StopPatience.
func (t *Table) Stop(now model.Time) {
	if t.stopping {
		return
	}
	t.stopping = true
	for _, req := range t.held {
		if req.phase == waiting {
			req.deadline = min(req.deadline, now.Add(StopPatience))
			t.schedule(req, now)
		}
	}
}

// Arrive accepts a request and asks the owner for a target.
func (t *Table) Arrive(now model.Time, r event.Request) []effect.Effect {
	if t.stopping {
		req := &request{Request: r}
		return t.answer(req, effect.AnswerRequest{Request: r.ID, Problem: problem.New(problem.Stopping, "the host is stopping")})
	}
	if t.held[r.ID] != nil {
		return nil
	}
	req := &request{Request: r, deadline: now.Add(r.Patience)}
	if !t.keyValid(req) {
		return refusal(r.ID, keyRejectedProblem())
	}
	t.held[r.ID] = req
	return t.ask(now, req)
}

// Follow sets the owner and its term. Requests that wait ask the new owner,
// and outcomes that the old owner has not settled are reported again.
func (t *Table) Follow(now model.Time, leader model.HostID, term uint64) []effect.Effect {
	changed := leader != t.leader || term != t.term
	t.leader = leader
	t.term = term
	if !changed || leader == "" {
		return nil
	}
	return t.Resend(now)
}

// Resend sends again what the owner has not answered. It is called as well when
// an owner grants its first lease: what came earlier may have found it not yet
// ready.
func (t *Table) Resend(now model.Time) []effect.Effect {
	var out []effect.Effect
	for _, id := range t.sortedIDs() {
		out = append(out, t.resend(now, t.held[id])...)
	}
	return out
}

// Forwarded lists the attempts whose target may be running, for the first
// Renew of a term. Attempts that ended with an unknown outcome are in it until
// the owner has settled them.
func (t *Table) Forwarded(now model.Time) []message.Forwarded {
	var list []message.Forwarded
	for _, id := range t.sortedIDs() {
		req := t.held[id]
		unknown := req.phase != forwarded && req.done != nil && req.done.Outcome == message.OutcomeUnknown
		if req.phase != forwarded && !unknown {
			continue
		}
		f := req.forwardedRun
		f.Deadline = max(0, req.runUntil.Sub(now))
		list = append(list, f)
	}
	return list
}

// Advance does what is due: repeated messages and refusals for lack of an
// owner.
func (t *Table) Advance(now model.Time) []effect.Effect {
	var out []effect.Effect
	for {
		_, d, req, ok := t.due.Peek()
		if !ok || d.at > now {
			return out
		}
		t.due.Pop()
		out = append(out, t.advance(now, req)...)
	}
}

func (t *Table) advance(now model.Time, req *request) []effect.Effect {
	switch {
	case req.phase == waiting && now >= req.deadline.Add(OwnerGrace):
		out := t.answer(req, effect.AnswerRequest{Request: req.ID, Problem: req.refusalProblem(t.notStartedProblem(req))})
		return append(out, t.withdraw(now, req)...)
	case req.phase == settling && !req.answered && now >= req.answerBy:
		out := t.answer(req, effect.AnswerRequest{Request: req.ID, Attempt: req.endedAttempt})
		return append(out, t.resend(now, req)...)
	default:
		return t.resend(now, req)
	}
}

// notStartedProblem says why a request did not start within its patience.
func (t *Table) notStartedProblem(req *request) *problem.Problem {
	if t.stopping {
		return problem.New(problem.Stopping, "the host is stopping")
	}
	if t.leader == "" {
		return problem.New(problem.NoLeader, "no leader was known within the request's patience")
	}
	return problem.New(problem.PatienceExceeded, "no target was free within %.1f s", req.Patience.Seconds())
}

// resend sends the message that the owner has not answered yet.
func (t *Table) resend(now model.Time, req *request) []effect.Effect {
	var out []effect.Effect
	if req.done != nil && req.phase != forwarded {
		out = t.sendOwner(message.Message{Done: req.done})
	}
	if req.phase == waiting {
		return append(out, t.ask(now, req)...)
	}
	if req.phase == withdrawn {
		w := &message.Withdraw{Request: req.ID, Attempt: req.endedAttempt, Claim: req.claim()}
		out = t.sendOwner(message.Message{Withdraw: w})
	}
	t.schedule(req, now)
	return out
}

func (t *Table) ask(now model.Time, req *request) []effect.Effect {
	t.schedule(req, now)
	if now >= req.deadline {
		return nil
	}
	return t.sendOwner(message.Message{Ask: &message.Ask{
		Request: req.ID, Inc: t.incarnation, Team: req.Team, Queue: req.Queue,
		Idempotent: req.Idempotent, Key: req.Key, Body: req.Body,
		Worth: req.Worth, Patience: req.deadline.Sub(now), Attempt: req.endedAttempt,
	}})
}

func (t *Table) answer(req *request, a effect.AnswerRequest) []effect.Effect {
	if req.answered {
		return nil
	}
	req.answered = true
	t.recordEnd(req, a)
	return []effect.Effect{a}
}

func (t *Table) sendOwner(m message.Message) []effect.Effect {
	if t.leader == "" {
		return nil
	}
	return []effect.Effect{effect.Send{To: t.leader, Message: m}}
}

// schedule sets the next time at which the request needs attention.
func (t *Table) schedule(req *request, now model.Time) {
	if req.phase == forwarded {
		t.due.Remove(req.ID)
		return
	}
	at := now.Add(ResendInterval)
	if req.phase == waiting {
		at = min(at, req.deadline.Add(OwnerGrace))
	} else if req.phase == settling && !req.answered {
		at = min(at, req.answerBy)
	}
	t.due.Set(req.ID, due{at, req.ID}, req)
}

func (t *Table) remove(req *request) {
	delete(t.held, req.ID)
	t.due.Remove(req.ID)
}

func (t *Table) sortedIDs() []model.RequestID {
	ids := make([]model.RequestID, 0, len(t.held))
	for id := range t.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
