package maintenance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// fixture is a planner on a fleet state. Proposals are applied at once.
type fixture struct {
	t            *testing.T
	now          model.Time
	fleet        *fleet.State
	p            *Planner
	busy         map[model.HostID]bool
	logs         []effect.Code
	notReturning map[model.HostID]bool // hosts that do not come back from a reboot

	policy   PolicyName
	reserved map[model.HostID]model.Resources
}

// newFixture returns pool "a" with six hosts in three racks, and a spare pool with
// two hosts.
func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, now: model.Time(model.Hour), fleet: fleet.New(),
		busy: map[model.HostID]bool{}, notReturning: map[model.HostID]bool{},
	}
	f.setRules(func(r *rules.Rules) {
		r.Teams = map[model.TeamID]rules.Team{"press": {Limit: 10}}
		r.Pools = map[model.PoolID]rules.Pool{
			"a": {HostsMin: 6, UnavailableMax: 2}, "b": {UnavailableMax: 1}, "spare": {UnavailableMax: 1, Spare: true},
		}
		r.Hosts = map[model.HostID]rules.HostPlacement{}
		for i := range 6 {
			r.Hosts[hostName(i)] = rules.HostPlacement{Pool: "a"}
		}
	})
	for i := range 8 {
		f.reportHost(hostName(i), "k8", true)
	}
	f.p = New(f.env())
	return f
}

func hostName(i int) model.HostID { return model.HostID(fmt.Sprintf("h%d", i)) }

func (f *fixture) env() Env {
	return Env{
		Now: f.now, Fleet: f.fleet, Policy: f.policy,
		Busy:     func(id model.HostID) bool { return f.busy[id] },
		Reserved: func(id model.HostID) model.Resources { return f.reserved[id] },
		Need:     func(t *fleet.Task) model.Resources { return t.Spec.Size },
	}
}

func (f *fixture) setRules(change func(*rules.Rules)) {
	r := f.fleet.Rules.Clone()
	change(r)
	r.Revision++
	c := fleet.Command{ApplyRules: &fleet.ApplyRules{Base: r.Revision - 1, Hash: "h", Rules: r}}
	require.Nil(f.t, f.apply(c).Problem)
}

func (f *fixture) setWave(image string) {
	f.setRules(func(r *rules.Rules) {
		r.Waves = map[string]rules.Wave{"w": {Pools: []model.PoolID{"a"}, Image: image}}
	})
}

// reportHost reports a host. Each pair of consecutive hosts shares a rack.
func (f *fixture) reportHost(id model.HostID, image string, up bool) {
	rack := model.RackID(fmt.Sprint("r", (id[1]-'0')/2))
	f.apply(fleet.Command{ReportHost: &fleet.ReportHost{Host: id, DataCentre: "west", Rack: rack, Image: image, Up: up}})
}

func (f *fixture) apply(c fleet.Command) fleet.Result {
	c.At = f.now
	result := f.fleet.Apply(f.fleet.Index+1, &c)
	if f.p != nil {
		f.do(func(env Env, out *Output) { f.p.Committed(env, out, &c, result) })
	}
	return result
}

func (f *fixture) do(handle func(Env, *Output)) {
	var out Output
	handle(f.env(), &out)
	for _, e := range out.Effects {
		f.logs = append(f.logs, e.(effect.Log).Code)
	}
	for _, c := range out.Proposals {
		f.apply(c)
	}
}

// after advances the time. Rebooting hosts come back with the wanted image within a
// second, unless they are in notReturning.
func (f *fixture) after(d model.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(model.Second)
		f.do(f.p.Advance)
		for _, id := range model.SortedKeys(f.fleet.Hosts) {
			h := f.fleet.Hosts[id]
			switch {
			case h.Phase != fleet.HostRebooting:
			case f.notReturning[id] && h.Up:
				f.reportHost(id, h.Image, false)
			case !f.notReturning[id] && h.ImageWant != h.Image && h.ImageWant != "":
				f.reportHost(id, h.ImageWant, true)
			}
		}
	}
}

// hostsInPhase returns the hosts in a phase, sorted.
func (f *fixture) hostsInPhase(phase fleet.HostPhase) []model.HostID {
	var list []model.HostID
	for _, id := range model.SortedKeys(f.fleet.Hosts) {
		if f.fleet.Hosts[id].Phase == phase {
			list = append(list, id)
		}
	}
	return list
}

func (f *fixture) images() map[string]int {
	images := map[string]int{}
	for _, h := range f.fleet.Hosts {
		images[h.Image]++
	}
	return images
}

// Guards against a wave that exceeds its budget, drains several hosts of one rack at
// once, reboots a host that still has work, or skips hosts.
func TestWave(t *testing.T) {
	f := newFixture(t)
	f.setRules(func(r *rules.Rules) { r.Pools["a"] = rules.Pool{UnavailableMax: 2} })
	for i := range 6 {
		f.busy[hostName(i)] = true
	}
	f.setWave("k9")
	f.after(10 * model.Second)
	require.Equal(t, []model.HostID{"h0", "h2"}, f.hostsInPhase(fleet.HostDraining))
	f.reportHost("h5", "k8", false) // an unplanned loss while the budget is used up
	f.busy = map[model.HostID]bool{}
	f.after(model.Minute)
	require.Equal(t, map[string]int{"k9": 5, "k8": 3}, f.images())
	f.reportHost("h5", "k8", true)
	f.after(model.Minute)
	require.Equal(t, map[string]int{"k9": 6, "k8": 2}, f.images())
	require.Len(t, f.hostsInPhase(fleet.HostServing), 8)
}

// Guards against a drain that never ends, and one that restarts right after it was
// cancelled.
func TestDrainTimeout(t *testing.T) {
	f := newFixture(t)
	f.busy["h0"] = true
	f.setWave("k9")
	f.after(DrainTimeout - model.Minute)
	require.Equal(t, []model.HostID{"h0"}, f.hostsInPhase(fleet.HostDraining))
	f.after(2 * model.Minute)
	require.Empty(t, f.hostsInPhase(fleet.HostDraining))
	f.after(DrainRetryDelay - 2*model.Minute)
	require.Empty(t, f.hostsInPhase(fleet.HostDraining))
	f.busy["h0"] = false
	f.after(2 * model.Minute)
	require.Equal(t, map[string]int{"k9": 6, "k8": 2}, f.images())
}

// Guards against a wave that continues although hosts do not come back, a new leader
// that forgets the stop, and hosts that stay stuck once the wave is withdrawn.
func TestWaveStopsAfterFailedReturns(t *testing.T) {
	f := newFixture(t)
	f.notReturning["h0"], f.notReturning["h2"] = true, true
	f.setRules(func(r *rules.Rules) { r.Pools["a"] = rules.Pool{HostsMin: 1, UnavailableMax: 3} })
	f.busy["h1"] = true // occupies the third unit of the budget until the failed returns are counted
	f.busy["h3"], f.busy["h4"], f.busy["h5"] = true, true, true
	f.setWave("k9")
	f.after(ReturnTimeout + model.Minute)
	require.Contains(t, f.logs, effect.WaveStopped)
	f.busy = map[model.HostID]bool{}
	f.p = New(f.env())
	f.after(model.Minute)
	require.Equal(t, map[string]int{"k8": 8}, f.images())
	require.Equal(t, []model.HostID{"h0", "h2"}, f.hostsInPhase(fleet.HostRebooting))
	f.notReturning = map[model.HostID]bool{}
	f.reportHost("h0", "k8", true)
	f.reportHost("h2", "k8", true)
	f.setRules(func(r *rules.Rules) { r.Waves = nil })
	f.after(model.Minute)
	require.Len(t, f.hostsInPhase(fleet.HostServing), 8)
}

// Guards against a plan that a change of leader leaves incomplete.
func TestNewLeaderContinuesPlans(t *testing.T) {
	for _, phase := range []fleet.HostPhase{fleet.HostDraining, fleet.HostRebooting} {
		f := newFixture(t)
		f.apply(fleet.Command{PlanHost: &fleet.PlanHost{Host: "h0", Action: fleet.HostDrain, Pool: "b", Image: "k9"}})
		if phase == fleet.HostRebooting {
			f.p = nil
			f.apply(fleet.Command{PlanHost: &fleet.PlanHost{Host: "h0", Action: fleet.HostReboot}})
		}
		f.setRules(func(r *rules.Rules) {
			r.Hosts["h0"] = rules.HostPlacement{Pool: "b"}
			r.Pools["a"] = rules.Pool{UnavailableMax: 2}
			r.Waves = map[string]rules.Wave{"w": {Pools: []model.PoolID{"b"}, Image: "k9"}}
		})
		f.p = New(f.env())
		f.after(10 * model.Second)
		require.Equal(t, fleet.HostServing, f.fleet.Hosts["h0"].Phase)
		require.EqualValues(t, "b", f.fleet.Hosts["h0"].Pool)
		require.Equal(t, "k9", f.fleet.Hosts["h0"].Image)
	}
}

// Guards against a move because a host was down for a moment, a replacement that
// comes too late or never, and more moves than needed.
func TestPoolBelowMinimumGetsSpareHost(t *testing.T) {
	f := newFixture(t)
	f.after(model.Minute)
	f.reportHost("h1", "k8", false)
	f.after(ShortageDelay - 5*model.Second)
	f.reportHost("h1", "k8", true)
	f.after(model.Minute)
	require.Equal(t, 6, f.fleet.HostsIn("a"))
	f.reportHost("h1", "k8", false)
	f.after(ShortageDelay + 10*model.Second)
	require.Equal(t, 7, f.fleet.HostsIn("a"))
	require.Equal(t, 1, f.fleet.HostsIn("spare"))
	f.reportHost("h1", "k8", true)
	f.after(10 * model.Minute)
	require.Equal(t, 7, f.fleet.HostsIn("a"))
}

// Guards against a pool that stays short of a host that never came back.
func TestHostThatNeverReturnsIsReplaced(t *testing.T) {
	f := newFixture(t)
	f.notReturning["h0"] = true
	f.setWave("k9")
	f.after(ReturnTimeout - model.Minute)
	require.Equal(t, 6, f.fleet.HostsIn("a"))
	f.after(3 * model.Minute)
	require.Equal(t, 7, f.fleet.HostsIn("a"))
	require.Equal(t, []model.HostID{"h0"}, f.hostsInPhase(fleet.HostRebooting))
}

// Guards against a host that is moved repeatedly as the rules change, and against a
// host that stays without a pool.
func TestMovesByRules(t *testing.T) {
	f := newFixture(t)
	place := func(id model.HostID, pool model.PoolID) {
		f.setRules(func(r *rules.Rules) { r.Hosts[id] = rules.HostPlacement{Pool: pool} })
	}
	f.after(5 * model.Second)
	place("h7", "b")
	f.after(5 * model.Second)
	require.EqualValues(t, "b", f.fleet.Hosts["h7"].Pool)
	place("h7", "spare")
	f.after(MoveInterval - 10*model.Second)
	require.EqualValues(t, "b", f.fleet.Hosts["h7"].Pool)
	f.after(model.Minute)
	require.EqualValues(t, "spare", f.fleet.Hosts["h7"].Pool)

	f.setRules(func(r *rules.Rules) { r.Pools["spare"] = rules.Pool{UnavailableMax: 1} })
	f.reportHost("h9", "k8", true)
	require.Empty(t, f.fleet.Hosts["h9"].Pool)
	f.setRules(func(r *rules.Rules) { r.Pools["spare"] = rules.Pool{UnavailableMax: 1, Spare: true} })
	f.after(10 * model.Second)
	require.EqualValues(t, "spare", f.fleet.Hosts["h9"].Pool)
}

// Guards against consecutive hosts of the same rack in the order of evaluation.
func TestHostOrderAlternatesRacks(t *testing.T) {
	f := newFixture(t)
	f.after(model.Second)
	racks := func() []model.RackID {
		var list []model.RackID
		for _, id := range f.p.hostOrder {
			list = append(list, f.fleet.Hosts[id].Rack)
		}
		return list
	}()
	require.Len(t, racks, 8)
	require.False(t, slices.Equal(racks, slices.Sorted(slices.Values(racks))), "%v", racks)
	for i := range racks[1:] {
		require.NotEqual(t, racks[i], racks[i+1], "%v", racks)
	}
}
