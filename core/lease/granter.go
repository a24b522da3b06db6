package lease

import (
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Session is the leader's state, in its term, of one host that holds a lease or asks
// for one.
type Session struct {
	Incarnation         model.Incarnation
	Applied             uint64
	Leaving             bool
	Reported            bool       // has sent the list of its forwarded requests in this term
	LastRenew           model.Time // when the latest Renew was received
	LastSeq             uint64     // sequence of that Renew
	earlierIncarnations []model.Incarnation
	LeaseEnd            model.Time // by this time the lease has expired on both clocks
}

// Granter grants leases on behalf of the leader of one term.
type Granter struct {
	term      uint64
	termStart model.Time
	sessions  map[model.HostID]*Session

	// requiredIndex is the index of the latest change of rules or keys that a host
	// must have applied to get a lease. recentChanges are the later changes, which
	// are still within ApplyGrace.
	requiredIndex uint64
	recentChanges []change

	// The index of the latest change of rules or keys, and whether it is in force.
	controlIndex uint64
	inForce      bool
}

// change is a change of rules or keys and the time at which it was applied.
type change struct {
	index uint64
	at    model.Time
}

// NewGranter returns the Granter for a term that started at time now. control is the
// index of the latest change of rules or keys at that time. The age of that change is
// unknown, so a host gets no lease before it has applied the change.
func NewGranter(now model.Time, term uint64, control uint64) *Granter {
	return &Granter{
		term: term, termStart: now, sessions: make(map[model.HostID]*Session),
		requiredIndex: control, controlIndex: control,
	}
}

// ControlChanged records that a change of rules or keys was applied.
func (g *Granter) ControlChanged(now model.Time, index uint64) {
	if index == g.controlIndex {
		return
	}
	g.controlIndex = index
	g.recentChanges = append(g.recentChanges, change{index, now})
	g.inForce = false
}

// HandleRenew handles a Renew and returns the grant. It returns nil if the Renew is for
// another term, or if the host has not yet reported its forwarded requests in this
// term, or if it lags behind a change of rules or keys.
func (g *Granter) HandleRenew(now model.Time, from model.HostID, r *message.Renew) *message.Grant {
	if r.Term != g.term {
		return nil
	}
	s := g.sessions[from]
	if s == nil || s.Incarnation != r.Incarnation {
		next := &Session{Incarnation: r.Incarnation}
		if s != nil {
			next.LeaseEnd = s.LeaseEnd
			next.earlierIncarnations = append(s.earlierIncarnations, s.Incarnation)
		}
		s = next
		g.sessions[from] = s
	}
	s.Applied = max(s.Applied, r.Applied)
	s.Leaving = r.Leaving
	if r.Seq > s.LastSeq {
		s.LastSeq, s.LastRenew = r.Seq, now
	}
	s.Reported = s.Reported || r.Full
	if !s.Reported || g.lags(now, s) {
		return nil
	}
	s.LeaseEnd = now.Add(Duration + Margin)
	return &message.Grant{Term: g.term, Seq: r.Seq, Duration: Duration}
}

// Outdated reports whether a Renew comes from an earlier incarnation of its host: a
// Renew of the current one, on another connection, has overtaken it.
func (g *Granter) Outdated(from model.HostID, inc model.Incarnation) bool {
	s := g.sessions[from]
	return s != nil && slices.Contains(s.earlierIncarnations, inc)
}

// lags reports whether the host has not applied a change whose grace period is over.
// Each change has a grace period of its own: if only the latest change had one, a
// host could keep its lease without applying anything for as long as changes
// continue.
func (g *Granter) lags(now model.Time, s *Session) bool {
	for len(g.recentChanges) > 0 && now >= g.recentChanges[0].at.Add(ApplyGrace) {
		g.requiredIndex = g.recentChanges[0].index
		g.recentChanges = g.recentChanges[1:]
	}
	return s.Applied < g.requiredIndex
}

// Session returns the session of a host, or nil.
func (g *Granter) Session(host model.HostID) *Session { return g.sessions[host] }

// Serving reports whether the host may still hold a valid lease.
func (g *Granter) Serving(now model.Time, host model.HostID) bool {
	s := g.sessions[host]
	if s == nil || !s.Reported {
		return now < g.termStart.Add(Duration+Margin)
	}
	return now < s.LeaseEnd
}

// Fenced reports whether every lease granted by an earlier leader has expired or
// belongs to a host that has reported to this leader.
func (g *Granter) Fenced(now model.Time, members []model.HostID) bool {
	if now >= g.termStart.Add(Duration+Margin) {
		return true
	}
	return !slices.ContainsFunc(members, func(h model.HostID) bool {
		s := g.sessions[h]
		return s == nil || !s.Reported
	})
}

// InForce reports whether the latest change of rules or keys is in force on every
// member: either the host has applied it or its lease has expired.
func (g *Granter) InForce(now model.Time, members []model.HostID) bool {
	if g.inForce {
		return true
	}
	for _, h := range members {
		s := g.sessions[h]
		applied := s != nil && s.Applied >= g.controlIndex
		if !applied && g.Serving(now, h) {
			return false
		}
	}
	g.inForce = true
	return true
}
