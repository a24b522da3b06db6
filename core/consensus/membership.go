package consensus

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

const (
	// learnerTimeout is the silence after which the leader forgets a node
	// that is not a voter.
	nonVoterTimeout = 10 * model.Second
	// catchUpEntries is the number of entries by which a non-voter may lag
	// when it becomes a voter, so that it does not delay commits for long.
	catchUpEntries = 64
)

// membership is a voter set and the identities that left it, as of an entry.
// Its slices are never modified.
type membership struct {
	index   uint64
	voters  []NodeID // in the order in which they were added
	retired []NodeID
}

func (m membership) contains(id NodeID) bool {
	return slices.Contains(m.voters, id)
}

// hasQuorum reports whether has holds for a majority of the voters.
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

// identityOf returns the voter of a host.
func (m membership) voterOf(host model.HostID) (NodeID, bool) {
	i := slices.IndexFunc(m.voters, func(id NodeID) bool { return id.Host == host })
	if i < 0 {
		return NodeID{}, false
	}
	return m.voters[i], true
}

// vacancies returns the hosts whose earlier identity left the voter set and
// whose later one is not yet in it.
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

// membershipAt returns the membership as of index.
func (n *Node[C, S]) membershipAt(index uint64) (membership, bool) {
	for i := len(n.memberships) - 1; i >= 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i], true
		}
	}
	return membership{}, false
}

// isRetired reports whether a committed entry removed this identity.
func (n *Node[C, S]) isRetired() bool {
	m, ok := n.membershipAt(n.log.commit)
	return ok && slices.Contains(m.retired, n.cfg.ID)
}

// appendEntry appends one entry; a voter set takes effect at once.
func (n *Node[C, S]) appendEntry(e Entry[C]) {
	n.log.append(e)
	if e.Kind != EntryVoters {
		return
	}
	n.memberships = append(n.memberships, n.membership().next(e.Index, e.Voters))
	n.applyMembership()
}

// truncateLog drops entries that are not committed, and their voter sets.
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

func (n *Node[C, S]) compactMemberships(index uint64) {
	first := 0
	for first+1 < len(n.memberships) && n.memberships[first+1].index <= index {
		first++
	}
	n.memberships = slices.Clone(n.memberships[first:])
}

// membershipChanged adapts the role, or the peers of a leader.
func (n *Node[C, S]) applyMembership() {
	if n.role == Leader {
		n.addVoterPeers()
		return
	}
	if passive := n.passiveRole(); passive == NonVoter || n.role == NonVoter {
		n.becomeFollower()
	}
}

// afterCommit acts on voter sets that have become committed.
func (n *Node[C, S]) stepDownIfRemoved() {
	if n.role == Leader && n.isRetired() {
		n.becomeFollower()
	}
}

// changeVoters proposes the next change of the voter set, if one is due.
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

// isEligible reports whether a non-voter has what a voter needs: it is
// durable, heard, and has caught up in the current term.
func (n *Node[C, S]) isEligibleVoter(p *progress, current membership) bool {
	if current.contains(p.id) || !p.durable || slices.Contains(current.retired, p.id) {
		return false
	}
	if p.match < n.leadership.noopIndex || p.match+catchUpEntries < n.log.lastIndex() {
		return false
	}
	return n.now.Sub(p.lastHeard) <= n.cfg.ElectionTimeoutMin
}

// votersWith returns the next voter set on the way to one with an eligible
// non-voter. The earlier identity of its host is removed before the non-voter
// is added. In the other order a new identity that is lost at once leaves, of
// three voters, two out of four, which is no majority any more.
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

// isSilent reports whether a voter is not heard any more. An identity that is
// still heard is not replaced, so that two processes that run for one host by
// mistake do not replace each other.
func (n *Node[C, S]) isSilent(id NodeID) bool {
	p := n.peer(id)
	return p != nil && n.now.Sub(p.lastHeard) > n.cfg.ElectionTimeoutMin
}

func removeID(ids []NodeID, id NodeID) []NodeID {
	return slices.DeleteFunc(slices.Clone(ids), func(other NodeID) bool { return other == id })
}

// joining is the search of a non-voter for a leader.
type joinState struct {
	nextPeer int // index into Config.Peers
	lastSent model.Time
}

// tickNonVoter looks for a leader while none is heard. A retired identity
// does not.
func (n *Node[C, S]) tickNonVoter() {
	heard := n.leader != NodeID{} && n.now.Sub(n.lastHeard) < n.cfg.ElectionTimeoutMin
	if !heard && !n.isRetired() {
		n.sendJoin()
	}
}

// isUnconfirmed reports whether this voter does not know its membership to be
// committed. If the entry was lost with its leader, the present leader does
// not know of this node, which then has to join like a non-voter.
func (n *Node[C, S]) isMembershipUncommitted() bool {
	m, ok := n.membershipAt(n.log.commit)
	return !ok || !m.contains(n.cfg.ID)
}

// askToJoin asks one peer after another for the log.
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

// Meet names further hosts to ask. The hosts of the configuration may be followers
// that cannot take a node in, or be gone.
func (n *Node[C, S]) Meet(hosts ...model.HostID) {
	for _, h := range hosts {
		if h != "" && h != n.cfg.ID.Host && !slices.Contains(n.cfg.Peers, h) {
			n.cfg.Peers = append(slices.Clip(n.cfg.Peers), h)
		}
	}
}

// handleJoin starts or renews the replication to a non-voter.
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

// forgetSilentLearners drops non-voters that have not been heard for long.
func (n *Node[C, S]) removeSilentNonVoters() {
	current := n.membership()
	n.leadership.peers = slices.DeleteFunc(n.leadership.peers, func(p *progress) bool {
		return !current.contains(p.id) && n.now.Sub(p.lastHeard) > nonVoterTimeout
	})
}
