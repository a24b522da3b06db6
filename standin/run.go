package standin

import (
	"sync"
	"time"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// run is one placement of a task on a worker. It is guarded by Worker.mu.
type run struct {
	id    RunID
	phase message.TaskRunPhase
	size  model.Resources
	note  string
	begun time.Time
	ended time.Time
	work  *time.Timer // finishes the task
	lease *time.Timer // stops the task when its lease expires
	limit *time.Timer // stops the task at its maximum run time

	maxRun    time.Duration // maximum run time, without throttling
	remaining time.Duration // remaining run time at resumed
	resumed   time.Time
	throttled bool
}

func (r *run) describe(id RunID) announce.TaskRun {
	until := time.Now()
	if r.phase != message.RunRunning {
		until = r.ended
	}
	usage := model.Resources{}
	if r.phase == message.RunRunning {
		usage = r.size
		if r.throttled {
			usage.MilliCPU /= throttleFactor
		}
	}
	return announce.TaskRun{
		Task:      id.Task,
		Epoch:     id.Epoch,
		Phase:     r.phase,
		Usage:     usage,
		RanMS:     until.Sub(r.begun).Milliseconds(),
		Note:      r.note,
		Throttled: r.throttled,
	}
}

func (r *run) stopTimers() {
	for _, timer := range []*time.Timer{r.work, r.lease, r.limit} {
		if timer != nil {
			timer.Stop()
		}
	}
}

// end records the end of a running task. It does nothing if the task has already ended.
func (r *run) end(phase message.TaskRunPhase, note string) {
	if r.phase != message.RunRunning {
		return
	}
	r.phase = phase
	r.note = note
	r.ended = time.Now()
	r.stopTimers()
}

// RunRecord describes one run that a worker started.
type RunRecord struct {
	RunID
	Phase message.TaskRunPhase
	Begun time.Time
	Ended time.Time // zero while it runs
}

// History returns every run that the worker started, in order.
func (w *Worker) History() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]RunRecord, 0, len(w.history))
	for _, r := range w.history {
		list = append(list, RunRecord{RunID: r.id, Phase: r.phase, Begun: r.begun, Ended: r.ended})
	}
	return list
}

// execute executes an order. The caller holds mu.
func (w *Worker) execute(order announce.Order, sent time.Time) {
	id := RunID{order.Task, order.Epoch}
	if order.Kind == message.OrderRun {
		w.startOrRenew(id, order, sent)
		return
	}
	r, ok := w.runs[id]
	if !ok {
		return
	}
	switch order.Kind {
	case message.OrderStop:
		r.end(message.RunStopped, "stopped by order")
	case message.OrderCheckpoint:
		w.checkpoint(id, r, order.Keep)
	case message.OrderThrottle:
		w.throttle(r)
	case message.OrderForget:
		r.stopTimers()
		delete(w.runs, id)
	}
}

// startOrRenew starts a task or renews its lease. The caller holds mu.
func (w *Worker) startOrRenew(id RunID, order announce.Order, sent time.Time) {
	left := time.Until(sent.Add(time.Duration(order.LeaseMS) * time.Millisecond))
	if left <= 0 {
		return // the lease expired while the reply was in flight
	}
	if r, ok := w.runs[id]; ok {
		if r.phase == message.RunRunning {
			r.lease.Reset(left)
		}
		return
	}
	w.begin(id, order, left)
}

func (w *Worker) begin(id RunID, order announce.Order, left time.Duration) {
	progress, saved := w.cfg.Checkpoints.progressOf(id.Task)
	if order.Resume && !saved {
		return // without a checkpoint it would repeat the work of an earlier run
	}
	w.startCounts[id]++
	r := &run{id: id, phase: message.RunRunning, size: order.Size, begun: time.Now()}
	w.runs[id] = r
	w.history = append(w.history, r)
	if w.mode == FailsAll {
		r.end(message.RunFailed, "this worker fails every task")
		return
	}
	duration := w.cfg.Duration(id.Task, order.Command) - progress
	if w.mode == Slow {
		duration *= slowFactor
	}
	w.resume(r, max(duration, 0))
	r.lease = time.AfterFunc(left, func() { w.endRun(r, message.RunStopped, "lease ended") })
	if order.MaxRunMS > 0 {
		r.maxRun = time.Duration(order.MaxRunMS) * time.Millisecond
		r.limit = time.AfterFunc(r.maxRun, func() { w.endRun(r, message.RunFailed, "longest run time passed") })
	}
}

// resume lets r run for the remaining time from now on. The caller holds mu.
func (w *Worker) resume(r *run, remaining time.Duration) {
	r.remaining = remaining
	r.resumed = time.Now()
	r.work = time.AfterFunc(remaining, func() { w.endRun(r, message.RunFinished, "") })
}

func (w *Worker) endRun(r *run, phase message.TaskRunPhase, note string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.end(phase, note)
}

// checkpoint saves the progress of a task and stops it. A task that cannot be saved
// keeps running if keep is set, and is stopped otherwise. The caller holds mu.
func (w *Worker) checkpoint(id RunID, r *run, keep bool) {
	switch {
	case r.phase != message.RunRunning:
	case w.cfg.Checkpoints != nil:
		w.cfg.Checkpoints.add(id.Task, time.Since(r.begun))
		r.end(message.RunSaved, "checkpoint saved")
	case !keep:
		r.end(message.RunStopped, "stopped, no checkpoint")
	}
}

// Checkpoints stores the saved progress of tasks for the workers that share it.
type Checkpoints struct {
	mu       sync.Mutex
	progress map[model.TaskID]time.Duration
}

// NewCheckpoints returns an empty store.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{progress: make(map[model.TaskID]time.Duration)}
}

func (c *Checkpoints) add(id model.TaskID, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress[id] += d
}

// progressOf returns the saved progress of a task, if there is any.
func (c *Checkpoints) progressOf(id model.TaskID) (time.Duration, bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.progress[id]
	return d, ok
}

// throttleFactor is the factor by which a throttled run takes longer and uses less
// processor time.
const throttleFactor = 2

// throttle slows a task down by throttleFactor, once. The caller holds mu.
func (w *Worker) throttle(r *run) {
	if r.phase != message.RunRunning || r.throttled {
		return
	}
	r.throttled = true
	if r.work.Stop() {
		w.resume(r, throttleFactor*max(r.remaining-time.Since(r.resumed), 0))
	}
	if r.limit != nil && r.limit.Stop() {
		r.limit.Reset(throttleFactor*r.maxRun - time.Since(r.begun))
	}
}
