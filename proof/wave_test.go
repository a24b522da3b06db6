package proof

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/rulesfile"
	"primrosedale.example/primrosedale/standin"
)

// The pools of the wave proofs.
const (
	pressHosts, pressBudget     = 5, 2
	archiveHosts, archiveBudget = 4, 1
	waveLimit                   = 60 * time.Second
	// longReboot makes a wave last until the loss of a worker is known.
	longReboot = 3 * time.Second
	// lossDetected is the time after which a lost worker counts as unavailable: its
	// lease and the time to commit its loss.
	lossDetected = taskLease + leaseMargin
)

var budgets = map[string]int{"press": pressBudget, "archive": archiveBudget}

// poolLines returns the rules of the pools and of the pool of each host, followed by
// extra lines.
func poolLines(pools map[string]string, extra ...string) []string {
	lines := []string{
		fmt.Sprintf("pool.press = { hosts_min = 1, unavailable_max = %d }", pressBudget),
		fmt.Sprintf("pool.archive = { hosts_min = 1, unavailable_max = %d }", archiveBudget),
	}
	for _, id := range sortedNames(pools) {
		lines = append(lines, fmt.Sprintf("host.%s = { pool = %q }", id, pools[id]))
	}
	return append(lines, extra...)
}

func sortedNames(pools map[string]string) []string { return slices.Sorted(maps.Keys(pools)) }

// startPools starts a system whose workers are in two pools.
func startPools(t *testing.T, reboot time.Duration) (*system, *workerFleet) {
	s := startTargets(t, 0, nil)
	f := s.newFleet()
	for i := range pressHosts + archiveHosts {
		pool := "press"
		if i >= pressHosts {
			pool = "archive"
		}
		f.pools[fmt.Sprintf("worker-%d", i+1)] = pool
	}
	file := s.file(2, poolLines(f.pools)...)
	s.applyEverywhere(file)
	for _, id := range sortedNames(f.pools) {
		f.addWorker(id, func(cfg *standin.WorkerConfig) { cfg.RebootTime = reboot })
	}
	f.awaitPools(map[string]int{"press": pressHosts, "archive": archiveHosts})
	return s, f
}

// awaitPools waits until every host reports these pool sizes with all workers in
// service.
func (f *workerFleet) awaitPools(want map[string]int) {
	f.s.t.Helper()
	for _, i := range f.s.allHosts() {
		eventually(f.s.t, waveLimit, f.s.hosts[i].name+" knows the pools", func() bool {
			st := f.s.hosts[i].status()
			return st != nil && len(st.Pools) == len(want) && !slices.ContainsFunc(st.Pools, func(p view.PoolStatus) bool {
				return p.Hosts != want[string(p.Pool)] || p.Unavailable != 0
			})
		})
	}
}

// poolWatch continuously requests the status of every host and checks that each worker
// counts in exactly one pool.
type poolWatch struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	answers int
	wrong   []string
}

func (f *workerFleet) watchPools(revision uint64) *poolWatch {
	ctx, cancel := context.WithCancel(context.Background())
	f.s.t.Cleanup(cancel)
	w := &poolWatch{cancel: cancel}
	for _, h := range f.s.hosts {
		w.done.Go(func() {
			for ctx.Err() == nil {
				w.poll(h, revision, len(f.list))
				time.Sleep(pollPause)
			}
		})
	}
	return w
}

func (w *poolWatch) poll(h *host, revision uint64, total int) {
	st := h.status()
	if st == nil || st.Revision < revision {
		return // the host is down or still replays its log
	}
	hosts := 0
	for _, p := range st.Pools {
		hosts += p.Hosts
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers++
	if hosts != total {
		w.wrong = append(w.wrong, fmt.Sprintf("%s at index %d: %+v", h.name, st.Applied, st.Pools))
	}
}

func (w *poolWatch) check(t testing.TB) {
	t.Helper()
	w.cancel()
	w.done.Wait()
	t.Logf("%d status answers, each worker in exactly one pool in all but %d", w.answers, len(w.wrong))
	require.Positive(t, w.answers)
	require.Empty(t, w.wrong, "workers in no pool or in two")
}

// checkBudgets checks every planned reboot against the budget of its pool, by the
// workers' own records. A lost worker counts from lossDetected after its loss. It
// returns the number of planned reboots after that time.
func (f *workerFleet) checkBudgets(lostAt time.Time) int {
	f.s.t.Helper()
	maxPlanned, late := map[string]int{}, 0
	for _, r := range f.reboots() {
		maxPlanned[r.pool] = max(maxPlanned[r.pool], r.planned)
		if !lostAt.IsZero() && r.at.After(lostAt.Add(lossDetected)) {
			late++
			require.LessOrEqual(f.s.t, r.down, budgets[r.pool], "a drain while a lost worker counts: %+v", r)
		}
	}
	f.s.t.Logf("planned reboots %d (%d of them after the loss was known); most workers down by plan %v, budgets %v", len(f.reboots()), late, maxPlanned, budgets)
	for pool, n := range maxPlanned {
		require.LessOrEqual(f.s.t, n, budgets[pool], pool)
	}
	return late
}

// awaitImage waits until every worker, except those left out, runs the image.
func (f *workerFleet) awaitImage(image string, leftOut ...*worker) {
	f.s.t.Helper()
	eventually(f.s.t, waveLimit, "every worker runs image "+image, func() bool {
		return len(f.downNow()) == len(leftOut) && !slices.ContainsFunc(f.list, func(w *worker) bool {
			return !slices.Contains(leftOut, w) && w.Image() != image
		})
	})
}

// Guards against a pool that exceeds its budget of unavailable workers, a worker in
// two pools and a wave that never ends. Two operators start waves over the same pool
// at the same time, a worker of the pool is lost during the waves, and the leader is
// killed between the decision to drain a worker and its reboot.
func TestWavesThroughLosses(t *testing.T) {
	t.Parallel()
	s, f := startPools(t, longReboot)
	watch := f.watchPools(2)
	// The running tasks delay the first reboots.
	var tasks []task
	for i := range 4 {
		tasks = append(tasks, s.submit("press", "press", "sleep 3s", i%2 == 0))
	}
	f.awaitRunning(tasks...)
	s.overlappingWaves(f)
	eventually(t, startLimit, "a drain is decided", func() bool { return s.unavailable("press") > 0 })
	leader := s.leader()
	before := len(f.reboots())
	s.hosts[leader].kill()
	eventually(t, startLimit, "a worker of the pool reboots", func() bool {
		return slices.ContainsFunc(f.reboots()[before:], func(r reboot) bool { return r.pool == "press" })
	})
	var lost *worker
	eventually(t, startLimit, "a worker of the pool is up", func() bool {
		for _, w := range f.list[:pressHosts] {
			if !slices.Contains(f.downNow(), w.id) {
				lost = w
				return true
			}
		}
		return false
	})
	f.failWorker(lost)
	lostAt := time.Now()
	s.hosts[leader].start()
	f.awaitImage("k10", lost)
	f.recoverWorker(lost)
	f.awaitImage("k10")
	f.awaitPools(map[string]int{"press": pressHosts, "archive": archiveHosts})
	count := len(f.reboots())
	stays(t, idleTime, "no worker reboots after the waves", func() bool { return len(f.reboots()) == count })
	watch.check(t)
	require.Positive(t, f.checkBudgets(lostAt), "the wave ended before the loss was known")
	s.awaitEnded(tasks, startLimit)
	f.checkRuns(tasks, 2)
}

// unavailable returns the number of workers of the pool that are out of service
// according to the leader.
func (s *system) unavailable(pool string) int {
	if st := s.hosts[s.leader()].status(); st != nil {
		for _, p := range st.Pools {
			if string(p.Pool) == pool {
				return p.Unavailable
			}
		}
	}
	return 0
}

// overlappingWaves lets two operators start waves on the same base revision. The one
// whose change is rejected merges the other change into it and submits it again.
func (s *system) overlappingWaves(f *workerFleet) {
	s.t.Helper()
	first := `wave.first = { pools = ["press"], image = "k9" }`
	second := `wave.second = { pools = ["press", "archive"], image = "k10" }`
	files := []*rulesfile.File{s.file(3, poolLines(f.pools, first)...), s.file(3, poolLines(f.pools, second)...)}
	errs := applyConcurrently([]*client.Client{s.operators(1), s.operators(2)}, files)
	require.NotEqual(s.t, errs[0] == nil, errs[1] == nil, "one of two changes of a revision wins: %v", errs)
	var refusal *client.Refusal
	require.True(s.t, errors.As(errors.Join(errs...), &refusal), "%v", errs)
	require.Equal(s.t, problem.RevisionConflict, refusal.Kind)
	s.apply(s.file(4, poolLines(f.pools, first, second)...))
}

// Guards against a host that ends up in no pool, in two, or in its old one because its
// move is interrupted: the leader is killed while the host drains, the worker reboots
// unexpectedly, and the operator submits the change again.
func TestMoveThroughLosses(t *testing.T) {
	eachFault(t, map[string]string{"image ": "", "image k9": "k9"}, moveThroughLosses)
}

func moveThroughLosses(t *testing.T, image string) {
	s, f := startPools(t, rebootTime)
	watch := f.watchPools(2)
	moved := f.list[0]
	var tasks []task
	for range 6 {
		tasks = append(tasks, s.submit("press", "press", "sleep 4s", false))
	}
	f.awaitRunning(tasks...)
	pools := maps.Clone(f.pools)
	pools[moved.id] = "archive"
	var extra []string
	if image != "" {
		extra = append(extra, fmt.Sprintf(`wave.kernel = { pools = ["archive"], image = %q }`, image))
	}
	file := s.file(3, poolLines(pools, extra...)...)
	s.apply(file)
	eventually(t, startLimit, "the move is decided", func() bool { return s.unavailable("press") > 0 })
	leader := s.leader()
	s.hosts[leader].kill()
	f.crash(moved)
	up := s.runningHosts()
	s.apply(file, up...) // a repeated submission
	s.leader(up...)
	s.apply(file, up[0])
	s.hosts[leader].start()
	f.awaitPools(map[string]int{"press": pressHosts - 1, "archive": archiveHosts + 1})
	s.apply(file)
	if image != "" {
		eventually(t, waveLimit, "the pool runs the image", func() bool {
			return moved.Image() == image && !slices.ContainsFunc(f.list[pressHosts:], func(w *worker) bool { return w.Image() != image })
		})
		f.awaitPools(map[string]int{"press": pressHosts - 1, "archive": archiveHosts + 1})
	}
	stays(t, idleTime, "the move has ended", func() bool { return s.unavailable("press") == 0 })
	watch.check(t)
	f.checkBudgets(time.Time{})
	planned := 0
	for _, r := range f.reboots() {
		if r.worker == moved.id {
			planned++
		}
	}
	t.Logf("planned reboots of the moved worker %d, by itself 1", planned)
	require.Equal(t, 1, planned, "a move is drain, reboot, join")
	s.awaitEnded(tasks, startLimit)
	f.checkRuns(tasks, 2)
}

// crash reboots a worker without a plan to do so.
func (f *workerFleet) crash(w *worker) {
	f.mu.Lock()
	f.crashed[w.id] = true
	f.mu.Unlock()
	w.Reboot()
}
