package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"primrosedale.example/primrosedale/core/model"
)

// The settings of connections to targets.
const (
	dialTimeout = time.Second
	// userTimeout discards unacknowledged bytes with their connection, so that
	// no request reaches a target long after it was sent.
	userTimeout = 2 * time.Second
	// idleTimeout is shorter than the usual keep-alive of servers, so that a
	// connection is seldom closed by the target while a request is written.
	idleTimeout = 20 * time.Second
	// maxAnswerHeader bounds the memory for the header of one answer, in bytes.
	maxAnswerHeader = 64 << 10
)

const (
	errNotAllowed = errors.ConstError("the attempt may no longer start")
	errNoAttempt  = errors.ConstError("write without an attempt")
)

// newTransport returns the transport for all targets. It speaks HTTP/1.1 and
// never resends: requests carry neither GetBody nor an idempotency header.
func newTransport(idlePerTarget int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		DisableCompression:     true,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(failed, "set TCP_USER_TIMEOUT")
}

// The states of a guard.
const (
	guardIdle    int32 = iota // no byte was written
	guardStarted              // a byte may have been written
	guardSealed               // no byte was written and none will be
)

// guard decides whether an attempt may write its first byte, and knows
// whether it did.
type guard struct {
	allowed func() bool
	now     func() model.Time
	state   atomic.Int32
	first   atomic.Int64 // time of the first write, a model.Time
}

// begin is called before each write. The first call of an attempt makes the
// check; sealing and beginning exclude each other.
func (g *guard) begin() (first bool, err error) {
	if g.state.Load() == guardStarted {
		return false, nil
	}
	if !g.allowed() || !g.state.CompareAndSwap(guardIdle, guardStarted) {
		return false, errNotAllowed
	}
	g.first.Store(int64(g.now()))
	return true, nil
}

// revert records that the first write has written nothing.
func (g *guard) revert() { g.state.Store(guardIdle) }

// seal ends the attempt and reports whether it is certain that no byte was
// written. After it, no byte can be written by an attempt that had not begun.
func (g *guard) seal() bool { return g.state.CompareAndSwap(guardIdle, guardSealed) }

// guardedConn asks the guard of the present attempt before it writes. A
// connection carries one attempt at a time.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[guard]
}

func (c *guardedConn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return 0, errNoAttempt
	}
	first, err := g.begin()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		g.revert()
	}
	return n, err
}
