package schedule

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Times of the calls to workers.
const (
	// pollWait is the longest time that a poll waits for an end. It is a small
	// part of the lease, so that some polls may be lost.
	pollWait = 1500 * model.Millisecond
	// startingPollWait is the same while a long-running task begins: other tasks of its
	// step wait for it to be up.
	startingPollWait = 250 * model.Millisecond
	// pollAnswerTime is how long after its wait a poll may be answered: hundreds of times
	// the way to a worker and back, for a leader that is short of processor time.
	pollAnswerTime = 900 * model.Millisecond
	// pollRetryDelay is the pause after a poll that failed.
	pollRetryDelay = 150 * model.Millisecond
	// pollTimeout is how long after its longest wait a poll is given up. The
	// executor reports it after Hold.AnswerTime; this covers a lost report.
	pollTimeout = 3 * model.Second
	// maxAnswerAge is the age of the latest answer from which on a worker gets
	// nothing new.
	maxAnswerAge = 2500 * model.Millisecond
	// maxRefusals is the number of refused connections in a row that prove
	// that no process listens at the address.
	maxRefusals = 2
	// minClockRate is the rate of the slowest worker clock that the platform allows.
	minClockRate = 0.98
	// leaseEndMargin is added to the time at which a lease must be over: two ticks.
	leaseEndMargin = 100 * model.Millisecond
)

// worker is the leader's view of one life of a worker.
type worker struct {
	info  *jobs.Worker
	token uint64
	runs  map[jobs.RunRef]*run
	used  model.Resources
	// untracked is what runs take that are listed and not known: they were given up, or
	// their assignment was never committed. They are being stopped. Until the next list
	// it includes those that were given up since the latest.
	untracked model.Resources
	// Of the long-running tasks among them, their number and thousandths of a core.
	longRunning      int
	longRunningClaim int64
	indexKey         capacityKey // in the index of its service

	polled       bool   // a poll with this leader's token has been answered
	pendingPoll  uint64 // sequence number of the poll that is out, 0 for none
	pollSentAt   model.Time
	pollDeadline model.Time
	pollAt       model.Time // no poll is sent before this
	answeredAt   model.Time // latest answer
	refusals     int        // refused connections in a row
	pollFailed   bool       // the latest poll had no answer
	removing     bool       // its departure is proposed

	clock              order.ClockMS // of the latest answer
	clockAt            model.Time    // when it arrived
	leaseEndsBy        model.Time    // every lease given is over by then
	recordedThrough    uint64        // ends up to this number are recorded
	proposedThrough    uint64        // ends up to this number are proposed
	pendingEndCommands int           // commands with ends of it that are not committed

	failures    map[model.JobID]bool // jobs that failed here since the latest success
	suspectedAt model.Time
	gone        bool // its process has ended
}

func (s *Scheduler) addWorker(env Env, info *jobs.Worker) *worker {
	w := &worker{
		info: info, token: fencingToken(env.Term, info.Life), runs: make(map[jobs.RunRef]*run),
		failures: make(map[model.JobID]bool),
		// Leases of an earlier leader last this long at most.
		leaseEndsBy: env.Now.Add(maxElapsed(env.Bounds.LeaseMax)),
	}
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
	p.dirty = true
}

// leavePool takes a worker out of the pool of its service.
func (s *Scheduler) leavePool(w *worker) {
	p := s.pool(w.info.Service)
	p.workers = slices.DeleteFunc(p.workers, func(other *worker) bool { return other == w })
	p.capacityIndex.remove(w)
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

// fencingToken grows with each term and each life of a worker.
func fencingToken(term, life uint64) uint64 {
	// Log indexes stay below 2^28; terms below 2^25 keep the token within the
	// 53 bits that every JSON reader represents.
	const lifeBits = 28
	return term<<lifeBits | life&(1<<lifeBits-1)
}

// maxElapsed returns how long d of a worker's clock may take.
func maxElapsed(d model.Duration) model.Duration {
	return model.Duration(float64(d)/minClockRate) + leaseEndMargin
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

// handleAnnounced handles a worker that was recorded. Its runs in an earlier life
// have ended with it.
func (s *Scheduler) handleAnnounced(env Env, out *Out, info *jobs.Worker) {
	if old := s.workers[info.ID]; old != nil {
		if old.info.Life == info.Life && old.info.Host == info.Host {
			s.leavePool(old)
			old.info = info
			s.joinPool(old)
			return
		}
		s.giveUpRuns(env, out, old, "its worker began another life")
		s.removeWorker(old)
	}
	s.addWorker(env, info)
	out.log(effect.WorkerSeen, effect.Log{Worker: info.ID, Index: info.Life, Detail: string(info.Service) + " " + info.Address})
	s.advanceWorker(env, out, s.workers[info.ID])
}

func (s *Scheduler) handleDeparted(env Env, out *Out, c *jobs.Depart) {
	w := s.workers[c.Worker]
	if w == nil || w.info.Life != c.Life {
		return
	}
	s.giveUpRuns(env, out, w, "its worker has left")
	s.removeWorker(w)
	out.log(effect.WorkerGone, effect.Log{Worker: c.Worker, Index: c.Life})
}

func (w *worker) setClock(now model.Time, c order.ClockMS) {
	if c >= w.clock {
		w.clock, w.clockAt = c, now
	}
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now model.Time) order.ClockMS {
	return w.clock + order.ClockMS(now.Sub(w.clockAt)/model.Millisecond)
}

// extendLease returns the deadline of a lease from now on and keeps when it is over on
// the slowest clock.
func (w *worker) extendLease(now model.Time, d model.Duration) order.ClockMS {
	deadline := w.clockNow(now) + order.ClockMS(d/model.Millisecond)
	w.leaseEndsBy = max(w.leaseEndsBy, w.clockReachedBy(deadline))
	return deadline
}

// clockReachedBy returns when the worker's clock shows a time at the latest.
func (w *worker) clockReachedBy(c order.ClockMS) model.Time {
	return w.clockAt.Add(maxElapsed(model.Duration(c-w.clock) * model.Millisecond))
}

// leaseDuration is how long a poll lets runs go on: a part of the longest lease, so
// that the runs of a worker that is cut off can be started elsewhere soon.
func leaseDuration(b Bounds) model.Duration { return b.LeaseMax * 3 / 4 }

func (s *Scheduler) advanceWorker(env Env, out *Out, w *worker) {
	if w.pendingPoll != 0 && env.Now > w.pollDeadline {
		w.pendingPoll = 0
	}
	if w.pendingPoll != 0 && len(w.runs) > 0 && s.isLosingAnswers(env.Now) && env.Now.Sub(w.pollSentAt) > s.shortPollWait()+answerLossAnswerTime {
		// It was sent before answers began to get lost. An answer is still welcome.
		w.pendingPoll, w.pollFailed = 0, true
	}
	if w.pendingPoll == 0 && env.Now >= w.pollAt {
		s.poll(env, out, w)
	}
	if len(w.runs) == 0 {
		return
	}
	if !w.isFresh(env.Now) && env.Now > w.leaseEndsBy {
		s.giveUpRuns(env, out, w, "the lease of its worker is over")
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

// giveUpForCopies gives up the runs of a silent worker of which another copy may run at
// the same time, but not while an order may still be carried out: the next list may
// come before that.
func (s *Scheduler) giveUpForCopies(env Env, out *Out, w *worker) {
	for _, r := range sortedRunsOf(w) {
		mayBegin := r.phase == ordered && env.Now <= w.clockReachedBy(r.voidFrom)
		if r.step.Copies && r.phase != assigned && !mayBegin {
			w.untracked = w.untracked.Add(r.claim)
			s.giveUp(env, out, r, jobs.OutcomeLost, "", "its worker is silent and a copy may run")
		}
	}
}

// free is what a worker has left for new runs.
func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.used).Sub(w.untracked) }

// hasOverdueOrder reports whether an order about some run has to be sent again.
func (w *worker) hasOverdueOrder(now model.Time, after model.Duration) bool {
	for _, r := range w.runs {
		if (r.stopping || r.phase == ordered) && now.Sub(r.sentAt) >= after {
			return true
		}
	}
	return false
}

func sortedRunsOf(w *worker) []*run { return sortedRuns(w.runs) }

func (w *worker) isFresh(now model.Time) bool {
	return w.polled && now.Sub(w.answeredAt) <= maxAnswerAge
}

// poll sends the next poll. One that follows a poll without an answer asks at once
// and extends no lease, so that the runs of a worker that is lost are lost soon. So
// does the first of a leader, which does not know the worker's clock yet.
func (s *Scheduler) poll(env Env, out *Out, w *worker) {
	hold := order.Hold{Seen: w.recordedThrough, AnswerTime: pollAnswerTime}
	if w.polled && !w.pollFailed {
		hold.Wait = pollWait
		if w.hasStarting() {
			hold.Wait = startingPollWait
		}
		if len(w.runs) > 0 && s.isLosingAnswers(env.Now) {
			hold.Wait, hold.AnswerTime = min(hold.Wait, s.shortPollWait()), answerLossAnswerTime
		}
		hold.Deadline = w.extendLease(env.Now, leaseDuration(env.Bounds))
	}
	s.load.polls++
	call := s.call(w, order.Call{Hold: &hold})
	w.pendingPoll, w.pollSentAt, w.pollDeadline = call.Call.Seq, env.Now, env.Now.Add(hold.Wait+pollTimeout)
	out.Effects = append(out.Effects, call)
}

// hasStarting reports whether a long-running task is not up yet.
func (w *worker) hasStarting() bool {
	for _, r := range w.runs {
		if r.step.LongRunning && !r.stopping && r.progress < 100 && r.speed == 100 {
			return true
		}
	}
	return false
}

// Replied handles the result of a call to a worker.
func (s *Scheduler) Replied(env Env, out *Out, reply *order.Reply) {
	w := s.workers[reply.Call.Worker]
	if w == nil || w.info.Life != reply.Call.Life || reply.Call.Token != w.token {
		return // a call of an earlier term of this process proves nothing in this one
	}
	if reply.Clock != 0 {
		w.answeredAt, w.refusals = env.Now, 0
		w.setClock(env.Now, reply.Clock)
	}
	if reply.Status == order.Silent && w.polled {
		s.recordUnanswered(env, out, w, reply.Detail)
	}
	switch {
	case reply.Call.Hold != nil:
		s.handlePollReply(env, out, w, reply)
	case reply.Call.Start != nil:
		s.handleStartReply(env, out, w, reply)
	case reply.Call.Stop != nil:
		s.handleStopReply(env, w, reply)
	}
}

func (s *Scheduler) handlePollReply(env Env, out *Out, w *worker, reply *order.Reply) {
	if w.pendingPoll == reply.Call.Seq {
		w.pendingPoll = 0
	}
	if reply.Status == order.Accepted && reply.Born != 0 && w.info.Born != 0 && reply.Born != w.info.Born {
		reply.Status = order.OtherLife
	}
	switch reply.Status {
	case order.Accepted:
		w.pollFailed = false
		s.handleList(env, out, w, reply)
		w.pollAt = env.Now
		if hasUnreadEnd(reply) {
			// The worker answers at once for as long as it has an end to tell.
			w.pollAt = env.Now.Add(pollRetryDelay)
			return
		}
		if w.proposedThrough == w.recordedThrough && w.pendingPoll == 0 {
			s.poll(env, out, w)
		}
		return
	case order.OtherLife:
		s.processEnded(env, out, w, "another process answers at its address")
	case order.Refused:
		w.refusals++
		if w.refusals >= maxRefusals {
			s.processEnded(env, out, w, "nothing listens at its address")
		}
	}
	w.pollFailed = true
	if w.pendingPoll == 0 {
		w.pollAt = env.Now.Add(pollRetryDelay)
	}
	if w.polled && !w.isFresh(env.Now) {
		w.polled = false
		out.log(effect.WorkerSilent, effect.Log{Worker: w.info.ID, Detail: string(reply.Status) + " " + reply.Detail})
	}
}

func hasUnreadEnd(reply *order.Reply) bool {
	return slices.ContainsFunc(reply.Ended, func(e order.Ended) bool { return e.Unread })
}

// processEnded gives up the runs of a worker whose process has certainly ended,
// and the worker. If it is there after all, its next heartbeat brings it back.
func (s *Scheduler) processEnded(env Env, out *Out, w *worker, reason string) {
	s.giveUpRuns(env, out, w, reason)
	w.polled = false
	if len(w.runs) == 0 && !w.removing {
		w.removing = true
		out.Proposals = append(out.Proposals, jobs.Command{Depart: &jobs.Depart{Worker: w.info.ID, Life: w.info.Life}})
	}
}

// handleList takes over what a worker lists.
func (s *Scheduler) handleList(env Env, out *Out, w *worker, reply *order.Reply) {
	if !w.polled {
		w.polled = true
		s.pool(w.info.Service).dirty = true
	}
	listed := make(map[jobs.RunRef]bool, len(reply.Running))
	if reply.Clock >= w.clock { // an older list lacks what began since
		w.untracked = model.Resources{}
	}
	if reply.Unread {
		w.untracked = w.info.Capacity // it may be any run
	}
	defer s.updateCapacityIndex(w)
	for i := range reply.Running {
		listed[reply.Running[i].RunRef] = true
		s.handleRunning(env, out, w, &reply.Running[i], reply.Clock)
	}
	s.recordEnds(env, out, w, reply, listed)
	for _, r := range w.unlisted(listed) {
		if !reply.Partial && r.isVoidAt(reply.Clock) {
			s.giveUp(env, out, r, jobs.OutcomeVoid, "", "its worker does not know it")
		}
	}
	s.throttleBestEffort(env, out, w)
}

// unlisted returns the runs that are not in a list, in order.
func (w *worker) unlisted(listed map[jobs.RunRef]bool) []*run {
	var list []*run
	for ref, r := range w.runs {
		if !listed[ref] {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.ref, b.ref) })
	return list
}

// recordEnds records the ends that are new. A listed end stays listed until the
// worker is told that it is recorded. It is told so of all ends up to a number, so
// those behind one that could not be read are recorded and stay listed.
func (s *Scheduler) recordEnds(env Env, out *Out, w *worker, reply *order.Reply, listed map[jobs.RunRef]bool) {
	var endings []jobs.Ending
	unread := false
	for i := range reply.Ended {
		e := &reply.Ended[i]
		if e.Unread {
			unread = true
			continue
		}
		listed[e.RunRef] = true
		if e.Number <= max(w.recordedThrough, w.proposedThrough) {
			continue
		}
		if !unread {
			w.proposedThrough = e.Number
		}
		r := w.runs[e.RunRef]
		if r == nil {
			// An end that an earlier leader recorded, or of a run that was given up.
			if s.abandoned[e.RunRef] || isAbandoned(env, e.RunRef) {
				endings = append(endings, s.abandonedEnding(e))
			}
			continue
		}
		endings = append(endings, s.ending(r, e.Outcome, e.Checkpoint))
		s.observeEnd(env, out, r, e.Outcome)
		s.dropRun(r)
	}
	switch {
	case len(endings) > 0:
		end := &jobs.End{Runs: endings, Worker: w.info.ID, Life: w.info.Life, Through: w.proposedThrough}
		out.Proposals = append(out.Proposals, jobs.Command{End: end})
		w.pendingEndCommands++
	case w.pendingEndCommands == 0:
		w.recordedThrough = w.proposedThrough
	}
}
