package schedule

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// poll sends the next poll. After a poll without an answer, it asks for an immediate
// answer and extends no lease, so that the runs of a lost worker are soon recorded as
// lost. The leader's first poll of a worker does the same, since the leader does not
// know the worker's clock yet.
func (s *Scheduler) poll(env Env, out *Out, w *worker) {
	request := order.Poll{AnswerTime: pollAnswerTime}
	if w.pollFailed || w.forgettingPoll != 0 {
		// The worker may have restarted. Once the later process has seen a larger token, it
		// refuses the calls to the earlier one that are still on their way.
		w.token, w.forgettingPoll = s.largerToken(w.token), 0
	}
	if w.polled && !w.pollFailed && env.Now.Sub(w.answeredAt) < restartTime && s.mayForgetEnds(env.Now, w) {
		// A later process of the worker would take the number for one of its own ends.
		request.RecordedUpTo = w.recordedThrough
	}
	if w.polled && !w.pollFailed {
		request.Wait = pollWait
		if w.hasStarting() || s.awaitsList(env.Now, w) {
			request.Wait = startingPollWait
		}
		if len(w.runs) > 0 && s.isLosingAnswers(env.Now) {
			request.Wait, request.AnswerTime = min(request.Wait, s.shortPollWait(env.Now, w)), answerLossAnswerTime
		}
		if w.asksAtOnce {
			request.Wait = 0
		}
		request.Deadline = w.extendLease(env.Now, leaseDuration(env.Bounds))
	}
	s.load.polls++
	call := s.call(w, order.Call{Poll: &request})
	w.pendingPoll, w.pollSentAt, w.pollDeadline = call.Call.Seq, env.Now, env.Now.Add(request.Wait+pollTimeout)
	w.awaitsOrders = false
	if request.RecordedUpTo > 0 {
		w.forgettingPoll = call.Call.Seq
	}
	out.Effects = append(out.Effects, call)
}

// raiseTokenForOrder gives the next order a larger token than a poll without an answer that
// names recorded ends. A later process that carries out the order refuses that poll.
func (s *Scheduler) raiseTokenForOrder(w *worker) {
	if w.forgettingPoll != 0 {
		w.token, w.forgettingPoll = s.largerToken(w.token), 0
	}
}

// awaitsList reports whether the list in the answer to a poll decides, or soon will, that a
// run which has not begun is not started any more.
func (s *Scheduler) awaitsList(now model.Time, w *worker) bool {
	soon := now.Add(pollWait)
	for _, r := range w.runs {
		if r.phase == ordered && !r.stopping && r.isExcludedBy(soon) {
			return true
		}
	}
	for _, old := range s.detached {
		if w.isLaterThan(old) && len(old.runs) > 0 {
			return true
		}
	}
	for _, old := range s.earlierIDsOnHost(w.info) {
		for _, r := range old.runs {
			if old.processEnded && r.phase != assigned && soon >= w.ordersArriveUntil(r) {
				return true
			}
		}
	}
	return false
}

// hasStarting reports whether some long-running task of the worker is not up yet.
func (w *worker) hasStarting() bool {
	for _, r := range w.runs {
		if r.step.LongRunning && !r.stopping && r.progress < 100 && r.speed == 100 {
			return true
		}
	}
	return false
}

func (s *Scheduler) handlePollReply(env Env, out *Out, w *worker, reply *order.Reply) {
	sentAt := model.Time(0) // not known of a poll that was given up
	if w.pendingPoll == reply.Call.Seq {
		w.pendingPoll, sentAt = 0, w.pollSentAt
	}
	if reply.Status == order.NoAnswer && w.pendingPoll != 0 {
		return // a newer poll tells
	}
	if reply.Status == order.Accepted && !w.isOtherProcess(reply) {
		w.toldThrough = max(w.toldThrough, reply.Call.Poll.RecordedUpTo)
		if w.forgettingPoll == reply.Call.Seq {
			w.forgettingPoll = 0
		}
	}
	if reply.Status == order.Accepted && w.isOtherProcess(reply) {
		reply.Status = order.WrongProcess
		s.giveUpUnlisted(env, out, w, reply, sentAt)
	}
	switch reply.Status {
	case order.Accepted:
		if w.restarted && sentAt < w.restartedAt {
			// The earlier process made this list before it ended.
			s.recordEnds(env, out, w, reply, make(map[jobs.RunRef]bool))
			return
		}
		if w.pollFailed {
			s.pool(w.info.Service).dirty = true // for the tasks that wait for its answer
		}
		w.pollFailed = false
		s.handleList(env, out, w, reply, sentAt)
		s.startAwaiting(env, out, w)
		w.pollAt = env.Now
		// The worker answers at once while it has an end to report, so the next poll is delayed.
		if w.defersEnd {
			w.pollAt = env.Now.Add(deferredEndPollDelay)
			return
		}
		if hasUnparsedEnd(reply) {
			w.pollAt = env.Now.Add(pollRetryDelay)
			return
		}
		if w.proposedThrough == w.recordedThrough {
			s.pollNext(env, out, w)
		}
		return
	case order.Fenced:
		if reply.Call.Token < w.token && w.pendingPoll == 0 {
			// An order with a larger token has overtaken it.
			s.poll(env, out, w)
			return
		}
	case order.WrongProcess:
		s.addressLost(out, w, "another process answers at its address")
	case order.Refused:
		w.refusals++
		if w.refusals >= maxRefusals {
			s.addressLost(out, w, "connections to its address are refused")
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

// pollNext polls a worker that has no pending poll. While it may not be told to forget ends
// that are recorded, it would answer at once, so the poll waits for the answers to its orders.
func (s *Scheduler) pollNext(env Env, out *Out, w *worker) {
	if w.pendingPoll != 0 {
		return
	}
	if w.toldThrough < w.recordedThrough && !s.mayForgetEnds(env.Now, w) {
		w.pollAt, w.awaitsOrders = env.Now.Add(pollRetryDelay), true
		return
	}
	s.poll(env, out, w)
}

// pollAfterOrders polls a worker whose poll has waited for the answers to its orders.
func (s *Scheduler) pollAfterOrders(env Env, out *Out, w *worker) {
	if w.awaitsOrders && w.pendingPoll == 0 && s.mayForgetEnds(env.Now, w) {
		s.poll(env, out, w)
	}
}

// handleList handles the lists in the answer to a poll that was sent at sentAt.
func (s *Scheduler) handleList(env Env, out *Out, w *worker, reply *order.Reply, sentAt model.Time) {
	if !w.fenced {
		// Until it saw this token, calls of an earlier leader or to an earlier process of the
		// worker may have extended its lease.
		w.fenced, w.leaseEndsBy = true, env.Now.Add(runsEndAfter(env.Bounds.LeaseMax))
		s.holdEarlierEnds(w, reply.Ended)
	}
	w.restarted = false
	if !w.polled {
		w.polled = true
		if w.isFromRecordedProcess(reply) {
			s.endEarlierProcesses(env, out, w.info)
		}
		s.pool(w.info.Service).dirty = true
		s.pool(w.info.Service).reservations.joins++
	}
	listed := make(map[jobs.RunRef]bool, len(reply.Running))
	if reply.Clock >= w.clock { // an older list lacks the runs that have begun since
		w.untracked = model.Resources{}
	}
	if reply.Unparsed {
		w.untracked = w.info.Capacity // the run that could not be parsed may be of any size
	}
	defer s.updateCapacityIndex(w)
	for i := range reply.Running {
		listed[reply.Running[i].RunRef] = true
		s.handleRunning(env, out, w, &reply.Running[i], reply.Clock, sentAt)
	}
	s.recordEnds(env, out, w, reply, listed)
	for _, r := range w.unlisted(listed) {
		if !reply.Partial && r.isVoidAt(reply.Clock) && (r.step.Copies || r.isExcludedBy(sentAt)) {
			s.giveUp(env, out, r, r.unlistedOutcome(), "", "its worker does not list it")
		}
	}
	if !reply.Partial {
		s.giveUpUnadopted(env, out, w, sentAt)
	}
	if sentAt != 0 && w.isFromRecordedProcess(reply) {
		s.giveUpRunsOfEarlierIDs(env, out, w, sentAt)
	}
	if !reply.Unparsed {
		s.giveUpOvertaken(env, out, w, sentAt)
	}
	s.throttleBestEffort(env, out, w)
}

// unlisted returns the runs of a worker that are not in a list, sorted.
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
