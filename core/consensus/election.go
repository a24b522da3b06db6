package consensus

import "primrosedale.example/primrosedale/core/model"

// maxVoteWait is the longest time that other voters are given to write their votes
// after this node has written its own.
const maxVoteWait = 5 * model.Second

// resetElectionTimer sets the election deadline to a new random timeout from now.
func (n *Node[C, S]) resetElectionTimer() {
	spread := uint64(n.cfg.ElectionTimeoutMax - n.cfg.ElectionTimeoutMin)
	n.deadline = n.now.Add(n.cfg.ElectionTimeoutMin + model.Duration(n.random%spread))
}

// resetRetryTimer sets the deadline after which an undecided campaign is repeated.
// It is shorter than the election timeout, because that has already passed without a
// message from a leader. The random spread makes simultaneous candidates unlikely.
func (n *Node[C, S]) resetRetryTimer() {
	spread := uint64(n.cfg.HeartbeatInterval)
	n.deadline = n.now.Add(n.cfg.HeartbeatInterval + model.Duration(n.random%spread))
}

func (n *Node[C, S]) tickElection() {
	if n.now >= n.deadline && !n.awaitsDisk() {
		n.preCampaign()
	}
	if n.role == PreCandidate && (n.isMembershipUncommitted() || n.now.Sub(n.lastHeard) > nonVoterTimeout) {
		n.sendJoin()
	}
}

// awaitsDisk reports whether the vote that this node has given, to itself or to another,
// is not on disk yet, or the log that it campaigns with. It begins no election until then:
// the next term would drop the vote, or the requests, that wait for the write.
func (n *Node[C, S]) awaitsDisk() bool {
	if !n.disk.isHardStateOnDisk() {
		return true
	}
	return n.role == Candidate && n.disk.persistedIndex < n.log.lastIndex()
}

// recordDiskCaughtUp starts the timer anew when the messages that awaitsDisk held back are
// sent. It adds the time that the vote took here, since the other voters' disks may take
// as long; in calm, that is a few milliseconds.
func (n *Node[C, S]) recordDiskCaughtUp() {
	if (n.vote == NodeID{}) || (n.leader != NodeID{}) {
		return
	}
	took := min(n.now.Sub(n.votedAt), maxVoteWait)
	n.votingEnds = n.now.Add(took)
	switch n.role {
	case Candidate:
		n.resetRetryTimer()
		n.deadline = n.deadline.Add(took)
	case Follower:
		n.resetElectionTimer()
		n.deadline = n.deadline.Add(took)
	}
}

// preCampaign requests pre-votes, which change no state on either side. The votes of an
// undecided campaign in the present term still count.
func (n *Node[C, S]) preCampaign() {
	n.role = PreCandidate
	n.leader = NodeID{}
	n.preVotes = map[NodeID]bool{}
	n.resetRetryTimer()
	n.forEachOtherVoter(func(to NodeID) {
		n.send(n.voteRequest(MsgPreVote, to, n.term+1, false))
	})
	n.recordPreVote(n.cfg.ID)
}

// campaign starts a new term and requests votes. The node's own vote counts once it
// is on disk.
func (n *Node[C, S]) campaign(transfer bool) {
	n.setTerm(n.term + 1)
	n.role = Candidate
	n.setVote(n.cfg.ID)
	n.preVotes = nil
	n.votes = map[NodeID]bool{}
	n.resetRetryTimer()
	n.forEachOtherVoter(func(to NodeID) {
		// The request waits until the log that it describes is on disk. Otherwise
		// a candidate could restart with a shorter log and win with votes that
		// were granted for the longer one.
		n.sendDurable(n.log.lastIndex(), n.voteRequest(MsgVote, to, n.term, transfer))
	})
}

func (n *Node[C, S]) forEachOtherVoter(visit func(to NodeID)) {
	for _, id := range n.membership().all() {
		if id != n.cfg.ID {
			visit(id)
		}
	}
}

func (n *Node[C, S]) voteRequest(kind MessageKind, to NodeID, term uint64, transfer bool) Message[C, S] {
	return Message[C, S]{
		Kind:     kind,
		To:       to,
		Term:     term,
		Index:    n.log.lastIndex(),
		LogTerm:  n.log.lastTerm(),
		Transfer: transfer,
	}
}

// recordPreVote counts a pre-vote. With a majority, the pre-candidate campaigns.
func (n *Node[C, S]) recordPreVote(from NodeID) {
	n.preVotes[from] = true
	if n.hasMajority(n.preVotes) {
		n.campaign(false)
	}
}

// recordVote counts a vote. With a majority, this node becomes the leader.
func (n *Node[C, S]) recordVote(from NodeID) {
	n.votes[from] = true
	if n.hasMajority(n.votes) {
		n.becomeLeader()
	}
}

func (n *Node[C, S]) hasMajority(votes map[NodeID]bool) bool {
	return n.membership().hasQuorum(func(id NodeID) bool { return votes[id] })
}

// ignoresVoteRequest reports whether a request is ignored because this node is the
// leader or received a message from one within the shortest election timeout. The
// leader lease depends on it. Requests of a leadership transfer are not ignored.
func (n *Node[C, S]) ignoresVoteRequest(m Message[C, S]) bool {
	if m.Transfer {
		return false
	}
	return n.role == Leader || n.now < n.lastHeard.Add(n.cfg.ElectionTimeoutMin)
}

// mayVote returns false on a volatile node, which would forget its votes in a
// restart.
func (n *Node[C, S]) mayVote() bool {
	return n.cfg.Durable
}

func (n *Node[C, S]) handlePreVote(m Message[C, S]) bool {
	if !n.mayVote() || n.rejectRetired(m.From) {
		return false
	}
	if n.ignoresVoteRequest(m) {
		return true
	}
	if !n.disk.isHardStateOnDisk() || m.Term > n.term && n.awaitsVoters() {
		return true // the sender would begin the term after the one that is being voted in
	}
	reply := Message[C, S]{Kind: MsgPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.term || !n.log.isCandidateUpToDate(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Term = n.term
	}
	n.send(reply)
	if n.role == PreCandidate && !reply.Reject && n.yieldsToPreCandidate(m) {
		n.becomeFollower()
		n.resetRetryTimer()
	}
	return true
}

// awaitsVoters reports whether this node has voted and other voters may still be writing
// their votes of this term.
func (n *Node[C, S]) awaitsVoters() bool {
	return n.vote != NodeID{} && n.now < n.votingEnds
}

// yieldsToPreCandidate breaks the tie between two pre-candidates, which would
// otherwise both campaign and split the votes. It must be called only if the
// pre-vote was granted.
func (n *Node[C, S]) yieldsToPreCandidate(m Message[C, S]) bool {
	if m.Index != n.log.lastIndex() || m.LogTerm != n.log.lastTerm() {
		return true // its log is more up to date, as the pre-vote was granted
	}
	return m.From.Host > n.cfg.ID.Host
}

func (n *Node[C, S]) handlePreVoteReply(m Message[C, S]) bool {
	if m.Reject {
		n.observeTerm(m.Term)
		return true
	}
	if n.role == PreCandidate && m.Term == n.term+1 {
		n.recordPreVote(m.From)
	}
	return true
}

func (n *Node[C, S]) handleVote(m Message[C, S]) bool {
	if !n.mayVote() || n.rejectRetired(m.From) {
		return false
	}
	if n.ignoresVoteRequest(m) {
		return true
	}
	n.observeTerm(m.Term)
	if n.canGrantVote(m) {
		if n.voteReportIsAmbiguous(m) {
			n.deferred = &m
			return true
		}
		n.setVote(m.From)
		n.becomeFollower() // a pre-candidate that goes on would begin the next term
		n.sendDurable(0, Message[C, S]{Kind: MsgVoteReply, To: m.From})
		return true
	}
	n.sendDurable(0, Message[C, S]{Kind: MsgVoteReply, To: m.From, Reject: true})
	return true
}

func (n *Node[C, S]) canGrantVote(m Message[C, S]) bool {
	if m.Term < n.term || n.role == Leader {
		return false
	}
	free := n.vote == NodeID{} || n.vote == m.From
	return free && n.log.isCandidateUpToDate(m.Index, m.LogTerm)
}

// voteReportIsAmbiguous reports whether an earlier write of this term is in flight.
// Reports name only the term of a hard state, so the report of that write could be
// taken for that of the vote.
func (n *Node[C, S]) voteReportIsAmbiguous(m Message[C, S]) bool {
	if n.vote == m.From || n.disk.hardStateTerm != n.term {
		return false
	}
	return n.disk.inFlight()
}

// handleVoteReply counts a vote for as long as the term has no known leader, also after
// the retry timeout: on slow disks, the voters' writes take longer than that.
func (n *Node[C, S]) handleVoteReply(m Message[C, S]) bool {
	if m.Term > n.term {
		n.observeTerm(m.Term)
		return m.Reject
	}
	if n.votes != nil && n.role != NonVoter && m.Term == n.term && !m.Reject {
		n.recordVote(m.From)
	}
	return true
}

// handleTimeoutNow campaigns at once, as requested by the leader.
func (n *Node[C, S]) handleTimeoutNow(m Message[C, S]) bool {
	if m.Term != n.term || n.role != Follower || n.leader != m.From {
		return false
	}
	n.campaign(true)
	return true
}

// observeTerm becomes a follower without a known leader if term is later than the
// current one.
func (n *Node[C, S]) observeTerm(term uint64) {
	if term <= n.term {
		return
	}
	n.setTerm(term)
	n.becomeFollower()
}

func (n *Node[C, S]) setTerm(term uint64) {
	n.term = term
	n.vote = NodeID{}
	n.votes = nil
	n.leader = NodeID{}
	n.disk.hardStateChanged = true
	// Pending messages of the earlier term may acknowledge entries that a new
	// leader replaces before they are on disk.
	n.pending = nil
}

func (n *Node[C, S]) setVote(id NodeID) {
	if n.vote == id {
		return
	}
	n.vote = id
	n.votedAt = n.now
	n.disk.hardStateChanged = true
}

// becomeFollower ends a campaign or the leadership within the current term. A node
// that is not a voter becomes a non-voter.
func (n *Node[C, S]) becomeFollower() {
	if n.leader == n.cfg.ID {
		n.leader = NodeID{}
	}
	n.role = n.passiveRole()
	n.leadership = leadership{}
	n.preVotes = nil
	n.resetElectionTimer()
}

// passiveRole returns the role of this node when it neither campaigns nor leads.
func (n *Node[C, S]) passiveRole() Role {
	if n.membership().contains(n.cfg.ID) && n.cfg.Durable && !n.retired {
		return Follower
	}
	return NonVoter
}

// recordLeaderMessage records a message from the leader of the current term and ends
// a campaign of this node.
func (n *Node[C, S]) recordLeaderMessage(leader NodeID) {
	if n.role == PreCandidate || n.role == Candidate {
		n.becomeFollower()
	}
	n.votes = nil
	n.votingEnds = 0
	n.leader = leader
	n.lastHeard = n.now
	n.resetElectionTimer()
}
