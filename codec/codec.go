// Package codec encodes and decodes the system's typed values. Records on disk and
// recorded messages are JSON. Messages between processes use a packed binary format, or
// JSON if the two builds do not have the same message types.
//
// Encoding is deterministic: equal values yield equal bytes, because struct fields have a
// fixed order, map keys are sorted, and claims are sorted by team and key. Encoders only
// read their argument, so a value may be encoded while other goroutines read it.
//
// Decoders never panic. They reject input over a size limit, unknown fields, and data
// after the value. Unknown fields are rejected because a replica that ignored part of a
// command would diverge from the others.
//
// Empty and nil slices have the same encoding, which is decoded as nil. Nil maps of the
// fleet state are decoded as empty maps. Strings should be valid UTF-8; invalid bytes are
// replaced.
package codec

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
)

// The types of the replicated log of the fleet.
type (
	Entry    = consensus.Entry[fleet.Command]
	Snapshot = consensus.Snapshot[*fleet.State]
)

// Size limits of encoded values in bytes. Encoders and decoders apply the same limits, so
// that nothing is stored or sent that cannot be decoded.
const (
	// MaxCommandBytes allows for a configuration of 4 MiB, which a command contains twice,
	// decoded and as it was sent, with up to six bytes of JSON for each byte.
	MaxCommandBytes   = 64 << 20
	MaxEntryBytes     = MaxCommandBytes + 4096 // a command, or a voter set
	MaxHardStateBytes = 4096                   // term and vote
	MaxSnapshotBytes  = 256 << 20              // the whole fleet state
	MaxMessageBytes   = MaxSnapshotBytes + 1<<20
)

// ErrTooLarge is the cause of errors about values that exceed their size limit.
const ErrTooLarge = errors.ConstError("encoded value is over the size limit")

// ErrInvalid is the cause of errors about input that does not encode a valid value, and
// about values that cannot be encoded.
const ErrInvalid = errors.ConstError("not a valid encoded value")

// encode returns the JSON encoding of v. It fails with ErrTooLarge if that exceeds limit.
func encode(what string, v any, limit int) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Annotatef(err, "encoding %s", what)
	}
	if len(data) > limit {
		return nil, errors.Annotatef(ErrTooLarge, "encoding %s: %d bytes, limit %d", what, len(data), limit)
	}
	return data, nil
}

// decode decodes the single JSON object in data into v.
func decode(what string, data []byte, v any, limit int) error {
	if len(data) > limit {
		return errors.Annotatef(ErrTooLarge, "decoding %s: %d bytes, limit %d", what, len(data), limit)
	}
	if !startsObject(data) {
		return invalid(what, "a JSON object is expected")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return invalid(what, err.Error())
	}
	if _, err := dec.Token(); err != io.EOF {
		return invalid(what, "data after the value")
	}
	return nil
}

// startsObject reports whether data starts a JSON object. It excludes null, which
// encoding/json accepts for any struct.
func startsObject(data []byte) bool {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	return len(trimmed) > 0 && trimmed[0] == '{'
}

func invalid(what, detail string) error {
	return errors.Annotatef(ErrInvalid, "decoding %s: %s", what, detail)
}

// countTrue returns how many of the flags are true.
func countTrue(flags ...bool) int {
	n := 0
	for _, set := range flags {
		if set {
			n++
		}
	}
	return n
}
