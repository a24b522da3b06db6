package gateway

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"primrosedale.example/primrosedale/core/model"
)

// The states of a guard.
const (
	guardIdle    int32 = iota // no byte was written
	guardStarted              // a byte may have been written
	guardSealed               // no byte was written and none will be
)

// startGuard decides whether an attempt may write its first byte, and knows
// whether it did.
type startGuard struct {
	mayStart   func() bool
	now        func() model.Time
	state      atomic.Int32
	firstWrite atomic.Int64 // time of the first write, a model.Time
}

// start is called before the first write. It makes the last check; beginning
// and sealing exclude each other.
func (g *startGuard) start() error {
	if !g.mayStart() || !g.state.CompareAndSwap(guardIdle, guardStarted) {
		return errNotAllowed
	}
	g.firstWrite.Store(int64(g.now()))
	return nil
}

// revert records that the first write has written nothing.
func (g *startGuard) revert() { g.state.Store(guardIdle) }

// seal ends the attempt and reports whether it is certain that no byte was
// written. After it, no byte can be written by an attempt that had not begun.
func (g *startGuard) seal() bool { return g.state.CompareAndSwap(guardIdle, guardSealed) }

// guardedConn asks the guard of the present attempt before it writes. A
// connection carries one attempt at a time.
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

// Write makes the checks of an attempt before its first byte.
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

// peerClosed reports whether the target has closed the connection or sent
// bytes before the request. The transport learns of it on another goroutine,
// perhaps after the write, and the outcome would then be unknown instead of
// not started. The bytes stay in the socket's buffer.
func (c *guardedConn) peerClosed() bool {
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err != unix.EAGAIN && err != unix.EINTR
	})
	return closed || err != nil
}
