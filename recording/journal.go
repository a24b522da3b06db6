// Package recording records every input of a process with digests of the effects that
// the reducer returned for it, and verifies that a replay of the inputs gives the same
// effects and the same state.
//
// A journal is a file of JSON records, one per line. It holds one or more runs of one
// process. Each run starts with a start record, which holds the configuration and the
// contents of the data folder. It is followed by the inputs in the order in which the
// reducer processed them, and by digests of the whole state after some of the inputs.
// docs/replay.md describes the schema.
//
// A journal holds what callers and operators sent, except request bodies: queues,
// teams, hashes of keys, stored answers and rules. Only its owner can read the file.
package recording

import (
	"encoding/json"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule"
)

// Version is the version of the schema. Verify rejects any other.
const Version = 1

// MaxRecordBytes is the largest length of one line. The longest lines are inputs that
// carry a whole snapshot.
const MaxRecordBytes = 260 << 20

// Record is one line of a journal. Exactly one field is set.
type Record struct {
	Start *Start `json:"start,omitempty"`
	Input *Input `json:"input,omitempty"`
	State *State `json:"state,omitempty"`
}

// Start is the first record of each run of a process.
type Start struct {
	Version       int                    `json:"version"`
	Host          model.HostID           `json:"host"`
	DataCentre    model.DataCentreID     `json:"dc"`
	Incarnation   model.Incarnation      `json:"inc"`
	Replica       model.Incarnation      `json:"replica"`
	Durable       bool                   `json:"durable,omitempty"`
	Peers         []model.HostID         `json:"peers,omitempty"`
	MaxVoters     int                    `json:"max_voters,omitempty"`
	Policy        dispatch.PolicyName    `json:"policy,omitempty"`
	HostPolicy    maintenance.PolicyName `json:"host_policy,omitempty"`
	SnapshotEvery uint64                 `json:"snapshot_every,omitempty"`
	Bounds        schedule.Bounds        `json:"bounds,omitzero"`
	MaxInflight   int                    `json:"max_inflight,omitempty"`
	Seeds         []model.HostID         `json:"seeds,omitempty"`
	At            model.Time             `json:"at"`
	Rand          uint64                 `json:"rand"`
	Stored        Stored                 `json:"stored"`
}

// Stored is the contents of the data folder at the start of a run, in the encoding of
// package codec.
type Stored struct {
	HardState json.RawMessage   `json:"hard_state"`
	Snapshot  json.RawMessage   `json:"snapshot,omitempty"`
	Entries   []json.RawMessage `json:"entries,omitempty"`
}

// Input is one input of the reducer and the digests of the resulting effects.
type Input struct {
	At      model.Time      `json:"at"`
	Rand    uint64          `json:"rand"`
	Kind    Kind            `json:"kind"`
	Event   json.RawMessage `json:"event,omitempty"` // omitted for events without content
	Effects []Digest        `json:"effects,omitempty"`
}

// Digest identifies an effect or a state by its type and content: the name of the
// type, a space, and the first 16 bytes of the SHA-256 of its encoding in hexadecimal.
type Digest string

// State holds the digests of the whole state after the preceding input.
type State struct {
	Fleet  Digest `json:"fleet"`  // of the replicated state
	Status Digest `json:"status"` // of the state of the log, the leases and the queues
}

// config returns the configuration of the run.
func (s *Start) config() core.Config {
	return core.Config{
		Host: s.Host, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Replica: s.Replica,
		Durable: s.Durable, Peers: s.Peers, MaxVoters: s.MaxVoters, Policy: s.Policy, HostPolicy: s.HostPolicy,
		SnapshotEvery: s.SnapshotEvery, Bounds: s.Bounds, Seeds: s.Seeds, MaxInflight: s.MaxInflight,
	}
}
