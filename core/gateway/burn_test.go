package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

const patience = 10 * model.Second

// Guards against an end of a request that is not counted, is counted twice, or
// spends the budget for the wrong cause.
func TestEachEndCountsOnce(t *testing.T) {
	ended := func(table *Table, at model.Time, e event.ForwardEnded) {
		e.Request = "r"
		table.Ended(at, e)
		table.Ended(at, e) // a repeated event
		table.Settled(&message.Settled{Request: "r", Attempt: e.Attempt, Final: true})
		table.Settled(&message.Settled{Request: "r", Attempt: e.Attempt, Final: true})
		table.Advance(at.Add(model.Hour))
	}
	answered := func(status int) event.ForwardEnded {
		return event.ForwardEnded{Attempt: 1, Outcome: message.OutcomeAnswered, Status: status}
	}
	unknown := event.ForwardEnded{Attempt: 1, Outcome: message.OutcomeUnknown}
	timedOut := event.ForwardEnded{Attempt: 1, Outcome: message.OutcomeUnknown, TimedOut: true}
	tooLarge := event.ForwardEnded{Attempt: 1, Outcome: message.OutcomeAnswered, Status: 200, TooLarge: true}
	notStarted := event.ForwardEnded{Attempt: 1, Outcome: message.OutcomeNotStarted}
	refused := func(kind problem.Kind) func(*Table) {
		return func(t *Table) { refuseWith(t, &message.Refuse{Problem: problem.New(kind, "")}) }
	}
	after := func(start model.Time, e event.ForwardEnded) func(*Table) {
		return func(t *Table) {
			forward(t, start, 1)
			ended(t, start.Add(model.Second), e)
		}
	}
	past := model.Time(patience + 1)
	cases := map[string]struct {
		end  func(*Table)
		want burn.Cause
	}{
		"answered":             {after(1, answered(200)), burn.Good},
		"caller's error":       {after(1, answered(404)), burn.Good},
		"server error":         {after(1, answered(503)), burn.Failed},
		"started too late":     {after(past, answered(200)), burn.Late},
		"answer too large":     {after(1, tooLarge), burn.Failed},
		"run time passed":      {after(1, timedOut), burn.Failed},
		"not started in time":  {after(past, notStarted), burn.Late},
		"patience ran out":     {func(t *Table) { t.Advance(past.Add(OwnerGrace)) }, burn.Late},
		"refused, no target":   {refused(problem.NoTarget), burn.Refused},
		"refused, key reused":  {refused(problem.KeyReused), burn.NotCounted},
		"refused, queue gone":  {refused(problem.UnknownQueue), burn.NotCounted},
		"in progress":          {refused(problem.InProgress), burn.NotCounted},
		"stored answer":        {func(t *Table) { refuseWith(t, &message.Refuse{Answer: &model.Answer{Status: 200}}) }, burn.Good},
		"caller gone, waiting": {func(t *Table) { t.Abandon(1, "r"); t.Advance(past.Add(model.Hour)) }, burn.NotCounted},
		"caller gone, running": {func(table *Table) {
			forward(table, 1, 1)
			table.Abandon(2, "r")
			ended(table, 3, answered(500))
		}, burn.NotCounted},
		"caller gone after the answer": {func(table *Table) {
			forward(table, 1, 1)
			ended(table, 2, answered(200))
			table.Abandon(3, "r")
		}, burn.Good},
		"second attempt answered": {func(table *Table) {
			forward(table, 1, 1)
			table.Ended(2, event.ForwardEnded{Request: "r", Attempt: 1, Outcome: message.OutcomeNotStarted})
			forward(table, 3, 2)
			second := answered(200)
			second.Attempt = 2
			ended(table, 4, second)
		}, burn.Good},
	}
	for name, c := range cases {
		for _, idempotent := range []bool{true, false} {
			table := New("inc")
			table.Follow(0, "leader", 1)
			table.Arrive(0, event.Request{ID: "r", Team: "press", Queue: "proofs", Idempotent: idempotent, Patience: patience})
			c.end(table)
			checkEnds(t, table, name, c.want)
		}
	}
	for idempotent, want := range map[bool]burn.Cause{false: burn.Unknown, true: burn.Lost} {
		table := New("inc")
		table.Follow(0, "leader", 1)
		table.Arrive(0, event.Request{ID: "r", Team: "press", Queue: "proofs", Idempotent: idempotent, Patience: patience})
		forward(table, 1, 1)
		table.Ended(2, withRequest(unknown))
		refuseWith(table, &message.Refuse{Problem: problem.New(problem.PatienceExceeded, "")})
		checkEnds(t, table, "connection lost", want)
	}
	table := New("inc")
	table.Stop(0)
	table.Arrive(0, event.Request{ID: "r", Team: "press", Queue: "proofs"})
	checkEnds(t, table, "stopping", burn.Refused)
}

// forward lets the request start an attempt.
func forward(table *Table, at model.Time, attempt int) {
	table.Dispatch(at, at.Add(model.Second), &message.Dispatch{
		Term: 1, Gateway: "inc", Request: "r", Attempt: attempt, Target: "t", MaxRun: model.Minute,
	})
}

// refuseWith gives the request the owner's refusal.
func refuseWith(table *Table, r *message.Refuse) {
	r.Term, r.Request = 1, "r"
	table.Refuse(0, r)
}

func withRequest(e event.ForwardEnded) event.ForwardEnded {
	e.Request = "r"
	return e
}

func checkEnds(t *testing.T, table *Table, name string, want burn.Cause) {
	t.Helper()
	ends := table.TakeEnds()
	if want == burn.NotCounted {
		require.Empty(t, ends, name)
		return
	}
	require.Equal(t, []End{{Team: "press", Queue: "proofs", Cause: want}}, ends, name)
	require.Empty(t, table.TakeEnds(), name)
}
