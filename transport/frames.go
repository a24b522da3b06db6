package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/codec"
)

// If both sides support frames, messages follow the handshake as frames. A frame is the
// length of the message as a big-endian integer of frameHeaderBytes bytes, followed by the
// message, packed or in JSON. JSON-RPC would parse and copy each message four more times.
const (
	frameHeaderBytes = 4
	// batchBytes is the size at which no further queued messages are added to a write.
	batchBytes = 64 << 10
	// maxRetainedBuffer is the size of the largest buffer that is reused.
	maxRetainedBuffer = 1 << 20
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
	decoder *json.Decoder
	encoder *json.Encoder
	// handleFrame handles the messages of all following frames. The handler of the
	// handshake sets it, while no read is in progress.
	handleFrame func(message []byte) error
}

func newStream(conn net.Conn) *stream {
	return &stream{conn: conn, decoder: json.NewDecoder(conn), encoder: json.NewEncoder(conn)}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error { return s.encoder.Encode(v) }

// ReadObject implements jsonrpc2.ObjectStream. Once handleFrame is set, it reads frames and
// returns only when the connection ends or a frame is invalid.
func (s *stream) ReadObject(v any) error {
	if s.handleFrame == nil {
		return s.decoder.Decode(v)
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
		if err := readFrame(r, &message); err != nil {
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

// readFrame reads the message of one frame. The buffer grows as bytes arrive, so that a
// false length in the header allocates no memory.
func readFrame(r io.Reader, message *bytes.Buffer) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > codec.MaxMessageBytes {
		return errors.Errorf("a frame of %d bytes, the limit is %d", size, codec.MaxMessageBytes)
	}
	message.Reset()
	if _, err := io.CopyN(message, r, size); err != nil {
		return errors.Annotate(err, "reading a frame")
	}
	return nil
}
