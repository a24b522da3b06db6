package storage

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/logevent"
)

// smallLimits make a segment full after a few entries.
var smallLimits = limits{segmentSize: 2000, frameTarget: 1 << 20}

func openMem(m *memFolder, lim limits) (*Store, Loaded, error) {
	o := opener{
		fs: m, cluster: "cluster-1", host: "host-1",
		newIncarnation: fixedIncarnation, lg: logevent.Logger{}, limits: lim,
	}
	return o.open()
}

// testingT is implemented by testing.T and rapid.T.
type testingT interface {
	require.TestingT
	Helper()
}

func initMem(tb testingT) *memFolder {
	m := newMemFolder()
	require.NoError(tb, initFolder(m, Identity{"cluster-1", "host-1", "inc-1"}, testVoters))
	return m
}

// openNew initializes a folder of a first voter and opens it.
func openNew(t *testing.T, lim limits) (*memFolder, *Store) {
	m := initMem(t)
	s, _, err := openMem(m, lim)
	require.NoError(t, err)
	return m, s
}

func snapshotAt(index, term uint64) *Snapshot {
	state := &fleet.State{Index: index, Keys: map[string]fleet.Key{fmt.Sprint("key-", index): {Team: "press"}}}
	return &Snapshot{Index: index, Term: term, Voters: testVoters, State: state}
}

func write(tb testingT, s *Store, b Batch) {
	tb.Helper()
	require.NoError(tb, s.Write(b))
}

// damagedCopy returns a copy of the folder in which the bytes of one file are
// changed.
func damagedCopy(m *memFolder, name string, change func([]byte) []byte) *memFolder {
	out := m.restart()
	f := out.files[name]
	f.data = change(f.data)
	f.synced, f.dirty = slices.Clone(f.data), make([]bool, len(f.data))
	return out
}

// sampleFolder returns a folder with at least three segments and two snapshots that
// was not closed, the name of its last segment, and the offset of the last frame in
// it.
func sampleFolder(t *testing.T) (*memFolder, string, int64) {
	m, s := openNew(t, smallLimits)
	for i := uint64(2); i < 18; i += 2 {
		write(t, s, Batch{HardState: &consensus.HardState{Term: i}, Entries: claimEntries(i, i, 2)})
	}
	write(t, s, Batch{Snapshot: snapshotAt(3, 2)})
	write(t, s, Batch{Entries: claimEntries(18, 18, 1)})
	before := s.disk.offset
	write(t, s, Batch{Entries: claimEntries(19, 18, 3)})
	require.GreaterOrEqual(t, len(s.layout.segments), 3)
	return m, segmentName(s.layout.segments[len(s.layout.segments)-1].number), before
}

// Guards against a torn tail that loses synced records or keeps unsynced ones.
func TestEveryTruncationRecoversSyncedPrefix(t *testing.T) {
	m, s := openNew(t, defaultLimits)
	ends := []int64{s.disk.offset}
	for i := range 4 {
		write(t, s, Batch{Entries: claimEntries(uint64(2+3*i), 1, 3)})
		ends = append(ends, s.disk.offset)
	}
	name := segmentName(1)
	for cut := range s.disk.offset {
		_, loaded, err := openMem(damagedCopy(m, name, func(d []byte) []byte { return d[:cut] }), defaultLimits)
		if cut < ends[0] {
			require.ErrorIs(t, err, ErrDamaged, "cut in the header at byte %d", cut)
			continue
		}
		require.NoError(t, err)
		synced := 0
		for synced+1 < len(ends) && ends[synced+1] <= cut {
			synced++
		}
		require.Len(t, loaded.Entries, 3*synced, "cut at byte %d", cut)
		require.Equal(t, claimEntries(2, 1, 3*synced), append([]Entry{}, loaded.Entries...))
		require.Equal(t, cut-ends[synced], loaded.Truncated)
	}
}

// Guards against a damaged byte that changes what is loaded. Open may accept only
// damage to the last frame, as an interrupted write, and damage to a snapshot if the
// one before it and the log give the same state.
func TestEveryByteFlipIsRefusedOrWithoutEffect(t *testing.T) {
	m, lastName, lastFrame := sampleFolder(t)
	_, want, err := openMem(m.restart(), smallLimits)
	require.NoError(t, err)
	refused, replaced, truncated := 0, 0, 0
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		for i := range m.files[name].data {
			flipped := damagedCopy(m, name, func(d []byte) []byte { d[i] ^= byte(1 + i%255); return d })
			_, got, err := openMem(flipped, smallLimits)
			switch {
			case err != nil:
				require.ErrorIs(t, err, ErrDamaged)
				require.Contains(t, err.Error(), name)
				require.Contains(t, err.Error(), "at byte ")
				refused++
			case name == lastName && int64(i) >= lastFrame:
				require.Equal(t, want.Entries[:len(want.Entries)-3], got.Entries)
				truncated++
			case name == snapshotName(3):
				require.EqualValues(t, 1, got.Snapshot.Index)
				require.Equal(t, want.Entries, got.Entries[2:])
				replaced++
			default:
				// The older snapshot is not read while the newest is valid.
				require.Equal(t, snapshotName(1), name, "byte %d", i)
				require.Equal(t, want, got)
			}
		}
	}
	require.Equal(t, len(m.files[lastName].data)-int(lastFrame), truncated)
	require.Equal(t, len(m.files[snapshotName(3)].data), replaced)
	t.Logf("%d flips refused, %d truncated as an interrupted write, %d replaced by the older snapshot", refused, truncated, replaced)
}

// Guards against damage to a synced batch that is taken for an interrupted write
// although the store was closed after it.
func TestDamageBeforeACleanCloseIsRefused(t *testing.T) {
	m, s := openNew(t, defaultLimits)
	start := s.disk.offset
	write(t, s, Batch{Entries: claimEntries(2, 1, 2)})
	end := s.disk.offset
	require.NoError(t, s.Close())
	for i := start; i < end; i++ {
		_, _, err := openMem(damagedCopy(m, segmentName(1), func(d []byte) []byte { d[i] ^= 0x10; return d }), defaultLimits)
		require.ErrorIs(t, err, ErrDamaged)
	}
}

// Guards against a lost file that is not detected.
func TestMissingFilesAreRefused(t *testing.T) {
	m, lastName, _ := sampleFolder(t)
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		out := m.restart()
		delete(out.files, name)
		_, _, err := openMem(out, smallLimits)
		if strings.HasPrefix(name, "snap-") {
			// The other snapshot and the log hold the same state.
			require.NoError(t, err, name)
			continue
		}
		require.ErrorIs(t, err, ErrDamaged, name)
	}
	// Truncates a sealed segment, which has successors, at a frame boundary.
	first := scanFrames(m.files[segmentName(1)].data)
	cut := first.frames[len(first.frames)-1].offset
	_, _, err := openMem(damagedCopy(m, segmentName(1), func(d []byte) []byte { return d[:cut] }), smallLimits)
	require.ErrorIs(t, err, ErrDamaged)
	require.NotEqual(t, segmentName(1), lastName)
}

// Guards against a partly written last batch that is taken for damage to synced
// records, and against the reverse.
func TestZeroedSectorInLargeBatch(t *testing.T) {
	m, s := openNew(t, defaultLimits)
	first := s.disk.offset
	write(t, s, Batch{Entries: claimEntries(2, 1, 64)})
	second := s.disk.offset
	write(t, s, Batch{Entries: claimEntries(66, 1, 64)})
	end := s.disk.offset
	zeroed := func(from int64) *memFolder {
		return damagedCopy(m, segmentName(1), func(d []byte) []byte { clear(d[from : from+512]); return d })
	}
	for from := second; from+512 <= end; from += 512 {
		_, loaded, err := openMem(zeroed(from), defaultLimits)
		require.NoError(t, err)
		require.Len(t, loaded.Entries, 64)
	}
	for from := first; from+512 <= second; from += 512 {
		_, _, err := openMem(zeroed(from), defaultLimits)
		require.ErrorIs(t, err, ErrDamaged)
	}
}

// Guards against a store that continues to write after an error, when it no longer
// knows what is on disk.
func TestWriteErrorStopsStore(t *testing.T) {
	faults := map[string]func(*memFolder){
		"full disk":    func(m *memFolder) { m.setDiskFull(100) },
		"failing sync": func(m *memFolder) { m.failAtChange = m.changes + 2 },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			m, s := openNew(t, defaultLimits)
			write(t, s, Batch{Entries: claimEntries(2, 1, 2)})
			inject(m)
			first := s.Write(Batch{Entries: claimEntries(4, 1, 2)})
			require.ErrorIs(t, first, m.fault)
			m.failAtChange = 0
			changes := m.changes
			require.Equal(t, first, s.Write(Batch{Entries: claimEntries(4, 1, 2)}))
			require.Equal(t, first, s.Write(Batch{}))
			require.NoError(t, s.Close())
			require.Equal(t, changes, m.changes, "the folder was changed after the fault")
		})
	}
}

func flipMiddleBit(d []byte) []byte { d[len(d)/2] ^= 1; return d }

// Guards against removing segments that are needed to start from the older snapshot
// when the newest is damaged, and against a folder that cannot be used afterwards.
func TestDamagedNewestSnapshotIsReplacedByTheOlder(t *testing.T) {
	m, s := openNew(t, smallLimits)
	for i := uint64(2); i < 100; i += 2 {
		write(t, s, Batch{Entries: claimEntries(i, 1, 2)})
		if i%20 == 0 {
			write(t, s, Batch{Snapshot: snapshotAt(i, 1)})
		}
	}
	m = damagedCopy(m, snapshotName(80), flipMiddleBit)
	for range 2 { // the second time with the repaired folder
		opened, loaded, err := openMem(m, smallLimits)
		require.NoError(t, err)
		s = opened
		require.EqualValues(t, 60, loaded.Snapshot.Index)
		require.Equal(t, claimEntries(61, 1, 39), loaded.Entries)
	}
	require.Contains(t, m.files, snapshotName(80)+damagedSuffix)
	write(t, s, Batch{Entries: claimEntries(100, 1, 1), Snapshot: snapshotAt(100, 1)})
	_, loaded, err := openMem(m.restart(), smallLimits)
	require.NoError(t, err)
	require.EqualValues(t, 100, loaded.Snapshot.Index)

	both := damagedCopy(damagedCopy(m, snapshotName(100), flipMiddleBit), snapshotName(60), flipMiddleBit)
	_, _, err = openMem(both, smallLimits)
	require.ErrorIs(t, err, ErrDamaged)
}

// Guards against starting from an older snapshot when the newest was installed: the
// log does not lead from one to the other.
func TestDamagedInstalledSnapshotIsRefused(t *testing.T) {
	m, s := openNew(t, defaultLimits)
	write(t, s, Batch{Entries: claimEntries(2, 1, 3)})
	write(t, s, Batch{Install: true, Snapshot: snapshotAt(50, 2), Entries: claimEntries(51, 2, 2)})
	_, _, err := openMem(damagedCopy(m, snapshotName(50), flipMiddleBit), defaultLimits)
	require.ErrorIs(t, err, ErrDamaged)
	require.Contains(t, err.Error(), snapshotName(50))
}

// Guards against a store that cannot be used any more after the disk was full for a
// while, and against content that is missing or repeated after the write was
// resumed.
func TestResumeAfterFullDisk(t *testing.T) {
	batches := map[string]Batch{
		"entries":  {Entries: claimEntries(4, 1, 6)},
		"snapshot": {Snapshot: snapshotAt(3, 1), Entries: claimEntries(4, 1, 2)},
		"install":  {Snapshot: snapshotAt(9, 1), Install: true, Entries: claimEntries(10, 1, 2)},
	}
	for name, batch := range batches {
		t.Run(name, func(t *testing.T) {
			for changesBefore := 0; ; changesBefore++ {
				if !resumesAfterFullDisk(t, batch, changesBefore) {
					require.GreaterOrEqual(t, changesBefore, 2, "the disk must become full at each change of the Write")
					return
				}
			}
		})
	}
}

// resumesAfterFullDisk makes the disk full after a number of changes by a Write, and
// reports whether the Write made that many changes.
func resumesAfterFullDisk(t *testing.T, batch Batch, changesBefore int) bool {
	m, s := openNew(t, defaultLimits)
	write(t, s, Batch{Entries: claimEntries(2, 1, 2)})
	m.setDiskFull(10)
	m.failAtChange += changesBefore
	err := s.Write(batch)
	if err == nil {
		return false
	}
	require.ErrorIs(t, err, ErrNoSpace)
	require.ErrorIs(t, s.Resume(), ErrNoSpace)
	m.failAtChange = 0
	require.NoError(t, s.Resume())
	write(t, s, Batch{HardState: &consensus.HardState{Term: 2}})
	_, loaded, err := openMem(m.crash(func(int) int { return 0 }), defaultLimits)
	require.NoError(t, err)
	require.Equal(t, uint64(2), loaded.HardState.Term)
	last := batch.Entries[len(batch.Entries)-1]
	require.Equal(t, last, loaded.Entries[len(loaded.Entries)-1])
	return true
}
