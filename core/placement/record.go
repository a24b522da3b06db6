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
	queue   *teamQueue // nil while it is delayed or proposed
	delayed bool
	parked  *parked // where it waits for room while it is delayed
	misfits int     // attempts in a row that found no worker
	fails   int     // failed runs seen in this term

	// While it is proposed or placed.
	worker       *worker
	pending      bool // proposed and not yet committed
	reserved     model.Resources
	peak         model.Resources   // largest usage reported of this run
	ordered      bool              // an order to run may have been sent
	lastOrder    model.Time        // of the last order to run
	waitsFrom    model.Time        // first order of a run that is not reported yet; zero if none
	ending       bool              // its end is proposed
	failed       bool              // its run has failed
	began        model.Time        // of the run, by its reports; zero until one lists it
	saved        bool              // its run has ended with a checkpoint
	throttled    bool              // its worker says so
	eviction     message.OrderKind // how its capacity is taken back; empty if it is not
	evictionSent bool              // the order has been sent
	near         [2]domain         // where it counts in Placer.crowds
}

// placed reports whether the replicated state has the task on a worker.
func (r *record) placed() bool { return r.task.Phase == fleet.TaskPlaced }

// refreshTask takes over the replicated state of a task.
func (p *Placer) refreshTask(env Env, id model.TaskID) {
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
	p.leaveParked(r)
	r.misfits = 0
	w.runs[r.task.ID] = r
	p.countCrowd(r, 1)
	p.reserve(env, r, p.need(r.task))
	if !p.timers.Has(timerID{kind: timerLost, host: w.id}) {
		p.armLost(env, w)
	}
}

// detach takes r out of its queue or off its worker.
func (p *Placer) detach(env Env, r *record) {
	p.unqueue(r)
	p.leaveParked(r)
	if r.pending {
		r.pending = false
		p.team(r.task.Team).pending--
	}
	if w := r.worker; w != nil {
		p.reserve(env, r, model.Resources{})
		delete(w.runs, r.task.ID)
		p.countCrowd(r, -1)
		r.worker = nil
		p.refreshWorker(env, w)
		if w.known {
			p.pool(w.host.Pool).free(w)
		}
	}
	r.peak = model.Resources{}
	r.delayed = false
	r.ordered, r.lastOrder, r.waitsFrom, r.ending = false, 0, 0, false
	r.began, r.throttled, r.eviction, r.evictionSent, r.saved = 0, false, "", false, false
}

// delay keeps a queued task out of its queue for a while.
func (p *Placer) delay(env Env, r *record, d model.Duration) {
	p.unqueue(r)
	r.delayed = true
	p.arm(timerID{kind: timerDelayed, task: r.task.ID}, env.Now.Add(d))
}

// unplace takes back a proposed placement.
func (p *Placer) unplace(env Env, id model.TaskID, d model.Duration) {
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
		p.unplace(env, c.Task, refusedDelay)
	} else if t := env.Fleet.Tasks[c.Task]; t != nil && t.Phase == fleet.TaskPlaced {
		out.log(effect.Log{Code: effect.TaskPlaced, Host: t.Worker, Team: t.Team, Detail: string(t.ID)})
	}
	p.refreshTask(env, c.Task)
}

// endCommitted handles the end of a run. A task whose run failed waits before
// its next one.
func (p *Placer) endCommitted(env Env, out *Out, c *fleet.EndTask) {
	p.refreshTask(env, c.Task)
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
	p.delay(env, r, backoff(failDelayMin, failDelayMax, r.fails))
	r.fails++
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
	if !r.ordered {
		outcome = fleet.OutcomeNotStarted
	}
	p.proposeEnd(env, out, r, outcome, "worker "+string(r.worker.id)+" lost")
}

func (p *Placer) proposeEnd(env Env, out *Out, r *record, outcome fleet.TaskOutcome, detail string) {
	if r.ending {
		return
	}
	r.ending = true
	out.propose(fleet.Command{At: env.Now, EndTask: &fleet.EndTask{
		Task: r.task.ID, Epoch: r.task.Epoch, Outcome: outcome, Detail: detail, Saved: r.saved,
	}})
}

// runEnded handles a run that its worker reports as ended.
func (p *Placer) runEnded(env Env, out *Out, w *worker, r *record, run *message.TaskRun) {
	if r.ending {
		return
	}
	p.learn(r)
	outcome := p.outcomeOf(env, out, w, r, run)
	r.saved = run.Phase == message.RunSaved
	p.proposeEnd(env, out, r, outcome, run.Note)
}

// outcomeOf judges the end of a run. What a suspect worker fails is no evidence
// against a task that has failed nowhere else.
func (p *Placer) outcomeOf(env Env, out *Out, w *worker, r *record, run *message.TaskRun) fleet.TaskOutcome {
	switch {
	case run.Phase == message.RunFinished:
		w.evidence.succeeded()
		p.refreshWorker(env, w)
		return fleet.OutcomeFinished
	case run.Phase == message.RunFailed || overdue(r, run):
		r.failed = true
		suspect := w.evidence.suspect()
		if w.evidence.failed(env.Now, sizeKeyOf(r.task)) {
			p.quarantined(env, out, w)
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
