package recording

import (
	"sync/atomic"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
)

// queueSize is the largest number of inputs that wait to be written. At the design
// load of several thousand inputs per second it covers a disk stall of about a second.
const queueSize = 8192

// ErrQueueOverflow reports that a journal was closed because its queue was full.
const ErrQueueOverflow = errors.ConstError("the journal cannot keep up with the inputs")

// item is an input with its effects, or the state after an input.
type item struct {
	in      event.Input
	effects []effect.Effect
	state   *core.Inspection
}

// Recorder writes a journal on its own goroutine, in Run. The control goroutine calls
// Record and Checkpoint, which never block.
type Recorder struct {
	queue     chan item
	overflow  chan struct{} // closed by the control goroutine when the queue is full
	closed    atomic.Bool   // further inputs are dropped
	onFailure func(error)
	writer    *Writer
}

// NewRecorder returns a Recorder that writes to w once Run is called. onFailure is
// called once, on the goroutine of Run, if writing fails or the queue overflows.
func NewRecorder(w *Writer, onFailure func(error)) *Recorder {
	return &Recorder{
		queue:     make(chan item, queueSize),
		overflow:  make(chan struct{}),
		onFailure: onFailure,
		writer:    w,
	}
}

// Record implements control.Recorder.
func (r *Recorder) Record(in event.Input, effects []effect.Effect) {
	r.enqueue(item{in: in, effects: effects})
}

// Checkpoint implements control.Recorder.
func (r *Recorder) Checkpoint(state core.Inspection) { r.enqueue(item{state: &state}) }

// enqueue adds an item to the queue. When the queue is full, it drops the item and
// closes the recorder, because a journal with a gap cannot be replayed.
func (r *Recorder) enqueue(i item) {
	if r.closed.Load() {
		return
	}
	select {
	case r.queue <- i:
	default:
		r.closed.Store(true)
		close(r.overflow)
	}
}

// Run writes the journal until t is dying, then writes the queued items and closes the
// file.
func (r *Recorder) Run(t *tomb.Tomb) error {
	defer r.writer.Close()
	err := r.run(t)
	r.closed.Store(true)
	if err != nil {
		r.onFailure(err)
	}
	return nil
}

// Close closes the file of a Recorder whose Run is not called.
func (r *Recorder) Close() error {
	r.closed.Store(true)
	return r.writer.Close()
}

func (r *Recorder) run(t *tomb.Tomb) error {
	for {
		select {
		case i := <-r.queue:
			if err := r.writeBatch(i); err != nil {
				return err
			}
		case <-r.overflow:
			if err := r.writeQueued(); err != nil {
				return err
			}
			return ErrQueueOverflow
		case <-t.Dying():
			return r.writeQueued()
		}
	}
}

// writeBatch writes an item and all queued ones with a single flush.
func (r *Recorder) writeBatch(first item) error {
	if err := r.writeItem(first); err != nil {
		return err
	}
	return r.writeQueued()
}

func (r *Recorder) writeQueued() error {
	for {
		select {
		case i := <-r.queue:
			if err := r.writeItem(i); err != nil {
				return err
			}
		default:
			return r.writer.Flush()
		}
	}
}

func (r *Recorder) writeItem(i item) error {
	if i.state != nil {
		return r.writer.Checkpoint(*i.state)
	}
	return r.writer.Record(i.in, i.effects)
}
