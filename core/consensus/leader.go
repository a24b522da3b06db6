package consensus

import "primrosedale.example/primrosedale/core/model"

// leadership is the state of a leader in its term.
type leadership struct {
	peers           []*progress // in the order of addition
	noopIndex       uint64      // index of the no-op, the first entry of the term
	lastHeartbeat   model.Time  // time of the last round of heartbeats
	heartbeatRounds int         // number of rounds of heartbeats sent
	transfer        transfer
	since           model.Time // when the term of this leader began
	lastTick        model.Time
}

// transfer is the state of a leadership transfer.
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
	n.leadership = leadership{since: n.now, lastTick: n.now}
	n.addVoterPeers()
	for _, p := range n.leadership.peers {
		p.heard = n.votes[p.id]
	}
	n.preVotes, n.votes = nil, nil
	n.votingEnds = 0
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
	n.leadership.lastTick = n.now
	if n.now.Sub(n.leadership.lastHeartbeat) >= n.cfg.HeartbeatInterval {
		n.sendHeartbeats()
	}
	n.sendCommits()
}

// isQuorumActive reports whether a majority of the voters, including this node, was
// heard within ElectionTimeoutMax (check-quorum).
func (n *Node[C, S]) isQuorumActive() bool {
	return n.membership().hasQuorum(func(id NodeID) bool {
		if id == n.cfg.ID {
			return true
		}
		p := n.peer(id)
		return p != nil && n.now.Sub(p.lastHeard) < n.cfg.ElectionTimeoutMax
	})
}

// TransferLeadership starts a transfer of the leadership to the most advanced voter,
// which is asked to campaign as soon as it has the whole log. Proposals are refused
// until the transfer ends. It returns false if this node is not the leader or no
// other voter was heard within ElectionTimeoutMin. If MsgTimeoutNow could not be
// sent within ElectionTimeoutMax, the transfer is cancelled; if it was sent and no
// new leader has appeared by then, this node steps down.
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

// maybeSendTimeoutNow sends MsgTimeoutNow once the transferee has the whole log.
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

// expireTransfer ends a transfer whose deadline has passed. It reports whether the
// leader must step down because MsgTimeoutNow was already sent; otherwise the
// transfer is cancelled.
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
