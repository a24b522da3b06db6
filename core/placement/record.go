package placement

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// record is the placer's state of one unfinished task.
type record struct {
	task *fleet.Task // latest version from the replicated state

	// While the task is queued.
	queue      *teamQueue // nil while it is delayed or proposed
	delayed    bool
	noFitQueue *noFitQueue // queue that it waits in after it fitted no worker; may be nil
	noFits     int         // consecutive attempts that found no worker
	failures   int         // failed runs in this term

	// While the task is proposed or placed.
	worker         *worker
	pending        bool // placement is proposed and not yet committed
	reserved       model.Resources
	peak           model.Resources   // peak usage reported for this run
	runOrdered     bool              // a run order may have been sent
	lastRunOrder   model.Time        // time of the last run order
	unstartedSince model.Time        // first order of a run that is not reported yet; zero if none
	endProposed    bool              // the end of the run is proposed
	failed         bool              // the run has failed
	startedAt      model.Time        // derived from reports; zero until one lists the run
	checkpointed   bool              // the run ended with a checkpoint
	throttled      bool              // as reported by the worker
	eviction       message.OrderKind // how the run is to be evicted; empty if it is not
	evictionSent   bool              // the eviction order has been sent
	domains        [2]teamDomain     // keys under which the task counts in Placer.colocated
}

// placed reports whether the task is placed in the replicated state.
func (r *record) placed() bool { return r.task.Phase == fleet.TaskPlaced }

// syncTask updates the record of a task from the replicated state.
func (p *Placer) syncTask(env Env, id model.TaskID) {
	task := env.Fleet.Tasks[id]
	r := p.records[id]
	if r != nil && r.task == task && !r.pending {
		return
	}
	unfinished := task != nil && (task.Phase == fleet.TaskQueued || task.Phase == fleet.TaskPlaced)
	if r == nil {
		if !unfinished {
			return
		}
		r = &record{}
		p.records[id] = r
		p.team(task.Team).unfinished++
	}
	if r.pending && unfinished && task.Phase == fleet.TaskQueued {
		r.task = task // its placement is still pending
		return
	}
	sameRun := r.task != nil && unfinished && r.placed() && task.Phase == fleet.TaskPlaced && r.task.Epoch == task.Epoch
	if sameRun {
		r.task = task
		return
	}
	p.detach(env, r)
	if !unfinished {
		delete(p.records, id)
		p.team(r.task.Team).unfinished--
		p.timers.Remove(timerID{kind: timerDelayed, task: id})
		return
	}
	r.task = task
	if r.placed() {
		p.attach(env, r, p.worker(task.Worker))
		return
	}
	p.enqueue(env, r)
}

// attach adds r to the runs of a worker and reserves resources for it.
func (p *Placer) attach(env Env, r *record, w *worker) {
	r.worker = w
	r.delayed = false
	p.leaveNoFitQueue(r)
	r.noFits = 0
	w.runs[r.task.ID] = r
	p.countColocation(r, 1)
	p.reserve(env, r, p.need(r.task))
	if !p.timers.Has(timerID{kind: timerLost, host: w.id}) {
		p.setLostTimer(env, w)
	}
}

// detach removes r from its queue or its worker and clears the state of its run.
func (p *Placer) detach(env Env, r *record) {
	p.dequeue(r)
	p.leaveNoFitQueue(r)
	if r.pending {
		r.pending = false
		p.team(r.task.Team).pending--
	}
	if w := r.worker; w != nil {
		p.reserve(env, r, model.Resources{})
		delete(w.runs, r.task.ID)
		p.countColocation(r, -1)
		r.worker = nil
		p.refreshWorker(env, w)
		if w.known {
			p.pool(w.host.Pool).recordFreed(w)
		}
	}
	r.peak = model.Resources{}
	r.delayed = false
	r.runOrdered, r.lastRunOrder, r.unstartedSince, r.endProposed = false, 0, 0, false
	r.startedAt, r.throttled, r.eviction, r.evictionSent, r.checkpointed = 0, false, "", false, false
}

// delay removes a queued task from its queue for a duration.
func (p *Placer) delay(env Env, r *record, d model.Duration) {
	p.dequeue(r)
	r.delayed = true
	p.setTimer(timerID{kind: timerDelayed, task: r.task.ID}, env.Now.Add(d))
}

// cancelPlacement undoes a proposed placement.
func (p *Placer) cancelPlacement(env Env, id model.TaskID, d model.Duration) {
	r := p.records[id]
	if r == nil || !r.pending {
		return
	}
	p.detach(env, r)
	if r.task.Phase == fleet.TaskQueued {
		p.delay(env, r, d)
	}
}

// placeCommitted handles the result of a placement.
func (p *Placer) placeCommitted(env Env, out *Output, c *fleet.PlaceTask, result fleet.Result) {
	if result.Problem != nil {
		p.cancelPlacement(env, c.Task, refusedDelay)
	} else if t := env.Fleet.Tasks[c.Task]; t != nil && t.Phase == fleet.TaskPlaced {
		out.log(effect.Log{Code: effect.TaskPlaced, Host: t.Worker, Team: t.Team, Detail: string(t.ID)})
	}
	p.syncTask(env, c.Task)
}

// endCommitted handles the end of a run. A task whose run failed is delayed before
// its next run.
func (p *Placer) endCommitted(env Env, out *Output, c *fleet.EndTask) {
	p.syncTask(env, c.Task)
	t := env.Fleet.Tasks[c.Task]
	if t != nil && t.Phase == fleet.TaskFailed && t.Epoch == c.Epoch && p.records[c.Task] == nil {
		out.log(effect.Log{Code: effect.TaskFailed, Host: t.Worker, Team: t.Team, Detail: string(t.ID) + ": " + t.Detail})
	}
	if c.Outcome == fleet.OutcomePreempted && t != nil && t.Phase == fleet.TaskQueued && t.Epoch == c.Epoch {
		out.log(effect.Log{Code: effect.TaskPreempted, Team: t.Team, Detail: string(t.ID)})
	}
	r := p.records[c.Task]
	if r == nil || r.queue == nil || !r.failed {
		return
	}
	r.failed = false
	p.delay(env, r, backoff(failDelayMin, failDelayMax, r.failures))
	r.failures++
}

// backoff returns low doubled n times, but at most high.
func backoff(low, high model.Duration, n int) model.Duration {
	for range n {
		if low >= high {
			break
		}
		low *= 2
	}
	return min(low, high)
}

// runLost proposes the end of a run whose worker no longer executes it. A run for
// which no order was sent has not started.
func (p *Placer) runLost(env Env, out *Output, r *record) {
	if r.pending {
		return
	}
	outcome := fleet.OutcomeLost
	if !r.runOrdered {
		outcome = fleet.OutcomeNotStarted
	}
	p.proposeEnd(env, out, r, outcome, "worker "+string(r.worker.id)+" lost")
}

func (p *Placer) proposeEnd(env Env, out *Output, r *record, outcome fleet.TaskOutcome, detail string) {
	if r.endProposed {
		return
	}
	r.endProposed = true
	out.propose(fleet.Command{At: env.Now, EndTask: &fleet.EndTask{
		Task: r.task.ID, Epoch: r.task.Epoch, Outcome: outcome, Detail: detail, Saved: r.checkpointed,
	}})
}

// runEnded handles a run that its worker reports as ended.
func (p *Placer) runEnded(env Env, out *Output, w *worker, r *record, run *message.TaskRun) {
	if r.endProposed {
		return
	}
	p.learnSize(r)
	outcome := p.outcomeOf(env, out, w, r, run)
	r.checkpointed = run.Phase == message.RunSaved
	p.proposeEnd(env, out, r, outcome, run.Note)
}

// outcomeOf determines the outcome of a run that has ended. A failure on a suspect
// worker does not count against a task that has failed on no other worker.
func (p *Placer) outcomeOf(env Env, out *Output, w *worker, r *record, run *message.TaskRun) fleet.TaskOutcome {
	switch {
	case run.Phase == message.RunFinished:
		w.health.recordSuccess()
		p.refreshWorker(env, w)
		return fleet.OutcomeFinished
	case run.Phase == message.RunFailed || overdue(r, run):
		r.failed = true
		suspect := w.health.suspect()
		if w.health.recordFailure(env.Now, sizeKeyOf(r.task)) {
			p.quarantineStarted(env, out, w)
		}
		p.refreshWorker(env, w)
		if suspect && len(r.task.FailedOn) == 0 {
			return fleet.OutcomeStopped
		}
		return fleet.OutcomeFailed
	case r.task.Cancel:
		return fleet.OutcomeStopped
	case r.evictionSent && (r.task.Spec.Idempotent || run.Phase == message.RunSaved):
		return fleet.OutcomePreempted
	case r.task.Spec.Idempotent || run.Phase == message.RunSaved:
		return fleet.OutcomeStopped
	}
	// The run has partly executed, and a task that is not idempotent must not run twice.
	return fleet.OutcomeLost
}

// overdue reports whether a run has exceeded its maximum run time.
func overdue(r *record, run *message.TaskRun) bool {
	limit := r.task.Spec.MaxRun
	if run.Throttled {
		limit *= throttleFactor
	}
	return limit > 0 && run.Ran > limit && !r.task.Cancel
}
