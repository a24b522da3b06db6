package codec

import (
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
)

// EncodeCommand returns the JSON encoding of c. It fails unless exactly one change is set
// in c and the encoding is at most MaxCommandBytes long.
func EncodeCommand(c *fleet.Command) ([]byte, error) {
	if err := checkCommand(c); err != nil {
		return nil, err
	}
	return encode("command", c, MaxCommandBytes)
}

// DecodeCommand decodes a command from JSON.
func DecodeCommand(data []byte) (*fleet.Command, error) {
	c := &fleet.Command{}
	if err := decode("command", data, c, MaxCommandBytes); err != nil {
		return nil, err
	}
	if err := checkCommand(c); err != nil {
		return nil, err
	}
	return c, nil
}

// EncodeEntry returns the JSON encoding of e.
func EncodeEntry(e *Entry) ([]byte, error) {
	if err := checkEntry(e); err != nil {
		return nil, err
	}
	return encode("entry", e, MaxEntryBytes)
}

// DecodeEntry decodes a log entry from JSON.
func DecodeEntry(data []byte) (Entry, error) {
	var e Entry
	if err := decode("entry", data, &e, MaxEntryBytes); err != nil {
		return Entry{}, err
	}
	if err := checkEntry(&e); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// EncodeHardState returns the JSON encoding of h.
func EncodeHardState(h consensus.HardState) ([]byte, error) {
	return encode("hard state", h, MaxHardStateBytes)
}

// DecodeHardState decodes a hard state from JSON.
func DecodeHardState(data []byte) (consensus.HardState, error) {
	var h consensus.HardState
	if err := decode("hard state", data, &h, MaxHardStateBytes); err != nil {
		return consensus.HardState{}, err
	}
	return h, nil
}

// EncodeSnapshot returns the JSON encoding of s, whose state must be set.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	if s.State == nil {
		return nil, invalid("snapshot", "the state is missing")
	}
	return encode("snapshot", encodableSnapshot(s), MaxSnapshotBytes)
}

// DecodeSnapshot decodes a snapshot from JSON.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := decode("snapshot", data, s, MaxSnapshotBytes); err != nil {
		return nil, err
	}
	if err := restoreSnapshot(s); err != nil {
		return nil, err
	}
	return s, nil
}

// encodableSnapshot returns a copy of s with its state in encoded form.
func encodableSnapshot(s *Snapshot) *Snapshot {
	wire := *s
	wire.State = encodableState(s.State)
	return &wire
}

func restoreSnapshot(s *Snapshot) error {
	if s.State == nil {
		return invalid("snapshot", "the state is missing")
	}
	return restoreState(s.State)
}

// checkEntry checks that the content of e matches its kind.
func checkEntry(e *Entry) error {
	switch e.Kind {
	case consensus.EntryCommand:
		if e.Command == nil || len(e.Voters) > 0 {
			return invalid("entry", "a command entry has a command and no voters")
		}
		return checkCommand(e.Command)
	case consensus.EntryNoop:
		if e.Command != nil || len(e.Voters) > 0 {
			return invalid("entry", "a no-op entry has no content")
		}
	case consensus.EntryVoters:
		if e.Command != nil || len(e.Voters) == 0 {
			return invalid("entry", "a voters entry has voters and no command")
		}
	default:
		return invalid("entry", "unknown kind")
	}
	return nil
}

// checkCommand checks that exactly one change is set in c.
func checkCommand(c *fleet.Command) error {
	n := countTrue(
		c.ApplyRules != nil, c.GrantKey != nil, c.WithdrawKey != nil, c.AddMember != nil,
		c.Claim != nil, c.Complete != nil, c.Release != nil,
		c.RegisterTarget != nil, c.RemoveTarget != nil,
		c.ReportHost != nil, c.PlanHost != nil,
		c.SubmitTask != nil, c.PlaceTask != nil, c.EndTask != nil, c.CancelTask != nil,
		c.RecordBurn != nil, c.Jobs != nil,
	)
	if n != 1 {
		return invalid("command", "exactly one change must be set")
	}
	return nil
}
