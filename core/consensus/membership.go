package consensus

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

const (
	// nonVoterTimeout is the time without a message after which the leader stops
	// replicating to a non-voter.
	nonVoterTimeout = 10 * model.Second
	// catchUpEntries is the maximum number of entries by which a non-voter may lag
	// when it becomes a voter, so that it does not delay commits for long.
	catchUpEntries = 64
)

// membership is the voter set as of an entry of the log, with the identities that
// have left the voter set. Its slices are never modified.
type membership struct {
	index   uint64   // of the entry
	voters  []NodeID // in the order of addition
	retired []NodeID
}

func (m membership) contains(id NodeID) bool {
	return slices.Contains(m.voters, id)
}

// hasQuorum reports whether the predicate holds for a majority of the voters.
func (m membership) hasQuorum(predicate func(NodeID) bool) bool {
	count := 0
	for _, id := range m.voters {
		if predicate(id) {
			count++
		}
	}
	return count > len(m.voters)/2
}

// next returns the membership after an entry with a new voter set.
func (m membership) next(index uint64, voters []NodeID) membership {
	retired := slices.Clone(m.retired)
	for _, id := range m.voters {
		if !slices.Contains(voters, id) {
			retired = append(retired, id)
		}
	}
	return membership{index: index, voters: voters, retired: retired}
}

func (m membership) hasHost(host model.HostID) bool {
	return slices.ContainsFunc(m.voters, func(id NodeID) bool { return id.Host == host })
}

// voterOf returns the voter of a host, or false if the host has none.
func (m membership) voterOf(host model.HostID) (NodeID, bool) {
	i := slices.IndexFunc(m.voters, func(id NodeID) bool { return id.Host == host })
	if i < 0 {
		return NodeID{}, false
	}
	return m.voters[i], true
}

// hostsBeingReplaced returns the hosts whose earlier identity has left the voter set
// and that have no voter now.
func (m membership) hostsBeingReplaced() []model.HostID {
	var hosts []model.HostID
	for _, id := range m.retired {
		if !m.hasHost(id.Host) && !slices.Contains(hosts, id.Host) {
			hosts = append(hosts, id.Host)
		}
	}
	return hosts
}

// membership returns the voter set in effect, which may be uncommitted.
func (n *Node[C, S]) membership() membership {
	return n.memberships[len(n.memberships)-1]
}

// membershipAt returns the membership as of index, or false if it is not known any
// more.
func (n *Node[C, S]) membershipAt(index uint64) (membership, bool) {
	for i := len(n.memberships) - 1; i >= 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i], true
		}
	}
	return membership{}, false
}

// isRetired reports whether a committed entry removed this identity from the voter
// set.
func (n *Node[C, S]) isRetired() bool {
	m, ok := n.membershipAt(n.log.commit)
	return ok && slices.Contains(m.retired, n.cfg.ID)
}

// appendEntry appends an entry to the log. A voter set takes effect at once.
func (n *Node[C, S]) appendEntry(e Entry[C]) {
	n.log.append(e)
	if e.Kind != EntryVoters {
		return
	}
	n.memberships = append(n.memberships, n.membership().next(e.Index, e.Voters))
	n.applyMembership()
}

// truncateLog removes the entries from index on, which are not committed, and their
// voter sets.
func (n *Node[C, S]) truncateLog(index uint64) {
	n.log.truncate(index)
	n.disk.truncate(index)
	before := len(n.memberships)
	for n.membership().index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
	if len(n.memberships) < before {
		n.applyMembership()
	}
}

// compactMemberships removes the memberships that were replaced at or before index.
func (n *Node[C, S]) compactMemberships(index uint64) {
	first := 0
	for first+1 < len(n.memberships) && n.memberships[first+1].index <= index {
		first++
	}
	n.memberships = slices.Clone(n.memberships[first:])
}

// applyMembership adapts the peers of a leader, or the role of another node, to the
// membership in effect.
func (n *Node[C, S]) applyMembership() {
	if n.role == Leader {
		n.addVoterPeers()
		return
	}
	if passive := n.passiveRole(); passive == NonVoter || n.role == NonVoter {
		n.becomeFollower()
	}
}

// stepDownIfRemoved ends the leadership once the removal of this node from the voter
// set is committed.
func (n *Node[C, S]) stepDownIfRemoved() {
	if n.role == Leader && n.isRetired() {
		n.becomeFollower()
	}
}

// changeVoters proposes the next change of the voter set, if one is possible.
func (n *Node[C, S]) changeVoters() {
	current := n.membership()
	if current.index > n.log.commit || !n.noopCommitted() || n.leadership.transfer.active() {
		return
	}
	for _, p := range n.leadership.peers {
		if !n.isEligibleVoter(p, current) {
			continue
		}
		if voters, ok := n.nextVoters(p, current); ok {
			n.propose(Entry[C]{Kind: EntryVoters, Voters: voters})
			return
		}
	}
}

// isEligibleVoter reports whether a non-voter can become a voter: it is durable and
// not retired, was heard recently, and has caught up in the current term.
func (n *Node[C, S]) isEligibleVoter(p *progress, current membership) bool {
	if current.contains(p.id) || !p.durable || slices.Contains(current.retired, p.id) {
		return false
	}
	if p.match < n.leadership.noopIndex || p.match+catchUpEntries < n.log.lastIndex() {
		return false
	}
	return n.now.Sub(p.lastHeard) <= n.cfg.ElectionTimeoutMin
}

// nextVoters returns the next voter set on the way to one that includes an eligible
// non-voter. The earlier identity of its host is removed before the non-voter is
// added. In the reverse order, three voters of which one is lost would become four;
// if the new disk were lost as well, the remaining two would not be a majority.
func (n *Node[C, S]) nextVoters(p *progress, current membership) ([]NodeID, bool) {
	if old, ok := current.voterOf(p.id.Host); ok {
		return removeID(current.voters, old), n.isSilent(old)
	}
	replacedHosts := current.hostsBeingReplaced()
	isNew := !slices.Contains(replacedHosts, p.id.Host)
	if isNew && len(current.voters)+len(replacedHosts) >= n.cfg.MaxVoters {
		return nil, false
	}
	return append(slices.Clone(current.voters), p.id), true
}

// isSilent reports whether a voter was not heard within the shortest election
// timeout. A voter that is still heard is not replaced, so that two processes that
// run for one host by mistake do not replace each other.
func (n *Node[C, S]) isSilent(id NodeID) bool {
	p := n.peer(id)
	return p != nil && n.now.Sub(p.lastHeard) > n.cfg.ElectionTimeoutMin
}

func removeID(ids []NodeID, id NodeID) []NodeID {
	return slices.DeleteFunc(slices.Clone(ids), func(other NodeID) bool { return other == id })
}

// joinState is the state of the search for a leader by a node that is not, or may
// not be, a voter.
type joinState struct {
	nextPeer int // index into Config.Peers, modulo its length
	lastSent model.Time
}

// tickNonVoter searches for a leader while none is heard, unless this identity is
// retired.
func (n *Node[C, S]) tickNonVoter() {
	heard := n.leader != NodeID{} && n.now.Sub(n.lastHeard) < n.cfg.ElectionTimeoutMin
	if !heard && !n.isRetired() {
		n.sendJoin()
	}
}

// isMembershipUncommitted reports whether the entry that made this node a voter is
// not known to be committed. If that entry was lost with its leader, the current
// leader does not know this node, which then has to join like a non-voter.
func (n *Node[C, S]) isMembershipUncommitted() bool {
	m, ok := n.membershipAt(n.log.commit)
	return !ok || !m.contains(n.cfg.ID)
}

// sendJoin sends MsgJoin to the next peer in turn, at most four times per heartbeat
// interval.
func (n *Node[C, S]) sendJoin() {
	if len(n.cfg.Peers) == 0 || n.now.Sub(n.joinState.lastSent) < n.cfg.HeartbeatInterval/4 {
		return
	}
	n.joinState.lastSent = n.now
	host := n.cfg.Peers[n.joinState.nextPeer%len(n.cfg.Peers)]
	n.joinState.nextPeer++
	if host == n.cfg.ID.Host {
		return
	}
	n.send(Message[C, S]{
		Kind:    MsgJoin,
		To:      NodeID{Host: host},
		Index:   n.disk.persistedIndex,
		Durable: n.cfg.Durable,
	})
}

// AddPeers adds hosts to the peers that are sent MsgJoin. The configured hosts may no
// longer exist, or may be followers, which cannot accept a join.
func (n *Node[C, S]) AddPeers(hosts ...model.HostID) {
	for _, h := range hosts {
		if h != "" && h != n.cfg.ID.Host && !slices.Contains(n.cfg.Peers, h) {
			n.cfg.Peers = append(slices.Clip(n.cfg.Peers), h)
		}
	}
}

// handleJoin starts, restarts or renews the replication to a non-voter.
func (n *Node[C, S]) handleJoin(m Message[C, S]) bool {
	if n.role != Leader {
		return true
	}
	current := n.membership()
	if current.contains(m.From) {
		return true
	}
	if slices.Contains(current.retired, m.From) {
		return false
	}
	p := n.peer(m.From)
	if p == nil || m.Index < p.match {
		n.removePeer(m.From)
		p = n.addPeer(m.From)
		p.next = min(m.Index, n.log.lastIndex()) + 1
	}
	p.durable = m.Durable
	p.lastHeard = n.now
	return true
}

// removeSilentNonVoters stops the replication to non-voters that were not heard
// within nonVoterTimeout.
func (n *Node[C, S]) removeSilentNonVoters() {
	current := n.membership()
	n.leadership.peers = slices.DeleteFunc(n.leadership.peers, func(p *progress) bool {
		return !current.contains(p.id) && n.now.Sub(p.lastHeard) > nonVoterTimeout
	})
}
