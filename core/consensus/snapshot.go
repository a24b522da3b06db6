package consensus

// handleSnapshot installs a snapshot from the leader, unless the log already
// contains its last entry.
func (n *Node[C, S]) handleSnapshot(m Message[C, S]) bool {
	if m.Term < n.term {
		return n.rejectStaleLeader(m)
	}
	if !n.followSender(m) {
		return false
	}
	snap := *m.Snapshot
	switch {
	case snap.Index <= n.log.commit:
	case n.log.matchesTerm(snap.Index, snap.Term):
		n.setCommit(snap.Index)
	case n.disk.inFlight():
		n.deferred = &m // the snapshot would replace entries being written
		return true
	default:
		n.installSnapshot(snap)
	}
	n.sendDurable(snap.Index, Message[C, S]{Kind: MsgSnapshotReply, To: m.From, Index: snap.Index, Sent: m.Sent})
	return true
}

func (n *Node[C, S]) installSnapshot(snap Snapshot[S]) {
	n.restoreSnapshot(snap)
	n.snapshotToInstall = &snap
	n.disk.handedOutIndex = 0
	n.disk.persistedIndex = 0
	n.applyMembership()
}

func (n *Node[C, S]) handleSnapshotReply(m Message[C, S]) bool {
	p := n.recordReply(m)
	if p == nil {
		return true
	}
	if m.Index > n.log.lastIndex() {
		return false
	}
	if p.state == stateSnapshot {
		p.startProbing(m.Index + 1)
	}
	if p.acknowledge(m.Index, n.now) {
		n.handleMatchAdvance()
	}
	return true
}
