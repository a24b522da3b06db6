package journal

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// queueSize is the number of inputs that may wait to be written. At the
	// design load of some thousand inputs a second it covers a stall of the
	// disk of about a second.
	queueSize = 8192
	// MaxBytes is the size at which a journal is closed, so that a forgotten
	// setting does not fill the disk of the replicated log.
	MaxBytes = 1 << 30
	fileMode = 0o600
)

// The reasons why a journal is closed.
const (
	ErrBehind = errors.ConstError("the journal cannot keep up with the inputs")
	ErrFull   = errors.ConstError("the journal has reached its largest size")
)

// item is one input with its effects, or the state after an input.
type item struct {
	in      event.Input
	effects []effect.Effect
	state   *core.Inspection
}

// Recorder writes a journal on its own goroutine. Record and Checkpoint are
// called by the control goroutine and never block; Run writes.
type Recorder struct {
	queue  chan item
	behind chan struct{} // closed by the control goroutine when it had to drop an input
	closed atomic.Bool   // nothing more is recorded
	failed func(error)

	file    io.WriteCloser
	out     *bufio.Writer
	written int64 // bytes
}

// Open appends a run to the journal at path. Run must be called to write it.
// failed is called once, on the goroutine of Run, if the journal is closed
// early.
func Open(path string, cfg core.Config, stored core.Stored, now model.Time, rand uint64, failed func(error)) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errors.Annotate(err, "opening the journal")
	}
	r := newRecorder(file, failed)
	if err = r.begin(file, cfg, stored, now, rand); err != nil {
		_ = file.Close()
		return nil, errors.Annotatef(err, "starting the journal %s", path)
	}
	return r, nil
}

func newRecorder(file io.WriteCloser, failed func(error)) *Recorder {
	return &Recorder{
		queue:  make(chan item, queueSize),
		behind: make(chan struct{}),
		failed: failed,
		file:   file,
		out:    bufio.NewWriterSize(file, 64<<10),
	}
}

// begin writes the start record, on a line of its own even if an earlier run
// was killed in the middle of a line.
func (r *Recorder) begin(file *os.File, cfg core.Config, stored core.Stored, now model.Time, rand uint64) error {
	info, err := file.Stat()
	if err != nil {
		return errors.Trace(err)
	}
	r.written = info.Size()
	if r.written > 0 {
		last := make([]byte, 1)
		if _, err := file.ReadAt(last, r.written-1); err != nil {
			return errors.Trace(err)
		}
		if last[0] != '\n' {
			_ = r.out.WriteByte('\n')
		}
	}
	start, err := newStart(cfg, stored, now, rand)
	if err != nil {
		return err
	}
	if err := r.write(Record{Start: start}); err != nil {
		return err
	}
	return errors.Trace(r.out.Flush())
}

func newStart(cfg core.Config, stored core.Stored, now model.Time, rand uint64) (*Start, error) {
	start := &Start{
		Version: Version, Host: cfg.Host, DataCentre: cfg.DataCentre, Incarnation: cfg.Incarnation,
		Replica: cfg.Replica, Durable: cfg.Durable, Peers: cfg.Peers, MaxVoters: cfg.MaxVoters, Policy: cfg.Policy, SnapshotEvery: cfg.SnapshotEvery,
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

// Record implements control.Recorder.
func (r *Recorder) Record(in event.Input, effects []effect.Effect) {
	r.put(item{in: in, effects: effects})
}

// Checkpoint implements control.Recorder.
func (r *Recorder) Checkpoint(state core.Inspection) { r.put(item{state: &state}) }

// put queues an item. After the first one that finds the queue full nothing
// is recorded, because a replay could not bridge the gap.
func (r *Recorder) put(i item) {
	if r.closed.Load() {
		return
	}
	select {
	case r.queue <- i:
	default:
		r.closed.Store(true)
		close(r.behind)
	}
}

// Run writes the journal until t is dying, then writes what waits and closes
// the file.
func (r *Recorder) Run(t *tomb.Tomb) error {
	defer r.file.Close()
	err := r.run(t)
	r.closed.Store(true)
	if err != nil {
		r.failed(err)
	}
	return nil
}

// Close closes the file of a Recorder that is not run.
func (r *Recorder) Close() error {
	r.closed.Store(true)
	return errors.Trace(r.file.Close())
}

func (r *Recorder) run(t *tomb.Tomb) error {
	for {
		select {
		case i := <-r.queue:
			if err := r.writeGroup(i); err != nil {
				return err
			}
		case <-r.behind:
			if err := r.writeWaiting(); err != nil {
				return err
			}
			return ErrBehind
		case <-t.Dying():
			return r.writeWaiting()
		}
	}
}

// writeGroup writes an item and those that wait behind it with one flush.
func (r *Recorder) writeGroup(first item) error {
	if err := r.writeItem(first); err != nil {
		return err
	}
	return r.writeWaiting()
}

func (r *Recorder) writeWaiting() error {
	for {
		select {
		case i := <-r.queue:
			if err := r.writeItem(i); err != nil {
				return err
			}
		default:
			return errors.Trace(r.out.Flush())
		}
	}
}

func (r *Recorder) writeItem(i item) error {
	if i.state != nil {
		state, err := digestState(*i.state)
		if err != nil {
			return err
		}
		return r.write(Record{State: state})
	}
	kind, content, err := encodeEvent(i.in.Event)
	if err != nil {
		return err
	}
	effects, err := digestEffects(i.effects)
	if err != nil {
		return err
	}
	return r.write(Record{Input: &Input{At: i.in.At, Rand: i.in.Rand, Kind: kind, Event: content, Effects: effects}})
}

func (r *Recorder) write(record Record) error {
	line, err := json.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	if r.written += int64(len(line)) + 1; r.written > MaxBytes {
		return ErrFull
	}
	if _, err := r.out.Write(line); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(r.out.WriteByte('\n'))
}
