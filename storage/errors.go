package storage

import (
	"syscall"

	"github.com/juju/errors"
)

// Causes of errors, to be tested with errors.Is.
const (
	// ErrLocked: another process uses the data folder.
	ErrLocked = errors.ConstError("data folder is in use")
	// ErrNotEmpty: Init found a folder that already holds data.
	ErrNotEmpty = errors.ConstError("data folder already holds data")
	// ErrWrongIdentity: the folder belongs to another cluster or host.
	ErrWrongIdentity = errors.ConstError("data folder belongs to another replica")
	// ErrDamaged: a file is damaged beyond what a crash can leave behind.
	ErrDamaged = errors.ConstError("data folder is damaged")
	// ErrInvalidBatch: the batch does not continue the stored log.
	ErrInvalidBatch = errors.ConstError("batch does not fit the stored log")
	// ErrNoRoom: the disk or the quota of its user is full.
	ErrNoRoom = errors.ConstError("no room in the data folder")
	// ErrClosed: the store was closed.
	ErrClosed = errors.ConstError("store is closed")
)

// damaged returns an error that names the file, the byte offset and the fault.
func damaged(name string, offset int64, format string, args ...any) error {
	err := errors.Annotatef(ErrDamaged, format, args...)
	return errors.Annotatef(err, "%s at byte %d", name, offset)
}

func invalidBatch(format string, args ...any) error {
	return errors.Annotatef(ErrInvalidBatch, format, args...)
}

// markNoRoom marks an error of the file system that says that there is no room.
func markNoSpace(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return errors.WithType(err, ErrNoRoom)
	}
	return err
}
