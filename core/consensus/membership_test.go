package consensus

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

func joinFrom(id NodeID, durable bool) testMessage {
	return testMessage{Kind: MsgJoin, From: id, To: NodeID{Host: "a"}, Durable: durable}
}

// join makes a node a non-voter of the leader n that has the whole log.
func join(n *testNode, now model.Time, id NodeID, durable bool) {
	n.Step(now, 0, joinFrom(id, durable))
	processOutputs(n)
	n.Step(now, 0, appendReply(id, n.Status().LastIndex, now))
}

// TestReplaceVoter guards against a replacement in one step, a step before the
// commit of the previous one, and a replacement that needs the lost identity.
func TestReplaceVoter(t *testing.T) {
	n, now := newLeader(t)
	now = now.Add(900 * ms) // B is silent
	n.Step(now, 0, appendReply(idC, 2, now))
	join(n, now, idBNewDisk, true)
	require.Equal(t, []NodeID{idA, idC}, n.Status().Voters)
	n.Tick(now, 0)
	processOutputs(n)
	n.Step(now, 0, appendReply(idBNewDisk, 3, now))
	require.Equal(t, []NodeID{idA, idC}, n.Status().Voters, "the removal is not committed")
	n.Step(now, 0, appendReply(idC, 3, now))
	require.Equal(t, []NodeID{idA, idC, idBNewDisk}, n.Status().Voters)
	processOutputs(n)
	require.Equal(t, uint64(3), n.Status().Commit)
	n.Step(now, 0, appendReply(idBNewDisk, 4, now))
	require.Equal(t, uint64(4), n.Status().Commit)

	n.Step(now, 0, joinFrom(idB, true))
	require.Equal(t, uint64(1), n.Status().Ignored, "a retired identity never returns")
}

// TestVoterEligibility guards against adding voters that are volatile, exceed
// MaxVoters, lag, or are a second process of a voter's host.
func TestVoterEligibility(t *testing.T) {
	tests := []struct {
		name      string
		id        NodeID
		durable   bool
		maxVoters int
		caughtUp  bool
		added     bool
	}{
		{"room for a voter", idD, true, 4, true, true},
		{"no room", idD, true, 3, true, false},
		{"volatile", idD, false, 4, true, false},
		{"behind", idD, true, 4, false, false},
		{"the earlier identity is heard", NodeID{Host: "c", Incarnation: "2"}, true, 4, true, false},
		{"the leader's own host", NodeID{Host: "a", Incarnation: "2"}, true, 4, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n, now := newLeader(t)
			n.cfg.MaxVoters = test.maxVoters
			n.Step(now, 0, joinFrom(test.id, test.durable))
			if test.caughtUp {
				join(n, now, test.id, test.durable)
			}
			n.Tick(now, 0)
			require.Equal(t, test.added, len(n.Status().Voters) == 4)
		})
	}
}

// TestHostBeingReplacedKeepsItsPlace guards against adding another host in the place
// of one that is being replaced, and against never adding the replacement.
func TestHostBeingReplacedKeepsItsPlace(t *testing.T) {
	m := membership{voters: []NodeID{idA, idB, idC}}
	m = m.next(5, []NodeID{idA, idC}, nil, false)
	require.Equal(t, []model.HostID{"b"}, m.hostsBeingReplaced())
	n, now := newLeader(t)
	n.memberships = []membership{m}
	n.log.commit = 5
	d, b := &progress{id: idD, lastHeard: now}, &progress{id: idBNewDisk, lastHeard: now}
	_, ok := n.nextVoters(d, m)
	require.False(t, ok)
	voters, ok := n.nextVoters(b, m)
	require.True(t, ok)
	require.Equal(t, []NodeID{idA, idC, idBNewDisk}, voters)
	require.Empty(t, m.next(6, voters, nil, false).hostsBeingReplaced())
}

// TestRemovedVoter guards against a removed voter that campaigns, answers or joins
// again.
func TestRemovedVoter(t *testing.T) {
	n := newVoter(t)
	removal := Entry[string]{Index: 2, Term: 2, Kind: EntryVoters, Voters: []NodeID{idB, idC}}
	n.Step(startAt, 0, appendFrom(2, 1, 1, removal))
	processOutputs(n)
	require.Equal(t, NonVoter, n.Status().Role)
	require.False(t, n.Status().Retired)
	m := appendFrom(2, 2, 2)
	m.Commit = 2
	n.Step(startAt, 0, m)
	processOutputs(n)
	require.True(t, n.Status().Retired)
	n.Tick(startAt.Add(10000*ms), 0)
	n.Step(startAt.Add(10000*ms), 0, testMessage{Kind: MsgVote, From: idB, To: idA, Term: 9, Index: 9, LogTerm: 9})
	require.Empty(t, processOutputs(n))
}

// TestTruncatedMembership guards against a voter set that stays in effect after its
// entry was replaced. It takes effect when the entry is appended.
func TestTruncatedMembership(t *testing.T) {
	n := newVoter(t)
	n.Step(startAt, 0, appendFrom(2, 1, 1, Entry[string]{Index: 2, Term: 2, Kind: EntryVoters, Voters: []NodeID{idB, idC}}))
	processOutputs(n)
	require.Equal(t, NonVoter, n.Status().Role)
	n.Step(startAt, 0, appendFrom(3, 1, 1, command(2, 3)))
	processOutputs(n)
	n.Step(startAt, 0, appendFrom(3, 1, 1, command(2, 3)))
	processOutputs(n)
	require.Equal(t, Follower, n.Status().Role)
	require.Equal(t, []NodeID{idA, idB, idC}, n.Status().Voters)
}

// TestRemovedLeaderStepsDown guards against a leader outside its own voter set.
func TestRemovedLeaderStepsDown(t *testing.T) {
	n, now := newLeader(t)
	n.propose(Entry[string]{Kind: EntryVoters, Voters: []NodeID{idB, idC}})
	processOutputs(n)
	n.Step(now, 0, appendReply(idB, 3, now))
	require.Equal(t, Leader, n.Status().Role, "not committed")
	n.Step(now, 0, appendReply(idC, 3, now))
	require.Equal(t, NonVoter, n.Status().Role)
}

// TestJoinRotation guards against a non-voter that sends MsgJoin to only one peer,
// or continues to send it while it hears a leader.
func TestJoinRotation(t *testing.T) {
	n := startNode(t, testConfig(idD), Stored[string, string]{})
	var asked []model.HostID
	for i := range 4 {
		n.Tick(startAt.Add(model.Duration(i)*50*ms), 0)
		for _, m := range processOutputs(n) {
			require.Equal(t, MsgJoin, m.Kind)
			asked = append(asked, m.To.Host)
		}
	}
	require.Equal(t, []model.HostID{"a", "b", "c", "a"}, asked)
	n.Step(startAt, 0, testMessage{Kind: MsgAppend, From: idB, To: idD, Term: 2})
	processOutputs(n)
	n.Tick(startAt.Add(949*ms), 0)
	require.Empty(t, processOutputs(n))
	n.Tick(startAt.Add(950*ms), 0)
	require.Len(t, processOutputs(n), 1)
}

// TestUnconfirmedVoterJoins guards against a node that stays out of the cluster
// because the entry that added it was lost with its leader: its own log makes it a
// voter, but no leader knows it.
func TestUnconfirmedVoterJoins(t *testing.T) {
	for _, committed := range []uint64{1, 2} {
		n := startNode(t, testConfig(idD), Stored[string, string]{})
		first := Entry[string]{Index: 1, Term: 1, Kind: EntryVoters, Voters: []NodeID{idA, idB, idC}}
		added := Entry[string]{Index: 2, Term: 2, Kind: EntryVoters, Voters: []NodeID{idA, idB, idC, idD}}
		m := appendFrom(2, 0, 0, first, added)
		m.To = idD
		m.Commit = committed
		n.Step(startAt, 0, m)
		processOutputs(n)
		n.Tick(startAt.Add(800*ms), 0)
		require.Equal(t, PreCandidate, n.Status().Role)
		require.Equal(t, committed == 1, slices.Contains(kindsOf(processOutputs(n)), MsgJoin))
	}
}

// TestNonVoterVotes guards against an election that fails because it needs the vote
// of a node that has not yet received the entry that adds it.
func TestNonVoterVotes(t *testing.T) {
	n := startNode(t, testConfig(idD), Stored[string, string]{})
	n.Step(startAt.Add(800*ms), 0, testMessage{Kind: MsgVote, From: idB, To: idD, Term: 2, Index: 1, LogTerm: 1})
	replies := processOutputs(n)
	require.Len(t, replies, 1)
	require.False(t, replies[0].Reject)
}

// TestSilentNonVoterRemoved guards against replicating forever to a non-voter that
// no longer exists.
func TestSilentNonVoterRemoved(t *testing.T) {
	n, now := newLeader(t)
	join(n, now, idD, false)
	require.Len(t, n.Status().Peers, 3)
	later := now.Add(10*model.Second + 1)
	n.Step(later, 0, appendReply(idC, 2, now))
	n.Tick(later, 0)
	require.Equal(t, Leader, n.Status().Role)
	require.Len(t, n.Status().Peers, 2)
}
