package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/gateway/intake"
)

// Limits of what a process that is not of this cluster may send.
const (
	// maxHandshakeBytes is many times the size of a handshake.
	maxHandshakeBytes = 8 << 10
	// messageStall is how long a peer may send nothing in the middle of a message. A
	// sender closes its connection sooner if nothing is acknowledged (userTimeout).
	messageStall = 2 * time.Second
	// holdStep is the part of a message that is held before more of it is read. Most
	// messages are smaller and are not counted.
	holdStep = 64 << 10
)

// source is what a stream reads. It bounds the handshake, and the bytes of messages that
// are not complete yet.
type source struct {
	ctx      context.Context
	conn     net.Conn
	admitted *intake.Conn // nil if the connections are not counted
	accepted bool         // the handshake is complete
	read     int64        // bytes of the current message or of the handshake
	held     int64
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if err := s.reserve(int64(len(p))); err != nil {
		return 0, err
	}
	n, err := s.conn.Read(p)
	s.read += int64(n)
	return n, err
}

// reserve holds what is needed to read n more bytes.
func (s *source) reserve(n int64) error {
	switch {
	case !s.accepted && s.read >= maxHandshakeBytes:
		return errors.Errorf("a handshake of more than %d bytes", maxHandshakeBytes)
	case s.read > codec.MaxMessageBytes:
		return errors.Errorf("a message of more than %d bytes", codec.MaxMessageBytes)
	case s.read+n <= s.held+holdStep:
		return nil
	}
	step := max(holdStep, n)
	if !s.admitted.Hold(s.ctx, step) {
		return errors.New("too many bytes of unfinished messages are held")
	}
	s.held += step
	s.startMessage()
	return nil
}

// startMessage marks the start of a message that has not arrived as a whole.
func (s *source) startMessage() {
	s.admitted.SetPhase(intake.Receiving)
	_ = s.conn.SetReadDeadline(time.Now().Add(messageStall)) // fails only on a closed connection
}

// endMessage marks the end of a message.
func (s *source) endMessage() {
	s.read = 0
	if s.held > 0 {
		s.held = 0
		s.admitted.Release()
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	s.admitted.SetPhase(intake.Idle)
}

// copyMessage reads the size bytes of a message that has not arrived as a whole. The time
// limit starts anew with each step.
func (s *source) copyMessage(message *bytes.Buffer, r io.Reader, size int64) error {
	defer s.endMessage()
	for left := size; left > 0; {
		s.startMessage()
		step := min(left, holdStep)
		if err := s.reserve(step); err != nil {
			return err
		}
		if _, err := io.CopyN(message, r, step); err != nil {
			return errors.Annotate(err, "reading a frame")
		}
		s.read += step
		left -= step
	}
	return nil
}
