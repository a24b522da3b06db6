package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/gateway/reply"
)

func problemOf(kind problem.Kind) *problem.Problem { return problem.New(kind, "") }

// answerAll acts as an owner that has a stored answer for each request.
func answerAll(s *Server, e event.Event) {
	if arrived, ok := e.(event.RequestArrived); ok {
		s.AnswerRequest(effect.AnswerRequest{
			Request: arrived.Request.ID,
			Answer:  &model.Answer{Status: 200, ContentType: "text/plain", Body: []byte("stored")},
		})
	}
}

// refusal is the part of a problem body that callers depend on.
type refusal struct {
	Status    int          `json:"status"`
	Kind      problem.Kind `json:"kind"`
	Ran       problem.Ran  `json:"ran"`
	RequestID string       `json:"request_id"`
}

func requireRefusal(t *testing.T, response *http.Response, body string, kind problem.Kind) {
	t.Helper()
	var got refusal
	require.NoError(t, json.Unmarshal([]byte(body), &got), body)
	row := problem.Lookup(kind)
	require.Equal(t, kind, got.Kind)
	assert.Equal(t, row.Ran, got.Ran)
	assert.Equal(t, row.Status, response.StatusCode)
	assert.Equal(t, "application/problem+json", response.Header.Get("Content-Type"))
	assert.Equal(t, response.Header.Get(reply.RequestIDHeader), got.RequestID)
	if row.Retryable {
		assert.Regexp(t, `^[1-9][0-9]*$`, response.Header.Get("Retry-After"))
	} else {
		assert.Empty(t, response.Header.Get("Retry-After"))
	}
}

// Guards against running a request for a team without its valid key, and against
// treating an invalid header as if it were absent.
func TestAdmissionRefusesInvalidRequests(t *testing.T) {
	f := newFixture(t, Config{MaxBody: 10}, answerAll)
	cases := []struct {
		name, queue, body string
		header            http.Header
		kind              problem.Kind
	}{
		{"unknown queue", "none", "", withKey(pressKey), problem.UnknownQueue},
		{"no key", "proofs", "", withKey(""), problem.KeyMissing},
		{"wrong key", "proofs", "", withKey("wrong"), problem.KeyRejected},
		{"wrong key on open queue", "public", "", withKey("wrong"), problem.KeyRejected},
		{"other scheme on open queue", "public", "", withKey("", "Authorization", "Basic eA=="), problem.KeyRejected},
		{"empty bearer on open queue", "public", "", withKey("", "Authorization", "Bearer "), problem.KeyRejected},
		{"two keys", "proofs", "", withKey(pressKey, "Authorization", "Bearer "+pressKey), problem.KeyRejected},
		{"empty idempotency key", "proofs", "", withKey(pressKey, "Idempotency-Key", ""), problem.BadRequest},
		{"long idempotency key", "proofs", "", withKey(pressKey, "Idempotency-Key", strings.Repeat("k", 256)), problem.BadRequest},
		{"unprintable idempotency key", "proofs", "", withKey(pressKey, "Idempotency-Key", "\xc3\xa9"), problem.BadRequest},
		{"two idempotency keys", "proofs", "", withKey(pressKey, "Idempotency-Key", "a", "Idempotency-Key", "b"), problem.BadRequest},
		{"idempotent", "proofs", "", withKey(pressKey, "Primrosedale-Idempotent", "yes"), problem.BadRequest},
		{"empty idempotent", "proofs", "", withKey(pressKey, "Primrosedale-Idempotent", ""), problem.BadRequest},
		{"worth negative", "proofs", "", withKey(pressKey, "Primrosedale-Worth", "-1"), problem.BadRequest},
		{"worth large", "proofs", "", withKey(pressKey, "Primrosedale-Worth", "1000.5"), problem.BadRequest},
		{"worth NaN", "proofs", "", withKey(pressKey, "Primrosedale-Worth", "NaN"), problem.BadRequest},
		{"patience zero", "proofs", "", withKey(pressKey, "Primrosedale-Patience", "0"), problem.BadRequest},
		{"patience large", "proofs", "", withKey(pressKey, "Primrosedale-Patience", "43201"), problem.BadRequest},
		{"patience text", "proofs", "", withKey(pressKey, "Primrosedale-Patience", "30s"), problem.BadRequest},
		{"patience twice", "proofs", "", withKey(pressKey, "Primrosedale-Patience", "1", "Primrosedale-Patience", "2"), problem.BadRequest},
		{"body over limit", "proofs", "12345678901", withKey(pressKey), problem.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, body := f.post(t, c.queue, c.body, c.header)
			requireRefusal(t, response, body, c.kind)
		})
	}
	assert.Empty(t, eventsOf[event.RequestArrived](f.control), "a refused request reached the owner")
}

// Guards against a missing default, and against running a request with an idempotency
// key twice because its caller did not also declare it as not idempotent.
func TestAdmittedRequestFields(t *testing.T) {
	f := newFixture(t, Config{}, answerAll)
	headers := []http.Header{
		withKey(pressKey),
		withKey(pressKey, "Idempotency-Key", "order-1"),
		withKey(pressKey, "Idempotency-Key", "order-1", "Primrosedale-Idempotent", "true"),
		withKey(pressKey, "Primrosedale-Idempotent", "false", "Primrosedale-Worth", "2.5", "Primrosedale-Patience", "0.5"),
	}
	for _, header := range headers {
		response, body := f.post(t, "proofs", "sheet", header)
		require.Equal(t, 200, response.StatusCode, body)
		require.Equal(t, "stored", body)
		require.Equal(t, "0", response.Header.Get(attemptsHeader))
	}
	response, _ := f.post(t, "public", "", withKey(""))
	require.Equal(t, 200, response.StatusCode)

	seen := eventsOf[event.RequestArrived](f.control)
	require.Len(t, seen, 5)
	bodyDigest := reply.Digest([]byte("proofs"), []byte("sheet"))
	bearer := reply.Digest([]byte(pressKey)) // without it a withdrawn key would stay valid for waiting requests
	assert.Equal(t, event.Request{ID: "gw1-life1-1", Team: "press", Bearer: bearer, Queue: "proofs", Idempotent: true, Worth: 1, Patience: 30 * model.Second}, seen[0].Request)
	assert.Equal(t, event.Request{
		ID: "gw1-life1-2", Team: "press", Bearer: bearer, Queue: "proofs", Worth: 1, Patience: 30 * model.Second,
		Key: reply.Digest([]byte("order-1")), Body: bodyDigest,
	}, seen[1].Request)
	assert.True(t, seen[2].Request.Idempotent)
	assert.Equal(t, event.Request{
		ID: "gw1-life1-4", Team: "press", Bearer: bearer, Queue: "proofs", Worth: 2.5, Patience: 500 * model.Millisecond,
		Key: reply.Digest([]byte("gw1-life1-4")), Body: bodyDigest,
	}, seen[3].Request)
	assert.Equal(t, model.TeamID("press"), seen[4].Request.Team)
}

// Guards against accepting work on a host that is stopping or has no lease or no
// rules, and against a withdrawn key that is still accepted.
func TestAdmissionFollowsView(t *testing.T) {
	cases := []struct {
		name string
		edit func(*view.View)
		kind problem.Kind
	}{
		{"lease ended", func(v *view.View) { v.LeaseUntil = 0 }, problem.NoLease},
		{"stopping", func(v *view.View) { v.Stopping = true }, problem.Stopping},
		{"key withdrawn", func(v *view.View) { v.Teams = nil }, problem.KeyRejected},
		{"no rules", func(v *view.View) { v.Rules = nil }, problem.UnknownQueue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{}, answerAll)
			f.control.changeView(c.edit)
			response, body := f.post(t, "proofs", "", withKey(pressKey))
			requireRefusal(t, response, body, c.kind)
			assert.Empty(t, eventsOf[event.RequestArrived](f.control))
		})
	}
}

// Guards against accepting a request whose key is withdrawn while its caller slowly
// sends the body.
func TestKeyWithdrawnDuringBody(t *testing.T) {
	f := newFixture(t, Config{}, answerAll)
	reader, writer := io.Pipe()
	go func() {
		writer.Write([]byte("first"))
		for f.server.HeldRequests() == 0 {
			writer.Write([]byte("more"))
		}
		f.control.changeView(func(v *view.View) { v.Teams = nil })
		writer.Close()
	}()
	response, body := f.send(t, http.MethodPost, "/v1/queues/proofs/requests", reader, withKey(pressKey))
	requireRefusal(t, response, body, problem.KeyRejected)
}

// Guards against unbounded memory: a body without a declared length, more
// held requests than allowed, and a full queue to the control goroutine.
func TestAdmissionBounds(t *testing.T) {
	t.Run("chunked body over the limit", func(t *testing.T) {
		f := newFixture(t, Config{MaxBody: 10}, answerAll)
		chunked := io.MultiReader(strings.NewReader("12345678901")) // a body without a length
		response, body := f.send(t, http.MethodPost, "/v1/queues/public/requests", chunked, http.Header{})
		requireRefusal(t, response, body, problem.BodyTooLarge)
	})
	t.Run("held requests", func(t *testing.T) {
		f := newFixture(t, Config{MaxHeldRequests: 1}, answerAll)
		f.server.heldCount.Add(1)
		response, body := f.post(t, "public", "", http.Header{})
		requireRefusal(t, response, body, problem.Overloaded)
		f.server.heldCount.Add(-1)
		response, _ = f.post(t, "public", "", http.Header{})
		assert.Equal(t, 200, response.StatusCode)
	})
	t.Run("held bytes", func(t *testing.T) {
		f := newFixture(t, Config{MaxBody: 10, MaxHeldBytes: 15}, answerAll)
		release, ok := f.server.reserve(-1)
		require.True(t, ok)
		response, body := f.post(t, "public", "123456", http.Header{})
		requireRefusal(t, response, body, problem.Overloaded)
		release()
		response, _ = f.post(t, "public", "1234567890", http.Header{})
		assert.Equal(t, 200, response.StatusCode, "a body at the limit is accepted")
		require.Eventually(t, func() bool { return f.server.heldBytes.Load() == 0 }, waitLimit, time.Millisecond)
	})
	t.Run("control queue", func(t *testing.T) {
		busy, release := make(chan struct{}, 1), make(chan struct{})
		f := newFixture(t, Config{}, func(*Server, event.Event) {
			select {
			case busy <- struct{}{}:
			default:
			}
			<-release
		})
		defer close(release)
		f.control.Post(event.Tick{})
		<-busy // the control goroutine takes nothing more while the queue fills
		for f.control.Post(event.Tick{}) {
		}
		response, body := f.post(t, "public", "", http.Header{})
		requireRefusal(t, response, body, problem.Overloaded)
	})
}

// Guards against passing a malformed trace context on to targets.
func TestTraceparent(t *testing.T) {
	const good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	assert.Equal(t, good, traceparent(http.Header{"Traceparent": {good}}))
	for _, bad := range []string{
		"", "00", strings.ToUpper(good), "ff" + good[2:], good + "-x",
		"00-00000000000000000000000000000000-b7ad6b7169203331-01",
		"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
	} {
		assert.Empty(t, traceparent(http.Header{"Traceparent": {bad}}), bad)
	}
	assert.Empty(t, traceparent(http.Header{"Traceparent": {good, good}}))
}
