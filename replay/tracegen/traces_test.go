package tracegen_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/recording"
	"primrosedale.example/primrosedale/replay"
	"primrosedale.example/primrosedale/replay/tracegen"
)

const folder = "../../traces"

// Guards against a change of the reducer that violates an invariant or moves a measure
// of either deployment out of its bounds.
func TestTracesKeepTheirOutcomes(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(folder, "*.outcomes.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".outcomes.toml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			outcomes, err := replay.ParseOutcomes(text)
			require.NoError(t, err)
			trace, err := tracegen.Load(filepath.Join(folder, name+".toml"), 0)
			require.NoError(t, err)
			result, err := replay.Run(trace, replay.Options{})
			require.NoError(t, err)
			verdicts, err := outcomes.Check(result)
			require.NoError(t, err)
			for _, v := range verdicts {
				m, _ := result.Measure(v.Name)
				require.True(t, v.OK, "%s is %v %s, allowed is %s", v.Name, m.Value, m.NotMeasured, v.Allowed)
			}
		})
	}
}

// Guards against decisions on tasks, hosts and claims that depend on anything but the
// inputs, such as the iteration order of a map. The journal of each replay must
// reproduce the same effects and states byte for byte.
func TestJournalsOfTracesReplay(t *testing.T) {
	rules, err := os.ReadFile("../../examples/ulaanbaatar/rules.toml")
	require.NoError(t, err)
	for scenario, length := range map[string]float64{"tasks": 180, "centre": 45, "faults": 20, "shared-pool": 300} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			settings := tracegen.Settings{Deployment: "ulaanbaatar", Scenario: scenario, Seed: 7, Seconds: length}
			trace, err := tracegen.Generate(settings, string(rules))
			require.NoError(t, err)
			path := filepath.Join(t.TempDir(), "journal")
			_, err = replay.Run(trace, replay.Options{Record: path})
			require.NoError(t, err)
			file, err := os.Open(path)
			require.NoError(t, err)
			defer file.Close()
			report, err := recording.Verify(file)
			require.NoError(t, err)
			require.Nil(t, report.FirstDifference, "%s", report.FirstDifference)
			require.Greater(t, report.Inputs, 10_000)
			require.Greater(t, report.States, 2)
		})
	}
}

// Guards against a trace whose bursts never exceed the capacity of their service, and
// which therefore tests nothing.
func TestBurstsExceedTheirService(t *testing.T) {
	trace, err := tracegen.Load(filepath.Join(folder, "vakoas-bursts.toml"), 0)
	require.NoError(t, err)
	bySecond := make(map[int]float64) // seconds of work that arrive in the queue typesetting
	highest := 0.0
	for _, e := range trace.Events {
		if e.Arrive != nil && e.Arrive.Queue == "typesetting" {
			second := int(e.At / 1000)
			bySecond[second] += float64(e.Arrive.Run) / 1000
			highest = max(highest, bySecond[second])
		}
	}
	require.Greater(t, highest, 1.5*12*8, "12 targets with 8 slots")
}
