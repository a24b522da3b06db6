package consensus

import (
	"cmp"
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
	// replaceTimeout is the silence of a voter after which a caught-up replica of
	// another host takes its place. A process that is restarted is back sooner.
	replaceTimeout = 2 * model.Second
	// surplusTimeout is the silence after which a voter is removed without a
	// replacement, if the set then tolerates more losses than with it.
	surplusTimeout = 10 * model.Second
	// minSurplusVoters is the size of the smallest set that is reduced in this way.
	minSurplusVoters = 4
)

// membership is the voter set as of an entry of the log, with the identities that
// have left the voter set. Its slices are never modified.
type membership struct {
	index    uint64   // of the entry
	voters   []NodeID // in the order of addition
	outgoing []NodeID // during an exchange: the voters before it
	retired  []NodeID
	vacated  []NodeID // those of retired whose place is open to any host
}

func (m membership) contains(id NodeID) bool {
	return slices.Contains(m.voters, id) || slices.Contains(m.outgoing, id)
}

// all returns the voters and, during an exchange, the voters before it.
func (m membership) all() []NodeID {
	if len(m.outgoing) == 0 {
		return m.voters
	}
	ids := slices.Clone(m.voters)
	for _, id := range m.outgoing {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// hasQuorum reports whether the predicate holds for a majority of the voters, and
// during an exchange also for a majority of the voters before it.
func (m membership) hasQuorum(predicate func(NodeID) bool) bool {
	return hasMajority(m.voters, predicate) && (len(m.outgoing) == 0 || hasMajority(m.outgoing, predicate))
}

func hasMajority(voters []NodeID, predicate func(NodeID) bool) bool {
	count := 0
	for _, id := range voters {
		if predicate(id) {
			count++
		}
	}
	return count > len(voters)/2
}

// quorumValue returns the highest value that a quorum has reached.
func quorumValue[T cmp.Ordered](m membership, valueOf func(NodeID) T) T {
	value := majorityValue(m.voters, valueOf)
	if len(m.outgoing) > 0 {
		value = min(value, majorityValue(m.outgoing, valueOf))
	}
	return value
}

func majorityValue[T cmp.Ordered](voters []NodeID, valueOf func(NodeID) T) T {
	values := make([]T, 0, len(voters))
	for _, id := range voters {
		values = append(values, valueOf(id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// next returns the membership after an entry that begins an exchange, which removes
// nobody yet, or sets the voters.
func (m membership) next(index uint64, voters, outgoing []NodeID, vacated bool) membership {
	next := membership{
		index: index, voters: voters, outgoing: outgoing,
		retired: slices.Clone(m.retired), vacated: slices.Clone(m.vacated),
	}
	for _, id := range m.all() {
		if next.contains(id) {
			continue
		}
		next.retired = append(next.retired, id)
		if vacated {
			next.vacated = append(next.vacated, id)
		}
	}
	return next
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
// to be followed by another one, and that have no voter now.
func (m membership) hostsBeingReplaced() []model.HostID {
	var hosts []model.HostID
	for _, id := range m.retired {
		if !m.hasHost(id.Host) && !slices.Contains(hosts, id.Host) && !slices.Contains(m.vacated, id) {
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
	return n.retired || n.hasRetired(n.cfg.ID)
}

// hasRetired reports whether an entry that is known to be committed removed an
// identity from the voter set.
func (n *Node[C, S]) hasRetired(id NodeID) bool {
	m, ok := n.membershipAt(n.log.commit)
	return ok && slices.Contains(m.retired, id)
}

// rejectRetired informs a sender whose identity is retired. A voter that was removed
// while it was cut off has not received the entry that removed it, and its requests
// must not count as those of a voter.
func (n *Node[C, S]) rejectRetired(from NodeID) bool {
	if !n.hasRetired(from) {
		return false
	}
	n.send(Message[C, S]{Kind: MsgRetired, To: from})
	return true
}

// handleRetired ends the part of this node in the protocol: no later term makes its
// identity a voter again.
func (n *Node[C, S]) handleRetired() bool {
	n.retired = true
	n.becomeFollower()
	return true
}

// appendEntry appends an entry to the log. A voter set takes effect at once.
func (n *Node[C, S]) appendEntry(e Entry[C]) {
	n.log.append(e)
	if e.Kind != EntryVoters {
		return
	}
	n.memberships = append(n.memberships, n.membership().next(e.Index, e.Voters, e.Outgoing, e.Vacated))
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
	if len(current.outgoing) > 0 {
		n.propose(Entry[C]{Kind: EntryVoters, Voters: current.voters, Vacated: true})
		return
	}
	var waiting *progress // for a place in the voter set
	for _, p := range n.leadership.peers {
		if !n.isEligibleVoter(p, current) {
			continue
		}
		if voters, ok := n.nextVoters(p, current); ok {
			n.propose(Entry[C]{Kind: EntryVoters, Voters: voters})
			return
		}
		if waiting == nil && !current.hasHost(p.id.Host) {
			waiting = p
		}
	}
	if n.now.Sub(n.leadership.lastTick) > n.cfg.ElectionTimeoutMin {
		return // this process was paused, so the silence of the others shows nothing
	}
	if waiting != nil {
		n.exchangeSilentVoter(current, waiting.id)
		return
	}
	n.removeSurplusVoter(current)
}

// exchangeSilentVoter begins to put a replica of another host in the place of a voter
// that has been silent for replaceTimeout. Whether that voter's host is gone or cut off
// cannot be told. Both sets decide together until the exchange is committed, so that
// neither the return of the one nor the loss of the other is needed: removing first
// would need every other voter of three, adding first the new one.
func (n *Node[C, S]) exchangeSilentVoter(current membership, added NodeID) {
	silent := n.votersSilentFor(replaceTimeout, current)
	if len(silent) == 0 {
		return
	}
	voters := append(removeID(current.voters, silent[0]), added)
	n.propose(Entry[C]{Kind: EntryVoters, Voters: voters, Outgoing: current.voters})
}

// removeSurplusVoter removes a voter that has been silent for surplusTimeout if the
// others tolerate more losses without it: in a set of an even size, and if two are
// silent.
func (n *Node[C, S]) removeSurplusVoter(current membership) {
	size := len(current.voters)
	silent := n.votersSilentFor(surplusTimeout, current)
	if len(silent) == 0 || size < minSurplusVoters || (size%2 != 0 && len(silent) < 2) {
		return
	}
	n.propose(Entry[C]{Kind: EntryVoters, Voters: removeID(current.voters, silent[0]), Vacated: true})
}

// votersSilentFor returns the voters that have been silent for longer than d, the
// longest silent one first, except those of which another identity is catching up.
func (n *Node[C, S]) votersSilentFor(d model.Duration, current membership) []NodeID {
	var silent []*progress
	for _, p := range n.leadership.peers {
		if current.contains(p.id) && n.now.Sub(p.lastHeard) > d && !n.hasReplacement(p.id) {
			silent = append(silent, p)
		}
	}
	slices.SortStableFunc(silent, func(a, b *progress) int { return cmp.Compare(a.lastHeard, b.lastHeard) })
	ids := make([]NodeID, 0, len(silent))
	for _, p := range silent {
		ids = append(ids, p.id)
	}
	return ids
}

// hasReplacement reports whether another identity of a voter's host is catching up.
func (n *Node[C, S]) hasReplacement(voter NodeID) bool {
	return slices.ContainsFunc(n.leadership.peers, func(p *progress) bool {
		return p.id.Host == voter.Host && p.id != voter && p.durable
	})
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
	reserved := n.reservedPlaces(current)
	isNew := !slices.Contains(reserved, p.id.Host)
	if isNew && (len(current.voters)+len(reserved) >= n.cfg.MaxVoters || n.hasSilentVoter(current)) {
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

// hasSilentVoter reports whether some voter was not heard within the shortest election
// timeout, or not at all by this leader. A new host is not added beside it: the majority
// would grow although fewer voters answer.
func (n *Node[C, S]) hasSilentVoter(current membership) bool {
	return slices.ContainsFunc(n.leadership.peers, func(p *progress) bool {
		return current.contains(p.id) && (!p.heard || n.isSilent(p.id))
	})
}

// reservedPlaces returns the hosts that are being replaced, without those that have
// not been heard for nonVoterTimeout and would keep the set too small.
func (n *Node[C, S]) reservedPlaces(current membership) []model.HostID {
	hosts := current.hostsBeingReplaced()
	if n.now.Sub(n.leadership.since) <= nonVoterTimeout {
		return hosts
	}
	return slices.DeleteFunc(hosts, func(host model.HostID) bool {
		return !slices.ContainsFunc(n.leadership.peers, func(p *progress) bool { return p.id.Host == host })
	})
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
	if n.rejectRetired(m.From) {
		return false
	}
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
