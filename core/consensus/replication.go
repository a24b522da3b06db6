package consensus

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

const (
	// learnerHeartbeats is the number of heartbeat intervals between two
	// heartbeats to a non-voter. Non-voters take no part in elections, and
	// heartbeats are most of the traffic of a host at rest.
	nonVoterHeartbeatPeriod = 3
	// resendHeartbeats is the number of heartbeat intervals after which an
	// append without an answer counts as lost.
	appendTimeoutHeartbeats = 2
	// snapshotResend is the same for a snapshot, which takes longer to send
	// and to write.
	snapshotTimeout = 2 * model.Second
	// maxAppendSize bounds the commands of one append, in bytes, unless a
	// single command is larger. Without it 256 stored answers of 64 KiB are one
	// message of 22 MB, and the leases of its receiver wait behind it.
	maxAppendSize = 256 << 10
)

// sendHeartbeats sends an empty append to every voter, and at every
// learnerHeartbeats-th time to the others.
func (n *Node[C, S]) sendHeartbeats() {
	n.leadership.lastHeartbeat = n.now
	n.leadership.heartbeatRounds++
	withNonVoters := n.leadership.heartbeatRounds%nonVoterHeartbeatPeriod == 1
	current := n.membership()
	for _, p := range n.leadership.peers {
		if withNonVoters || current.contains(p.id) {
			n.sendHeartbeat(p)
		}
	}
}

// sendCommits tells the peers that have not heard of it how far the log is
// committed. Otherwise they would learn it from the next heartbeat, and a host
// applies a change of configuration only then.
func (n *Node[C, S]) sendCommits() {
	for _, p := range n.leadership.peers {
		if p.sentCommit < min(n.log.commit, p.match) {
			n.sendHeartbeat(p)
		}
	}
}

// sendHeartbeat sends an empty append. It refers to the index known to match,
// so that it is accepted whatever else is under way.
func (n *Node[C, S]) sendHeartbeat(p *progress) {
	index := p.match
	term, ok := n.log.term(index)
	if !ok {
		index, term = 0, 0
	}
	p.sentCommit = max(p.sentCommit, min(n.log.commit, index))
	n.send(Message[C, S]{
		Kind:    MsgAppend,
		To:      p.id,
		Index:   index,
		LogTerm: term,
		Commit:  min(n.log.commit, index),
		Sent:    n.now,
	})
}

// sendAppends sends what each peer lacks, within the limits of flow control.
func (n *Node[C, S]) sendAppends() {
	if n.role != Leader {
		return
	}
	for _, p := range n.leadership.peers {
		n.sendAppendsTo(p)
	}
}

func (n *Node[C, S]) sendAppendsTo(p *progress) {
	for !p.isPaused(n.cfg.MaxInflight) {
		if p.state == stateReplicate && p.next > n.log.lastIndex() {
			return
		}
		prevTerm, ok := n.log.term(p.next - 1)
		if !ok || p.next <= n.log.prevIndex {
			n.sendSnapshot(p)
			return
		}
		n.sendAppend(p, prevTerm)
	}
}

func (n *Node[C, S]) sendAppend(p *progress, prevTerm uint64) {
	last := n.lastIndexOfAppend(p.next)
	n.send(Message[C, S]{
		Kind:    MsgAppend,
		To:      p.id,
		Index:   p.next - 1,
		LogTerm: prevTerm,
		Commit:  n.log.commit,
		Entries: n.log.slice(p.next, last),
		Sent:    n.now,
	})
	p.sentCommit = max(p.sentCommit, min(n.log.commit, last))
	p.recordAppend(last, n.now)
}

// sized is a command that knows its size in a message, in bytes.
type sizedCommand interface{ Size() int }

// lastToSend returns the index of the last entry of an append that begins with
// first. An append that takes longer to arrive than the time after which it
// counts as lost would be sent again and again.
func (n *Node[C, S]) lastIndexOfAppend(first uint64) uint64 {
	last := min(n.log.lastIndex(), first+uint64(n.cfg.MaxAppendEntries)-1)
	size := 0
	for i, e := range n.log.slice(first, last) {
		if c, ok := any(e.Command).(sizedCommand); ok && e.Command != nil {
			size += c.Size()
		}
		if size > maxAppendSize && i > 0 {
			return first + uint64(i) - 1
		}
	}
	return last
}

func (n *Node[C, S]) sendSnapshot(p *progress) {
	p.state = stateSnapshot
	p.unansweredSince = n.now
	n.send(Message[C, S]{Kind: MsgSnapshot, To: p.id, Snapshot: n.snapshot, Sent: n.now})
}

// retryUnanswered goes back to what is known of a peer when an answer is
// overdue.
func (n *Node[C, S]) resetUnansweredPeers() {
	for _, p := range n.leadership.peers {
		silence := n.now.Sub(p.unansweredSince)
		switch {
		case p.state == stateSnapshot && silence >= snapshotTimeout:
			p.startProbing(p.match + 1)
		case p.state == stateReplicate && len(p.inflight) > 0 && silence >= appendTimeoutHeartbeats*n.cfg.HeartbeatInterval:
			p.startProbing(p.match + 1)
		case p.state == stateProbe && len(p.inflight) > 0 && silence >= appendTimeoutHeartbeats*n.cfg.HeartbeatInterval:
			p.startProbing(p.next)
		}
	}
}

// acceptLeader checks the term of a message that only a leader sends. It
// returns false when the sender is not the leader of the current term.
func (n *Node[C, S]) followSender(m Message[C, S]) bool {
	n.observeTerm(m.Term)
	if n.role == Leader || (n.leader != NodeID{} && n.leader != m.From) {
		return false
	}
	n.recordLeaderMessage(m.From)
	return true
}

// refuseOldLeader tells a leader of an earlier term about the current one.
func (n *Node[C, S]) rejectStaleLeader(m Message[C, S]) bool {
	n.sendDurable(0, Message[C, S]{Kind: MsgAppendReply, To: m.From, Index: m.Index, Reject: true})
	return true
}

func (n *Node[C, S]) handleAppend(m Message[C, S]) bool {
	if m.Term < n.term {
		return n.rejectStaleLeader(m)
	}
	if n.appendConflictsWithCommitted(m) || !n.followSender(m) {
		return false
	}
	if m.Index > n.log.commit && !n.log.matchesTerm(m.Index, m.LogTerm) {
		n.rejectAppend(m)
		return true
	}
	n.acceptEntries(m)
	return true
}

// contradictsCommitted reports whether an append has another term for an
// entry that is committed, which no leader sends.
func (n *Node[C, S]) appendConflictsWithCommitted(m Message[C, S]) bool {
	if n.conflictsWithCommitted(m.Index, m.LogTerm) {
		return true
	}
	for _, e := range m.Entries {
		if n.conflictsWithCommitted(e.Index, e.Term) {
			return true
		}
	}
	return false
}

func (n *Node[C, S]) conflictsWithCommitted(index, term uint64) bool {
	if index > n.log.commit || index < n.log.prevIndex {
		return false
	}
	return !n.log.matchesTerm(index, term)
}

// rejectAppend answers with the last index at which the logs may match: it
// skips entries of terms later than the leader's at that point.
func (n *Node[C, S]) rejectAppend(m Message[C, S]) {
	hint := max(n.log.lastIndexWithTermAtMost(m.Index-1, m.LogTerm), n.log.commit)
	term, _ := n.log.term(hint)
	n.sendDurable(0, Message[C, S]{
		Kind:    MsgAppendReply,
		To:      m.From,
		Index:   m.Index,
		LogTerm: term,
		Hint:    hint,
		Reject:  true,
		Sent:    m.Sent,
	})
}

// acceptEntries stores the entries of an append whose predecessor matches.
func (n *Node[C, S]) acceptEntries(m Message[C, S]) {
	missing := n.missingEntries(m.Entries)
	if len(missing) > 0 {
		first := missing[0].Index
		if first <= n.disk.handedOutIndex && n.disk.inFlight() {
			n.deferred = &m // the entries would replace entries being written
			return
		}
		if first <= n.log.lastIndex() {
			n.truncateLog(first)
		}
		for _, e := range missing {
			n.appendEntry(e)
		}
	}
	last := m.Index + uint64(len(m.Entries))
	n.setCommit(min(m.Commit, last))
	n.sendDurable(last, Message[C, S]{Kind: MsgAppendReply, To: m.From, Index: last, Sent: m.Sent})
}

// firstNew returns the entries from the first one on that the log lacks or
// holds with another term.
func (n *Node[C, S]) missingEntries(entries []Entry[C]) []Entry[C] {
	for i, e := range entries {
		if e.Index <= n.log.prevIndex || n.log.matchesTerm(e.Index, e.Term) {
			continue
		}
		return entries[i:]
	}
	return nil
}

func (n *Node[C, S]) setCommit(index uint64) {
	index = min(index, n.log.lastIndex())
	if index <= n.log.commit {
		return
	}
	n.log.commit = index
	n.stepDownIfRemoved()
}

// replyFrom does what all replies to a leader have in common. It returns nil
// when the reply is of no further use.
func (n *Node[C, S]) recordReply(m Message[C, S]) *progress {
	n.observeTerm(m.Term)
	if n.role != Leader || m.Term != n.term {
		return nil
	}
	p := n.peer(m.From)
	if p == nil {
		return nil
	}
	p.lastHeard = n.now
	p.ackedSendTime = max(p.ackedSendTime, m.Sent)
	return p
}

func (n *Node[C, S]) handleAppendReply(m Message[C, S]) bool {
	p := n.recordReply(m)
	if p == nil {
		return true
	}
	if m.Index > n.log.lastIndex() {
		return false
	}
	if m.Reject {
		n.handleRejection(p, m)
		return true
	}
	if p.acknowledge(m.Index, n.now) {
		n.handleMatchAdvance()
	}
	return true
}

// backOff continues before an append that was rejected. Rejections of appends
// that are no longer the latest are ignored.
func (n *Node[C, S]) handleRejection(p *progress, m Message[C, S]) {
	if m.Index < p.match || p.state == stateSnapshot {
		return
	}
	if m.Index == p.match {
		n.rewindMatch(p, m)
		return
	}
	if p.state == stateReplicate {
		p.startProbing(p.match + 1)
		return
	}
	if m.Index != p.next-1 {
		return
	}
	hint := n.log.lastIndexWithTermAtMost(min(m.Hint, m.Index-1), m.LogTerm)
	p.startProbing(hint + 1)
}

// rewind continues at the end of a log that is shorter than what its node has
// acknowledged: its data folder was replaced by an older copy. The entries are
// sent again. What the node voted for in the meantime is not known, so a
// restored folder is safe only while a majority of the other voters is intact.
func (n *Node[C, S]) rewindMatch(p *progress, m Message[C, S]) {
	if m.Hint >= p.match {
		return
	}
	p.match = n.log.lastIndexWithTermAtMost(m.Hint, m.LogTerm)
	p.startProbing(p.match + 1)
}

// afterAcknowledge acts on a higher match of a peer.
func (n *Node[C, S]) handleMatchAdvance() {
	n.advanceCommit()
	if n.role != Leader {
		return
	}
	n.maybeSendTimeoutNow()
	n.changeVoters()
}

// maybeCommit commits what a majority has on disk. Only entries of the
// leader's own term are counted; earlier ones are committed with them.
func (n *Node[C, S]) advanceCommit() {
	index := n.quorumMatch()
	if index <= n.log.commit {
		return
	}
	if term, _ := n.log.term(index); term != n.term {
		return
	}
	n.setCommit(index)
}

// quorumMatch returns the highest index that a majority of the voters has on
// disk.
func (n *Node[C, S]) quorumMatch() uint64 {
	voters := n.membership().voters
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, n.matchIndexOf(id))
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}

func (n *Node[C, S]) matchIndexOf(id NodeID) uint64 {
	if id == n.cfg.ID {
		return n.disk.persistedIndex
	}
	if p := n.peer(id); p != nil {
		return p.match
	}
	return 0
}
