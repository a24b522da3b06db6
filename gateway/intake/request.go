package intake

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/reply"
)

// Limits of the body of a request.
const (
	// bodyStall is how long a client may send nothing of its body. A caller that waits
	// 3 s for its answer has given up by then.
	bodyStall = 3 * time.Second
	// bodyTime and bodyRate bound the whole body: an ordinary one arrives within a caller's
	// timeout of 3 s.
	bodyTime = 10 * time.Second
	bodyRate = 64 << 10 // bytes a second
	// firstStep is the part of a body that is held at first. It has room for a job with a
	// text of 4,000 bytes.
	firstStep = 8 << 10
)

// requestCost is the memory that a request holds besides its body: what may arrive in the
// socket's buffer while it is processed, and its handler's stack.
const requestCost = receiveBuffer + 8<<10

// The errors of ReadBody.
var (
	ErrTooLarge   = errors.New("the body is too large")
	ErrOverloaded = errors.New("the process holds too many requests")
	// ErrStalled means that the body did not arrive in time. It says nothing about the
	// request: the connection or this process may have been held up.
	ErrStalled = errors.New("the body did not arrive in time")
)

// handler wraps a handler, so that each request holds its cost until it is answered. After
// a body that the handler does not read to its end the connection is closed.
func (g *Gate) handler(next http.Handler, classOf func(*http.Request) Class) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.startRequest()
		defer c.endRequest()
		class := classOf(r)
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			r.Body = &timedBody{ReadCloser: r.Body, conn: c, class: class, header: w.Header(), connection: http.NewResponseController(w)}
		}
		if !g.hold(r.Context(), c.id, class, requestCost) {
			g.count(class, reasonBytes)
			w.Header().Set("Connection", "close")
			reply.Problem(w, problem.New(problem.Overloaded, ""), "", rand.Uint64())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody is a body that must arrive at a minimum rate.
type timedBody struct {
	io.ReadCloser
	conn       *Conn
	class      Class
	header     http.Header // of the answer
	connection *http.ResponseController
	started    time.Time // of the first read
	received   int64
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	now := time.Now()
	if b.started.IsZero() {
		b.started = now
		b.conn.SetPhase(Receiving)
	}
	last := b.started.Add(bodyTime + time.Duration(b.received)*time.Second/bodyRate)
	if next := now.Add(bodyStall); next.Before(last) {
		last = next
	}
	_ = b.connection.SetReadDeadline(last) // fails only on a closed connection
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	switch {
	case err == io.EOF:
		b.header.Del("Connection")
		_ = b.connection.SetReadDeadline(time.Time{})
		b.conn.SetPhase(Serving)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.gate.count(b.class, reasonStalled)
	}
	return n, err
}

// Hold holds n more bytes of class c until the request ends. It reports false if there are
// not enough left.
func Hold(r *http.Request, c Class, n int64) bool {
	conn := connOf(r.Context())
	if conn == nil || n <= 0 || conn.gate.hold(r.Context(), conn.id, c, n) {
		return true
	}
	conn.gate.count(c, reasonBytes)
	return false
}

// ReadBody reads the body of a request in steps, and holds bytes of class c for each before
// it reads. After an error the connection is closed with the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, c Class) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readSteps(r, limit, c)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return body, err
}

// readSteps reads the body into a buffer that grows with what has arrived.
func readSteps(r *http.Request, limit int64, c Class) ([]byte, error) {
	most := limit + 1
	if r.ContentLength > 0 {
		most = r.ContentLength
	}
	var body []byte
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			size := min(most, max(firstStep, 2*int64(cap(body))))
			if !Hold(r, c, size-int64(cap(body))) {
				return nil, ErrOverloaded
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, ErrTooLarge
		}
		if err == io.EOF {
			return body, nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, ErrStalled
		}
		if err != nil {
			return nil, err
		}
	}
	// Reading up to EOF lets the HTTP server detect a disconnect of the caller while the
	// request is processed.
	n, err := r.Body.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, ErrStalled
	}
	if n > 0 || err != io.EOF {
		return nil, errors.Join(errors.New("the body has no end"), err)
	}
	return body, nil
}
