package maintenance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

var wholeHost = model.Resources{MilliCPU: 1000, MemoryMB: 1000}

// newSizedFixture returns the pools "a" and "b", which are sized by demand, and a
// spare pool, with 4 hosts each. Every host is in a rack of its own.
func newSizedFixture(t *testing.T, change func(*rules.Rules)) *fixture {
	f := newFixture(t)
	f.p, f.fleet, f.reserved = nil, fleet.New(), map[model.HostID]model.Resources{}
	f.setRules(func(r *rules.Rules) {
		r.Teams = map[model.TeamID]rules.Team{"press": {Limit: 100}}
		sized := rules.Pool{HostsMin: 1, UnavailableMax: 2, HostsMax: 9}
		r.Pools = map[model.PoolID]rules.Pool{
			"a": sized, "b": sized, "spare": {UnavailableMax: 4, Spare: true, HostsMax: 12},
		}
		r.Hosts = map[model.HostID]rules.HostPlacement{}
		for i, id := range sizedHosts() {
			r.Hosts[id] = rules.HostPlacement{Pool: []model.PoolID{"a", "b", "spare"}[i/4]}
		}
		change(r)
	})
	for _, id := range sizedHosts() {
		f.reportHostInOwnRack(id, true)
	}
	f.p = New(f.env())
	return f
}

func sizedHosts() []model.HostID {
	var ids []model.HostID
	for i := range 12 {
		ids = append(ids, model.HostID(rune('a'+i)))
	}
	return ids
}

func (f *fixture) reportHostInOwnRack(id model.HostID, up bool) {
	f.apply(fleet.Command{ReportHost: &fleet.ReportHost{
		Host: id, DataCentre: "west", Rack: model.RackID(id), Capacity: wholeHost, Image: "k8", Up: up,
	}})
}

// setUsage sets the CPU that tasks reserve on each host of a pool, in thousandths of
// the host.
func (f *fixture) setUsage(pool model.PoolID, thousandths int64) {
	for id, h := range f.fleet.Hosts {
		if h.Pool == pool {
			f.reserved[id] = model.Resources{MilliCPU: thousandths, MemoryMB: 1}
		}
	}
}

// queueTasks queues tasks that each need a whole host of a pool.
func (f *fixture) queueTasks(pool model.PoolID, names ...model.TaskID) {
	for _, id := range names {
		require.Nil(f.t, f.apply(fleet.Command{SubmitTask: &fleet.SubmitTask{
			Task: id, Team: "press", Spec: fleet.TaskSpec{Pool: pool, Size: wholeHost},
		}}).Problem)
	}
}

func (f *fixture) cancel(names ...model.TaskID) {
	for _, id := range names {
		f.apply(fleet.Command{CancelTask: &fleet.CancelTask{Task: id, Team: "press"}})
	}
}

func (f *fixture) poolSizes() [3]int {
	return [3]int{f.fleet.HostsIn("a"), f.fleet.HostsIn("b"), f.fleet.HostsIn("spare")}
}

// Guards against hosts that move back and forth because two pools have bursts of a
// few seconds in turn.
func TestBurstsMoveNoHosts(t *testing.T) {
	f := newSizedFixture(t, func(*rules.Rules) {})
	f.setUsage("a", 800)
	f.setUsage("b", 800)
	f.after(10 * model.Minute)
	require.Equal(t, [3]int{4, 4, 4}, f.poolSizes())
	for i := range 20 {
		pool := []model.PoolID{"a", "b"}[i%2]
		names := []model.TaskID{model.TaskID(fmt.Sprint("x", i)), model.TaskID(fmt.Sprint("y", i))}
		f.queueTasks(pool, names...)
		f.after(6 * model.Second)
		f.cancel(names...)
		f.after(model.Minute)
	}
	require.Equal(t, [3]int{4, 4, 4}, f.poolSizes())
}

// Guards against a need that is not met, hosts that stay in a pool for ever without
// need, and a host that moves twice within MoveInterval.
func TestPoolSizesFollowDemand(t *testing.T) {
	f := newSizedFixture(t, func(*rules.Rules) {})
	f.setUsage("a", 800)
	f.setUsage("b", 800)
	f.queueTasks("a", "x", "y", "z")
	f.after(10 * model.Minute)
	require.Greater(t, f.fleet.HostsIn("a"), 5)
	require.Equal(t, 4, f.fleet.HostsIn("b"))
	moved := map[model.HostID]model.Time{}
	f.cancel("x", "y", "z")
	f.setUsage("a", 100)
	for range 90 {
		f.after(model.Minute)
		for id, h := range f.fleet.Hosts {
			if last := moved[id]; h.MovedAt != last {
				require.True(t, last == 0 || h.MovedAt.Sub(last) >= MoveInterval)
				moved[id] = h.MovedAt
			}
		}
	}
	require.Less(t, f.fleet.HostsIn("a"), 4)
	require.GreaterOrEqual(t, f.fleet.HostsIn("a"), 1)
}

// Guards against moves that drain a pool beyond its budget or below its minimum.
func TestMovesRespectBudgetAndMinimum(t *testing.T) {
	f := newSizedFixture(t, func(r *rules.Rules) {
		r.Pools["a"] = rules.Pool{HostsMin: 2, UnavailableMax: 1, HostsMax: 9}
	})
	f.setUsage("b", 800)
	f.queueTasks("b", "u", "v", "w", "x", "y", "z")
	for range 3600 {
		f.after(model.Second)
		require.LessOrEqual(t, f.fleet.UnavailableIn("a"), 1)
		require.GreaterOrEqual(t, f.fleet.HostsIn("a")-f.fleet.UnavailableIn("a"), 2)
	}
	require.Equal(t, 2, f.fleet.HostsIn("a"))
	require.Equal(t, 9, f.fleet.HostsIn("b"))
}

// Guards against one spare host being assigned to two pools.
func TestOneSpareHostForTwoPools(t *testing.T) {
	f := newSizedFixture(t, func(r *rules.Rules) {
		for _, id := range sizedHosts()[9:] {
			delete(r.Hosts, id)
			r.Hosts[id] = rules.HostPlacement{Pool: "c"}
		}
		r.Pools["c"] = rules.Pool{}
	})
	f.setUsage("a", 1000)
	f.setUsage("b", 1000)
	f.queueTasks("a", "x")
	f.queueTasks("b", "y")
	f.busy["i"] = true
	f.after(5 * model.Minute)
	require.Equal(t, []model.HostID{"i"}, f.hostsInPhase(fleet.HostDraining))
	f.busy["i"] = false
	f.after(5 * model.Minute)
	require.Equal(t, 9, f.fleet.HostsIn("a")+f.fleet.HostsIn("b"))
	require.Equal(t, 0, f.fleet.HostsIn("spare"))
}

// Guards against a move that continues although the burst that caused it is over.
func TestMoveIsCancelledWhenDemandEnds(t *testing.T) {
	f := newSizedFixture(t, func(*rules.Rules) {})
	f.setUsage("a", 800)
	f.setUsage("b", 800)
	f.after(15 * model.Minute)
	for _, id := range sizedHosts()[8:] {
		f.busy[id] = true
	}
	f.queueTasks("a", "x", "y", "z")
	f.after(5 * model.Minute)
	require.NotEmpty(t, f.hostsInPhase(fleet.HostDraining))
	f.cancel("x", "y", "z")
	f.setUsage("a", 100)
	f.after(25 * model.Minute)
	require.Empty(t, f.hostsInPhase(fleet.HostDraining))
	require.LessOrEqual(t, f.fleet.HostsIn("a"), 4)
}

// Guards against too many moves at once when a data centre is lost or returns.
func TestFewHostsMoveAtOnce(t *testing.T) {
	f := newSizedFixture(t, func(r *rules.Rules) {
		r.Pools["spare"] = rules.Pool{UnavailableMax: 9, Spare: true, HostsMax: 12}
		for _, id := range sizedHosts()[4:] {
			r.Hosts[id] = rules.HostPlacement{Pool: "spare"}
		}
	})
	f.setUsage("a", 1000)
	for _, id := range sizedHosts() {
		f.busy[id] = true
	}
	f.queueTasks("a", "u", "v", "w", "x", "y", "z")
	f.queueTasks("b", "t")
	f.after(20 * model.Minute)
	require.Len(t, f.hostsInPhase(fleet.HostDraining), movesMax)
}

// Guards against giving a new image to as many hosts as the budgets allow before one
// host has come back with it.
func TestNewImageIsTriedOnFewHosts(t *testing.T) {
	f := newFixture(t)
	for i := range 6 {
		f.notReturning[hostName(i)] = true
	}
	f.setRules(func(r *rules.Rules) { r.Pools["a"] = rules.Pool{UnavailableMax: 6} })
	f.setWave("k9")
	f.after(ReturnTimeout - model.Minute)
	require.Len(t, f.hostsInPhase(fleet.HostRebooting), failedReturnsToStop)
	f.notReturning = map[model.HostID]bool{}
	f.after(model.Minute)
	require.Equal(t, map[string]int{"k9": 6, "k8": 2}, f.images())
}
