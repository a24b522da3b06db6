// Package gateway holds the requests that this host has accepted from its callers,
// from arrival to answer. It asks the owner of the queues for a target, has the
// traffic threads forward the request, reports the outcome to the owner, and answers
// the caller exactly once.
//
// Messages to the owner may be lost, so an Ask is repeated while the request waits,
// and a Done or Withdraw until it is settled. The owner recognises duplicates by the
// request id.
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

// Time limits of the protocol between gateway and owner.
const (
	// ResendInterval is the time after which an unanswered message is sent again.
	ResendInterval = 500 * model.Millisecond
	// OwnerGrace is how long after the end of its patience a request still waits for
	// the owner's refusal before the gateway refuses it.
	OwnerGrace = 250 * model.Millisecond
	// SettleTimeout is how long the answer to a claimed request is delayed to wait for
	// the commit that stores it. After that the caller gets the answer anyway, and a
	// resend is told that the outcome is unknown.
	SettleTimeout = 5 * model.Second
	// StopPatience is how long requests still wait for a target once the host stops.
	StopPatience = 2 * model.Second
)

// Table holds the requests of this host, from arrival until they are settled.
type Table struct {
	incarnation model.Incarnation
	leader      model.HostID
	term        uint64
	stopping    bool
	keys        map[model.Digest]model.TeamID // in force
	held        map[model.RequestID]*request
	due         *pq.Queue[model.RequestID, due, *request]
	ends        []End // since the last call of TakeEnds
}

// due is the sort key of the timers: the time, then the request id to break ties.
type due struct {
	at model.Time
	id model.RequestID
}

// phase is the state of a held request.
type phase uint8

const (
	waiting   phase = iota // waiting for Dispatch or Refuse
	forwarded              // an attempt is running
	settling               // the last attempt has ended; waiting for Settled
	withdrawn              // no further attempt is started; waiting for Settled
)

// request is a request that this host holds for a caller.
type request struct {
	event.Request

	phase        phase
	deadline     model.Time // latest start
	attempt      int        // latest attempt that was forwarded or refused as late
	endedAttempt int        // latest attempt that has ended
	mayHaveRun   bool       // an attempt ended with an unknown outcome
	answered     bool       // the caller has its answer or has disconnected
	callerGone   bool       // the caller has disconnected
	startedLate  bool       // the latest attempt started after the deadline
	forwardedRun message.Forwarded
	runUntil     model.Time    // deadline of the running attempt
	done         *message.Done // end of the latest attempt, until it is settled
	answerBy     model.Time    // when a delayed answer is given, in phase settling
}

// New returns an empty table for the process with this incarnation.
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

// Unanswered returns the number of callers that are waiting for an answer.
func (t *Table) Unanswered() int {
	n := 0
	for _, req := range t.held {
		if !req.answered {
			n++
		}
	}
	return n
}

// Stop starts a graceful stop: new requests are refused, and requests that still wait
// for a target after StopPatience are refused as not run.
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

// Accept accepts a request and asks the owner for a target.
func (t *Table) Accept(now model.Time, r event.Request) []effect.Effect {
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

// SetLeader sets the leader, which is the owner, and its term. If they changed, waiting
// requests are asked for again, and outcomes that are not settled are reported again,
// both to the new owner.
func (t *Table) SetLeader(now model.Time, leader model.HostID, term uint64) []effect.Effect {
	changed := leader != t.leader || term != t.term
	t.leader = leader
	t.term = term
	if !changed || leader == "" {
		return nil
	}
	return t.Resend(now)
}

// Resend repeats all messages that the owner has not answered. It is also called when
// an owner grants its first lease, because earlier messages may have reached it before
// it was ready.
func (t *Table) Resend(now model.Time) []effect.Effect {
	var out []effect.Effect
	for _, id := range t.sortedIDs() {
		out = append(out, t.resend(now, t.held[id])...)
	}
	return out
}

// Forwarded lists the attempts that a target may be running, for the first Renew of a
// term. Attempts with an unknown outcome are included until the owner has settled
// them.
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

// Advance handles what is due: messages to repeat, requests whose patience has ended
// without a refusal by the owner, and delayed answers.
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

// notStartedProblem returns the reason why a request did not start within its
// patience.
func (t *Table) notStartedProblem(req *request) *problem.Problem {
	if t.stopping {
		return problem.New(problem.Stopping, "the host is stopping")
	}
	if t.leader == "" {
		return problem.New(problem.NoLeader, "no leader was known within the request's patience")
	}
	return problem.New(problem.PatienceExceeded, "no target was free within %.1f s", req.Patience.Seconds())
}

// resend repeats the messages of a request that the owner has not answered.
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

// schedule sets the time of the request's next resend, refusal or delayed answer.
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
