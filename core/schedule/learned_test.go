package schedule

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// learn observes runs of a queue whose estimates are off.
func learn(f *fixture, q model.QueueID) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 4 * durationMemory {
		m := f.s.durationModel(q)
		estimate := milliseconds(200 + 2000*rng.Float64())
		m.observeEstimate(estimate)
		m.observe(estimate, milliseconds(300+900*rng.Float64()))
	}
}

// Guards against a new leader that goes back to the declared estimates in the middle of a
// burst, and admits and orders jobs by them until it has measured enough runs itself.
func TestNewLeaderPredictsAsTheOldOne(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	learn(f, "q")
	f.advance()
	want := *f.s.durations("q")
	f.s = New(f.env())
	require.Equal(t, want, *f.s.durations("q"))
	require.NotEqual(t, 100*ms, f.s.durations("q").predict(100*ms).median)

	recorded := f.state.Learned
	f.advanceBy(2 * learnInterval)
	require.Same(t, recorded, f.state.Learned, "nothing has changed since")
	learn(f, "q")
	f.advance()
	require.NotSame(t, recorded, f.state.Learned)
	recorded = f.state.Learned
	learn(f, "q")
	f.advance()
	require.Same(t, recorded, f.state.Learned, "it is too early for another record")
}

// Guards against predictions from a digest that is damaged or of another build.
func TestImplausibleDigestIsIgnored(t *testing.T) {
	for name, change := range map[string]func(l *jobs.Learned, d *jobs.DurationSums){
		"other version":  func(l *jobs.Learned, _ *jobs.DurationSums) { l.Version++ },
		"not a number":   func(_ *jobs.Learned, d *jobs.DurationSums) { d.XY = math.NaN() },
		"infinite":       func(_ *jobs.Learned, d *jobs.DurationSums) { d.YY = math.Inf(1) },
		"negative":       func(_ *jobs.Learned, d *jobs.DurationSums) { d.X = -1 },
		"without weight": func(_ *jobs.Learned, d *jobs.DurationSums) { d.Weight = 0 },
		"too large":      func(_ *jobs.Learned, d *jobs.DurationSums) { d.EstimatesX = 40 },
		"many samples":   func(_ *jobs.Learned, d *jobs.DurationSums) { d.Samples = math.MaxInt },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testWorker("a"))
			learn(f, "q")
			learn(f, "r")
			digest := f.s.learned(f.env())
			digest.Durations["r"] = digest.Durations["q"] // q stays plausible
			damaged := digest.Durations["q"]
			change(digest, &damaged)
			digest.Durations["r"] = damaged
			f.state.Learned = digest
			require.Empty(t, New(f.env()).durationModels)
		})
	}
}

// Guards against a digest that grows beyond what a log entry of every two seconds may cost.
func TestDigestOfManyQueuesIsSmall(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	for i := range 8 {
		q := jobs.Queue{ID: model.QueueID(fmt.Sprintf("a-long-name-of-a-queue-%d", i)), Service: "render"}
		f.state.Config.Queues = append(f.state.Config.Queues, q)
		learn(f, q.ID)
	}
	data, err := json.Marshal(f.s.learned(f.env()))
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), 4096)
	t.Logf("%d bytes", len(data))
}

// Guards against entries in the log, and decisions by them, although the feature is
// disabled.
func TestDisabledRecordsAndRestoresNothing(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	learn(f, "q")
	env := f.env()
	f.state.Learned = f.s.learned(env)
	env.Bounds.Disabled = 1 << LearnedState
	require.Empty(t, New(env).durationModels)
	var out Out
	f.s.recordLearned(env, &out)
	require.Empty(t, out.Proposals)
}
