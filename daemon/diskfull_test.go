package daemon

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/control"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/storage"
)

// fullStore is a store whose disk is full until Resume has been called freeAfter
// times.
type fullStore struct {
	freeAfter int
	writes    int
	resumes   int
}

func (s *fullStore) Write(storage.Batch) error {
	s.writes++
	return errors.WithType(errors.New("injected"), storage.ErrNoSpace)
}

func (s *fullStore) Resume() error {
	s.resumes++
	if s.resumes < s.freeAfter {
		return errors.WithType(errors.New("injected"), storage.ErrNoSpace)
	}
	return nil
}

// Guards against a process that ends because its disk is temporarily full, and against
// a write that is passed to the store twice.
func TestWriteIsRetriedWhileDiskIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fullStore{freeAfter: 5}
		w := newLogWriter(store, control.New(), logevent.Logger{})
		group := []*effect.Persist{{HardState: &consensus.HardState{Term: 2}, Term: 2}}
		require.NoError(t, w.write(t.Context(), group))
		require.Equal(t, 1, store.writes)
		require.Equal(t, 5, store.resumes)
	})
}

// Guards against a process that cannot be stopped while its disk is full.
func TestStopWhileDiskIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLogWriter(&fullStore{freeAfter: 1 << 30}, control.New(), logevent.Logger{})
		w.persist(effect.Persist{HardState: &consensus.HardState{Term: 2}, Term: 2})
		var parts tomb.Tomb
		parts.Go(func() error { return w.run(&parts) })
		synctest.Wait()
		parts.Kill(nil)
		require.NoError(t, parts.Wait())

		stop, cancel := context.WithCancel(t.Context())
		cancel()
		full := func() error { return storage.ErrNoSpace }
		require.ErrorIs(t, retryWhileDiskFull(stop, logevent.Logger{}, full), storage.ErrNoSpace)
	})
}

// snapshotlessStore is a store with space for everything except snapshots.
type snapshotlessStore struct{ entries int }

func (s *snapshotlessStore) Write(b storage.Batch) error {
	s.entries += len(b.Entries)
	if b.Snapshot != nil {
		return errors.WithType(errors.New("injected"), storage.ErrNoSpace)
	}
	return nil
}

func (s *snapshotlessStore) Resume() error {
	return errors.WithType(errors.New("injected"), storage.ErrNoSpace)
}

// recordingLoop collects the events that a logWriter posts.
type recordingLoop struct {
	*control.Loop
	posted chan event.Event
}

func (l recordingLoop) PostWait(_ context.Context, e event.Event) bool {
	l.posted <- e
	return true
}

// Guards against entries that are on disk but not acknowledged because a snapshot that
// was queued with them waits for free space.
func TestEntriesAreReportedBeforeASnapshotIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &snapshotlessStore{}
		loop := recordingLoop{control.New(), make(chan event.Event, 10)}
		w := newLogWriter(store, loop, logevent.Logger{})
		entries := func(first, n uint64) []storage.Entry {
			list := make([]storage.Entry, n)
			for i := range list {
				list[i] = storage.Entry{Index: first + uint64(i), Term: 2}
			}
			return list
		}
		w.persist(effect.Persist{Entries: entries(2, 3), Term: 2, Index: 4})
		w.persist(effect.Persist{Snapshot: &storage.Snapshot{Index: 4, Term: 2}})
		w.persist(effect.Persist{Entries: entries(5, 2), Term: 2, Index: 6})
		var parts tomb.Tomb
		parts.Go(func() error { return w.run(&parts) })
		synctest.Wait()
		var last event.Event
		for len(loop.posted) > 0 {
			last = <-loop.posted
		}
		require.Equal(t, event.Persisted{Term: 2, Index: 6}, last)
		require.Equal(t, 5, store.entries)
		parts.Kill(nil)
		require.NoError(t, parts.Wait())
	})
}

// Guards against retrying a write after an error other than a full disk.
func TestOtherErrorsAreNotRetried(t *testing.T) {
	tries := 0
	err := retryWhileDiskFull(t.Context(), logevent.Logger{}, func() error { tries++; return storage.ErrDamaged })
	require.ErrorIs(t, err, storage.ErrDamaged)
	require.Equal(t, 1, tries)
}
