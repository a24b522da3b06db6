package storage

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
)

// Guards against a lost write or an unusable store when the disk becomes full at any
// change of a write that starts a new segment and removes old files, and against
// treating a full quota as a different error.
func TestFullDiskDuringSegmentChange(t *testing.T) {
	small := limits{segmentSize: 400, frameTarget: 300}
	for _, fault := range []error{syscall.ENOSPC, syscall.EDQUOT} {
		for _, partial := range []int{0, 10, 1 << 20} {
			changesBefore := 0
			for ; diskFullDuringSegmentChange(t, small, fault, partial, changesBefore); changesBefore++ {
			}
			require.Greater(t, changesBefore, 40, "the disk must become full at each change")
		}
	}
}

// diskFullDuringSegmentChange reports whether the writes reached the change at which
// the disk becomes full.
func diskFullDuringSegmentChange(t *testing.T, lim limits, fault error, partial, changesBefore int) bool {
	m, s := openNew(t, lim)
	m.setDiskFull(partial)
	m.fault = fault
	m.failAtChange += changesBefore
	reached := false
	finish := func(err error) {
		if err == nil {
			return
		}
		reached = true
		require.ErrorIs(t, err, ErrNoSpace)
		require.ErrorIs(t, s.Resume(), ErrNoSpace, "the retry fails as well")
		m.failAtChange = 0
		require.NoError(t, s.Resume())
	}
	next := uint64(2)
	for term := uint64(1); term <= 5; term++ {
		finish(s.Write(Batch{HardState: &consensus.HardState{Term: term}, Entries: claimEntries(next, term, 4)}))
		next += 4
		finish(s.Write(Batch{Snapshot: snapshotAt(next-1, term)}))
	}
	finish(s.Write(Batch{Entries: claimEntries(next, 5, 3)}))
	for _, folder := range []*memFolder{m.restart(), m.crash(func(int) int { return 0 })} {
		_, loaded, err := openMem(folder, lim)
		require.NoError(t, err)
		require.Equal(t, uint64(5), loaded.HardState.Term)
		require.Equal(t, next+2, loaded.Entries[len(loaded.Entries)-1].Index)
		require.LessOrEqual(t, len(folder.files), 12, "obsolete files must be removed")
	}
	return reached
}

// Guards against a folder that cannot be created, or opened after a crash, when the
// disk was full during an earlier attempt.
func TestFullDiskDuringInitAndOpen(t *testing.T) {
	changesBefore := 0
	for reached := true; reached; changesBefore++ {
		m := newMemFolder()
		m.setDiskFull(10)
		m.failAtChange += changesBefore
		err := initFolder(m, testIdentity, testVoters)
		if reached = err != nil; reached {
			require.ErrorIs(t, markNoSpace(err), ErrNoSpace)
			require.Error(t, initFolder(m, testIdentity, testVoters))
			m.failAtChange = 0 // there is space again
			if err := initFolder(m, testIdentity, testVoters); err != nil {
				require.ErrorIs(t, err, ErrNotEmpty)
			}
		}
		m.failAtChange = 0
		_, loaded, err := openMem(m, defaultLimits)
		require.NoError(t, err)
		require.Equal(t, testVoters, loaded.Snapshot.Voters)
	}
	require.Greater(t, changesBefore, 10)

	changesBefore = 0
	for reached := true; reached; changesBefore++ {
		m, s := openNew(t, defaultLimits)
		write(t, s, Batch{Entries: claimEntries(2, 1, 3)})
		m.setDiskFull(10)
		require.Error(t, s.Write(Batch{Snapshot: snapshotAt(4, 1), Entries: claimEntries(5, 1, 3)}))
		m = m.restart()
		m.setDiskFull(10)
		m.failAtChange += changesBefore
		_, _, err := openMem(m, defaultLimits)
		if reached = err != nil; reached {
			require.ErrorIs(t, markNoSpace(err), ErrNoSpace)
			_, _, err = openMem(m, defaultLimits)
			require.ErrorIs(t, markNoSpace(err), ErrNoSpace)
		}
		m.failAtChange = 0
		_, loaded, err := openMem(m, defaultLimits)
		require.NoError(t, err)
		require.Equal(t, uint64(4), loaded.Entries[len(loaded.Entries)-1].Index)
	}
	require.Greater(t, changesBefore, 3)
}
