// Package recording records every input of a process with a digest of the
// effects that the reducer returned for it, and checks that a replay of the
// inputs gives the same effects and the same state.
//
// A journal is a text of JSON records, one a line. It holds one run or more of
// one process. Each run begins with a start record, which holds the
// configuration and what the data folder held; then follow the inputs in the
// order in which the reducer took them, and digests of the whole state at some
// of them. docs/replay.md describes the schema.
//
// A journal holds what callers and operators sent, apart from request bodies:
// queues, teams, hashes of keys, stored answers and rules. Its file can be read
// by its owner only.
package recording

import (
	"encoding/json"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule"
)

// Version is the version of the schema. A reader refuses any other.
const Version = 1

// MaxRecordBytes bounds one line: an input that carries a whole snapshot.
const MaxRecordBytes = 260 << 20

// Record is one line. Exactly one field is set.
type Record struct {
	Start *Start `json:"start,omitempty"`
	Input *Input `json:"input,omitempty"`
	State *State `json:"state,omitempty"`
}

// Start begins one run of a process.
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

// Stored is what the data folder held at the start, in the encoding of package
// codec.
type Stored struct {
	HardState json.RawMessage   `json:"hard_state"`
	Snapshot  json.RawMessage   `json:"snapshot,omitempty"`
	Entries   []json.RawMessage `json:"entries,omitempty"`
}

// Input is one input of the reducer and what came of it.
type Input struct {
	At      model.Time      `json:"at"`
	Rand    uint64          `json:"rand"`
	Kind    Kind            `json:"kind"`
	Event   json.RawMessage `json:"event,omitempty"` // left out for events without content
	Effects []Digest        `json:"effects,omitempty"`
}

// Digest names an effect and its content: the type, a space, and the first 16
// bytes of the SHA-256 of its encoding, in hexadecimal.
type Digest string

// State is the digest of the whole state after the last input.
type State struct {
	Fleet  Digest `json:"fleet"`  // of the replicated state
	Status Digest `json:"status"` // of the log's, the leases' and the queues' state
}

// Config returns the configuration of the run.
func (s *Start) config() core.Config {
	return core.Config{
		Host: s.Host, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Replica: s.Replica,
		Durable: s.Durable, Peers: s.Peers, MaxVoters: s.MaxVoters, Policy: s.Policy, HostPolicy: s.HostPolicy,
		SnapshotEvery: s.SnapshotEvery, Bounds: s.Bounds, Seeds: s.Seeds, MaxInflight: s.MaxInflight,
	}
}
