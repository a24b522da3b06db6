package recording

import (
	"sync/atomic"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
)

// queueSize is the number of inputs that may wait to be written. At the design
// load of some thousand inputs a second it covers a stall of the disk of about
// a second.
const queueSize = 8192

// ErrBehind says that a journal was closed because its queue was full.
const ErrBehind = errors.ConstError("the journal cannot keep up with the inputs")

// item is one input with its effects, or the state after an input.
type item struct {
	in      event.Input
	effects []effect.Effect
	state   *core.Inspection
}

// Recorder writes a journal on its own goroutine. Record and Checkpoint are
// called by the control goroutine and never block; Run writes.
type Recorder struct {
	queue     chan item
	overflow  chan struct{} // closed by the control goroutine when it had to drop an input
	closed    atomic.Bool   // nothing more is recorded
	onFailure func(error)
	writer    *Writer
}

// NewRecorder returns a Recorder of the journal. Run must be called to write
// it. failed is called once, on the goroutine of Run, if the journal is closed
// early.
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

// enqueue queues an item. After the first one that finds the queue full nothing
// is recorded, because a replay could not bridge the gap.
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

// Run writes the journal until t is dying, then writes what waits and closes
// the file.
func (r *Recorder) Run(t *tomb.Tomb) error {
	defer r.writer.Close()
	err := r.run(t)
	r.closed.Store(true)
	if err != nil {
		r.onFailure(err)
	}
	return nil
}

// Close closes the file of a Recorder that is not run.
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
			return ErrBehind
		case <-t.Dying():
			return r.writeQueued()
		}
	}
}

// writeBatch writes an item and those that wait behind it with one flush.
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
