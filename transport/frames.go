package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/gateway/intake"
)

// If both sides support frames, messages follow the handshake as frames. A frame is the
// length of the message as a big-endian integer of frameHeaderBytes bytes, followed by the
// message, packed or in JSON. JSON-RPC would parse and copy each message four more times.
const (
	frameHeaderBytes = 4
	// batchBytes is the size at which no further queued messages are added to a write.
	batchBytes = 64 << 10
	// maxRetainedBuffer is the size of the largest buffer that is reused.
	maxRetainedBuffer = 2 * batchBytes
)

// appendFrame appends a frame to dst with the message that appendMessage appends. It
// returns dst unchanged if appendMessage fails.
func appendFrame(dst []byte, appendMessage func(dst []byte) ([]byte, error)) ([]byte, error) {
	start := len(dst)
	framed, err := appendMessage(append(dst, make([]byte, frameHeaderBytes)...))
	if err != nil {
		return dst, err
	}
	binary.BigEndian.PutUint32(framed[start:], uint32(len(framed)-start-frameHeaderBytes))
	return framed, nil
}

// stream is the receiving side of a connection. It reads JSON-RPC objects, and frames after
// handleFrame is set.
type stream struct {
	conn    net.Conn
	source  *source
	decoder *json.Decoder
	encoder *json.Encoder
	// handleFrame handles the messages of all following frames. The handler of the
	// handshake sets it, while no read is in progress.
	handleFrame func(message []byte) error
}

// newStream returns a stream whose peer must complete the handshake within helloTimeout.
// admitted is nil if the connection is not counted.
func newStream(ctx context.Context, conn net.Conn, admitted *intake.Conn) *stream {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout)) // fails only on a closed connection
	s := &source{ctx: ctx, conn: conn, admitted: admitted}
	return &stream{conn: conn, source: s, decoder: json.NewDecoder(s), encoder: json.NewEncoder(conn)}
}

// acceptHandshake ends the limits of the handshake. No read is in progress.
func (s *stream) acceptHandshake() {
	s.source.accepted = true
	s.source.endMessage()
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error { return s.encoder.Encode(v) }

// ReadObject implements jsonrpc2.ObjectStream. Once handleFrame is set, it reads frames and
// returns only when the connection ends or a frame is invalid.
func (s *stream) ReadObject(v any) error {
	if s.handleFrame == nil {
		err := s.decoder.Decode(v)
		if s.source.accepted {
			s.source.endMessage()
		}
		return err
	}
	return s.readFrames(bufio.NewReader(io.MultiReader(s.decoder.Buffered(), s.conn)))
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

func (s *stream) readFrames(r *bufio.Reader) error {
	// The handshake ends with a newline, before the first frame.
	if b, err := r.ReadByte(); err != nil {
		return err
	} else if b != '\n' {
		return errors.Errorf("unexpected byte %d after the handshake, expected a newline", b)
	}
	var message bytes.Buffer
	for {
		if err := readFrame(r, &message, s.copyMessage); err != nil {
			return err
		}
		if err := s.handleFrame(message.Bytes()); err != nil {
			return err
		}
		if message.Cap() > maxRetainedBuffer {
			message = bytes.Buffer{}
		}
	}
}

// copyMessage appends the size bytes of a message to the buffer. It counts a message that
// has not arrived as a whole.
func (s *stream) copyMessage(message *bytes.Buffer, r io.Reader, size int64) error {
	if buffered, ok := r.(*bufio.Reader); !ok || size > int64(buffered.Buffered()) {
		return s.source.copyMessage(message, r, size)
	}
	_, err := io.CopyN(message, r, size)
	return err
}

// readFrame reads the message of one frame with the function copyMessage. The buffer grows
// as bytes arrive, so that a false length in the header allocates no memory.
func readFrame(r io.Reader, message *bytes.Buffer, copyMessage func(message *bytes.Buffer, r io.Reader, size int64) error) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > codec.MaxMessageBytes {
		return errors.Errorf("a frame of %d bytes, the limit is %d", size, codec.MaxMessageBytes)
	}
	message.Reset()
	return copyMessage(message, r, size)
}
