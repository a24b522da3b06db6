package storage

import (
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
)

// chosenSnapshot is the snapshot from which the replica starts, with the entries
// after it.
type chosenSnapshot struct {
	snapshot          *Snapshot // nil if the log starts at index 1
	entries           []Entry   // entries of the log after the snapshot
	indices           []uint64  // indices of the snapshots that remain in the folder
	unfinishedInstall *position // position to which the log must be reset to complete an interrupted install, or nil
	damagedName       string    // name of a newer snapshot that is damaged, or empty
	damage            error     // error of reading it
}

// chooseSnapshot reads the newest snapshot. If that is damaged, it falls back to the
// one before it, provided that the log covers the difference.
func chooseSnapshot(fs fileSystem, indices []uint64, log *loadedLog) (chosenSnapshot, error) {
	if len(indices) == 0 {
		return chooseOlder(fs, nil, 0, log)
	}
	newest := indices[len(indices)-1]
	snapshot, info, err := readSnapshot(fs, newest, log)
	if errors.Is(err, ErrDamaged) {
		chosen, olderErr := chooseOlder(fs, indices[:len(indices)-1], newest, log)
		if olderErr != nil {
			return chosenSnapshot{}, errors.Annotatef(err, "no older snapshot can be used instead (%v)", olderErr)
		}
		chosen.damagedName = snapshotName(newest)
		chosen.damage = err
		return chosen, nil
	}
	if err != nil {
		return chosenSnapshot{}, err
	}
	chosen := chosenSnapshot{snapshot: snapshot, indices: indices}
	switch {
	case log.covers(info.At):
		chosen.entries = log.after(newest)
	case info.Installed && newest > log.base.Index:
		chosen.unfinishedInstall = &info.At
	default:
		return chosenSnapshot{}, incompleteLog(newest, log)
	}
	return chosen, nil
}

// chooseOlder reads the snapshot of the last index, or starts from an empty state if
// there are no indices. The log must have all entries from there up to index upTo.
func chooseOlder(fs fileSystem, indices []uint64, upTo uint64, log *loadedLog) (chosenSnapshot, error) {
	chosen := chosenSnapshot{indices: indices}
	var at position
	if len(indices) > 0 {
		snapshot, info, err := readSnapshot(fs, indices[len(indices)-1], log)
		if err != nil {
			return chosenSnapshot{}, err
		}
		chosen.snapshot, at = snapshot, info.At
	}
	if !log.covers(at) || log.last().Index < upTo {
		return chosenSnapshot{}, incompleteLog(at.Index, log)
	}
	chosen.entries = log.after(at.Index)
	return chosen, nil
}

func incompleteLog(index uint64, log *loadedLog) error {
	name := snapshotName(index)
	if index == 0 {
		name = "no snapshot"
	}
	return damaged(name, 0, "the log after index %d is incomplete: it has entries %d to %d",
		index, log.base.Index+1, log.last().Index)
}

// readSnapshot reads and checks the snapshot file with this index.
func readSnapshot(fs fileSystem, index uint64, log *loadedLog) (*Snapshot, snapshotInfo, error) {
	var info snapshotInfo
	name := snapshotName(index)
	records, err := readSingleFrame(fs, name)
	if err != nil {
		return nil, info, err
	}
	if len(records) != 2 || records[1].kind != recordSnapshot {
		return nil, info, damaged(name, 0, "the records are not those of a snapshot")
	}
	if err := decodeInfo(records[0], recordSnapshotInfo, &info); err != nil {
		return nil, info, damaged(name, 0, "%v", err)
	}
	snapshot, err := codec.DecodeSnapshot(records[1].body)
	if err != nil {
		return nil, info, damaged(name, 0, "%v", err)
	}
	at := position{snapshot.Index, snapshot.Term}
	if info.Incarnation != log.incarnation || info.At != at || at.Index != index {
		return nil, info, damaged(name, 0, "the snapshot has incarnation %q and index %d", info.Incarnation, at.Index)
	}
	return snapshot, info, nil
}
