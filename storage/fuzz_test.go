package storage

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeRecord guards against a panic on any payload whose checksum is
// right, and against a log with gaps.
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

// FuzzScanFrames guards against a panic on any bytes of a file.
func FuzzScanFrames(f *testing.F) {
	two := append(encodeFrame(1, []byte("H{}\n")), encodeFrame(2, nil)...)
	f.Add(two)
	f.Add(append([]byte("x"), two...))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := scanFrames(data)
		require.Equal(t, s.end == s.size, s.bad == "")
	})
}
