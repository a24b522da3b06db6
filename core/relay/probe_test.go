package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

func newProbingTable() *Table {
	return New(Config{Host: "e", Incarnation: "i", Seeds: []model.HostID{"a", "b"}, DurableRefusals: true})
}

// contacts returns the contacts sent to a host.
func contacts(effects []effect.Effect, to model.HostID) []call.Contact {
	var list []call.Contact
	for _, e := range effects {
		if s, ok := e.(effect.Send); ok && s.Message.Contact != nil && s.To == to {
			list = append(list, *s.Message.Contact)
		}
	}
	return list
}

func replies(t *Table, now model.Time, from model.HostID, c call.Contact) []effect.Effect {
	return t.HandleContactReply(now, from, &call.ContactReply{Seq: c.Seq, Leads: true, Leader: from})
}

// Guards against an unknown outcome for what is sent to a leader that has been gone for
// less than leaderSilenceMax: a submission is sent only once the leader has answered a
// Contact that was sent at the arrival of the submission or shortly before.
func TestSubmissionIsSentOnceTheLeaderAnswers(t *testing.T) {
	table := newProbingTable()
	first := contacts(table.Advance(start), "a")
	require.Len(t, first, 1)
	replies(table, start, "a", first[0])
	require.Equal(t, []model.HostID{"a"}, sent(table.Accept(start.Add(freshContact), submit(1), false)))

	later := start.Add(300 * model.Millisecond)
	effects := table.Accept(later, submit(2), false)
	require.Empty(t, sent(effects))
	probe := contacts(effects, "a")
	require.Len(t, probe, 1)
	require.Empty(t, contacts(table.Accept(later, submit(3), false), "a"), "one contact serves all calls of the moment")
	require.Empty(t, sent(replies(table, later, "a", first[0])), "the reply to an earlier contact says nothing")
	require.Equal(t, []model.HostID{"a", "a"}, sent(replies(table, later, "a", probe[0])))
	require.Equal(t, []model.HostID{"a"}, sent(table.Accept(later.Add(300*model.Millisecond), call.Call{Seq: 4, Patience: model.Second, Query: &call.Address{}}, false)),
		"a query has no outcome that could be unknown")
}

// Guards against a search for another leader that frequent calls put off.
func TestAllReplicasAreAskedWhileCallsWait(t *testing.T) {
	table := newProbingTable()
	replies(table, start, "a", contacts(table.Advance(start), "a")[0])
	asked := 0
	for seq := range uint64(10) {
		now := start.Add(model.Duration(seq+2) * freshContact)
		table.Accept(now, submit(seq), false)
		asked += len(contacts(table.Advance(now), "b"))
	}
	require.GreaterOrEqual(t, asked, 3)
}

// Guards against a refusal of calls that the next leader could decide, and against calls
// that wait at a host which alone is cut off, from the leader or from all replicas.
func TestCallsWaitForAnElection(t *testing.T) {
	cases := []struct {
		name  string
		reply *call.ContactReply
		waits bool
	}{
		{"no leader is known", &call.ContactReply{}, true},
		{"the leader answers the others", &call.ContactReply{Leader: "a"}, false},
		{"no replica answers", nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newProbingTable()
			replies(table, start, "a", contacts(table.Advance(start), "a")[0])
			arrived := start.Add(300 * model.Millisecond)
			table.Accept(arrived, submit(1), false)
			expired := arrived.Add(unsentTimeout)
			if c.reply != nil {
				table.HandleContactReply(expired, "b", c.reply)
			}
			effects := table.Advance(expired)
			if !c.waits {
				require.Len(t, answers(effects), 1)
				require.Equal(t, problem.NoLeader, answers(effects)[0].Problem.Kind)
				return
			}
			require.Empty(t, answers(effects))
			require.Contains(t, effects, effect.Log{Code: effect.CallsHeld, Count: 1})
			require.Equal(t, []model.HostID{"b"}, sent(replies(table, expired, "b", contacts(effects, "b")[0])))
		})
	}
}

// Guards against calls that wait for good while replicas keep to a leader that does not
// answer this host.
func TestNamedLeaderHasLimitedTimeToAnswer(t *testing.T) {
	var e election
	e.observe(start, "a", &call.ContactReply{})
	e.observe(start, "b", &call.ContactReply{Leader: "c"})
	e.observe(start.Add(unsentTimeout), "b", &call.ContactReply{Leader: "c"})
	require.False(t, e.goesOn(start.Add(unsentTimeout)))
	e.observe(start.Add(unsentTimeout), "b", &call.ContactReply{Leader: "d"})
	require.True(t, e.goesOn(start.Add(unsentTimeout)))
}
