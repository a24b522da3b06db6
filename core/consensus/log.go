package consensus

import "sort"

// raftLog is the part of the log that is in memory. Entries up to and including
// prevIndex are compacted.
type raftLog[C any] struct {
	prevIndex uint64 // index of the entry before entries
	prevTerm  uint64
	entries   []Entry[C]
	commit    uint64 // highest index known to be committed
	applied   uint64 // highest index handed out in Output.Committed
}

func (l *raftLog[C]) lastIndex() uint64 {
	return l.prevIndex + uint64(len(l.entries))
}

func (l *raftLog[C]) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.prevTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, or false if the entry is compacted or
// beyond the end. Index 0 has term 0.
func (l *raftLog[C]) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index == 0:
		return 0, true
	case index < l.prevIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

func (l *raftLog[C]) matchesTerm(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// slice returns the entries from first to last, inclusive. Both must be in memory.
func (l *raftLog[C]) slice(first, last uint64) []Entry[C] {
	if first > last {
		return nil
	}
	low := first - l.prevIndex - 1
	high := last - l.prevIndex
	return l.entries[low:high:high]
}

func (l *raftLog[C]) append(entries ...Entry[C]) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on. It also limits the capacity, so that
// later appends do not overwrite entries that were handed out.
func (l *raftLog[C]) truncate(index uint64) {
	keep := index - l.prevIndex - 1
	l.entries = l.entries[:keep:keep]
}

// compact removes the entries up to and including index. It copies the remaining
// entries, so that the memory of the removed ones can be reclaimed.
func (l *raftLog[C]) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.prevIndex {
		return
	}
	rest := l.entries[index-l.prevIndex:]
	l.entries = append([]Entry[C](nil), rest...)
	l.prevIndex = index
	l.prevTerm = term
}

// reset empties the log after the installation of a snapshot with this last index
// and term.
func (l *raftLog[C]) reset(index, term uint64) {
	*l = raftLog[C]{prevIndex: index, prevTerm: term, commit: index, applied: index}
}

// isCandidateUpToDate reports whether a candidate's log, which ends with index and
// term, is at least as up to date as this one (section 5.4.1 of the Raft paper).
func (l *raftLog[C]) isCandidateUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// lastIndexWithTermAtMost returns the largest index up to limit whose term is at
// most term, or prevIndex if there is none. Terms never decrease along the log.
func (l *raftLog[C]) lastIndexWithTermAtMost(limit, term uint64) uint64 {
	if limit > l.lastIndex() {
		limit = l.lastIndex()
	}
	if limit <= l.prevIndex {
		return limit
	}
	n := int(limit - l.prevIndex)
	above := sort.Search(n, func(i int) bool { return l.entries[i].Term > term })
	return l.prevIndex + uint64(above)
}
