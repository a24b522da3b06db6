package storage

import (
	"syscall"

	"github.com/juju/errors"
)

// Causes of errors, to be matched with errors.Is.
const (
	// ErrLocked means that another process uses the data folder.
	ErrLocked = errors.ConstError("data folder is in use")
	// ErrNotEmpty means that Init found a folder that already holds data.
	ErrNotEmpty = errors.ConstError("data folder already holds data")
	// ErrWrongIdentity means that the folder belongs to another cluster or host.
	ErrWrongIdentity = errors.ConstError("data folder belongs to another replica")
	// ErrDamaged means that a file has damage that a crash cannot cause.
	ErrDamaged = errors.ConstError("data folder is damaged")
	// ErrInvalidBatch means that a batch does not continue the stored log.
	ErrInvalidBatch = errors.ConstError("batch does not continue the stored log")
	// ErrNoSpace means that the disk is full or the disk quota is used up.
	ErrNoSpace = errors.ConstError("no space left in the data folder")
	// ErrClosed means that the store was closed.
	ErrClosed = errors.ConstError("store is closed")
)

// damaged returns an ErrDamaged that names the file, the byte offset and the damage.
func damaged(name string, offset int64, format string, args ...any) error {
	err := errors.Annotatef(ErrDamaged, format, args...)
	return errors.Annotatef(err, "%s at byte %d", name, offset)
}

func invalidBatch(format string, args ...any) error {
	return errors.Annotatef(ErrInvalidBatch, format, args...)
}

// markNoSpace adds the cause ErrNoSpace to an error of the file system that reports a
// full disk or quota.
func markNoSpace(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return errors.WithType(err, ErrNoSpace)
	}
	return err
}
