package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
)

// leadsIn makes the table hear a leader at a moment of its term, and returns the calls
// that it forwards.
func leadsIn(t *Table, now model.Time, host model.HostID, s call.Stamp) []call.Call {
	c := t.sendContact(now, host).(effect.Send).Message.Contact
	return forwarded(t.HandleContactReply(now, host, &call.ContactReply{Seq: c.Seq, Leads: true, Leader: host, Stamp: s}))
}

func forwarded(effects []effect.Effect) []call.Call {
	var list []call.Call
	for _, e := range effects {
		if s, ok := e.(effect.Send); ok && s.Message.Call != nil {
			list = append(list, *s.Message.Call)
		}
	}
	return list
}

// Guards against a copy of a call that counts as newer than it is, and against one that
// no leader decides since it has the stamp of a term that is over.
func TestStampOfACall(t *testing.T) {
	first, second, next := call.Stamp{Term: 3, At: 10}, call.Stamp{Term: 3, At: 20}, call.Stamp{Term: 4, At: 5}
	table := newProbingTable()
	leadsIn(table, start, "a", first)
	require.Equal(t, first, forwarded(table.Accept(start, submit(1), false))[0].Stamp)
	leadsIn(table, start.Add(1), "a", second)
	again := forwarded(table.Advance(start.Add(resendTimeout)))
	require.Equal(t, first, again[0].Stamp, "it keeps the stamp of its arrival")
	moved := leadsIn(table, start.Add(resendTimeout), "b", next)
	require.Equal(t, next, moved[0].Stamp)
	require.False(t, moved[0].Resolve)
	require.Empty(t, leadsIn(table, start.Add(resendTimeout), "a", second), "a late reply of the earlier leader")
	require.Equal(t, model.HostID("b"), table.leader)
}

// Guards against a job that runs although its caller, who went on to another host during
// a pause of this one, was refused there.
func TestCallHeldDuringAPause(t *testing.T) {
	before := call.Stamp{Term: 3, At: 10}
	for _, c := range []struct {
		name    string
		after   call.Stamp
		want    call.Stamp
		resolve bool
	}{
		{"same term", call.Stamp{Term: 3, At: 900}, before, false},
		{"later term", call.Stamp{Term: 4, At: 900}, call.Stamp{Term: 4, At: 900}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newProbingTable()
			leadsIn(table, start, "a", before)
			held := start.Add(200 * model.Millisecond)
			require.Empty(t, forwarded(table.Accept(held, submit(1), false)))
			table.NotePause()
			thawed := held.Add(model.Second)
			require.Empty(t, forwarded(table.Accept(thawed, submit(2), true)))
			calls := leadsIn(table, thawed, "a", c.after)
			require.Len(t, calls, 2, "one was held and the other unread")
			for _, sent := range calls {
				require.Equal(t, c.want, sent.Stamp)
				require.Equal(t, c.resolve, sent.Resolve)
			}
		})
	}
}

// Guards against messages that multiply while replicas disagree about who leads: with each
// call that came back, all calls were sent again.
func TestReturnedCallsDoNotMultiply(t *testing.T) {
	table := newProbingTable()
	leadsIn(table, start, "a", call.Stamp{Term: 3, At: 10})
	const held = 50
	for seq := range uint64(held) {
		table.Accept(start, submit(seq+1), false)
	}
	messages := 0
	for seq := range uint64(held) {
		messages += len(table.HandleRedirect(start.Add(1), "a", &call.Redirect{Seq: seq + 1, Incarnation: "i"}))
		effects := table.HandleContactReply(start.Add(1), "b", &call.ContactReply{Leader: "a"})
		require.Empty(t, forwarded(effects), "a leader that was only named")
		messages += len(effects)
	}
	require.LessOrEqual(t, messages, 2*len(table.replicas))
	require.Len(t, leadsIn(table, start.Add(2), "a", call.Stamp{Term: 4, At: 5}), held)
}
