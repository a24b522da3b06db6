package storage

import (
	"io/fs"

	"github.com/juju/errors"
)

// disk executes operations on a data folder. It makes no decisions.
type disk struct {
	fs     fileSystem
	log    file  // current segment, or nil
	offset int64 // of the next frame in log, in bytes
}

// execute executes the operations in order and stops at the first error. It returns
// the remaining operations, beginning with the one that failed.
func (d *disk) execute(ops []operation) ([]operation, error) {
	for i, op := range ops {
		if err := d.executeOne(op); err != nil {
			return ops[i:], markNoSpace(err)
		}
	}
	return nil, nil
}

func (d *disk) executeOne(op operation) error {
	switch op := op.(type) {
	case appendFrame:
		return errors.Annotate(d.append(op), "appending to the log")
	case putFile:
		return errors.Annotatef(d.putFile(op), "writing %s", op.name)
	case useSegment:
		return errors.Annotatef(d.useSegment(op), "opening %s", op.name)
	case removeFile:
		return errors.Annotatef(d.removeFile(op), "removing %s", op.name)
	}
	return errors.Errorf("unknown operation %T", op)
}

func (d *disk) append(op appendFrame) error {
	data := encodeFrame(op.sequence, op.payload)
	if err := writeSynced(d.log, data, d.offset); err != nil {
		return err
	}
	d.offset += int64(len(data))
	return nil
}

// putFile writes the file under a temporary name and then renames it, so that a file
// with its final name is always complete.
func (d *disk) putFile(op putFile) error {
	temporary := op.name + temporarySuffix
	f, err := d.fs.Create(temporary)
	if err != nil {
		return errors.Trace(err)
	}
	err = writeSynced(f, encodeFrame(op.sequence, op.payload), 0)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Trace(err)
	}
	return d.rename(temporary, op.name)
}

func (d *disk) rename(from, to string) error {
	if err := d.fs.Rename(from, to); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.fs.SyncDir())
}

func (d *disk) useSegment(op useSegment) error {
	f, err := d.fs.Open(op.name)
	if err != nil {
		return errors.Trace(err)
	}
	if d.log != nil {
		// Its content is synced, so an error of Close loses no data.
		_ = d.log.Close()
	}
	d.log, d.offset = f, op.offset
	return nil
}

func (d *disk) removeFile(op removeFile) error {
	// An earlier attempt that then failed may have removed the file.
	if err := d.fs.Remove(op.name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Trace(err)
	}
	return errors.Trace(d.fs.SyncDir())
}

func writeSynced(f file, data []byte, offset int64) error {
	if _, err := f.WriteAt(data, offset); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(f.Sync(), "sync")
}
