package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

const sampleDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// claimEntry returns an entry with a claim of typical size.
func claimEntry(index, term uint64) Entry {
	return Entry{Index: index, Term: term, Command: &fleet.Command{
		At: model.Time(1_700_000_000_000_000_000 + index),
		Claim: &fleet.Claim{
			ClaimID: fleet.ClaimID{Team: "press", Key: sampleDigest},
			Request: model.RequestID(fmt.Sprintf("entry-3-01hx-%d", index)),
			Gateway: "entry-3",
			Body:    sampleDigest,
		},
	}}
}

func claimEntries(first, term uint64, n int) []Entry {
	entries := make([]Entry, n)
	for i := range entries {
		entries[i] = claimEntry(first+uint64(i), term)
	}
	return entries
}

func fixedIncarnation() model.Incarnation { return "inc-1" }

var testVoters = []consensus.NodeID{{Host: "host-1", Incarnation: "inc-1"}}

func openOnDisk(tb testing.TB, dir string) (*Store, Loaded) {
	s, loaded, err := Open(dir, "cluster-1", "host-1", fixedIncarnation, logevent.Logger{})
	require.NoError(tb, err)
	return s, loaded
}

// BenchmarkAppend compares durable claims with plain synced appends of the same
// bytes in the same batches on the same disk. The two alternate and take turns in
// going first, so that other load affects both.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) { benchmarkAppend(b, size) })
	}
}

func benchmarkAppend(b *testing.B, size int) {
	dir := b.TempDir()
	s, _ := openOnDisk(b, filepath.Join(dir, "data"))
	bare, err := os.Create(filepath.Join(dir, "bare"))
	require.NoError(b, err)
	defer bare.Close()

	index := uint64(1)
	var durable, plain time.Duration
	for bareFirst := false; b.Loop(); bareFirst = !bareFirst {
		batch := Batch{Entries: claimEntries(index, 1, size)}
		index += uint64(size)
		data := frameOf(b, s, batch)
		if bareFirst {
			plain += timeOf(b, func() error { return appendSynced(bare, data) })
		}
		durable += timeOf(b, func() error { return s.Write(batch) })
		if !bareFirst {
			plain += timeOf(b, func() error { return appendSynced(bare, data) })
		}
	}
	claims := float64(b.N * size)
	b.ReportMetric(claims/durable.Seconds(), "claims/s")
	b.ReportMetric(claims/plain.Seconds(), "bare-claims/s")
	b.ReportMetric(plain.Seconds()/durable.Seconds(), "ratio")
	require.NoError(b, s.Close())
}

// frameOf returns the bytes that the store will write for the batch.
func frameOf(b *testing.B, s *Store, batch Batch) []byte {
	request, err := encodeBatch(batch, frameTarget)
	require.NoError(b, err)
	require.Len(b, request.entries, 1)
	return encodeFrame(s.layout.sequence, request.entries[0].lines)
}

func appendSynced(f *os.File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return err
	}
	return osFile{f}.Sync()
}

func timeOf(b *testing.B, f func() error) time.Duration {
	start := time.Now()
	if err := f(); err != nil {
		b.Fatal(err)
	}
	return time.Since(start)
}
