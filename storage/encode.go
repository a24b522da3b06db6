package storage

import (
	"sync"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
)

// Large batches are encoded by several goroutines, because encoding a batch of 64
// claims takes about half as long as its sync.
const (
	entriesPerEncoder = 16
	maxEncoders       = 4
)

// encodedEntries is a sequence of consecutive entries in encoded form.
type encodedEntries struct {
	lines []byte
	last  position
}

// encodeBatch encodes a batch as the event of the reducer. Entries are split into
// chunks of about target bytes.
func encodeBatch(b Batch, target int) (writeRequest, error) {
	w := writeRequest{hardState: b.HardState, install: b.Install}
	var err error
	if b.HardState != nil {
		if w.hardStateBody, err = codec.EncodeHardState(*b.HardState); err != nil {
			return w, err
		}
	}
	if len(b.Entries) > 0 {
		if err = checkConsecutive(b.Entries); err != nil {
			return w, err
		}
		w.first = b.Entries[0].Index
		if w.entries, err = encodeEntries(b.Entries, target); err != nil {
			return w, err
		}
	}
	if b.Snapshot != nil {
		w.snapshot, err = encodeSnapshot(b.Snapshot)
	}
	return w, err
}

func encodeSnapshot(s *Snapshot) (*encodedSnapshot, error) {
	body, err := codec.EncodeSnapshot(s)
	if err != nil {
		return nil, err
	}
	return &encodedSnapshot{at: position{s.Index, s.Term}, body: body}, nil
}

func checkConsecutive(entries []Entry) error {
	for i := range entries {
		if want := entries[0].Index + uint64(i); entries[i].Index != want {
			return invalidBatch("entry %d of the batch has index %d, expected %d", i, entries[i].Index, want)
		}
	}
	return nil
}

// encodeEntries encodes entries in chunks of about target bytes.
func encodeEntries(entries []Entry, target int) ([]encodedEntries, error) {
	bodies, err := encodeBodies(entries)
	if err != nil {
		return nil, err
	}
	var chunks []encodedEntries
	for start := 0; start < len(bodies); {
		end, size := start, 0
		for end < len(bodies) && size < target {
			size += len(bodies[end]) + recordOverhead
			end++
		}
		lines := make([]byte, 0, size)
		for _, body := range bodies[start:end] {
			lines = appendRecord(lines, recordEntry, body)
		}
		last := entries[end-1]
		chunks = append(chunks, encodedEntries{lines: lines, last: position{last.Index, last.Term}})
		start = end
	}
	return chunks, nil
}

// encodeBodies encodes the entries, in parallel if there are many.
func encodeBodies(entries []Entry) ([][]byte, error) {
	bodies := make([][]byte, len(entries))
	n := min(maxEncoders, max(1, len(entries)/entriesPerEncoder))
	errs := make([]error, n)
	chunk := (len(entries) + n - 1) / n
	var group sync.WaitGroup
	for i := 1; i < n; i++ {
		from, to := min(i*chunk, len(entries)), min((i+1)*chunk, len(entries))
		group.Go(func() { errs[i] = encodeRange(bodies[from:to], entries[from:to]) })
	}
	errs[0] = encodeRange(bodies[:chunk], entries[:chunk])
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return bodies, nil
}

func encodeRange(bodies [][]byte, entries []Entry) error {
	for i := range entries {
		body, err := codec.EncodeEntry(&entries[i])
		if err != nil {
			return errors.Annotatef(err, "entry %d", entries[i].Index)
		}
		bodies[i] = body
	}
	return nil
}
