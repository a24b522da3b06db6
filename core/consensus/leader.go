package consensus

import "primrosedale.example/primrosedale/core/model"

// leadership is the state of a leader in its term.
type leadership struct {
	peers           []*progress // in the order in which they were added
	noopIndex       uint64      // index of the first entry of the term
	lastHeartbeat   model.Time  // last heartbeat
	heartbeatRounds int         // rounds of heartbeats sent
	transfer        transfer
}

// transfer is a hand-over of the leadership.
type transfer struct {
	transferee     NodeID
	deadline       model.Time
	timeoutNowSent bool // MsgTimeoutNow was sent
}

func (t transfer) active() bool {
	return t.transferee != NodeID{}
}

func (n *Node[C, S]) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.votes = nil
	n.leadership = leadership{}
	n.addVoterPeers()
	n.propose(Entry[C]{Kind: EntryNoop})
	n.leadership.noopIndex = n.log.lastIndex()
	n.sendHeartbeats()
}

func (n *Node[C, S]) noopCommitted() bool {
	return n.role == Leader && n.log.commit >= n.leadership.noopIndex
}

func (n *Node[C, S]) tickLeader() {
	if !n.isQuorumActive() || n.expireTransfer() {
		n.becomeFollower()
		return
	}
	n.removeSilentNonVoters()
	n.resetUnansweredPeers()
	n.changeVoters()
	if n.now.Sub(n.leadership.lastHeartbeat) >= n.cfg.HeartbeatInterval {
		n.sendHeartbeats()
	}
	n.sendCommits()
}

// heardQuorum implements check-quorum.
func (n *Node[C, S]) isQuorumActive() bool {
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
	if n.role != Leader || n.leadership.transfer.active() {
		return n.role == Leader
	}
	successor := n.mostAdvancedVoter()
	if successor == nil {
		return false
	}
	n.leadership.transfer = transfer{transferee: successor.id, deadline: n.now.Add(n.cfg.ElectionTimeoutMax)}
	n.maybeSendTimeoutNow()
	return true
}

func (n *Node[C, S]) mostAdvancedVoter() *progress {
	var best *progress
	for _, p := range n.leadership.peers {
		heard := n.now.Sub(p.lastHeard) < n.cfg.ElectionTimeoutMin
		if !heard || !n.membership().contains(p.id) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

// continueTransfer sends MsgTimeoutNow once the target has the whole log.
func (n *Node[C, S]) maybeSendTimeoutNow() {
	t := &n.leadership.transfer
	if !t.active() || t.timeoutNowSent {
		return
	}
	p := n.peer(t.transferee)
	if p == nil || p.match < n.log.lastIndex() {
		return
	}
	t.timeoutNowSent = true
	n.send(Message[C, S]{Kind: MsgTimeoutNow, To: t.transferee})
}

// transferFailed reports whether the leader must step down after a transfer
// without result. A transfer that was not yet sent is given up instead.
func (n *Node[C, S]) expireTransfer() bool {
	t := n.leadership.transfer
	if !t.active() || n.now < t.deadline {
		return false
	}
	if !t.timeoutNowSent {
		n.leadership.transfer = transfer{}
	}
	return t.timeoutNowSent
}
