package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes of the kernel's buffers of one connection. The kernel reserves about twice as much
// for its own structures.
const (
	// receiveBuffer is a few times what arrives in a round trip from a caller of an entry
	// host (2 Mbit/s, 3 ms), and lets an operator send 4 MiB in about half a second.
	receiveBuffer = 16 << 10
	sendBuffer    = 32 << 10
	// peerReceiveBuffer lets a replica receive a snapshot at 90 MB/s over 1.4 ms.
	peerReceiveBuffer = 128 << 10
	// backlog is how many connections the kernel completes before they are accepted.
	// Each may hold a full receive buffer.
	backlog = 1024
)

// Limits of one connection.
const (
	// answerStall is how long a client may read nothing of an answer.
	answerStall = 5 * time.Second
	// writeStep is the part of an answer that must be read within answerStall.
	writeStep = 16 << 10
	// freeHeaderLines are not counted as held bytes. No common client sends as many.
	freeHeaderLines = 64
	// headerLineCost is the memory that net/http uses for a short header line.
	headerLineCost = 256
	// descriptorPause is the wait before the next attempt to accept a connection when the
	// process has no descriptor left.
	descriptorPause = 50 * time.Millisecond
)

var errHeaderLines = errors.New("too many header lines")

// Control returns a function for net.ListenConfig.Control. It sets the sizes of the kernel's
// buffers, which accepted connections inherit.
func Control(c Class) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			if c == Peers {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, peerReceiveBuffer)
				return
			}
			failed = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer))
		})
		return errors.Join(err, failed)
	}
}

// Listener admits the connections of a listener through a Gate.
type Listener struct {
	net.Listener
	gate  *Gate
	class Class
}

// Listener returns a listener of connections of class c.
func (g *Gate) Listener(l net.Listener, c Class) *Listener {
	if raw, err := (&Listener{Listener: l}).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) }) // without effect, the larger default stays
	}
	return &Listener{l, g, c}
}

// SyscallConn implements syscall.Conn.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	system, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("the listener has no file descriptor")
	}
	return system.SyscallConn()
}

// Accept returns the next connection that is admitted. Others are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) {
			time.Sleep(descriptorPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(raw, l.class); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// Conn is an admitted connection.
type Conn struct {
	net.Conn
	gate    *Gate
	id      ID
	class   Class
	closing sync.Once

	mu           sync.Mutex
	reading      bool // the header of a request is being read
	headerLines  int
	lastLines    int  // line ends in the last read, which may belong to the next request
	chargedLines int  // lines for which bytes are held
	answering    bool // a part of the answer was written
}

// Read implements net.Conn. It fails when the lines of a header exceed the bytes that are
// left for them.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.gate.progress(c.id)
		if !c.countLines(p[:n]) {
			return 0, errHeaderLines
		}
	}
	return n, err
}

func (c *Conn) countLines(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLines = bytes.Count(data, []byte{'\n'})
	if !c.reading {
		return true
	}
	c.headerLines += c.lastLines
	return c.chargeLines()
}

// chargeLines holds bytes for the header lines. The caller holds c.mu.
func (c *Conn) chargeLines() bool {
	more := c.headerLines - freeHeaderLines - c.chargedLines
	if more <= 0 {
		return true
	}
	if _, ok := c.gate.tryHold(c.id, c.class, int64(more)*headerLineCost); !ok {
		c.gate.count(c.class, reasonHeader)
		return false
	}
	c.chargedLines += more
	return true
}

// Write implements net.Conn. It fails if the client reads nothing for answerStall.
func (c *Conn) Write(p []byte) (int, error) {
	c.markAnswering()
	written := 0
	for {
		step := p[written:min(len(p), written+writeStep)]
		_ = c.Conn.SetWriteDeadline(time.Now().Add(answerStall)) // fails only on a closed connection
		n, err := c.Conn.Write(step)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.gate.count(c.class, reasonStalled)
		}
		if err != nil || written == len(p) {
			return written, err
		}
		c.gate.progress(c.id)
	}
}

func (c *Conn) markAnswering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answering {
		c.answering = true
		c.gate.setPhase(c.id, Answering)
	}
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Hold holds n more bytes for a message that is received on the connection, and waits for
// them if necessary. A nil Conn holds any number.
func (c *Conn) Hold(ctx context.Context, n int64) bool {
	if c == nil || c.gate.hold(ctx, c.id, c.class, n) {
		return true
	}
	c.gate.count(c.class, reasonBytes)
	return false
}

// Release gives back what the connection holds.
func (c *Conn) Release() {
	if c != nil {
		c.gate.release(c.id)
	}
}

// SetPhase records what the connection does from now on.
func (c *Conn) SetPhase(p Phase) {
	if c != nil {
		c.gate.setPhase(c.id, p)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	defer c.closing.Do(func() { c.gate.closed(c.id) })
	return c.Conn.Close()
}

// onState is the hook of http.Server.
func (c *Conn) onState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.gate.setPhase(c.id, Receiving)
	case http.StateIdle:
		c.gate.setPhase(c.id, Idle)
	}
}

// startRequest records that the header of a request was read.
func (c *Conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.answering = false, false
	c.gate.setPhase(c.id, Serving)
}

// endRequest gives back what the request held. Lines that were read ahead count for the
// next one.
func (c *Conn) endRequest() {
	c.gate.release(c.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.headerLines, c.chargedLines = c.lastLines, 0
}
