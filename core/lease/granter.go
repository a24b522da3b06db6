package lease

import (
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Session is what the leader knows of one entry host in its term.
type Session struct {
	Incarnation         model.Incarnation
	Applied             uint64
	Leaving             bool
	Reported            bool       // sent its forwarded requests in this term
	LastRenew           model.Time // received
	LastSeq             uint64     // of the same Renew
	earlierIncarnations []model.Incarnation
	End                 model.Time // the lease has ended at this time on every clock
}

// Granter grants leases for the leader of one term.
type Granter struct {
	term      uint64
	termStart model.Time
	sessions  map[model.HostID]*Session

	// requiredIndex is the last change of rules or keys that a host must have
	// applied to get a lease; recent are the later ones, within ApplyGrace.
	requiredIndex uint64
	recentChanges []change

	// The last change of rules or keys, and whether it is in force.
	controlIndex uint64
	inForce      bool
}

// change is a change of rules or keys and the time at which it was applied.
type change struct {
	index uint64
	at    model.Time
}

// NewGranter returns the Granter of a term that began at time now. control is
// the index of the last change of rules or keys at that time. Its age is not
// known, so a host gets no lease before it has applied it.
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

// Renewed handles a Renew and returns the grant, or nil if the host gets none:
// its term is another one, it has not reported its forwarded requests yet, or
// it lags behind a change of rules or keys.
func (g *Granter) Renewed(now model.Time, from model.HostID, r *message.Renew) *message.Grant {
	if r.Term != g.term {
		return nil
	}
	s := g.sessions[from]
	if s == nil || s.Incarnation != r.Incarnation {
		next := &Session{Incarnation: r.Incarnation}
		if s != nil {
			next.End = s.End
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
	s.End = now.Add(Duration + Margin)
	return &message.Grant{Term: g.term, Seq: r.Seq, Duration: Duration}
}

// Outdated reports whether a Renew comes from an earlier life of its host: it
// was overtaken by one of the present life on another connection.
func (g *Granter) Outdated(from model.HostID, inc model.Incarnation) bool {
	s := g.sessions[from]
	return s != nil && slices.Contains(s.earlierIncarnations, inc)
}

// lags reports whether the host lacks a change whose grace has ended. Each
// change has its own grace: with one grace for the latest change only, a host
// would keep its lease for as long as changes go on.
func (g *Granter) lags(now model.Time, s *Session) bool {
	for len(g.recentChanges) > 0 && now >= g.recentChanges[0].at.Add(ApplyGrace) {
		g.requiredIndex = g.recentChanges[0].index
		g.recentChanges = g.recentChanges[1:]
	}
	return s.Applied < g.requiredIndex
}

// Session returns the session of a host, or nil.
func (g *Granter) Session(host model.HostID) *Session { return g.sessions[host] }

// Serving reports whether the lease of a host may still run.
func (g *Granter) Serving(now model.Time, host model.HostID) bool {
	s := g.sessions[host]
	if s == nil || !s.Reported {
		return now < g.termStart.Add(Duration+Margin)
	}
	return now < s.End
}

// Fenced reports whether every lease that an earlier leader granted has ended
// or belongs to a host that has reported to this one.
func (g *Granter) Fenced(now model.Time, members []model.HostID) bool {
	if now >= g.termStart.Add(Duration+Margin) {
		return true
	}
	return !slices.ContainsFunc(members, func(h model.HostID) bool {
		s := g.sessions[h]
		return s == nil || !s.Reported
	})
}

// InForce reports whether the last change of rules or keys is in force on
// every member: applied there, or the host's lease has ended.
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
