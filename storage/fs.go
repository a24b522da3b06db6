package storage

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// fileSystem is the part of a file system that a data folder needs. Names are
// relative to the folder. Tests implement it to inject faults.
type fileSystem interface {
	// Create creates or truncates a file and opens it for writing.
	Create(name string) (file, error)
	// Open opens an existing file for writing.
	Open(name string) (file, error)
	ReadFile(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
}

// file is an open file.
type file interface {
	WriteAt(data []byte, offset int64) (int, error)
	Truncate(size int64) error
	// Sync makes the content and the size durable.
	Sync() error
	Close() error
}

// osFolder is a folder in the file system of the operating system.
type osFolder struct{ path string }

func (d osFolder) Create(name string) (file, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC)
}

func (d osFolder) Open(name string) (file, error) { return d.open(name, 0) }

func (d osFolder) open(name string, flags int) (file, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_WRONLY|flags, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return osFile{f}, nil
}

func (d osFolder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

func (d osFolder) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (d osFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

func (d osFolder) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

func (d osFolder) SyncDir() error { return syncDir(d.path) }

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer dir.Close()
	return errors.Trace(dir.Sync())
}

// osFile syncs with fdatasync, which writes the data and the size but no timestamps,
// and so saves a write of the inode.
type osFile struct{ *os.File }

func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if err != syscall.EINTR {
			return errors.Trace(err)
		}
	}
}

// lockName is the file that the process using the folder locks.
const lockName = "lock"

// lockFolder creates the folder if it does not exist and locks it. The lock is
// released when the returned file is closed or the process ends.
func lockFolder(path string) (*os.File, error) {
	f, err := openLock(path)
	if err != nil {
		return nil, markNoSpace(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Annotatef(ErrLocked, "data folder %s: %v", path, err)
	}
	return f, nil
}

func openLock(path string) (*os.File, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Annotate(err, "creating data folder")
	}
	if err := syncDir(filepath.Dir(filepath.Clean(path))); err != nil {
		return nil, errors.Annotate(err, "syncing parent of data folder")
	}
	f, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	return f, errors.Annotate(err, "opening lock file")
}
