package relay

import (
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
)

// longestWait is the longest time for which a call is taken to have waited in a socket
// during pauses. It is several times as long as callers wait, and bounds the time in which
// a host that is paused again and again gives its calls an old stamp.
const longestWait = 10 * model.Second

// Each submission carries a stamp: a moment of the leader that decides it, at which its
// caller still waited as far as this host knew. Copies that lie unread anywhere when their
// term ends are never decided, and within its term the leader tells by the stamp whether a
// submission may be older than a refusal of the same job.

// setStamp sets the latest stamp of the leader. A zero stamp means that the leader has
// switched the feature off.
func (t *Table) setStamp(s call.Stamp) {
	if s.Term == 0 || t.stamp.IsBefore(s) {
		t.stamp = s
	}
}

func (t *Table) isOfEarlierTerm(s call.Stamp) bool { return s.Term != 0 && s.Term < t.stamp.Term }

// SetTerm sets the term that the log of a replica has reached.
func (t *Table) SetTerm(term uint64) {
	if t.cfg.DurableRefusals {
		t.setStamp(call.Stamp{Term: term})
	}
}

// stampCall sets the stamp of a submission that is about to be sent. Within a term a call
// keeps its stamp. In a later term, a call that was held or may have waited during a pause
// only asks for its outcome: its caller may have gone on to another host and have been
// refused there meanwhile.
func (t *Table) stampCall(h *heldCall) {
	if !t.cfg.DurableRefusals || h.call.Submit == nil || h.call.Stamp.Term == t.stamp.Term {
		return
	}
	h.call.Stamp = t.stamp
	if !h.waited || t.stamp.Term == 0 {
		return
	}
	if t.beforePause.Term != t.stamp.Term {
		h.call.Resolve = true
		return
	}
	h.call.Stamp.At = min(t.stamp.At, max(t.beforePause.At, t.stamp.At.Add(-longestWait)))
}

// NotePause is called once the process notices that it was paused.
func (t *Table) NotePause() {
	if !t.cfg.DurableRefusals {
		return
	}
	t.beforePause = t.stamp
	for _, h := range t.calls {
		h.waited = h.waited || h.call.Submit != nil
	}
}

// handleLaterTerm handles the reply of a leader whose term is not that of a call.
func (t *Table) handleLaterTerm(now model.Time, from model.HostID, s call.Stamp) []effect.Effect {
	if !t.cfg.DurableRefusals || !t.stamp.IsBefore(s) || t.stamp.Term == s.Term {
		return nil
	}
	t.stamp = s
	if !t.cfg.Replica {
		t.leader, t.leaderHeardAt = from, now
	}
	return t.forwardAll(now)
}
