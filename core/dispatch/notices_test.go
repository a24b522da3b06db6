package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

func (f *fixture) countLogs(want effect.Log) int {
	n := 0
	for _, l := range f.logs {
		if l == want {
			n++
		}
	}
	return n
}

// Guards against a full queue, a spent retry budget, or the silence or return of a
// target that is not logged, and against one log event for each refused request.
func TestRepeatedWarningsAreRateLimited(t *testing.T) {
	f := newFixture(twoTeams(100))
	f.ready(targetOf("t", 50))
	for i := range int(retryBurst) + 3 {
		f.ask(askOf(i, "press", "proofs"))
	}
	dispatched, _ := f.take()
	for _, d := range dispatched {
		f.end(d, message.OutcomeUnknown, false)
	}
	require.Equal(t, 1, f.countLogs(effect.Log{Code: effect.RetryBudgetSpent, Team: "press"}))
	f.advance(SilenceTimeout)
	require.Equal(t, 1, f.countLogs(effect.Log{Code: effect.TargetSilent, Target: "t"}))
	f.report(targetOf("t", 50))
	f.report(targetOf("t", 50))
	require.Equal(t, 1, f.countLogs(effect.Log{Code: effect.TargetReturned, Target: "t"}))
	for range 2 {
		for i := range 3 {
			a := askOf(100+i, "maps", "archive")
			a.Patience = model.Second
			f.ask(a)
		}
		f.owner.targets["t"].pausedUntil = f.env.Now.Add(model.Hour)
		f.advance(logInterval)
	}
	require.Equal(t, 2, f.countLogs(effect.Log{Code: effect.QueueFull, Queue: "archive"}))
}
