package consensus

import (
	"fmt"
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
	// The write took 5 s, and the voters have as long before the retry timeout begins.
	n.Tick(now.Add(5199*ms), 0)
	require.Empty(t, n.TakeOutput().Messages, "the retry timeout runs from the time at which the requests were sent")
	n.Tick(now.Add(5200*ms), 0)
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

// TestLateVotesCount guards against votes that are thrown away because the voters' disks
// took longer than the retry timeout.
func TestLateVotesCount(t *testing.T) {
	vote := testMessage{Kind: MsgVoteReply, From: idB, To: idA, Term: 2}
	rejected := testMessage{Kind: MsgVoteReply, From: idB, To: idA, Term: 2, Reject: true}
	tests := []struct {
		name   string
		before []testMessage
		vote   testMessage
		role   Role
	}{
		{"after the retry timeout", nil, vote, Leader},
		{"after it has yielded to another", []testMessage{{Kind: MsgPreVote, From: idC, To: idA, Term: 3, Index: 1, LogTerm: 1}}, vote, Leader},
		{"not if rejected", nil, rejected, PreCandidate},
		{"not in a later term", []testMessage{{Kind: MsgPreVoteReply, From: idC, To: idA, Term: 3, Reject: true}}, vote, Follower},
		{"not of a campaign before", []testMessage{{Kind: MsgPreVoteReply, From: idC, To: idA, Term: 3}}, vote, Candidate},
		{"not beside a leader", []testMessage{appendFrom(2, 1, 1)}, vote, Follower},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n, now := newCandidate(t)
			n.Persisted(2, 1)
			now = now.Add(1000 * ms)
			n.Tick(now, 0)
			require.Equal(t, PreCandidate, n.Status().Role)
			for _, m := range test.before {
				n.Step(now, 0, m)
			}
			n.Step(now.Add(5000*ms), 0, test.vote)
			require.Equal(t, test.role, n.Status().Role)
		})
	}
}

// TestVotesDoNotCountAfterALeader guards against a second leader of a term whose first one
// has fallen silent.
func TestVotesDoNotCountAfterALeader(t *testing.T) {
	n, now := newCandidate(t)
	n.Persisted(2, 1)
	n.Step(now, 0, appendFrom(2, 1, 1))
	now = now.Add(1200 * ms)
	n.Tick(now, 0)
	require.Equal(t, PreCandidate, n.Status().Role)
	n.Step(now, 0, testMessage{Kind: MsgVoteReply, From: idC, To: idA, Term: 2})
	require.Equal(t, PreCandidate, n.Status().Role)
}

// TestLateVotesOfARestartedCandidateDoNotCount guards against a restarted candidate that
// goes on with a count of votes that it no longer has.
func TestLateVotesOfARestartedCandidateDoNotCount(t *testing.T) {
	stored := Bootstrap[string, string]([]NodeID{idA, idB, idC})
	stored.HardState = HardState{Term: 2, Vote: idA}
	n := startNode(t, testConfig(idA), stored)
	n.Step(startAt.Add(10*ms), 0, testMessage{Kind: MsgVoteReply, From: idB, To: idA, Term: 2})
	n.Tick(startAt.Add(1000*ms), 0)
	n.Step(startAt.Add(1010*ms), 0, testMessage{Kind: MsgVoteReply, From: idC, To: idA, Term: 2})
	require.Equal(t, PreCandidate, n.Status().Role)
}

// TestVoterWaitsForItsDisk guards against a voter that begins an election while its vote is
// being written, which drops the vote, or before the candidate could act on it.
func TestVoterWaitsForItsDisk(t *testing.T) {
	n := newVoter(t)
	now := startAt.Add(800 * ms)
	n.Step(now, 0, testMessage{Kind: MsgVote, From: idB, To: idA, Term: 2, Index: 1, LogTerm: 1})
	require.Equal(t, HardState{Term: 2, Vote: idB}, *n.TakeOutput().HardState)
	for range 100 {
		now = now.Add(50 * ms)
		n.Tick(now, 0)
		require.Empty(t, n.TakeOutput().Messages)
	}
	n.Persisted(2, 1)
	require.Equal(t, []MessageKind{MsgVoteReply}, kindsOf(n.TakeOutput().Messages))
	n.Tick(now.Add(5799*ms), 0)
	require.Empty(t, n.TakeOutput().Messages)
	n.Tick(now.Add(5800*ms), 0)
	require.Equal(t, PreCandidate, n.Status().Role, "a candidate that is silent is not waited for without end")
}

// TestPreCandidateThatVotesFollows guards against a pre-candidate that votes for another and
// still begins the next term, which drops the vote.
func TestPreCandidateThatVotesFollows(t *testing.T) {
	n := newVoter(t)
	n.Step(startAt, 0, testMessage{Kind: MsgPreVoteReply, From: idB, To: idA, Term: 5, Reject: true})
	processOutputs(n)
	now := startAt.Add(800 * ms)
	n.Tick(now, 0)
	processOutputs(n)
	require.Equal(t, PreCandidate, n.Status().Role)

	n.Step(now, 0, testMessage{Kind: MsgVote, From: idB, To: idA, Term: 5, Index: 1, LogTerm: 1})
	require.Equal(t, HardState{Term: 5, Vote: idB}, *n.TakeOutput().HardState)
	n.Step(now, 0, testMessage{Kind: MsgPreVoteReply, From: idC, To: idA, Term: 6})
	require.Equal(t, Follower, n.Status().Role)
	n.Persisted(5, 1)
	require.Equal(t, []MessageKind{MsgVoteReply}, kindsOf(n.TakeOutput().Messages))
}

// TestVoterThatWritesAnswersNoPreVotes guards against a voter that, once its vote is written,
// also sends the answers to pre-votes that it received before: a rejection makes its receiver
// write the term, and vote with a second write.
func TestVoterThatWritesAnswersNoPreVotes(t *testing.T) {
	n := newVoter(t)
	now := startAt.Add(800 * ms)
	n.Step(now, 0, testMessage{Kind: MsgVote, From: idB, To: idA, Term: 2, Index: 1, LogTerm: 1})
	n.TakeOutput()
	earlier := testMessage{Kind: MsgPreVote, From: idC, To: idA, Term: 2, Index: 1, LogTerm: 1}
	next := testMessage{Kind: MsgPreVote, From: idC, To: idA, Term: 3, Index: 1, LogTerm: 1}
	n.Step(now, 0, earlier)
	n.Step(now, 0, next)
	require.Empty(t, n.TakeOutput().Messages)
	n.Persisted(2, 1)
	require.Equal(t, []MessageKind{MsgVoteReply}, kindsOf(n.TakeOutput().Messages))

	n.Step(now.Add(2000*ms), 0, earlier)
	n.Step(now.Add(2000*ms), 0, next)
	replies := n.TakeOutput().Messages
	require.Equal(t, []MessageKind{MsgPreVoteReply, MsgPreVoteReply}, kindsOf(replies))
	require.True(t, replies[0].Reject)
	require.Equal(t, testMessage{Kind: MsgPreVoteReply, From: idA, To: idC, Term: 3}, replies[1])
}

// TestVotersWaitForOneAnother guards against a next term that begins while other voters are
// still writing their votes of this one, and against a wait without end.
func TestVotersWaitForOneAnother(t *testing.T) {
	preVote := testMessage{Kind: MsgPreVote, From: idC, To: idA, Term: 3, Index: 1, LogTerm: 1}
	for _, test := range []struct{ took, wait model.Duration }{
		{0, 0},
		{3000 * ms, 3000 * ms},
		{60000 * ms, 5000 * ms},
	} {
		t.Run(fmt.Sprint(test.took), func(t *testing.T) {
			n, now := newCandidate(t)
			now = now.Add(test.took)
			n.Tick(now, 0)
			n.Persisted(2, 1)
			n.TakeOutput()
			now = now.Add(test.wait)
			if test.wait > 0 {
				n.Step(now-1, 0, preVote)
				require.Empty(t, n.TakeOutput().Messages, "it grants no pre-vote")
			}
			n.Step(now, 0, preVote)
			require.Equal(t, []MessageKind{MsgPreVoteReply}, kindsOf(n.TakeOutput().Messages))
			n.Tick(now.Add(199*ms), 0)
			require.Equal(t, Candidate, n.Status().Role)
			n.Tick(now.Add(200*ms), 0)
			require.Equal(t, PreCandidate, n.Status().Role)
		})
	}
}

// TestWaitForVotersEndsWithALeader guards against a voter that grants no pre-votes after the
// leader of the term has come and gone.
func TestWaitForVotersEndsWithALeader(t *testing.T) {
	preVote := testMessage{Kind: MsgPreVote, From: idC, To: idA, Term: 3, Index: 1, LogTerm: 1}
	n, now := newCandidate(t)
	now = now.Add(5000 * ms)
	n.Tick(now, 0)
	n.Persisted(2, 1)
	n.Step(now, 0, appendFrom(2, 1, 1))
	processOutputs(n)
	n.Step(now.Add(800*ms), 0, preVote)
	require.Equal(t, []MessageKind{MsgPreVoteReply}, kindsOf(n.TakeOutput().Messages))

	n, now = newCandidate(t)
	now = now.Add(5000 * ms)
	n.Tick(now, 0)
	n.Persisted(2, 1)
	n.Step(now, 0, testMessage{Kind: MsgVoteReply, From: idB, To: idA, Term: 2})
	require.Equal(t, Leader, n.Status().Role)
	n.Tick(now.Add(1200*ms), 0)
	require.Equal(t, Follower, n.Status().Role, "no majority was heard")
	processOutputs(n)
	preVote.Index, preVote.LogTerm = 2, 2
	n.Step(now.Add(1200*ms), 0, preVote)
	require.Equal(t, []MessageKind{MsgPreVoteReply}, kindsOf(n.TakeOutput().Messages))
}
