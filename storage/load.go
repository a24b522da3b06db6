package storage

import (
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
)

// loadedLog is the log as read from the segments.
type loadedLog struct {
	replay
	sequence        uint64            // of the last valid frame
	unverified      []unverifiedFrame // frames that are not known to be synced
	end             int64             // offset of the next frame in the last segment, in bytes
	truncated       int64             // number of bytes after end that belong to an interrupted write
	truncatedDamage string            // damage found in these bytes
	unusedSegment   string            // name of a segment that was created but never used, or empty
}

// unverifiedFrame is a valid frame that may have been read from the page cache
// without being on disk.
type unverifiedFrame struct {
	name string // of the segment
	frame
}

// scannedSegment is a segment file with its frames.
type scannedSegment struct {
	name string
	scan
}

// lastFrame returns the last valid frame. There is one, because scanSegments rejects
// segments without frames.
func (s scannedSegment) lastFrame() frame { return s.frames[len(s.frames)-1] }

// loadLog reads all segments.
func loadLog(fs fileSystem, numbers []uint64, incarnation model.Incarnation) (*loadedLog, error) {
	segments, err := scanSegments(fs, numbers)
	if err != nil {
		return nil, err
	}
	log := &loadedLog{replay: replay{incarnation: incarnation}}
	segments = log.dropUnused(segments)
	if err := log.replaySegments(segments); err != nil {
		return nil, err
	}
	last := segments[len(segments)-1]
	if log.sealed {
		missing := segmentName(log.segments[len(log.segments)-1].number + 1)
		return nil, damaged(last.name, last.end, "the log continues in %s, which is missing", missing)
	}
	log.sequence = last.lastFrame().sequence
	log.unverified = unverifiedFrames(segments)
	log.end = last.end
	log.truncated = last.size - last.end
	log.truncatedDamage = last.damage
	return log, nil
}

// unverifiedFrames returns the last frame of the log. Each frame is synced before
// the next one of its segment is written, so all other frames are on disk, except
// the seal of the previous segment if the last one has only its header.
func unverifiedFrames(segments []scannedSegment) []unverifiedFrame {
	last := segments[len(segments)-1]
	unverified := []unverifiedFrame{{name: last.name, frame: last.lastFrame()}}
	if len(last.frames) == 1 && len(segments) > 1 {
		previous := segments[len(segments)-2]
		unverified = append(unverified, unverifiedFrame{name: previous.name, frame: previous.lastFrame()})
	}
	return unverified
}

func scanSegments(fs fileSystem, numbers []uint64) ([]scannedSegment, error) {
	if len(numbers) == 0 {
		return nil, damaged(segmentName(1), 0, "data folder has no log segment")
	}
	var segments []scannedSegment
	for _, number := range numbers {
		name := segmentName(number)
		data, err := fs.ReadFile(name)
		if err != nil {
			return nil, errors.Annotatef(err, "reading %s", name)
		}
		s := scannedSegment{name: name, scan: scanFrames(data)}
		if len(s.frames) == 0 {
			// The header is synced before the file gets its final name.
			return nil, damaged(name, 0, "no valid segment header: %s", s.damage)
		}
		segments = append(segments, s)
	}
	return segments, nil
}

// dropUnused leaves out a last segment that contains only its header if the segment
// before it is not sealed: a crash occurred after its creation and before the seal.
func (l *loadedLog) dropUnused(segments []scannedSegment) []scannedSegment {
	n := len(segments)
	if n < 2 {
		return segments
	}
	last, previous := segments[n-1], segments[n-2]
	if len(last.frames) > 1 || last.damage != "" || previous.isSealed() {
		return segments
	}
	l.unusedSegment = last.name
	return segments[:n-1]
}

func (s scannedSegment) isSealed() bool {
	payload := s.lastFrame().payload
	return s.damage == "" && len(payload) > 0 && recordKind(payload[0]) == recordSeal
}

func (l *loadedLog) replaySegments(segments []scannedSegment) error {
	var sequence uint64
	for i, s := range segments {
		if err := checkDamage(s, i == len(segments)-1); err != nil {
			return err
		}
		for _, f := range s.frames {
			first := i == 0 && f.offset == 0
			if !first && f.sequence != sequence+1 {
				return damaged(s.name, f.offset, "frame has sequence number %d, expected %d", f.sequence, sequence+1)
			}
			sequence = f.sequence
			if err := l.applyPayload(f.payload); err != nil {
				return damaged(s.name, f.offset, "%v", err)
			}
		}
	}
	return nil
}

// checkDamage accepts an invalid frame only at the very end of the log.
func checkDamage(s scannedSegment, last bool) error {
	switch {
	case s.damage == "":
		return nil
	case s.nextFrame >= 0:
		return damaged(s.name, s.end, "%s, and a valid frame follows at byte %d", s.damage, s.nextFrame)
	case !last:
		return damaged(s.name, s.end, "%s, and the log continues in later segments", s.damage)
	}
	return nil
}

// layout returns the initial state of the reducer for the loaded folder.
func (l *loadedLog) layout(chosen chosenSnapshot, lim limits) layout {
	out := layout{
		incarnation: l.incarnation,
		segments:    l.segments,
		size:        l.end,
		sequence:    l.sequence + 1,
		last:        l.last(),
		hardState:   l.hardState,
		snapshots:   chosen.indices,
		segmentSize: lim.segmentSize,
	}
	if chosen.unfinishedInstall != nil {
		out.last = *chosen.unfinishedInstall
	}
	return out
}
