package consensus

import "primrosedale.example/primrosedale/core/model"

const (
	// nonVoterHeartbeatPeriod is the number of heartbeat intervals between two
	// heartbeats to a non-voter. Non-voters take no part in elections, and
	// heartbeats are most of the traffic of an idle host.
	nonVoterHeartbeatPeriod = 3
	// appendTimeoutHeartbeats is the number of heartbeat intervals after which an
	// unanswered append is considered lost.
	appendTimeoutHeartbeats = 2
	// snapshotTimeout is the time after which an unanswered snapshot is considered
	// lost. It is longer than that of an append, because a snapshot takes longer to
	// send and to write.
	snapshotTimeout = 2 * model.Second
	// maxAppendSize limits the commands of one append, in bytes, unless a single
	// command is larger. Without it, 256 stored answers of 64 KiB formed one message
	// of 22 MB, and the receiver's leases were delayed until it had arrived.
	maxAppendSize = 256 << 10
)

// sendHeartbeats sends an empty append to every voter, and in every
// nonVoterHeartbeatPeriod-th round to the non-voters as well.
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

// sendCommits sends the commit index to the peers that do not have it yet. Otherwise
// they would receive it with the next heartbeat, and would apply changes of the
// configuration only then.
func (n *Node[C, S]) sendCommits() {
	for _, p := range n.leadership.peers {
		if p.sentCommit < min(n.log.commit, p.match) {
			n.sendHeartbeat(p)
		}
	}
}

// sendHeartbeat sends an empty append at the index known to match, so that it is
// accepted whatever other appends are in flight.
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

// sendAppends sends each peer the entries that it lacks, within the limits of flow
// control.
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

// sizedCommand is a command that reports its encoded size in bytes.
type sizedCommand interface{ Size() int }

// lastIndexOfAppend returns the index of the last entry of an append that begins
// with first. The size of an append is limited, because one that takes longer to
// arrive than the time after which it is considered lost would be resent again and
// again.
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

// resetUnansweredPeers returns to probing the peers whose answer to an append or a
// snapshot is overdue.
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

// followSender handles the term of a message that only a leader sends and records
// its sender as the leader. It returns false if the sender cannot be the leader of
// the current term.
func (n *Node[C, S]) followSender(m Message[C, S]) bool {
	n.observeTerm(m.Term)
	if n.role == Leader || (n.leader != NodeID{} && n.leader != m.From) {
		return false
	}
	n.recordLeaderMessage(m.From)
	return true
}

// rejectStaleLeader informs a leader of an earlier term about the current term.
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

// appendConflictsWithCommitted reports whether an append contains another term for a
// committed entry, which no correct leader sends.
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

// rejectAppend replies with the last index at which the logs may match: it skips
// entries of terms later than that of the leader's entry at the rejected index.
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

// acceptEntries stores the entries of an append whose preceding entry matches.
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

// missingEntries returns the entries from the first one that the log lacks or has
// with another term.
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

// recordReply performs what is common to all replies to a leader. It returns the
// progress of the sender, or nil if the reply needs no further handling.
func (n *Node[C, S]) recordReply(m Message[C, S]) *progress {
	n.observeTerm(m.Term)
	if n.role != Leader || m.Term != n.term {
		return nil
	}
	p := n.peer(m.From)
	if p == nil {
		return nil
	}
	p.lastHeard, p.heard = n.now, true
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

// handleRejection continues with the entries before a rejected append. Rejections of
// appends that are not the latest are ignored.
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

// rewindMatch lowers the match of a peer whose log is shorter than what it has
// acknowledged, because its data folder was replaced by an older copy. The missing
// entries are sent again. The votes that it gave since the copy are not known, so a
// restored folder is safe only while a majority of the other voters is intact.
func (n *Node[C, S]) rewindMatch(p *progress, m Message[C, S]) {
	if m.Hint >= p.match {
		return
	}
	p.match = n.log.lastIndexWithTermAtMost(m.Hint, m.LogTerm)
	p.startProbing(p.match + 1)
}

// handleMatchAdvance performs what may have become possible with a higher match of a
// peer.
func (n *Node[C, S]) handleMatchAdvance() {
	n.advanceCommit()
	if n.role != Leader {
		return
	}
	n.maybeSendTimeoutNow()
	n.changeVoters()
}

// advanceCommit commits the entries that a majority has on disk. Replicas are
// counted only for entries of the leader's own term; earlier entries are committed
// with them.
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
	return quorumValue(n.membership(), n.matchIndexOf)
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
