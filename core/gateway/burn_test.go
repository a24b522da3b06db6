package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/gateway"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// afterPatience is a time after the end of the request's patience.
const afterPatience = patience + 1

// endTwice ends an attempt and settles it, each of them twice.
func endTwice(e event.ForwardEnded, now model.Duration) step {
	end, receipt := endedAs(e, now), settled(e.Attempt, true)
	return func(t *gateway.Table) []effect.Effect {
		for _, s := range []step{end, end, receipt, receipt} {
			s(t)
		}
		return advance(now + model.Hour)(t)
	}
}

// runAttempt starts an attempt at now and ends it a second later.
func runAttempt(now model.Duration, e event.ForwardEnded) []step {
	return []step{dispatchAt(1, now), endTwice(e, now+model.Second)}
}

func refuseStored(t *gateway.Table) []effect.Effect {
	return t.Refuse(start, &message.Refuse{Term: term, Request: "r", Answer: &model.Answer{Status: 200}})
}

// Guards against an end of a request that is not counted, is counted twice, or is
// charged to the objective's budget under the wrong cause.
func TestEachEndIsCountedOnce(t *testing.T) {
	with := func(status int) event.ForwardEnded {
		return event.ForwardEnded{Attempt: 1, Outcome: answered, Status: status}
	}
	second := with(200)
	second.Attempt = 2
	timedOut := event.ForwardEnded{Attempt: 1, Outcome: unknown, TimedOut: true}
	tooLarge := event.ForwardEnded{Attempt: 1, Outcome: answered, Status: 200, TooLarge: true}
	cases := map[string]struct {
		steps []step
		want  burn.Cause
	}{
		"answered":                     {runAttempt(0, with(200)), burn.Good},
		"caller's error":               {runAttempt(0, with(404)), burn.Good},
		"server error":                 {runAttempt(0, with(503)), burn.Failed},
		"started too late":             {runAttempt(afterPatience, with(200)), burn.Late},
		"answer too large":             {runAttempt(0, tooLarge), burn.Failed},
		"run time passed":              {runAttempt(0, timedOut), burn.Failed},
		"not started in time":          {runAttempt(afterPatience, event.ForwardEnded{Attempt: 1, Outcome: notStarted}), burn.Late},
		"patience ran out":             {[]step{advance(afterPatience + gateway.OwnerGrace)}, burn.Late},
		"refused, no target":           {[]step{refuse(problem.NoTarget)}, burn.Refused},
		"refused, key reused":          {[]step{refuse(problem.KeyReused)}, burn.NotCounted},
		"refused, queue gone":          {[]step{refuse(problem.UnknownQueue)}, burn.NotCounted},
		"in progress":                  {[]step{refuse(problem.InProgress)}, burn.NotCounted},
		"stored answer":                {[]step{refuseStored}, burn.Good},
		"caller gone, waiting":         {[]step{disconnect, advance(afterPatience + model.Hour)}, burn.NotCounted},
		"caller gone, running":         {[]step{dispatch(1), disconnect, endTwice(with(500), 2)}, burn.NotCounted},
		"caller gone after the answer": {[]step{dispatch(1), endTwice(with(200), 2), disconnect}, burn.Good},
		"second attempt answered":      {[]step{dispatch(1), ended(1, notStarted, 1), dispatch(2), endTwice(second, 2)}, burn.Good},
	}
	for name, c := range cases {
		checkCause(t, name, c.want, append([]step{arrive(true)}, c.steps...)...)
		checkCause(t, name, c.want, append([]step{arrive(false)}, c.steps...)...)
	}
	lost := []step{dispatch(1), ended(1, unknown, 1), refuse(problem.PatienceExceeded)}
	checkCause(t, "connection lost", burn.Lost, append([]step{arrive(true)}, lost...)...)
	checkCause(t, "connection lost", burn.Unknown, append([]step{arrive(false)}, lost...)...)
	checkCause(t, "stopping", burn.Refused, stop, arrive(true))
}

// checkCause runs the steps and checks that exactly one end is counted, with the
// cause want, or none for burn.NotCounted.
func checkCause(t *testing.T, name string, want burn.Cause, steps ...step) {
	t.Helper()
	table := newTable()
	for _, s := range steps {
		s(table)
	}
	ends := table.TakeEnds()
	if want == burn.NotCounted {
		require.Empty(t, ends, name)
		return
	}
	require.Equal(t, []gateway.End{{Team: "press", Queue: "proofs", Cause: want}}, ends, name)
	require.Empty(t, table.TakeEnds(), name)
}
