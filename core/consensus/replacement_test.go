package consensus

import (
	"flag"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

var replacementCount = flag.Int("consensus.replacements", 300, "number of schedules with replaced hosts")

// silence advances the time by d, in which only the given nodes answer the leader A, and
// returns its end.
func silence(n *testNode, now model.Time, d model.Duration, heard ...NodeID) model.Time {
	for end := now.Add(d); now < end; {
		now = now.Add(50 * ms)
		n.Tick(now, 0)
		processOutputs(n)
		for _, id := range heard {
			n.Step(now, 0, appendReply(id, n.Status().LastIndex, now))
		}
		processOutputs(n)
	}
	return now
}

// TestVoterOfLostHostIsReplaced guards against a voter set in which the hosts that are
// gone for good add up until no leader can be elected, also where the set is full.
func TestVoterOfLostHostIsReplaced(t *testing.T) {
	for _, maxVoters := range []int{3, 9} {
		n, now := newLeader(t)
		n.cfg.MaxVoters = maxVoters
		now = silence(n, now, 900*ms, idC)
		join(n, now, idD, true)
		now = silence(n, now, 500*ms, idC, idD)
		require.Equal(t, []NodeID{idA, idB, idC}, n.Status().Voters, "B may be restarting")
		now = silence(n, now, 900*ms, idC, idD)
		require.Equal(t, []NodeID{idA, idC, idD}, n.Status().Voters)

		// B was only cut off. It is told so, and joins with another identity.
		n.Step(now, 0, testMessage{Kind: MsgPreVote, From: idB, To: idA, Term: 3, Index: 2, LogTerm: 2})
		require.Len(t, messagesTo(processOutputs(n), MsgRetired, idB), 1)
		join(n, now, idBNewDisk, true)
		silence(n, now, 500*ms, idC, idD, idBNewDisk)
		require.Equal(t, maxVoters > 3, slices.Contains(n.Status().Voters, idBNewDisk))
	}
}

// TestHostIsNotAddedBesideASilentVoter guards against a majority that grows when one
// fewer voter answers.
func TestHostIsNotAddedBesideASilentVoter(t *testing.T) {
	n, now := newLeader(t)
	n.cfg.MaxVoters = 9
	now = silence(n, now, 900*ms, idC)
	join(n, now, idD, true)
	now = silence(n, now, 500*ms, idC, idD)
	require.Equal(t, []NodeID{idA, idB, idC}, n.Status().Voters)
	silence(n, now, 100*ms, idB, idC, idD)
	require.Equal(t, []NodeID{idA, idB, idC, idD}, n.Status().Voters)
}

// TestNewLeaderAddsNobodyBeforeItHasHeardAllVoters guards against voters of lost hosts that
// add up because each new leader counts them as heard when its term begins.
func TestNewLeaderAddsNobodyBeforeItHasHeardAllVoters(t *testing.T) {
	n := newVoter(t)
	n.cfg.MaxVoters = 9
	now := elect(t, n) // with the vote of B
	n.Step(now, 0, appendReply(idB, 2, now))
	join(n, now, idD, true)
	now = silence(n, now, 500*ms, idB, idD)
	require.Equal(t, []NodeID{idA, idB, idC}, n.Status().Voters, "C may be gone")
	silence(n, now, 100*ms, idB, idC, idD)
	require.Equal(t, []NodeID{idA, idB, idC, idD}, n.Status().Voters)
}

// TestSurplusVoterIsRemoved guards against the voter of a lost host that stays because
// its successor was added before the host was silent.
func TestSurplusVoterIsRemoved(t *testing.T) {
	n, now := newLeader(t)
	n.cfg.MaxVoters = 9
	join(n, now, idD, true)
	now = silence(n, now, 100*ms, idB, idC, idD)
	require.Len(t, n.Status().Voters, 4)
	now = silence(n, now, 9*model.Second, idC, idD)
	require.Len(t, n.Status().Voters, 4)
	now = silence(n, now, 1200*ms, idC, idD)
	require.Equal(t, []NodeID{idA, idC, idD}, n.Status().Voters)
	silence(n, now, 20*model.Second, idC)
	require.Equal(t, []NodeID{idA, idC, idD}, n.Status().Voters, "the set is odd")
}

// TestPausedLeaderRemovesNobody guards against a leader that takes its own pause for
// the silence of the other voters.
func TestPausedLeaderRemovesNobody(t *testing.T) {
	n, now := newLeader(t)
	join(n, now, idD, true)
	now = silence(n, now, 200*ms, idB, idC, idD)
	now = now.Add(5 * model.Second)
	n.Step(now, 0, appendReply(idD, n.Status().LastIndex, now))
	n.Step(now, 0, appendReply(idC, n.Status().LastIndex, now))
	require.Equal(t, []NodeID{idA, idB, idC}, n.Status().Voters)
}

// TestRetiredNodeStops guards against a removed voter that campaigns or votes after it
// was told of its removal.
func TestRetiredNodeStops(t *testing.T) {
	n := newVoter(t)
	n.Step(startAt, 0, testMessage{Kind: MsgRetired, From: idB, To: idA, Term: 5})
	require.True(t, n.Status().Retired)
	n.Tick(startAt.Add(10*model.Second), 0)
	n.Step(startAt.Add(10*model.Second), 0, testMessage{Kind: MsgVote, From: idB, To: idA, Term: 9, Index: 9, LogTerm: 9})
	require.Empty(t, processOutputs(n))
}

// TestReservedPlaceExpires guards against a full set that stays short because a host
// whose disk was replaced has been lost before it joined again.
func TestReservedPlaceExpires(t *testing.T) {
	n, now := newLeader(t)
	now = silence(n, now, 900*ms, idC)
	join(n, now, idBNewDisk, true)
	require.Equal(t, []NodeID{idA, idC}, n.Status().Voters)
	n.removePeer(idBNewDisk)
	join(n, now, idD, true)
	now = silence(n, now, 9*model.Second, idC, idD)
	require.Equal(t, []NodeID{idA, idC}, n.Status().Voters)
	silence(n, now, 3*model.Second, idC, idD)
	require.Equal(t, []NodeID{idA, idC, idD}, n.Status().Voters)
}

// TestReplacementSchedules guards against violations of the protocol's invariants, and
// against a cluster without a leader, when hosts are replaced for good in random order
// beside all faults of TestSchedules. Every second schedule has a full voter set.
func TestReplacementSchedules(t *testing.T) {
	var replaced, committed atomic.Uint64
	t.Run("group", func(t *testing.T) {
		for i := range *replacementCount {
			seed := uint64(i + 1)
			if one := chosenSeed(t); one != 0 {
				seed = one
			}
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(t, seed)
				if seed%2 == 0 {
					s.maxVoters = 9
				}
				s.faults.replace = 0.003 * s.rng.Float64()
				s.run()
				replaced.Add(uint64(s.replacements))
				committed.Add(s.checker.lastCommitted)
			})
		}
	})
	n := uint64(*replacementCount)
	t.Logf("%d schedules: on average %.1f hosts replaced, %d entries committed", n, float64(replaced.Load())/float64(n), committed.Load()/n)
	if replaced.Load() < n || committed.Load()/n < 200 {
		t.Error("too few hosts were replaced, or too few entries were committed, for a meaningful test")
	}
}
