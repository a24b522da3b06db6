package intake

import (
	"cmp"
	"time"
)

// Phase is what a connection is doing. It determines whether the connection may be closed
// to make room for others.
type Phase int

// The phases.
const (
	Arrived   Phase = iota // no request has been completed
	Receiving              // a part of a request has arrived
	Serving                // the request is complete, and its answer is not
	Answering              // the answer is being written
	Idle                   // the last request was answered
)

// stallTime is how long a connection makes no progress before it may be closed for the sake
// of others. It is many round trips, and more than a lost packet costs.
const stallTime = 500 * time.Millisecond

// ID identifies a connection in a Ledger.
type ID uint64

// Ledger decides which connections stay open and which bytes are held. It handles clients
// that hold much and send slowly: when a limit is reached, a connection that makes no
// progress is closed so that others are served, and without such a connection the newcomer
// is refused.
//
// A Ledger is not safe for concurrent use and reads no clock.
type Ledger struct {
	limits      Limits
	connections [classCount]int
	bytes       [classCount]int64
	entries     map[ID]*entry
	last        ID
	beyond      ID // the connection of a host that may exceed the limit, or 0
}

// entry is the state of one connection.
type entry struct {
	class    Class // of the listener
	phase    Phase
	progress time.Duration // time of the last progress
	held     [classCount]int64
	shed     bool // its closing was decided
}

// NewLedger returns an empty Ledger.
func NewLedger(l Limits) *Ledger { return &Ledger{limits: l, entries: make(map[ID]*entry)} }

// Open decides on a new connection. ok is false if it must be refused. If shed is not 0,
// that connection must be closed first.
func (l *Ledger) Open(c Class, now time.Duration) (id, shed ID, ok bool) {
	if l.connections[c] >= l.limits.Connections[c] {
		if shed = l.idlest(c, now); shed == 0 {
			return 0, 0, false
		}
		l.Close(shed)
	}
	l.last++
	l.entries[l.last] = &entry{class: c, progress: now}
	l.connections[c]++
	return l.last, shed, true
}

// Close removes a connection with all that it holds. Closing it again has no effect.
func (l *Ledger) Close(id ID) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	delete(l.entries, id)
	l.connections[e.class]--
	l.drop(id, e)
}

// drop subtracts what a connection holds.
func (l *Ledger) drop(id ID, e *entry) {
	for c, n := range e.held {
		l.bytes[c] -= n
	}
	if l.beyond == id {
		l.beyond = 0
	}
}

// idlest returns the connection of a class that has made no progress for longest, of those
// that serve no request, or 0 if none is stalled.
func (l *Ledger) idlest(c Class, now time.Duration) ID {
	var found ID
	for id, e := range l.entries {
		if e.class != c || e.phase == Serving || e.shed || now-e.progress < stallTime {
			continue
		}
		if found == 0 || l.compareStalled(id, found) < 0 {
			found = id
		}
	}
	return found
}

// compareStalled orders connections by the order in which they are closed. Clients that
// have not completed a request or do not read answers come before idle ones, which may have
// a request on its way.
func (l *Ledger) compareStalled(a, b ID) int {
	x, y := l.entries[a], l.entries[b]
	rank := func(e *entry) int {
		if e.phase == Idle {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(x.progress, y.progress), cmp.Compare(a, b))
}

// SetPhase records what a connection does from now on, and returns what it did before.
func (l *Ledger) SetPhase(id ID, p Phase, now time.Duration) (before Phase) {
	if e := l.entries[id]; e != nil {
		before, e.phase, e.progress = e.phase, p, now
	}
	return before
}

// Progress records that bytes were read from or written to a connection.
func (l *Ledger) Progress(id ID, now time.Duration) {
	if e := l.entries[id]; e != nil {
		e.progress = now
	}
}

// Hold adds n bytes of a class to what a connection holds. ok is false if the limit is
// reached. shed then lists connections to close: those that hold most of those that stopped
// sending or reading. Their bytes count until they are closed.
func (l *Ledger) Hold(id ID, c Class, n int64, now time.Duration) (shed []ID, ok bool) {
	e := l.entries[id]
	if e == nil || e.shed {
		return nil, false
	}
	missing := l.bytes[c] + n - l.limits.Bytes[c]
	if missing > 0 && c == Peers && (l.beyond == 0 || l.beyond == id) {
		l.beyond, missing = id, 0 // a snapshot may be larger than the limit
	}
	if missing <= 0 {
		e.held[c] += n
		l.bytes[c] += n
		return nil, true
	}
	if n > l.limits.Bytes[c] {
		return nil, false
	}
	for _, other := range l.entries {
		if other.shed {
			missing -= other.held[c]
		}
	}
	for missing > 0 {
		largest := l.largestStalled(id, c, now)
		if largest == 0 {
			break
		}
		l.entries[largest].shed = true
		missing -= l.entries[largest].held[c]
		shed = append(shed, largest)
	}
	return shed, false
}

// largestStalled returns the connection that holds most bytes of a class, of those that
// have stopped to send a request or to read an answer, or 0. The connection except is left out.
func (l *Ledger) largestStalled(except ID, c Class, now time.Duration) ID {
	var found ID
	for id, e := range l.entries {
		if id == except || e.shed || e.held[c] == 0 || now-e.progress < stallTime || e.phase != Receiving && e.phase != Answering {
			continue
		}
		if found == 0 {
			found = id
			continue
		}
		f := l.entries[found]
		if cmp.Or(cmp.Compare(e.held[c], f.held[c]), cmp.Compare(f.progress, e.progress), cmp.Compare(found, id)) > 0 {
			found = id
		}
	}
	return found
}

// Release gives back all bytes that a connection holds.
func (l *Ledger) Release(id ID) {
	e := l.entries[id]
	if e == nil {
		return
	}
	l.drop(id, e)
	e.held = [classCount]int64{}
}

// Used returns the connections and the bytes of a class.
func (l *Ledger) Used(c Class) (connections int, bytes int64) { return l.connections[c], l.bytes[c] }
