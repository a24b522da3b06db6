package schedule

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Timing of the calls to workers.
const (
	// pollWait is the longest time that a poll waits for an end. It is a small part
	// of the lease, so that the loss of a few polls does not end the lease.
	pollWait = 1500 * model.Millisecond
	// startingPollWait replaces pollWait while a long-running task starts, since other
	// tasks of its step wait until it is up.
	startingPollWait = 250 * model.Millisecond
	// pollAnswerTime is how long after its wait a poll may be answered. It is hundreds
	// of times the round trip to a worker, to allow for an overloaded leader.
	pollAnswerTime = 900 * model.Millisecond
	// restartTime is less than the time in which a worker can start again.
	restartTime = 250 * model.Millisecond
	// pollRetryDelay is the delay before the next poll after a failed one.
	pollRetryDelay = 150 * model.Millisecond
	// deferredEndPollDelay is the delay before the next poll while an end may not be recorded
	// yet. Each poll that is lost prolongs that time.
	deferredEndPollDelay = 500 * model.Millisecond
	// pollTimeout is how long after its longest wait a poll is given up. The executor
	// normally reports the failure after order.Poll.AnswerTime; the timeout covers the
	// loss of that report.
	pollTimeout = 3 * model.Second
	// maxAnswerAge is the age of a worker's latest answer above which the worker
	// counts as silent and gets no new runs.
	maxAnswerAge = 2500 * model.Millisecond
	// silentResends is the number of times after which an order would be sent again, without
	// any answer of its worker, until the worker gets no new runs.
	silentResends = 2
	// maxRefusals is the number of consecutive refused connections after which a worker
	// gets no new runs.
	maxRefusals = 2
)

// worker is the leader's view of one incarnation of a worker.
type worker struct {
	info  *jobs.Worker
	token uint64
	// orderToken is the token of the latest order to start a run.
	orderToken uint64
	runs       map[jobs.RunRef]*run
	used       model.Resources
	// untracked is the claim of listed runs that are not in runs: they were given up,
	// or their assignment was never committed. Such runs are being stopped. It also
	// includes runs given up for another copy since the latest list.
	untracked model.Resources
	// Number and claim of the long-running tasks in runs.
	longRunning      int
	longRunningClaim model.Resources
	reserved         []reservedClaim
	indexKey         capacityKey // position in the index of its service

	polled      bool   // a poll with this leader's token was answered, and the worker has not fallen silent since
	pendingPoll uint64 // sequence number of the poll without a result yet, 0 for none
	// forgettingPoll is the sequence number of a poll without an answer that names recorded
	// ends, if no later order has a larger token, 0 for none.
	forgettingPoll uint64
	pollSentAt     model.Time
	pollDeadline   model.Time // the pending poll is given up after this
	pollAt         model.Time // earliest time of the next poll
	answeredAt     model.Time // when the latest answer arrived
	orderedFrom    model.Time // first order to start after the answer that was the latest then
	refusals       int        // consecutive refused connections
	pollFailed     bool       // the latest poll had no answer or was not accepted
	removing       bool       // its removal is proposed
	asksAtOnce     bool       // its poll asks for an answer at once, since orders wait for one

	clock              order.ClockMS // worker's clock in the latest answer
	clockAt            model.Time    // when that answer arrived
	clockSince         model.Time    // when the call to which it answered was sent
	leaseEndsBy        model.Time    // every lease granted to this process has ended by then
	contact            *contact
	restarted          bool       // a later process is known to have started
	restartedAt        model.Time // when it was seen
	fenced             bool       // it has answered a poll, so it refuses calls with tokens from before this record
	recordedThrough    uint64     // listed ends up to this number are recorded
	proposedThrough    uint64     // listed ends up to this number are proposed to be recorded
	toldThrough        uint64     // the number of ends up to which it was told to forget them
	awaitsOrders       bool       // its next poll waits for the answers to its orders
	defersEnd          bool       // its latest list has an end that is not recorded yet, see recordEnds
	pendingEndCommands int        // proposed commands with its ends that are not committed

	lostListed  map[jobs.RunRef]bool // runs that it listed though they count as ended
	failures    map[model.JobID]bool // jobs with a failed run here since the latest success
	suspectedAt model.Time
	gone        bool // it has left or was replaced, see detachWorker
	// processEnded means that its process is known to have ended. A later one may have its ID.
	processEnded bool
	// calledUntil is when the calls to a detached worker have been carried out, those to the
	// processes before it included.
	calledUntil model.Time
}

func (s *Scheduler) addWorker(env Env, info *jobs.Worker) *worker {
	w := &worker{
		info: info, token: s.firstToken(env.Term, info.Incarnation), runs: make(map[jobs.RunRef]*run),
		failures: make(map[model.JobID]bool),
		// Upper bound for the leases that an earlier leader granted.
		leaseEndsBy: env.Now.Add(runsEndAfter(env.Bounds.LeaseMax)),
		contact:     s.contactOf(info),
	}
	w.contact.missed = true
	s.workers[info.ID] = w
	s.workersByHost[info.Host] = append(s.workersByHost[info.Host], w)
	s.joinPool(w)
	return w
}

// joinPool adds a worker to the pool of its service.
func (s *Scheduler) joinPool(w *worker) {
	p := s.pool(w.info.Service)
	at, _ := slices.BinarySearchFunc(p.workers, w, func(a, b *worker) int { return compareIDs(a.info.ID, b.info.ID) })
	p.workers = slices.Insert(p.workers, at, w)
	p.capacityIndex.update(w)
	p.reservations.workerJoined(w)
	p.dirty = true
}

// leavePool removes a worker from the pool of its service.
func (s *Scheduler) leavePool(w *worker) {
	p := s.pool(w.info.Service)
	p.workers = slices.DeleteFunc(p.workers, func(other *worker) bool { return other == w })
	p.capacityIndex.remove(w)
	p.reservations.workerLeft(w, p.workers)
}

func compareIDs(a, b model.WorkerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *Scheduler) removeWorker(w *worker) {
	w.gone = true
	if s.workers[w.info.ID] == w {
		delete(s.workers, w.info.ID)
	}
	same := func(other *worker) bool { return other == w }
	if s.workersByHost[w.info.Host] = slices.DeleteFunc(s.workersByHost[w.info.Host], same); len(s.workersByHost[w.info.Host]) == 0 {
		delete(s.workersByHost, w.info.Host)
	}
	s.leavePool(w)
}

// handleAnnounced handles the committed announcement of a worker.
func (s *Scheduler) handleAnnounced(env Env, out *Out, info *jobs.Worker) {
	if old := s.workers[info.ID]; old != nil {
		if old.info.Incarnation == info.Incarnation && old.info.Host == info.Host {
			s.leavePool(old)
			old.info = info
			s.joinPool(old)
			return
		}
		old.restarted = true
		s.voidAwaiting(env, out, old)
		s.detachWorker(old)
	}
	if s.IsPool(env, info.Service) {
		s.endEarlierProcesses(env, out, info)
	}
	s.addWorker(env, info)
	out.log(effect.WorkerSeen, effect.Log{Worker: info.ID, Index: info.Incarnation, Detail: string(info.Service) + " " + info.Address})
	s.advanceWorker(env, out, s.workers[info.ID])
}

// handleDeparted handles the committed departure of a worker. A worker that announces its
// end may go on for seconds if the acknowledgement is lost.
func (s *Scheduler) handleDeparted(env Env, out *Out, c *jobs.Depart) {
	w := s.workers[c.Worker]
	if w == nil || w.info.Incarnation != c.Incarnation {
		return
	}
	if c.Ended {
		s.giveUpRuns(env, out, w, "its worker has ended")
	}
	s.voidAwaiting(env, out, w)
	s.detachWorker(w)
	out.log(effect.WorkerGone, effect.Log{Worker: c.Worker, Index: c.Incarnation})
}

// sendingOf returns when a call was sent. It returns false if that is not known.
func (w *worker) sendingOf(now model.Time, c *order.Call) (model.Time, bool) {
	switch {
	case c.Poll != nil && c.Seq == w.pendingPoll:
		return w.pollSentAt, true
	case c.Poll != nil:
		return now.Add(-pollWait - pollTimeout), true // an earlier poll, which was given up
	case c.Start != nil && w.runs[c.Start.RunRef] != nil && w.runs[c.Start.RunRef].orders > 0:
		return w.runs[c.Start.RunRef].orderedAt, true
	}
	return 0, false
}

func (s *Scheduler) advanceWorker(env Env, out *Out, w *worker) {
	if w.pendingPoll != 0 && env.Now > w.pollDeadline {
		w.pendingPoll, w.pollFailed, w.contact.missed = 0, true, true
	}
	if w.pendingPoll != 0 && len(w.runs) > 0 && s.isLosingAnswers(env.Now) && env.Now.Sub(w.pollSentAt) > s.shortPollWait(env.Now, w)+answerLossAnswerTime {
		// The poll was sent with a long wait before answers began to get lost. Poll
		// again; a late answer to this one is still handled.
		w.pendingPoll, w.pollFailed, w.contact.missed = 0, true, true
	}
	if w.pendingPoll == 0 && env.Now >= w.pollAt {
		s.poll(env, out, w)
	}
	if s.isUnverified(env, w) {
		s.proposeDeparture(out, w)
	}
	s.startAwaiting(env, out, w)
	if len(w.runs) == 0 {
		return
	}
	if (w.pollFailed || !w.isFresh(env.Now)) && env.Now > w.leaseEndsBy {
		s.giveUpExpired(env, out, w)
		return
	}
	if w.answeredAt != 0 && env.Now.Sub(w.answeredAt) > maxAnswerAge {
		s.giveUpForCopies(env, out, w)
	}
	if !w.hasOverdueOrder(env.Now, s.resendAfter(env.Now)) {
		return
	}
	for _, r := range sortedRunsOf(w) {
		s.advanceRun(env, out, r)
	}
}

// giveUpForCopies gives up the runs of a silent worker whose step allows copies, so that
// another copy can start. It does not give up a run whose order may still be executed:
// the worker could make its next list before it executes the order, and that list would
// not account for the run.
func (s *Scheduler) giveUpForCopies(env Env, out *Out, w *worker) {
	for _, r := range sortedRunsOf(w) {
		mayBegin := r.phase == ordered && env.Now <= w.clockReachedBy(r.voidFrom)
		if r.step.Copies && r.phase != assigned && !mayBegin {
			w.untracked = w.untracked.Add(r.claim)
			s.giveUp(env, out, r, jobs.OutcomeLost, "", "its worker is silent and a copy may run")
		}
	}
}

// free returns the capacity that a worker has left for new runs.
func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.used).Sub(w.untracked) }

// hasOverdueOrder reports whether the order of some run has waited for an answer for at
// least the given time.
func (w *worker) hasOverdueOrder(now model.Time, after model.Duration) bool {
	for _, r := range w.runs {
		if (r.stopping || r.phase == ordered) && !r.endListed && now.Sub(r.sentAt) >= after {
			return true
		}
	}
	return false
}

func sortedRunsOf(w *worker) []*run { return sortedRuns(w.runs) }

func (w *worker) isFresh(now model.Time) bool {
	return w.polled && now.Sub(w.answeredAt) <= maxAnswerAge
}

// isSilent reports whether a worker leaves an order unanswered and has answered nothing
// else since. It may have ended: the task of an order that a later process may carry out
// waits for the longest lease.
func (s *Scheduler) isSilent(now model.Time, w *worker) bool {
	return w.orderedFrom != 0 && w.orderedFrom >= w.answeredAt && now.Sub(w.orderedFrom) >= silentResends*s.resendAfter(now)
}

// Replied handles the result of a call to a worker.
func (s *Scheduler) Replied(env Env, out *Out, reply *order.Reply) {
	w := s.workers[reply.Call.Worker]
	if w == nil || w.info.Incarnation != reply.Call.Incarnation || termOf(reply.Call.Token) != env.Term {
		return // a call of an earlier term of this process proves nothing in this term
	}
	sentAt, known := w.sendingOf(env.Now, &reply.Call)
	switch {
	case (reply.Call.Poll != nil || reply.Call.Start != nil) && (reply.Status == order.NoAnswer || reply.Status == order.Refused):
		w.contact.missed = true
	case known && (reply.Clock != 0 || reply.Status == order.WrongProcess):
		s.noteAnswer(w, reply, sentAt, env.Now)
	}
	if known && reply.Clock != 0 && reply.Status != order.WrongProcess {
		if w.isFromLaterProcess(reply, sentAt, env.Now) {
			s.laterProcessAnswered(env, out, w, reply)
		} else {
			w.answeredAt, w.refusals = env.Now, 0
			w.setClock(env.Now, reply.Clock, sentAt)
		}
	}
	if reply.Status == order.NoAnswer && w.polled {
		s.recordUnanswered(env, out, w, reply.Detail)
	}
	switch {
	case reply.Call.Poll != nil:
		s.handlePollReply(env, out, w, reply)
	case reply.Call.Start != nil:
		s.handleStartReply(env, out, w, reply)
	case reply.Call.Stop != nil:
		s.handleStopReply(env, w, reply)
	case reply.Call.Throttle != nil:
		s.handleThrottleReply(w, reply)
	}
	s.startAwaiting(env, out, w)
	s.pollAfterOrders(env, out, w)
}

// markUnreachable stops the placement of runs on a worker until it answers a poll.
func (s *Scheduler) markUnreachable(out *Out, w *worker, reason string) {
	if w.polled {
		w.polled = false
		out.log(effect.WorkerSilent, effect.Log{Worker: w.info.ID, Detail: reason})
	}
}

// addressLost handles that a worker does not answer at its address, where connections
// are refused or another process answers. The worker gets no new runs. That does not
// prove that its process has ended: a firewall or a cut refuses connections too, and the
// worker may have moved to another address. Its runs are kept until their lease has
// ended, and then the worker is removed. If its process still runs, its next heartbeat
// adds it again.
func (s *Scheduler) addressLost(out *Out, w *worker, reason string) {
	s.markUnreachable(out, w, reason)
	if len(w.runs) == 0 {
		s.proposeDeparture(out, w)
	}
}
