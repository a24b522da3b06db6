package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// TestVoteReplies guards against votes that violate election safety or leader
// completeness, and against votes that interrupt a leader that was heard recently.
func TestVoteReplies(t *testing.T) {
	const free = 800 * ms // since the start; before that, this node may have acknowledged a leader
	vote := testMessage{Kind: MsgVote, From: idB, To: idA, Term: 2, Index: 1, LogTerm: 1}
	tests := []struct {
		name   string
		change func(*testMessage)
		after  model.Duration
		reply  bool
		reject bool
	}{
		{"grants a first vote", func(*testMessage) {}, free, true, false},
		{"ignores a vote after a recent start", func(*testMessage) {}, free - 1, false, false},
		{"grants a transfer at any time", func(m *testMessage) { m.Transfer = true }, 10 * ms, true, false},
		{"rejects a shorter log", func(m *testMessage) { m.Index = 0 }, free, true, true},
		{"rejects an earlier last term", func(m *testMessage) { m.Index, m.LogTerm = 9, 0 }, free, true, true},
		{"answers pre-votes", func(m *testMessage) { m.Kind = MsgPreVote }, free, true, false},
		{"ignores pre-votes after a recent start", func(m *testMessage) { m.Kind = MsgPreVote }, free - 1, false, false},
		{"rejects pre-votes of its own term", func(m *testMessage) { m.Kind, m.Term = MsgPreVote, 1 }, free, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newVoter(t)
			m := vote
			test.change(&m)
			n.Step(startAt.Add(test.after), 0, m)
			replies := processOutputs(n)
			if !test.reply {
				require.Empty(t, replies)
				require.Equal(t, uint64(1), n.Status().Term, "an ignored vote must not raise the term")
				return
			}
			require.Len(t, replies, 1)
			require.Equal(t, test.reject, replies[0].Reject)
		})
	}
}

// TestOneVotePerTerm guards against two votes in one term, where the second one
// follows a restart.
func TestOneVotePerTerm(t *testing.T) {
	now := startAt.Add(800 * ms)
	n := newVoter(t)
	n.Step(now, 0, testMessage{Kind: MsgVote, From: idB, To: idA, Term: 2, Index: 1, LogTerm: 1})
	out := n.TakeOutput()
	require.Equal(t, HardState{Term: 2, Vote: idB}, *out.HardState)

	stored := Bootstrap[string, string]([]NodeID{idA, idB, idC})
	stored.HardState = *out.HardState
	n = startNode(t, testConfig(idA), stored)
	n.Step(now, 0, testMessage{Kind: MsgVote, From: idC, To: idA, Term: 2, Index: 1, LogTerm: 1})
	replies := processOutputs(n)
	require.Len(t, replies, 1)
	require.True(t, replies[0].Reject)
}

// TestVoteWaitsForSync guards against a vote that is sent before it is on disk and
// that a crash would undo.
func TestVoteWaitsForSync(t *testing.T) {
	n := newVoter(t)
	n.Step(startAt.Add(800*ms), 0, testMessage{Kind: MsgVote, From: idB, To: idA, Term: 2, Index: 1, LogTerm: 1})
	require.Empty(t, n.TakeOutput().Messages)
	n.Persisted(1, 1)
	require.Empty(t, n.TakeOutput().Messages, "a report of the earlier term does not cover the vote")
	n.Persisted(2, 0)
	require.Equal(t, []MessageKind{MsgVoteReply}, kindsOf(n.TakeOutput().Messages))
}

// TestSecondVoteWriteOfTermWaits guards against a vote that is sent after the report
// of an earlier write of the same term, which does not contain the vote.
func TestSecondVoteWriteOfTermWaits(t *testing.T) {
	now := startAt.Add(800 * ms)
	n := newVoter(t)
	n.Step(now, 0, testMessage{Kind: MsgVote, From: idB, To: idA, Term: 2})
	require.Equal(t, HardState{Term: 2}, *n.TakeOutput().HardState)
	n.Step(now, 0, testMessage{Kind: MsgVote, From: idC, To: idA, Term: 2, Index: 1, LogTerm: 1})
	require.Nil(t, n.TakeOutput().HardState, "the vote waits until nothing is in flight")
	n.Persisted(2, 1)
	require.Equal(t, HardState{Term: 2, Vote: idC}, *n.TakeOutput().HardState)
	require.Empty(t, messagesTo(n.messages, MsgVoteReply, idC))
	n.Persisted(2, 1)
	require.Len(t, messagesTo(n.TakeOutput().Messages, MsgVoteReply, idC), 1)
}

// TestPreCandidateYields guards against two pre-candidates that split the votes, and
// against two that both withdraw.
func TestPreCandidateYields(t *testing.T) {
	for _, test := range []struct {
		name   string
		from   NodeID
		index  uint64
		yields bool
	}{
		{"to the later host", idB, 1, true},
		{"not to the earlier host", NodeID{Host: "0", Incarnation: "1"}, 1, false},
		{"to the longer log", NodeID{Host: "0", Incarnation: "1"}, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newVoter(t)
			now := startAt.Add(800 * ms)
			n.Tick(now, 0)
			processOutputs(n)
			n.Step(now, 0, testMessage{Kind: MsgPreVote, From: test.from, To: idA, Term: 2, Index: test.index, LogTerm: 1})
			require.False(t, processOutputs(n)[0].Reject, "a pre-vote for an up-to-date log is granted in both cases")
			require.Equal(t, test.yields, n.Status().Role == Follower)
			n.Tick(now.Add(400*ms), 0)
			require.Equal(t, PreCandidate, n.Status().Role, "a withdrawn pre-candidate retries after the retry timeout")
		})
	}
}

// TestElectionNeedsPreVotesAndSyncedOwnVote guards against elections without a
// majority of pre-votes and against counting the candidate's own vote before it is
// on disk.
func TestElectionNeedsPreVotesAndSyncedOwnVote(t *testing.T) {
	n := newVoter(t)
	n.Tick(startAt.Add(799*ms), 0)
	require.Empty(t, processOutputs(n))
	now := startAt.Add(800 * ms)
	n.Tick(now, 0)
	require.Equal(t, []MessageKind{MsgPreVote, MsgPreVote}, kindsOf(processOutputs(n)))
	require.Equal(t, uint64(1), n.Status().Term)

	n.Step(now, 0, testMessage{Kind: MsgPreVoteReply, From: idC, To: idA, Term: 2})
	require.Equal(t, Candidate, n.Status().Role)
	require.Empty(t, n.TakeOutput().Messages, "requests wait for the sync")
	n.Step(now, 0, testMessage{Kind: MsgVoteReply, From: idC, To: idA, Term: 2})
	require.Equal(t, Candidate, n.Status().Role, "its own vote is not on disk")
	n.Persisted(2, 1)
	require.Equal(t, Leader, n.Status().Role)
}

// TestVoteRequestWaitsForLog guards against a candidate that receives votes for a
// log that is not on disk, and then restarts with a shorter one.
func TestVoteRequestWaitsForLog(t *testing.T) {
	n := newVoter(t)
	n.Step(startAt, 0, appendFrom(2, 1, 1, command(2, 2)))
	processOutputs(n)
	n.Step(startAt, 0, appendFrom(2, 2, 2, command(3, 2)))
	n.TakeOutput()
	n.Step(startAt, 0, testMessage{Kind: MsgTimeoutNow, From: idB, To: idA, Term: 2})
	n.TakeOutput()
	n.Persisted(3, 2)
	require.Empty(t, n.TakeOutput().Messages, "entry 3 is not on disk")
	n.Persisted(3, 3)
	require.Equal(t, []MessageKind{MsgVote, MsgVote}, kindsOf(n.TakeOutput().Messages))
}

// TestCandidateBecomesFollower guards against a candidate that ignores an elected
// leader or a later term.
func TestCandidateBecomesFollower(t *testing.T) {
	tests := []struct {
		name string
		m    testMessage
		term uint64
	}{
		{"leader of the term", appendFrom(1, 1, 1), 1},
		{"rejection with a later term", testMessage{Kind: MsgPreVoteReply, From: idB, To: idA, Term: 5, Reject: true}, 5},
		{"leader of a later term", appendFrom(7, 1, 1), 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newVoter(t)
			n.Tick(startAt.Add(800*ms), 0)
			require.Equal(t, PreCandidate, n.Status().Role)
			n.Step(startAt.Add(801*ms), 0, test.m)
			require.Equal(t, Follower, n.Status().Role)
			require.Equal(t, test.term, n.Status().Term)
		})
	}
}

// TestVolatileNodeNeverVotes guards against a vote that is forgotten in a restart
// and then given again.
func TestVolatileNodeNeverVotes(t *testing.T) {
	cfg := testConfig(idD)
	cfg.Durable = false
	n := startNode(t, cfg, Stored[string, string]{})
	n.Step(startAt.Add(10000*ms), 0, testMessage{Kind: MsgVote, From: idB, To: idD, Term: 2, Index: 1, LogTerm: 1})
	require.Empty(t, processOutputs(n))
	require.Equal(t, uint64(1), n.Status().Ignored)
}

// TestTimeoutNow guards against campaigns that a node other than the current leader
// requests.
func TestTimeoutNow(t *testing.T) {
	n := newVoter(t)
	n.Step(startAt, 0, appendFrom(2, 1, 1))
	processOutputs(n)
	n.Step(startAt, 0, testMessage{Kind: MsgTimeoutNow, From: idC, To: idA, Term: 2})
	n.Step(startAt, 0, testMessage{Kind: MsgTimeoutNow, From: idB, To: idA, Term: 1})
	require.Equal(t, Follower, n.Status().Role)
	n.Step(startAt, 0, testMessage{Kind: MsgTimeoutNow, From: idB, To: idA, Term: 2})
	require.Equal(t, Candidate, n.Status().Role)
	for _, m := range processOutputs(n) {
		require.True(t, m.Transfer)
	}
}
