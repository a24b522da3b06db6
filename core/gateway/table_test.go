package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/gateway"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

const (
	ms       = model.Millisecond
	start    = model.Time(1_000_000 * model.Second)
	patience = 2 * model.Second
	term     = 3
)

func at(d model.Duration) model.Time { return start.Add(d) }

// step passes one event to the table and returns the effects.
type step func(t *gateway.Table) []effect.Effect

func newTable() *gateway.Table {
	table := gateway.New("life")
	table.SetLeader(start, "leader", term)
	table.KeysChanged(start, map[model.Digest]model.TeamID{"hash": "press"})
	return table
}

func arrive(idempotent bool) step {
	r := event.Request{ID: "r", Team: "press", Queue: "proofs", Bearer: "hash", Idempotent: idempotent, Patience: patience}
	if !idempotent {
		r.Key, r.Body = "key", "body"
	}
	return func(t *gateway.Table) []effect.Effect { return t.Accept(start, r) }
}

func newDispatch(attempt int) *message.Dispatch {
	return &message.Dispatch{
		Term: term, Request: "r", Gateway: "life", Attempt: attempt, Target: "t", Inc: "i", MaxRun: 10 * model.Second,
	}
}

// dispatch permits the attempt to start within a second.
func dispatch(attempt int) step { return dispatchAt(attempt, 0) }

func dispatchAt(attempt int, now model.Duration) step {
	d := newDispatch(attempt)
	return func(t *gateway.Table) []effect.Effect { return t.Dispatch(at(now), at(now+model.Second), d) }
}

func dispatchUntil(attempt int, startBy model.Time, change func(*message.Dispatch)) step {
	d := newDispatch(attempt)
	change(d)
	return func(t *gateway.Table) []effect.Effect { return t.Dispatch(start, startBy, d) }
}

func ended(attempt int, outcome message.Outcome, now model.Duration) step {
	return endedAs(event.ForwardEnded{Attempt: attempt, Outcome: outcome}, now)
}

func endedAs(e event.ForwardEnded, now model.Duration) step {
	e.Request = "r"
	return func(t *gateway.Table) []effect.Effect { return t.Ended(at(now), e) }
}

func refuse(kind problem.Kind) step {
	return func(t *gateway.Table) []effect.Effect {
		return t.Refuse(start, &message.Refuse{Term: term, Request: "r", Problem: problem.New(kind, "")})
	}
}

func settled(attempt int, final bool) step {
	return func(t *gateway.Table) []effect.Effect {
		return t.Settled(&message.Settled{Request: "r", Attempt: attempt, Final: final})
	}
}

func advance(now model.Duration) step {
	return func(t *gateway.Table) []effect.Effect { return t.Advance(at(now)) }
}

func disconnect(t *gateway.Table) []effect.Effect { return t.CallerDisconnected(start, "r") }

func stop(t *gateway.Table) []effect.Effect {
	t.Stop(start)
	return nil
}

func withdrawKeys(t *gateway.Table) []effect.Effect { return t.KeysChanged(start, nil) }

// answers runs the steps and returns the answers to the caller.
func answers(table *gateway.Table, steps []step) []effect.AnswerRequest {
	var list []effect.AnswerRequest
	for _, s := range steps {
		for _, e := range s(table) {
			if a, ok := e.(effect.AnswerRequest); ok {
				list = append(list, a)
			}
		}
	}
	return list
}

const (
	notStarted = message.OutcomeNotStarted
	unknown    = message.OutcomeUnknown
	answered   = message.OutcomeAnswered
)

// Guards against a refusal that says "not run" although an attempt may have run, a
// second answer to one request, and the answer to a claimed request before its claim
// is settled or SettleTimeout has passed.
func TestAnswersMatchWhatRan(t *testing.T) {
	none := problem.Kind("")
	over := patience + gateway.OwnerGrace
	cases := []struct {
		name    string
		steps   []step
		count   int
		kind    problem.Kind
		attempt int
	}{
		{"refused while waiting", []step{arrive(true), refuse(problem.NoTarget)}, 1, problem.NoTarget, 0},
		{"refused twice", []step{arrive(true), refuse(problem.NoTarget), refuse(problem.NoTarget)}, 1, problem.NoTarget, 0},
		{"refused after an attempt that did not start",
			[]step{arrive(true), dispatch(1), ended(1, notStarted, 0), refuse(problem.NoTarget)}, 1, problem.NoTarget, 0},
		{"refused after an attempt that may have run",
			[]step{arrive(true), dispatch(1), ended(1, unknown, 0), refuse(problem.PatienceExceeded)}, 1, problem.RetriesExhausted, 0},
		{"out of patience", []step{arrive(true), advance(over)}, 1, problem.PatienceExceeded, 0},
		{"out of patience after an attempt that may have run",
			[]step{arrive(true), dispatch(1), ended(1, unknown, 0), advance(over)}, 1, problem.RetriesExhausted, 0},
		{"refused after it was forwarded", []step{arrive(true), dispatch(1), refuse(problem.PatienceExceeded)}, 0, none, 0},
		{"answered", []step{arrive(true), dispatch(1), ended(1, answered, 0)}, 1, none, 1},
		{"answered by the second attempt",
			[]step{arrive(true), dispatch(1), ended(1, unknown, 0), dispatch(2), ended(2, answered, 0)}, 1, none, 2},
		{"late end of an earlier attempt",
			[]step{arrive(true), dispatch(1), ended(1, unknown, 0), dispatch(2), ended(1, answered, 0)}, 0, none, 0},
		{"claimed and not settled", []step{arrive(false), dispatch(1), ended(1, answered, 0)}, 0, none, 0},
		{"claimed and settled", []step{arrive(false), dispatch(1), ended(1, answered, 0), settled(1, true)}, 1, none, 1},
		{"claimed and settled for an earlier attempt",
			[]step{arrive(false), dispatch(1), ended(1, notStarted, 0), dispatch(2), ended(2, answered, 0), settled(1, false)}, 0, none, 0},
		{"claimed and never settled",
			[]step{arrive(false), dispatch(1), ended(1, answered, 0), advance(gateway.SettleTimeout), settled(1, true)}, 1, none, 1},
		{"claimed with an unknown outcome", []step{arrive(false), dispatch(1), ended(1, unknown, 0)}, 1, problem.OutcomeUnknown, 0},
		{"answer over the limit",
			[]step{arrive(true), dispatch(1), endedAs(event.ForwardEnded{Attempt: 1, Outcome: answered, TooLarge: true}, 0)},
			1, problem.AnswerTooLarge, 0},
		{"run time over", []step{arrive(true), dispatch(1), endedAs(event.ForwardEnded{Attempt: 1, Outcome: unknown, TimedOut: true}, 0)},
			1, problem.DeadlineExceeded, 0},
		{"not started after the patience", []step{arrive(true), dispatch(1), ended(1, notStarted, patience)}, 1, problem.PatienceExceeded, 0},
		{"not started after one that may have run",
			[]step{arrive(true), dispatch(1), ended(1, unknown, 0), dispatch(2), ended(2, notStarted, patience)}, 1, problem.RetriesExhausted, 0},
		{"caller gone while waiting", []step{arrive(true), disconnect, refuse(problem.NoTarget), advance(over)}, 0, none, 0},
		{"caller gone while running", []step{arrive(true), dispatch(1), disconnect, ended(1, answered, 0)}, 0, none, 0},
		{"key withdrawn while waiting", []step{arrive(true), withdrawKeys, advance(over)}, 1, problem.KeyRejected, 0},
		{"key withdrawn after an attempt that may have run",
			[]step{arrive(true), dispatch(1), ended(1, unknown, 0), withdrawKeys}, 1, problem.RetriesExhausted, 0},
		{"key withdrawn during an attempt that does not start",
			[]step{arrive(true), dispatch(1), withdrawKeys, ended(1, notStarted, 0)}, 1, problem.KeyRejected, 0},
		{"stopping", []step{stop, arrive(true)}, 1, problem.Stopping, 0},
		{"stopping while it waits", []step{arrive(true), stop, advance(gateway.StopPatience + gateway.OwnerGrace)}, 1, problem.Stopping, 0},
		{"stopping while it runs", []step{arrive(true), dispatch(1), stop, ended(1, answered, model.Second)}, 1, none, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			got := answers(table, c.steps)
			require.Len(t, got, c.count)
			if c.count == 0 {
				return
			}
			if c.kind != none {
				require.NotNil(t, got[0].Problem)
				require.Equal(t, c.kind, got[0].Problem.Kind)
				return
			}
			require.Nil(t, got[0].Problem)
			require.Equal(t, c.attempt, got[0].Attempt)
			require.Zero(t, table.Unanswered())
		})
	}
}

// Guards against the start of an attempt that the present owner did not permit to
// this incarnation of the process, or whose permission has expired.
func TestOnlyPermittedAttemptsStart(t *testing.T) {
	keep := func(*message.Dispatch) {}
	later := at(model.Second)
	cases := []struct {
		name     string
		dispatch []step
		forwards int
	}{
		{"allowed", []step{dispatch(1)}, 1},
		{"repeated", []step{dispatch(1), dispatch(1)}, 1},
		{"too late", []step{dispatchUntil(1, start, keep)}, 0},
		{"without a lease", []step{dispatchUntil(1, 0, keep)}, 0},
		{"repeated after it was too late", []step{dispatchUntil(1, start, keep), dispatch(1)}, 0},
		{"next after it was too late", []step{dispatchUntil(1, start, keep), dispatch(2)}, 1},
		{"from an earlier term", []step{dispatchUntil(1, later, func(d *message.Dispatch) { d.Term-- })}, 0},
		{"for an earlier incarnation", []step{dispatchUntil(1, later, func(d *message.Dispatch) { d.Gateway = "old" })}, 0},
		{"for another request", []step{dispatchUntil(1, later, func(d *message.Dispatch) { d.Request = "other" })}, 0},
		{"while another runs", []step{dispatch(1), dispatch(2)}, 1},
		{"after the caller has gone", []step{disconnect, dispatch(1)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			arrive(true)(table)
			forwards := 0
			for _, s := range c.dispatch {
				for _, e := range s(table) {
					if _, ok := e.(effect.Forward); ok {
						forwards++
					}
				}
			}
			require.Equal(t, c.forwards, forwards)
		})
	}
}

// Guards against a lost report of an end, after which the owner would keep the slot in
// use: each report is repeated until the owner has settled it.
func TestEndsAreResentUntilSettled(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
		sent  func(message.Message) bool
		done  step
	}{
		{"attempt ended", []step{arrive(true), dispatch(1), ended(1, answered, 0)},
			func(m message.Message) bool { return m.Done != nil && m.Done.Final }, settled(1, true)},
		{"attempt was too late", []step{arrive(true), dispatchUntil(1, start, func(*message.Dispatch) {})},
			func(m message.Message) bool { return m.Done != nil && m.Done.Outcome == notStarted }, settled(1, false)},
		{"caller gone", []step{arrive(true), disconnect},
			func(m message.Message) bool { return m.Withdraw != nil && m.Withdraw.Claim == nil }, settled(0, true)},
		{"refused with a claim", []step{arrive(false), refuse(problem.PatienceExceeded)},
			func(m message.Message) bool { return m.Withdraw != nil && m.Withdraw.Claim != nil }, settled(0, true)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			for _, s := range c.steps {
				s(table)
			}
			again := func(now model.Duration) bool {
				found := false
				for _, e := range table.Advance(at(now)) {
					if s, ok := e.(effect.Send); ok {
						found = found || c.sent(s.Message)
					}
				}
				return found
			}
			require.True(t, again(gateway.ResendInterval))
			require.True(t, again(2*gateway.ResendInterval))
			c.done(table)
			require.False(t, again(3*gateway.ResendInterval))
		})
	}
}

// Guards against a new owner that is not told of an attempt that may be running, and
// so does not count it.
func TestForwardedListsAttemptsThatMayRun(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
		want  int
	}{
		{"waiting", []step{arrive(true)}, 0},
		{"running", []step{arrive(true), dispatch(1)}, 1},
		{"outcome unknown", []step{arrive(false), dispatch(1), ended(1, unknown, 0)}, 1},
		{"outcome unknown and settled", []step{arrive(false), dispatch(1), ended(1, unknown, 0), settled(1, true)}, 0},
		{"answered", []step{arrive(true), dispatch(1), ended(1, answered, 0)}, 0},
		{"withdrawn with an attempt that may run", []step{arrive(true), dispatch(1), ended(1, unknown, 0), disconnect}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			for _, s := range c.steps {
				s(table)
			}
			require.Len(t, table.Forwarded(at(ms)), c.want)
		})
	}
}
