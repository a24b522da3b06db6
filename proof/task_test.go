package proof

import (
	"testing"
	"time"

	"primrosedale.example/primrosedale/core/model"
)

// taskRules puts every worker into one pool.
const taskRules = `pool.press = { hosts_min = 1, unavailable_max = 1, spare = true }`

// startTasks starts a system with workers of one pool.
func startTasks(t *testing.T, count int) (*system, *workerFleet) {
	s := startTargets(t, 0, nil)
	f := s.file(2, taskRules)
	s.applyEverywhere(f)
	w := s.newFleet()
	for i := range count {
		w.addWorker("worker-"+string(rune('a'+i)), nil)
	}
	eventually(t, startLimit, "the workers are known", func() bool {
		st := s.hosts[s.leader()].status()
		return st != nil && len(st.Pools) == 1 && st.Pools[0].Hosts == count && st.Pools[0].Unavailable == 0
	})
	return s, w
}

// workerRunning returns the worker that runs the task according to its own records, or
// nil.
func (f *workerFleet) workerRunning(id model.TaskID) *worker {
	for _, w := range f.list {
		for _, r := range w.History() {
			if r.Task == id && r.Ended.IsZero() {
				return w
			}
		}
	}
	return nil
}

// awaitRunning waits until a worker runs each of the tasks.
func (f *workerFleet) awaitRunning(tasks ...task) {
	f.s.t.Helper()
	for _, k := range tasks {
		eventually(f.s.t, startLimit, "the task runs", func() bool { return f.workerRunning(k.id) != nil })
	}
}

// runTasks submits tasks of every team, every second one idempotent, and waits until
// all run.
func (f *workerFleet) runTasks(count int, command string) []task {
	f.s.t.Helper()
	var tasks []task
	for i := range count {
		tasks = append(tasks, f.s.submit(teams[i%len(teams)], "press", command, i%2 == 0))
	}
	f.awaitRunning(tasks...)
	return tasks
}

// Guards against a task that runs on two workers at the same time, and against a
// non-idempotent task that runs again, after its worker was cut off. The worker
// continues until the lease expires, and reports its runs once it is reconnected.
func TestTaskWorkerCutOff(t *testing.T) {
	cuts := map[string]func(*link){
		"cut off":              (*link).block,
		"reports are lost":     func(l *link) { l.toxic("upstream", "timeout", `{"timeout":0}`) },
		"orders are lost":      func(l *link) { l.toxic("downstream", "timeout", `{"timeout":0}`) },
		"orders are 2 s later": func(l *link) { l.toxic("downstream", "latency", `{"latency":2000,"jitter":0}`) },
	}
	eachFault(t, cuts, workerCutOff)
}

func workerCutOff(t *testing.T, cut func(*link)) {
	s, f := startTasks(t, 4)
	tasks := f.runTasks(8, "sleep 6s") // longer than the lease, so that its expiry ends the run
	// The victims run the last two tasks, one of each kind.
	victims := map[*worker]bool{}
	for _, k := range tasks[len(tasks)-2:] {
		if w := f.workerRunning(k.id); w != nil {
			victims[w] = true
		}
	}
	for w := range victims {
		w.links.each(cut)
	}
	s.awaitEnded(tasks, 2*taskLease+leaseMargin+startLimit)
	for w := range victims {
		w.links.each((*link).heal)
	}
	f.awaitIdle()
	f.checkRuns(tasks, len(victims))
}

// awaitIdle waits until no worker has run anything for idleTime, so that a late second
// run is detected.
func (f *workerFleet) awaitIdle() {
	var idle time.Time
	eventually(f.s.t, startLimit, "the workers are idle", func() bool {
		for _, w := range f.list {
			if w.Running() > 0 {
				idle = time.Time{}
				return false
			}
		}
		if idle.IsZero() {
			idle = time.Now()
		}
		return time.Since(idle) > idleTime
	})
}

// Guards against tasks that are lost or started a second time because the leader is
// killed while tasks are submitted, placed and running.
func TestTasksThroughLeaderKills(t *testing.T) {
	t.Parallel()
	s, f := startTasks(t, 4)
	var tasks []task
	const rounds, perRound = 3, 8
	for round := range rounds {
		for i := range perRound {
			tasks = append(tasks, s.submit(teams[i%len(teams)], "press", "sleep 1500ms", (i+round)%2 == 0, s.runningHosts()...))
		}
		leader := s.leader()
		s.hosts[leader].kill()
		tasks = append(tasks, s.submit("press", "press", "sleep 1s", round%2 == 0, s.runningHosts()...))
		s.leader(s.runningHosts()...)
		s.hosts[leader].start()
		s.waitServing()
	}
	s.awaitEnded(tasks, 2*startLimit)
	f.awaitIdle()
	f.checkRuns(tasks, rounds)
}

// Guards against tasks that are lost or run twice because every process is killed and
// restarted from disk while they run.
func TestTasksThroughGroupRestart(t *testing.T) {
	t.Parallel()
	s, f := startTasks(t, 4)
	var tasks []task
	for i := range 10 {
		k := s.submit(teams[i%len(teams)], "press", "sleep 8s", i%2 == 0)
		f.awaitRunning(k)
		tasks = append(tasks, k)
	}
	s.killAll()
	s.startAll()
	s.waitServing()
	s.awaitEnded(tasks, 2*startLimit)
	f.awaitIdle()
	f.checkRuns(tasks, len(s.hosts))
}

// Guards against a second run of a non-idempotent task whose worker is lost at the
// same time as the leader that started it, so that the next leader never receives a
// report of the run.
func TestTaskWorkerAndLeaderLost(t *testing.T) {
	losses := map[string]func(*worker){
		"worker cut off": func(w *worker) { w.links.each((*link).block) },
		"worker reboots": func(w *worker) { w.Reboot() },
	}
	eachFault(t, losses, workerAndLeaderLost)
}

func workerAndLeaderLost(t *testing.T, lose func(*worker)) {
	s, f := startTasks(t, 3)
	tasks := f.runTasks(6, "sleep 8s")
	leader := s.leader()
	s.hosts[leader].kill()
	lost := map[*worker]bool{}
	for _, k := range tasks[:2] { // one of each kind
		if w := f.workerRunning(k.id); w != nil && !lost[w] {
			lost[w] = true
			lose(w)
		}
	}
	s.leader(s.runningHosts()...)
	s.awaitEnded(tasks, 2*startLimit)
	f.awaitIdle()
	f.checkRuns(tasks, 1+len(lost))
}
