package consensus

import "primrosedale.example/primrosedale/core/model"

// durability tracks the caller's writes: what was handed out to be written and what
// was reported to be on disk.
type durability struct {
	hardStateChanged  bool   // the hard state differs from the one last handed out
	hardStateInFlight bool   // the hard state last handed out is not yet reported as persisted
	hardStateTerm     uint64 // term of the hard state last handed out
	handedOutIndex    uint64 // index of the last entry handed out
	persistedIndex    uint64 // index of the last entry on disk

	lastProgress model.Time // time of the last report, or of the first write handed out after all others were reported
}

// inFlight reports whether a write was handed out and not yet reported as persisted.
func (d *durability) inFlight() bool {
	return d.hardStateInFlight || d.persistedIndex < d.handedOutIndex
}

func (d *durability) isHardStateOnDisk() bool {
	return !d.hardStateChanged && !d.hardStateInFlight
}

// truncate records that the entries from index on are removed.
func (d *durability) truncate(index uint64) {
	d.handedOutIndex = min(d.handedOutIndex, index-1)
	d.persistedIndex = min(d.persistedIndex, index-1)
}

// recordHandOut records that the caller gets something to write. It restarts the
// stall timer if no other write is in flight.
func (d *durability) recordHandOut(now model.Time) {
	if !d.inFlight() {
		d.lastProgress = now
	}
}

func (d *durability) recordPersisted(now model.Time, term, index uint64) {
	d.lastProgress = now
	if d.hardStateInFlight && term == d.hardStateTerm {
		d.hardStateInFlight = false
	}
	d.persistedIndex = max(d.persistedIndex, min(index, d.handedOutIndex))
}

// pendingMessage is sent once the hard state and the entries up to index are on
// disk. Pending messages are dropped when the term changes.
type pendingMessage[C, S any] struct {
	index   uint64
	message Message[C, S]
}

// send fills in the sender and the term of a message and queues it for the next
// Output.
func (n *Node[C, S]) send(m Message[C, S]) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// sendDurable queues a message that may be sent only once the hard state and the
// entries up to index are on disk.
func (n *Node[C, S]) sendDurable(index uint64, m Message[C, S]) {
	if n.disk.isHardStateOnDisk() && index <= n.disk.persistedIndex {
		n.send(m)
		return
	}
	m.Term = n.term
	n.pending = append(n.pending, pendingMessage[C, S]{index, m})
}

func (n *Node[C, S]) sendPending() {
	if !n.disk.isHardStateOnDisk() {
		return
	}
	waiting := n.pending[:0]
	for _, p := range n.pending {
		if p.index > n.disk.persistedIndex {
			waiting = append(waiting, p)
			continue
		}
		n.send(p.message)
	}
	clear(n.pending[len(waiting):])
	n.pending = waiting
}

// Persisted reports that the hard state of term and all entries up to index are on
// disk, where term is that of the last hard state of the reported outputs. Index may
// be 0 for an Output without entries. Reports may be merged, but must follow the
// order of the outputs.
func (n *Node[C, S]) Persisted(term, index uint64) {
	awaited := n.awaitsDisk()
	n.disk.recordPersisted(n.now, term, index)
	n.sendPending()
	n.handleDeferred()
	if awaited && !n.awaitsDisk() {
		n.recordDiskCaughtUp()
	}
	if n.role == Candidate && n.disk.isHardStateOnDisk() {
		n.recordVote(n.cfg.ID)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// handleDeferred handles the deferred message once no write is in flight.
func (n *Node[C, S]) handleDeferred() {
	if n.deferred == nil || n.disk.inFlight() {
		return
	}
	m := *n.deferred
	n.deferred = nil
	n.handle(m)
}

// WriteStalled reports whether a write is in flight and the caller has reported
// nothing for longer than the longest election timeout. A leader in this state
// applies nothing, since only entries on its own disk are applied.
func (n *Node[C, S]) WriteStalled(now model.Time) bool {
	return n.disk.inFlight() && now.Sub(n.disk.lastProgress) > n.cfg.ElectionTimeoutMax
}

// TakeOutput returns everything that the caller has to do since the last call.
func (n *Node[C, S]) TakeOutput() Output[C, S] {
	n.sendAppends()
	out := Output[C, S]{
		Snapshot:  n.snapshotToInstall,
		HardState: n.takeHardState(),
		Entries:   n.takeEntries(),
		Committed: n.takeCommitted(),
		Messages:  n.messages,
	}
	n.snapshotToInstall = nil
	n.messages = nil
	return out
}

func (n *Node[C, S]) takeHardState() *HardState {
	if !n.disk.hardStateChanged {
		return nil
	}
	n.disk.recordHandOut(n.now)
	n.disk.hardStateChanged = false
	n.disk.hardStateInFlight = true
	n.disk.hardStateTerm = n.term
	return &HardState{Term: n.term, Vote: n.vote}
}

func (n *Node[C, S]) takeEntries() []Entry[C] {
	first := max(n.disk.handedOutIndex, n.log.prevIndex) + 1
	last := n.log.lastIndex()
	if last >= first {
		n.disk.recordHandOut(n.now)
	}
	n.disk.handedOutIndex = last
	return n.log.slice(first, last)
}

// takeCommitted returns committed entries that are on this node's disk, so that the
// applied state does not go backwards after a restart.
func (n *Node[C, S]) takeCommitted() []Entry[C] {
	last := min(n.log.commit, n.disk.persistedIndex)
	if last <= n.log.applied {
		return nil
	}
	first := n.log.applied + 1
	n.log.applied = last
	return n.log.slice(first, last)
}
