package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// newCandidate returns node A as a candidate of term 2 whose vote is handed out and not
// yet on disk.
func newCandidate(t testing.TB) (*testNode, model.Time) {
	n := newVoter(t)
	now := startAt.Add(800 * ms)
	n.Tick(now, 0)
	processOutputs(n)
	n.Step(now, 0, testMessage{Kind: MsgPreVoteReply, From: idB, To: idA, Term: 2})
	out := n.TakeOutput()
	require.Equal(t, HardState{Term: 2, Vote: idA}, *out.HardState)
	require.Empty(t, out.Messages)
	return n, now
}

// TestCandidateWaitsForItsDisk guards against a candidate that begins the next term before
// its vote is on disk, so that on a slow disk its requests are never sent.
func TestCandidateWaitsForItsDisk(t *testing.T) {
	n, now := newCandidate(t)
	for range 100 {
		now = now.Add(50 * ms)
		n.Tick(now, 0)
		require.Empty(t, n.TakeOutput().Messages)
		n.Step(now, 0, testMessage{Kind: MsgPreVoteReply, From: idB, To: idA, Term: 3})
	}
	require.Equal(t, uint64(2), n.Status().Term)

	n.Persisted(2, 1)
	require.Equal(t, []MessageKind{MsgVote, MsgVote}, kindsOf(n.TakeOutput().Messages))
	n.Tick(now.Add(199*ms), 0)
	require.Empty(t, n.TakeOutput().Messages, "the retry timeout runs from the time at which the requests were sent")
	n.Tick(now.Add(200*ms), 0)
	require.Len(t, messagesTo(n.TakeOutput().Messages, MsgPreVote, idB), 1)
}

// TestCandidateWithoutDiskFollows guards against a candidate that waits for its disk and
// then ignores the leader or the candidate of a later term.
func TestCandidateWithoutDiskFollows(t *testing.T) {
	n, now := newCandidate(t)
	n.Step(now, 0, appendFrom(3, 1, 1))
	require.Equal(t, Follower, n.Status().Role)
	require.Equal(t, idB, n.Status().Leader)

	n, now = newCandidate(t)
	n.Step(now, 0, testMessage{Kind: MsgVote, From: idC, To: idA, Term: 3, Index: 1, LogTerm: 1})
	require.Equal(t, HardState{Term: 3, Vote: idC}, *n.TakeOutput().HardState)
}
