package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against admission and order by estimates that say nothing about the time that
// tasks take, and against a model that discards accurate estimates.
func TestDurationModelLearnsWhatEstimatesAreWorth(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	logNormal := func(median model.Duration, sigma float64) model.Duration {
		return milliseconds(float64(median/ms) * math.Exp(sigma*rng.NormFloat64()))
	}
	var random, accurate durationModel
	for range 1000 {
		random.observe(logNormal(800*ms, 1.2), logNormal(800*ms, 0.4))
		estimate := logNormal(800*ms, 0.8)
		accurate.observe(estimate, logNormal(estimate, 0.1))
	}
	for _, estimate := range []model.Duration{40 * ms, 800 * ms, 6 * model.Second} {
		require.InEpsilon(t, float64(800*ms), float64(random.predict(estimate).median), 0.2, "estimate %v", estimate)
		require.InEpsilon(t, float64(estimate), float64(accurate.predict(estimate).median), 0.2, "estimate %v", estimate)
	}
	require.InDelta(t, 0.4, random.sigma, 0.06)
	require.Greater(t, random.predict(800*ms).longestOf(8), random.predict(800*ms).mean())
	require.Equal(t, 800*ms, (*durationModel)(nil).predict(800*ms).longestOf(8), "without a measured run the estimate is used")
	require.Equal(t, random.predict(0).median, random.predict(ms).median)
}

// Guards against jobs of a queue with random estimates that are refused, or served after
// others, because of their estimates.
func TestJobsAreOrderedByLearnedDurations(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["press"] = jobs.Team{}
	run := func(id model.JobID, estimate, duration model.Duration) {
		f.submit(id, jobs.Step{Tasks: 1, Size: cores(1), Estimate: estimate})
		f.now = f.now.Add(duration)
		w := f.s.workers["a"]
		f.answerPoll("a", nil, []order.Ended{{Number: w.proposedThrough + 1, RunRef: ref(id, 0, 1), Outcome: jobs.OutcomeDone}})
	}
	estimates := []model.Duration{20 * ms, 8 * model.Second, 300 * ms, 2 * model.Second}
	for i := range 2 * minDurationSamples {
		run(model.JobID(fmt.Sprintf("%016x", i)), estimates[i%len(estimates)], model.Second)
	}
	q := f.state.Config.Queue("q")
	short := &jobs.Job{ID: "s", Queue: "q", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: 20 * ms}}}
	long := &jobs.Job{ID: "l", Queue: "q", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: 8 * model.Second}}}
	m := f.s.durations("q")
	require.InEpsilon(t, float64(allowedTime(m, q, short)), float64(allowedTime(m, q, long)), 0.05)
}
