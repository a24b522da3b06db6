package burn

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// Intervals and limits of the protocol.
const (
	// SealInterval is the time for which a host collects counts for one batch. A host
	// that crashes loses the counts of about this time.
	SealInterval = 5 * model.Second
	// ResendInterval is the time after which unrecorded batches are sent again.
	ResendInterval = 5 * model.Second
	// maxSealed is the maximum number of batches that wait to be recorded. While
	// there is no leader, further counts are added to the open batch.
	maxSealed = 8
)

// Entry holds the counts of one key.
type Entry struct {
	Key
	Counts
}

// tally holds counts by key.
type tally map[Key]Counts

func (t tally) add(batches []Batch) {
	for _, b := range batches {
		for _, e := range b.Entries {
			t[e.Key] = t[e.Key].Plus(e.Counts)
		}
	}
}

// entries returns the tally sorted by key.
func (t tally) entries() []Entry {
	var out []Entry
	for _, key := range slices.SortedFunc(maps.Keys(t), Key.compare) {
		out = append(out, Entry{key, t[key]})
	}
	return out
}

// Batch is a numbered part of the counts of one process. It does not change once it
// has a number.
type Batch struct {
	Seq     uint64  `json:"seq"` // counted by the process from 1
	Entries []Entry `json:"entries,omitempty"`
}

// Sender holds the counts of this process that are not recorded yet.
type Sender struct {
	seq      uint64
	open     tally
	sealed   []Batch
	sealedAt model.Time
	sentAt   model.Time
	sentTerm uint64
}

// NewSender returns a Sender without counts.
func NewSender() *Sender { return &Sender{open: make(tally)} }

// Count adds n ended requests.
func (s *Sender) Count(key Key, cause Cause, n uint64) {
	if cause == NotCounted || n == 0 {
		return
	}
	counts := s.open[key]
	counts.add(cause, n)
	s.open[key] = counts
}

// Recorded drops the batches up to and including seq, which are recorded.
func (s *Sender) Recorded(seq uint64) {
	keep := slices.IndexFunc(s.sealed, func(b Batch) bool { return b.Seq > seq })
	if keep < 0 {
		keep = len(s.sealed)
	}
	s.sealed = s.sealed[keep:]
}

// Due returns the batches to send to the leader of this term now: all that are not
// recorded, in ascending order, or none if they were sent within ResendInterval and
// no batch was added since.
func (s *Sender) Due(now model.Time, term uint64) []Batch {
	fresh := false
	if now >= s.sealedAt.Add(SealInterval) && len(s.sealed) < maxSealed {
		fresh = s.seal(now)
	}
	if !fresh && term == s.sentTerm && now < s.sentAt.Add(ResendInterval) {
		return nil
	}
	return s.send(now, term)
}

// Last returns all batches, including the open counts as the last one. It is used
// for the last message of a process that stops.
func (s *Sender) Last(now model.Time, term uint64) []Batch {
	s.seal(now)
	return s.send(now, term)
}

func (s *Sender) send(now model.Time, term uint64) []Batch {
	s.sentAt, s.sentTerm = now, term
	return slices.Clone(s.sealed)
}

// seal closes and numbers the open batch. It returns false if there are no counts.
func (s *Sender) seal(now model.Time) bool {
	if len(s.open) == 0 {
		return false
	}
	s.seq++
	s.sealed = append(s.sealed, Batch{Seq: s.seq, Entries: s.open.entries()})
	clear(s.open)
	s.sealedAt = now
	return true
}
