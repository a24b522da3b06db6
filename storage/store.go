package storage

import (
	"os"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// Entry is an entry of the fleet's log.
type Entry = consensus.Entry[fleet.Command]

// Snapshot is a snapshot of the fleet's state.
type Snapshot = consensus.Snapshot[*fleet.State]

// Identity identifies the replica that a data folder belongs to.
type Identity struct {
	Cluster     string
	Host        model.HostID
	Incarnation model.Incarnation
}

// Loaded is the content of a data folder when it was opened.
type Loaded struct {
	Identity  Identity
	HardState consensus.HardState
	Snapshot  *Snapshot // nil if there is none
	Entries   []Entry   // entries after Snapshot
	Truncated int64     // number of bytes of an interrupted write that were truncated
}

// Batch is what one Write makes durable. Zero fields are ignored.
type Batch struct {
	// Snapshot is a local snapshot at or before the end of the log, which only
	// allows older segments to be removed. With Install it was received from the
	// leader and replaces the whole log; Entries then start right after it.
	Snapshot  *Snapshot
	Install   bool
	HardState *consensus.HardState
	// Entries are consecutive. They replace all stored entries from the index of
	// the first one on, which must not be covered by a snapshot.
	Entries []Entry
}

// Store is an open data folder. It is used by one goroutine.
type Store struct {
	lock   *os.File
	layout layout
	disk   disk
	err    error // of the first Write that failed; ErrClosed after Close
	// unfinished lists the remaining operations of a failed Write, in order.
	unfinished []operation

	frameTarget int // in bytes; see limits
}

// Write makes the batch durable. After an error, every later Write returns the same
// error, because it is then not known what is on disk. Only a Write that failed with
// ErrNoSpace can be completed, with Resume. The cause of an error is ErrNoSpace,
// ErrInvalidBatch if the batch does not continue the log, ErrClosed after Close, an
// error of package codec, or the error of the file system.
func (s *Store) Write(b Batch) error {
	if s.err != nil {
		return s.err
	}
	s.err = s.write(b)
	return s.err
}

func (s *Store) write(b Batch) error {
	request, err := encodeBatch(b, s.frameTarget)
	if err != nil {
		return errors.Annotate(err, "encoding batch")
	}
	ops, err := s.layout.reduce(request)
	if err != nil {
		return err
	}
	s.unfinished, err = s.disk.execute(ops)
	return err
}

// Resume continues a Write that failed with ErrNoSpace, beginning with the operation
// that failed, which is repeated in whole. After any other failed Write it returns
// the error of that Write. It returns ErrNoSpace while there is still no space.
func (s *Store) Resume() error {
	if !errors.Is(s.err, ErrNoSpace) {
		return s.err
	}
	s.unfinished, s.err = s.disk.execute(s.unfinished)
	return s.err
}

// Close ends the log with an empty frame, unless a Write has failed, and releases
// the folder. It returns the first error.
func (s *Store) Close() error {
	var err error
	if s.err == nil {
		_, err = s.disk.execute(s.layout.appendPayload(nil, nil))
		s.err = ErrClosed
	}
	if s.disk.log != nil {
		err = firstError(err, s.disk.log.Close())
		s.disk.log = nil
	}
	if s.lock != nil {
		err = firstError(err, s.lock.Close())
		s.lock = nil
	}
	return errors.Annotate(err, "closing data folder")
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
