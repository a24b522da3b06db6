package gateway

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"primrosedale.example/primrosedale/core/model"
)

// The states of a startGuard.
const (
	guardIdle    int32 = iota // no byte was written
	guardStarted              // a byte may have been written
	guardSealed               // no byte was written and none will be
)

// startGuard decides whether an attempt may write its first byte, and records whether
// it did.
type startGuard struct {
	mayStart   func() bool
	now        func() model.Time
	state      atomic.Int32
	firstWrite atomic.Int64 // time of the first write, a model.Time
}

// start is called before the first write. It makes the last check. At most one of
// start and seal succeeds.
func (g *startGuard) start() error {
	if !g.mayStart() || !g.state.CompareAndSwap(guardIdle, guardStarted) {
		return errNotAllowed
	}
	g.firstWrite.Store(int64(g.now()))
	return nil
}

// revert records that the first write failed without writing a byte.
func (g *startGuard) revert() { g.state.Store(guardIdle) }

// seal ends the attempt and reports whether it is certain that no byte was written. An
// attempt that has not started by then can no longer write.
func (g *startGuard) seal() bool { return g.state.CompareAndSwap(guardIdle, guardSealed) }

// guardedConn is a connection to a target. It writes the first byte of an attempt only
// if the attempt's guard allows it. A connection carries one attempt at a time.
type guardedConn struct {
	net.Conn
	raw   syscall.RawConn
	guard atomic.Pointer[startGuard]
}

func newGuardedConn(conn net.Conn) (*guardedConn, error) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		conn.Close()
		return nil, errors.Errorf("connection of type %T has no file descriptor", conn)
	}
	raw, err := system.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, errors.Trace(err)
	}
	return &guardedConn{Conn: conn, raw: raw}, nil
}

// Write checks whether the current attempt may start before it writes the first byte.
func (c *guardedConn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return 0, errNoAttempt
	}
	if g.state.Load() == guardStarted {
		return c.Conn.Write(p)
	}
	if c.peerClosed() {
		return 0, errPeerClosed
	}
	if err := g.start(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		g.revert()
	}
	return n, err
}

// peerClosed reports whether the target has closed the connection or sent bytes before
// the request. The HTTP transport detects this on another goroutine, possibly after
// the write, and the outcome would then be unknown instead of not started. The bytes
// stay in the socket's buffer.
func (c *guardedConn) peerClosed() bool {
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err != unix.EAGAIN && err != unix.EINTR
	})
	return closed || err != nil
}
