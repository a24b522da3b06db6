package consensus

import "primrosedale.example/primrosedale/core/model"

// Status is a copy of the state of a node, for views and metrics.
type Status struct {
	BasicStatus
	Peers []PeerStatus // of a leader; empty otherwise
}

// BasicStatus is the part of Status that is built without allocation, so that it can
// be read on each event.
type BasicStatus struct {
	Role            Role
	Term            uint64
	Leader          NodeID // empty if unknown
	Commit          uint64
	Applied         uint64 // last index handed out in Output.Committed
	Persisted       uint64 // last index on disk
	LastIndex       uint64
	Voters          []NodeID
	LeaderLastHeard model.Time // time of the latest message from the leader; not updated on the leader
	Retired         bool       // a committed entry removed this identity
	Ignored         uint64     // number of messages that were malformed, invalid in the current state or for another node
}

// PeerStatus is the state of a peer as the leader knows it.
type PeerStatus struct {
	ID        NodeID
	Voter     bool
	Match     uint64     // highest index known to be on the peer's disk
	LastHeard model.Time // in the leader's clock
}

// Status returns the state of the node, with its peers if it is the leader.
func (n *Node[C, S]) Status() Status {
	current := n.membership()
	s := Status{BasicStatus: n.BasicStatus()}
	for _, p := range n.leadership.peers {
		s.Peers = append(s.Peers, PeerStatus{
			ID:        p.id,
			Voter:     current.contains(p.id),
			Match:     p.match,
			LastHeard: p.lastHeard,
		})
	}
	return s
}

// BasicStatus returns the state of the node without its peers. The voters are shared
// with the node and must not be modified.
func (n *Node[C, S]) BasicStatus() BasicStatus {
	return BasicStatus{
		Role:            n.role,
		Term:            n.term,
		Leader:          n.leader,
		Commit:          n.log.commit,
		Applied:         n.log.applied,
		Persisted:       n.disk.persistedIndex,
		LastIndex:       n.log.lastIndex(),
		Voters:          n.membership().voters,
		LeaderLastHeard: n.lastHeard,
		Retired:         n.isRetired(),
		Ignored:         n.ignored,
	}
}
