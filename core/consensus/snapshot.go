package consensus

// handleSnapshot installs a snapshot of the leader, unless the log already
// contains its last entry.
func (n *Node[C, S]) handleSnapshot(m Message[C, S]) bool {
	if m.Term < n.term {
		return n.refuseOldLeader(m)
	}
	if !n.acceptLeader(m) {
		return false
	}
	snap := *m.Snapshot
	switch {
	case snap.Index <= n.log.commit:
	case n.log.matches(snap.Index, snap.Term):
		n.commitTo(snap.Index)
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
	n.install = &snap
	n.disk.takenIndex = 0
	n.disk.persistedIndex = 0
	n.membershipChanged()
}

func (n *Node[C, S]) handleSnapshotReply(m Message[C, S]) bool {
	p := n.replyFrom(m)
	if p == nil {
		return true
	}
	if m.Index > n.log.lastIndex() {
		return false
	}
	if p.state == stateSnapshot {
		p.probe(m.Index + 1)
	}
	if p.acknowledge(m.Index, n.now) {
		n.afterAcknowledge()
	}
	return true
}
