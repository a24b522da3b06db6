package daemon

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/storage"
)

const (
	// writerQueue is the number of writes that may wait for the disk. At one
	// write for each event it covers a stall of many seconds.
	writerQueue = 1 << 16
	// mergedEntriesMax bounds the entries that share one sync.
	mergedEntriesMax = 4096
)

var (
	syncSeconds  = metrics.NewHistogram("primrosedale_log_sync_seconds")
	syncedTotal  = metrics.NewCounter("primrosedale_log_entries_synced_total")
	errQueueFull = errors.New("the disk does not keep up with the log")
)

// logStore is the part of storage.Store that a logWriter needs.
type logStore interface {
	Write(b storage.Batch) error
	Resume() error
}

// controlQueue is the part of control.Loop that a logWriter needs.
type controlQueue interface {
	Now() model.Time
	PostWait(ctx context.Context, e event.Event) bool
	Halted() <-chan struct{}
}

// logWriter carries out Persist effects on its own goroutine. Writes that wait
// for the disk together share one sync.
type logWriter struct {
	store logStore
	loop  controlQueue
	log   logevent.Logger
	queue chan *effect.Persist
	full  chan struct{}
}

func newLogWriter(store logStore, loop controlQueue, log logevent.Logger) *logWriter {
	return &logWriter{
		store: store, loop: loop, log: log,
		queue: make(chan *effect.Persist, writerQueue),
		full:  make(chan struct{}, 1),
	}
}

// persist queues a write without blocking. A queue that overflows ends the
// process like a failed sync, since a write was lost.
func (w *logWriter) persist(e effect.Persist) {
	select {
	case w.queue <- &e:
	default:
		select {
		case w.full <- struct{}{}:
		default:
		}
	}
}

func (w *logWriter) run(t *tomb.Tomb) error {
	ctx, cancel := context.WithCancel(t.Context(context.Background()))
	defer cancel()
	for {
		select {
		case e := <-w.queue:
			if err := w.write(ctx, w.collect(e)); err != nil {
				w.loop.PostWait(ctx, event.PersistFailed{Reason: err.Error()})
				return nil
			}
		case <-w.full:
			w.loop.PostWait(ctx, event.PersistFailed{Reason: errQueueFull.Error()})
			return nil
		case <-w.loop.Halted():
			return nil
		case <-t.Dying():
			return nil
		}
	}
}

// collect merges the waiting writes that can share a sync with the first.
func (w *logWriter) collect(first *effect.Persist) []*effect.Persist {
	group := []*effect.Persist{first}
	entries := len(first.Entries)
	for entries < mergedEntriesMax {
		select {
		case e := <-w.queue:
			group = append(group, e)
			entries += len(e.Entries)
		default:
			return group
		}
	}
	return group
}

// write makes a group of writes durable, in order, and reports the last. A snapshot of
// our own comes after the report: no entry waits for it, and it may wait for room.
func (w *logWriter) write(ctx context.Context, group []*effect.Persist) error {
	var batch storage.Batch
	var own *storage.Snapshot
	var done event.Persisted
	for _, e := range group {
		switch {
		case e.Snapshot != nil && e.Install:
			if err := w.sync(ctx, batch); err != nil {
				return err
			}
			batch = storage.Batch{Snapshot: e.Snapshot, Install: true}
			own = nil // it is older
		case e.Snapshot != nil:
			own = e.Snapshot
		}
		if e.HardState != nil {
			batch.HardState = e.HardState
		}
		batch.Entries = replaceFrom(batch.Entries, e.Entries)
		if e.Term != 0 {
			done = event.Persisted{Term: e.Term, Index: e.Index}
		}
	}
	if err := w.sync(ctx, batch); err != nil {
		return err
	}
	if done.Term != 0 {
		w.loop.PostWait(ctx, done)
	}
	return w.sync(ctx, storage.Batch{Snapshot: own})
}

// sync makes a batch durable. On a full disk it waits for room until ctx ends.
func (w *logWriter) sync(ctx context.Context, b storage.Batch) error {
	if b.Snapshot == nil && b.HardState == nil && len(b.Entries) == 0 {
		return nil
	}
	began := w.loop.Now()
	write := func() error { return w.store.Write(b) }
	err := untilRoom(ctx, w.log, func() error {
		try := write
		write = w.store.Resume
		return try()
	})
	if err != nil {
		return err
	}
	syncSeconds.Update(w.loop.Now().Sub(began).Seconds())
	syncedTotal.Add(len(b.Entries))
	return nil
}

// replaceFrom appends later entries to earlier ones. Later entries replace all
// earlier ones at and after their first index.
func replaceFrom(earlier, later []storage.Entry) []storage.Entry {
	if len(later) == 0 {
		return earlier
	}
	keep := len(earlier)
	for keep > 0 && earlier[keep-1].Index >= later[0].Index {
		keep--
	}
	return append(earlier[:keep:keep], later...)
}
