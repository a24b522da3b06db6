package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
)

// rawTarget accepts connections and passes each to serve.
func rawTarget(t *testing.T, serve func(conn *net.TCPConn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// emptyAnswer is a complete answer without a body.
const emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// readRequest reads one complete request and returns its body.
func readRequest(reader *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(request.Body)
	return request, string(body)
}

func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// answerWith serves one request with raw bytes and closes the connection.
func answerWith(raw string) func(*net.TCPConn, *bufio.Reader) {
	return func(conn *net.TCPConn, reader *bufio.Reader) {
		if request, _ := readRequest(reader); request != nil {
			io.WriteString(conn, raw)
		}
	}
}

func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// attempt sends one request through a gateway and returns the end of its only attempt
// and the caller's answer.
func attempt(t *testing.T, address, body string, remaining model.Duration) (event.ForwardEnded, *http.Response, string) {
	t.Helper()
	var f *fixture
	f = newFixture(t, Config{MaxAnswer: 100}, func(s *Server, e event.Event) {
		if arrived, ok := e.(event.RequestArrived); ok {
			now := f.control.Now()
			s.Forward(effect.Forward{
				Request: arrived.Request.ID, Attempt: 1, Inc: "i1", Address: address,
				StartBy: now.Add(model.Second), Deadline: now.Add(remaining), Claimed: true,
			})
			return
		}
		forwardTo(f.control.Now, address)(s, e)
	})
	response, content := f.post(t, "public", body, http.Header{})
	ends := f.control.endedAttempts()
	require.Len(t, ends, 1, "an attempt has one end")
	return ends[0], response, content
}

// Guards against reporting a request as not run although it may have run, and against
// accepting a truncated answer as complete: each way in which an exchange with a
// target can fail has exactly one correct outcome.
func TestAttemptOutcomes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	large := strings.Repeat("x", 101)
	cases := []struct {
		name    string
		serve   func(*net.TCPConn, *bufio.Reader)
		outcome message.Outcome
		kind    problem.Kind // of the caller's refusal, or empty
	}{
		{"reset at the first byte", func(c *net.TCPConn, r *bufio.Reader) { r.Peek(1); reset(c) }, message.OutcomeUnknown, problem.OutcomeUnknown},
		{"reset during the body", func(c *net.TCPConn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.CopyN(io.Discard, r, 1000)
			reset(c)
		}, message.OutcomeUnknown, problem.OutcomeUnknown},
		{"reset after the body", func(c *net.TCPConn, r *bufio.Reader) { readRequest(r); reset(c) }, message.OutcomeUnknown, problem.OutcomeUnknown},
		{"closed without an answer", answerWith(""), message.OutcomeUnknown, problem.OutcomeUnknown},
		{"malformed answer", answerWith("hello\r\n\r\n"), message.OutcomeUnknown, problem.OutcomeUnknown},
		{"cut off by length", answerWith(ok + "Content-Length: 10\r\n\r\n12345"), message.OutcomeUnknown, problem.OutcomeUnknown},
		{"cut off by chunks", answerWith(ok + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n"), message.OutcomeUnknown, problem.OutcomeUnknown},
		{"end by close", answerWith(ok + "Connection: close\r\n\r\n12345"), message.OutcomeUnknown, problem.OutcomeUnknown},
		{"complete by length", answerWith(ok + "Content-Length: 5\r\n\r\n12345"), message.OutcomeAnswered, ""},
		{"complete by chunks", answerWith(ok + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n"), message.OutcomeAnswered, ""},
		{"target's error", answerWith("HTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\n12345"), message.OutcomeAnswered, ""},
		{"over the limit", answerWith(ok + "Content-Length: 101\r\n\r\n" + large), message.OutcomeAnswered, problem.AnswerTooLarge},
		{"over the limit and cut off", answerWith(ok + "Content-Length: 110\r\n\r\n" + large), message.OutcomeUnknown, problem.OutcomeUnknown},
		{"not run", answerWith("HTTP/1.1 503 No\r\nPrimrosedale-Ran: no\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"), message.OutcomeNotStarted, problem.NoTarget},
		{"not run with 200", answerWith(ok + "Primrosedale-Ran: no\r\nContent-Length: 0\r\n\r\n"), message.OutcomeNotStarted, problem.NoTarget},
		{"503 without Primrosedale-Ran", answerWith("HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\n12345"), message.OutcomeAnswered, ""},
	}
	for _, body := range []string{"", strings.Repeat("b", 300_000)} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s/%d", c.name, len(body)), func(t *testing.T) {
				if c.name == "reset during the body" && body == "" {
					return // there is no body to cut off
				}
				end, response, content := attempt(t, rawTarget(t, c.serve), body, 20*model.Second)
				assert.Equal(t, c.outcome, end.Outcome)
				assert.False(t, end.TimedOut)
				assert.Equal(t, strings.HasPrefix(c.name, "over the limit"), end.TooLarge)
				assert.Equal(t, "1", response.Header.Get(attemptsHeader))
				if c.kind != "" {
					requireRefusal(t, response, content, c.kind)
					assert.Nil(t, end.Answer)
					return
				}
				assert.Equal(t, "12345", content)
				assert.Equal(t, end.Status, response.StatusCode)
				assert.Equal(t, "12345", string(end.Answer.Body))
				assert.Positive(t, end.RunTime)
			})
		}
	}
	t.Run("reset at once", func(t *testing.T) {
		// The reset races with the first write: the outcome is not started only if the
		// write failed without sending a byte. A complete answer is impossible.
		end, _, _ := attempt(t, rawTarget(t, func(c *net.TCPConn, _ *bufio.Reader) { reset(c) }), "x", 20*model.Second)
		assert.Contains(t, []message.Outcome{message.OutcomeUnknown, message.OutcomeNotStarted}, end.Outcome)
	})
	t.Run("connection refused", func(t *testing.T) {
		end, response, content := attempt(t, closedAddress(t), "x", 20*model.Second)
		assert.Equal(t, message.OutcomeNotStarted, end.Outcome)
		requireRefusal(t, response, content, problem.NoTarget)
	})
}

// Guards against passing on an answer that arrives after the deadline as if the run
// had been in time.
func TestAttemptDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := rawTarget(t, func(c *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		<-release
		io.WriteString(c, emptyAnswer)
	})
	end, response, content := attempt(t, address, "x", 100*model.Millisecond)
	assert.Equal(t, message.OutcomeUnknown, end.Outcome)
	assert.True(t, end.TimedOut)
	requireRefusal(t, response, content, problem.OutcomeUnknown)
}

// Guards against a second run caused by the retries of net/http: a target that closes
// a keep-alive connection when the next request arrives must receive that request
// once.
func TestTransportNeverResends(t *testing.T) {
	for _, body := range []string{"", "order"} {
		t.Run("body="+body, func(t *testing.T) {
			var received atomic.Int32
			address := rawTarget(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				for first := true; ; first = false {
					request, _ := readRequest(reader)
					if request == nil {
						return
					}
					received.Add(1)
					if !first {
						return // close without an answer
					}
					io.WriteString(conn, emptyAnswer)
				}
			})
			f := newForwardingFixture(t, address)
			response, _ := f.post(t, "public", body, withKey("", "Idempotency-Key", "k1"))
			require.Equal(t, 200, response.StatusCode)
			response, content := f.post(t, "public", body, withKey("", "Idempotency-Key", "k2"))
			requireRefusal(t, response, content, problem.OutcomeUnknown)
			assert.Equal(t, int32(2), received.Load())
			assert.Equal(t, message.OutcomeUnknown, f.control.endedAttempts()[1].Outcome)
		})
	}
}

// Guards against an unknown outcome after a target closed a keep-alive connection
// between requests: the next request is not written to it, so it either runs on a new
// connection or is known not to have run.
func TestConnectionClosedBetweenRequests(t *testing.T) {
	closed := make(chan struct{}, 1)
	address := rawTarget(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		answerWith(emptyAnswer)(conn, reader)
		conn.Close()
		closed <- struct{}{}
	})
	f := newForwardingFixture(t, address)
	for range 20 {
		response, content := f.post(t, "public", "x", http.Header{})
		if response.StatusCode != 200 {
			requireRefusal(t, response, content, problem.NoTarget)
			continue
		}
		<-closed
	}
}

// Guards against starting work after the lease has ended: the last check is made after
// the connection was obtained, whether it is new or reused, and with or without a
// body.
func TestNoByteAfterLeaseEnds(t *testing.T) {
	for _, body := range []string{"", "order"} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("body=%s/kept=%t", body, reused), func(t *testing.T) { requireNoBytesSent(t, body, reused) })
		}
	}
}

func requireNoBytesSent(t *testing.T, body string, reused bool) {
	endLease := func(v *view.View) { v.LeaseUntil = 0 }
	var bytesRead atomic.Int64
	address := rawTarget(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		for {
			request, got := readRequest(reader)
			if request == nil {
				bytesRead.Add(int64(reader.Buffered()))
				return
			}
			bytesRead.Add(int64(len(got)) + 1)
			io.WriteString(conn, emptyAnswer)
		}
	})
	f := newForwardingFixture(t, address)
	if reused {
		response, _ := f.post(t, "public", body, http.Header{})
		require.Equal(t, 200, response.StatusCode)
	}
	before := bytesRead.Load()
	// The lease ends after the request was forwarded: during the dial for a new
	// connection, otherwise just before the attempt runs.
	dial := f.server.transport.DialContext
	f.server.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		f.control.changeView(endLease)
		return conn, err
	}
	h := &heldRequest{queue: "public", body: []byte(body)}
	forward := effect.Forward{Request: "r", Attempt: 1, Address: address, StartBy: f.control.Now().Add(model.Second), Deadline: f.control.Now().Add(model.Minute)}
	if reused {
		f.control.changeView(endLease)
	}
	ended := len(f.control.endedAttempts())
	f.server.runAttempt(h, forward)
	assert.Equal(t, message.OutcomeNotStarted, f.awaitAttemptEnd(t, ended).Outcome)
	assert.Equal(t, before, bytesRead.Load(), "bytes reached the target")
}

// Guards against starting work after its start-by time because the connect was slow.
func TestNoByteAfterStartBy(t *testing.T) {
	f := newFixture(t, Config{}, answerAll)
	address := rawTarget(t, answerWith(emptyAnswer))
	f.server.runAttempt(&heldRequest{queue: "public"}, effect.Forward{
		Request: "r", Attempt: 1, Address: address, StartBy: f.control.Now() - 1, Deadline: f.control.Now().Add(model.Minute),
	})
	assert.Equal(t, message.OutcomeNotStarted, f.awaitAttemptEnd(t, 0).Outcome)
}

// Guards against a first write that races with the end of its attempt: either
// the write begins or the attempt is reported as not started, never both.
func TestGuardSealExcludesWrite(t *testing.T) {
	for range 2000 {
		g := &startGuard{mayStart: func() bool { return true }, now: func() model.Time { return 1 }}
		begun := make(chan bool)
		go func() {
			begun <- g.start() == nil
		}()
		sealed := g.seal()
		require.NotEqual(t, sealed, <-begun)
	}
}

// Guards against an attempt whose end is not reported, an attempt that is cut off by
// its caller's disconnect, and goroutines that outlive their request.
func TestCallerDisconnectKeepsAttempt(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("disconnect", func(t *testing.T) {
		started, release := make(chan struct{}), make(chan struct{})
		address := rawTarget(t, func(conn *net.TCPConn, reader *bufio.Reader) {
			readRequest(reader)
			close(started)
			<-release
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
		f := newForwardingFixture(t, address)
		ctx, disconnect := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.http.URL+"/v1/queues/public/requests", strings.NewReader("x"))
		require.NoError(t, err)
		failed := make(chan error)
		go func() {
			_, err := http.DefaultClient.Do(request)
			failed <- err
		}()
		<-started
		disconnect()
		require.Error(t, <-failed)
		require.Eventually(t, func() bool { return len(eventsOf[event.RequestAbandoned](f.control)) == 1 }, waitLimit, time.Millisecond)
		assert.Empty(t, f.control.endedAttempts(), "the attempt ended with its caller")
		close(release)
		end := f.awaitAttemptEnd(t, 0)
		assert.Equal(t, message.OutcomeAnswered, end.Outcome)
		assert.Zero(t, f.server.HeldRequests())

		// A dispatch that arrives after the disconnect ends as not started.
		f.server.Forward(effect.Forward{Request: end.Request, Attempt: 2})
		assert.Equal(t, message.OutcomeNotStarted, f.awaitAttemptEnd(t, 1).Outcome)
	})
	http.DefaultClient.CloseIdleConnections()
	// Eventually runs its condition on a goroutine of its own.
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+1 }, waitLimit, 10*time.Millisecond)
}

// Guards against omitting headers that targets need, and against passing the
// idempotency key to net/http, which would then retry the request.
func TestRequestToTarget(t *testing.T) {
	seen := make(chan *http.Request, 1)
	address := rawTarget(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		request, _ := readRequest(reader)
		seen <- request
		io.WriteString(conn, emptyAnswer)
	})
	f := newForwardingFixture(t, address)
	const trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	f.post(t, "proofs", "x", withKey(pressKey, "Idempotency-Key", "k", "Traceparent", trace, "Content-Type", "text/x"))
	request := <-seen
	assert.Equal(t, "/run/proofs", request.URL.Path)
	assert.Regexp(t, `^(19|20)\.\d{3}$`, request.Header.Get(DeadlineHeader))
	for name, value := range map[string]string{
		TeamHeader: "press", AttemptHeader: "1", IncarnationHeader: "i1", TicketHeader: "5", "Content-Type": "text/x",
		"Traceparent": trace, "Primrosedale-Request-Id": "gw1-life1-1", "Idempotency-Key": "", "Authorization": "",
	} {
		assert.Equal(t, value, request.Header.Get(name), name)
	}
}

// Guards against a negative or unbounded delay that a target requests.
func TestParseRetryAfter(t *testing.T) {
	now := model.Time(1_000_000 * int64(model.Second))
	date := func(left time.Duration) string {
		return time.Unix(1_000_000, 0).Add(left).UTC().Format(http.TimeFormat)
	}
	for value, want := range map[string]model.Duration{
		"": 0, "0": 0, "-3": 0, "x": 0, "2": 2 * model.Second, "3600": model.Minute, "99999999999": 0,
		date(5 * time.Second): 5 * model.Second, date(-time.Second): 0, date(time.Hour): model.Minute,
	} {
		assert.Equal(t, want, parseRetryAfter(http.Header{"Retry-After": {value}}, now), value)
	}
}
