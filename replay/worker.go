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

// rebootTime is how long a worker is away for a reboot.
const rebootTime = 20 * model.Second

// worker is a fake worker. It follows the orders in the answers to its
// reports, and stops its tasks when their leases end.
type worker struct {
	Worker
	e     *engine
	life  int
	seq   uint64
	tasks map[model.TaskID]*taskRun
}

// taskRun is one run of a task on a worker.
type taskRun struct {
	epoch uint64
	phase message.TaskRunPhase
	began model.Time
	until model.Time // of its lease
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

// setLost ends the worker and its tasks, or begins its next life.
func (w *worker) setLost(lost bool) {
	if w.Lost == lost {
		return
	}
	w.Lost = lost
	w.life++
	w.seq = 0
	clear(w.tasks)
	if !lost {
		w.reportAgain(w.life)
	}
}

func (w *worker) reportAgain(life int) {
	if w.life != life {
		return
	}
	w.endLeases()
	w.seq++
	sent := w.e.now
	report := message.WorkerReport{
		Worker: w.ID, Inc: model.Incarnation(fmt.Sprintf("%s/%d", w.ID, life)), DataCentre: w.DataCentre,
		Rack: w.Rack, Capacity: w.Capacity, Image: w.Image, Seq: w.seq, Runs: w.runs(),
	}
	report.Report = w.e.report(func(f effect.AnswerReport) {
		if w.life == life {
			w.obey(sent, &f.Reply)
		}
	})
	w.e.post(event.WorkerReported{Report: report})
	w.e.after(reportInterval, func() { w.reportAgain(life) })
}

func (w *worker) endLeases() {
	for _, t := range w.tasks {
		if t.phase == message.RunRunning && w.e.now >= t.until {
			t.phase = message.RunStopped
		}
	}
}

func (w *worker) runs() []message.TaskRun {
	var list []message.TaskRun
	for id, t := range w.tasks {
		list = append(list, message.TaskRun{
			Task: id, Epoch: t.epoch, Phase: t.phase, Ran: w.e.now.Sub(t.began), Usage: w.e.books.tasks[id].Size,
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

// obey carries out the orders of a reply to the report sent at a time.
func (w *worker) obey(sent model.Time, reply *message.ReportReply) {
	for _, o := range reply.Orders {
		t := w.tasks[o.Task]
		switch {
		case o.Kind == message.OrderRun && (t == nil || t.epoch < o.Epoch):
			w.begin(sent, o)
		case t == nil || t.epoch != o.Epoch:
		case o.Kind == message.OrderRun:
			t.until = sent.Add(o.Lease)
		case o.Kind == message.OrderForget:
			delete(w.tasks, o.Task)
		case o.Kind == message.OrderStop || o.Kind == message.OrderCheckpoint:
			if t.phase == message.RunRunning {
				t.phase = message.RunStopped
			}
		}
	}
	if reply.Reboot {
		w.Image = reply.Image
		w.setLost(true)
		life := w.life
		if w.Breaks != "" && w.Image == w.Breaks {
			return
		}
		w.e.after(rebootTime, func() {
			if w.life == life {
				w.setLost(false)
			}
		})
	}
}

func (w *worker) begin(sent model.Time, o message.Order) {
	task := w.e.books.tasks[o.Task]
	if task == nil {
		return
	}
	t := &taskRun{epoch: o.Epoch, phase: message.RunRunning, began: w.e.now, until: sent.Add(o.Lease)}
	w.tasks[o.Task] = t
	w.e.taskBegan(w, task)
	end, need := message.RunFinished, task.Run.Duration()
	if w.Fails || task.NeverRuns {
		end, need = message.RunFailed, model.Second
	}
	if o.MaxRun > 0 && need > o.MaxRun {
		end, need = message.RunFailed, o.MaxRun
	}
	w.e.after(need, func() {
		if w.tasks[o.Task] != t || t.phase != message.RunRunning {
			return
		}
		t.phase = end
		if end == message.RunFinished {
			task.finished = true
		}
	})
}

func (e *engine) submitTask(t *Task) {
	e.books.tasks[t.ID] = &taskBook{Task: *t, submitted: e.now}
	e.command(fleet.Command{SubmitTask: &fleet.SubmitTask{Task: t.ID, Team: t.Team, Spec: fleet.TaskSpec{
		Pool: t.Pool, Command: cmp.Or(t.Program, "run"), Size: t.DeclaredSize, RunTime: t.DeclaredRun.Duration(),
		MaxRun: t.MaxRun.Duration(), Precedence: t.Precedence, Idempotent: t.Idempotent,
	}}}, "submit-%s", t.ID)
}

func (e *engine) cancelTask(id model.TaskID) {
	if t := e.books.tasks[id]; t != nil {
		t.cancelled = !t.finished
		e.command(fleet.Command{CancelTask: &fleet.CancelTask{Task: id, Team: t.Team}}, "cancel-%s", id)
	}
}
