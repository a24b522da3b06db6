package proof

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/gateway"
	"primrosedale.example/primrosedale/standin"
)

// firstWorkerPort is the first port of a host for the links from workers. It is above
// the ports for targets.
const firstWorkerPort = 7400

const (
	oldImage   = "k8"
	rebootTime = 700 * time.Millisecond
	// taskLease is the lease of a task on a worker (design 6.4).
	taskLease = 5 * time.Second
	// leaseMargin is added to the lease for the deviation of clocks and for the time
	// to commit the expiry.
	leaseMargin = 3 * time.Second
)

// worker is a stand-in worker with a link to the platform interface of each host.
type worker struct {
	*standin.Worker
	id    string
	links links
}

// addWorker starts a worker of the fleet. If change is not nil, it may modify the
// settings first.
func (f *workerFleet) addWorker(id string, change func(*standin.WorkerConfig)) *worker {
	s := f.s
	i := len(f.list)
	w := &worker{id: id}
	cfg := standin.WorkerConfig{
		ID: model.HostID(id), DataCentre: centres[i%len(centres)], Rack: model.RackID(fmt.Sprintf("rack-%d", i)),
		Image: oldImage, RebootTime: rebootTime, Duration: sleepTime,
		Rebooted: func(image string) { f.rebooted(id, image) },
		Returned: func() { f.returned(id) },
	}
	w.links, cfg.Platforms = s.newLinks(id, firstWorkerPort+i)
	if change != nil {
		change(&cfg)
	}
	w.Worker = standin.StartWorker(cfg)
	f.list = append(f.list, w)
	return w
}

// sleepTime returns the run time of a command: D for "sleep D", else 1 s.
func sleepTime(_ model.TaskID, command string) time.Duration {
	if d, err := time.ParseDuration(strings.TrimPrefix(command, "sleep ")); err == nil {
		return d
	}
	return time.Second
}

// workerFleet holds the workers and the reboots that they report themselves.
type workerFleet struct {
	s    *system
	list []*worker

	mu      sync.Mutex
	pools   map[string]string // by worker
	down    map[string]bool   // rebooting or stopped
	planned []reboot
	crashed map[string]bool // lost or rebooted without a plan
}

// reboot records the start of a planned reboot.
type reboot struct {
	worker, pool, image string
	at                  time.Time
	planned             int // workers of the pool that are down by plan, including this one
	down                int // all workers of the pool that are down
}

func (s *system) newFleet() *workerFleet {
	f := &workerFleet{s: s, pools: map[string]string{}, down: map[string]bool{}, crashed: map[string]bool{}}
	s.t.Cleanup(f.close)
	return f
}

func (f *workerFleet) close() {
	for _, w := range f.list {
		w.Stop()
		w.links.stop()
	}
}

// rebooted records that a worker starts to reboot. For a planned reboot, it also records
// how many workers of the pool are down.
func (f *workerFleet) rebooted(id, image string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[id] = true
	if f.crashed[id] {
		return
	}
	r := reboot{worker: id, pool: f.pools[id], image: image, at: time.Now()}
	for other := range f.down {
		if f.pools[other] == r.pool {
			r.down++
			if !f.crashed[other] {
				r.planned++
			}
		}
	}
	f.planned = append(f.planned, r)
}

// returned records that a worker is no longer down.
func (f *workerFleet) returned(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.down, id)
	delete(f.crashed, id)
}

// failWorker silences a worker, as if it were lost.
func (f *workerFleet) failWorker(w *worker) {
	f.mu.Lock()
	f.down[w.id], f.crashed[w.id] = true, true
	f.mu.Unlock()
	w.SetMode(standin.Silent)
}

// recoverWorker makes a worker that was silenced by failWorker report again.
func (f *workerFleet) recoverWorker(w *worker) {
	w.SetMode(standin.Healthy)
	f.returned(w.id)
}

// reboots returns the planned reboots so far.
func (f *workerFleet) reboots() []reboot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.planned)
}

// downNow returns the workers that are down.
func (f *workerFleet) downNow() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for id := range f.down {
		list = append(list, id)
	}
	return list
}

// runRecord is one run of a task, as recorded by the worker.
type runRecord struct {
	standin.RunRecord
	worker string
}

// runs returns every run of every worker by task, in order of their starts.
func (f *workerFleet) runs() map[model.TaskID][]runRecord {
	runs := map[model.TaskID][]runRecord{}
	for _, w := range f.list {
		for _, r := range w.History() {
			runs[r.Task] = append(runs[r.Task], runRecord{r, w.id})
		}
	}
	for _, list := range runs {
		slices.SortFunc(list, func(a, b runRecord) int { return a.Begun.Compare(b.Begun) })
	}
	return runs
}

// taskCall makes one call of the task interface.
func (s *system) taskCall(i int, team, method, path, key, body string, want int, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	url := "http://" + s.hosts[i].address(callerPort) + path
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+s.keys[team])
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return answerTo(callers, r, want, answer)
}

// task is a task submitted by a proof.
type task struct {
	id         model.TaskID
	team       string
	idempotent bool
}

// submit submits a task to one host after another, with the same idempotency key,
// until one accepts it.
func (s *system) submit(team, pool, command string, idempotent bool, hosts ...int) task {
	s.t.Helper()
	if len(hosts) == 0 {
		hosts = s.allHosts()
	}
	var accepted struct {
		Task model.TaskID `json:"task"`
	}
	body := fmt.Sprintf(`{"pool":%q,"command":%q,"milli_cpu":1000,"memory_mb":500,"max_run_s":60,"idempotent":%t}`, pool, command, idempotent)
	key, turn := newKey(), 0
	eventually(s.t, startLimit, "the task is accepted", func() bool {
		host := hosts[turn%len(hosts)]
		turn++
		return s.taskCall(host, team, http.MethodPost, "/v1/tasks", key, body, http.StatusAccepted, &accepted) == nil
	})
	return task{accepted.Task, team, idempotent}
}

// taskStatus returns the status of the task from a running host, or nil.
func (s *system) taskStatus(t task) *gateway.TaskStatus {
	for _, i := range s.runningHosts() {
		var known gateway.TaskStatus
		if s.taskCall(i, t.team, http.MethodGet, "/v1/tasks/"+string(t.id), "", "", http.StatusOK, &known) == nil {
			return &known
		}
	}
	return nil
}

// awaitTask waits until the task is in one of the phases.
func (s *system) awaitTask(t task, limit time.Duration, phases ...fleet.TaskPhase) *gateway.TaskStatus {
	s.t.Helper()
	var known *gateway.TaskStatus
	eventually(s.t, limit, fmt.Sprintf("task %s is in one of %v", t.id, phases), func() bool {
		known = s.taskStatus(t)
		return known != nil && slices.Contains(phases, known.Phase)
	})
	return known
}

// awaitEnded waits until each task has finished or its outcome counts as unknown.
func (s *system) awaitEnded(tasks []task, limit time.Duration) {
	s.t.Helper()
	for _, k := range tasks {
		s.awaitTask(k, limit, fleet.TaskFinished, fleet.TaskUnknown)
	}
}

// checkRuns checks by the records of the workers that no task ran on two workers at
// the same time, no non-idempotent task was started twice, and no task was lost.
func (f *workerFleet) checkRuns(tasks []task, faults int) {
	t := f.s.t
	t.Helper()
	runs := f.runs()
	var finished, unknown, twice, overlapping, lost, again int
	for _, k := range tasks {
		list := runs[k.id]
		done := slices.ContainsFunc(list, func(r runRecord) bool { return r.Phase == message.RunFinished })
		switch known := f.s.taskStatus(k); {
		case known == nil:
			lost++
		case known.Phase == fleet.TaskFinished && done:
			finished++
		case known.Phase == fleet.TaskUnknown && !k.idempotent:
			unknown++
		default:
			t.Logf("task %+v is lost: %+v, runs %+v", k, known, list)
			lost++
		}
		if len(list) > 1 {
			again++
			if !k.idempotent {
				twice++
				t.Logf("task %+v ran twice: %+v", k, list)
			}
		}
		for i := 1; i < len(list); i++ {
			if previous := list[i-1]; previous.Ended.IsZero() || list[i].Begun.Before(previous.Ended) {
				overlapping++
				t.Logf("task %+v ran on two workers at one time: %+v", k, list)
			}
		}
	}
	t.Logf("faults injected %d, tasks sent %d, finished %d, outcome unknown %d, idempotent tasks run again %d, run twice %d, on two workers at one time %d, lost %d",
		faults, len(tasks), finished, unknown, again-twice, twice, overlapping, lost)
	require.Zero(t, twice, "run twice")
	require.Zero(t, overlapping, "on two workers at one time")
	require.Zero(t, lost, "lost")
}
