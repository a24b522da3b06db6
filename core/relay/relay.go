// Package relay holds the calls that a process has received and forwards them to the
// leader.
//
// Every call is idempotent, so it is sent again when another leader becomes known or an
// answer is overdue. A call that was never sent is refused as not run; one that was
// sent and got no answer ends with an unknown outcome. docs/design/no-leader.md describes
// what is done so that few calls have one.
//
// A replica knows the leader from its log. An entry host asks the replicas with Contact
// messages, beginning with the seeds of its settings. So does a replica that hears no
// leader, since the leader that can admit it as a member may not be among its seeds.
package relay

import (
	"slices"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Times of a relay.
const (
	// resendTimeout is how long an answer is awaited before a call is sent again. It is
	// several times the duration of a commit on slow disks.
	resendTimeout = 700 * model.Millisecond
	// returnedPause is the time after which a replica sends a call again that the leader
	// returned because it does not hold its lease. It doubles with each return, since the
	// leader may be short of processor time.
	returnedPause = 100 * model.Millisecond
	// maxDoublings is the number of times that returnedPause doubles. More would exceed
	// resendTimeout.
	maxDoublings = 3
	// unsentTimeout is how long a call waits for a leader to become known. It is less
	// than a quarter of the usual patience, so that the caller can still try another
	// host.
	unsentTimeout = 600 * model.Millisecond
	// contactInterval is the time between two contacts of a leader that answers.
	contactInterval = 400 * model.Millisecond
	// searchInterval is the time between two rounds of contacts to all replicas while
	// no leader answers.
	searchInterval = 150 * model.Millisecond
	// leaderSilenceMax is the time without an answer of the leader after which an entry
	// host looks for another leader.
	leaderSilenceMax = 1000 * model.Millisecond
	// readySilenceMax is the time without an answer of the leader after which an entry
	// host is not ready for callers. It is longer than an election, and much less than
	// the time in which withdrawn keys must stop working.
	readySilenceMax = 2500 * model.Millisecond
	// replicaSilenceMax is the time without an answer of any replica after which an
	// entry host considers itself cut off: three contacts. It is shorter than
	// readySilenceMax, as the other replicas answer during an election.
	replicaSilenceMax = 3 * contactInterval
	// renewalTimeout is how long after its arrival a call is surely awaited by its
	// caller, so that it is not older than an order which its holder learns of then. It
	// leaves half of the second for which operators wait to the time before the arrival.
	renewalTimeout = 500 * model.Millisecond
	// retryAfter is the delay after which a caller may try again if no leader is known.
	retryAfter = model.Second
)

// Config does not change while a process runs.
type Config struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Replica     bool
	Seeds       []model.HostID
	// DurableRefusals switches on schedule.DurableRefusals: submissions are sent only to
	// a leader that has just answered, and wait for an election to end.
	DurableRefusals bool
}

type heldCall struct {
	call      call.Call
	arrivedAt model.Time
	sentAt    model.Time     // 0 if it was never sent
	askFrom   model.Time     // it is sent once the leader has answered a Contact of this time or later, 0 if at once
	pause     model.Duration // after sentAt, until it is sent again
	returns   int            // times that a leader has returned it undecided
	waited    bool           // it arrived before or during a pause of the process, or may have
}

// Table holds the calls of a process.
type Table struct {
	cfg           Config
	calls         map[uint64]*heldCall
	leader        model.HostID // empty if unknown
	leaderHeardAt model.Time   // latest answer of the leader
	repliedAt     model.Time   // latest answer of any replica
	replicas      []model.HostID
	contactedAt   model.Time // latest Contact sent
	probedAt      model.Time // latest Contact sent for a call that waits
	contacts      contactLog
	electing      election
	stamp         call.Stamp // latest of the leader
	beforePause   call.Stamp // stamp as of the latest pause
	seq           uint64
	bodyLimit     int64 // largest body that the configuration allows
	loggedReady   bool
	loggedHeld    bool // for the current election
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, calls: make(map[uint64]*heldCall), replicas: slices.Clone(cfg.Seeds)}
}

// SetSeeds replaces the seeds and adds them to the replicas to ask.
func (t *Table) SetSeeds(seeds []model.HostID) {
	t.cfg.Seeds = seeds
	t.addReplicas(seeds)
}

func (t *Table) addReplicas(replicas []model.HostID) {
	for _, r := range replicas {
		if !slices.Contains(t.replicas, r) {
			t.replicas = append(t.replicas, r)
		}
	}
}

// Len returns the number of calls held.
func (t *Table) Len() int { return len(t.calls) }

// BodyLimit returns the largest body that the configuration allows, 0 if that is
// unknown.
func (t *Table) BodyLimit() int64 { return t.bodyLimit }

// Ready reports whether the process can serve calls.
func (t *Table) Ready(now model.Time) bool {
	return t.leader != "" && (t.cfg.Replica || now.Sub(t.leaderHeardAt) <= readySilenceMax && now.Sub(t.repliedAt) <= replicaSilenceMax)
}

// Accept holds a call and forwards it if the leader can be reached.
// waited means that it may have been sent long ago.
func (t *Table) Accept(now model.Time, c call.Call, waited bool) []effect.Effect {
	c.Incarnation = t.cfg.Incarnation
	h := &heldCall{call: c, arrivedAt: now, waited: waited}
	t.calls[c.Seq] = h
	if t.probes() && c.Mutates() {
		h.askFrom = now.Add(-freshContact)
	}
	return append(t.forward(now, h), t.probe(now, h)...)
}

// Abandon drops a call whose caller has disconnected.
func (t *Table) Abandon(seq uint64) { delete(t.calls, seq) }

// leaderReachable reports whether a call can be sent now. A leader that an entry host
// has not heard for leaderSilenceMax may be gone: a call that is not sent to it can
// still be refused as not run.
func (t *Table) leaderReachable(now model.Time) bool {
	return t.leader != "" && (t.cfg.Replica || now.Sub(t.leaderHeardAt) < leaderSilenceMax)
}

// forward sends a call to the leader, unless it cannot be reached or the caller no longer
// waits. A process that was paused may learn of a leader before it ends such a call.
func (t *Table) forward(now model.Time, h *heldCall) []effect.Effect {
	if !t.leaderReachable(now) || !t.heardSince(h) || now.Sub(h.arrivedAt) >= h.call.Patience {
		return nil
	}
	h.sentAt, h.askFrom, h.pause = now, 0, resendTimeout
	t.stampCall(h)
	c := h.call
	c.Patience -= now.Sub(h.arrivedAt)
	return []effect.Effect{effect.Send{To: t.leader, Message: message.Message{Call: &c}}}
}

// SetLeader sets the leader that the log names and forwards the calls to it if it has
// changed.
func (t *Table) SetLeader(now model.Time, leader model.HostID) []effect.Effect {
	if leader == t.leader {
		return nil
	}
	t.leader = leader
	return t.forwardAll(now)
}

func (t *Table) forwardAll(now model.Time) []effect.Effect {
	var out []effect.Effect
	for _, seq := range model.SortedKeys(t.calls) {
		out = append(out, t.forward(now, t.calls[seq])...)
	}
	return out
}

// forwardUnsent forwards the calls that have waited for a leader that can be reached.
func (t *Table) forwardUnsent(now model.Time) []effect.Effect {
	var out []effect.Effect
	for _, seq := range model.SortedKeys(t.calls) {
		if h := t.calls[seq]; h.sentAt == 0 || h.askFrom != 0 {
			out = append(out, t.forward(now, h)...)
		}
	}
	return out
}

// HandleAnswer handles the answer to a call. A call that was superseded by an order which
// this process had not applied yet, but whose caller still waits, is made again: it is
// not older than that order.
func (t *Table) HandleAnswer(now model.Time, a *call.Answer) []effect.Effect {
	h := t.calls[a.Seq]
	if h == nil || a.Incarnation != t.cfg.Incarnation {
		return nil
	}
	superseded := a.Problem != nil && a.Problem.Kind == problem.CallSuperseded
	if superseded && !h.waited && now.Sub(h.arrivedAt) < renewalTimeout {
		h.call.Horizon = a.SupersededBy + 1
		return t.forward(now, h)
	}
	delete(t.calls, a.Seq)
	out := []effect.Effect{effect.AnswerCall{Answer: *a}}
	if superseded {
		out = append(out, effect.Log{Code: effect.CallSuperseded, Request: model.RequestID(h.call.Subject()), Index: a.SupersededBy})
	}
	return out
}

// HandleRedirect handles the reply of a process that does not lead. It forwards the call
// to the leader that is known now; if there is none, an entry host contacts all replicas.
// A replica that knows no other leader sends the call again after returnedPause.
func (t *Table) HandleRedirect(now model.Time, from model.HostID, r *call.Redirect) []effect.Effect {
	h := t.calls[r.Seq]
	if h == nil || r.Incarnation != t.cfg.Incarnation {
		return nil
	}
	if r.Stamp.Term != 0 {
		return t.handleLaterTerm(now, from, r.Stamp)
	}
	if t.probes() {
		return t.handleReturned(now, from, h, r)
	}
	if !t.cfg.Replica {
		if t.leader == from {
			t.leader = r.Leader
		}
		if t.leader == "" {
			return t.contactAll(now)
		}
	}
	switch t.leader {
	case "":
		return nil
	case from:
		if t.cfg.Replica {
			h.pause = min(returnedPause<<min(h.returns, maxDoublings), resendTimeout)
			h.returns++
		}
		return nil
	}
	return t.forward(now, h)
}

// Advance does what is due at a tick.
func (t *Table) Advance(now model.Time) []effect.Effect {
	out := append(t.maintainContact(now), t.logHeld(now)...)
	for _, seq := range model.SortedKeys(t.calls) {
		h := t.calls[seq]
		switch {
		case now.Sub(h.arrivedAt) >= h.call.Patience:
			out = append(out, t.expire(h)...)
		case h.sentAt == 0 && now.Sub(h.arrivedAt) >= unsentTimeout && !t.waitsForElection(now):
			out = append(out, t.expire(h)...)
		case h.sentAt != 0 && now.Sub(h.sentAt) >= h.pause:
			out = append(out, t.forward(now, h)...)
		}
	}
	return out
}

// expire answers a call that got no answer in time.
func (t *Table) expire(h *heldCall) []effect.Effect {
	delete(t.calls, h.call.Seq)
	p := problem.New(problem.NoLeader, "no leader is known")
	p.RetryAfter = retryAfter
	if h.sentAt != 0 && h.call.Mutates() {
		p = problem.New(problem.CallOutcomeUnknown, "the leader did not answer in time")
	}
	answer := call.Answer{Seq: h.call.Seq, Incarnation: t.cfg.Incarnation, Problem: p}
	return []effect.Effect{
		effect.AnswerCall{Answer: answer},
		effect.Log{Code: effect.CallGivenUp, Request: model.RequestID(h.call.Subject()), Host: t.leader, Detail: p.Error()},
	}
}
