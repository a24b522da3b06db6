package drain

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// state is what is known of a connection.
type state int32

const (
	stateNew   state = iota // no byte has arrived yet
	stateIdle               // the last request was answered, no byte of a next one has arrived
	stateBusy               // a byte of a request has arrived
	stateEnded              // the closing response is the answer to whatever arrives
)

// conn is one connection of a caller. The states exclude each other: a byte that
// arrives makes it busy, or is discarded because it has ended.
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

// markIdle notes that the last request was answered.
func (c *conn) markIdle() {
	c.state.CompareAndSwap(int32(stateBusy), int32(stateIdle))
	if c.listener.isDraining() {
		c.endWithResponse(stateIdle)
	}
}

// endWithResponse sends the closing response if the connection is in the given state, and lets the
// server's goroutine discard what still arrives. It does not block: the closing response
// fits the empty send buffer, and the deadline holds for the case that it does
// not.
func (c *conn) endWithResponse(in state) {
	if !c.state.CompareAndSwap(int32(in), int32(stateEnded)) {
		return
	}
	_ = c.Conn.SetDeadline(time.Now().Add(discardTimeout))
	_, _ = c.Conn.Write(c.listener.closingResponse()) // a caller that has gone needs no answer
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// SetReadDeadline keeps the deadline of the closing response: the server sets deadlines
// of its own before it reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	if state(c.state.Load()) == stateEnded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close ends the connection.
func (c *conn) Close() error {
	defer c.listener.remove(c)
	return c.Conn.Close()
}
