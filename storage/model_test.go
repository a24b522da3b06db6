package storage

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/consensus"
)

// modelState is the expected content of a folder. Log entries are represented by
// their positions.
type modelState struct {
	hard      consensus.HardState
	snapshots []position // newest last
	log       []position // entries that are not covered by a reset, oldest first
	start     position   // before log
}

func (m modelState) clone() modelState {
	m.snapshots = slices.Clone(m.snapshots)
	m.log = slices.Clone(m.log)
	return m
}

func (m modelState) last() position {
	if len(m.log) == 0 {
		return m.start
	}
	return m.log[len(m.log)-1]
}

// withEntries returns the state after the entries have replaced the end of the log.
func (m modelState) withEntries(entries []Entry) modelState {
	m = m.clone()
	for _, e := range entries {
		m.log = append(m.log[:e.Index-m.start.Index-1], position{e.Index, e.Term})
	}
	return m
}

// loadedState returns the content that Open must return for m.
func (m modelState) loadedState() loadedState {
	at := m.snapshots[len(m.snapshots)-1]
	return loadedState{hard: m.hard, at: at, entries: slices.Clone(m.log[at.Index-m.start.Index:])}
}

// loadedState is the content of Loaded that the model predicts.
type loadedState struct {
	hard    consensus.HardState
	at      position
	entries []position
}

func stateOf(loaded Loaded) loadedState {
	out := loadedState{hard: loaded.HardState, at: position{loaded.Snapshot.Index, loaded.Snapshot.Term}}
	for _, e := range loaded.Entries {
		out.entries = append(out.entries, position{e.Index, e.Term})
	}
	return out
}

// outcomes returns the states that a crash during the write of b may leave, from
// none to all of it.
func (m modelState) outcomes(b Batch) []modelState {
	states := []modelState{m}
	next := m.clone()
	if b.HardState != nil {
		next.hard = *b.HardState
		states = append(states, next)
	}
	if b.Install {
		at := position{b.Snapshot.Index, b.Snapshot.Term}
		if slices.Contains(next.log, at) {
			// The crash is before the reset of the log. As the log has the same
			// entry at the snapshot's index, Raft keeps the entries after it.
			kept := next.clone()
			kept.snapshots = append(kept.snapshots, at)
			states = append(states, kept)
		}
		next = next.clone()
		next.start, next.log = at, nil
		next.snapshots = append(next.snapshots, next.start)
		states = append(states, next)
	}
	for n := 1; n <= len(b.Entries); n++ {
		states = append(states, next.withEntries(b.Entries[:n]))
	}
	next = next.withEntries(b.Entries)
	if b.Snapshot != nil && !b.Install {
		next.snapshots = append(next.snapshots, position{b.Snapshot.Index, b.Snapshot.Term})
		states = append(states, next)
	}
	return states
}

// drawBatch draws a random batch that continues the log of m.
func (m modelState) drawBatch(t *rapid.T) Batch {
	var b Batch
	term := m.hard.Term
	if rapid.IntRange(0, 2).Draw(t, "new term") == 0 {
		term += uint64(rapid.IntRange(1, 2).Draw(t, "terms"))
		b.HardState = &consensus.HardState{Term: term, Vote: testVoters[0]}
	}
	newest := m.snapshots[len(m.snapshots)-1]
	first := m.last().Index + 1
	if rapid.IntRange(0, 9).Draw(t, "install") == 0 {
		b.Install = true
		b.Snapshot = snapshotAt(newest.Index+uint64(rapid.IntRange(1, 20).Draw(t, "ahead")), term)
		first = b.Snapshot.Index + 1
	} else if rapid.IntRange(0, 4).Draw(t, "replace") == 0 {
		first = rapid.Uint64Range(newest.Index+1, first).Draw(t, "first")
	}
	b.Entries = claimEntries(first, term, rapid.IntRange(0, 8).Draw(t, "entries"))
	if !b.Install && rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
		after := m.withEntries(b.Entries)
		if after.last().Index > newest.Index {
			index := rapid.Uint64Range(newest.Index+1, after.last().Index).Draw(t, "at")
			b.Snapshot = snapshotAt(index, after.log[index-after.start.Index-1].Term)
		}
	}
	return b
}

// Guards against losing acknowledged content, and against recovering content that
// was never written, after a crash before any change to the folder, including
// crashes during recovery.
func TestCrashesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder := initMem(t)
		lim := limits{
			segmentSize: int64(rapid.SampledFrom([]int{500, 3000, 1 << 20}).Draw(t, "segment size")),
			frameTarget: rapid.SampledFrom([]int{600, 1 << 20}).Draw(t, "frame target"),
		}
		first := position{1, 1}
		possible := []modelState{{hard: consensus.HardState{Term: 1}, snapshots: []position{first}, start: first}}
		for range rapid.IntRange(1, 6).Draw(t, "lives") {
			folder, possible = runUntilCrash(t, folder, lim, possible)
		}
	})
}

// runUntilCrash opens the folder, which must contain one of the possible states, and
// writes until a fault or for 30 batches. It returns the folder after a crash and
// the states that it may then contain.
func runUntilCrash(t *rapid.T, folder *memFolder, lim limits, possible []modelState) (*memFolder, []modelState) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
	folder.failAtChange = rapid.IntRange(1, 80).Draw(t, "fault at change")
	folder.partial = rapid.IntRange(0, 2000).Draw(t, "partial")
	s, loaded, err := openMem(folder, lim)
	if err != nil {
		require.ErrorIs(t, err, errDisk)
		return crashOrRestart(t, folder, pick), possible
	}
	i := slices.IndexFunc(possible, func(m modelState) bool {
		return equalLoaded(m.loadedState(), stateOf(loaded))
	})
	require.GreaterOrEqual(t, i, 0, "loaded %+v, possible %+v", stateOf(loaded), possible)
	state := possible[i]
	for range 30 {
		b := state.drawBatch(t)
		outcomes := state.outcomes(b)
		if err := s.Write(b); err != nil {
			require.ErrorIs(t, err, errDisk)
			return crashOrRestart(t, folder, pick), outcomes
		}
		state = outcomes[len(outcomes)-1]
	}
	if pick(2) == 1 {
		_ = s.Close() // may fail with the injected fault
	}
	return crashOrRestart(t, folder, pick), []modelState{state}
}

func crashOrRestart(t *rapid.T, folder *memFolder, pick func(int) int) *memFolder {
	if rapid.Bool().Draw(t, "machine crash") {
		return folder.crash(pick)
	}
	return folder.restart()
}

func equalLoaded(a, b loadedState) bool {
	return a.hard == b.hard && a.at == b.at && slices.Equal(a.entries, b.entries)
}
