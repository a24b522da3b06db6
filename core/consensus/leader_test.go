package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// TestLeaderLease guards against a lease without a majority, after its expiry, or
// during a leadership transfer.
func TestLeaderLease(t *testing.T) {
	n, now := newLeader(t)
	require.True(t, n.HoldsLeaderLease(now))
	require.True(t, n.HoldsLeaderLease(now.Add(719*ms)))
	require.False(t, n.HoldsLeaderLease(now.Add(720*ms)), "800 ms less 10%")

	later := now.Add(500 * ms)
	n.Step(later, 0, appendReply(idB, 2, now.Add(200*ms)))
	require.True(t, n.HoldsLeaderLease(now.Add(919*ms)))
	require.False(t, n.HoldsLeaderLease(now.Add(920*ms)), "the lease starts when the acknowledged message was sent")

	require.True(t, n.TransferLeadership(later))
	require.False(t, n.HoldsLeaderLease(later))
	require.Len(t, messagesTo(processOutputs(n), MsgTimeoutNow, idB), 1)
}

// TestLeaseNeedsNoop guards against a leader that holds the lease before it knows
// what was committed before its term.
func TestLeaseNeedsNoop(t *testing.T) {
	n, now := newLeader(t)
	n.leadership.noopIndex = 3
	require.False(t, n.HoldsLeaderLease(now))
}

// TestCheckQuorum guards against a leader that remains leader without contact to a
// majority.
func TestCheckQuorum(t *testing.T) {
	n, now := newLeader(t)
	n.Step(now.Add(300*ms), 0, appendReply(idC, 2, now))
	n.Tick(now.Add(1499*ms), 0)
	require.Equal(t, Leader, n.Status().Role)
	n.Tick(now.Add(1500*ms), 0)
	require.Equal(t, Follower, n.Status().Role)
	_, ok := n.Propose("x")
	require.False(t, ok)
}

// TestTransferWaitsForCaughtUpVoter guards against a transfer to a voter that lags,
// and against proposals during the transfer, which would prolong its lag.
func TestTransferWaitsForCaughtUpVoter(t *testing.T) {
	n, now := newLeader(t)
	_, ok := n.Propose("x")
	require.True(t, ok)
	require.True(t, n.TransferLeadership(now))
	require.Empty(t, messagesTo(processOutputs(n), MsgTimeoutNow, idC))
	_, ok = n.Propose("y")
	require.False(t, ok)
	n.Step(now, 0, appendReply(idC, 3, now))
	require.Len(t, messagesTo(processOutputs(n), MsgTimeoutNow, idC), 1)
}

// TestTransferTimesOut guards against a leader that neither holds the lease nor
// steps down after a transfer without result, and against one that refuses proposals
// forever after a transfer that was never sent.
func TestTransferTimesOut(t *testing.T) {
	for _, sent := range []bool{true, false} {
		n, now := newLeader(t)
		if !sent {
			n.Propose("x")
		}
		n.TransferLeadership(now)
		later := now.Add(1200 * ms)
		n.Step(later, 0, appendReply(idB, 1, now))
		n.Tick(later, 0)
		require.Equal(t, !sent, n.Status().Role == Leader)
	}
}

// TestCommitNeedsEntryOfOwnTerm guards against committing entries of an earlier term
// by counting replicas (figure 8 of the Raft paper).
func TestCommitNeedsEntryOfOwnTerm(t *testing.T) {
	stored := Bootstrap[string, string]([]NodeID{idA, idB, idC})
	stored.Entries = append(stored.Entries, command(2, 1))
	n := startNode(t, testConfig(idA), stored)
	now := elect(t, n)
	n.Step(now, 0, appendReply(idB, 2, now))
	n.Step(now, 0, appendReply(idC, 2, now))
	require.Equal(t, uint64(0), n.Status().Commit)
	n.Step(now, 0, appendReply(idB, 3, now))
	require.Equal(t, uint64(3), n.Status().Commit)
}

// TestLeaderCountsOnlySyncedEntries guards against committing entries that are not
// on the leader's disk.
func TestLeaderCountsOnlySyncedEntries(t *testing.T) {
	n, now := newLeader(t)
	first, ok := n.Propose("x", "y")
	require.True(t, ok)
	require.Equal(t, uint64(3), first)
	require.Len(t, n.TakeOutput().Entries, 2)
	n.Step(now, 0, appendReply(idC, 4, now))
	require.Equal(t, uint64(2), n.Status().Commit)
	n.Persisted(2, 3)
	require.Equal(t, uint64(3), n.Status().Commit)
	n.Persisted(2, 4)
	require.Len(t, n.TakeOutput().Committed, 2)
	require.Empty(t, n.TakeOutput().Committed, "committed entries are handed out only once")
}

// TestWriteStalled guards against a disk that is reported as stalled while it makes
// progress or has nothing to write, and against a stall that is not reported.
func TestWriteStalled(t *testing.T) {
	n, now := newLeader(t)
	require.False(t, n.WriteStalled(now.Add(5*model.Second)), "nothing to write")
	_, ok := n.Propose("x")
	require.True(t, ok)
	out := n.TakeOutput()
	require.Len(t, out.Entries, 1)
	require.False(t, n.WriteStalled(now.Add(1200*ms)))
	require.True(t, n.WriteStalled(now.Add(1201*ms)))
	n.Tick(now.Add(1000*ms), 0)
	n.Propose("y")
	require.Len(t, n.TakeOutput().Entries, 1)
	require.True(t, n.WriteStalled(now.Add(1201*ms)), "another write does not count as progress")
	n.Persisted(2, 3)
	require.False(t, n.WriteStalled(now.Add(2200*ms)), "a report counts as progress")
	n.Persisted(2, 4)
	require.False(t, n.WriteStalled(now.Add(9*model.Second)))
}
