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
	inc      model.Incarnation
	leader   model.HostID
	term     uint64
	stopping bool
	keys     map[model.Digest]model.TeamID // in force
	held     map[model.RequestID]*held
	due      *pq.Queue[model.RequestID, due, *held]
}

type due struct {
	at model.Time
	id model.RequestID
}

type phase uint8

const (
	waiting   phase = iota // for a Dispatch or a Refuse
	forwarded              // an attempt is running
	settling               // the last attempt has ended; waiting for Settled
	withdrawn              // no attempt follows; waiting for Settled
)

type held struct {
	req      event.Request
	phase    phase
	deadline model.Time // the request may start until then
	attempt  int        // the latest attempt that was forwarded
	ended    int        // attempts that have ended
	mayRan   bool       // an attempt ended with an unknown outcome
	answered bool       // the caller has its answer, or has gone
	gone     bool       // the caller has gone
	run      message.Forwarded
	runUntil model.Time // deadline of the running attempt
	done     *message.Done
	answerBy model.Time // while settling with the answer held back
}

// New returns an empty table for the process life inc.
func New(inc model.Incarnation) *Table {
	less := func(a, b due) bool {
		if a.at != b.at {
			return a.at < b.at
		}
		return a.id < b.id
	}
	return &Table{
		inc:  inc,
		held: make(map[model.RequestID]*held),
		due:  pq.New[model.RequestID, due, *held](less),
	}
}

// Len returns the number of held requests.
func (t *Table) Len() int { return len(t.held) }

// Unanswered returns the number of callers that still wait for an answer.
func (t *Table) Unanswered() int {
	n := 0
	for _, h := range t.held {
		if !h.answered {
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
	for _, h := range t.held {
		if h.phase == waiting {
			h.deadline = min(h.deadline, now.Add(StopPatience))
			t.schedule(h, now)
		}
	}
}

// Arrive accepts a request and asks the owner for a target.
func (t *Table) Arrive(now model.Time, r event.Request) []effect.Effect {
	if t.stopping {
		return refuse(r.ID, problem.New(problem.Stopping, "the host is stopping"))
	}
	if t.held[r.ID] != nil {
		return nil
	}
	h := &held{req: r, deadline: now.Add(r.Patience)}
	if !t.keyHolds(h) {
		return refuse(r.ID, keyRejected())
	}
	t.held[r.ID] = h
	return t.ask(now, h)
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
		h := t.held[id]
		unknown := h.phase != forwarded && h.done != nil && h.done.Outcome == message.OutcomeUnknown
		if h.phase != forwarded && !unknown {
			continue
		}
		f := h.run
		f.Deadline = max(0, h.runUntil.Sub(now))
		list = append(list, f)
	}
	return list
}

// Advance does what is due: repeated messages and refusals for lack of an
// owner.
func (t *Table) Advance(now model.Time) []effect.Effect {
	var out []effect.Effect
	for {
		_, d, h, ok := t.due.Peek()
		if !ok || d.at > now {
			return out
		}
		t.due.Pop()
		out = append(out, t.advance(now, h)...)
	}
}

func (t *Table) advance(now model.Time, h *held) []effect.Effect {
	switch {
	case h.phase == waiting && now >= h.deadline.Add(OwnerGrace):
		out := t.answer(h, effect.AnswerRequest{Request: h.req.ID, Problem: h.truthful(t.lateness(h))})
		return append(out, t.withdraw(now, h)...)
	case h.phase == settling && !h.answered && now >= h.answerBy:
		out := t.answer(h, effect.AnswerRequest{Request: h.req.ID, Attempt: h.ended})
		return append(out, t.resend(now, h)...)
	default:
		return t.resend(now, h)
	}
}

func (t *Table) lateness(h *held) *problem.Problem {
	if t.stopping {
		return problem.New(problem.Stopping, "the host is stopping")
	}
	if t.leader == "" {
		return problem.New(problem.NoLeader, "no leader was known within the request's patience")
	}
	return problem.New(problem.PatienceExceeded, "no target was free within %.1f s", h.req.Patience.Seconds())
}

// resend sends the message that the owner has not answered yet.
func (t *Table) resend(now model.Time, h *held) []effect.Effect {
	var out []effect.Effect
	if h.done != nil && h.phase != forwarded {
		out = t.sendOwner(message.Message{Done: h.done})
	}
	if h.phase == waiting {
		return append(out, t.ask(now, h)...)
	}
	if h.phase == withdrawn {
		w := &message.Withdraw{Request: h.req.ID, Attempt: h.ended, Claim: h.claim()}
		out = t.sendOwner(message.Message{Withdraw: w})
	}
	t.schedule(h, now)
	return out
}

func (t *Table) ask(now model.Time, h *held) []effect.Effect {
	t.schedule(h, now)
	if now >= h.deadline {
		return nil
	}
	return t.sendOwner(message.Message{Ask: &message.Ask{
		Request: h.req.ID, Inc: t.inc, Team: h.req.Team, Queue: h.req.Queue,
		Idempotent: h.req.Idempotent, Key: h.req.Key, Body: h.req.Body,
		Worth: h.req.Worth, Patience: h.deadline.Sub(now), Attempt: h.ended,
	}})
}

func (t *Table) answer(h *held, a effect.AnswerRequest) []effect.Effect {
	if h.answered {
		return nil
	}
	h.answered = true
	return []effect.Effect{a}
}

func (t *Table) sendOwner(m message.Message) []effect.Effect {
	if t.leader == "" {
		return nil
	}
	return []effect.Effect{effect.Send{To: t.leader, Message: m}}
}

// schedule sets the next time at which the request needs attention.
func (t *Table) schedule(h *held, now model.Time) {
	if h.phase == forwarded {
		t.due.Remove(h.req.ID)
		return
	}
	at := now.Add(ResendInterval)
	if h.phase == waiting {
		at = min(at, h.deadline.Add(OwnerGrace))
	} else if h.phase == settling && !h.answered {
		at = min(at, h.answerBy)
	}
	t.due.Set(h.req.ID, due{at, h.req.ID}, h)
}

func (t *Table) remove(h *held) {
	delete(t.held, h.req.ID)
	t.due.Remove(h.req.ID)
}

func (t *Table) sortedIDs() []model.RequestID {
	ids := make([]model.RequestID, 0, len(t.held))
	for id := range t.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
