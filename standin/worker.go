package standin

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Mode is the failure mode of a worker.
type Mode int

// Failure modes of a worker.
const (
	Healthy  Mode = iota
	FailsAll      // every task fails at once
	Slow          // tasks take slowFactor times as long
	Silent        // sends no reports, so that leases expire
)

const slowFactor = 10

// WorkerConfig holds the settings of a Worker. Zero values have defaults.
type WorkerConfig struct {
	ID         model.HostID
	DataCentre model.DataCentreID
	Rack       model.RackID
	Capacity   model.Resources // default 64 cores, 256 GB
	Image      string
	Interval   time.Duration // between reports, default 500 ms
	Mode       Mode
	Platforms  []string // host:port of the platform interfaces, used in turn
	// Duration returns the actual run time of a task. The default is 1 s.
	Duration func(task model.TaskID, command string) time.Duration
	// Checkpoints stores the progress saved by checkpoints. Workers that share it can
	// resume each other's tasks. If it is nil, no progress is saved.
	Checkpoints *Checkpoints
	// Rebooted, if set, is called when the worker starts to reboot.
	Rebooted func(image string)
	// RebootTime is the duration of a reboot, during which the worker sends no reports.
	RebootTime time.Duration
	// Returned, if set, is called when the first report after a reboot is answered.
	Returned func()
}

func (c WorkerConfig) withDefaults() WorkerConfig {
	if c.Capacity == (model.Resources{}) {
		c.Capacity = model.Resources{MilliCPU: 64_000, MemoryMB: 256_000}
	}
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Duration == nil {
		c.Duration = func(model.TaskID, string) time.Duration { return time.Second }
	}
	return c
}

// RunID identifies one placement of a task.
type RunID struct {
	Task  model.TaskID
	Epoch uint64
}

// Worker is a stand-in for a worker host.
type Worker struct {
	cfg       WorkerConfig
	announcer *announcer
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu          sync.Mutex
	incarnation model.Incarnation
	mode        Mode
	image       string
	seq         uint64
	runs        map[RunID]*run
	startCounts map[RunID]int
	history     []*run // every run started, in order
	downUntil   time.Time
	returning   bool // no report has been answered since the last reboot
	lastErr     error
}

// StartWorker starts a worker that reports until Stop.
func StartWorker(cfg WorkerConfig) *Worker {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		cfg:         cfg,
		announcer:   newAnnouncer(cfg.Platforms, "/platform/v1/workers/"+string(cfg.ID)),
		ctx:         ctx,
		cancel:      cancel,
		incarnation: model.Incarnation(uuid.NewString()),
		mode:        cfg.Mode,
		image:       cfg.Image,
		runs:        make(map[RunID]*run),
		startCounts: make(map[RunID]int),
	}
	w.done.Go(w.reportLoop)
	return w
}

// SetMode sets the failure mode of the worker from now on.
func (w *Worker) SetMode(mode Mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = mode
}

// Stop stops the worker and every run on it.
func (w *Worker) Stop() {
	w.cancel()
	w.done.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.end(message.RunStopped, "worker stopped")
	}
	w.announcer.close()
}

// StartCounts returns the number of times that each placement was started.
func (w *Worker) StartCounts() map[RunID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	startCounts := make(map[RunID]int, len(w.startCounts))
	for id, count := range w.startCounts {
		startCounts[id] = count
	}
	return startCounts
}

// Running returns the number of tasks that are running.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 0
	for _, r := range w.runs {
		if r.phase == message.RunRunning {
			running++
		}
	}
	return running
}

// LastError returns the error of the last report that failed, or nil.
func (w *Worker) LastError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastErr
}

func (w *Worker) reportLoop() {
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		w.report()
		select {
		case <-ticker.C:
		case <-w.ctx.Done():
			return
		}
	}
}

// report sends one report and executes the orders in the reply. Leases are counted from
// just before the report was sent.
func (w *Worker) report() {
	body, silent := w.snapshot()
	if silent || len(w.cfg.Platforms) == 0 {
		return
	}
	sent := time.Now()
	var answer announce.Reply
	err := w.announcer.put(w.ctx, body, &answer)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.lastErr = err
		return
	}
	if w.returning {
		w.returning = false
		if w.cfg.Returned != nil {
			w.cfg.Returned()
		}
	}
	for _, order := range answer.Orders {
		w.execute(order, sent)
	}
	// The reply may be for an incarnation that has ended in the meantime.
	if answer.Reboot && body.Incarnation == w.incarnation {
		w.reboot(answer.Image)
	}
}

func (w *Worker) snapshot() (body announce.WorkerAnnouncement, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	runs := make([]announce.TaskRun, 0, len(w.runs))
	for id, r := range w.runs {
		runs = append(runs, r.describe(id))
	}
	return announce.WorkerAnnouncement{
		Incarnation: w.incarnation,
		DataCentre:  w.cfg.DataCentre,
		Rack:        w.cfg.Rack,
		Capacity:    w.cfg.Capacity,
		Image:       w.image,
		Sequence:    w.seq,
		Runs:        runs,
	}, w.mode == Silent || time.Now().Before(w.downUntil)
}

// Reboot starts a new incarnation with the same image, as after a crash.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reboot(w.image)
}

// Image returns the image that the worker runs.
func (w *Worker) Image() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.image
}

// reboot stops every run and starts a new incarnation with the image. The caller holds
// mu.
func (w *Worker) reboot(image string) {
	for _, r := range w.runs {
		r.end(message.RunStopped, "worker rebooted")
	}
	w.runs = make(map[RunID]*run)
	w.incarnation = model.Incarnation(uuid.NewString())
	w.seq = 0
	w.downUntil = time.Now().Add(w.cfg.RebootTime)
	w.returning = true
	if image != "" {
		w.image = image
	}
	if w.cfg.Rebooted != nil {
		w.cfg.Rebooted(w.image)
	}
}
