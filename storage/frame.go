package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// frameMagic starts every frame. Its first byte never occurs in UTF-8, and so in no
// payload. A search for the next frame after damage therefore finds only the starts
// of frames.
var frameMagic = []byte{0xF5, 'P', 'D', 'L'}

// Layout of a frame: magic, checksum, payload length and sequence number, all
// little-endian, then the payload. The checksum covers everything after it.
const (
	crcOffset       = 4
	lengthOffset    = 8
	sequenceOffset  = 12
	frameHeaderSize = 20
	maxFramePayload = 300 << 20 // in bytes; more than the largest snapshot file
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is a frame with a valid checksum.
type frame struct {
	offset   int64 // of the frame in its file, in bytes
	sequence uint64
	payload  []byte
}

// end returns the offset of the first byte after the frame.
func (f frame) end() int64 { return f.offset + frameHeaderSize + int64(len(f.payload)) }

// encodeFrame encodes a frame with this sequence number and payload.
func encodeFrame(sequence uint64, payload []byte) []byte {
	data := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	copy(data, frameMagic)
	binary.LittleEndian.PutUint32(data[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(data[sequenceOffset:], sequence)
	data = append(data, payload...)
	binary.LittleEndian.PutUint32(data[crcOffset:], crc32.Checksum(data[lengthOffset:], castagnoli))
	return data
}

// decodeFrame decodes the frame at offset. The second result describes what is wrong
// with it, and is empty for a valid frame.
func decodeFrame(data []byte, offset int64) (frame, string) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize {
		return frame{}, fmt.Sprintf("frame header cut to %d of %d bytes", len(rest), frameHeaderSize)
	}
	if !bytes.Equal(rest[:len(frameMagic)], frameMagic) {
		return frame{}, "no frame header"
	}
	length := binary.LittleEndian.Uint32(rest[lengthOffset:])
	if length > maxFramePayload {
		return frame{}, fmt.Sprintf("frame length of %d bytes is over the limit", length)
	}
	end := frameHeaderSize + int(length)
	if end > len(rest) {
		return frame{}, fmt.Sprintf("frame cut to %d of %d bytes", len(rest), end)
	}
	sum := binary.LittleEndian.Uint32(rest[crcOffset:])
	if sum != crc32.Checksum(rest[lengthOffset:end], castagnoli) {
		return frame{}, "frame checksum does not match"
	}
	return frame{
		offset:   offset,
		sequence: binary.LittleEndian.Uint64(rest[sequenceOffset:]),
		payload:  rest[frameHeaderSize:end],
	}, ""
}

// findFrame returns the offset of the first valid frame at or after from, or
// -1 if there is none.
func findFrame(data []byte, from int64) int64 {
	for from < int64(len(data)) {
		i := bytes.Index(data[from:], frameMagic)
		if i < 0 {
			return -1
		}
		offset := from + int64(i)
		if _, damage := decodeFrame(data, offset); damage == "" {
			return offset
		}
		from = offset + 1
	}
	return -1
}

// scan is the result of reading the frames of a file.
type scan struct {
	frames    []frame
	size      int64  // of the file, in bytes
	end       int64  // offset after the last valid frame before the first damage
	damage    string // what is wrong at end, or empty
	nextFrame int64  // offset of a valid frame after the damage, or -1
}

// scanFrames reads the frames of a file up to the first damage.
func scanFrames(data []byte) scan {
	s := scan{size: int64(len(data)), nextFrame: -1}
	for s.end < s.size {
		f, damage := decodeFrame(data, s.end)
		if damage != "" {
			s.damage = damage
			s.nextFrame = findFrame(data, s.end+1)
			return s
		}
		s.frames = append(s.frames, f)
		s.end = f.end()
	}
	return s
}
