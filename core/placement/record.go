package placement

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// record is one unfinished task.
type record struct {
	task *fleet.Task // the version of the replicated state that it reflects

	// While it is queued.
	queue      *teamQueue // nil while it is delayed or proposed
	delayed    bool
	noFitQueue *noFitQueue // where it waits for room while it is delayed
	noFits     int         // attempts in a row that found no worker
	failures   int         // failed runs seen in this term

	// While it is proposed or placed.
	worker         *worker
	pending        bool // proposed and not yet committed
	reserved       model.Resources
	peak           model.Resources   // largest usage reported of this run
	runOrdered     bool              // an order to run may have been sent
	lastRunOrder   model.Time        // of the last order to run
	unstartedSince model.Time        // first order of a run that is not reported yet; zero if none
	endProposed    bool              // its end is proposed
	failed         bool              // its run has failed
	startedAt      model.Time        // of the run, by its reports; zero until one lists it
	checkpointed   bool              // its run has ended with a checkpoint
	throttled      bool              // its worker says so
	eviction       message.OrderKind // how its capacity is taken back; empty if it is not
	evictionSent   bool              // the order has been sent
	domains        [2]teamDomain     // where it counts in Placer.crowds
}

// placed reports whether the replicated state has the task on a worker.
func (r *record) placed() bool { return r.task.Phase == fleet.TaskPlaced }

// syncTask takes over the replicated state of a task.
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
		r.task = task // still waits for its placement
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

// attach counts the run of r on its worker.
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

// detach takes r out of its queue or off its worker.
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
			p.pool(w.host.Pool).noteFreed(w)
		}
	}
	r.peak = model.Resources{}
	r.delayed = false
	r.runOrdered, r.lastRunOrder, r.unstartedSince, r.endProposed = false, 0, 0, false
	r.startedAt, r.throttled, r.eviction, r.evictionSent, r.checkpointed = 0, false, "", false, false
}

// delay keeps a queued task out of its queue for a while.
func (p *Placer) delay(env Env, r *record, d model.Duration) {
	p.dequeue(r)
	r.delayed = true
	p.setTimer(timerID{kind: timerDelayed, task: r.task.ID}, env.Now.Add(d))
}

// cancelPlacement takes back a proposed placement.
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
func (p *Placer) placeCommitted(env Env, out *Out, c *fleet.PlaceTask, result fleet.Result) {
	if result.Problem != nil {
		p.cancelPlacement(env, c.Task, refusedDelay)
	} else if t := env.Fleet.Tasks[c.Task]; t != nil && t.Phase == fleet.TaskPlaced {
		out.log(effect.Log{Code: effect.TaskPlaced, Host: t.Worker, Team: t.Team, Detail: string(t.ID)})
	}
	p.syncTask(env, c.Task)
}

// endCommitted handles the end of a run. A task whose run failed waits before
// its next one.
func (p *Placer) endCommitted(env Env, out *Out, c *fleet.EndTask) {
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

// backoff returns low doubled n times, at most high.
func backoff(low, high model.Duration, n int) model.Duration {
	for range n {
		if low >= high {
			break
		}
		low *= 2
	}
	return min(low, high)
}

// runLost ends a run whose worker no longer runs it. A run that was never
// ordered has not started.
func (p *Placer) runLost(env Env, out *Out, r *record) {
	if r.pending {
		return
	}
	outcome := fleet.OutcomeLost
	if !r.runOrdered {
		outcome = fleet.OutcomeNotStarted
	}
	p.proposeEnd(env, out, r, outcome, "worker "+string(r.worker.id)+" lost")
}

func (p *Placer) proposeEnd(env Env, out *Out, r *record, outcome fleet.TaskOutcome, detail string) {
	if r.endProposed {
		return
	}
	r.endProposed = true
	out.propose(fleet.Command{At: env.Now, EndTask: &fleet.EndTask{
		Task: r.task.ID, Epoch: r.task.Epoch, Outcome: outcome, Detail: detail, Saved: r.checkpointed,
	}})
}

// runEnded handles a run that its worker reports as ended.
func (p *Placer) runEnded(env Env, out *Out, w *worker, r *record, run *message.TaskRun) {
	if r.endProposed {
		return
	}
	p.learnSize(r)
	outcome := p.outcomeOf(env, out, w, r, run)
	r.checkpointed = run.Phase == message.RunSaved
	p.proposeEnd(env, out, r, outcome, run.Note)
}

// outcomeOf judges the end of a run. What a suspect worker fails is no evidence
// against a task that has failed nowhere else.
func (p *Placer) outcomeOf(env Env, out *Out, w *worker, r *record, run *message.TaskRun) fleet.TaskOutcome {
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
	// Part of it has run, and it must not run twice.
	return fleet.OutcomeLost
}

// overdue reports whether a run has passed its longest run time.
func overdue(r *record, run *message.TaskRun) bool {
	limit := r.task.Spec.MaxRun
	if run.Throttled {
		limit *= throttleFactor
	}
	return limit > 0 && run.Ran > limit && !r.task.Cancel
}
