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

// The record kinds.
const (
	recordIdentity     recordKind = 'I' // of the folder; the only record of its file
	recordSegment      recordKind = 'G' // first record of a segment
	recordHardState    recordKind = 'H'
	recordEntry        recordKind = 'E' // replaces stored entries at and after its index
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

// segmentInfo describes the log at the start of a segment. It must agree with
// what the segments before it hold.
type segmentInfo struct {
	Incarnation model.Incarnation   `json:"inc"`
	Number      uint64              `json:"number"`
	Last        position            `json:"last"` // last entry before the segment
	HardState   consensus.HardState `json:"hard"`
}

// snapshotInfo tells how a snapshot relates to the log.
type snapshotInfo struct {
	Incarnation model.Incarnation `json:"inc"`
	At          position          `json:"at"`
	Installed   bool              `json:"installed,omitempty"` // from the leader, so the log may not reach it
}

// identityInfo is the content of the identity file.
type identityInfo struct {
	Format      int               `json:"format"`
	Cluster     string            `json:"cluster"`
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
}

// format is the version of the layout of the data folder.
const formatVersion = 1

// record is one decoded record.
type record struct {
	kind recordKind
	body []byte // JSON
}

// recordOverhead is the size in bytes of a record's kind and line end.
const recordOverhead = 2

// appendRecord appends the line of one record to dst.
func appendRecord(dst []byte, kind recordKind, body []byte) []byte {
	dst = append(dst, byte(kind))
	dst = append(dst, body...)
	return append(dst, '\n')
}

// appendInfo appends a record whose body is one of the package's own types.
func appendInfo(dst []byte, kind recordKind, info any) []byte {
	body, err := json.Marshal(info)
	if err != nil {
		// The own types have only strings, numbers and flags.
		panic(err)
	}
	return appendRecord(dst, kind, body)
}

// splitRecords returns the records of a payload.
func splitRecords(payload []byte) ([]record, error) {
	var records []record
	for len(payload) > 0 {
		end := bytes.IndexByte(payload, '\n')
		if end < 1 {
			return nil, errors.New("a record has no kind or no end")
		}
		records = append(records, record{kind: recordKind(payload[0]), body: payload[1:end]})
		payload = payload[end+1:]
	}
	return records, nil
}

// decodeInfo fills info, one of the package's own types, from a record that
// must be of this kind.
func decodeInfo(r record, kind recordKind, info any) error {
	if r.kind != kind {
		return errors.Errorf("record kind %q found where %q is expected", r.kind, kind)
	}
	dec := json.NewDecoder(bytes.NewReader(r.body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(info); err != nil {
		return errors.Annotatef(err, "record %q", kind)
	}
	return nil
}
