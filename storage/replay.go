package storage

import (
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/model"
)

// replay is the state that the records of the log describe. It is built by applying
// them in order.
type replay struct {
	incarnation model.Incarnation // expected in each segment
	segments    []segment
	sealed      bool     // the last record seals its segment
	base        position // position before entries; its term is 0 if unknown
	resetIndex  uint64   // index of the last reset; entries up to it cannot be replaced
	entries     []Entry
	hardState   consensus.HardState
}

// last returns the position of the last entry, or base if there are no entries.
func (r *replay) last() position {
	if len(r.entries) == 0 {
		return r.base
	}
	e := r.entries[len(r.entries)-1]
	return position{e.Index, e.Term}
}

// applyPayload applies the records of one frame.
func (r *replay) applyPayload(payload []byte) error {
	records, err := splitRecords(payload)
	if err != nil {
		return err
	}
	for _, rec := range records {
		if err := r.apply(rec); err != nil {
			return err
		}
	}
	return nil
}

// apply applies one record. An error means that the log is damaged.
func (r *replay) apply(rec record) error {
	if rec.kind == recordSegment {
		return r.applySegment(rec)
	}
	if len(r.segments) == 0 {
		return errors.New("record before the segment header")
	}
	if r.sealed {
		return errors.New("record after the seal of the segment")
	}
	switch rec.kind {
	case recordHardState:
		return r.applyHardState(rec)
	case recordEntry:
		return r.applyEntry(rec)
	case recordReset:
		return r.applyReset(rec)
	case recordSeal:
		r.sealed = true
		return nil
	}
	return errors.Errorf("unknown record kind %q", rec.kind)
}

func (r *replay) applySegment(rec record) error {
	var info segmentInfo
	if err := decodeInfo(rec, recordSegment, &info); err != nil {
		return err
	}
	if info.Incarnation != r.incarnation {
		return errors.Errorf("segment has incarnation %q, the data folder has %q", info.Incarnation, r.incarnation)
	}
	if len(r.segments) == 0 {
		r.base = info.Last
		r.hardState = info.HardState
	} else if err := r.checkNext(info); err != nil {
		return err
	}
	r.segments = append(r.segments, segment{number: info.Number, last: info.Last})
	r.sealed = false
	return nil
}

// checkNext checks that a segment continues the previous one.
func (r *replay) checkNext(info segmentInfo) error {
	previous := r.segments[len(r.segments)-1]
	switch {
	case !r.sealed:
		return errors.Errorf("the previous segment %d is not sealed", previous.number)
	case info.Number != previous.number+1:
		return errors.Errorf("segment %d is missing", previous.number+1)
	case info.Last != r.last() || info.HardState != r.hardState:
		return errors.Errorf("the segment does not continue segment %d", previous.number)
	}
	return nil
}

func (r *replay) applyHardState(rec record) error {
	h, err := codec.DecodeHardState(rec.body)
	if err != nil {
		return err
	}
	r.hardState = h
	return nil
}

func (r *replay) applyEntry(rec record) error {
	e, err := codec.DecodeEntry(rec.body)
	if err != nil {
		return err
	}
	if e.Index <= r.resetIndex || e.Index > r.last().Index+1 {
		return errors.Errorf("entry has index %d, the log has entries %d to %d", e.Index, r.resetIndex+1, r.last().Index)
	}
	if e.Index <= r.base.Index {
		// The entry at the base was in a segment that has been removed, and was not
		// committed when the first remaining segment started.
		r.base = position{Index: e.Index - 1}
	}
	r.entries = append(r.entries[:e.Index-r.base.Index-1], e)
	return nil
}

func (r *replay) applyReset(rec record) error {
	var at position
	if err := decodeInfo(rec, recordReset, &at); err != nil {
		return err
	}
	r.base = at
	r.resetIndex = at.Index
	r.entries = nil
	return nil
}

// covers reports whether the log contains all entries after the position.
func (r *replay) covers(at position) bool {
	if at.Index == r.base.Index {
		return at.Term == r.base.Term
	}
	if at.Index < r.base.Index || at.Index > r.last().Index {
		return false
	}
	return r.entries[at.Index-r.base.Index-1].Term == at.Term
}

// after returns the entries after the index, which the log must cover.
func (r *replay) after(index uint64) []Entry {
	return r.entries[index-r.base.Index:]
}
