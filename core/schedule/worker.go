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
	// startingWait is the same while a long-running task begins: other tasks of its
	// step wait for it to be up.
	startingWait = 250 * model.Millisecond
	// answerTime is how long after its wait a poll may be answered: hundreds of times
	// the way to a worker and back, for a leader that is short of processor time.
	answerTime = 900 * model.Millisecond
	// pollRetry is the pause after a poll that failed.
	pollRetry = 150 * model.Millisecond
	// pollTimeout is how long after its longest wait a poll is given up. The
	// executor reports it after Hold.AnswerTime; this covers a lost report.
	pollTimeout = 3 * model.Second
	// freshness is the age of the latest answer from which on a worker gets
	// nothing new.
	freshness = 2500 * model.Millisecond
	// refusalsAsProof is the number of refused connections in a row that prove
	// that no process listens at the address.
	refusalsAsProof = 2
	// slowClock is the rate of the slowest worker clock that the platform allows.
	slowClock = 0.98
	// lossMargin is added to the time at which a lease must be over: two ticks.
	lossMargin = 100 * model.Millisecond
)

// worker is the leader's view of one life of a worker.
type worker struct {
	info  *jobs.Worker
	token uint64
	runs  map[jobs.RunRef]*run
	used  model.Resources
	// foreign is what runs take that are listed and not known: they were given up, or
	// their assignment was never committed. They are being stopped. Until the next list
	// it includes those that were given up since the latest.
	foreign model.Resources
	// Of the long-running tasks among them, their number and thousandths of a core.
	longRunning      int
	longRunningClaim int64
	place            roomKey // in the index of its service

	polled    bool   // a poll with this leader's token has been answered
	pollOut   uint64 // sequence number of the poll that is out, 0 for none
	pollSent  model.Time
	pollUntil model.Time
	pollAt    model.Time // no poll is sent before this
	answered  model.Time // latest answer
	refusals  int        // refused connections in a row
	missed    bool       // the latest poll had no answer
	removing  bool       // its departure is proposed

	clock      order.ClockMS // of the latest answer
	clockAt    model.Time    // when it arrived
	leaseOver  model.Time    // every lease given is over by then
	seen       uint64        // ends up to this number are recorded
	recording  uint64        // ends up to this number are proposed
	unrecorded int           // commands with ends of it that are not committed

	failures    map[model.JobID]bool // jobs that failed here since the latest success
	suspectFrom model.Time
	gone        bool // its process has ended
}

func (s *Scheduler) addWorker(env Env, info *jobs.Worker) *worker {
	w := &worker{
		info: info, token: token(env.Term, info.Life), runs: make(map[jobs.RunRef]*run),
		failures: make(map[model.JobID]bool),
		// Leases of an earlier leader last this long at most.
		leaseOver: env.Now.Add(slowed(env.Bounds.LeaseMax)),
	}
	s.workers[info.ID] = w
	s.byHost[info.Host] = append(s.byHost[info.Host], w)
	s.join(w)
	return w
}

// join adds a worker to the pool of its service.
func (s *Scheduler) join(w *worker) {
	p := s.pool(w.info.Service)
	at, _ := slices.BinarySearchFunc(p.workers, w, func(a, b *worker) int { return compareIDs(a.info.ID, b.info.ID) })
	p.workers = slices.Insert(p.workers, at, w)
	p.room.update(w)
	p.dirty = true
}

// leave takes a worker out of the pool of its service.
func (s *Scheduler) leave(w *worker) {
	p := s.pool(w.info.Service)
	p.workers = slices.DeleteFunc(p.workers, func(other *worker) bool { return other == w })
	p.room.remove(w)
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

// token grows with each term and each life of a worker.
func token(term, life uint64) uint64 {
	// Log indexes stay below 2^28; terms below 2^25 keep the token within the
	// 53 bits that every JSON reader represents.
	const lifeBits = 28
	return term<<lifeBits | life&(1<<lifeBits-1)
}

// slowed returns how long d of a worker's clock may take.
func slowed(d model.Duration) model.Duration {
	return model.Duration(float64(d)/slowClock) + lossMargin
}

func (s *Scheduler) removeWorker(w *worker) {
	w.gone = true
	if s.workers[w.info.ID] == w {
		delete(s.workers, w.info.ID)
	}
	same := func(other *worker) bool { return other == w }
	if s.byHost[w.info.Host] = slices.DeleteFunc(s.byHost[w.info.Host], same); len(s.byHost[w.info.Host]) == 0 {
		delete(s.byHost, w.info.Host)
	}
	s.leave(w)
}

// announced handles a worker that was recorded. Its runs in an earlier life
// have ended with it.
func (s *Scheduler) announced(env Env, out *Out, info *jobs.Worker) {
	if old := s.workers[info.ID]; old != nil {
		if old.info.Life == info.Life && old.info.Host == info.Host {
			s.leave(old)
			old.info = info
			s.join(old)
			return
		}
		s.lose(env, out, old, "its worker began another life")
		s.removeWorker(old)
	}
	s.addWorker(env, info)
	out.log(effect.WorkerSeen, effect.Log{Worker: info.ID, Index: info.Life, Detail: string(info.Service) + " " + info.Address})
	s.advanceWorker(env, out, s.workers[info.ID])
}

func (s *Scheduler) departed(env Env, out *Out, c *jobs.Depart) {
	w := s.workers[c.Worker]
	if w == nil || w.info.Life != c.Life {
		return
	}
	s.lose(env, out, w, "its worker has left")
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

// extend returns the deadline of a lease from now on and keeps when it is over on
// the slowest clock.
func (w *worker) extend(now model.Time, d model.Duration) order.ClockMS {
	deadline := w.clockNow(now) + order.ClockMS(d/model.Millisecond)
	w.leaseOver = max(w.leaseOver, w.reached(deadline))
	return deadline
}

// reached returns when the worker's clock shows a time at the latest.
func (w *worker) reached(c order.ClockMS) model.Time {
	return w.clockAt.Add(slowed(model.Duration(c-w.clock) * model.Millisecond))
}

// leaseTime is how long a poll lets runs go on: a part of the longest lease, so
// that the runs of a worker that is cut off can be started elsewhere soon.
func leaseTime(b Bounds) model.Duration { return b.LeaseMax * 3 / 4 }

func (s *Scheduler) advanceWorker(env Env, out *Out, w *worker) {
	if w.pollOut != 0 && env.Now > w.pollUntil {
		w.pollOut = 0
	}
	if w.pollOut != 0 && len(w.runs) > 0 && s.isAlert(env.Now) && env.Now.Sub(w.pollSent) > s.shortWait()+alertAnswerTime {
		// It was sent before answers began to get lost. An answer is still welcome.
		w.pollOut, w.missed = 0, true
	}
	if w.pollOut == 0 && env.Now >= w.pollAt {
		s.poll(env, out, w)
	}
	if len(w.runs) == 0 {
		return
	}
	if !w.isFresh(env.Now) && env.Now > w.leaseOver {
		s.lose(env, out, w, "the lease of its worker is over")
		return
	}
	if w.answered != 0 && env.Now.Sub(w.answered) > freshness {
		s.startCopies(env, out, w)
	}
	if !w.hasOverdue(env.Now, s.resendAfter(env.Now)) {
		return
	}
	for _, r := range sortedRunsOf(w) {
		s.advanceRun(env, out, r)
	}
}

// startCopies gives up the runs of a silent worker of which another copy may run at
// the same time, but not while an order may still be carried out: the next list may
// come before that.
func (s *Scheduler) startCopies(env Env, out *Out, w *worker) {
	for _, r := range sortedRunsOf(w) {
		mayBegin := r.phase == ordered && env.Now <= w.reached(r.voidFrom)
		if r.step.Copies && r.phase != assigned && !mayBegin {
			w.foreign = w.foreign.Add(r.claim)
			s.finish(env, out, r, jobs.OutcomeLost, "", "its worker is silent and a copy may run")
		}
	}
}

// free is what a worker has left for new runs.
func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.used).Sub(w.foreign) }

// hasOverdue reports whether an order about some run has to be sent again.
func (w *worker) hasOverdue(now model.Time, after model.Duration) bool {
	for _, r := range w.runs {
		if (r.stopping || r.phase == ordered) && now.Sub(r.sentAt) >= after {
			return true
		}
	}
	return false
}

func sortedRunsOf(w *worker) []*run { return sortedRuns(w.runs) }

func (w *worker) isFresh(now model.Time) bool {
	return w.polled && now.Sub(w.answered) <= freshness
}

// poll sends the next poll. One that follows a poll without an answer asks at once
// and extends no lease, so that the runs of a worker that is lost are lost soon. So
// does the first of a leader, which does not know the worker's clock yet.
func (s *Scheduler) poll(env Env, out *Out, w *worker) {
	hold := order.Hold{Seen: w.seen, AnswerTime: answerTime}
	if w.polled && !w.missed {
		hold.Wait = pollWait
		if w.hasStarting() {
			hold.Wait = startingWait
		}
		if len(w.runs) > 0 && s.isAlert(env.Now) {
			hold.Wait, hold.AnswerTime = min(hold.Wait, s.shortWait()), alertAnswerTime
		}
		hold.Deadline = w.extend(env.Now, leaseTime(env.Bounds))
	}
	s.load.polls++
	call := s.call(w, order.Call{Hold: &hold})
	w.pollOut, w.pollSent, w.pollUntil = call.Call.Seq, env.Now, env.Now.Add(hold.Wait+pollTimeout)
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
		w.answered, w.refusals = env.Now, 0
		w.setClock(env.Now, reply.Clock)
	}
	if reply.Status == order.Silent && w.polled {
		s.noteUnanswered(env, out, w, reply.Detail)
	}
	switch {
	case reply.Call.Hold != nil:
		s.polled(env, out, w, reply)
	case reply.Call.Start != nil:
		s.started(env, out, w, reply)
	case reply.Call.Stop != nil:
		s.stopped(env, w, reply)
	}
}

func (s *Scheduler) polled(env Env, out *Out, w *worker, reply *order.Reply) {
	if w.pollOut == reply.Call.Seq {
		w.pollOut = 0
	}
	if reply.Status == order.Accepted && reply.Born != 0 && w.info.Born != 0 && reply.Born != w.info.Born {
		reply.Status = order.OtherLife
	}
	switch reply.Status {
	case order.Accepted:
		w.missed = false
		s.listed(env, out, w, reply)
		w.pollAt = env.Now
		if hasUnreadEnd(reply) {
			// The worker answers at once for as long as it has an end to tell.
			w.pollAt = env.Now.Add(pollRetry)
			return
		}
		if w.recording == w.seen && w.pollOut == 0 {
			s.poll(env, out, w)
		}
		return
	case order.OtherLife:
		s.processEnded(env, out, w, "another process answers at its address")
	case order.Refused:
		w.refusals++
		if w.refusals >= refusalsAsProof {
			s.processEnded(env, out, w, "nothing listens at its address")
		}
	}
	w.missed = true
	if w.pollOut == 0 {
		w.pollAt = env.Now.Add(pollRetry)
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
	s.lose(env, out, w, reason)
	w.polled = false
	if len(w.runs) == 0 && !w.removing {
		w.removing = true
		out.Proposals = append(out.Proposals, jobs.Command{Depart: &jobs.Depart{Worker: w.info.ID, Life: w.info.Life}})
	}
}

// listed takes over what a worker lists.
func (s *Scheduler) listed(env Env, out *Out, w *worker, reply *order.Reply) {
	if !w.polled {
		w.polled = true
		s.pool(w.info.Service).dirty = true
	}
	listed := make(map[jobs.RunRef]bool, len(reply.Running))
	if reply.Clock >= w.clock { // an older list lacks what began since
		w.foreign = model.Resources{}
	}
	if reply.Unread {
		w.foreign = w.info.Capacity // it may be any run
	}
	defer s.roomChanged(w)
	for i := range reply.Running {
		listed[reply.Running[i].RunRef] = true
		s.seenRunning(env, out, w, &reply.Running[i], reply.Clock)
	}
	s.takeEnds(env, out, w, reply, listed)
	for _, r := range w.unlisted(listed) {
		if !reply.Partial && r.isVoidAt(reply.Clock) {
			s.finish(env, out, r, jobs.OutcomeVoid, "", "its worker does not know it")
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

// takeEnds records the ends that are new. A listed end stays listed until the
// worker is told that it is recorded. It is told so of all ends up to a number, so
// those behind one that could not be read are recorded and stay listed.
func (s *Scheduler) takeEnds(env Env, out *Out, w *worker, reply *order.Reply, listed map[jobs.RunRef]bool) {
	var endings []jobs.Ending
	unread := false
	for i := range reply.Ended {
		e := &reply.Ended[i]
		if e.Unread {
			unread = true
			continue
		}
		listed[e.RunRef] = true
		if e.Number <= max(w.seen, w.recording) {
			continue
		}
		if !unread {
			w.recording = e.Number
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
		s.noteEnd(env, out, r, e.Outcome)
		s.dropRun(r)
	}
	switch {
	case len(endings) > 0:
		end := &jobs.End{Runs: endings, Worker: w.info.ID, Life: w.info.Life, Through: w.recording}
		out.Proposals = append(out.Proposals, jobs.Command{End: end})
		w.unrecorded++
	case w.unrecorded == 0:
		w.seen = w.recording
	}
}
