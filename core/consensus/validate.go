package consensus

// maxTermOrIndex limits terms and indices in received messages, so that sums of them
// do not overflow.
const maxTermOrIndex = 1 << 62

// wellFormed performs the checks of a message that do not depend on the log,
// including that it is addressed to this incarnation of the node.
func (n *Node[C, S]) wellFormed(m Message[C, S]) bool {
	if m.From.Host == "" || m.From.Incarnation == "" || m.From == n.cfg.ID {
		return false
	}
	if !n.isAddressee(m) {
		return false
	}
	if m.Term > maxTermOrIndex || m.Index > maxTermOrIndex || m.Commit > maxTermOrIndex || m.Hint > maxTermOrIndex {
		return false
	}
	if m.Term == 0 && m.Kind != MsgJoin {
		return false
	}
	switch m.Kind {
	case MsgAppend:
		return wellFormedAppend(m)
	case MsgSnapshot:
		return wellFormedSnapshot(m)
	case MsgAppendReply, MsgSnapshotReply:
		return m.Sent <= n.now
	}
	return true
}

func (n *Node[C, S]) isAddressee(m Message[C, S]) bool {
	if m.Kind == MsgJoin && m.To.Incarnation == "" {
		return m.To.Host == n.cfg.ID.Host
	}
	return m.To == n.cfg.ID
}

// wellFormedAppend checks that the entries are consecutive, that their terms neither
// decrease nor exceed the leader's, and that each entry has the content of its kind.
func wellFormedAppend[C, S any](m Message[C, S]) bool {
	index, term := m.Index, m.LogTerm
	if (index == 0) != (term == 0) {
		return false
	}
	for _, e := range m.Entries {
		if e.Index != index+1 || e.Term < term || e.Term == 0 || !wellFormedEntry(e) {
			return false
		}
		index, term = e.Index, e.Term
	}
	return term <= m.Term
}

func wellFormedEntry[C any](e Entry[C]) bool {
	switch e.Kind {
	case EntryCommand:
		return e.Command != nil
	case EntryNoop:
		return true
	case EntryVoters:
		return len(e.Voters) > 0
	}
	return false
}

func wellFormedSnapshot[C, S any](m Message[C, S]) bool {
	s := m.Snapshot
	if s == nil {
		return false
	}
	return s.Index > 0 && s.Index <= maxTermOrIndex && s.Term > 0 && s.Term <= m.Term && len(s.Voters) > 0
}
