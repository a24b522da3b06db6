package drain

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// state tells whether a request has started to arrive on a connection, and whether the
// connection has ended.
type state int32

const (
	stateNew   state = iota // no byte has arrived yet
	stateIdle               // the last request was answered, no byte of a next one has arrived
	stateBusy               // a byte of a request has arrived
	stateEnded              // the closing response answers whatever arrives
)

// conn is one connection of a caller. A byte that arrives either makes it busy or, if
// it has ended, is discarded.
type conn struct {
	net.Conn
	listener *Listener
	state    atomic.Int32
}

// Read returns what arrives, or io.EOF after the closing response.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 || c.markBusy() {
			return n, err
		}
		if err != nil {
			return 0, io.EOF
		}
	}
}

// markBusy makes the connection busy. It reports false if it has ended.
func (c *conn) markBusy() bool {
	for {
		s := state(c.state.Load())
		switch {
		case s == stateBusy:
			return true
		case s == stateEnded:
			return false
		case c.state.CompareAndSwap(int32(s), int32(stateBusy)):
			return true
		}
	}
}

// markIdle records that the last request was answered. During a drain it ends the
// connection.
func (c *conn) markIdle() {
	c.state.CompareAndSwap(int32(stateBusy), int32(stateIdle))
	if c.listener.isDraining() {
		c.endWithResponse(stateIdle)
	}
}

// endWithResponse sends the closing response if the connection is in the given state,
// and lets the server's goroutine discard what still arrives. It does not block: the
// closing response fits into the empty send buffer, and the deadline covers the case
// in which it does not.
func (c *conn) endWithResponse(in state) {
	if !c.state.CompareAndSwap(int32(in), int32(stateEnded)) {
		return
	}
	_ = c.Conn.SetDeadline(time.Now().Add(discardTimeout))
	_, _ = c.Conn.Write(c.listener.closingResponse()) // a caller that has disconnected needs no answer
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// SetReadDeadline has no effect after the closing response: the server sets its own
// deadlines before it reads, and would replace the one set for the closing response.
func (c *conn) SetReadDeadline(t time.Time) error {
	if state(c.state.Load()) == stateEnded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	defer c.listener.remove(c)
	return c.Conn.Close()
}
