package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// newFollower returns node A as a follower in term 3 with entries 1 to 4, of terms
// 1, 1, 2 and 2, all on disk.
func newFollower(t *testing.T) *testNode {
	stored := Bootstrap[string, string]([]NodeID{idA, idB, idC})
	stored.HardState.Term = 3
	stored.Entries = append(stored.Entries, command(2, 1), command(3, 2), command(4, 2))
	return startNode(t, testConfig(idA), stored)
}

// TestAppendReplies guards against wrong replies to appends, which make the leader
// commit entries that are not stored or never find the matching entry.
func TestAppendReplies(t *testing.T) {
	tests := []struct {
		name   string
		m      testMessage
		reject bool
		index  uint64 // of the reply
		hint   uint64
		last   uint64 // last index afterwards
	}{
		{"heartbeat", appendFrom(3, 0, 0), false, 0, 0, 4},
		{"next entry", appendFrom(3, 4, 2, command(5, 3)), false, 5, 0, 5},
		{"repeated entry", appendFrom(3, 2, 1, command(3, 2)), false, 3, 0, 4},
		{"conflicting entry", appendFrom(3, 2, 1, command(3, 3)), false, 3, 0, 3},
		{"gap", appendFrom(3, 9, 3, command(10, 3)), true, 9, 4, 4},
		{"other term before", appendFrom(3, 4, 3), true, 4, 3, 4},
		{"skips a whole term", appendFrom(3, 4, 1), true, 4, 2, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newFollower(t)
			n.Step(startAt, 0, test.m)
			replies := processOutputs(n)
			require.Len(t, replies, 1)
			require.Equal(t, test.reject, replies[0].Reject)
			require.Equal(t, test.index, replies[0].Index)
			require.Equal(t, test.hint, replies[0].Hint)
			require.Equal(t, test.last, n.Status().LastIndex)
		})
	}
}

// TestAppendWaitsForSync guards against acknowledging entries that are not on disk,
// and against doing so after another leader has replaced them.
func TestAppendWaitsForSync(t *testing.T) {
	n := newFollower(t)
	n.Step(startAt, 0, appendFrom(3, 4, 2, command(5, 3)))
	require.Empty(t, n.TakeOutput().Messages)
	n.Persisted(3, 4)
	require.Empty(t, n.TakeOutput().Messages)
	n.Step(startAt, 0, testMessage{Kind: MsgAppend, From: idC, To: idA, Term: 4, Index: 4, LogTerm: 2, Entries: []Entry[string]{command(5, 4)}})
	require.Equal(t, uint64(3), n.log.lastTerm(), "entry 5 of term 3 is being written")
	n.TakeOutput()
	n.Persisted(4, 5)
	require.Empty(t, n.TakeOutput().Messages, "the pending reply of term 3 is dropped")
}

// TestReplaceWhileWriting guards against taking the report of a replaced entry for
// that of its replacement at the same index.
func TestReplaceWhileWriting(t *testing.T) {
	n := newFollower(t)
	n.Step(startAt, 0, appendFrom(3, 4, 2, command(5, 3)))
	n.TakeOutput()
	replace := testMessage{Kind: MsgAppend, From: idC, To: idA, Term: 4, Index: 4, LogTerm: 2, Entries: []Entry[string]{command(5, 4)}}
	n.Step(startAt, 0, replace)
	require.Empty(t, n.TakeOutput().Entries)
	n.Persisted(3, 5)
	require.Empty(t, n.TakeOutput().Entries, "the hard state of term 4 is being written")
	n.Persisted(4, 5)
	require.Len(t, n.TakeOutput().Entries, 1)
	require.Equal(t, uint64(4), n.Status().Persisted)
	n.Persisted(4, 5)
	replies := n.TakeOutput().Messages
	require.Equal(t, uint64(5), replies[len(replies)-1].Index)
}

// TestCommitCoversOnlyMatchedEntries guards against committing entries that are not
// known to match the leader's log, and against applying entries that are not on
// disk.
func TestCommitCoversOnlyMatchedEntries(t *testing.T) {
	n := newFollower(t)
	m := appendFrom(3, 2, 1)
	m.Commit = 4
	n.Step(startAt, 0, m)
	require.Equal(t, uint64(2), n.Status().Commit)
	m = appendFrom(3, 4, 2, command(5, 3))
	m.Commit = 5
	n.Step(startAt, 0, m)
	require.Len(t, n.TakeOutput().Committed, 4)
	n.Persisted(3, 5)
	require.Len(t, n.TakeOutput().Committed, 1)
}

// TestFlowControl guards against unbounded traffic to a slow peer.
func TestFlowControl(t *testing.T) {
	n, now := newLeader(t)
	n.Propose(make([]string, 30)...)
	appends := messagesTo(processOutputs(n), MsgAppend, idC)
	require.Len(t, appends, 3, "MaxInflight")
	require.Len(t, appends[0].Entries, 4, "MaxAppendEntries")
	require.Empty(t, messagesTo(processOutputs(n), MsgAppend, idC))
	n.Step(now, 0, appendReply(idC, 6, now))
	appends = messagesTo(processOutputs(n), MsgAppend, idC)
	require.Len(t, appends, 1)
	require.Equal(t, uint64(14), appends[0].Index)
}

// TestLostAppendIsResent guards against a peer that waits forever for a lost append.
func TestLostAppendIsResent(t *testing.T) {
	n, now := newLeader(t)
	n.Propose("x")
	processOutputs(n)
	n.Tick(now.Add(399*ms), 0)
	for _, m := range messagesTo(processOutputs(n), MsgAppend, idC) {
		require.Empty(t, m.Entries)
	}
	n.Tick(now.Add(400*ms), 0)
	messages := messagesTo(processOutputs(n), MsgAppend, idC)
	require.Len(t, messages[len(messages)-1].Entries, 1)
}

// TestRejectedAppend guards against a leader that does not find the matching entry,
// or that acts on rejections that are out of date.
func TestRejectedAppend(t *testing.T) {
	n, now := newLeader(t)
	b := n.peer(idB)
	require.Equal(t, uint64(2), b.next)
	reject := testMessage{Kind: MsgAppendReply, From: idB, To: idA, Term: 2, Index: 1, Reject: true, Sent: now}
	stale := reject
	stale.Index = 2
	n.Step(now, 0, stale)
	require.Equal(t, uint64(2), b.next)
	n.Step(now, 0, reject)
	require.Equal(t, uint64(1), b.next)
	appends := messagesTo(processOutputs(n), MsgAppend, idB)
	require.Len(t, appends[0].Entries, 2)
	n.Step(now, 0, appendReply(idB, 2, now))
	require.Equal(t, stateReplicate, b.state)
	n.Step(now, 0, reject)
	require.Equal(t, uint64(3), b.next, "a rejection below the match is out of date")
}

// TestSnapshotToPeer guards against a peer that never gets entries that are
// compacted, a lost snapshot that is not resent, and a snapshot that is acknowledged
// before it is on disk.
func TestSnapshotToPeer(t *testing.T) {
	n, now := newLeader(t)
	n.trailingEntries = 0
	snap, ok := n.MakeSnapshot(2, "state")
	require.True(t, ok)
	require.Equal(t, []NodeID{idA, idB, idC}, snap.Voters)
	n.Compact(snap)
	n.Step(now, 0, testMessage{Kind: MsgAppendReply, From: idB, To: idA, Term: 2, Index: 1, Reject: true})
	sent := messagesTo(processOutputs(n), MsgSnapshot, idB)
	require.Len(t, sent, 1)
	n.Step(now.Add(1900*ms), 0, appendReply(idC, 2, now))
	n.Tick(now.Add(2000*ms), 0)
	require.Len(t, messagesTo(processOutputs(n), MsgSnapshot, idB), 1, "resent after the timeout")

	b := startNode(t, testConfig(idB), Stored[string, string]{})
	b.Step(startAt, 0, sent[0])
	out := b.TakeOutput()
	require.Equal(t, "state", out.Snapshot.State)
	require.Empty(t, out.Messages)
	b.Persisted(2, 2)
	replies := b.TakeOutput().Messages
	require.Equal(t, []MessageKind{MsgSnapshotReply}, kindsOf(replies))
	require.Equal(t, Follower, b.Status().Role)
	n.Step(now.Add(2000*ms), 0, replies[0])
	require.Equal(t, uint64(2), n.peer(idB).match)
	require.Equal(t, stateReplicate, n.peer(idB).state)
}

// TestSnapshotWhileWriting guards against taking the report of an entry for
// that of the snapshot that replaces it.
func TestSnapshotWhileWriting(t *testing.T) {
	n := newFollower(t)
	n.Step(startAt, 0, appendFrom(3, 4, 2, command(5, 3)))
	n.TakeOutput()
	snap := &Snapshot[string]{Index: 5, Term: 2, Voters: []NodeID{idA, idB, idC}}
	n.Step(startAt, 0, testMessage{Kind: MsgSnapshot, From: idC, To: idA, Term: 4, Snapshot: snap})
	require.Nil(t, n.TakeOutput().Snapshot)
	n.Persisted(3, 5)
	require.Nil(t, n.TakeOutput().Snapshot)
	n.Persisted(4, 5)
	require.NotNil(t, n.TakeOutput().Snapshot)
	require.Equal(t, uint64(0), n.Status().Persisted)
	n.Persisted(4, 5)
	require.Equal(t, []MessageKind{MsgSnapshotReply}, kindsOf(n.TakeOutput().Messages))
}

// TestStaleLeaderLearnsTerm guards against a leader that never learns of a later
// term.
func TestStaleLeaderLearnsTerm(t *testing.T) {
	n := newFollower(t)
	n.Step(startAt, 0, appendFrom(2, 4, 2))
	replies := processOutputs(n)
	require.Len(t, replies, 1)
	require.Equal(t, uint64(3), replies[0].Term)
	require.True(t, replies[0].Reject)

	l, now := newLeader(t)
	l.Step(now, 0, testMessage{Kind: MsgAppendReply, From: idB, To: idA, Term: 3, Reject: true})
	require.Equal(t, Follower, l.Status().Role)
	require.Equal(t, uint64(3), l.Status().Term)
}

// TestCommitIsSentAtNextTick guards against entries that followers apply only at the
// next heartbeat, and against a message on every tick when the commit index has not
// changed.
func TestCommitIsSentAtNextTick(t *testing.T) {
	n, now := newLeader(t)
	_, ok := n.Propose("x")
	require.True(t, ok)
	processOutputs(n)
	n.Step(now, 0, appendReply(idC, 3, now))
	processOutputs(n)
	require.Equal(t, uint64(3), n.Status().Commit)
	n.Tick(now.Add(10*ms), 0)
	told := messagesTo(processOutputs(n), MsgAppend, idC)
	require.Len(t, told, 1)
	require.Equal(t, uint64(3), told[0].Commit)
	n.Tick(now.Add(20*ms), 0)
	require.Empty(t, messagesTo(processOutputs(n), MsgAppend, idC))
}

// TestHeartbeatsToNonVoters guards against non-voters that cost as much idle traffic
// as voters, and against heartbeats so rare that a non-voter searches for a leader
// again.
func TestHeartbeatsToNonVoters(t *testing.T) {
	n, now := newLeader(t)
	n.Step(now, 0, testMessage{Kind: MsgJoin, From: idD, To: idA})
	processOutputs(n)
	voter, nonVoter, longest := 0, 0, model.Duration(0)
	heard := now
	for i := range 60 {
		at := now.Add(model.Duration(i+1) * 50 * ms)
		for _, id := range []NodeID{idB, idC, idD} {
			n.Step(at, 0, appendReply(id, 2, at))
		}
		n.Tick(at, 0)
		messages := processOutputs(n)
		voter += len(messagesTo(messages, MsgAppend, idC))
		if got := len(messagesTo(messages, MsgAppend, idD)); got > 0 {
			nonVoter += got
			longest = max(longest, at.Sub(heard))
			heard = at
		}
	}
	require.GreaterOrEqual(t, voter, 14)
	require.LessOrEqual(t, nonVoter, 6)
	require.Less(t, longest, n.cfg.ElectionTimeoutMin)
}

// TestDataFolderReplacedByOlderCopy guards against a replica that never catches up
// after its data folder was replaced by an older copy.
func TestDataFolderReplacedByOlderCopy(t *testing.T) {
	n, now := newLeader(t)
	n.Propose("x", "y")
	processOutputs(n)
	n.Step(now, 0, appendReply(idC, 4, now))
	processOutputs(n)
	n.Step(now, 0, testMessage{Kind: MsgAppendReply, From: idC, To: idA, Term: 2, Index: 4, LogTerm: 1, Hint: 1, Reject: true, Sent: now})
	sent := messagesTo(processOutputs(n), MsgAppend, idC)
	require.NotEmpty(t, sent)
	require.Equal(t, uint64(1), sent[0].Index)
	require.Equal(t, uint64(4), n.Status().Commit, "the commit index does not go backwards")
}

// commandOfSize is a command whose size in bytes is its value.
type commandOfSize int

func (b *commandOfSize) Size() int { return int(*b) }

// TestAppendSize guards against an append that takes longer to arrive than the time
// after which it is considered lost, and against a large command that is never sent.
func TestAppendSize(t *testing.T) {
	n := &Node[commandOfSize, string]{cfg: Config{MaxAppendEntries: 256}}
	for i, size := range []commandOfSize{maxAppendSize, maxAppendSize / 2, maxAppendSize / 2, 1, 2 * maxAppendSize} {
		n.log.append(Entry[commandOfSize]{Index: uint64(i + 1), Term: 1, Command: &size})
	}
	for first, last := range map[uint64]uint64{1: 1, 2: 3, 3: 4, 4: 4, 5: 5} {
		require.Equal(t, last, n.lastIndexOfAppend(first), "an append from %d", first)
	}
}
