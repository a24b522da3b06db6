// Package lease implements serving leases. A host may start new work only while it
// holds a lease from the leader.
//
// The holder measures its lease from the time at which it sent the Renew, the leader
// from the time at which it received the Renew, and the leader adds a margin for the
// drift between the two clocks. The lease has therefore always expired at the holder
// by the time the leader treats it as expired. A leader does not renew the lease of a
// host that has not applied a change of rules or keys, so a change is in force once
// every host has applied it or lost its lease.
package lease

import (
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Times of the protocol.
const (
	Duration = 1000 * model.Millisecond // length of a lease
	Interval = 300 * model.Millisecond  // between two renewals: three per lease
	// Margin covers the drift of the two clocks over one lease (1%) and the delay
	// between the check of the lease and the first byte.
	Margin = 50 * model.Millisecond
	// ApplyGrace is how long a host may serve without having applied a change
	// of rules or keys after the change was committed.
	ApplyGrace = 1000 * model.Millisecond
)

// renewalsKept is the number of renewals whose send times are kept for the dispatches
// that refer to them. They span 2.4 s, which is longer than a dispatch is valid.
const renewalsKept = 8

type renewal struct {
	seq uint64
	at  model.Time
}

// Holder is the state of the lease on the host that holds it.
type Holder struct {
	incarnation      model.Incarnation
	dataCentre       model.DataCentreID
	term             uint64
	leader           model.HostID
	seq              uint64
	unanswered       map[uint64]model.Time // send times of renewals without a grant, by sequence
	recentRenewals   [renewalsKept]renewal // latest renewals, at index sequence modulo length
	lastSent         model.Time
	leaseEnd         model.Time
	fullListAccepted bool // this term's leader has the list of all forwarded requests
}

// NewHolder returns a Holder without a lease.
func NewHolder(inc model.Incarnation, dc model.DataCentreID) *Holder {
	return &Holder{incarnation: inc, dataCentre: dc, unanswered: make(map[uint64]model.Time)}
}

// SetLeader sets the leader and its term; leader is empty if unknown. A new term
// invalidates the renewals in flight, because their grants would come from a deposed
// leader. A lease already held stays valid: the new leader waits until it expires or
// until the host sends a Renew in the new term.
func (h *Holder) SetLeader(leader model.HostID, term uint64) (changed bool) {
	if leader == h.leader && term == h.term {
		return false
	}
	h.leader = leader
	if term != h.term {
		h.term = term
		h.fullListAccepted = false
		clear(h.unanswered)
	}
	h.lastSent = 0
	return true
}

// Leader returns the leader, empty if unknown, and its term.
func (h *Holder) Leader() (model.HostID, uint64) { return h.leader, h.term }

// Due reports whether the next Renew is due.
func (h *Holder) Due(now model.Time) bool {
	return h.leader != "" && now >= h.lastSent.Add(Interval)
}

// Renew returns the next renewal. If Full is set, the caller adds the list of forwarded
// requests in the field Forwarded. The first Renew of a new term ends the lease of the
// earlier term, so that the new leader can rely on that list.
func (h *Holder) Renew(now model.Time, applied uint64, leaving bool) *message.Renew {
	h.seq++
	h.lastSent = now
	h.unanswered[h.seq] = now
	h.recentRenewals[h.seq%renewalsKept] = renewal{h.seq, now}
	if !h.fullListAccepted {
		h.leaseEnd = 0
	}
	return &message.Renew{
		Term:        h.term,
		Seq:         h.seq,
		Incarnation: h.incarnation,
		DataCentre:  h.dataCentre,
		Applied:     applied,
		Leaving:     leaving,
		Full:        !h.fullListAccepted,
	}
}

// HandleGrant records a grant, and reports whether it is the first of its term. Grants
// of other terms or for unknown sequence numbers are ignored.
func (h *Holder) HandleGrant(g *message.Grant) (first bool) {
	sent, ok := h.unanswered[g.Seq]
	if !ok || g.Term != h.term {
		return false
	}
	for seq := range h.unanswered {
		if seq <= g.Seq {
			delete(h.unanswered, seq)
		}
	}
	first = !h.fullListAccepted
	h.fullListAccepted = true
	h.leaseEnd = max(h.leaseEnd, sent.Add(g.Duration))
	return first
}

// RenewSentAt returns when the Renew with this sequence number was sent, if it is among
// the last renewalsKept.
func (h *Holder) RenewSentAt(seq uint64) (model.Time, bool) {
	r := h.recentRenewals[seq%renewalsKept]
	return r.at, seq != 0 && r.seq == seq
}

// LeaseEnd returns the end of the lease.
func (h *Holder) LeaseEnd() model.Time { return h.leaseEnd }

// Valid reports whether new work may start at time now, that is, whether the lease is
// valid.
func (h *Holder) Valid(now model.Time) bool { return now < h.leaseEnd }
