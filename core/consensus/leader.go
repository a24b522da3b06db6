package consensus

import "primrosedale.example/primrosedale/core/model"

// leadership is the state of a leader in its term.
type leadership struct {
	peers       []*progress // in the order in which they were added
	noop        uint64      // index of the first entry of the term
	heartbeatAt model.Time  // last heartbeat
	transfer    transfer
}

// transfer is a hand-over of the leadership.
type transfer struct {
	target   NodeID
	deadline model.Time
	sent     bool // MsgTimeoutNow was sent
}

func (t transfer) active() bool {
	return t.target != NodeID{}
}

func (n *Node[C, S]) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.votes = nil
	n.leading = leadership{}
	n.updatePeers()
	n.propose(Entry[C]{Kind: EntryNoop})
	n.leading.noop = n.log.lastIndex()
	n.sendHeartbeats()
}

func (n *Node[C, S]) noopCommitted() bool {
	return n.role == Leader && n.log.commit >= n.leading.noop
}

func (n *Node[C, S]) tickLeader() {
	if !n.heardQuorum() || n.transferFailed() {
		n.becomeFollower()
		return
	}
	n.forgetSilentLearners()
	n.retryUnanswered()
	n.changeVoters()
	if n.now.Sub(n.leading.heartbeatAt) >= n.cfg.HeartbeatInterval {
		n.sendHeartbeats()
	}
	n.sendCommits()
}

// heardQuorum implements check-quorum.
func (n *Node[C, S]) heardQuorum() bool {
	return n.membership().hasQuorum(func(id NodeID) bool {
		if id == n.cfg.ID {
			return true
		}
		p := n.peer(id)
		return p != nil && n.now.Sub(p.lastHeard) < n.cfg.ElectionTimeoutMax
	})
}

// TransferLeadership asks the most advanced voter to take over, as soon as it
// has the whole log. Until then proposals are refused. It returns false when
// this node does not lead or no other voter is heard. A transfer that does
// not get as far as MsgTimeoutNow within ElectionTimeoutMax is given up; one
// that does, and has no result, ends the leadership.
func (n *Node[C, S]) TransferLeadership(now model.Time) bool {
	n.now = max(n.now, now)
	if n.role != Leader || n.leading.transfer.active() {
		return n.role == Leader
	}
	target := n.mostAdvancedVoter()
	if target == nil {
		return false
	}
	n.leading.transfer = transfer{target: target.id, deadline: n.now.Add(n.cfg.ElectionTimeoutMax)}
	n.continueTransfer()
	return true
}

func (n *Node[C, S]) mostAdvancedVoter() *progress {
	var best *progress
	for _, p := range n.leading.peers {
		heard := n.now.Sub(p.lastHeard) < n.cfg.ElectionTimeoutMin
		if !heard || !n.membership().has(p.id) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

// continueTransfer sends MsgTimeoutNow once the target has the whole log.
func (n *Node[C, S]) continueTransfer() {
	t := &n.leading.transfer
	if !t.active() || t.sent {
		return
	}
	p := n.peer(t.target)
	if p == nil || p.match < n.log.lastIndex() {
		return
	}
	t.sent = true
	n.send(Message[C, S]{Kind: MsgTimeoutNow, To: t.target})
}

// transferFailed reports whether the leader must step down after a transfer
// without result. A transfer that was not yet sent is given up instead.
func (n *Node[C, S]) transferFailed() bool {
	t := n.leading.transfer
	if !t.active() || n.now < t.deadline {
		return false
	}
	if !t.sent {
		n.leading.transfer = transfer{}
	}
	return t.sent
}
