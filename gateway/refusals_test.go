package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/logevent"
)

// Guards against refusals that spend no error budget because the reducer never
// receives their requests, and against callers without a team's key who spend its
// budget.
func TestRefusalsBeforeTheReducerAreCounted(t *testing.T) {
	control := newFakeControl(16)
	server := New(Config{Host: "gw1", Incarnation: "i1"}, control, logevent.Logger{})
	defer server.Close()
	control.changeView(func(v *view.View) { v.LeaseUntil = 0 })
	refuse := func(queue, key string) {
		request := httptest.NewRequest(http.MethodPost, "/v1/queues/"+queue+"/requests", nil)
		if key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, request)
		require.GreaterOrEqual(t, recorder.Code, 400)
	}
	refuse("proofs", pressKey)
	refuse("proofs", pressKey)
	refuse("proofs", "stranger")
	refuse("proofs", "")
	refuse("nowhere", pressKey)
	got := <-control.events
	require.Equal(t, event.RequestsRefused{Refusals: []event.Refusal{
		{Team: "press", Queue: "proofs", Kind: problem.NoLease, Count: 2},
	}}, got)
	submission := httptest.NewRequest(http.MethodPost, "/v1/tasks", strings.NewReader(goodTask))
	submission.Header = withKey(pressKey)
	server.Handler().ServeHTTP(httptest.NewRecorder(), submission)
	got = <-control.events
	require.Equal(t, event.RequestsRefused{Refusals: []event.Refusal{
		{Team: "press", Pool: "flow", Kind: problem.NoLease, Count: 1},
	}}, got)
}
