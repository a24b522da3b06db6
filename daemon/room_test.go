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
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/storage"
)

// fullStore is a store whose disk has room after a number of tries.
type fullStore struct {
	tries   int // until there is room
	writes  int
	resumes int
}

func (s *fullStore) Write(storage.Batch) error {
	s.writes++
	return errors.WithType(errors.New("injected"), storage.ErrNoRoom)
}

func (s *fullStore) Resume() error {
	s.resumes++
	if s.resumes < s.tries {
		return errors.WithType(errors.New("injected"), storage.ErrNoRoom)
	}
	return nil
}

// Guards against a process that ends when its disk is full for a while, and against
// a write that is handed to the store twice.
func TestFullDiskIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fullStore{tries: 5}
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
		w := newLogWriter(&fullStore{tries: 1 << 30}, control.New(), logevent.Logger{})
		w.persist(effect.Persist{HardState: &consensus.HardState{Term: 2}, Term: 2})
		var parts tomb.Tomb
		parts.Go(func() error { return w.run(&parts) })
		synctest.Wait()
		parts.Kill(nil)
		require.NoError(t, parts.Wait())

		stop, cancel := context.WithCancel(t.Context())
		cancel()
		full := func() error { return storage.ErrNoRoom }
		require.ErrorIs(t, untilRoom(stop, logevent.Logger{}, full), storage.ErrNoRoom)
	})
}

// Guards against waiting for room after an error of another kind.
func TestOtherErrorsAreNotWaitedFor(t *testing.T) {
	tries := 0
	err := untilRoom(t.Context(), logevent.Logger{}, func() error { tries++; return storage.ErrDamaged })
	require.ErrorIs(t, err, storage.ErrDamaged)
	require.Equal(t, 1, tries)
}
