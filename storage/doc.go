// Package storage keeps the log, the hard state and the snapshots of one
// replica in its data folder. A Store is used by one goroutine, the log
// writer.
//
// # Structure
//
// A Batch to write is an event. The method (*layout).reduce decides how to store
// it and returns a list of operations as data; the type disk executes them in
// order and makes no decisions. Recovery is a reducer as well: (*replay).apply
// folds the records of the log, one by one, into the state that the log describes.
//
// # Files
//
//	lock                    locked with flock by the process that uses the folder
//	identity                cluster, host and incarnation
//	wal-<number>.log        segments of the log, about 16 MiB each
//	snap-<index>.snap       snapshots; the last two are kept
//	*.tmp                   incomplete files, removed by Open
//	*.damaged               a snapshot that failed its checksum; never read again
//
// Every file is a sequence of frames. A frame has a length, a CRC-32C and a
// sequence number, and holds the records of one synced write. Records are
// lines of text: a letter for the kind, then JSON, which package codec encodes for
// hard states, entries and snapshots. As a frame has one checksum, a frame that is
// torn at any place is invalid as a whole, and no part of it can be taken for a
// synced record.
//
// # Guarantees
//
//   - When Write returns nil, its hard state, entries and snapshot survive a
//     crash of the process and of the machine, provided that the disk keeps
//     what it has confirmed with a sync.
//   - After the first error of Write, all later calls return the same error
//     and nothing more is written. After a failed sync it is not known what is on
//     disk, so the sync is never retried. Only a Write that failed with ErrNoSpace
//     can be completed, with Resume.
//   - A Write that did not return nil may be recovered by the next Open as a
//     whole, not at all, or up to one of its steps, which are synced one after
//     another. With an installed snapshot, the steps are the hard state, the
//     snapshot, and the reset of the log with the new entries; with a local
//     snapshot, the entries and the snapshot. Each 8 MiB of entries are a step of
//     their own. If an installed snapshot is recovered without the reset, the
//     entries after it are kept if the log had the same entry at its index.
//   - What Open returns is durable. Open rewrites the last frame, because a
//     failed sync leaves content in the page cache that is not on disk.
//   - An invalid frame at the end of the last segment, with no valid frame after
//     it, is taken for a write that was interrupted by a crash, and is truncated.
//     Any other damage makes Open fail with an error that names the file, the
//     byte offset and the damage.
//   - Open fails if a segment is missing or is truncated at a frame boundary,
//     except for a truncation of the last segment.
//   - If the newest snapshot fails its checksum, Open uses the one before it,
//     provided that the log has all entries after it; otherwise Open fails.
//   - Two processes cannot use one folder at the same time.
//
// Not detected: damage to the last frame of the log after it was synced, if the
// process ended without Close. It cannot be told from an interrupted write. Close
// ends the log with an empty frame, so that damage before that frame is detected.
package storage
