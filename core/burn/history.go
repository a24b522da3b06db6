package burn

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// Limits of the History.
const (
	// SeriesMax is the maximum number of series, one for each key: enough for 34 teams
	// with three services each. A full series takes about 130 KB.
	SeriesMax = 128
	// maxIncarnationsPerHost is the number of process incarnations stored for each
	// host, so that a delayed batch of an earlier incarnation is not added twice.
	maxIncarnationsPerHost = 4
	// maxIncarnations is the number of process incarnations stored for all hosts.
	maxIncarnations = 256
)

// RecordedSeq holds the number of the last recorded batch of one process incarnation.
type RecordedSeq struct {
	Process
	Seq uint64 `json:"seq"`
}

// History holds the replicated counts and events of the fleet. Its slices are
// replaced and never modified in place, so that a copy of the struct is a snapshot.
type History struct {
	// Time is the wall-clock time of the last Record, and Clock the replicated clock
	// when it was applied. WallTime derives the wall-clock time of other commands
	// from them.
	Time  model.Time `json:"time,omitempty"`
	Clock model.Time `json:"clock,omitempty"`

	Leader       Leader               `json:"leader"`
	RecordedSeqs []RecordedSeq        `json:"lives,omitempty"`  // in order of their first batch
	Series       []Series             `json:"series,omitempty"` // by key
	Events       []Event              `json:"events,omitempty"` // in the order they were recorded
	Ended        []string             `json:"ended,omitempty"`  // waves of the rules that have ended
	Down         []model.DataCentreID `json:"down,omitempty"`   // data centres without a host up
}

// Add adds a Record that is applied at time clock of the replicated clock, and
// reports whether its counts were added. Counts of keys that are not wanted are
// dropped. Counts are added only if the Record starts after the last recorded batch
// of every process it covers. Otherwise another Record with some of these batches
// was applied first, and the leader proposes the remaining ones again.
func (h *History) Add(r *Record, clock model.Time, wanted Keys) bool {
	h.Time, h.Clock = r.Time, clock
	if r.Leader.Term > h.Leader.Term {
		h.Leader = r.Leader
		h.AddEvent(Event{At: r.Time, Kind: LeaderChanged, Name: string(r.Leader.Host), Count: 1})
	}
	for _, a := range r.Advances {
		if h.Recorded(a.Process) != a.From {
			return false
		}
	}
	for _, a := range r.Advances {
		h.setRecorded(a.Process, a.To)
	}
	h.Series = slices.Clone(h.Series)
	for _, e := range r.Entries {
		if wanted.Has(e.Key) {
			h.addCounts(r.Time, e.Key, e.Counts)
		}
	}
	h.trimSeries(wanted)
	return true
}

// Count adds one ended task at the wall-clock time at.
func (h *History) Count(at model.Time, key Key, cause Cause, wanted Keys) {
	var counts Counts
	counts.add(cause, 1)
	h.Series = slices.Clone(h.Series)
	h.addCounts(at, key, counts)
	h.trimSeries(wanted)
}

// WallTime converts a time of the replicated clock to wall-clock time.
func (h *History) WallTime(clock model.Time) model.Time {
	if h.Time == 0 {
		return clock
	}
	return h.Time.Add(clock.Sub(h.Clock))
}

// Recorded returns the number of the last recorded batch of a process, 0 for none.
func (h *History) Recorded(p Process) uint64 {
	for _, last := range h.RecordedSeqs {
		if last.Process == p {
			return last.Seq
		}
	}
	return 0
}

// unrecorded returns the batches that are not recorded yet.
func (h *History) unrecorded(p Process, batches []Batch) []Batch {
	recorded := h.Recorded(p)
	i := slices.IndexFunc(batches, func(b Batch) bool { return b.Seq > recorded })
	if i < 0 {
		return nil
	}
	return batches[i:]
}

func (h *History) addCounts(at model.Time, key Key, counts Counts) {
	i, found := h.searchSeries(key)
	if !found {
		h.Series = slices.Insert(h.Series, i, Series{Key: key})
	}
	h.Series[i] = h.Series[i].plus(at, counts)
}

// trimSeries drops series so that at most SeriesMax remain: first those that no
// objective covers, then those with the oldest counts.
func (h *History) trimSeries(wanted Keys) {
	for len(h.Series) > SeriesMax {
		drop := 0
		for i := range h.Series {
			if h.evictFirst(i, drop, wanted) {
				drop = i
			}
		}
		h.Series = slices.Delete(h.Series, drop, drop+1)
	}
}

// evictFirst reports whether series i is dropped before series j.
func (h *History) evictFirst(i, j int, wanted Keys) bool {
	if a, b := wanted.Has(h.Series[i].Key), wanted.Has(h.Series[j].Key); a != b {
		return b
	}
	return h.Series[i].Hour.Start < h.Series[j].Hour.Start
}

func (h *History) searchSeries(key Key) (int, bool) {
	return slices.BinarySearchFunc(h.Series, key, func(s Series, k Key) int { return s.compare(k) })
}

// SeriesOf returns the series of a key. It is empty if nothing was counted.
func (h *History) SeriesOf(key Key) Series {
	if i, found := h.searchSeries(key); found {
		return h.Series[i]
	}
	return Series{Key: key}
}

func (h *History) setRecorded(p Process, seq uint64) {
	h.RecordedSeqs = slices.Clone(h.RecordedSeqs)
	for i := range h.RecordedSeqs {
		if h.RecordedSeqs[i].Process == p {
			h.RecordedSeqs[i].Seq = seq
			return
		}
	}
	h.RecordedSeqs = append(h.RecordedSeqs, RecordedSeq{p, seq})
	h.trimIncarnations(func(l RecordedSeq) bool { return l.Host == p.Host }, maxIncarnationsPerHost)
	h.trimIncarnations(func(RecordedSeq) bool { return true }, maxIncarnations)
}

// trimIncarnations drops the oldest of the matching incarnations if there are more
// than limit.
func (h *History) trimIncarnations(match func(RecordedSeq) bool, limit int) {
	n, first := 0, -1
	for i, l := range h.RecordedSeqs {
		if match(l) {
			n++
			if first < 0 {
				first = i
			}
		}
	}
	if n > limit {
		h.RecordedSeqs = slices.Delete(h.RecordedSeqs, first, first+1)
	}
}
