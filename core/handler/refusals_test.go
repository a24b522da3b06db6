package handler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/schedule"
)

// Guards against a job that runs although an attempt of its caller was refused: an
// earlier attempt at another host arrives after the refusal. A new attempt is accepted.
func TestEarlierSubmissionFollowsTheRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		arrived  model.Duration // since the refusal
		disabled schedule.FeatureSet
		accepted bool
	}{
		"earlier":                {-model.Second, 0, false},
		"at about the same time": {stampError, 0, false},
		"new attempt":            {900 * model.Millisecond, 0, true},
		"disabled":               {-model.Second, 1 << schedule.DurableRefusals, true},
		"long ago":               {-refusalRetention, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			inForce := f.state.Config
			f.state.Config = nil
			refusedAt := f.now
			require.Equal(t, problem.NotConfigured, f.decide(submitCall("/q/"+jobID, "press-key", step())).Answer.Problem.Kind)
			f.state.Config = inForce
			f.now = f.now.Add(model.Second)
			env := f.env()
			env.Schedule.Bounds.Disabled = c.disabled
			again := submitCall("/q/"+jobID, "press-key", step())
			again.Stamp = call.Stamp{Term: 1, At: refusedAt.Add(c.arrived)}
			d := f.handler.Decide(env, jobs.CallRef{Host: "other"}, &again)
			require.Equal(t, c.accepted, d.Command != nil)
			if !c.accepted {
				require.NotZero(t, d.Answer.Problem.RetryAfter)
			}
		})
	}
}

// Guards against a job that is accepted although only its outcome was asked for, and
// against a refusal of a job that is accepted or may be.
func TestOutcomeOfAnEarlierSubmission(t *testing.T) {
	f := newFixture()
	ask := submitCall("/q/"+jobID, "press-key", step())
	ask.Resolve = true
	unknown := f.decide(ask)
	require.Equal(t, problem.NoLeader, unknown.Answer.Problem.Kind)
	require.Equal(t, model.Second, unknown.Answer.Problem.RetryAfter)

	accepted := f.decide(submitCall("/q/"+jobID, "press-key", step()))
	require.NotNil(t, f.decide(ask).Command, "while it is proposed, the answer awaits its record")
	f.apply(accepted.Command)
	f.handler.Committed(accepted.Command)
	require.Equal(t, call.JobQueued, f.decide(ask).Answer.State)
}
