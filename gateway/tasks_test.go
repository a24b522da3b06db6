package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

const goodTask = `{"pool":"flow","command":"run x","milli_cpu":2000,"memory_mb":100,"max_run_s":60,"run_time_s":1.5,"idempotent":true}`

// acceptTasks acts as a reducer that accepts each command and knows one task.
func acceptTasks(s *Server, e event.Event) {
	switch e := e.(type) {
	case event.CommandSubmitted:
		s.AnswerCommand(effect.AnswerCommand{ID: e.Command.ID})
	case event.StatusRequested:
		answer := effect.AnswerStatus{Query: e.Query}
		if e.Task == "t-known" && e.Team == "press" {
			answer.Task = &fleet.Task{ID: e.Task}
		}
		s.AnswerStatus(answer)
	}
}

// Guards against a task that is submitted twice by a resend, and against two
// teams that share a submission id.
func TestTaskResendKeepsIDs(t *testing.T) {
	f := newFixture(t, Config{}, acceptTasks)
	var bodies []string
	for _, key := range []string{"k", "k", "other", ""} {
		header := withKey(pressKey)
		if key != "" {
			header.Set("Idempotency-Key", key)
		}
		response, body := f.do(t, http.MethodPost, "/v1/tasks", goodTask, header)
		require.Equal(t, http.StatusAccepted, response.StatusCode, body)
		bodies = append(bodies, body)
	}
	assert.Equal(t, bodies[0], bodies[1])
	assert.NotEqual(t, bodies[0], bodies[2])
	assert.NotEqual(t, bodies[0], bodies[3])
	assert.NotEqual(t, submitID("a", "bc"), submitID("ab", "c"))

	first := eventsOf[event.CommandSubmitted](f.control)[0].Command.SubmitTask
	assert.Equal(t, model.TeamID("press"), first.Team)
	assert.Equal(t, fleet.TaskSpec{
		Pool: "flow", Command: "run x", Size: model.Resources{MilliCPU: 2000, MemoryMB: 100},
		RunTime: 1500 * model.Millisecond, MaxRun: model.Minute, Idempotent: true,
	}, first.Spec)
}

// Guards against accepting tasks without a valid key or with invalid fields.
func TestTaskRequestChecks(t *testing.T) {
	f := newFixture(t, Config{}, acceptTasks)
	cases := []struct {
		method, path, body string
		header             http.Header
		kind               problem.Kind
	}{
		{http.MethodPost, "/v1/tasks", goodTask, withKey(""), problem.KeyMissing},
		{http.MethodPost, "/v1/tasks", goodTask, withKey("wrong"), problem.KeyRejected},
		{http.MethodPost, "/v1/tasks", "", withKey(pressKey), problem.BadRequest},
		{http.MethodPost, "/v1/tasks", goodTask + "{}", withKey(pressKey), problem.BadRequest},
		{http.MethodPost, "/v1/tasks", strings.Replace(goodTask, "pool", "pools", 1), withKey(pressKey), problem.BadRequest},
		{http.MethodPost, "/v1/tasks", strings.Replace(goodTask, "2000", "-1", 1), withKey(pressKey), problem.BadRequest},
		{http.MethodPost, "/v1/tasks", strings.Replace(goodTask, `"max_run_s":60,`, "", 1), withKey(pressKey), problem.BadRequest},
		{http.MethodPost, "/v1/tasks", strings.Repeat(" ", maxTaskBody+1), withKey(pressKey), problem.BodyTooLarge},
		{http.MethodGet, "/v1/tasks/t-none", "", withKey(pressKey), problem.UnknownTask},
		{http.MethodDelete, "/v1/tasks/t-none", "", withKey(""), problem.KeyMissing},
	}
	for _, c := range cases {
		response, body := f.do(t, c.method, c.path, c.body, c.header)
		requireRefusal(t, response, body, c.kind)
	}
	response, body := f.do(t, http.MethodGet, "/v1/tasks/t-known", "", withKey(pressKey))
	assert.Equal(t, 200, response.StatusCode)
	assert.Contains(t, body, `"id":"t-known"`)
	response, _ = f.do(t, http.MethodDelete, "/v1/tasks/t-known", "", withKey(pressKey))
	assert.Equal(t, http.StatusAccepted, response.StatusCode)
}
