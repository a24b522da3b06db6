package placement

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Report handles the report of a worker and returns the reply with its orders. The
// reply to an outdated report is empty and changes nothing on the worker.
func (p *Placer) Report(env Env, out *Output, m *message.WorkerReport) message.ReportReply {
	reply := message.ReportReply{Report: m.Report}
	if !env.MayGrant {
		reply.Problem = problem.New(problem.NoLeader, "the leader cannot grant leases now")
		return reply
	}
	w := p.worker(m.Worker)
	if !w.accept(m) {
		return reply
	}
	p.reportReceived(env, w)
	p.proposeHostReport(env, out, w, m)
	reported := make(map[model.TaskID]bool, len(m.Runs))
	var orphanUsage model.Resources
	for i := range m.Runs {
		run := &m.Runs[i]
		r := p.placedRun(w, run)
		if r == nil {
			orphanUsage = orphanUsage.Add(usageOfOrphan(run))
			reply.Orders = append(reply.Orders, orphanOrder(run))
			continue
		}
		reported[run.Task] = true
		reply.Orders = append(reply.Orders, p.handleRun(env, out, w, r, run)...)
	}
	p.setOrphanUsage(env, w, orphanUsage)
	for _, id := range model.SortedKeys(w.runs) {
		r := w.runs[id]
		if !reported[id] && !r.pending {
			reply.Orders = append(reply.Orders, p.handleUnreported(env, out, w, r)...)
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

func (p *Placer) reportReceived(env Env, w *worker) {
	quiet := !w.reported || env.Now >= w.lastReport.Add(SilenceTimeout)
	w.reported = true
	w.lastReport = env.Now
	p.setTimer(timerID{kind: timerQuiet, host: w.id}, env.Now.Add(SilenceTimeout))
	if !p.timers.Has(timerID{kind: timerLost, host: w.id}) {
		p.setLostTimer(env, w)
	}
	if quiet || w.node == nil {
		p.refreshWorker(env, w)
	}
}

// placedRun returns the record of a reported run that is placed on the worker, or nil
// if it is not.
func (p *Placer) placedRun(w *worker, run *message.TaskRun) *record {
	r := w.runs[run.Task]
	if r == nil || r.pending || r.task.Epoch != run.Epoch {
		return nil
	}
	return r
}

func usageOfOrphan(run *message.TaskRun) model.Resources {
	if run.Phase == message.RunRunning {
		return run.Usage
	}
	return model.Resources{}
}

// orphanOrder returns the order to stop or forget a run that the worker should not
// have: its end is already recorded, or its task has been placed again since.
func orphanOrder(run *message.TaskRun) message.Order {
	kind := message.OrderForget
	if run.Phase == message.RunRunning {
		kind = message.OrderStop
	}
	return message.Order{Kind: kind, Task: run.Task, Epoch: run.Epoch}
}

func (p *Placer) setOrphanUsage(env Env, w *worker, usage model.Resources) {
	if usage != w.orphanUsage {
		w.orphanUsage = usage
		p.refreshWorker(env, w)
	}
}

// handleRun handles a reported run that is placed on the worker and returns its
// orders.
func (p *Placer) handleRun(env Env, out *Output, w *worker, r *record, run *message.TaskRun) []message.Order {
	if run.Throttled && !r.throttled {
		p.runThrottled(env, r)
	}
	p.observeUsage(env, r, run.Usage)
	r.unstartedSince = 0
	if run.Phase != message.RunRunning {
		p.runEnded(env, out, w, r, run)
		return nil
	}
	r.startedAt = env.Now.Add(-run.Ran)
	if r.endProposed || r.task.Cancel || overdue(r, run) {
		return []message.Order{{Kind: message.OrderStop, Task: run.Task, Epoch: run.Epoch}}
	}
	orders := append([]message.Order{p.orderRun(env, r)}, evictionOrders(r)...)
	// A worker that cannot save a checkpoint stops the run, and the task restarts
	// elsewhere. A task that is not idempotent must not restart, so it may finish.
	if !p.mayStart(w) && r.task.Spec.Idempotent {
		orders = append(orders, message.Order{Kind: message.OrderCheckpoint, Task: run.Task, Epoch: run.Epoch})
	}
	return orders
}

// orderRun returns the order that starts a run or renews its lease.
func (p *Placer) orderRun(env Env, r *record) message.Order {
	r.runOrdered = true
	r.lastRunOrder = env.Now
	spec := &r.task.Spec
	return message.Order{
		Kind: message.OrderRun, Task: r.task.ID, Epoch: r.task.Epoch,
		Command: spec.Command, Size: spec.Size, MaxRun: spec.MaxRun, Lease: Lease, Resume: r.task.Resume,
	}
}

// handleUnreported handles a task that is placed on the worker but missing from its
// report: the incarnation that ran it has ended, or it has not been started yet.
func (p *Placer) handleUnreported(env Env, out *Output, w *worker, r *record) []message.Order {
	if r.endProposed {
		return nil
	}
	if r.task.WorkerInc != w.inc {
		p.runLost(env, out, r)
		return nil
	}
	if !r.task.Cancel && p.mayStart(w) && !p.startOverdue(env, out, w, r) {
		return []message.Order{p.orderRun(env, r)}
	}
	// A run order that is still in flight can no longer start the run once its lease
	// has expired.
	if !r.runOrdered || env.Now >= r.lastRunOrder.Add(Lease+LeaseMargin) {
		p.proposeEnd(env, out, r, fleet.OutcomeNotStarted, "")
	}
	return nil
}

// startOverdue reports whether the worker has failed to start the run for StartTimeout
// after the first order. The worker is then quarantined.
func (p *Placer) startOverdue(env Env, out *Output, w *worker, r *record) bool {
	if r.unstartedSince == 0 {
		r.unstartedSince = env.Now
	}
	if env.Now < r.unstartedSince.Add(StartTimeout) {
		return false
	}
	if w.health.recordUnresponsive(env.Now) {
		p.quarantineStarted(env, out, w)
		p.refreshWorker(env, w)
	}
	return true
}

// quarantineStarted logs the start of a quarantine and sets the timer for its end.
func (p *Placer) quarantineStarted(env Env, out *Output, w *worker) {
	out.log(effect.Log{Code: effect.WorkerSuspect, Host: w.id})
	p.setTimer(timerID{kind: timerQuarantineEnd, host: w.id}, w.health.quarantineEnd)
}
