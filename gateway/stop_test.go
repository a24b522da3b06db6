package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Guards against reporting a held request as not run at the end of the process
// although an attempt was made for it.
func TestCloseReportsNotRunOnlyWithoutAttempt(t *testing.T) {
	cases := []struct {
		queue string
		kind  problem.Kind
	}{
		{"proofs", problem.Stopping},
		{"public", problem.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.queue, func(t *testing.T) {
			ready := make(chan struct{}, 1)
			address := rawTarget(t, func(_ *net.TCPConn, reader *bufio.Reader) {
				readRequest(reader)
				ready <- struct{}{}
				io.Copy(io.Discard, reader)
			})
			var f *fixture
			f = newFixture(t, Config{}, func(s *Server, e event.Event) {
				arrived, ok := e.(event.RequestArrived)
				if ok && arrived.Request.Queue == "proofs" {
					ready <- struct{}{} // the owner does not dispatch it
					return
				}
				forwardTo(f.control.Now, address)(s, e)
			})
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				<-ready
				f.server.Close()
			}()
			response, body := f.post(t, c.queue, "x", withKey(pressKey))
			requireRefusal(t, response, body, c.kind)
			<-closed
		})
	}
}

// Guards against bytes that reach a target long after they were sent.
func TestUserTimeoutIsSet(t *testing.T) {
	address := rawTarget(t, func(_ *net.TCPConn, reader *bufio.Reader) { io.Copy(io.Discard, reader) })
	conn, err := newTransport(1).DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	var value int
	raw, err := conn.(*guardedConn).Conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	assert.Equal(t, userTimeout, time.Duration(value)*time.Millisecond)
	_, err = conn.Write([]byte("x"))
	assert.ErrorIs(t, err, errNoAttempt, "a connection must not write without an attempt")
}

// Guards against writing the first byte of a request to a connection that the target
// has closed.
func TestNoByteOnClosedConnection(t *testing.T) {
	address := rawTarget(t, func(*net.TCPConn, *bufio.Reader) {}) // closes at once
	conn, err := newTransport(1).DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	guarded := conn.(*guardedConn)
	require.Eventually(t, guarded.peerClosed, waitLimit, time.Millisecond)
	g := &startGuard{mayStart: func() bool { return true }, now: func() model.Time { return 1 }}
	guarded.guard.Store(g)
	_, err = conn.Write([]byte("x"))
	assert.ErrorIs(t, err, errPeerClosed)
	assert.True(t, g.seal(), "the attempt is known not to have started")
}

// Guards against idle connections of nine gateways that use up the connections of a
// target.
func TestIdleConnectionsFitTarget(t *testing.T) {
	const gateways, slots, connections = 9, 8, 64
	transport := newTransport(Config{}.withDefaults().IdlePerTarget)
	assert.LessOrEqual(t, gateways*transport.MaxIdleConnsPerHost+slots, connections)
}
