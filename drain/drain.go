// Package drain ends the keep-alive connections of an HTTP server without cutting off
// a request.
//
// A server that closes an idle connection cannot know whether a request is in flight
// on it. The caller of such a request only sees that the connection was closed and
// cannot tell whether the request ran. A Listener therefore ends an idle connection
// with a closing response, a complete answer that says that the request was not run,
// and then closes its sending side. Data that still arrives is read and discarded
// until the caller closes the connection, so that no TCP reset makes the caller lose
// the closing response. RFC 9110, 15.5.9 gives status 408 this meaning.
//
// A connection on which a byte of a request has arrived is left to its handler,
// which answers with "Connection: close".
//
// Connections in the kernel's accept queue are accepted before the listening socket is
// closed.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Timeouts of a drain.
const (
	// firstRequestTimeout is how long a connection that has not carried any request is
	// left open, because its caller has just connected and is about to send one.
	firstRequestTimeout = time.Second
	// discardTimeout bounds the wait for a caller to close after the closing response.
	discardTimeout = 2 * time.Second
)

// Listener wraps the listener of an HTTP server and tracks its connections.
type Listener struct {
	net.Listener
	closingResponse func() []byte

	mu        sync.Mutex
	conns     map[*conn]struct{}
	draining  bool
	accepting bool          // Accept is running and may hold a new connection
	backlog   []net.Conn    // accepted just before the listening socket was closed
	changed   chan struct{} // closed and replaced when a connection or Accept has ended
}

// NewListener returns a Listener. closingResponse returns the bytes of the answer that
// ends an idle connection.
func NewListener(l net.Listener, closingResponse func() []byte) *Listener {
	return &Listener{Listener: l, closingResponse: closingResponse, conns: make(map[*conn]struct{}), changed: make(chan struct{})}
}

// Attach sets the hooks of the server that serves on l and wraps its handler. Hooks that
// are set already are called with the connection that the inner listener accepted.
func (l *Listener) Attach(s *http.Server) {
	next, connState, connContext := s.Handler, s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(innerConn(c), state)
		}
		onStateChange(c, state)
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, innerConn(c))
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.markBusy() {
			// The closing response has answered this request, which was read together
			// with an earlier one.
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// innerConn returns the connection that a Listener has wrapped.
func innerConn(c net.Conn) net.Conn {
	if tracked, ok := c.(*conn); ok {
		return tracked.Conn
	}
	return c
}

// onStateChange is the server's hook. A connection becomes idle when its answer
// has been written.
func onStateChange(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*conn); ok && state == http.StateIdle {
		tracked.markIdle()
	}
}

// Accept waits for the next connection. It is called by one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	l.setAccepting(true)
	accepted, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = false
	l.notify()
	if err == nil {
		return l.track(accepted), nil
	}
	if len(l.backlog) == 0 {
		if l.draining {
			err = net.ErrClosed // the kernel reports the shutdown as a different error
		}
		return nil, err
	}
	accepted, l.backlog = l.backlog[0], l.backlog[1:]
	return l.track(accepted), nil
}

func (l *Listener) setAccepting(accepting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = accepting
}

// notify wakes Drain. The caller holds l.mu.
func (l *Listener) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// track adds a connection. The caller holds l.mu.
func (l *Listener) track(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, listener: l}
	l.conns[c] = struct{}{}
	return c
}

// stopListening accepts the connections in the kernel's accept queue and closes the
// listening socket. Accept returns these connections.
func (l *Listener) stopListening() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	var err error
	l.backlog, err = takeBacklog(l.Listener)
	if closeErr := l.Listener.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

// Drain stops accepting connections, ends idle ones with a closing response, and waits
// until all have ended or ctx has. The server must answer requests that it still reads
// with "Connection: close". The caller shuts the server down afterwards.
func (l *Listener) Drain(ctx context.Context) error {
	if err := l.stopListening(); err != nil {
		return errors.Annotate(err, "closing the listening socket")
	}
	l.endAllIn(stateIdle)
	if err := l.wait(ctx, firstRequestTimeout); !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return err
	}
	l.endAllIn(stateNew)
	return l.wait(ctx, 0)
}

// endAllIn ends the connections that are in the given state.
func (l *Listener) endAllIn(in state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.endWithResponse(in)
	}
}

// wait returns when no connection is left, ctx has ended, or the limit has
// passed. A limit of zero stands for none.
func (l *Listener) wait(ctx context.Context, limit time.Duration) error {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	for {
		l.mu.Lock()
		done := len(l.conns) == 0 && len(l.backlog) == 0 && !l.accepting
		changed := l.changed
		l.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// remove stops tracking a connection that has ended.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.conns[c]; !known {
		return
	}
	delete(l.conns, c)
	l.notify()
}
