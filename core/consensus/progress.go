package consensus

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// progressState determines how the leader sends entries to a peer.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until the logs match
	stateReplicate                      // appends are pipelined
	stateSnapshot                       // a snapshot was sent and is not yet acknowledged
)

// progress is what the leader knows about a peer.
type progress struct {
	id              NodeID
	state           progressState
	match           uint64     // highest index known to be on the peer's disk
	next            uint64     // next index to send
	inflight        []uint64   // last index of each unanswered append
	unansweredSince model.Time // when the oldest unanswered append or snapshot was sent, or the last answer
	lastHeard       model.Time // time of the last reply or join, or the start of the replication
	ackedSendTime   model.Time // latest send time that the peer echoed, in the leader's clock
	heard           bool       // it voted for this leader or has replied in its term
	durable         bool

	// sentCommit is the highest commit index that was sent to the peer. If that
	// message is lost, the next heartbeat replaces it.
	sentCommit uint64
}

// startProbing sends one append at a time, from next on, until the logs match.
func (p *progress) startProbing(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.inflight = p.inflight[:0]
}

// recordAppend records that an append with entries up to last was sent.
func (p *progress) recordAppend(last uint64, now model.Time) {
	if len(p.inflight) == 0 {
		p.unansweredSince = now
	}
	p.inflight = append(p.inflight, last)
	if p.state == stateReplicate {
		p.next = last + 1
	}
}

// acknowledge records that the logs match up to index. It reports whether match has
// increased.
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

// isPaused reports whether no further append may be sent until the peer answers.
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

// addVoterPeers starts the replication to new voters. Removed voters remain as
// non-voter peers until they have been silent for nonVoterTimeout, so that they
// learn of their removal.
func (n *Node[C, S]) addVoterPeers() {
	for _, id := range n.membership().all() {
		if id != n.cfg.ID && n.peer(id) == nil {
			n.addPeer(id)
		}
	}
}
