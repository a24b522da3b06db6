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
	bye       = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbye"
	post      = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na"
	testLimit = 5 * time.Second
)

// bench is a server that counts the requests it runs.
type bench struct {
	listener *Listener
	server   *http.Server
	runs     atomic.Int64
	stopping atomic.Bool
	hold     chan struct{} // closed to let handlers of /hold go on
}

func newBench(t *testing.T) *bench {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return newBenchOn(t, inner)
}

func newBenchOn(t *testing.T, inner net.Listener) *bench {
	b := &bench{hold: make(chan struct{})}
	b.listener = NewListener(inner, func() []byte { return []byte(bye) })
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	b.listener.Attach(b.server)
	go func() { _ = b.server.Serve(b.listener) }() // ends with Close
	t.Cleanup(func() { b.server.Close() })
	return b
}

func (b *bench) serve(w http.ResponseWriter, r *http.Request) {
	b.runs.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/hold" {
		<-b.hold
	}
	if b.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "ran")
}

func (b *bench) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", b.listener.Addr().String())
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

func (b *bench) drain(t *testing.T) chan error {
	b.stopping.Store(true)
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	go func() { done <- b.listener.Drain(ctx) }()
	return done
}

// Guards against a request that is sent on an idle connection while the server
// ends it: its caller must learn that it was not run, and it must not run.
func TestRequestThatCrossesTheClose(t *testing.T) {
	for name, request := range map[string]string{"whole": post, "in part": post[:20], "pipelined": post + post} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			c, r := b.dial(t)
			status, body := exchange(t, c, r, post)
			require.Equal(t, 200, status)
			require.Equal(t, "ran", body)
			done := b.drain(t)
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
			assert.EqualValues(t, 1, b.runs.Load())
		})
	}
}

// Guards against a drain that cuts off a request which has begun to arrive, is
// running, or comes on a connection that was opened just before.
func TestRequestsInFlightAreAnswered(t *testing.T) {
	b := newBench(t)
	running, runningReader := b.dial(t)
	_, err := io.WriteString(running, strings.Replace(post, "/", "/hold", 1))
	require.NoError(t, err)
	arriving, arrivingReader := b.dial(t)
	_, err = io.WriteString(arriving, post[:20])
	require.NoError(t, err)
	fresh, freshReader := b.dial(t)
	require.Eventually(t, func() bool { return b.runs.Load() == 1 && b.countIn(stateBusy) == 2 && b.countIn(stateNew) == 1 },
		testLimit, time.Millisecond)
	done := b.drain(t)
	status, _ := exchange(t, arriving, arrivingReader, post[20:])
	assert.Equal(t, 200, status)
	status, _ = exchange(t, fresh, freshReader, post)
	assert.Equal(t, 200, status)
	close(b.hold)
	status, _ = read(t, runningReader)
	assert.Equal(t, 200, status)
	require.NoError(t, <-done)
	assert.EqualValues(t, 3, b.runs.Load())
}

func (b *bench) countIn(s state) int {
	b.listener.mu.Lock()
	defer b.listener.mu.Unlock()
	n := 0
	for c := range b.listener.conns {
		if state(c.state.Load()) == s {
			n++
		}
	}
	return n
}

// Guards against a caller whose request ends without an answer while the server
// stops under load: a request either ran and was answered, or got the closing response,
// or was never sent because no connection was made.
func TestStopUnderLoad(t *testing.T) {
	const callers = 32
	b := newBench(t)
	var answered, closings, refused atomic.Int64
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for {
				c, err := net.Dial("tcp", b.listener.Addr().String())
				if err != nil {
					refused.Add(1)
					return
				}
				b.call(t, c, &answered, &closings)
				_ = c.Close()
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > 200 }, testLimit, time.Millisecond)
	require.NoError(t, <-b.drain(t))
	all.Wait()
	assert.Equal(t, b.runs.Load(), answered.Load(), "each run was answered")
	assert.EqualValues(t, callers, refused.Load())
	t.Logf("answered %d, closings %d", answered.Load(), closings.Load())
}

// call sends requests on one connection until it ends.
func (b *bench) call(t *testing.T, c net.Conn, answered, closings *atomic.Int64) {
	r := bufio.NewReader(c)
	for {
		if _, err := io.WriteString(c, post); !assert.NoError(t, err) {
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

// hookedListener lets a test act while the listener accepts or closes.
type hookedListener struct {
	*net.TCPListener
	accepted func() // after the kernel has given a connection
	closing  func() // before the socket is closed
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

func hooked(t *testing.T) *hookedListener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &hookedListener{TCPListener: inner.(*net.TCPListener)}
}

// Guards against a connection that the kernel makes after the last look at its queue:
// the end of the listening socket would reset it, with what its caller has sent.
func TestNoConnectionIsMadeJustBeforeTheClose(t *testing.T) {
	inner := hooked(t)
	made := make(chan error, 1)
	inner.closing = func() {
		inner.closing = nil
		c, err := net.DialTimeout("tcp", inner.Addr().String(), 200*time.Millisecond)
		if err == nil {
			_ = c.Close()
		}
		made <- err
	}
	b := newBenchOn(t, inner)
	require.NoError(t, <-b.drain(t))
	require.Error(t, <-made, "a connection was made that nobody will serve")
}

// Guards against a drain that ends, and with it the process, while a connection is on
// its way from the kernel to the server.
func TestDrainWaitsForAConnectionThatIsBeingAccepted(t *testing.T) {
	inner := hooked(t)
	reached, goOn := make(chan struct{}), make(chan struct{})
	inner.accepted = func() {
		close(reached)
		<-goOn
	}
	b := newBenchOn(t, inner)
	c, r := b.dial(t)
	<-reached
	done := b.drain(t)
	select {
	case err := <-done:
		t.Errorf("the drain has ended: %v", err)
		close(goOn)
		return
	case <-time.After(200 * time.Millisecond):
	}
	close(goOn)
	status, _ := exchange(t, c, r, post)
	require.Equal(t, 200, status)
	require.NoError(t, <-done)
}
