// Package storage keeps the log, the hard state and the snapshots of one
// replica in its data folder. A Store is used by one goroutine, the log
// writer.
//
// # Structure
//
// A Batch to write is an event. The function (*layout).reduce decides what to
// do about it and returns a list of operations as data; the type disk executes
// them in order and decides nothing. Recovery is a reducer too:
// (*replay).apply folds the records of the log, one by one, into the state
// that the log describes.
//
// # Files
//
//	lock                    held with flock by the process that uses the folder
//	identity                cluster, host and incarnation
//	wal-<number>.log        segments of the log, about 16 MiB each
//	snap-<index>.snap       snapshots, the last two are kept
//	*.tmp                   files not yet complete, removed when opening
//	*.damaged               a snapshot that failed its checksum, never read again
//
// Every file is a sequence of frames. A frame has a length, a CRC-32C and a
// sequence number, and holds the records of one synced write. Records are
// lines of text: a letter for the kind and the JSON of package codec. As a
// batch has one checksum, a batch torn at any place is one bad frame, and no
// part of it can pass for a synced record.
//
// # Guarantees
//
//   - When Write returns nil, its hard state, entries and snapshot survive a
//     crash of the process and of the machine, as far as the disk keeps what
//     it has confirmed with a sync.
//   - After the first error of Write, all later calls return the same error
//     and nothing more is written. A failed sync says nothing about what is on
//     disk, so it is never tried again.
//   - A Write that did not return nil may be recovered by the next Open in
//     whole, not at all, or up to one of these steps, which are synced in this
//     order: each 8 MiB of entries; for an install, the hard state, the
//     snapshot (entries after it are kept if the log had the same entry at its
//     index), the reset of the log with the new entries; for a snapshot of our
//     own, the entries, the snapshot.
//   - What Open returns is durable. The last frame is written again, because a
//     failed sync leaves content in the page cache that is not on disk.
//   - A bad frame at the end of the last segment, with no valid frame after
//     it, is the write that was under way at a crash, and is truncated. Any
//     other damage makes Open fail with an error that names the file, the
//     byte offset and what is wrong.
//   - A removed segment or a segment cut at a frame boundary is refused,
//     except for a cut in the last segment.
//   - If the newest snapshot fails its checksum, Open uses the one before it,
//     provided that the log covers everything after it; otherwise it fails.
//   - Two processes cannot use one folder at the same time.
//
// Not detected: damage to the last frame of the log after it was synced, when
// the process then ended without Close. It looks like a write that was under
// way. Close ends the log with an empty frame, so that damage before it is
// told from a torn write.
package storage
