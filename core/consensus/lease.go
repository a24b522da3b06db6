package consensus

import "primrosedale.example/primrosedale/core/model"

// HoldsLeaderLease reports whether no other node can be the leader at now: this node
// is the leader, the no-op of its term is committed, and a majority of the voters
// has acknowledged a message that was sent within the shortest election timeout,
// less 10% for clock drift. The result is valid only for that point in time.
func (n *Node[C, S]) HoldsLeaderLease(now model.Time) bool {
	if !n.noopCommitted() || n.leadership.transfer.timeoutNowSent {
		return false
	}
	duration := n.cfg.ElectionTimeoutMin - n.cfg.ElectionTimeoutMin/10
	return now < n.quorumAck(now).Add(duration)
}

// quorumAck returns the latest time t such that a majority of the voters has
// acknowledged a message sent at t or later. The leader counts as acknowledging at
// now.
func (n *Node[C, S]) quorumAck(now model.Time) model.Time {
	return quorumValue(n.membership(), func(id NodeID) model.Time { return n.ackOf(id, now) })
}

func (n *Node[C, S]) ackOf(id NodeID, now model.Time) model.Time {
	if id == n.cfg.ID {
		return now
	}
	if p := n.peer(id); p != nil {
		return p.ackedSendTime
	}
	return 0
}
