package storage

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/model"
)

// recordKind is the first byte of a record.
type recordKind byte

// Record kinds.
const (
	recordIdentity     recordKind = 'I' // the only record of the identity file
	recordSegment      recordKind = 'G' // first record of a segment
	recordHardState    recordKind = 'H'
	recordEntry        recordKind = 'E' // replaces the stored entries from its index on
	recordReset        recordKind = 'R' // an installed snapshot replaces the whole log
	recordSeal         recordKind = 'N' // the log continues in the next segment
	recordSnapshotInfo recordKind = 'M' // first record of a snapshot file
	recordSnapshot     recordKind = 'S'
)

// position is a place in the log: an index and the term of the entry there.
type position struct {
	Index uint64 `json:"i"`
	Term  uint64 `json:"t"`
}

// segmentInfo is the state of the log at the start of a segment. It must agree with
// what the earlier segments contain.
type segmentInfo struct {
	Incarnation model.Incarnation   `json:"inc"`
	Number      uint64              `json:"number"`
	Last        position            `json:"last"` // last entry before the segment
	HardState   consensus.HardState `json:"hard"`
}

// snapshotInfo describes the origin of a snapshot and its position in the log.
type snapshotInfo struct {
	Incarnation model.Incarnation `json:"inc"`
	At          position          `json:"at"`
	Installed   bool              `json:"installed,omitempty"` // received from the leader, so the log may end before it
}

// identityInfo is the content of the identity file.
type identityInfo struct {
	Format      int               `json:"format"`
	Cluster     string            `json:"cluster"`
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
}

// formatVersion is the version of the data folder format.
const formatVersion = 1

// record is one decoded record.
type record struct {
	kind recordKind
	body []byte // JSON
}

// recordOverhead is the size in bytes of the kind and the line end of a record.
const recordOverhead = 2

// appendRecord appends one record as a line to dst.
func appendRecord(dst []byte, kind recordKind, body []byte) []byte {
	dst = append(dst, byte(kind))
	dst = append(dst, body...)
	return append(dst, '\n')
}

// appendInfo appends a record whose body is one of this package's types.
func appendInfo(dst []byte, kind recordKind, info any) []byte {
	body, err := json.Marshal(info)
	if err != nil {
		// This package's types contain only strings, numbers and booleans.
		panic(err)
	}
	return appendRecord(dst, kind, body)
}

// splitRecords returns the records in the payload of a frame.
func splitRecords(payload []byte) ([]record, error) {
	var records []record
	for len(payload) > 0 {
		end := bytes.IndexByte(payload, '\n')
		if end < 1 {
			return nil, errors.New("record has no kind or no line end")
		}
		records = append(records, record{kind: recordKind(payload[0]), body: payload[1:end]})
		payload = payload[end+1:]
	}
	return records, nil
}

// decodeInfo decodes a record, which must be of this kind, into info, one of this
// package's types.
func decodeInfo(r record, kind recordKind, info any) error {
	if r.kind != kind {
		return errors.Errorf("record has kind %q, expected %q", r.kind, kind)
	}
	dec := json.NewDecoder(bytes.NewReader(r.body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(info); err != nil {
		return errors.Annotatef(err, "record %q", kind)
	}
	return nil
}
