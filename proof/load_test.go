package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
)

const (
	// requestLimit exceeds the sum of the patience and the longest run time of the
	// queues, 10 s each. A request that has no answer by then counts as lost.
	requestLimit = 25 * time.Second
	patience     = "10" // seconds
	resendPause  = 50 * time.Millisecond
)

// request is one request of a caller. The caller of package standin cannot be used,
// because the body must contain the team for the ledger.
type request struct {
	key, team, queue string
	nonIdempotent    bool
	size             int
}

func (r request) body() []byte {
	body := fmt.Appendf(nil, "%s %s %s ", r.key, r.team, r.queue)
	for len(body) < r.size {
		body = append(body, byte('a'+len(body)%26))
	}
	return body
}

// outcome is how one request ended.
type outcome struct {
	request
	host        int // of the last attempt
	sent, ended time.Time
	attempts    int
	answered    bool // with the body of the request, byte for byte
	wrong       bool // answered with anything else
	ran         problem.Ran
	kind        problem.Kind
	err         error // the connection broke or no answer came in time
	hung        bool  // no answer came in time
}

// notRun reports whether the caller knows that the request did not run.
func (o outcome) notRun() bool { return o.ran == problem.RanNo }

// callers is the HTTP client of all callers, which keeps connections to the entry
// hosts open.
var callers = &http.Client{Timeout: requestLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// newCall returns the HTTP request of one attempt through a host.
func (s *system) newCall(ctx context.Context, i int, r request, body []byte) *http.Request {
	url := "http://" + s.hosts[i].address(callerPort) + "/v1/queues/" + r.queue + "/requests"
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	require.NoError(s.t, err)
	call.Header.Set("Primrosedale-Patience", patience)
	call.GetBody = nil // the client must not resend by itself
	if key := s.keys[r.team]; key != "" {
		call.Header.Set("Authorization", "Bearer "+key)
	}
	if r.nonIdempotent {
		call.Header.Set("Idempotency-Key", r.key)
	}
	return call
}

// transmit makes one HTTP exchange. written reports whether any part of the request
// may have been sent: the headers are short, so nothing is sent before the client has
// written all of them.
func (s *system) transmit(ctx context.Context, i int, r request, body []byte) (response *http.Response, written bool, err error) {
	var headers atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { headers.Store(true) }})
	response, err = callers.Do(s.newCall(ctx, i, r, body))
	return response, headers.Load(), err
}

// send makes one attempt to run the request through a host.
func (s *system) send(i int, r request) outcome {
	o := outcome{request: r, host: i, sent: time.Now(), attempts: 1, ran: problem.RanUnknown}
	body := r.body()
	response, written, err := s.transmit(context.Background(), i, r, body)
	if err == nil {
		defer response.Body.Close()
		var content []byte
		if content, err = io.ReadAll(response.Body); err == nil {
			o.read(response, content, body)
		}
	}
	o.ended = time.Now()
	o.failed(err, written)
	return o
}

func (o *outcome) read(response *http.Response, content, own []byte) {
	if response.Header.Get("Content-Type") != "application/problem+json" {
		o.answered = response.StatusCode == http.StatusOK && bytes.Equal(content, own)
		o.wrong = !o.answered
		return
	}
	var refusal struct {
		Kind problem.Kind `json:"kind"`
		Ran  problem.Ran  `json:"ran"`
	}
	if json.Unmarshal(content, &refusal) == nil {
		o.kind, o.ran = refusal.Kind, refusal.Ran
	}
}

// failed records an error. If nothing was written, because no connection could be
// opened or an idle one had been closed before its use, the request did not run.
func (o *outcome) failed(err error, written bool) {
	if err == nil {
		return
	}
	o.err = err
	var timeout net.Error
	switch {
	case !written:
		o.ran = problem.RanNo
	case errors.As(err, &timeout) && timeout.Timeout():
		o.hung = true
	}
}

// load is a bounded stream of requests.
type load struct {
	rate    int // requests a second
	count   int // at most
	hosts   []int
	resends int // to the next host, after each refusal as not run
	next    func(i int) request
}

// stream is a running load.
type stream struct {
	s      *system
	load   load
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	ended  []outcome
}

func (s *system) startLoad(l load) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	st := &stream{s: s, load: l, cancel: cancel}
	s.t.Cleanup(cancel)
	st.done.Go(func() { st.run(ctx) })
	return st
}

func (st *stream) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(st.load.rate))
	defer ticker.Stop()
	for i := range st.load.count {
		st.done.Go(func() { st.sendWithRetries(i) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendWithRetries sends the i-th request and records the outcome of its last attempt.
func (st *stream) sendWithRetries(i int) {
	r := st.load.next(i)
	var o outcome
	first := time.Now()
	for attempt := range st.load.resends + 1 {
		o = st.s.send(st.load.hosts[(i+attempt)%len(st.load.hosts)], r)
		o.attempts = attempt + 1
		if !o.notRun() || attempt == st.load.resends {
			break
		}
		time.Sleep(resendPause) // a caller waits before it sends again
	}
	o.sent = first
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = append(st.ended, o)
}

// stop stops sending, waits for the requests in flight and returns all outcomes.
func (st *stream) stop() []outcome {
	st.cancel()
	return st.wait()
}

// wait waits for all requests of the stream and returns their outcomes.
func (st *stream) wait() []outcome {
	st.done.Wait()
	return st.ended
}

// tally counts the outcomes of a load.
type tally struct {
	sent, answered, refused, unknown, wrong, runTwice, lost, falselyRefused int
	kinds                                                                   map[problem.Kind]int
}

func (s *system) tally(outcomes []outcome) tally {
	runs, _ := s.ledger.counts()
	c := tally{sent: len(outcomes), kinds: map[problem.Kind]int{}}
	for _, o := range outcomes {
		switch {
		case o.answered:
			c.answered++
		case o.wrong:
			c.wrong++
		case o.notRun():
			c.refused++
		default:
			c.unknown++
		}
		if o.kind != "" {
			c.kinds[o.kind]++
		}
		if o.nonIdempotent && runs[o.key] > 1 {
			c.runTwice++
		}
		if o.hung || (o.answered && runs[o.key] == 0) {
			c.lost++
		}
		if o.notRun() && !o.answered && runs[o.key] > 0 {
			c.falselyRefused++
		}
	}
	return c
}

// check fails the test if an answer was wrong, a non-idempotent request ran twice, a
// request was lost, or one that ran was refused as not run.
func (c tally) check(t testing.TB) {
	t.Helper()
	t.Logf("sent %d, answered %d, refused not run %d, outcome unknown %d, wrong answers %d, run twice %d, lost %d, run but refused as not run %d, refusals %v",
		c.sent, c.answered, c.refused, c.unknown, c.wrong, c.runTwice, c.lost, c.falselyRefused, c.kinds)
	require.Zero(t, c.wrong, "wrong answers")
	require.Zero(t, c.runTwice, "run twice")
	require.Zero(t, c.lost, "lost")
	require.Zero(t, c.falselyRefused, "run but refused as not run")
}

func newKey() string { return uuid.NewString() }
