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
	// writerQueueSize is the number of writes that may wait for the disk. At one
	// write for each event it covers a stall of many seconds.
	writerQueueSize = 1 << 16
	// maxMergedEntries bounds the entries that share one sync.
	maxMergedEntries = 4096
)

var (
	syncSeconds  = metrics.NewHistogram("primrosedale_log_sync_seconds")
	syncedTotal  = metrics.NewCounter("primrosedale_log_entries_synced_total")
	errQueueFull = errors.New("the queue of log writes is full: the disk is too slow")
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
	store    logStore
	loop     controlQueue
	log      logevent.Logger
	queue    chan *effect.Persist
	overflow chan struct{}
}

func newLogWriter(store logStore, loop controlQueue, log logevent.Logger) *logWriter {
	return &logWriter{
		store: store, loop: loop, log: log,
		queue:    make(chan *effect.Persist, writerQueueSize),
		overflow: make(chan struct{}, 1),
	}
}

// persist queues a write without blocking. If the queue overflows, the process ends as
// after a failed sync, because a write was lost.
func (w *logWriter) persist(e effect.Persist) {
	select {
	case w.queue <- &e:
	default:
		select {
		case w.overflow <- struct{}{}:
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
			if err := w.write(ctx, w.collectGroup(e)); err != nil {
				w.loop.PostWait(ctx, event.PersistFailed{Reason: err.Error()})
				return nil
			}
		case <-w.overflow:
			w.loop.PostWait(ctx, event.PersistFailed{Reason: errQueueFull.Error()})
			return nil
		case <-w.loop.Halted():
			return nil
		case <-t.Dying():
			return nil
		}
	}
}

// collectGroup merges the waiting writes that can share a sync with the first.
func (w *logWriter) collectGroup(first *effect.Persist) []*effect.Persist {
	group := []*effect.Persist{first}
	entries := len(first.Entries)
	for entries < maxMergedEntries {
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

// write makes a group of writes durable, in order, and reports the last. A local
// snapshot is written after the report, because no entry depends on it and it may have
// to wait for free space.
func (w *logWriter) write(ctx context.Context, group []*effect.Persist) error {
	var batch storage.Batch
	var local *storage.Snapshot
	var report event.Persisted
	for _, e := range group {
		switch {
		case e.Snapshot != nil && e.Install:
			if err := w.sync(ctx, batch); err != nil {
				return err
			}
			batch = storage.Batch{Snapshot: e.Snapshot, Install: true}
			local = nil // older than the installed snapshot
		case e.Snapshot != nil:
			local = e.Snapshot
		}
		if e.HardState != nil {
			batch.HardState = e.HardState
		}
		batch.Entries = mergeEntries(batch.Entries, e.Entries)
		if e.Term != 0 {
			report = event.Persisted{Term: e.Term, Index: e.Index}
		}
	}
	if err := w.sync(ctx, batch); err != nil {
		return err
	}
	if report.Term != 0 {
		w.loop.PostWait(ctx, report)
	}
	return w.sync(ctx, storage.Batch{Snapshot: local})
}

// sync makes a batch durable. On a full disk it waits for free space until ctx ends.
func (w *logWriter) sync(ctx context.Context, b storage.Batch) error {
	if b.Snapshot == nil && b.HardState == nil && len(b.Entries) == 0 {
		return nil
	}
	start := w.loop.Now()
	write := func() error { return w.store.Write(b) }
	err := retryWhileDiskFull(ctx, w.log, func() error {
		try := write
		write = w.store.Resume
		return try()
	})
	if err != nil {
		return err
	}
	syncSeconds.Update(w.loop.Now().Sub(start).Seconds())
	syncedTotal.Add(len(b.Entries))
	return nil
}

// mergeEntries appends later entries to earlier ones. Later entries replace all
// earlier ones at and after their first index.
func mergeEntries(earlier, later []storage.Entry) []storage.Entry {
	if len(later) == 0 {
		return earlier
	}
	keep := len(earlier)
	for keep > 0 && earlier[keep-1].Index >= later[0].Index {
		keep--
	}
	return append(earlier[:keep:keep], later...)
}
