package storage

import (
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// firstPosition is the position at which the log of a new cluster starts. The
// snapshot that Init writes takes the place of this entry.
var firstPosition = position{Index: 1, Term: 1}

// Init creates the data folder of one of the first voters, with a snapshot at index
// 1, term 1 that contains the voters and an empty fleet state. It fails with
// ErrNotEmpty if the folder already holds data, and with ErrLocked if it is in use.
// After ErrNoSpace it can be retried.
func Init(dir string, id Identity, voters []consensus.NodeID) error {
	lock, err := lockFolder(dir)
	if err != nil {
		return err
	}
	defer lock.Close()
	return errors.Annotatef(markNoSpace(initFolder(osFolder{dir}, id, voters)), "initializing data folder %s", dir)
}

func initFolder(fs fileSystem, id Identity, voters []consensus.NodeID) error {
	files, err := listFolder(fs)
	if err != nil {
		return err
	}
	if files.identity || (files.hasLog() && !files.pendingIdentity) {
		return ErrNotEmpty
	}
	snapshot, err := encodeSnapshot(&Snapshot{
		Index:  firstPosition.Index,
		Term:   firstPosition.Term,
		Voters: voters,
		State:  &fleet.State{Index: firstPosition.Index},
	})
	if err != nil {
		return err
	}
	return createFolder(fs, files, id, snapshot)
}

// createFolder writes the files of a new folder. The identity gets its final name
// last, so that a folder with an identity is complete, and a folder with only a
// pending identity contains no data yet.
func createFolder(fs fileSystem, files folderContents, id Identity, snapshot *encodedSnapshot) error {
	d := disk{fs: fs}
	if _, err := d.execute(clearOperations(files)); err != nil {
		return err
	}
	if _, err := d.execute(createOperations(id, snapshot)); err != nil {
		return err
	}
	return errors.Annotate(d.rename(pendingIdentityName, identityName), "renaming the identity file")
}

// clearOperations returns the operations that remove the files of an interrupted
// creation.
func clearOperations(files folderContents) []operation {
	var ops []operation
	for _, number := range files.segments {
		ops = append(ops, removeFile{name: segmentName(number)})
	}
	for _, index := range files.snapshots {
		ops = append(ops, removeFile{name: snapshotName(index)})
	}
	return ops
}

// createOperations returns the operations that write the files of a new folder. The
// identity file still has its pending name.
func createOperations(id Identity, snapshot *encodedSnapshot) []operation {
	l := layout{incarnation: id.Incarnation}
	first := segment{number: 1}
	ops := []operation{putFile{name: pendingIdentityName, payload: identityPayload(id)}}
	if snapshot != nil {
		ops = l.putSnapshot(ops, snapshot, false)
		first.last = snapshot.at
		l.hardState.Term = snapshot.at.Term
	}
	return append(ops, putFile{name: segmentName(first.number), payload: l.segmentHeader(first)})
}

// Discard makes a data folder whose identity is retired count as one whose creation was
// interrupted: the next Open empties it and gives it a new incarnation and no voters. It
// fails with ErrLocked if the folder is in use.
func Discard(dir string) error {
	lock, err := lockFolder(dir)
	if err != nil {
		return err
	}
	defer lock.Close()
	d := disk{fs: osFolder{dir}}
	return errors.Annotatef(d.rename(identityName, pendingIdentityName), "discarding data folder %s", dir)
}

func identityPayload(id Identity) []byte {
	return appendInfo(nil, recordIdentity, identityInfo{
		Format:      formatVersion,
		Cluster:     id.Cluster,
		Host:        id.Host,
		Incarnation: id.Incarnation,
	})
}

// readIdentity reads the identity file and checks that it names this cluster and
// host.
func readIdentity(fs fileSystem, cluster string, host model.HostID) (Identity, error) {
	records, err := readSingleFrame(fs, identityName)
	if err != nil {
		return Identity{}, err
	}
	var info identityInfo
	if len(records) != 1 {
		return Identity{}, damaged(identityName, 0, "file has %d records, expected one", len(records))
	}
	if err := decodeInfo(records[0], recordIdentity, &info); err != nil {
		return Identity{}, damaged(identityName, 0, "%v", err)
	}
	if info.Format != formatVersion {
		return Identity{}, damaged(identityName, 0, "file has format %d, this program reads format %d", info.Format, formatVersion)
	}
	if info.Cluster != cluster || info.Host != host {
		return Identity{}, errors.Annotatef(ErrWrongIdentity, "%s names cluster %q host %q, expected cluster %q host %q",
			identityName, info.Cluster, info.Host, cluster, host)
	}
	return Identity{Cluster: info.Cluster, Host: info.Host, Incarnation: info.Incarnation}, nil
}

// readSingleFrame reads a file that consists of exactly one frame.
func readSingleFrame(fs fileSystem, name string) ([]record, error) {
	data, err := fs.ReadFile(name)
	if err != nil {
		return nil, errors.Annotatef(err, "reading %s", name)
	}
	s := scanFrames(data)
	if s.damage != "" {
		return nil, damaged(name, s.end, "%s", s.damage)
	}
	if len(s.frames) != 1 {
		return nil, damaged(name, 0, "file has %d frames, expected one", len(s.frames))
	}
	records, err := splitRecords(s.frames[0].payload)
	if err != nil {
		return nil, damaged(name, 0, "%v", err)
	}
	return records, nil
}

func listFolder(fs fileSystem) (folderContents, error) {
	names, err := fs.List()
	if err != nil {
		return folderContents{}, errors.Annotate(err, "listing data folder")
	}
	return classify(names), nil
}
