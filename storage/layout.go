package storage

import (
	"fmt"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/model"
)

// Sizes of the parts of the log, in bytes.
const (
	// segmentSize is the size from which the log continues in a new segment.
	segmentSize = 16 << 20
	// frameTarget is the size from which a batch is split into frames that are
	// synced one after another, which limits how much one interrupted write can tear.
	frameTarget = 8 << 20
)

// snapshotsKept is the number of snapshots kept: the newest, and the one before it
// as a fallback if the newest cannot be read.
const snapshotsKept = 2

// segment describes a segment in the folder.
type segment struct {
	number uint64
	last   position // last entry before the segment
}

// layout is the state of the reducer: what the folder contains. The reducer never
// reads a file.
type layout struct {
	incarnation model.Incarnation
	segments    []segment // ascending; the last one is the current one
	size        int64     // of the current segment, in bytes
	sequence    uint64    // of the next frame
	last        position  // last entry of the log, or of the snapshot that replaced it
	hardState   consensus.HardState
	snapshots   []uint64 // indices, ascending

	segmentSize int64 // threshold for a new segment, in bytes
}

// limits are the sizes that tests reduce.
type limits struct {
	segmentSize int64 // bytes
	frameTarget int   // bytes
}

var defaultLimits = limits{segmentSize: segmentSize, frameTarget: frameTarget}

// writeRequest is the event of one Store.Write, in encoded form.
type writeRequest struct {
	hardState     *consensus.HardState
	hardStateBody []byte
	first         uint64 // index of the first entry, if any
	entries       []encodedEntries
	snapshot      *encodedSnapshot
	install       bool
}

// encodedSnapshot is a snapshot in encoded form.
type encodedSnapshot struct {
	at   position
	body []byte
}

// operation is one effect on the folder, executed by disk.
type operation interface{ isOperation() }

// Operations.
type (
	// appendFrame appends a frame to the current segment and syncs it.
	appendFrame struct {
		sequence uint64
		payload  []byte
	}
	// putFile creates or replaces a file of one frame, atomically and durably.
	putFile struct {
		name     string
		sequence uint64
		payload  []byte
	}
	// useSegment makes a segment the current one; offset is its size in bytes.
	useSegment struct {
		name   string
		offset int64
	}
	// removeFile removes a file durably.
	removeFile struct{ name string }
)

func (appendFrame) isOperation() {}
func (putFile) isOperation()     {}
func (useSegment) isOperation()  {}
func (removeFile) isOperation()  {}

func segmentName(number uint64) string { return fmt.Sprintf("wal-%020d.log", number) }
func snapshotName(index uint64) string { return fmt.Sprintf("snap-%020d.snap", index) }

// reduce decides how to store a request. Each operation is durable before the next
// one starts. If one fails, the layout no longer describes the folder, unless the
// remaining operations are executed later.
//
// A local snapshot is written after the entries that it covers, so that the log on
// disk always reaches it. An installed snapshot is written before the log is reset,
// so that the log never starts after the newest snapshot.
func (l *layout) reduce(w writeRequest) ([]operation, error) {
	if err := l.check(w); err != nil {
		return nil, err
	}
	var ops []operation
	var next frameContent
	if w.hardState != nil {
		next.payload = appendRecord(nil, recordHardState, w.hardStateBody)
		next.hardState = w.hardState
	}
	if w.install {
		// The new term must be on disk before a snapshot of that term.
		ops = l.appendContent(ops, next)
		ops = l.putSnapshot(ops, w.snapshot, true)
		next = frameContent{payload: appendInfo(nil, recordReset, w.snapshot.at), last: &w.snapshot.at}
	}
	for _, chunk := range w.entries {
		next.payload = append(next.payload, chunk.lines...)
		next.last = &chunk.last
		ops = l.appendContent(ops, next)
		next = frameContent{}
	}
	ops = l.appendContent(ops, next)
	if w.snapshot != nil && !w.install {
		ops = l.putSnapshot(ops, w.snapshot, false)
	}
	return l.removeObsolete(ops), nil
}

// frameContent is the payload of one frame and the changes of the state that it
// contains.
type frameContent struct {
	payload   []byte
	hardState *consensus.HardState // new hard state, or nil
	last      *position            // new end of the log, or nil
}

// check returns an error if the request does not continue the log.
func (l *layout) check(w writeRequest) error {
	newest := l.newestSnapshot()
	start, end := l.last.Index, l.last.Index
	if w.snapshot != nil && w.snapshot.at.Index < newest {
		return invalidBatch("snapshot at index %d is older than the one at %d", w.snapshot.at.Index, newest)
	}
	if w.install {
		if w.snapshot == nil {
			return invalidBatch("install without a snapshot")
		}
		newest, start, end = w.snapshot.at.Index, w.snapshot.at.Index, w.snapshot.at.Index
	}
	if len(w.entries) > 0 {
		if w.first <= newest || w.first > start+1 {
			return invalidBatch("first entry has index %d, the log has entries %d to %d", w.first, newest+1, start)
		}
		end = w.entries[len(w.entries)-1].last.Index
	}
	if w.snapshot != nil && w.snapshot.at.Index > end {
		return invalidBatch("local snapshot at index %d is after the end of the log at %d", w.snapshot.at.Index, end)
	}
	return nil
}

func (l *layout) newestSnapshot() uint64 {
	if len(l.snapshots) == 0 {
		return 0
	}
	return l.snapshots[len(l.snapshots)-1]
}

// appendContent appends one frame, to a new segment if the current one is full. It
// does nothing if the payload is empty.
func (l *layout) appendContent(ops []operation, c frameContent) []operation {
	if len(c.payload) == 0 {
		return ops
	}
	if l.size >= l.segmentSize {
		// The segment header describes the log before this frame.
		ops = l.startSegment(ops)
	}
	ops = l.appendPayload(ops, c.payload)
	if c.hardState != nil {
		l.hardState = *c.hardState
	}
	if c.last != nil {
		l.last = *c.last
	}
	return ops
}

// appendPayload appends one frame to the current segment.
func (l *layout) appendPayload(ops []operation, payload []byte) []operation {
	ops = append(ops, appendFrame{sequence: l.sequence, payload: payload})
	l.size += frameHeaderSize + int64(len(payload))
	l.sequence++
	return ops
}

// startSegment creates the next segment and then seals the current one. In this
// order a sealed segment always has a successor, so that a missing successor is
// known to be lost.
func (l *layout) startSegment(ops []operation) []operation {
	next := segment{number: l.segments[len(l.segments)-1].number + 1, last: l.last}
	header := l.segmentHeader(next)
	name := segmentName(next.number)
	ops = append(ops, putFile{name: name, sequence: l.sequence + 1, payload: header})
	ops = l.appendPayload(ops, appendRecord(nil, recordSeal, []byte("{}")))

	l.segments = append(l.segments, next)
	l.size = frameHeaderSize + int64(len(header))
	l.sequence++
	return append(ops, useSegment{name: name, offset: l.size})
}

// segmentHeader returns the payload of the first frame of a segment.
func (l *layout) segmentHeader(s segment) []byte {
	return appendInfo(nil, recordSegment, segmentInfo{
		Incarnation: l.incarnation,
		Number:      s.number,
		Last:        s.last,
		HardState:   l.hardState,
	})
}

func (l *layout) putSnapshot(ops []operation, s *encodedSnapshot, installed bool) []operation {
	info := snapshotInfo{Incarnation: l.incarnation, At: s.at, Installed: installed}
	payload := appendInfo(nil, recordSnapshotInfo, info)
	payload = appendRecord(payload, recordSnapshot, s.body)
	if l.newestSnapshot() != s.at.Index {
		l.snapshots = append(l.snapshots, s.at.Index)
	}
	return append(ops, putFile{name: snapshotName(s.at.Index), payload: payload})
}

// removeObsolete removes all snapshots but the last two, and the segments whose
// entries are all covered by the older of these two.
func (l *layout) removeObsolete(ops []operation) []operation {
	for len(l.snapshots) > snapshotsKept {
		ops = append(ops, removeFile{name: snapshotName(l.snapshots[0])})
		l.snapshots = l.snapshots[1:]
	}
	for len(l.snapshots) > 0 && len(l.segments) > 1 && l.segments[1].last.Index <= l.snapshots[0] {
		ops = append(ops, removeFile{name: segmentName(l.segments[0].number)})
		l.segments = l.segments[1:]
	}
	return ops
}
