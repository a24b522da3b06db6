package relay

import (
	"slices"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
)

// The load that these decisions handle: all submissions of the time in which a leader is
// lost and no other is known. What was sent to the lost leader has an unknown outcome
// unless another leader decides it within the caller's patience, so as little as possible
// is sent to a leader that may be gone.

const (
	// freshContact is how long before the arrival of a call the leader may have been
	// asked, at the earliest, for the call to be sent without asking it again. It is well
	// below the second for which a refused caller waits at least, so that the leader's
	// answer is later than any refusal that the caller has.
	freshContact = 100 * model.Millisecond
	// probeTimeout is how long the leader's reply to a Contact is awaited, while a call
	// waits for it, before all replicas are asked. It is several round trips.
	probeTimeout = searchInterval
	// minProbeInterval is the least time between two contacts of a named leader, or of all
	// replicas, because of a call that came back. It is several round trips.
	minProbeInterval = 50 * model.Millisecond
	// electionReportMax is the age up to which a replica's reply counts: three rounds of
	// contacts.
	electionReportMax = 3 * searchInterval
)

// contactLog knows when each Contact was sent.
type contactLog struct {
	open    []sentContact // in the order of their sequence numbers
	askedAt model.Time    // of the latest Contact that the leader has answered
}

type sentContact struct {
	seq uint64
	at  model.Time
}

func (l *contactLog) sent(now model.Time, seq uint64) {
	old := 0
	for old < len(l.open) && now.Sub(l.open[old].at) > leaderSilenceMax {
		old++
	}
	l.open = append(slices.Delete(l.open, 0, old), sentContact{seq, now})
}

// answered records that the leader has answered a Contact. Answers to contacts that are
// too old to matter are ignored.
func (l *contactLog) answered(seq uint64) {
	for _, c := range l.open {
		if c.seq == seq {
			l.askedAt = max(l.askedAt, c.at)
		}
	}
}

// election records what the replicas say about who leads.
type election struct {
	repliedAt  model.Time // latest reply
	noneAt     model.Time // latest reply of a replica that knows no leader
	named      model.HostID
	namedSince model.Time // first reply of those that name this leader
}

func (e *election) observe(now model.Time, from model.HostID, r *call.ContactReply) {
	leader := r.Leader
	if r.Leads {
		leader = from
	}
	e.repliedAt = now
	switch leader {
	case "":
		e.noneAt = now
	case e.named:
	default:
		e.named, e.namedSince = leader, now
	}
}

// goesOn reports whether, by the replica that has answered last, no leader is known or
// one has become known just now. A host that is cut off from the replicas, or from the
// leader alone, sees no election: its callers are better served by another host.
func (e *election) goesOn(now model.Time) bool {
	if now.Sub(e.repliedAt) > electionReportMax {
		return false
	}
	return e.noneAt == e.repliedAt || now.Sub(e.namedSince) < unsentTimeout
}

// waitsForElection reports whether calls that were sent nowhere are held until their
// caller's patience ends. Another entry host could not serve them either, and a caller
// that is refused uses up one of its few attempts.
func (t *Table) waitsForElection(now model.Time) bool {
	return t.cfg.DurableRefusals && t.electing.goesOn(now)
}

// probes reports whether calls are sent only to a leader that has just answered. A replica
// knows the leader from its log instead.
func (t *Table) probes() bool { return t.cfg.DurableRefusals && !t.cfg.Replica }

// heardSince reports whether the leader has answered a Contact that is recent enough for
// the call to be sent.
func (t *Table) heardSince(h *heldCall) bool {
	return h.askFrom == 0 || t.contacts.askedAt >= h.askFrom
}

// probe contacts the leader for a call that waits for its reply, unless a Contact that is
// recent enough is under way.
func (t *Table) probe(now model.Time, h *heldCall) []effect.Effect {
	if t.leader == "" || t.heardSince(h) || max(t.contactedAt, t.probedAt) >= h.askFrom {
		return nil
	}
	return t.probeLeader(now)
}

// probeLeader contacts the leader. It leaves the times of the other contacts as they are,
// since frequent calls would otherwise put off the search for another leader.
func (t *Table) probeLeader(now model.Time) []effect.Effect {
	t.probedAt = now
	return []effect.Effect{t.sendContact(now, t.leader)}
}

// probeNamed contacts a leader that another replica has named, if calls wait for it and
// none was contacted just now.
func (t *Table) probeNamed(now model.Time) []effect.Effect {
	if t.leader == "" || now.Sub(t.probedAt) < minProbeInterval {
		return nil
	}
	for _, h := range t.calls {
		if h.askFrom != 0 {
			return t.probeLeader(now)
		}
	}
	return nil
}

// handleReturned handles the reply to a call of a process that does not lead. The call is
// sent again once the leader has answered. Replicas disagree about who leads during an
// election, and a leader without its lease leads nobody: if each such reply led to
// contacts of all replicas, and each of their replies to another copy of all calls, the
// messages would multiply with every round trip.
func (t *Table) handleReturned(now model.Time, from model.HostID, h *heldCall, r *call.Redirect) []effect.Effect {
	h.askFrom = now
	if t.leader == from {
		t.leader = r.Leader
	}
	if t.leader == "" && now.Sub(t.contactedAt) >= minProbeInterval {
		return t.contactAll(now)
	}
	return t.probeNamed(now)
}

// probeOverdue reports whether a call has waited for the leader's reply for so long that
// the leader may be gone.
func (t *Table) probeOverdue(now model.Time) bool {
	for _, h := range t.calls {
		if h.askFrom != 0 && now.Sub(h.askFrom) >= probeTimeout+freshContact {
			return true
		}
	}
	return false
}

// logHeld logs once for each election that calls wait for its end.
func (t *Table) logHeld(now model.Time) []effect.Effect {
	held := 0
	if t.waitsForElection(now) {
		for _, h := range t.calls {
			if h.sentAt == 0 && now.Sub(h.arrivedAt) >= unsentTimeout {
				held++
			}
		}
	} else {
		t.loggedHeld = false
	}
	if held == 0 || t.loggedHeld {
		return nil
	}
	t.loggedHeld = true
	return []effect.Effect{effect.Log{Code: effect.CallsHeld, Count: held}}
}
