package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// How late a call may be carried out whose sender got no answer.
const (
	// maxCallAge is the age at which a call is still sent.
	maxCallAge = 1500 * model.Millisecond
	// lateCallTime holds for a worker that has taken later calls: the age at which a call is
	// still sent, and the time limit of the call, with which its unsent bytes are dropped.
	lateCallTime = maxCallAge + model.Second
	// maxCallDelay holds for a worker that takes no calls, because it is down, paused or cut
	// off. What its sockets have received is carried out when it takes calls again, though
	// the sender has given up. The longest delay that the platform states is 12 s from the
	// sending.
	maxCallDelay = maxCallAge + 12*model.Second
)

// transit says until when calls without an answer may be carried out.
type transit struct {
	reachableUntil model.Time // a worker that takes calls carries out none after this
	heldUntil      model.Time // nor does one that takes no calls before this
}

// sent records that a call is sent.
func (t *transit) sent(now model.Time) {
	t.reachableUntil, t.heldUntil = max(t.reachableUntil, now.Add(lateCallTime)), max(t.heldUntil, now.Add(maxCallDelay))
}

// include adds the calls of another transit.
func (t *transit) include(b transit) {
	t.reachableUntil, t.heldUntil = max(t.reachableUntil, b.reachableUntil), max(t.heldUntil, b.heldUntil)
}

// held records that the worker may have taken no calls since a given time, and that it takes
// them again now, those that were held for it included.
func (t *transit) held(since, now model.Time) {
	if since < t.reachableUntil {
		t.reachableUntil = min(max(t.reachableUntil, now.Add(lateCallTime)), t.heldUntil)
	}
}

// contact is what the leader knows of the calls to all processes that a worker has had on its
// host. Any of them may carry out a call that was meant for an earlier one.
type contact struct {
	answering  model.Time // sending of the latest call with an answer
	answeredBy int64      // start time of the process that has answered a poll last, 0 if not known
	missed     bool       // a poll or an order since then had no answer

	// leases are the calls that start runs or extend leases, takenAt is when they were known
	// to be carried out, 0 if they are not.
	leases  transit
	takenAt model.Time
	// ends are the orders to start runs whose recorded ends stay listed, see holdEnd.
	ends transit
	// earlier are the calls of earlier leaders.
	earlier transit
}

type contactKey struct {
	worker model.WorkerID
	host   model.HostID
}

// contactOf returns the contact to the processes of a worker on its host. Earlier leaders may
// have called them until the beginning of the term.
func (s *Scheduler) contactOf(info *jobs.Worker) *contact {
	key := contactKey{info.ID, info.Host}
	c := s.contacts[key]
	if c == nil {
		c = &contact{missed: true, answeredBy: info.StartedAt}
		c.leases.sent(s.termBegan)
		c.earlier.sent(s.termBegan)
		s.contacts[key] = c
	}
	return c
}

// forgetContacts removes the contacts to workers that are gone, once no call to them can arrive.
func (s *Scheduler) forgetContacts(now model.Time) {
	used := make(map[*contact]bool)
	for _, w := range s.workers {
		used[w.contact] = true
	}
	for _, w := range s.detached {
		used[w.contact] = true
	}
	for key, c := range s.contacts {
		if !used[c] && now > max(c.leases.heldUntil, c.ends.heldUntil) {
			delete(s.contacts, key)
		}
	}
}

// sent records a call that starts a run or extends the lease.
func (c *contact) sent(now model.Time) {
	c.leases.sent(now)
	c.takenAt = 0
}

// answered records the answer to a call. It returns false if the worker has taken calls ever
// since the latest answer, and otherwise when it may have ceased to.
func (c *contact) answered(reply *order.Reply, sentAt, now model.Time) (since model.Time, wasHeld bool) {
	isNext := reply.StartedAt != 0 && c.answeredBy != 0 && reply.StartedAt != c.answeredBy
	since, wasHeld = c.answering, c.missed || isNext
	if wasHeld {
		c.leases.held(since, now)
		c.ends.held(since, now)
		c.earlier.held(since, now)
	}
	if c.takenAt == 0 && sentAt >= c.leases.reachableUntil {
		c.takenAt = now
	}
	c.answering, c.missed = max(c.answering, sentAt), false
	if reply.StartedAt != 0 {
		c.answeredBy = reply.StartedAt
	}
	return since, wasHeld
}

// carriedOutBy returns the time by which every call is carried out that starts a run or extends
// the lease. Such a run or lease lasts for the longest lease, since the deadline in the call is
// on the clock of another process.
func (c *contact) carriedOutBy() model.Time {
	if c.takenAt != 0 {
		return c.takenAt
	}
	return c.leases.heldUntil
}

// noteAnswer records the answer of a process of a worker to a call that was sent at sentAt. Orders
// that were held for the worker arrive from now on, also those to an earlier process with another
// ID that had its address on the host.
func (s *Scheduler) noteAnswer(w *worker, reply *order.Reply, sentAt, now model.Time) {
	since, wasHeld := w.contact.answered(reply, sentAt, now)
	if !wasHeld {
		return
	}
	for _, r := range w.runs {
		r.held(since, now)
	}
	for _, old := range s.detached {
		if old.contact != w.contact {
			continue
		}
		for _, r := range old.runs {
			r.held(since, now)
		}
	}
	for _, old := range s.earlierIDsOnHost(w.info) {
		if !w.hasAddressOf(old) {
			continue
		}
		for _, r := range old.runs {
			r.held(since, now)
		}
	}
}
