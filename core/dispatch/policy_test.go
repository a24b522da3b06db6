package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// recordRuns completes enough runs of one second for waits to be predicted.
func (f *fixture) recordRuns() {
	for i := range samplesMin {
		f.ask(askOf(900+i, "press", "proofs"))
		dispatched, _ := f.take()
		f.end(dispatched[0], message.OutcomeAnswered, true)
	}
}

// Guards against overnight requests that wait behind requests of higher precedence
// until they are refused, and against their promotion too early.
func TestOvernightWorkIsPromoted(t *testing.T) {
	r := twoTeams(10)
	archive := r.Queues["archive"]
	archive.Overnight = true
	r.Queues["archive"] = archive
	for _, c := range []struct {
		name   string
		waited model.Duration
		first  model.RequestID
	}{
		{"young", 4 * model.Second, "r00002"},
		{"old", 6 * model.Second, "r00001"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(r)
			f.ask(askOf(1, "press", "archive")) // its patience is 10 s
			for range c.waited / (500 * ms) {
				f.advance(500 * ms)
			}
			f.ask(askOf(2, "press", "proofs"))
			f.ready(targetOf("t", 1))
			dispatched, _ := f.take()
			require.Equal(t, c.first, dispatched[0].Request)
			require.NoError(t, f.owner.Audit())
		})
	}
}

// Guards against requests that wait to the end of their patience for capacity that
// was lost, and against overnight requests that are refused early.
func TestWaitingRequestsAreRefusedWhenSlotsShrink(t *testing.T) {
	for _, overnight := range []bool{false, true} {
		r := twoTeams(100)
		proofs := r.Queues["proofs"]
		proofs.Overnight = overnight
		r.Queues["proofs"] = proofs
		f := newFixture(r)
		f.ready(targetOf("t", 8))
		f.recordRuns()
		for i := range 8 + 40 {
			f.ask(askOf(i, "press", "proofs")) // they wait 5 s at most, of a patience of 10 s
		}
		dispatched, refused := f.take()
		require.Len(t, dispatched, 8)
		require.Empty(t, refused)
		// Six of the eight runs end, and their slots go to another team.
		for range 8 {
			f.ask(askOf(500+len(f.owner.requests), "maps", "proofs"))
		}
		for _, d := range dispatched[:6] {
			f.end(d, message.OutcomeAnswered, true)
		}
		f.advance(50 * ms)
		_, refused = f.take()
		require.Equal(t, overnight, len(refused) == 0)
		for _, m := range refused {
			require.Equal(t, problem.PatienceExceeded, kindOf(m))
			require.Greater(t, m.Request, model.RequestID("r00020"), "the last are refused first")
		}
		require.NoError(t, f.owner.Audit())
	}
}

// Guards against a start after the patience has ended: a slot that becomes free
// between two ticks must not go to a request that is past its deadline.
func TestNoStartAfterPatience(t *testing.T) {
	f := newFixture(twoTeams(10))
	f.ready(targetOf("t", 1))
	f.ask(askOf(1, "press", "proofs"))
	dispatched, _ := f.take()
	late := askOf(2, "press", "proofs")
	late.Patience = 100 * ms
	f.ask(late)
	f.env.Now = f.env.Now.Add(120 * ms) // without a tick in between
	f.end(dispatched[0], message.OutcomeAnswered, true)
	dispatched, refused := f.take()
	require.Empty(t, dispatched)
	require.Len(t, refused, 1)
	require.Equal(t, problem.PatienceExceeded, kindOf(refused[0]))
}

// Guards against a baseline policy that lends shares or orders by worth: figures of
// PolicyShares would then be compared with the wrong baseline.
func TestStaticPolicy(t *testing.T) {
	r := twoTeams(100)
	r.Teams["press"] = rules.Team{Share: 25, Limit: 100}
	f := newFixture(r)
	f.env.Policy = PolicyStatic
	f.owner = New(f.env, 1)
	f.advance(0)
	f.ready(targetOf("t", 8))
	for i := range 6 {
		a := askOf(i, "press", "proofs")
		a.Worth = float64(i)
		f.ask(a)
	}
	dispatched, _ := f.take()
	require.Len(t, dispatched, 2, "25% of 8 slots, although the others are free")
	require.Equal(t, model.RequestID("r00000"), dispatched[0].Request)
	f.end(dispatched[0], message.OutcomeAnswered, true)
	dispatched, _ = f.take()
	require.Len(t, dispatched, 1)
	require.Equal(t, model.RequestID("r00002"), dispatched[0].Request)
}
