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

// Messages follow the introduction as frames where both sides know them: the length
// in frameHeaderBytes bytes, most significant first, and the message, which is packed or
// JSON. JSON-RPC would parse and copy each message four more times on the way.
const (
	frameHeaderBytes = 4
	// batchBytes is the number of bytes from which on waiting messages are not
	// gathered into one write any more.
	batchBytes = 64 << 10
	// maxRetainedBuffer is the largest buffer that is kept for the next message.
	maxRetainedBuffer = 1 << 20
)

// appendFrame appends a frame with the message that write appends. It appends nothing
// if write fails.
func appendFrame(dst []byte, appendMessage func(dst []byte) ([]byte, error)) ([]byte, error) {
	start := len(dst)
	framed, err := appendMessage(append(dst, make([]byte, frameHeaderBytes)...))
	if err != nil {
		return dst, err
	}
	binary.BigEndian.PutUint32(framed[start:], uint32(len(framed)-start-frameHeaderBytes))
	return framed, nil
}

// stream is the receiving side of a connection: JSON-RPC objects, and frames from
// the moment at which takeFrames is set.
type stream struct {
	conn    net.Conn
	decoder *json.Decoder
	encoder *json.Encoder
	// handleFrame handles the messages of all frames that follow. It is set while no
	// read is under way, by the handler of the introduction.
	handleFrame func(message []byte) error
}

func newStream(conn net.Conn) *stream {
	return &stream{conn: conn, decoder: json.NewDecoder(conn), encoder: json.NewEncoder(conn)}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error { return s.encoder.Encode(v) }

// ReadObject implements jsonrpc2.ObjectStream. Once frames follow, it returns at the
// end of the connection only.
func (s *stream) ReadObject(v any) error {
	if s.handleFrame == nil {
		return s.decoder.Decode(v)
	}
	return s.readFrames(bufio.NewReader(io.MultiReader(s.decoder.Buffered(), s.conn)))
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

func (s *stream) readFrames(r *bufio.Reader) error {
	// The line of the introduction ends before the first frame.
	if b, err := r.ReadByte(); err != nil {
		return err
	} else if b != '\n' {
		return errors.Errorf("byte %d after the introduction, a line end is expected", b)
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

// readFrame reads the message of one frame. The buffer grows as bytes arrive, not
// by what the header says.
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
