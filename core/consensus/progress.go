package consensus

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// progressState is how the leader sends entries to a peer.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until the logs match
	stateReplicate                      // appends are pipelined
	stateSnapshot                       // waits for the answer to a snapshot
)

// progress is what a leader knows of a peer.
type progress struct {
	id              NodeID
	state           progressState
	match           uint64     // highest index known to be on the peer's disk
	next            uint64     // next index to send
	inflight        []uint64   // last index of each append that is not answered
	unansweredSince model.Time // of the oldest message that is not answered
	lastHeard       model.Time // last reply, or the start of the replication
	ackedSendTime   model.Time // latest leader time that the peer echoed
	durable         bool

	// commitSent is the highest commit index that was sent to the peer. A
	// message that was lost is made up for by the next heartbeat.
	sentCommit uint64
}

func (p *progress) startProbing(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.inflight = p.inflight[:0]
}

// sent records an append up to last.
func (p *progress) recordAppend(last uint64, now model.Time) {
	if len(p.inflight) == 0 {
		p.unansweredSince = now
	}
	p.inflight = append(p.inflight, last)
	if p.state == stateReplicate {
		p.next = last + 1
	}
}

// acknowledge records that entries up to index match, and reports whether
// match has grown.
func (p *progress) acknowledge(index uint64, now model.Time) bool {
	if index < p.match {
		return false
	}
	if p.state == stateProbe && index+1 >= p.next {
		p.state = stateReplicate
		p.inflight = p.inflight[:0]
	}
	answered := 0
	for answered < len(p.inflight) && p.inflight[answered] <= index {
		answered++
	}
	if answered > 0 {
		p.inflight = slices.Delete(p.inflight, 0, answered)
		p.unansweredSince = now
	}
	grown := index > p.match
	p.match = index
	p.next = max(p.next, index+1)
	return grown
}

// isPaused reports whether no append may be sent before an answer.
func (p *progress) isPaused(maxInflight int) bool {
	switch p.state {
	case stateProbe:
		return len(p.inflight) > 0
	case stateSnapshot:
		return true
	}
	return len(p.inflight) >= maxInflight
}

func (n *Node[C, S]) peer(id NodeID) *progress {
	for _, p := range n.leadership.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (n *Node[C, S]) addPeer(id NodeID) *progress {
	p := &progress{id: id, next: n.log.lastIndex() + 1, lastHeard: n.now}
	n.leadership.peers = append(n.leadership.peers, p)
	return p
}

func (n *Node[C, S]) removePeer(id NodeID) {
	n.leadership.peers = slices.DeleteFunc(n.leadership.peers, func(p *progress) bool { return p.id == id })
}

// updatePeers adds voters that are new. Voters that were removed stay as
// non-voters until they are silent, so that they learn of their removal.
func (n *Node[C, S]) addVoterPeers() {
	for _, id := range n.membership().voters {
		if id != n.cfg.ID && n.peer(id) == nil {
			n.addPeer(id)
		}
	}
}
