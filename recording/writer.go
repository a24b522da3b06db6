package recording

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// MaxBytes is the size at which a journal is closed. It prevents a journal that
	// was left enabled from filling the disk of the replicated log.
	MaxBytes = 1 << 30
	fileMode = 0o600
)

// ErrMaxSize reports that a journal has reached MaxBytes.
const ErrMaxSize = errors.ConstError("the journal has reached its maximum size")

// Writer writes a journal synchronously.
type Writer struct {
	file    *os.File
	out     *bufio.Writer
	written int64 // bytes
}

// Create appends a run to the journal at path and writes its start record.
func Create(path string, cfg core.Config, stored core.Stored, now model.Time, rand uint64) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errors.Annotate(err, "opening the journal")
	}
	w := &Writer{file: file, out: bufio.NewWriterSize(file, 64<<10)}
	if err = w.writeStart(cfg, stored, now, rand); err != nil {
		_ = file.Close()
		return nil, errors.Annotatef(err, "starting the journal %s", path)
	}
	return w, nil
}

// writeStart writes the start record. It starts a new line first if an earlier run was
// killed in the middle of a line.
func (w *Writer) writeStart(cfg core.Config, stored core.Stored, now model.Time, rand uint64) error {
	info, err := w.file.Stat()
	if err != nil {
		return errors.Trace(err)
	}
	w.written = info.Size()
	if w.written > 0 {
		last := make([]byte, 1)
		if _, err := w.file.ReadAt(last, w.written-1); err != nil {
			return errors.Trace(err)
		}
		if last[0] != '\n' {
			_ = w.out.WriteByte('\n')
		}
	}
	start, err := newStart(cfg, stored, now, rand)
	if err != nil {
		return err
	}
	if err := w.write(Record{Start: start}); err != nil {
		return err
	}
	return w.Flush()
}

func newStart(cfg core.Config, stored core.Stored, now model.Time, rand uint64) (*Start, error) {
	start := &Start{
		Version: Version, Host: cfg.Host, DataCentre: cfg.DataCentre, Incarnation: cfg.Incarnation,
		Replica: cfg.Replica, Durable: cfg.Durable, Peers: cfg.Peers, MaxVoters: cfg.MaxVoters, Policy: cfg.Policy, HostPolicy: cfg.HostPolicy,
		SnapshotEvery: cfg.SnapshotEvery, Bounds: cfg.Bounds, Seeds: cfg.Seeds, MaxInflight: cfg.MaxInflight,
		At: now, Rand: rand,
	}
	var err error
	if start.Stored.HardState, err = codec.EncodeHardState(stored.HardState); err != nil {
		return nil, err
	}
	if stored.Snapshot != nil {
		if start.Stored.Snapshot, err = codec.EncodeSnapshot(stored.Snapshot); err != nil {
			return nil, err
		}
	}
	for i := range stored.Entries {
		entry, err := codec.EncodeEntry(&stored.Entries[i])
		if err != nil {
			return nil, err
		}
		start.Stored.Entries = append(start.Stored.Entries, entry)
	}
	return start, nil
}

// Record writes an input with the digests of its effects.
func (w *Writer) Record(in event.Input, effects []effect.Effect) error {
	kind, content, err := encodeEvent(in.Event)
	if err != nil {
		return err
	}
	digests, err := digestEffects(effects)
	if err != nil {
		return err
	}
	return w.write(Record{Input: &Input{At: in.At, Rand: in.Rand, Kind: kind, Event: content, Effects: digests}})
}

// Checkpoint writes the digest of the state after the last input.
func (w *Writer) Checkpoint(state core.Inspection) error {
	digest, err := digestState(state)
	if err != nil {
		return err
	}
	return w.write(Record{State: digest})
}

// Flush passes the buffered records to the operating system. Journals are not synced to
// disk.
func (w *Writer) Flush() error { return errors.Trace(w.out.Flush()) }

// Close flushes the journal and closes its file.
func (w *Writer) Close() error {
	err := w.Flush()
	if e := w.file.Close(); err == nil {
		err = errors.Trace(e)
	}
	return err
}

func (w *Writer) write(record Record) error {
	line, err := json.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	if w.written += int64(len(line)) + 1; w.written > MaxBytes {
		return ErrMaxSize
	}
	if _, err := w.out.Write(line); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(w.out.WriteByte('\n'))
}
