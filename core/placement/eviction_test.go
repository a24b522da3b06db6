package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against an eviction that loses more work than another would, one that stops
// a run that is not idempotent without a checkpoint, and unbounded preemption of one
// task.
func TestCheapestEviction(t *testing.T) {
	const old, young = model.Minute, model.Second
	for name, test := range map[string]struct {
		run  evictionCandidate
		want message.OrderKind
	}{
		"young":                           {evictionCandidate{idempotent: true, runTime: young}, message.OrderStop},
		"old":                             {evictionCandidate{idempotent: true, runTime: old}, message.OrderCheckpoint},
		"young, not idempotent":           {evictionCandidate{runTime: young}, message.OrderCheckpoint},
		"old, not idempotent":             {evictionCandidate{runTime: old}, message.OrderCheckpoint},
		"preempted often":                 {evictionCandidate{idempotent: true, runTime: old, preemptions: preemptionsMax}, message.OrderThrottle},
		"preempted often, throttled":      {evictionCandidate{idempotent: true, runTime: old, preemptions: preemptionsMax, throttled: true}, ""},
		"not idempotent, preempted often": {evictionCandidate{runTime: young, preemptions: preemptionsMax}, message.OrderThrottle},
		"throttled, not preempted":        {evictionCandidate{idempotent: true, runTime: old, throttled: true}, message.OrderCheckpoint},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := test.run.cheapestEviction()
			require.Equal(t, test.want != "", ok)
			require.Equal(t, test.want, got.kind)
		})
	}
}

// Guards against plans that evict more or costlier runs than needed, runs of a team
// that is not above its share, or runs of a higher precedence.
func TestPlanEvictions(t *testing.T) {
	cores := func(n int64) model.Resources { return model.Resources{MilliCPU: 1000 * n} }
	s := allocations{total: cores(100), teams: map[model.TeamID]teamAllocation{
		"above": {used: cores(80), share: 50, entitlement: 0.45},
		"below": {used: cores(10), share: 50, entitlement: 0.45},
	}}
	run := func(id model.TaskID, n int64, ran model.Duration) evictionCandidate {
		return evictionCandidate{task: id, team: "above", size: cores(n), runTime: ran, idempotent: true}
	}
	old, young := run("old", 4, model.Minute), run("young", 4, model.Millisecond)
	other := old
	other.team = "below"
	important := old
	important.precedence = 2
	for name, test := range map[string]struct {
		need      int64
		evictable []evictionCandidate
		want      []model.TaskID
	}{
		"cheapest run":                      {4, []evictionCandidate{old, young}, []model.TaskID{"young"}},
		"both":                              {8, []evictionCandidate{old, young}, []model.TaskID{"young", "old"}},
		"only what is needed":               {6, []evictionCandidate{young, run("large", 6, model.Minute)}, []model.TaskID{"large"}},
		"not enough":                        {9, []evictionCandidate{old, young}, nil},
		"own runs":                          {4, []evictionCandidate{other}, nil},
		"higher precedence":                 {4, []evictionCandidate{important}, nil},
		"borrower would be below its share": {40, []evictionCandidate{run("a", 40, model.Minute)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			evictions, _, ok := s.planEvictions(preemptor{team: "below", need: cores(test.need), precedence: 1}, model.Resources{}, test.evictable)
			require.Equal(t, test.want != nil, ok)
			var got []model.TaskID
			for _, e := range evictions {
				got = append(got, e.run.task)
			}
			require.Equal(t, test.want, got)
		})
	}
}

// newPreemptionFixture returns two workers filled by team press with runs that each
// take a quarter of a worker, and three waiting tasks of team archive.
func newPreemptionFixture(t *testing.T, idempotent bool) *preemptionFixture {
	f := &preemptionFixture{fixture: newFixture(t, 2), checkpointsSucceed: true}
	quarter := func(team model.TeamID) func(*fleet.SubmitTask) {
		return func(c *fleet.SubmitTask) {
			c.Team, c.Spec.Idempotent, c.Spec.MaxRun = team, idempotent, model.Hour
			c.Spec.Size.MilliCPU = capacity.MilliCPU / 4
		}
	}
	for i := range 16 {
		f.submit(model.TaskID(fmt.Sprint("p", i)), quarter("press"))
	}
	f.advance(5 * model.Second)
	require.Equal(t, 8, f.fleet.PlacedByTeam("press"))
	for i := range 3 {
		f.submit(model.TaskID(fmt.Sprint("a", i)), quarter("archive"))
	}
	return f
}

// preemptionFixture simulates workers that carry out their orders.
type preemptionFixture struct {
	*fixture
	checkpointsSucceed bool               // otherwise workers cannot save a checkpoint
	orders             [2][]message.Order // orders to carry out before the next report
	stops              int
	maxStops           int // most runs stopped between two consecutive reports
}

// advance advances the time. Every half second the workers carry out their orders and
// report.
func (f *preemptionFixture) advance(d model.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.after(500 * model.Millisecond)
		stops := f.stops
		for i := range f.orders {
			f.orders[i] = f.report(hostName(i), f.runs(f.orders[i])...)
		}
		f.maxStops = max(f.maxStops, f.stops-stops)
	}
}

// runs returns the runs that a worker reports after it has carried out the orders.
func (f *preemptionFixture) runs(orders []message.Order) []message.TaskRun {
	var list []message.TaskRun
	at := map[model.TaskID]int{}
	for _, o := range orders {
		i, known := at[o.Task]
		switch {
		case o.Kind == message.OrderRun:
			at[o.Task] = len(list)
			list = append(list, message.TaskRun{Task: o.Task, Epoch: o.Epoch, Phase: message.RunRunning, Ran: f.now.Sub(f.task(o.Task).Placed)})
		case !known:
		case o.Kind == message.OrderThrottle:
			list[i].Throttled = true
		case o.Kind == message.OrderCheckpoint && f.checkpointsSucceed:
			list[i].Phase = message.RunSaved
			f.stops++
		case o.Kind == message.OrderStop || !o.Keep:
			list[i].Phase = message.RunStopped
			f.stops++
		}
	}
	return list
}

// Guards against a team that never reaches its share because of the long runs of
// another team, and against preemption of several runs at once or of more than the
// share.
func TestTeamBelowShareReclaimsCapacity(t *testing.T) {
	f := newPreemptionFixture(t, true)
	f.advance(30 * model.Second)
	require.Equal(t, 2, f.fleet.PlacedByTeam("archive"), "a quarter of 8 slots, which is also the limit of the team")
	require.Equal(t, 2, f.stops)
	require.Equal(t, 1, f.maxStops, "runs are preempted one at a time")
	for _, task := range f.fleet.Tasks {
		require.LessOrEqual(t, task.Preemptions, 1)
	}
	before := f.stops
	f.advance(2 * model.Minute)
	require.Equal(t, before, f.stops, "no run is preempted once the share is reached")
}

// Guards against preemption under a policy that excludes it, which replays use for
// comparison.
func TestNoPreemptionPolicy(t *testing.T) {
	f := newPreemptionFixture(t, true)
	f.shares = SharePolicy{NoPreemption: true}
	f.advance(30 * model.Second)
	require.Zero(t, f.stops)
	require.Zero(t, f.fleet.PlacedByTeam("archive"))
}

// Guards against stopping a run that is not idempotent although its checkpoint
// failed, and against restarting it without the checkpoint.
func TestNonIdempotentRunIsOnlyCheckpointed(t *testing.T) {
	for _, saves := range []bool{false, true} {
		t.Run(fmt.Sprint(saves), func(t *testing.T) {
			f := newPreemptionFixture(t, false)
			f.checkpointsSucceed = saves
			f.advance(30 * model.Second)
			require.Equal(t, saves, f.stops > 0)
			for id, task := range f.fleet.Tasks {
				require.NotEqual(t, fleet.TaskUnknown, task.Phase, id)
				require.Equal(t, task.Preemptions > 0, task.Resume, id)
			}
		})
	}
}

// Guards against a run that is lost, repeated or stopped in vain when the leader
// changes after the eviction order was sent and before the worker reports its effect.
func TestLeaderChangeDuringPreemption(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprint(idempotent), func(t *testing.T) {
			f := newPreemptionFixture(t, idempotent)
			for f.p.pools["a"].preemption == nil || !f.p.pools["a"].preemption.victim.evictionSent {
				f.advance(500 * model.Millisecond)
				require.Less(t, f.now, model.Time(model.Hour+model.Minute))
			}
			victim := f.p.pools["a"].preemption.victim.task.ID
			f.p = New(f.env())
			f.advance(model.Second)
			require.Equal(t, fleet.TaskQueued, f.task(victim).Phase)
			require.True(t, f.task(victim).Resume)
			require.EqualValues(t, 1, f.task(victim).Epoch)
			f.advance(30 * model.Second)
			require.Equal(t, 2, f.fleet.PlacedByTeam("archive"))
			require.Equal(t, 8, f.fleet.PlacedByTeam("press")+f.fleet.PlacedByTeam("archive"))
		})
	}
}

// Guards against a preempted task that waits behind other tasks of its team.
func TestPreemptedTaskGoesFirst(t *testing.T) {
	early, preempted := taskRankOf(&fleet.Task{SubmitIndex: 1}), taskRankOf(&fleet.Task{SubmitIndex: 2, Preemptions: 1})
	urgent := taskRankOf(&fleet.Task{SubmitIndex: 3, Spec: fleet.TaskSpec{Precedence: 1}})
	require.True(t, preempted.before(early))
	require.True(t, urgent.before(preempted))
}

// Guards against a team that never reclaims capacity because its share is below
// preemptionShortfall, and against preemption that starts because one task has ended.
func TestPreemptionThreshold(t *testing.T) {
	s := allocations{total: model.Resources{MilliCPU: 1000}, teams: map[model.TeamID]teamAllocation{}}
	for _, test := range []struct {
		used     int64
		entitled float64
		want     bool
	}{{0, 0.02, true}, {9, 0.02, true}, {11, 0.02, false}, {230, 0.3, true}, {250, 0.3, false}} {
		s.teams["a"] = teamAllocation{used: model.Resources{MilliCPU: test.used}, share: 1, entitlement: test.entitled}
		require.Equal(t, test.want, s.mayStartPreemption("a"), test)
	}
}
