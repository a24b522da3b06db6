package recording

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
)

// Report is the result of the replay of a journal.
type Report struct {
	Runs            int         `json:"runs"`
	Inputs          int         `json:"inputs"`
	Effects         int         `json:"effects"`
	States          int         `json:"states"` // compared state records
	TruncatedRuns   int         `json:"torn"`   // runs whose last line is truncated
	FirstDifference *Difference `json:"first_difference,omitempty"`
}

// Difference is the first place where a replay differs from the journal.
type Difference struct {
	Line     int    `json:"line"`
	Input    int    `json:"input"` // counted from 1 within its run
	Kind     Kind   `json:"kind"`
	What     string `json:"what"`
	Recorded string `json:"recorded"`
	Replayed string `json:"replayed"`
	Content  string `json:"content,omitempty"` // the replayed effect or state
}

func (d *Difference) String() string {
	return fmt.Sprintf("line %d, input %d (%s): %s: recorded %s, replayed %s", d.Line, d.Input, d.Kind, d.What, d.Recorded, d.Replayed)
}

// maxContentBytes is the largest length of the content of a Difference.
const maxContentBytes = 4096

// verifier replays the runs of one journal.
type verifier struct {
	report  Report
	state   *core.State
	line    int
	input   int // number of inputs so far in the run
	kind    Kind
	lineErr error // decoding error of the previous line, if it may be the truncated end of a run
}

// Verify replays a journal up to the first difference. It returns an error if the
// journal cannot be read or does not follow the schema.
func Verify(in io.Reader) (Report, error) {
	v := &verifier{}
	reader := bufio.NewReaderSize(in, 1<<20)
	for v.report.FirstDifference == nil {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			if len(line) > 0 {
				v.report.TruncatedRuns++
			}
			break
		}
		if err != nil {
			return v.report, errors.Annotate(err, "reading the journal")
		}
		v.line++
		if err := v.handleLine(line); err != nil {
			return v.report, errors.Annotatef(err, "line %d", v.line)
		}
	}
	if v.lineErr != nil {
		return v.report, errors.Annotatef(v.lineErr, "line %d", v.line)
	}
	if v.report.Runs == 0 {
		return v.report, errors.New("the journal holds no start record")
	}
	return v.report, nil
}

func (v *verifier) handleLine(line []byte) error {
	if len(line) > MaxRecordBytes {
		return errors.Errorf("%d bytes, at most %d are allowed", len(line), MaxRecordBytes)
	}
	var record Record
	err := decodeStrict(line, &record)
	if v.lineErr != nil && (err != nil || record.Start == nil) {
		return v.lineErr
	}
	if err != nil {
		// The last line of a killed run can be truncated. The next line must then be
		// the start record of the next run.
		v.lineErr = err
		return nil
	}
	switch {
	case record.Start != nil:
		if v.lineErr != nil {
			v.lineErr = nil
			v.report.TruncatedRuns++
		}
		return v.startRun(record.Start)
	case v.state == nil:
		return errors.New("the journal does not start with a start record")
	case record.Input != nil:
		return v.replay(record.Input)
	case record.State != nil:
		return v.compareState(record.State)
	default:
		return errors.New("the record is empty")
	}
}

func (v *verifier) startRun(s *Start) error {
	if s.Version != Version {
		return errors.NotSupportedf("journal version %d", s.Version)
	}
	stored, err := s.Stored.decode()
	if err != nil {
		return err
	}
	v.state, err = core.New(s.config(), stored, s.At, s.Rand)
	v.report.Runs++
	v.input = 0
	return errors.Annotate(err, "starting from the recorded state")
}

func (s *Stored) decode() (core.Stored, error) {
	var stored core.Stored
	var err error
	if stored.HardState, err = codec.DecodeHardState(s.HardState); err != nil {
		return stored, err
	}
	if s.Snapshot != nil {
		if stored.Snapshot, err = codec.DecodeSnapshot(s.Snapshot); err != nil {
			return stored, err
		}
	}
	for _, data := range s.Entries {
		entry, err := codec.DecodeEntry(data)
		if err != nil {
			return stored, err
		}
		stored.Entries = append(stored.Entries, entry)
	}
	return stored, nil
}

func (v *verifier) replay(in *Input) error {
	e, err := decodeEvent(in)
	if err != nil {
		return err
	}
	v.report.Inputs++
	v.input++
	v.kind = in.Kind
	effects := core.Reduce(v.state, event.Input{At: in.At, Rand: in.Rand, Event: e})
	digests, err := digestEffects(effects)
	if err != nil {
		return err
	}
	v.report.Effects += len(digests)
	v.compareEffects(in.Effects, digests, effects)
	return nil
}

// compareEffects records the first effect that differs.
func (v *verifier) compareEffects(recorded, replayed []Digest, effects []effect.Effect) {
	for i := range max(len(recorded), len(replayed)) {
		a, b := digestAt(recorded, i), digestAt(replayed, i)
		if a == b {
			continue
		}
		d := v.recordDifference(fmt.Sprintf("effect %d of %d", i+1, len(recorded)), a, b)
		if i < len(effects) {
			content, _ := encodeEffect(effects[i])
			d.Content = truncate(string(content))
		}
		return
	}
}

func digestAt(list []Digest, i int) Digest {
	if i < len(list) {
		return list[i]
	}
	return "none"
}

func (v *verifier) compareState(recorded *State) error {
	inspection := v.state.Inspect()
	state, err := digestState(inspection)
	if err != nil {
		return err
	}
	v.report.States++
	if state.Fleet != recorded.Fleet {
		content, _ := encodeFleet(inspection.Fleet)
		v.recordDifference("replicated state", recorded.Fleet, state.Fleet).Content = truncate(string(content))
	} else if state.Status != recorded.Status {
		v.recordDifference("status", recorded.Status, state.Status)
	}
	return nil
}

func (v *verifier) recordDifference(what string, recorded, replayed Digest) *Difference {
	v.report.FirstDifference = &Difference{
		Line: v.line, Input: v.input, Kind: v.kind, What: what,
		Recorded: string(recorded), Replayed: string(replayed),
	}
	return v.report.FirstDifference
}

func truncate(s string) string {
	if len(s) <= maxContentBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxContentBytes], "") + "..."
}

// IsJournal reports whether head is the start of a journal.
func IsJournal(head []byte) bool { return bytes.HasPrefix(head, []byte(`{"start":`)) }
