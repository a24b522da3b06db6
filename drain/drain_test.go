package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testClosingResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbye"
	testRequest         = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na"
	testLimit           = 5 * time.Second
)

// fixture is a server that counts the requests it runs.
type fixture struct {
	listener *Listener
	server   *http.Server
	runs     atomic.Int64
	stopping atomic.Bool
	hold     chan struct{} // closed to let handlers of /hold continue
}

func newFixture(t *testing.T) *fixture {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return newFixtureOn(t, inner)
}

func newFixtureOn(t *testing.T, inner net.Listener) *fixture {
	f := &fixture{hold: make(chan struct{})}
	f.listener = NewListener(inner, func() []byte { return []byte(testClosingResponse) })
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve)}
	f.listener.Attach(f.server)
	go func() { _ = f.server.Serve(f.listener) }() // ends with Close
	t.Cleanup(func() { f.server.Close() })
	return f
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	f.runs.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/hold" {
		<-f.hold
	}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "ran")
}

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", f.listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(testLimit)))
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func exchange(t *testing.T, c net.Conn, r *bufio.Reader, request string) (int, string) {
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	return read(t, r)
}

func read(t *testing.T, r *bufio.Reader) (int, string) {
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func (f *fixture) drain(t *testing.T) chan error {
	f.stopping.Store(true)
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	go func() { done <- f.listener.Drain(ctx) }()
	return done
}

// Guards against a request that is sent on an idle connection while the server
// ends it: its caller must learn that it was not run, and it must not run.
func TestRequestThatCrossesTheClose(t *testing.T) {
	for name, request := range map[string]string{"whole": testRequest, "in part": testRequest[:20], "pipelined": testRequest + testRequest} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c, r := f.dial(t)
			status, body := exchange(t, c, r, testRequest)
			require.Equal(t, 200, status)
			require.Equal(t, "ran", body)
			done := f.drain(t)
			// The closing response is in the socket's buffer before the request is sent.
			_, err := r.Peek(1)
			require.NoError(t, err)
			status, body = exchange(t, c, r, request)
			assert.Equal(t, http.StatusRequestTimeout, status)
			assert.Equal(t, "bye", body)
			_, err = r.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "a reset would lose the closing response")
			require.NoError(t, c.Close())
			require.NoError(t, <-done)
			assert.EqualValues(t, 1, f.runs.Load())
		})
	}
}

// Guards against a drain that cuts off a request which has started to arrive, is
// running, or arrives on a connection that was opened just before.
func TestRequestsInFlightAreAnswered(t *testing.T) {
	f := newFixture(t)
	running, runningReader := f.dial(t)
	_, err := io.WriteString(running, strings.Replace(testRequest, "/", "/hold", 1))
	require.NoError(t, err)
	arriving, arrivingReader := f.dial(t)
	_, err = io.WriteString(arriving, testRequest[:20])
	require.NoError(t, err)
	fresh, freshReader := f.dial(t)
	require.Eventually(t, func() bool { return f.runs.Load() == 1 && f.countIn(stateBusy) == 2 && f.countIn(stateNew) == 1 },
		testLimit, time.Millisecond)
	done := f.drain(t)
	status, _ := exchange(t, arriving, arrivingReader, testRequest[20:])
	assert.Equal(t, 200, status)
	status, _ = exchange(t, fresh, freshReader, testRequest)
	assert.Equal(t, 200, status)
	close(f.hold)
	status, _ = read(t, runningReader)
	assert.Equal(t, 200, status)
	require.NoError(t, <-done)
	assert.EqualValues(t, 3, f.runs.Load())
}

func (f *fixture) countIn(s state) int {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	n := 0
	for c := range f.listener.conns {
		if state(c.state.Load()) == s {
			n++
		}
	}
	return n
}

// Guards against a caller whose request ends without an answer while the server stops
// under load: a request either ran and was answered, or got the closing response, or
// was never sent because no connection was established.
func TestStopUnderLoad(t *testing.T) {
	const callers = 32
	f := newFixture(t)
	var answered, closings, refused atomic.Int64
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for {
				c, err := net.Dial("tcp", f.listener.Addr().String())
				if err != nil {
					refused.Add(1)
					return
				}
				f.call(t, c, &answered, &closings)
				_ = c.Close()
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > 200 }, testLimit, time.Millisecond)
	require.NoError(t, <-f.drain(t))
	all.Wait()
	assert.Equal(t, f.runs.Load(), answered.Load(), "each run was answered")
	assert.EqualValues(t, callers, refused.Load())
	t.Logf("answered %d, closings %d", answered.Load(), closings.Load())
}

// call sends requests on one connection until it ends.
func (f *fixture) call(t *testing.T, c net.Conn, answered, closings *atomic.Int64) {
	r := bufio.NewReader(c)
	for {
		if _, err := io.WriteString(c, testRequest); !assert.NoError(t, err) {
			return
		}
		response, err := http.ReadResponse(r, nil)
		if !assert.NoError(t, err, "a request without an answer") {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode == http.StatusRequestTimeout {
			closings.Add(1)
			return
		}
		answered.Add(1)
		if response.Close {
			return
		}
	}
}

// hookedListener calls functions of a test while the listener accepts or closes.
type hookedListener struct {
	*net.TCPListener
	accepted func() // called after a connection was accepted
	closing  func() // called before the socket is closed
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil && l.accepted != nil {
		l.accepted()
	}
	return c, err
}

func (l *hookedListener) Close() error {
	if l.closing != nil {
		l.closing()
	}
	return l.TCPListener.Close()
}

func newHookedListener(t *testing.T) *hookedListener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &hookedListener{TCPListener: inner.(*net.TCPListener)}
}

// Guards against a connection that the kernel establishes after its accept queue was
// emptied: closing the listening socket would reset it and lose what its caller has
// sent.
func TestNoConnectionIsEstablishedJustBeforeClose(t *testing.T) {
	inner := newHookedListener(t)
	dialed := make(chan error, 1)
	inner.closing = func() {
		inner.closing = nil
		c, err := net.DialTimeout("tcp", inner.Addr().String(), 200*time.Millisecond)
		if err == nil {
			_ = c.Close()
		}
		dialed <- err
	}
	f := newFixtureOn(t, inner)
	require.NoError(t, <-f.drain(t))
	require.Error(t, <-dialed, "a connection was established that nobody will serve")
}

// Guards against a drain that ends, and with it the process, while a connection has
// been accepted by the listener and not yet passed to the server.
func TestDrainWaitsForAConnectionThatIsBeingAccepted(t *testing.T) {
	inner := newHookedListener(t)
	reached, proceed := make(chan struct{}), make(chan struct{})
	inner.accepted = func() {
		close(reached)
		<-proceed
	}
	f := newFixtureOn(t, inner)
	c, r := f.dial(t)
	<-reached
	done := f.drain(t)
	select {
	case err := <-done:
		t.Errorf("the drain has ended: %v", err)
		close(proceed)
		return
	case <-time.After(200 * time.Millisecond):
	}
	close(proceed)
	status, _ := exchange(t, c, r, testRequest)
	require.Equal(t, 200, status)
	require.NoError(t, <-done)
}
