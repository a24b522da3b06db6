package storage

import (
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

// Open opens the data folder of a replica and returns its content. An empty folder
// gets a new incarnation and no voters. The cause of an error is ErrLocked,
// ErrWrongIdentity, ErrDamaged, ErrNoSpace, after which Open can be retried, or the
// error of the file system.
func Open(dir string, cluster string, host model.HostID, newIncarnation func() model.Incarnation, lg logevent.Logger) (*Store, Loaded, error) {
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, Loaded{}, err
	}
	o := opener{fs: osFolder{dir}, cluster: cluster, host: host, newIncarnation: newIncarnation, lg: lg, limits: defaultLimits}
	s, loaded, err := o.open()
	if err != nil {
		_ = lock.Close()
		return nil, Loaded{}, errors.Annotatef(markNoSpace(err), "opening data folder %s", dir)
	}
	s.lock = lock
	return s, loaded, nil
}

// opener holds the arguments of Open.
type opener struct {
	fs             fileSystem
	cluster        string
	host           model.HostID
	newIncarnation func() model.Incarnation
	lg             logevent.Logger
	limits         limits
}

func (o *opener) open() (*Store, Loaded, error) {
	files, err := o.prepare()
	if err != nil {
		return nil, Loaded{}, err
	}
	id, err := readIdentity(o.fs, o.cluster, o.host)
	if err != nil {
		return nil, Loaded{}, err
	}
	log, err := loadLog(o.fs, files.segments, id.Incarnation)
	if err != nil {
		return nil, Loaded{}, err
	}
	chosen, err := chooseSnapshot(o.fs, files.snapshots, log)
	if err != nil {
		return nil, Loaded{}, err
	}
	s, err := o.repair(files, log, chosen)
	if err != nil {
		return nil, Loaded{}, err
	}
	return s, Loaded{
		Identity:  id,
		HardState: log.hardState,
		Snapshot:  chosen.snapshot,
		Entries:   chosen.entries,
		Truncated: log.truncated,
	}, nil
}

// prepare creates the files of a folder that has none and lists the files.
func (o *opener) prepare() (folderContents, error) {
	files, err := listFolder(o.fs)
	if err != nil {
		return folderContents{}, err
	}
	if files.identity {
		return files, nil
	}
	if files.hasLog() && !files.pendingIdentity {
		return folderContents{}, damaged(identityName, 0, "the file is missing but the folder is not empty")
	}
	id := Identity{Cluster: o.cluster, Host: o.host, Incarnation: o.newIncarnation()}
	if err := createFolder(o.fs, files, id, nil); err != nil {
		return folderContents{}, errors.Annotate(err, "creating files")
	}
	return listFolder(o.fs)
}

// repair makes the folder agree with what was loaded: it removes what a crash left
// behind and makes everything loaded durable.
func (o *opener) repair(files folderContents, log *loadedLog, chosen chosenSnapshot) (*Store, error) {
	s := &Store{disk: disk{fs: o.fs}, layout: log.layout(chosen, o.limits), frameTarget: o.limits.frameTarget}
	if err := o.removeLeftovers(&s.disk, files, log, chosen); err != nil {
		return nil, err
	}
	name := segmentName(log.segments[len(log.segments)-1].number)
	if err := s.disk.useSegment(useSegment{name: name, offset: log.end}); err != nil {
		return nil, errors.Annotatef(err, "opening %s", name)
	}
	if err := o.repairTail(&s.disk, name, log); err != nil {
		_ = s.disk.log.Close()
		return nil, errors.Annotatef(err, "repairing %s", name)
	}
	if chosen.unfinishedInstall != nil {
		payload := appendInfo(nil, recordReset, *chosen.unfinishedInstall)
		if _, err := s.disk.execute(s.layout.appendPayload(nil, payload)); err != nil {
			_ = s.disk.log.Close()
			return nil, err
		}
	}
	return s, nil
}

func (o *opener) removeLeftovers(d *disk, files folderContents, log *loadedLog, chosen chosenSnapshot) error {
	var ops []operation
	for _, name := range files.temporary {
		ops = append(ops, removeFile{name: name})
	}
	if log.unusedSegment != "" {
		ops = append(ops, removeFile{name: log.unusedSegment})
	}
	if _, err := d.execute(ops); err != nil {
		return err
	}
	if chosen.damagedName != "" {
		o.lg.Emit(logevent.SnapshotDamaged, logevent.Str(logevent.NameFile, chosen.damagedName), logevent.Err(chosen.damage))
		if err := d.rename(chosen.damagedName, chosen.damagedName+damagedSuffix); err != nil {
			return errors.Annotatef(err, "renaming %s", chosen.damagedName)
		}
	}
	// Renames that are visible now may not have been synced by the earlier process.
	return errors.Annotate(o.fs.SyncDir(), "syncing data folder")
}

// repairTail truncates an interrupted write and makes the last frames durable. A
// frame may have been read from the page cache although its sync failed or was never
// called. The kernel then considers its pages clean, so that only a rewrite makes
// the next sync effective.
func (o *opener) repairTail(d *disk, name string, log *loadedLog) error {
	if log.truncated > 0 {
		o.lg.Emit(logevent.LogTailTruncated, logevent.Str(logevent.NameFile, name),
			logevent.Int(logevent.NameOffset, log.end), logevent.Int(logevent.NameBytes, log.truncated),
			logevent.Str(logevent.NameReason, log.truncatedDamage))
		if err := d.log.Truncate(log.end); err != nil {
			return errors.Annotate(err, "truncating")
		}
	}
	for _, f := range log.unverified {
		if err := o.rewriteFrame(f); err != nil {
			return errors.Annotatef(err, "rewriting the last frame of %s", f.name)
		}
	}
	return nil
}

func (o *opener) rewriteFrame(unverified unverifiedFrame) error {
	f, err := o.fs.Open(unverified.name)
	if err != nil {
		return errors.Trace(err)
	}
	err = writeSynced(f, encodeFrame(unverified.sequence, unverified.payload), unverified.offset)
	return firstError(err, f.Close())
}
