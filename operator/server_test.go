package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
)

const token = "operators-token"

var hash = reply.Digest([]byte("x"))

// fakeControl answers commands with result and queries with status, at once.
type fakeControl struct {
	server    *Server
	view      view.View
	status    view.Status
	result    fleet.Result
	queueFull bool
	commands  []fleet.Command
}

func (c *fakeControl) View() *view.View { return &c.view }
func (c *fakeControl) Now() model.Time  { return 10 }
func (c *fakeControl) Rand() uint64     { return 3 }

func (c *fakeControl) Post(e event.Event) bool {
	if c.queueFull {
		return false
	}
	switch e := e.(type) {
	case event.CommandSubmitted:
		c.commands = append(c.commands, e.Command)
		c.server.AnswerCommand(effect.AnswerCommand{ID: e.Command.ID, Result: c.result})
	case event.StatusRequested:
		answer := effect.AnswerStatus{Query: e.Query, Status: &c.status}
		if e.Burn {
			answer.Burn = &burn.ReportInput{Now: c.Now(), Rules: c.view.Rules}
		}
		c.server.AnswerStatus(answer)
	}
	return true
}

func newFakeControl() *fakeControl {
	c := &fakeControl{view: view.View{LeaseUntil: 11, Rules: &rules.Rules{Revision: 4}}, status: view.Status{Host: "gw1", Revision: 4, RulesHash: hash}}
	c.server = New(Config{Token: reply.Digest([]byte(token))}, c, logevent.Logger{})
	return c
}

func (c *fakeControl) do(t *testing.T, method, path, body, bearer string) (int, string) {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if bearer != "" {
		request.Header.Set("Authorization", "Bearer "+bearer)
	}
	recorder := httptest.NewRecorder()
	c.server.Handler().ServeHTTP(recorder, request)
	content, err := io.ReadAll(recorder.Body)
	require.NoError(t, err)
	return recorder.Code, string(content)
}

// Guards against a load balancer that keeps routing callers to a host that is
// stopping or has lost its lease.
func TestProbes(t *testing.T) {
	c := newFakeControl()
	probe := func(path string) int {
		status, _ := c.do(t, http.MethodGet, path, "", "")
		return status
	}
	assert.Equal(t, 200, probe("/livez"))
	assert.Equal(t, 200, probe("/readyz"))
	assert.Equal(t, 200, probe("/metrics"))
	c.view.LeaseUntil = 10
	assert.Equal(t, 503, probe("/readyz"))
	c.view.LeaseUntil, c.view.Stopping = 11, true
	assert.Equal(t, 503, probe("/readyz"))
	assert.Equal(t, 200, probe("/livez"))
}

// Guards against changes and reads that are served without the operators' token.
func TestReadsAndChangesNeedTheToken(t *testing.T) {
	c := newFakeControl()
	for _, request := range [][2]string{
		{http.MethodGet, "/v1/status"}, {http.MethodGet, "/v1/rules"}, {http.MethodPost, "/v1/rules"},
		{http.MethodPost, "/v1/keys"}, {http.MethodDelete, "/v1/keys/a?id=1"},
	} {
		status, _ := c.do(t, request[0], request[1], "{}", "")
		assert.Equal(t, 401, status, request)
		status, _ = c.do(t, request[0], request[1], "{}", "wrong")
		assert.Equal(t, 403, status, request)
	}
	assert.Empty(t, c.commands)
	c.server.cfg.Token = ""
	status, _ := c.do(t, http.MethodGet, "/v1/status", "", "")
	assert.Equal(t, 200, status)
}

// Guards against an answer with the hash of one revision and the rules of another,
// when a change is applied between the two reads.
func TestRulesAndHashAreOfOneRevision(t *testing.T) {
	c := newFakeControl()
	status, body := c.do(t, http.MethodGet, "/v1/rules", "", token)
	assert.Equal(t, 200, status)
	assert.JSONEq(t, `{"revision":4,"hash":"`+string(hash)+`","rules":{"revision":4}}`, body)
	c.status.Revision = 5
	status, _ = c.do(t, http.MethodGet, "/v1/rules", "", token)
	assert.Equal(t, 503, status)
}

// Guards against a change that loses its id, without which a resent request would
// make a second change, and against accepting malformed changes.
func TestChanges(t *testing.T) {
	c := newFakeControl()
	c.result = fleet.Result{Revision: 5}
	rulesBody := `{"base":4,"hash":"` + string(hash) + `","rules":{"revision":5},"id":"c1"}`
	keyBody := `{"name":"k","team":"press","hash":"` + string(hash) + `","id":"c2"}`
	status, body := c.do(t, http.MethodPost, "/v1/rules", rulesBody, token)
	assert.Equal(t, 200, status)
	assert.JSONEq(t, `{"result":{"revision":5}}`, body)
	status, _ = c.do(t, http.MethodPost, "/v1/keys", keyBody, token)
	assert.Equal(t, 200, status)
	status, _ = c.do(t, http.MethodDelete, "/v1/keys/k?id=c3", "", token)
	assert.Equal(t, 200, status)
	assert.Equal(t, []fleet.Command{
		{ID: "c1", ApplyRules: &fleet.ApplyRules{Base: 4, Hash: hash, Rules: &rules.Rules{Revision: 5}}},
		{ID: "c2", GrantKey: &fleet.GrantKey{Name: "k", Team: "press", Hash: hash}},
		{ID: "c3", WithdrawKey: &fleet.WithdrawKey{Name: "k"}},
	}, c.commands)

	for _, faulty := range [][3]string{
		{http.MethodPost, "/v1/rules", strings.Replace(rulesBody, "c1", "", 1)},
		{http.MethodPost, "/v1/rules", strings.Replace(rulesBody, "base", "bass", 1)},
		{http.MethodPost, "/v1/rules", strings.Replace(rulesBody, string(hash), "00", 1)},
		{http.MethodPost, "/v1/keys", strings.Replace(keyBody, "press", "", 1)},
		{http.MethodDelete, "/v1/keys/k", ""},
	} {
		status, body := c.do(t, faulty[0], faulty[1], faulty[2], token)
		assert.Equal(t, 400, status, body)
	}
	assert.Len(t, c.commands, 3)

	c.result = fleet.Result{Problem: problem.New(problem.RevisionConflict, "revision 5")}
	status, body = c.do(t, http.MethodPost, "/v1/rules", rulesBody, token)
	assert.Equal(t, 409, status)
	assert.Contains(t, body, "revision 5")
	c.queueFull = true
	status, _ = c.do(t, http.MethodPost, "/v1/rules", rulesBody, token)
	assert.Equal(t, 503, status)
}
