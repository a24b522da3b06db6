package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/logevent"
)

const testBodyLimit = 64 << 10

// serve starts a server whose clients a Gate bounds. Its handler reads the body, and writes
// what ReadBody returned.
func serve(t *testing.T, l Limits, handler http.HandlerFunc) (*Gate, string) {
	g := NewGate(l, logevent.Logger{})
	config := net.ListenConfig{Control: Control(Callers)}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	if handler == nil {
		handler = func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(w, r, testBodyLimit, Callers)
			fmt.Fprintf(w, "%d %v", len(body), err)
		}
	}
	server := &http.Server{Handler: handler}
	g.Attach(server, func(*http.Request) Class { return Callers })
	go func() { _ = server.Serve(g.Listener(listener, Callers)) }()
	t.Cleanup(func() { _ = server.Close() })
	return g, listener.Addr().String()
}

// dial opens a connection and writes text to it.
func dial(t *testing.T, address, text string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// answer reads one answer with its body.
func answer(t *testing.T, c net.Conn) (*http.Response, string) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func requireNothingHeld(t *testing.T, g *Gate) {
	t.Helper()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		connections, held := g.ledger.Used(Callers)
		return connections == 0 && held == 0 && len(g.conns) == 0
	}, 20*time.Second, 10*time.Millisecond)
}

func request(length, body string) string {
	return "POST / HTTP/1.1\r\nHost: x\r\n" + length + "\r\n\r\n" + body
}

// Guards against bytes or connections that are not given back on some path, so that a
// process refuses everything after a while.
func TestEverythingIsGivenBack(t *testing.T) {
	g, address := serve(t, NewLimits(0, 0), nil)
	whole := strings.Repeat("x", 20_000)
	for name, text := range map[string]string{
		"silent":         "",
		"partial header": "POST / HT",
		"not HTTP":       "\x00\x01\r\n\r\n",
		"complete":       request("Content-Length: 20000", whole),
		"unfinished":     request("Content-Length: 20000", whole[1:]),
		"chunked":        request("Transfer-Encoding: chunked", "4\r\nabcd\r\n0\r\n\r\n"),
		"half a chunk":   request("Transfer-Encoding: chunked", "4\r\nab"),
		"bad chunk":      request("Transfer-Encoding: chunked", "zz\r\nab"),
		"too large":      request("Content-Length: 99999999", whole),
		"pipelined":      strings.Repeat(request("Content-Length: 4", "abcd"), 20),
		"header lines":   "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: b\r\n", 500) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address, text)
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
			requireNothingHeld(t, g)
		})
	}
	t.Run("panic", func(t *testing.T) {
		g, address := serve(t, NewLimits(0, 0), func(w http.ResponseWriter, r *http.Request) {
			_, _ = ReadBody(w, r, testBodyLimit, Callers)
			panic(http.ErrAbortHandler)
		})
		_, _ = io.Copy(io.Discard, dial(t, address, request("Content-Length: 20000", whole)))
		requireNothingHeld(t, g)
	})
}

// Guards against a refusal that a caller cannot tell from a job that may have run, and
// against a full process that stays full.
func TestRefusalWhenFull(t *testing.T) {
	limits := NewLimits(0, 0)
	limits.Bytes[Callers] = requestCost + 30_000
	started, finish := make(chan struct{}), make(chan struct{})
	g, address := serve(t, limits, func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(w, r, testBodyLimit, Callers)
		if r.URL.Path == "/" && err == nil {
			close(started)
			<-finish
		}
		fmt.Fprint(w, err)
	})
	first := dial(t, address, request("Content-Length: 20000", strings.Repeat("x", 20_000)))
	<-started
	refused, text := answer(t, dial(t, address, "GET /other HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.True(t, refused.Close)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Contains(t, text, `"overloaded"`)
	require.Contains(t, text, `"ran":"no"`)
	close(finish)
	served, _ := answer(t, first)
	require.Equal(t, http.StatusOK, served.StatusCode)
	require.False(t, served.Close, "a body that was read keeps the connection")
	again, _ := answer(t, dial(t, address, "GET /other HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.Equal(t, http.StatusOK, again.StatusCode)
	_ = g
}

// Guards against an unfinished body that keeps others out: it is closed, and the request
// that needs its bytes is served.
func TestUnfinishedBodyIsShed(t *testing.T) {
	limits := NewLimits(0, 0)
	limits.Bytes[Callers] = 2*requestCost + 40_000
	_, address := serve(t, limits, nil)
	stalled := dial(t, address, request("Content-Length: 30000", strings.Repeat("x", 29_999)))
	var text string
	require.Eventually(t, func() bool {
		response, body := answer(t, dial(t, address, request("Content-Length: 30000", strings.Repeat("x", 30_000))))
		text = body
		return response.StatusCode == http.StatusOK && strings.HasPrefix(body, "30000")
	}, 20*time.Second, 10*time.Millisecond, text)
	_, err := io.Copy(io.Discard, stalled)
	if err != nil {
		require.NotErrorIs(t, err, context.DeadlineExceeded)
	}
}

// Guards against a handler that does not read a body and leaves the server to read it.
func TestUnreadBodyEndsTheConnection(t *testing.T) {
	_, address := serve(t, NewLimits(0, 0), func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "no") })
	response, _ := answer(t, dial(t, address, request("Content-Length: 20000", "x")))
	require.True(t, response.Close)
}

// Guards against a body over the limit that is accepted because its last bytes arrive
// together with its end.
func TestBodyOverTheLimit(t *testing.T) {
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"end with the data": iotest.DataErrReader, "end alone": func(r io.Reader) io.Reader { return r }, "single bytes": iotest.OneByteReader,
	} {
		for size, want := range map[int]error{0: nil, 10: nil, 11: ErrTooLarge, 20_000: ErrTooLarge} {
			r := httptest.NewRequest("POST", "/", wrap(strings.NewReader(strings.Repeat("x", size))))
			r.ContentLength = -1
			body, err := ReadBody(httptest.NewRecorder(), r, 10, Callers)
			require.Equal(t, want, err, "%s, %d bytes", name, size)
			if err == nil {
				require.Len(t, body, size)
			}
		}
	}
}
