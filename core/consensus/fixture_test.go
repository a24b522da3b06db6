package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

type testNode = Node[string, string]

type testMessage = Message[string, string]

const ms = model.Millisecond

var (
	idA = NodeID{Host: "a", Incarnation: "1"}
	idB = NodeID{Host: "b", Incarnation: "1"}
	idC = NodeID{Host: "c", Incarnation: "1"}
	idD = NodeID{Host: "d", Incarnation: "1"}
	// idBNewDisk is the identity of host b after the loss of its disk.
	idBNewDisk = NodeID{Host: "b", Incarnation: "2"}

	// startAt is the time at which the nodes of the tests start.
	startAt = model.Time(model.Hour)
)

func testConfig(id NodeID) Config {
	cfg := simConfig(id, []model.HostID{"a", "b", "c"}, true)
	cfg.MaxVoters = 3
	return cfg
}

// newVoter returns node A of a new cluster of A, B and C, started at startAt.
func newVoter(t testing.TB) *testNode {
	return startNode(t, testConfig(idA), Bootstrap[string, string]([]NodeID{idA, idB, idC}))
}

func startNode(t testing.TB, cfg Config, stored Stored[string, string]) *testNode {
	n, err := New(cfg, stored)
	require.NoError(t, err)
	n.Start(startAt, 0)
	return n
}

// newLeader returns node A as the leader of term 2 whose no-op, entry 2, is
// committed by A and C. B has only granted its vote.
func newLeader(t testing.TB) (*testNode, model.Time) {
	n := newVoter(t)
	now := elect(t, n)
	n.Step(now, 0, appendReply(idC, 2, now))
	processOutputs(n)
	require.Equal(t, uint64(2), n.Status().Commit)
	return n, now
}

// elect makes A, which has just started, the leader of term 2.
func elect(t testing.TB, n *testNode) model.Time {
	now := startAt.Add(800 * ms)
	n.Tick(now, 0)
	processOutputs(n)
	n.Step(now, 0, testMessage{Kind: MsgPreVoteReply, From: idB, To: idA, Term: 2})
	processOutputs(n)
	n.Step(now, 0, testMessage{Kind: MsgVoteReply, From: idB, To: idA, Term: 2})
	processOutputs(n)
	require.Equal(t, Leader, n.Status().Role)
	return now
}

// processOutputs takes outputs and reports their writes as synced until there are no
// more. It returns all messages.
func processOutputs(n *testNode) []testMessage {
	var messages []testMessage
	for {
		out := n.TakeOutput()
		messages = append(messages, out.Messages...)
		if out.HardState == nil && len(out.Entries) == 0 && out.Snapshot == nil && len(out.Messages) == 0 {
			return messages
		}
		n.Persisted(n.Status().Term, n.Status().LastIndex)
	}
}

// appendReply returns a successful reply to A in term 2.
func appendReply(from NodeID, index uint64, sent model.Time) testMessage {
	return testMessage{Kind: MsgAppendReply, From: from, To: idA, Term: 2, Index: index, Sent: sent}
}

// appendFrom returns an append from B as the leader of term.
func appendFrom(term, index, logTerm uint64, entries ...Entry[string]) testMessage {
	return testMessage{Kind: MsgAppend, From: idB, To: idA, Term: term, Index: index, LogTerm: logTerm, Entries: entries}
}

func command(index, term uint64) Entry[string] {
	text := "x"
	return Entry[string]{Index: index, Term: term, Kind: EntryCommand, Command: &text}
}

func kindsOf(messages []testMessage) []MessageKind {
	var list []MessageKind
	for _, m := range messages {
		list = append(list, m.Kind)
	}
	return list
}

// messagesTo returns the messages of one kind to one node.
func messagesTo(messages []testMessage, kind MessageKind, to NodeID) []testMessage {
	var list []testMessage
	for _, m := range messages {
		if m.Kind == kind && m.To == to {
			list = append(list, m)
		}
	}
	return list
}
