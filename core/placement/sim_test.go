package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/placement"
	"primrosedale.example/primrosedale/core/rules"
)

const simTick = 50 * model.Millisecond

// sim runs placement and maintenance on a real fleet state, with simulated workers
// and a log that loses, delays and duplicates commands.
type sim struct {
	t         require.TestingT
	seed      uint64
	src       rand.Source
	rand      *rand.Rand
	now       model.Time
	faultFree bool // inject no more faults
	fleet     *fleet.State

	placer       *placement.Placer // nil while there is no leader
	planner      *maintenance.Planner
	nextLeaderAt model.Time // when the next leader starts
	log          []fleet.Command
	applyAt      model.Time

	workers  []*simWorker
	requests map[model.TeamID]int
	outSince map[model.DataCentreID]model.Time

	remainingWork map[model.TaskID]model.Duration
	real          map[model.TaskID]model.Resources // actual usage of each task
	starts        map[model.TaskID]int
	cancelled     map[model.TaskID]bool
	failedRuns    map[model.TaskID]int
	savedRuns     map[model.TaskID]int // runs that ended with a checkpoint, which the next run resumes
	eventCounts   map[string]int       // number of events by kind, to show that the test covers them
}

func newSim(t require.TestingT, seed uint64) *sim {
	src := rand.NewPCG(seed, 1)
	s := &sim{
		t: t, seed: seed, src: src, rand: rand.New(src), now: model.Time(model.Hour), fleet: fleet.New(),
		requests: map[model.TeamID]int{}, outSince: map[model.DataCentreID]model.Time{},
		remainingWork: map[model.TaskID]model.Duration{}, real: map[model.TaskID]model.Resources{},
		starts: map[model.TaskID]int{}, cancelled: map[model.TaskID]bool{}, failedRuns: map[model.TaskID]int{}, savedRuns: map[model.TaskID]int{},
		eventCounts: map[string]int{},
	}
	r := &rules.Rules{
		Teams: map[model.TeamID]rules.Team{"press": {Share: 60, Limit: 9}, "archive": {Share: 30, Limit: 4}},
		Pools: map[model.PoolID]rules.Pool{
			"a": {HostsMin: 5, UnavailableMax: 2}, "b": {HostsMin: 3, UnavailableMax: 1},
			"spare": {UnavailableMax: 2, Spare: true},
		},
		Hosts: map[model.HostID]rules.HostPlacement{},
	}
	for i := range 12 {
		w := &simWorker{
			id: model.HostID(fmt.Sprintf("w%02d", i)), dc: []model.DataCentreID{"west", "east"}[i%2],
			rack: model.RackID(fmt.Sprint("r", i/4)), clockRate: 0.99 + 0.02*s.rand.Float64(),
		}
		w.failsTasks = i == 3
		w.restart()
		s.workers = append(s.workers, w)
		if i < 9 {
			r.Hosts[w.id] = rules.HostPlacement{Pool: []model.PoolID{"a", "a", "b"}[i%3]}
		}
	}
	s.setRules(r)
	return s
}

func (s *sim) chance(p float64) bool { return s.rand.Float64() < p }

func (s *sim) randomUpTo(d model.Duration) model.Duration {
	return model.Duration(s.rand.Int64N(int64(d) + 1))
}

func (s *sim) setRules(r *rules.Rules) {
	base := s.fleet.Rules.Revision
	r.Revision = base + 1
	s.apply(fleet.Command{ApplyRules: &fleet.ApplyRules{Base: base, Hash: model.Digest(fmt.Sprint(base)), Rules: r}})
}

func (s *sim) changeRules(change func(*rules.Rules)) {
	r := s.fleet.Rules.Clone()
	change(r)
	s.setRules(r)
}

func (s *sim) setOut(dc model.DataCentreID, out bool) {
	s.changeRules(func(r *rules.Rules) {
		r.DataCentres = map[model.DataCentreID]rules.DataCentre{dc: {Out: out}}
	})
	delete(s.outSince, dc)
	if out {
		s.outSince[dc] = s.now
	}
}

func (s *sim) submit(n int, idempotent bool) {
	for range n {
		id := model.TaskID(fmt.Sprintf("t%d", len(s.remainingWork)))
		s.remainingWork[id] = model.Second + s.randomUpTo(20*model.Second)
		s.real[id] = model.Resources{MilliCPU: 500 + s.rand.Int64N(3000), MemoryMB: 1000 + s.rand.Int64N(8000)}
		s.apply(fleet.Command{At: s.now, SubmitTask: &fleet.SubmitTask{
			Task: id, Team: []model.TeamID{"press", "archive"}[s.rand.IntN(2)], Spec: fleet.TaskSpec{
				Pool: []model.PoolID{"a", "b"}[s.rand.IntN(2)], Command: fmt.Sprint("program-", s.rand.IntN(4), " ", id),
				Size:   model.Resources{MilliCPU: 200 + s.rand.Int64N(12000), MemoryMB: 500 + s.rand.Int64N(20000)},
				MaxRun: model.Minute, Precedence: s.rand.IntN(3), Idempotent: idempotent,
			},
		}})
	}
}

func (s *sim) placementEnv() placement.Env {
	return placement.Env{
		Now: s.now, Fleet: s.fleet, MayGrant: true, Ready: true,
		RequestsRunning: func(id model.TeamID) int { return s.requests[id] },
	}
}

func (s *sim) maintenanceEnv() maintenance.Env {
	return maintenance.Env{Now: s.now, Fleet: s.fleet, Busy: func(model.HostID) bool { return false }}
}

// callLeader calls the placer and the planner and appends their proposals to the log.
// At random the log rejects all proposals or duplicates one.
func (s *sim) callLeader(place func(placement.Env, *placement.Output), plan func(maintenance.Env, *maintenance.Output)) {
	var a placement.Output
	var b maintenance.Output
	place(s.placementEnv(), &a)
	plan(s.maintenanceEnv(), &b)
	if !s.faultFree && s.chance(0.02) {
		s.placer.NotProposed(s.placementEnv(), a.Proposals)
		s.planner.NotProposed(s.maintenanceEnv(), b.Proposals)
		return
	}
	for _, c := range append(a.Proposals, b.Proposals...) {
		s.log = append(s.log, c)
		if !s.faultFree && s.chance(0.03) {
			s.log = append(s.log, c)
		}
	}
}

func (s *sim) apply(c fleet.Command) {
	var before fleet.Host
	if c.PlanHost != nil {
		before = s.fleet.Hosts[c.PlanHost.Host]
	}
	result := s.fleet.Apply(s.fleet.Index+1, &c)
	s.count(&c, result)
	if c.PlanHost != nil && before.Phase == fleet.HostServing && s.fleet.Hosts[c.PlanHost.Host].Phase == fleet.HostDraining {
		// Lost hosts count against the budget too.
		require.LessOrEqual(s.t, s.fleet.UnavailableIn(before.Pool), s.fleet.Rules.Pools[before.Pool].UnavailableMax,
			"seed %d: drain of %s", s.seed, c.PlanHost.Host)
	}
	if s.placer != nil {
		s.callLeader(
			func(env placement.Env, out *placement.Output) { s.placer.Committed(env, out, &c, result) },
			func(env maintenance.Env, out *maintenance.Output) { s.planner.Committed(env, out, &c, result) },
		)
	}
	s.check()
}

func (s *sim) count(c *fleet.Command, result fleet.Result) {
	switch {
	case result.Problem != nil:
		s.eventCounts["refused"]++
	case c.EndTask != nil:
		s.eventCounts["end "+string(c.EndTask.Outcome)]++
	case c.PlanHost != nil:
		s.eventCounts["plan "+string(c.PlanHost.Action)]++
		if c.PlanHost.Action == fleet.HostReturn && c.PlanHost.Pool != "" {
			s.eventCounts["move"]++
		}
	}
}

// commit applies the log once it is due.
func (s *sim) commit() {
	if s.now < s.applyAt {
		return
	}
	due := s.log
	s.log = nil
	for _, c := range due {
		if c.PlanHost != nil && !s.faultFree && s.chance(0.2) {
			s.reportRandomHostLost()
		}
		s.apply(c)
	}
	if !s.faultFree {
		s.applyAt = s.now.Add(s.randomUpTo(400 * model.Millisecond))
	}
}

// reportRandomHostLost reports a random host as lost after a plan was proposed and
// before it is applied. The host counts as lost until it reports again.
func (s *sim) reportRandomHostLost() {
	w := s.workers[s.rand.IntN(len(s.workers))]
	if h, ok := s.fleet.Hosts[w.id]; ok {
		s.apply(fleet.Command{At: s.now, ReportHost: &fleet.ReportHost{
			Host: w.id, DataCentre: h.DataCentre, Rack: h.Rack, Capacity: h.Capacity, Image: h.Image,
		}})
	}
}

// failOver removes the leader. Only a random prefix of the log survives.
func (s *sim) failOver() {
	s.placer, s.planner = nil, nil
	s.eventCounts["fail-over"]++
	for _, c := range s.log[:s.rand.IntN(len(s.log)+1)] {
		s.apply(c)
	}
	s.log = nil
	s.nextLeaderAt = s.now.Add(500*model.Millisecond + s.randomUpTo(3*model.Second))
}

func (s *sim) step() {
	s.now = s.now.Add(simTick)
	if s.placer == nil && s.now >= s.nextLeaderAt {
		s.placer = placement.New(s.placementEnv())
		s.planner = maintenance.New(s.maintenanceEnv())
	}
	for _, w := range s.workers {
		w.step(s)
		s.exchangeReport(w)
	}
	s.commit()
	if s.placer != nil {
		s.callLeader(s.placer.Advance, s.planner.Advance)
		s.startAndEndRequests()
	}
	if !s.faultFree {
		s.injectFault()
	}
	s.check()
}

// exchangeReport lets a worker report and handle the reply. The report or the reply
// may be lost, and a report may be duplicated.
func (s *sim) exchangeReport(w *simWorker) {
	if s.now < w.nextReport || s.now < w.downUntil || s.now < w.silentUntil {
		return
	}
	if w.newImage != "" {
		w.image, w.newImage = w.newImage, ""
	}
	w.nextReport = s.now.Add(450*model.Millisecond + s.randomUpTo(100*model.Millisecond))
	m := w.report(s)
	if s.placer == nil || !s.faultFree && s.chance(0.05) {
		return
	}
	var reply message.ReportReply
	deliver := func(env placement.Env, out *placement.Output) { reply = s.placer.Report(env, out, &m) }
	s.callLeader(deliver, func(maintenance.Env, *maintenance.Output) {})
	// The worker sent the report up to 200 ms before the leader handled it.
	sent := s.now.Add(-s.randomUpTo(200 * model.Millisecond))
	if s.faultFree || !s.chance(0.05) {
		w.applyOrders(s, reply, sent)
	}
	if !s.faultFree && s.chance(0.05) {
		s.callLeader(deliver, func(maintenance.Env, *maintenance.Output) {}) // a duplicate of the report
	}
}

// startAndEndRequests starts and ends requests within the limits, as dispatch does.
func (s *sim) startAndEndRequests() {
	for _, id := range []model.TeamID{"archive", "press"} {
		used := s.fleet.PlacedByTeam(id) + s.placer.PendingByTeam(id) + s.requests[id]
		if s.requests[id] > 0 && (s.faultFree || s.chance(0.1)) {
			s.requests[id]--
		} else if !s.faultFree && used < s.fleet.Rules.Teams[id].Limit && s.chance(0.02) {
			s.requests[id]++
		}
	}
}

func (s *sim) injectFault() {
	w := s.workers[s.rand.IntN(len(s.workers))]
	switch {
	case s.chance(0.002):
		s.failOver()
	case s.chance(0.002):
		w.silentUntil = s.now.Add(s.randomUpTo(15 * model.Second))
	case s.chance(0.002):
		w.restart()
		w.downUntil = s.now.Add(s.randomUpTo(10 * model.Second))
	case s.chance(0.001):
		w.downUntil = s.now.Add(30*model.Second + s.randomUpTo(2*model.Minute))
		w.restart()
	case s.chance(0.005) && len(s.remainingWork) > 0:
		id := model.TaskID(fmt.Sprintf("t%d", s.rand.IntN(len(s.remainingWork))))
		s.cancelled[id] = true
		s.apply(fleet.Command{CancelTask: &fleet.CancelTask{Task: id, Team: s.fleet.Tasks[id].Team}})
	case s.chance(0.001):
		s.setOut("west", len(s.outSince) == 0)
	}
}

// checkStart checks the invariants that concern the start of a run.
func (s *sim) checkStart(w *simWorker, id model.TaskID) {
	s.starts[id]++
	if since, out := s.outSince[w.dc]; out {
		require.Less(s.t, s.now.Sub(since), 3*model.Second, "seed %d: %s starts on %s, which is out", s.seed, id, w.id)
	}
	if !s.fleet.Tasks[id].Spec.Idempotent {
		require.LessOrEqual(s.t, s.starts[id], 1+s.failedRuns[id]+s.savedRuns[id], "seed %d: %s runs twice", s.seed, id)
	}
}

// check checks the invariants that must hold at all times.
func (s *sim) check() {
	on := map[model.TaskID]model.HostID{}
	for _, w := range s.workers {
		for id, r := range w.runs {
			if r.phase == message.RunRunning && s.now < r.leaseEnd {
				require.Empty(s.t, on[id.task], "seed %d: %s runs on %s and %s", s.seed, id.task, on[id.task], w.id)
				on[id.task] = w.id
			}
		}
	}
	for id, team := range s.fleet.Rules.Teams {
		running := 0
		for task := range on {
			if s.fleet.Tasks[task].Team == id {
				running++
			}
		}
		running = max(running, s.fleet.PlacedByTeam(id))
		require.LessOrEqual(s.t, running+s.requests[id], team.Limit, "seed %d: team %s", s.seed, id)
	}
	s.checkPools()
}

func (s *sim) checkPools() {
	planned := map[model.PoolID]int{}
	for id, h := range s.fleet.Hosts {
		require.Contains(s.t, s.fleet.Rules.Pools, h.Pool, "seed %d: host %s", s.seed, id)
		if h.Phase != fleet.HostServing {
			planned[h.Pool]++
		}
	}
	total := 0
	for id, pool := range s.fleet.Rules.Pools {
		total += s.fleet.HostsIn(id)
		require.LessOrEqual(s.t, planned[id], pool.UnavailableMax, "seed %d: pool %s", s.seed, id)
	}
	require.Equal(s.t, len(s.fleet.Hosts), total, "seed %d: hosts of all pools", s.seed)
}

// settled reports whether all tasks and all plans have completed.
func (s *sim) settled() bool {
	for _, task := range s.fleet.Tasks {
		if task.Phase == fleet.TaskQueued || task.Phase == fleet.TaskPlaced {
			return false
		}
	}
	for _, w := range s.workers {
		h := s.fleet.Hosts[w.id]
		inWave := slices.Contains(s.fleet.Rules.Waves["kernel"].Pools, h.Pool)
		if h.Phase != fleet.HostServing || !h.Up || inWave && h.Image != "k9" {
			return false
		}
	}
	return true
}

// unsettled describes a task or the hosts that have not settled.
func (s *sim) unsettled() string {
	for _, task := range s.fleet.Tasks {
		if task.Phase == fleet.TaskQueued || task.Phase == fleet.TaskPlaced {
			return fmt.Sprintf("%+v", *task)
		}
	}
	return fmt.Sprintf("%+v", s.fleet.Hosts)
}
