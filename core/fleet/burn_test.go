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

// Guards against waves and outages that are missing from the report, and against
// planned reboots that are reported as lost hosts.
func TestFleetEventsAreRecorded(t *testing.T) {
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

// Guards against events with the time of the replicated clock, which does not
// advance without a leader, and against counts that are lost by a restart.
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
	restarted.RebuildIndex()
	restarted.Apply(f.Index+1, &record)
	require.Equal(t, burn.Counts{Good: 3, Lost: 1}, restarted.Burn.SeriesOf(key).Sum(wall, model.Hour))
}

// Guards against tasks that an objective misses or counts twice, and against
// failures caused by the submitter that spend the error budget.
func TestEndedTasksAreCountedOnce(t *testing.T) {
	const longest = model.Minute
	cases := []struct {
		name       string
		idempotent bool
		waited     model.Duration
		ran        model.Duration
		outcomes   []TaskOutcome // of runs on h1, h2, h3
		cancel     bool
		want       burn.Counts
	}{
		{"finished", true, longest, 0, []TaskOutcome{OutcomeFinished}, false, burn.Counts{Good: 1}},
		{"finished after a lost run", true, 0, 0, []TaskOutcome{OutcomeLost, OutcomeFinished}, false, burn.Counts{Good: 1}},
		{"waited too long", true, longest + 1, 0, []TaskOutcome{OutcomeFinished}, false, burn.Counts{Late: 1}},
		{"runs again", true, 0, 0, []TaskOutcome{OutcomeFailed, OutcomeLost}, false, burn.Counts{}},
		{"can never run", true, 0, 0, []TaskOutcome{OutcomeFailed, OutcomeFailed, OutcomeFailed}, false, burn.Counts{}},
		{"failed once for all", false, 0, 0, []TaskOutcome{OutcomeFailed}, false, burn.Counts{Failed: 1}},
		{"overran", false, 0, longest + 1, []TaskOutcome{OutcomeFailed}, false, burn.Counts{}},
		{"lost", false, 0, 0, []TaskOutcome{OutcomeLost}, false, burn.Counts{Lost: 1}},
		{"stopped", false, 0, 0, []TaskOutcome{OutcomeStopped}, false, burn.Counts{Unknown: 1}},
		{"cancelled", false, 0, 0, []TaskOutcome{OutcomeStopped}, true, burn.Counts{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.applyRules("", 1, "hash2", func(r *rules.Rules) {
				r.Objectives = map[string]rules.Objective{"o": {Team: "press", Pool: "a", Good: 0.9, Window: model.Hour}}
			})
			at := func(d model.Duration, command Command) {
				command.At = f.Now.Add(d)
				f.Apply(f.Index+1, &command)
			}
			at(0, Command{SubmitTask: &SubmitTask{Task: "t", Team: "press", Spec: TaskSpec{
				Pool: "a", Size: model.Resources{MilliCPU: 1}, MaxRun: longest, Idempotent: c.idempotent}}})
			for i, outcome := range c.outcomes {
				worker := []model.HostID{"h1", "h2", "h3"}[i]
				at(c.waited, Command{PlaceTask: &PlaceTask{Task: "t", Worker: worker}})
				require.Equal(t, TaskPlaced, f.Tasks["t"].Phase)
				if c.cancel {
					at(0, Command{CancelTask: &CancelTask{Task: "t", Team: "press"}})
				}
				end := Command{EndTask: &EndTask{Task: "t", Epoch: uint64(i + 1), Outcome: outcome}}
				at(c.ran, end)
				at(0, end) // from a new leader that does not know of the first one
			}
			key := burn.Key{Team: "press", Pool: "a"}
			require.Equal(t, c.want, f.Burn.SeriesOf(key).Sum(f.Burn.WallTime(f.Now), model.Hour))
		})
	}
}
