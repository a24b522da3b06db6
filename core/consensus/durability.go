package consensus

import "primrosedale.example/primrosedale/core/model"

// durability follows the caller's writes: what was handed out to be written
// and what is reported to be on disk.
type durability struct {
	hardChanged    bool   // the hard state differs from the one last handed out
	hardInFlight   bool   // the hard state last handed out is not reported
	hardTerm       uint64 // term of the hard state last handed out
	takenIndex     uint64 // last entry handed out
	persistedIndex uint64 // last entry on disk

	progressAt model.Time // last report, or the first write that followed it
}

// inFlight reports whether a write was handed out and is not reported.
func (d *durability) inFlight() bool {
	return d.hardInFlight || d.persistedIndex < d.takenIndex
}

// hardOnDisk reports whether the current hard state is on disk.
func (d *durability) hardOnDisk() bool {
	return !d.hardChanged && !d.hardInFlight
}

// truncate records that entries at and after index are replaced.
func (d *durability) truncate(index uint64) {
	d.takenIndex = min(d.takenIndex, index-1)
	d.persistedIndex = min(d.persistedIndex, index-1)
}

// handOut records at which moment the caller gets something to write.
func (d *durability) handOut(now model.Time) {
	if !d.inFlight() {
		d.progressAt = now
	}
}

func (d *durability) report(now model.Time, term, index uint64) {
	d.progressAt = now
	if d.hardInFlight && term == d.hardTerm {
		d.hardInFlight = false
	}
	d.persistedIndex = max(d.persistedIndex, min(index, d.takenIndex))
}

// heldMessage waits for the hard state and the entries up to index. Messages
// are held only within one term.
type heldMessage[C, S any] struct {
	index   uint64
	message Message[C, S]
}

// send completes a message and queues it for the next Output.
func (n *Node[C, S]) send(m Message[C, S]) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// sendDurable queues a message that promises that the hard state and the
// entries up to index are on disk.
func (n *Node[C, S]) sendDurable(index uint64, m Message[C, S]) {
	if n.disk.hardOnDisk() && index <= n.disk.persistedIndex {
		n.send(m)
		return
	}
	m.Term = n.term
	n.held = append(n.held, heldMessage[C, S]{index, m})
}

func (n *Node[C, S]) releaseHeld() {
	if !n.disk.hardOnDisk() {
		return
	}
	waiting := n.held[:0]
	for _, h := range n.held {
		if h.index > n.disk.persistedIndex {
			waiting = append(waiting, h)
			continue
		}
		n.send(h.message)
	}
	clear(n.held[len(waiting):])
	n.held = waiting
}

// Persisted reports that the hard state of term and all entries up to index
// are on disk, as of an Output whose last hard state had that term. Index may
// be 0 for an Output without entries. Reports may be merged, but must follow
// the order of the outputs.
func (n *Node[C, S]) Persisted(term, index uint64) {
	n.disk.report(n.now, term, index)
	n.releaseHeld()
	n.handleDeferred()
	if n.role == Candidate && n.disk.hardOnDisk() {
		n.recordVote(n.cfg.ID)
	}
	if n.role == Leader {
		n.maybeCommit()
	}
}

// handleDeferred handles the message that had to wait for a write.
func (n *Node[C, S]) handleDeferred() {
	if n.deferred == nil || n.disk.inFlight() {
		return
	}
	m := *n.deferred
	n.deferred = nil
	n.handle(m)
}

// WriteStalled reports whether the caller has reported nothing for longer than the
// longest election timeout although it has something to write. A leader in this
// state applies nothing, since only entries on its own disk are applied.
func (n *Node[C, S]) WriteStalled(now model.Time) bool {
	return n.disk.inFlight() && now.Sub(n.disk.progressAt) > n.cfg.ElectionTimeoutMax
}

// TakeOutput returns everything that has come up since the last call.
func (n *Node[C, S]) TakeOutput() Output[C, S] {
	n.sendAppends()
	out := Output[C, S]{
		Snapshot:  n.install,
		HardState: n.takeHardState(),
		Entries:   n.takeEntries(),
		Committed: n.takeCommitted(),
		Messages:  n.messages,
	}
	n.install = nil
	n.messages = nil
	return out
}

func (n *Node[C, S]) takeHardState() *HardState {
	if !n.disk.hardChanged {
		return nil
	}
	n.disk.handOut(n.now)
	n.disk.hardChanged = false
	n.disk.hardInFlight = true
	n.disk.hardTerm = n.term
	return &HardState{Term: n.term, Vote: n.vote}
}

func (n *Node[C, S]) takeEntries() []Entry[C] {
	first := max(n.disk.takenIndex, n.log.prevIndex) + 1
	last := n.log.lastIndex()
	if last >= first {
		n.disk.handOut(n.now)
	}
	n.disk.takenIndex = last
	return n.log.slice(first, last)
}

// takeCommitted returns committed entries that are on this node's disk, so
// that the applied state does not go backwards over a restart.
func (n *Node[C, S]) takeCommitted() []Entry[C] {
	last := min(n.log.commit, n.disk.persistedIndex)
	if last <= n.log.applied {
		return nil
	}
	first := n.log.applied + 1
	n.log.applied = last
	return n.log.slice(first, last)
}
