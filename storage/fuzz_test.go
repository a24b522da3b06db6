package storage

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeRecord guards against a panic on a payload with a valid checksum, and
// against a log with gaps.
func FuzzDecodeRecord(f *testing.F) {
	lines, err := encodeEntries(claimEntries(2, 1, 2), frameTarget)
	require.NoError(f, err)
	f.Add(lines[0].lines)
	f.Add([]byte("H{\"term\":3,\"vote\":{\"host\":\"a\",\"inc\":\"b\"}}\nR{\"i\":9,\"t\":3}\nN{}\n"))
	f.Add([]byte("G{\"inc\":\"inc-1\",\"number\":2,\"last\":{\"i\":1,\"t\":1},\"hard\":{\"term\":1,\"vote\":{\"host\":\"\",\"inc\":\"\"}}}\n"))
	l := layout{incarnation: "inc-1"}
	header := l.segmentHeader(segment{number: 1, last: firstPosition})
	f.Fuzz(func(t *testing.T, payload []byte) {
		r := replay{incarnation: "inc-1"}
		require.NoError(t, r.applyPayload(header))
		_ = r.applyPayload(payload)
		for i, e := range r.entries {
			require.Equal(t, r.base.Index+1+uint64(i), e.Index)
		}
	})
}

// FuzzScanFrames guards against a panic on arbitrary file content.
func FuzzScanFrames(f *testing.F) {
	two := append(encodeFrame(1, []byte("H{}\n")), encodeFrame(2, nil)...)
	f.Add(two)
	f.Add(append([]byte("x"), two...))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := scanFrames(data)
		require.Equal(t, s.end == s.size, s.damage == "")
	})
}

// FuzzReadSnapshot guards against a panic on a snapshot file with a valid checksum,
// and against accepting one of another index or incarnation.
func FuzzReadSnapshot(f *testing.F) {
	f.Add([]byte("M{\"inc\":\"inc-1\",\"at\":{\"i\":1,\"t\":1}}\nS{\"index\":1,\"term\":1,\"voters\":[{\"host\":\"a\",\"inc\":\"b\"}],\"state\":{\"index\":1}}\n"), uint64(1))
	f.Add([]byte("M{}\nS{}\n"), uint64(0))
	f.Fuzz(func(t *testing.T, payload []byte, index uint64) {
		m := newMemFolder()
		writeMemFile(t, m, snapshotName(index), encodeFrame(1, payload))
		s, info, err := readSnapshot(m, index, &loadedLog{replay: replay{incarnation: "inc-1"}})
		if err == nil {
			require.Equal(t, index, s.Index)
			require.EqualValues(t, "inc-1", info.Incarnation)
		}
	})
}

// FuzzOpen guards against a panic on a data folder in which one file has arbitrary
// content.
func FuzzOpen(f *testing.F) {
	valid := initMem(f)
	names, err := valid.List()
	require.NoError(f, err)
	for i, name := range names {
		data, err := valid.ReadFile(name)
		require.NoError(f, err)
		f.Add(i, data)
		f.Add(i, data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, i int, data []byte) {
		m := initMem(t)
		names, err := m.List()
		require.NoError(t, err)
		writeMemFile(t, m, names[uint(i)%uint(len(names))], data)
		if s, _, err := openMem(m, smallLimits); err == nil {
			require.NoError(t, s.Close())
		}
	})
}

func writeMemFile(t *testing.T, m *memFolder, name string, data []byte) {
	t.Helper()
	file, err := m.Create(name)
	require.NoError(t, err)
	_, err = file.WriteAt(data, 0)
	require.NoError(t, err)
}
