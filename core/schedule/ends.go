package schedule

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// recordEnds proposes to record the listed ends that are new. A worker lists an end
// until it is told that the end is recorded. It is told so by a number that covers all
// ends up to it, so the ends after one that could not be parsed or is deferred are recorded
// but stay listed.
func (s *Scheduler) recordEnds(env Env, out *Out, w *worker, reply *order.Reply, listed map[jobs.RunRef]bool) {
	var endings []jobs.Ending
	w.defersEnd = false
	skipped := false
	for i := range reply.Ended {
		e := &reply.Ended[i]
		if e.Unparsed {
			skipped = true
			continue
		}
		listed[e.RunRef] = true
		if e.Number <= max(w.recordedThrough, w.proposedThrough) {
			continue
		}
		r := s.runOn(w, e.RunRef)
		if r != nil && (e.Outcome != jobs.OutcomeDone || r.step.LongRunning) && s.active[e.Job] != nil && r.mayArrive(env.Now, true) {
			// The task would start again while a later process may carry a copy of the order out.
			skipped, w.defersEnd, r.endListed = true, true, true
			continue
		}
		if !skipped {
			w.proposedThrough = e.Number
		}
		if r == nil {
			// An earlier leader recorded the end, or the run was given up.
			if s.abandoned[e.RunRef] || isAbandoned(env, e.RunRef) {
				endings = append(endings, s.abandonedEnding(e))
			}
			continue
		}
		w.holdEnd(env.Now, r)
		endings = append(endings, s.ending(r, e.Outcome, e.Checkpoint))
		s.observeEnd(env, out, r, e.Outcome)
		s.dropRun(r)
	}
	switch {
	case len(endings) > 0:
		end := &jobs.End{Runs: endings, Worker: w.info.ID, Incarnation: w.info.Incarnation, Through: w.proposedThrough}
		out.Proposals = append(out.Proposals, jobs.Command{End: end})
		w.pendingEndCommands++
	case w.pendingEndCommands == 0:
		w.recordedThrough = w.proposedThrough
	}
}

// holdEnd keeps the end of a run listed as long as a copy of the order to start it may be
// carried out late. The worker refuses the copy while it knows the run; a process that
// starts later would run the task again after an end that counts as taken note of.
func (w *worker) holdEnd(now model.Time, r *run) {
	if !r.step.Copies && r.mayArrive(now, true) {
		w.contact.ends.include(r.transit)
	}
}

// holdEarlierEnds keeps the ends listed that a worker lists first in the term and that an earlier
// leader recorded: copies of the orders to start their runs may still arrive.
func (s *Scheduler) holdEarlierEnds(w *worker, ended []order.Ended) {
	isRecorded := func(e order.Ended) bool { return !e.Unparsed && s.runOn(w, e.RunRef) == nil }
	if slices.ContainsFunc(ended, isRecorded) {
		w.contact.ends.include(w.contact.earlier)
	}
}

// mayForgetEnds reports whether the worker may be told to forget its recorded ends. If an order
// to start a run may still reach a later process, that process would forget the end of the run.
func (s *Scheduler) mayForgetEnds(now model.Time, w *worker) bool {
	if now < w.contact.ends.reachableUntil {
		return false
	}
	for _, r := range w.runs {
		if r.mayArrive(now, r.phase == begun) {
			return false
		}
	}
	for _, old := range s.detached {
		if old.info.ID != w.info.ID {
			continue
		}
		for _, r := range old.runs {
			if r.mayArrive(now, r.phase == begun) {
				return false
			}
		}
	}
	return true
}

// hasUnparsedEnd reports whether an end in the answer could not be parsed.
func hasUnparsedEnd(reply *order.Reply) bool {
	return slices.ContainsFunc(reply.Ended, func(e order.Ended) bool { return e.Unparsed })
}

func isAbandoned(env Env, ref jobs.RunRef) bool {
	t := env.State.Task(ref.TaskRef)
	return t != nil && slices.Contains(t.Abandoned, ref.Run)
}

func (s *Scheduler) abandonedEnding(e *order.Ended) jobs.Ending {
	ending := jobs.Ending{RunRef: e.RunRef, Outcome: e.Outcome}
	if job := s.active[e.Job]; job != nil {
		ending.MaxAttempts = job.maxAttempts
	}
	return ending
}

func (s *Scheduler) ending(r *run, o jobs.Outcome, checkpoint string) jobs.Ending {
	e := jobs.Ending{RunRef: r.ref, Outcome: o, Checkpoint: checkpoint}
	if job := s.active[r.ref.Job]; job != nil && !r.step.LongRunning {
		e.MaxAttempts = job.maxAttempts
	}
	return e
}

// observeEnd logs the reported end of a run, stops the rest of its gang after a failure,
// and updates the failure record of its worker.
func (s *Scheduler) observeEnd(env Env, out *Out, r *run, o jobs.Outcome) {
	w := r.worker
	s.load.ends++
	out.log(effect.RunEnded, effect.Log{Request: model.RequestID(r.ref.Job), Task: runLabel(r.ref), Worker: w.info.ID, Detail: string(o)})
	if o != jobs.OutcomeDone {
		s.stopGang(env, out, r)
	}
	switch o {
	case jobs.OutcomeDone:
		s.observeDuration(env, r)
		clear(w.failures)
		w.suspectedAt = 0
	case jobs.OutcomeFailed:
		if job := s.active[r.ref.Job]; job != nil {
			job.failedOn[r.ref.TaskRef] = w.info.ID
		}
		w.failures[r.ref.Job] = true
		if len(w.failures) >= suspectAfterJobs {
			s.suspect(env, out, w)
		}
	}
}

// handleEndsRecorded handles committed ends: the worker may forget them, and tasks that
// are not done may run again.
func (s *Scheduler) handleEndsRecorded(env Env, out *Out, c *jobs.End, applied []bool) {
	for i := range c.Runs {
		if job := s.active[c.Runs[i].Job]; job != nil {
			job.markChanged()
			s.pool(job.service).dirty = true
		}
		delete(s.abandoned, c.Runs[i].RunRef)
		if c.Runs[i].Outcome == jobs.OutcomeDone && applied[i] {
			s.stopCopies(env, out, c.Runs[i].RunRef)
		}
	}
	w := s.workers[c.Worker]
	if w == nil || w.info.Incarnation != c.Incarnation {
		return
	}
	w.pendingEndCommands--
	w.recordedThrough = max(w.recordedThrough, c.Through)
	if env.Now >= w.pollAt {
		s.pollNext(env, out, w)
	}
}
