package storage

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

var testIdentity = Identity{Cluster: "cluster-1", Host: "host-1", Incarnation: "inc-1"}

// Guards against a first voter that starts without its voter set, or whose folder is
// initialized twice.
func TestInit(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	require.NoError(t, Init(dir, testIdentity, testVoters))
	require.ErrorIs(t, Init(dir, testIdentity, nil), ErrNotEmpty)
	s, loaded := openOnDisk(t, dir)
	require.Equal(t, testIdentity, loaded.Identity)
	require.Equal(t, consensus.HardState{Term: 1}, loaded.HardState)
	require.Equal(t, testVoters, loaded.Snapshot.Voters)
	require.Equal(t, position{1, 1}, position{loaded.Snapshot.Index, loaded.Snapshot.Term})
	require.NoError(t, s.Close())
	require.ErrorIs(t, s.Write(Batch{}), ErrClosed)
}

// Guards against a replica with an empty folder that gets an identity that may have
// voted before, or that changes its identity at each start.
func TestEmptyFolderGetsANewIncarnation(t *testing.T) {
	dir := t.TempDir()
	calls := 0
	incarnation := func() model.Incarnation { calls++; return "inc-new" }
	for range 2 {
		s, loaded, err := Open(dir, "cluster-1", "host-1", incarnation, logevent.Logger{})
		require.NoError(t, err)
		require.Equal(t, model.Incarnation("inc-new"), loaded.Identity.Incarnation)
		require.Nil(t, loaded.Snapshot)
		require.NoError(t, s.Close())
	}
	require.Equal(t, 1, calls)
}

// Guards against a folder whose creation was interrupted by a crash and that is
// later taken for complete, or cannot be created again.
func TestInterruptedCreation(t *testing.T) {
	for failAt := 1; ; failAt++ {
		m := newMemFolder()
		m.failAtChange = failAt
		if initFolder(m, testIdentity, testVoters) == nil {
			require.Greater(t, failAt, 10)
			return
		}
		for _, folder := range []*memFolder{m.restart(), m.crash(func(n int) int { return n - 1 })} {
			err := initFolder(folder, testIdentity, testVoters)
			if err != nil {
				require.ErrorIs(t, err, ErrNotEmpty)
			}
			_, loaded, err := openMem(folder, defaultLimits)
			require.NoError(t, err)
			require.Equal(t, testVoters, loaded.Snapshot.Voters)
		}
	}
}

// Guards against two processes that write to one folder, and against a process of
// another cluster or host that does.
func TestFolderIsLockedAndTiedToItsHost(t *testing.T) {
	dir := t.TempDir()
	s, _ := openOnDisk(t, dir)
	_, _, err := Open(dir, "cluster-1", "host-1", fixedIncarnation, logevent.Logger{})
	require.ErrorIs(t, err, ErrLocked)
	require.ErrorIs(t, Init(dir, testIdentity, testVoters), ErrLocked)
	require.NoError(t, s.Close())
	_, _, err = Open(dir, "cluster-2", "host-1", fixedIncarnation, logevent.Logger{})
	require.ErrorIs(t, err, ErrWrongIdentity)
	_, _, err = Open(dir, "cluster-1", "host-2", fixedIncarnation, logevent.Logger{})
	require.ErrorIs(t, err, ErrWrongIdentity)
}

// Guards against replaying a segment that belongs to another incarnation of the
// folder.
func TestSegmentOfAnotherIncarnationIsRefused(t *testing.T) {
	m, other := initMem(t), newMemFolder()
	require.NoError(t, initFolder(other, Identity{"cluster-1", "host-1", "inc-2"}, testVoters))
	m.files[segmentName(1)] = other.files[segmentName(1)]
	_, _, err := openMem(m, defaultLimits)
	require.ErrorIs(t, err, ErrDamaged)
}

// Guards against a batch that leaves a gap in the log or replaces entries that a
// snapshot covers.
func TestBatchesThatDoNotContinueTheLogAreRefused(t *testing.T) {
	bad := map[string]Batch{
		"gap":                   {Entries: claimEntries(8, 1, 1)},
		"gap inside":            {Entries: append(claimEntries(7, 1, 1), claimEntries(9, 1, 1)...)},
		"covered by snapshot":   {Entries: claimEntries(4, 1, 1)},
		"snapshot beyond log":   {Snapshot: snapshotAt(7, 1)},
		"older snapshot":        {Snapshot: snapshotAt(3, 1)},
		"install of nothing":    {Install: true},
		"gap after the install": {Install: true, Snapshot: snapshotAt(20, 1), Entries: claimEntries(22, 1, 1)},
		"entry without content": {Entries: []Entry{{Index: 7, Term: 1}}},
	}
	for name, b := range bad {
		t.Run(name, func(t *testing.T) {
			_, s := openNew(t, defaultLimits)
			write(t, s, Batch{Entries: claimEntries(2, 1, 5), Snapshot: snapshotAt(4, 1)})
			require.Error(t, s.Write(b))
		})
	}
}

// Guards against a folder that grows without limit.
func TestOldFilesAreRemoved(t *testing.T) {
	m, s := openNew(t, smallLimits)
	for i := uint64(2); i < 200; i += 2 {
		write(t, s, Batch{Entries: claimEntries(i, 1, 2), Snapshot: snapshotAt(i, 1)})
	}
	names, err := m.List()
	require.NoError(t, err)
	require.LessOrEqual(t, len(names), 6, "%v", names)
}

// Guards against a start that takes too long after 100,000 entries. It logs the time
// taken.
func TestOpenAfter100000Entries(t *testing.T) {
	const count, batch = 100_000, 1000
	dir := t.TempDir()
	s, _ := openOnDisk(t, dir)
	for i := range count / batch {
		write(t, s, Batch{Entries: claimEntries(uint64(1+i*batch), 1, batch)})
	}
	require.NoError(t, s.Close())
	start := time.Now()
	s, loaded := openOnDisk(t, dir)
	took := time.Since(start)
	require.NoError(t, s.Close())
	require.Len(t, loaded.Entries, count)
	t.Logf("opened a folder of %d entries in %d segments in %v", count, len(s.layout.segments), took)
	require.Less(t, took, 30*time.Second)
}
