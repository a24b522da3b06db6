package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

func (f *fixture) events() []burn.EventKind {
	var kinds []burn.EventKind
	for _, e := range f.Burn.Events {
		kinds = append(kinds, e.Kind)
	}
	f.Burn.Events = nil
	return kinds
}

// Guards against waves and outages that the report does not show, and against
// planned reboots that it shows as lost hosts.
func TestFleetEventsAreNoted(t *testing.T) {
	f := newFixture(t)
	wave := func(r *rules.Rules) {
		r.Waves = map[string]rules.Wave{"k9": {Pools: []model.PoolID{"a"}, Image: "k9"}}
		r.DataCentres = map[model.DataCentreID]rules.DataCentre{"east": {Out: true}}
	}
	f.applyRules("", 1, "hash2", wave)
	require.Equal(t, []burn.EventKind{burn.CentreOut, burn.WaveBegun}, f.events())

	for _, host := range []model.HostID{"h1", "h2", "h3"} {
		require.Empty(t, f.events(), "the wave ends with its last host")
		f.plan("", host, HostDrain, "", "k9")
		f.plan("", host, HostReboot, "", "")
		f.report(host, false, "")
		f.report(host, true, "k9")
		f.plan("", host, HostReturn, "", "")
	}
	require.Equal(t, []burn.EventKind{burn.WaveEnded}, f.events())

	f.report("h1", false, "k9")
	f.report("h2", false, "k9")
	require.Equal(t, []burn.Event{{At: f.Now, Kind: burn.HostsLost, Name: "west", Count: 2}}, f.Burn.Events)
	f.events()
	f.report("h3", false, "k9")
	require.Equal(t, []burn.EventKind{burn.HostsLost, burn.CentreLost}, f.events())
	f.report("h3", true, "k9")
	require.Equal(t, []burn.EventKind{burn.CentreBack}, f.events())

	f.applyRules("", 2, "hash3", func(r *rules.Rules) {
		r.Waves = map[string]rules.Wave{"k10": {Pools: []model.PoolID{"a"}, Image: "k10"}}
	})
	require.Equal(t, []burn.EventKind{burn.CentreIn, burn.WaveBegun}, f.events())
	f.applyRules("", 3, "hash4", nil)
	require.Equal(t, []burn.EventKind{burn.WaveStopped}, f.events())
}

// Guards against events that are dated by the replicated clock, which stands
// still without a leader, and against counts that a restart forgets.
func TestRecordBurnDatesEventsAndSurvivesRestart(t *testing.T) {
	f := newFixture(t)
	f.applyRules("", 1, "hash2", func(r *rules.Rules) {
		r.Objectives = map[string]rules.Objective{"o": {Team: "press", Service: "render", Good: 0.9, Window: model.Hour}}
		r.Queues = map[model.QueueID]rules.Queue{"proofs": {Service: "render", MaxRun: model.Second}}
	})
	wall := model.Time(1000 * model.Hour)
	key := burn.Key{Team: "press", Service: "render"}
	record := Command{RecordBurn: &RecordBurn{Record: burn.Record{
		Time: wall, Leader: burn.Leader{Host: "a", Term: 3},
		Advances: []burn.Advance{{Process: burn.Process{Host: "a", Incarnation: "1"}, To: 1}},
		Entries:  []burn.Entry{{Key: key, Counts: burn.Counts{Good: 3, Lost: 1}}},
	}}}
	f.apply("", record)
	f.apply("", record)
	f.Burn.Events = nil
	f.at = f.at.Add(model.Minute)
	f.apply("", Command{ReportHost: &ReportHost{Host: "h1", DataCentre: "west"}})
	require.Equal(t, wall.Add(model.Minute), f.Burn.Events[0].At)

	restarted := f.Clone()
	restarted.Rebuild()
	restarted.Apply(f.Index+1, &record)
	require.Equal(t, burn.Counts{Good: 3, Lost: 1}, restarted.Burn.Of(key).Sum(wall, model.Hour))
}
