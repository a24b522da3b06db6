package replay

import (
	"cmp"
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// rebootDuration is how long a worker is unreachable during a reboot.
const rebootDuration = 20 * model.Second

// worker is a simulated worker. It executes the orders in the replies to its reports
// and stops tasks whose leases expire.
type worker struct {
	Worker
	e           *engine
	incarnation int
	seq         uint64
	tasks       map[model.TaskID]*taskRun
}

// taskRun is one run of a task on a worker.
type taskRun struct {
	epoch      uint64
	phase      message.TaskRunPhase
	startedAt  model.Time
	leaseEnd   model.Time
	endsAt     model.Time // at its current speed
	endPhase   message.TaskRunPhase
	throttled  bool
	endVersion int // incremented when endsAt changes, so that earlier timers have no effect
}

// changeWorker starts or changes a worker.
func (e *engine) changeWorker(c *Worker) {
	w := e.workers[c.ID]
	if w == nil {
		w = &worker{Worker: *c, e: e, tasks: make(map[model.TaskID]*taskRun)}
		e.workers[c.ID] = w
		w.Lost = true
	}
	w.Fails = c.Fails
	w.setLost(c.Lost)
}

// setLost stops the worker and its tasks, or starts its next incarnation.
func (w *worker) setLost(lost bool) {
	if w.Lost == lost {
		return
	}
	w.Lost = lost
	w.incarnation++
	w.seq = 0
	clear(w.tasks)
	if !lost {
		w.sendReport(w.incarnation)
	}
}

func (w *worker) sendReport(incarnation int) {
	if w.incarnation != incarnation {
		return
	}
	w.expireLeases()
	w.seq++
	sent := w.e.now
	report := message.WorkerReport{
		Worker: w.ID, Inc: model.Incarnation(fmt.Sprintf("%s/%d", w.ID, incarnation)), DataCentre: w.DataCentre,
		Rack: w.Rack, Capacity: w.Capacity, Image: w.Image, Seq: w.seq, Runs: w.runs(),
	}
	report.Report = w.e.registerReport(func(f effect.AnswerReport) {
		if w.incarnation == incarnation {
			w.applyOrders(sent, &f.Reply)
		}
	})
	w.e.post(event.WorkerReported{Report: report})
	w.e.after(reportInterval, func() { w.sendReport(incarnation) })
}

func (w *worker) expireLeases() {
	for _, t := range w.tasks {
		if t.phase == message.RunRunning && w.e.now >= t.leaseEnd {
			t.phase = message.RunStopped
		}
	}
}

func (w *worker) runs() []message.TaskRun {
	var list []message.TaskRun
	for id, t := range w.tasks {
		list = append(list, message.TaskRun{
			Task: id, Epoch: t.epoch, Phase: t.phase, Ran: w.e.now.Sub(t.startedAt), Usage: t.usage(w.e.obs.tasks[id].Size),
			Throttled: t.throttled,
		})
	}
	slices.SortFunc(list, func(a, b message.TaskRun) int {
		if a.Task < b.Task {
			return -1
		}
		return 1
	})
	return list
}

// applyOrders executes the orders in the reply to the report that was sent at the
// given time, from which its leases count.
func (w *worker) applyOrders(sent model.Time, reply *message.ReportReply) {
	for _, o := range reply.Orders {
		t := w.tasks[o.Task]
		switch {
		case o.Kind == message.OrderRun && (t == nil || t.epoch < o.Epoch):
			w.startTask(sent, o)
		case t == nil || t.epoch != o.Epoch:
		case o.Kind == message.OrderRun:
			t.leaseEnd = sent.Add(o.Lease)
		case o.Kind == message.OrderForget:
			delete(w.tasks, o.Task)
		case t.phase != message.RunRunning:
		case o.Kind == message.OrderThrottle:
			w.throttle(o.Task, t)
		case o.Kind == message.OrderStop || o.Kind == message.OrderCheckpoint:
			w.interrupt(w.e.obs.tasks[o.Task], t, o.Kind == message.OrderCheckpoint)
		}
	}
	if reply.Reboot {
		w.Image = reply.Image
		w.setLost(true)
		incarnation := w.incarnation
		if w.BreakingImage != "" && w.Image == w.BreakingImage {
			return
		}
		w.e.after(rebootDuration, func() {
			if w.incarnation == incarnation {
				w.setLost(false)
			}
		})
	}
}

func (w *worker) startTask(sent model.Time, o message.Order) {
	task := w.e.obs.tasks[o.Task]
	if task == nil {
		return
	}
	t := &taskRun{epoch: o.Epoch, phase: message.RunRunning, startedAt: w.e.now, leaseEnd: sent.Add(o.Lease)}
	w.tasks[o.Task] = t
	w.e.recordTaskStart(w, task, o.Resume)
	end, need := message.RunFinished, task.Run.Duration()-task.savedProgress
	if w.Fails || task.NeverRuns {
		end, need = message.RunFailed, model.Second
	}
	if o.MaxRun > 0 && need > o.MaxRun {
		end, need = message.RunFailed, o.MaxRun
	}
	t.endPhase = end
	w.scheduleEnd(o.Task, t, w.e.now.Add(need))
}

// scheduleEnd schedules the end of the run. It replaces an end scheduled earlier.
func (w *worker) scheduleEnd(id model.TaskID, t *taskRun, at model.Time) {
	t.endsAt = at
	t.endVersion++
	version := t.endVersion
	w.e.at(at, func() {
		if w.tasks[id] != t || t.phase != message.RunRunning || t.endVersion != version {
			return
		}
		t.phase = t.endPhase
		if t.endPhase == message.RunFinished {
			task := w.e.obs.tasks[id]
			task.finished = true
			task.finishedAt = w.e.now
		}
	})
}

// throttleFactor is the factor by which throttling increases the remaining run time
// and reduces the use of processors.
const throttleFactor = 2

func (w *worker) throttle(id model.TaskID, t *taskRun) {
	if !t.throttled {
		t.throttled = true
		w.scheduleEnd(id, t, w.e.now.Add(throttleFactor*t.endsAt.Sub(w.e.now)))
	}
}

func (t *taskRun) usage(size model.Resources) model.Resources {
	if t.throttled {
		size.MilliCPU /= throttleFactor
	}
	return size
}

// checkpointCost is the run time that saving and restoring a checkpoint costs.
const checkpointCost = model.Second

// interrupt stops a run because of an order. Its work is lost, except for what a
// checkpoint saves.
func (w *worker) interrupt(task *taskRecord, t *taskRun, saved bool) {
	t.phase = message.RunStopped
	if saved {
		t.phase = message.RunSaved
	}
	ran := w.e.now.Sub(t.startedAt)
	if saved && ran > checkpointCost {
		task.savedProgress += ran - checkpointCost
		ran = checkpointCost
	}
	task.interruptions++
	task.lostRunTime += ran
}

func (e *engine) submitTask(t *Task) {
	e.obs.tasks[t.ID] = &taskRecord{Task: *t, submittedAt: e.now}
	e.command(fleet.Command{SubmitTask: &fleet.SubmitTask{Task: t.ID, Team: t.Team, Spec: fleet.TaskSpec{
		Pool: t.Pool, Command: cmp.Or(t.Program, "run"), Size: t.DeclaredSize, RunTime: t.DeclaredRun.Duration(),
		MaxRun: t.MaxRun.Duration(), Precedence: t.Precedence, Idempotent: t.Idempotent,
	}}}, "submit-%s", t.ID)
}

func (e *engine) cancelTask(id model.TaskID) {
	if t := e.obs.tasks[id]; t != nil {
		t.cancelled = !t.finished
		e.command(fleet.Command{CancelTask: &fleet.CancelTask{Task: id, Team: t.Team}}, "cancel-%s", id)
	}
}
