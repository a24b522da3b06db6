package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
)

const (
	pressKey  = "key-of-press"
	waitLimit = 10 * time.Second
)

// fakeControl queues events and passes them to react on one goroutine, as the control
// goroutine does.
type fakeControl struct {
	view   atomic.Pointer[view.View]
	events chan event.Event
	start  time.Time

	mu   sync.Mutex
	seen []event.Event
}

func newFakeControl(queue int) *fakeControl {
	c := &fakeControl{events: make(chan event.Event, queue), start: time.Now()}
	c.view.Store(servingView())
	return c
}

func servingView() *view.View {
	return &view.View{
		Rules: &rules.Rules{
			Revision: 1,
			Queues: map[model.QueueID]rules.Queue{
				"proofs": {Service: "render", MaxRun: model.Minute},
				"public": {Service: "render", MaxRun: model.Minute, Open: true, Team: "press"},
			},
		},
		Teams:      map[model.Digest]model.TeamID{reply.Digest([]byte(pressKey)): "press"},
		LeaseUntil: model.Time(model.Hour),
	}
}

func (c *fakeControl) changeView(edit func(*view.View)) {
	changed := *c.view.Load()
	edit(&changed)
	c.view.Store(&changed)
}

func (c *fakeControl) View() *view.View { return c.view.Load() }
func (c *fakeControl) Now() model.Time  { return model.Time(time.Since(c.start)) + 1 }
func (c *fakeControl) Rand() uint64     { return 7 }

func (c *fakeControl) Post(e event.Event) bool {
	select {
	case c.events <- e:
		return true
	default:
		return false
	}
}

func (c *fakeControl) PostWait(ctx context.Context, e event.Event) bool {
	select {
	case c.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// run passes each event to react until stop is closed.
func (c *fakeControl) run(stop <-chan struct{}, react func(event.Event)) {
	for {
		select {
		case e := <-c.events:
			c.mu.Lock()
			c.seen = append(c.seen, e)
			c.mu.Unlock()
			react(e)
		case <-stop:
			return
		}
	}
}

// endedAttempts returns the ForwardEnded events seen.
func (c *fakeControl) endedAttempts() []event.ForwardEnded {
	return eventsOf[event.ForwardEnded](c)
}

// awaitAttemptEnd waits until exactly n+1 attempts have ended and returns the end of
// the last one.
func (f *fixture) awaitAttemptEnd(t *testing.T, n int) event.ForwardEnded {
	t.Helper()
	require.Eventually(t, func() bool { return len(f.control.endedAttempts()) == n+1 }, waitLimit, time.Millisecond)
	return f.control.endedAttempts()[n]
}

func eventsOf[E event.Event](c *fakeControl) []E {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []E
	for _, e := range c.seen {
		if match, ok := e.(E); ok {
			found = append(found, match)
		}
	}
	return found
}

// fixture is a gateway with a fake control goroutine and a listener.
type fixture struct {
	control *fakeControl
	server  *Server
	http    *httptest.Server
}

func newFixture(t testing.TB, cfg Config, react func(*Server, event.Event)) *fixture {
	t.Helper()
	c := newFakeControl(64)
	cfg.Host, cfg.Incarnation = "gw1", "life1"
	f := &fixture{control: c, server: New(cfg, c, logevent.Logger{})}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		c.run(stop, func(e event.Event) { react(f.server, e) })
	}()
	f.http = httptest.NewServer(f.server.Handler())
	t.Cleanup(func() {
		f.http.Close()
		f.server.Close()
		close(stop)
		<-stopped
	})
	return f
}

// newForwardingFixture returns a fixture whose owner forwards each request to address.
func newForwardingFixture(t testing.TB, address string) *fixture {
	t.Helper()
	var f *fixture
	f = newFixture(t, Config{}, func(s *Server, e event.Event) { forwardTo(f.control.Now, address)(s, e) })
	return f
}

// forwardTo acts as an owner that forwards each request to address at once and answers
// it with the outcome of the attempt.
func forwardTo(now func() model.Time, address string) func(*Server, event.Event) {
	return func(s *Server, e event.Event) {
		switch e := e.(type) {
		case event.RequestArrived:
			s.Forward(effect.Forward{
				Request: e.Request.ID, Attempt: 1, Target: "t1", Inc: "i1", Address: address, Ticket: 5,
				StartBy: now().Add(model.Second), Deadline: now().Add(20 * model.Second), Claimed: !e.Request.Idempotent,
			})
		case event.ForwardEnded:
			s.AnswerRequest(answerFor(e))
		}
	}
}

func (f *fixture) post(t testing.TB, queue, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	return f.do(t, http.MethodPost, "/v1/queues/"+queue+"/requests", body, header)
}

func (f *fixture) do(t testing.TB, method, path, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	return f.send(t, method, path, strings.NewReader(body), header)
}

// send makes a request and returns the answer with its body.
func (f *fixture) send(t testing.TB, method, path string, body io.Reader, header http.Header) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, f.http.URL+path, body)
	require.NoError(t, err)
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(content)
}

func withKey(key string, pairs ...string) http.Header {
	header := http.Header{}
	if key != "" {
		header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(pairs); i += 2 {
		header.Add(pairs[i], pairs[i+1])
	}
	return header
}

func answerFor(e event.ForwardEnded) effect.AnswerRequest {
	answer := effect.AnswerRequest{Request: e.Request, Attempt: e.Attempt}
	switch e.Outcome {
	case message.OutcomeNotStarted:
		answer.Problem = problemOf("no_target")
	case message.OutcomeUnknown:
		answer.Problem = problemOf("outcome_unknown")
	}
	return answer
}
