package consensus

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/model"
)

// TestNewErrors guards against starting from an invalid configuration or from
// inconsistent stored state.
func TestNewErrors(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Config, *Stored[string, string])
		want   error
	}{
		{"no incarnation", func(c *Config, _ *Stored[string, string]) { c.ID.Incarnation = "" }, ErrConfig},
		{"no heartbeat", func(c *Config, _ *Stored[string, string]) { c.HeartbeatInterval = 0 }, ErrConfig},
		{"short election timeout", func(c *Config, _ *Stored[string, string]) { c.ElectionTimeoutMin = 300 * ms }, ErrConfig},
		{"no spread", func(c *Config, _ *Stored[string, string]) { c.ElectionTimeoutMax = c.ElectionTimeoutMin }, ErrConfig},
		{"no append size", func(c *Config, _ *Stored[string, string]) { c.MaxAppendEntries = 0 }, ErrConfig},
		{"volatile voter", func(c *Config, _ *Stored[string, string]) { c.Durable = false }, ErrStored},
		{"gap", func(_ *Config, s *Stored[string, string]) { s.Entries[0].Index = 2 }, ErrStored},
		{"term lost", func(_ *Config, s *Stored[string, string]) { s.HardState.Term = 0 }, ErrStored},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig(idA)
			stored := Bootstrap[string, string]([]NodeID{idA, idB, idC})
			test.change(&cfg, &stored)
			_, err := New(cfg, stored)
			require.ErrorIs(t, err, test.want)
		})
	}
}

// TestInvalidMessagesIgnored guards against messages that no correct node sends and
// that crash a node or change its state.
func TestInvalidMessagesIgnored(t *testing.T) {
	bad := []testMessage{
		{},
		{Kind: 99, From: idB, To: idA, Term: 2},
		{Kind: MsgAppend, From: idA, To: idA, Term: 2},
		{Kind: MsgAppend, From: idB, To: idBNewDisk, Term: 2},
		{Kind: MsgAppend, From: idB, To: idA},
		{Kind: MsgAppend, From: idB, To: idA, Term: math.MaxUint64},
		{Kind: MsgAppend, From: idB, To: idA, Term: 3, Index: math.MaxUint64, LogTerm: 1},
		{Kind: MsgAppend, From: idB, To: idA, Term: 3, Index: 5},
		{Kind: MsgJoin, From: idD, To: NodeID{Host: "b"}},
		{Kind: MsgSnapshot, From: idB, To: idA, Term: 3},
		{Kind: MsgSnapshot, From: idB, To: idA, Term: 3, Snapshot: &Snapshot[string]{Index: 9, Term: 9, Voters: []NodeID{idA}}},
		{Kind: MsgAppendReply, From: idB, To: idA, Term: 2, Index: 77},
		{Kind: MsgAppendReply, From: idB, To: idA, Term: 2, Sent: math.MaxInt64},
		{Kind: MsgTimeoutNow, From: idB, To: idA, Term: 2},
		appendFrom(3, 2, 2, command(4, 2)),
		appendFrom(3, 2, 2, command(3, 4)),
		appendFrom(3, 2, 2, Entry[string]{Index: 3, Term: 3}),
		appendFrom(3, 2, 2, Entry[string]{Index: 3, Term: 3, Kind: EntryVoters}),
		appendFrom(3, 1, 1, command(2, 1)), // contradicts the committed no-op
		appendFrom(2, 2, 2),                // a second leader of the term
	}
	for _, m := range bad {
		n, now := newLeader(t)
		before := n.Status()
		n.Step(now, 0, m)
		after := n.Status()
		require.Equal(t, uint64(1), after.Ignored, "%+v", m)
		after.Ignored, before.Ignored = 0, 0
		for i := range after.Peers {
			after.Peers[i].LastHeard = before.Peers[i].LastHeard
		}
		require.Equal(t, before, after, "%+v", m)
	}
}

// TestNeverPanics guards against a panic on any sequence of calls and messages.
func TestNeverPanics(t *testing.T) {
	ids := []NodeID{idA, idB, idC, idD, idBNewDisk, {Host: "a"}, {}}
	small := rapid.Uint64Range(0, 6)
	rapid.Check(t, func(t *rapid.T) {
		n, err := New(testConfig(idA), Bootstrap[string, string]([]NodeID{idA, idB, idC}))
		require.NoError(t, err)
		now := startAt
		n.Start(now, 0)
		for range 60 {
			now = now.Add(model.Duration(rapid.Int64Range(0, int64(300*ms)).Draw(t, "pause")))
			n.Tick(now, small.Draw(t, "rand"))
			n.Step(now, 0, drawMessage(t, ids, small))
			n.HoldsLeaderLease(now)
			out := n.TakeOutput()
			if rapid.Bool().Draw(t, "synced") {
				n.Persisted(small.Draw(t, "term"), n.Status().LastIndex)
			}
			for _, e := range out.Committed {
				if snap, ok := n.MakeSnapshot(e.Index, "state"); ok {
					n.Compact(snap)
				}
			}
		}
	})
}

func drawMessage(t *rapid.T, ids []NodeID, small *rapid.Generator[uint64]) testMessage {
	m := testMessage{
		Kind:     MessageKind(rapid.Uint8Range(0, 10).Draw(t, "kind")),
		From:     rapid.SampledFrom(ids).Draw(t, "from"),
		To:       rapid.SampledFrom([]NodeID{idA, idA, idA, {Host: "a"}}).Draw(t, "to"),
		Term:     small.Draw(t, "term"),
		LogTerm:  small.Draw(t, "log term"),
		Index:    small.Draw(t, "index"),
		Commit:   small.Draw(t, "commit"),
		Hint:     small.Draw(t, "hint"),
		Reject:   rapid.Bool().Draw(t, "reject"),
		Durable:  rapid.Bool().Draw(t, "durable"),
		Transfer: rapid.Bool().Draw(t, "transfer"),
	}
	for i := range rapid.Uint64Range(0, 3).Draw(t, "entries") {
		e := command(m.Index+1+i, max(m.LogTerm, 1))
		if rapid.Bool().Draw(t, "voters") {
			e = Entry[string]{Index: e.Index, Term: e.Term, Kind: EntryVoters, Voters: ids[rapid.IntRange(0, 3).Draw(t, "first"):4]}
		}
		m.Entries = append(m.Entries, e)
	}
	if m.Kind == MsgSnapshot {
		m.Snapshot = &Snapshot[string]{Index: small.Draw(t, "snapshot"), Term: small.Draw(t, "snapshot term"), Voters: ids[:3]}
	}
	return m
}
