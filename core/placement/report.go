package placement

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Report handles the report of a worker and returns its reply with orders. A
// late report gets an empty reply, which changes nothing on the worker.
func (p *Placer) Report(env Env, out *Out, m *message.WorkerReport) message.ReportReply {
	reply := message.ReportReply{Report: m.Report}
	if !env.MayGrant {
		reply.Problem = problem.New(problem.NoLeader, "the leader cannot grant leases now")
		return reply
	}
	w := p.worker(m.Worker)
	if !w.accept(m) {
		return reply
	}
	p.heard(env, w)
	p.describe(env, out, w, m)
	listed := make(map[model.TaskID]bool, len(m.Runs))
	var stray model.Resources
	for i := range m.Runs {
		run := &m.Runs[i]
		r := p.placedRun(w, run)
		if r == nil {
			stray = stray.Add(strayUsage(run))
			reply.Orders = append(reply.Orders, strayOrder(run))
			continue
		}
		listed[run.Task] = true
		reply.Orders = append(reply.Orders, p.handleRun(env, out, w, r, run)...)
	}
	p.setStray(env, w, stray)
	for _, id := range model.SortedKeys(w.runs) {
		r := w.runs[id]
		if !listed[id] && !r.pending {
			reply.Orders = append(reply.Orders, p.unlisted(env, out, w, r)...)
		}
	}
	if w.mustReboot(m) {
		reply.Reboot = true
		reply.Image = w.host.ImageWant
		if reply.Image == "" {
			reply.Image = w.host.Image
		}
	}
	return reply
}

func (p *Placer) heard(env Env, w *worker) {
	quiet := !w.heard || env.Now >= w.lastHeard.Add(QuietAfter)
	w.heard = true
	w.lastHeard = env.Now
	p.arm(timerID{kind: timerQuiet, host: w.id}, env.Now.Add(QuietAfter))
	if !p.timers.Has(timerID{kind: timerLost, host: w.id}) {
		p.armLost(env, w)
	}
	if quiet || w.node == nil {
		p.refreshWorker(env, w)
	}
}

// placedRun returns the record of a run that is placed on this life of the
// worker, or nil.
func (p *Placer) placedRun(w *worker, run *message.TaskRun) *record {
	r := w.runs[run.Task]
	if r == nil || r.pending || r.task.Epoch != run.Epoch {
		return nil
	}
	return r
}

func strayUsage(run *message.TaskRun) model.Resources {
	if run.Phase == message.RunRunning {
		return run.Usage
	}
	return model.Resources{}
}

// strayOrder ends a run that the worker must not have: its end is recorded, or
// it was placed again in the meantime.
func strayOrder(run *message.TaskRun) message.Order {
	kind := message.OrderForget
	if run.Phase == message.RunRunning {
		kind = message.OrderStop
	}
	return message.Order{Kind: kind, Task: run.Task, Epoch: run.Epoch}
}

func (p *Placer) setStray(env Env, w *worker, stray model.Resources) {
	if stray != w.stray {
		w.stray = stray
		p.refreshWorker(env, w)
	}
}

// handleRun handles a run that is placed on the worker and reported by it.
func (p *Placer) handleRun(env Env, out *Out, w *worker, r *record, run *message.TaskRun) []message.Order {
	if run.Throttled && !r.throttled {
		p.throttled(env, r)
	}
	p.observe(env, r, run.Usage)
	r.waitsFrom = 0
	if run.Phase != message.RunRunning {
		p.runEnded(env, out, w, r, run)
		return nil
	}
	r.began = env.Now.Add(-run.Ran)
	if r.ending || r.task.Cancel || overdue(r, run) {
		return []message.Order{{Kind: message.OrderStop, Task: run.Task, Epoch: run.Epoch}}
	}
	orders := append([]message.Order{p.orderRun(env, r)}, evictionOrders(r)...)
	// A worker that cannot save the progress stops the run, and the task starts
	// again elsewhere, which one that is not idempotent must not do. It is left to
	// finish.
	if !p.mayStart(w) && r.task.Spec.Idempotent {
		orders = append(orders, message.Order{Kind: message.OrderCheckpoint, Task: run.Task, Epoch: run.Epoch})
	}
	return orders
}

// orderRun starts a run or renews its lease.
func (p *Placer) orderRun(env Env, r *record) message.Order {
	r.ordered = true
	r.lastOrder = env.Now
	spec := &r.task.Spec
	return message.Order{
		Kind: message.OrderRun, Task: r.task.ID, Epoch: r.task.Epoch,
		Command: spec.Command, Size: spec.Size, MaxRun: spec.MaxRun, Lease: Lease, Resume: r.task.Resume,
	}
}

// unlisted handles a task that is placed on the worker and not reported by it:
// its life has ended, or it has not been started yet.
func (p *Placer) unlisted(env Env, out *Out, w *worker, r *record) []message.Order {
	if r.ending {
		return nil
	}
	if r.task.WorkerInc != w.inc {
		p.runLost(env, out, r)
		return nil
	}
	if !r.task.Cancel && p.mayStart(w) && !p.startOverdue(env, out, w, r) {
		return []message.Order{p.orderRun(env, r)}
	}
	// An order to start that is still on its way is void after its lease.
	if !r.ordered || env.Now >= r.lastOrder.Add(Lease+LeaseMargin) {
		p.proposeEnd(env, out, r, fleet.OutcomeNotStarted, "")
	}
	return nil
}

// startOverdue reports whether the worker has been ordered to start the run for
// StartMax without doing so. It then gets no new task for a while.
func (p *Placer) startOverdue(env Env, out *Out, w *worker, r *record) bool {
	if r.waitsFrom == 0 {
		r.waitsFrom = env.Now
	}
	if env.Now < r.waitsFrom.Add(StartMax) {
		return false
	}
	if w.evidence.unresponsive(env.Now) {
		p.quarantined(env, out, w)
		p.refreshWorker(env, w)
	}
	return true
}

// quarantined reports a quarantine that begins, and arms its end.
func (p *Placer) quarantined(env Env, out *Out, w *worker) {
	out.log(effect.Log{Code: effect.WorkerSuspect, Host: w.id})
	p.arm(timerID{kind: timerTrial, host: w.id}, w.evidence.until)
}
