package schedule

import (
	"fmt"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Timing of the orders to start and stop runs.
const (
	// startTimeout is the time after sending within which a worker may execute an
	// order to start.
	startTimeout = 2 * model.Second
	// resendDelay is how long an order waits for an answer before it is sent again.
	resendDelay = 200 * model.Millisecond
)

// runPhase is the state of a run as far as the leader knows it.
type runPhase int

const (
	assigned  runPhase = iota // its assignment is proposed, its order not sent yet
	ordered                   // its order is sent, it is not known to have begun
	inherited                 // assigned by an earlier leader, not known to have begun
	begun                     // its worker has listed it or has accepted the order
)

// run is one run of a task that may be running. It reserves its claim of a worker's
// capacity.
type run struct {
	orderRecord
	ref         jobs.RunRef
	job         *jobs.Job
	step        *jobs.Step
	team        model.TeamID
	worker      *worker
	claim       model.Resources
	phase       runPhase
	awaitsFrom  model.Time // when its order began to wait for an answer of its worker, 0 if it does not
	stopping    bool
	voidFrom    order.ClockMS // the run is void if a list of its worker after this time lacks it
	listedAt    order.ClockMS // when its worker last reported it as present
	sentAt      model.Time    // when the latest order was sent
	listed      bool          // its worker has listed it as running
	endListed   bool          // its worker has listed its end, which is not recorded yet
	begunAt     model.Time    // when the leader learned that it has begun
	speed       int           // allowed speed, in percent of full speed
	speedLost   bool          // the call that sets it was not accepted
	progress    int           // as reported by its worker, in percent; 100 for a long-running task that is up
	throttledAt model.Time    // when speed last changed
	load        int64         // as reported by its worker
}

// addRun adds a run and reserves its claim. If this incarnation of its worker is not
// known, the run is added to a detached worker.
func (s *Scheduler) addRun(env Env, j *jobs.Job, ref jobs.RunRef, worker model.WorkerID, incarnation uint64) *run {
	w := s.workers[worker]
	if w == nil || w.info.Incarnation != incarnation {
		w = s.detachedWorker(env, worker, incarnation)
	}
	step := &j.Steps[ref.Step]
	r := &run{ref: ref, job: j, step: step, team: j.Team, worker: w, claim: step.Claim(), speed: 100}
	s.runs[ref] = r
	if s.runsByJob[ref.Job] == nil {
		s.runsByJob[ref.Job] = make(map[jobs.RunRef]*run)
	}
	s.runsByJob[ref.Job][ref] = r
	w.runs[ref] = r
	w.countRun(r, 1)
	s.updateCapacityIndex(w)
	s.teamUsage[r.team] = s.teamUsage[r.team].Add(step.Size)
	return r
}

// countRun adds the claim of a run to the used capacity of its worker (sign 1), or
// removes it (sign -1).
func (w *worker) countRun(r *run, sign int) {
	add := model.Resources.Add
	if sign < 0 {
		add = model.Resources.Sub
	}
	w.used = add(w.used, r.claim)
	if r.step.LongRunning {
		w.longRunning += sign
		w.longRunningClaim = add(w.longRunningClaim, r.claim)
	}
}

// updateCapacityIndex updates the position of a worker in the index of its service. A
// worker that is gone is in no index.
func (s *Scheduler) updateCapacityIndex(w *worker) {
	if s.workers[w.info.ID] == w {
		s.pool(w.info.Service).capacityIndex.update(w)
	}
}

// dropRun removes a run and releases its claim.
func (s *Scheduler) dropRun(r *run) {
	if s.runs[r.ref] != r {
		return
	}
	delete(s.runs, r.ref)
	if delete(s.runsByJob[r.ref.Job], r.ref); len(s.runsByJob[r.ref.Job]) == 0 {
		delete(s.runsByJob, r.ref.Job)
	}
	delete(r.worker.runs, r.ref)
	r.worker.countRun(r, -1)
	s.updateCapacityIndex(r.worker)
	s.teamUsage[r.team] = s.teamUsage[r.team].Sub(r.step.Size)
	s.pool(r.worker.info.Service).dirty = true
}

// handleAssigned handles committed assignments: it orders their runs to start, unless
// that is no longer possible or allowed.
func (s *Scheduler) handleAssigned(env Env, out *Out, c *jobs.Assign, applied []bool) {
	for i := range c.Runs {
		a := &c.Runs[i]
		delete(s.proposed, a.TaskRef)
		if job := s.active[a.Job]; job != nil {
			job.markChanged()
		}
		r := s.runs[a.RunRef]
		if r == nil {
			continue
		}
		if !applied[i] {
			s.dropRun(r)
			s.stopGang(env, out, r)
			continue
		}
		s.startAssigned(env, out, r)
	}
}

// startAssigned orders a run to start whose assignment is committed, unless that is no longer
// possible or allowed. The run of a long-running task waits for an answer of its worker.
func (s *Scheduler) startAssigned(env Env, out *Out, r *run) {
	if reason := s.voidReason(env, r); reason != "" {
		s.giveUp(env, out, r, jobs.OutcomeVoid, "", reason)
		return
	}
	if r.step.LongRunning && !r.worker.hasJustAnswered(env.Now) {
		s.awaitAnswer(env, out, r)
		return
	}
	s.start(env, out, r, env.State.Task(r.ref.TaskRef).Checkpoint)
}

// voidReason returns why a run whose assignment is committed may not be started, or an empty
// string.
func (s *Scheduler) voidReason(env Env, r *run) string {
	switch {
	case r.worker.gone:
		return "its worker has left"
	case r.stopping:
		return "it was stopped before its order was sent"
	case !s.acceptsRuns(env, r.worker):
		return "its worker stopped accepting new runs after the assignment was proposed"
	case !r.worker.isFresh(env.Now) || s.isSilent(env.Now, r.worker):
		return "its worker stopped answering after the assignment was proposed"
	case env.State.Task(r.ref.TaskRef) == nil:
		return "its job has ended"
	case env.Clock.Sub(env.State.Task(r.ref.TaskRef).AssignedAt) > maxCommitTime:
		return "its assignment was committed too late"
	}
	return ""
}

func runLabel(r jobs.RunRef) string {
	return fmt.Sprintf("%d.%d.%d run %d", r.Round, r.Step, r.Index, r.Run)
}

func (s *Scheduler) markBegun(env Env, r *run, at order.ClockMS) {
	if r.phase != begun {
		r.phase, r.begunAt = begun, env.Now
	}
	r.listedAt = max(r.listedAt, at)
	if job := s.active[r.ref.Job]; job != nil {
		job.begun = true
	}
}

// handleRunning handles a run that the process of a worker lists as running at a time of
// its clock, in the answer to a poll that was sent at sentAt.
func (s *Scheduler) handleRunning(env Env, out *Out, w *worker, listed *order.Running, at order.ClockMS, sentAt model.Time) {
	r := s.runOn(w, listed.RunRef)
	if r == nil {
		// The run was given up, or its assignment was never committed.
		w.untracked = w.untracked.Add(claimOf(env, w, listed.RunRef))
		s.logLostRunListed(env, out, w, listed)
		out.Effects = append(out.Effects, s.call(w, order.Call{Stop: &order.Stop{RunRef: listed.RunRef}}))
		return
	}
	r.listedBy(sentAt)
	s.proposeConfirm(out, r)
	if at < r.listedAt {
		return
	}
	s.markBegun(env, r, at)
	r.listed = true
	r.load = listed.Load
	r.progress = listed.Percent
}

// stopCopies stops the other runs of a task after one copy is done. If the job has
// ended with that copy, its runs are stopped with the job.
func (s *Scheduler) stopCopies(env Env, out *Out, done jobs.RunRef) {
	t := env.State.Task(done.TaskRef)
	if t == nil {
		return
	}
	for run := 1; run <= t.Run; run++ {
		if r := s.runs[jobs.RunRef{TaskRef: done.TaskRef, Run: run}]; r != nil {
			s.stop(env, out, r, "another copy is done")
		}
	}
}

// claimOf returns the claim of a listed run that the scheduler does not track. If its
// job is no longer in the state, the run is assumed to use the whole worker.
func claimOf(env Env, w *worker, ref jobs.RunRef) model.Resources {
	j := env.State.Jobs[ref.Job]
	if j == nil || ref.Step < 0 || ref.Step >= len(j.Steps) {
		return w.info.Capacity
	}
	return j.Steps[ref.Step].Claim()
}

// isVoidAt reports whether a run is void, given that a list that its worker made at
// time at of the worker's clock does not contain it.
func (r *run) isVoidAt(at order.ClockMS) bool {
	switch r.phase {
	case inherited:
		return true
	case ordered:
		return at > r.voidFrom
	case begun:
		return at > r.listedAt
	}
	return false
}

// stop orders a run to stop. The run keeps its claim until its end is certain.
func (s *Scheduler) stop(env Env, out *Out, r *run, reason string) {
	if r.stopping {
		return
	}
	detail := reason + s.describeStep(env, r.ref)
	r.stopping = true
	out.log(effect.RunStopped, effect.Log{Request: model.RequestID(r.ref.Job), Task: runLabel(r.ref), Worker: r.worker.info.ID, Detail: detail})
	if r.phase != assigned {
		s.sendStop(env, out, r)
	}
}

func (s *Scheduler) sendStop(env Env, out *Out, r *run) {
	r.sentAt = env.Now
	if r.worker.info.Address == "" {
		return // only its id is known
	}
	out.Effects = append(out.Effects, s.call(r.worker, order.Call{Stop: &order.Stop{RunRef: r.ref}}))
}

// handleStopReply handles the result of an order to stop. A run that had not begun when
// its worker accepted the order never begins.
func (s *Scheduler) handleStopReply(env Env, w *worker, reply *order.Reply) {
	r := w.runs[reply.Call.Stop.RunRef]
	if r != nil && reply.Status == order.Accepted && r.phase == ordered {
		r.voidFrom = min(r.voidFrom, reply.Clock)
	}
}

// giveUpRuns records the ordered runs of a worker whose process has ended as lost, except those
// that a later process under its ID may run, see giveUpRunsOfEarlierIDs.
func (s *Scheduler) giveUpRuns(env Env, out *Out, w *worker, reason string) {
	w.processEnded = true
	for _, r := range sortedRunsOf(w) {
		if r.phase != assigned && (r.step.Copies || !r.mayOutlastProcess()) {
			s.giveUp(env, out, r, jobs.OutcomeLost, "", reason)
		}
	}
}

// giveUp proposes to record the end of a run that its worker does not list as ended.
func (s *Scheduler) giveUp(env Env, out *Out, r *run, o jobs.Outcome, checkpoint, reason string) {
	if o == jobs.OutcomeLost && r.step.Copies {
		s.abandoned[r.ref] = true
	}
	out.Proposals = append(out.Proposals, jobs.Command{End: &jobs.End{Runs: []jobs.Ending{s.ending(r, o, checkpoint)}}})
	out.log(effect.RunGivenUp, effect.Log{Request: model.RequestID(r.ref.Job), Task: runLabel(r.ref),
		Worker: r.worker.info.ID, Detail: fmt.Sprintf("%s: %s; ordered %d times, last %d ms ago, refused %d times, unanswered %d times, begun %t, listed %t, later process answered %t",
			o, reason, r.orders, env.Now.Sub(r.sentAt)/model.Millisecond, r.refusals, r.unanswered, r.phase == begun, r.listed, r.strayed || r.worker.restarted)})
	if job := s.active[r.ref.Job]; job != nil && r.orders > 0 {
		job.recordLost(env.Now, r, string(o)+": "+reason)
	}
	s.dropRun(r)
	s.stopGang(env, out, r)
}
