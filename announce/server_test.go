package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/logevent"
)

const (
	goodTarget = `{"address":"127.0.0.1:80","service":"render","data_centre":"west","host":"h1","slots":8,"connections":64,` +
		`"incarnation":"i1","sequence":3,"acked":2,"state":"ready","running":[{"request":"r1","team":"press"}]}`
	goodWorker = `{"incarnation":"i1","data_centre":"west","rack":"r1","capacity":{"milli_cpu":64000,"memory_mb":256000,"accelerators":1},` +
		`"image":"kernel-9","sequence":4,"runs":[{"task":"t1","epoch":2,"phase":"running","usage":{"milli_cpu":1,"memory_mb":2,"accelerators":0},"ran_ms":1500}]}`
)

// fakeControl passes each event to react immediately.
type fakeControl struct{ react func(event.Event) bool }

func (c *fakeControl) Post(e event.Event) bool { return c.react(e) }
func (c *fakeControl) Rand() uint64            { return 3 }

func put(t *testing.T, s *Server, path, body string) (int, string) {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	request, err := http.NewRequest(http.MethodPut, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content)
}

// Guards against a field that is lost between announcement and event, or
// between orders and reply.
func TestReportsAndReplies(t *testing.T) {
	var s *Server
	var seen []event.Event
	c := &fakeControl{react: func(e event.Event) bool {
		seen = append(seen, e)
		result := message.ReportReply{}
		switch e := e.(type) {
		case event.TargetReported:
			result.Report = e.Report.Report
		case event.WorkerReported:
			result = message.ReportReply{
				Report: e.Report.Report, Reboot: true, Image: "kernel-10",
				Orders: []message.Order{{Kind: message.OrderRun, Task: "t1", Epoch: 2, MaxRun: model.Minute, Lease: 5 * model.Second}},
			}
		}
		s.AnswerReport(effect.AnswerReport{Reply: result})
		return true
	}}
	s = New(c, logevent.Logger{})

	status, body := put(t, s, "/platform/v1/targets/t1", goodTarget)
	require.Equal(t, 200, status, body)
	assert.JSONEq(t, `{"acked":3}`, body)
	report := seen[0].(event.TargetReported).Report
	assert.Equal(t, message.TargetReport{
		Report: report.Report, Seq: 3, Acked: 2, State: message.TargetReady,
		Target: fleet.Target{ID: "t1", Incarnation: "i1", Address: "127.0.0.1:80", Service: "render", Host: "h1",
			DataCentre: "west", Slots: 8, Connections: 64},
		Running: []message.RunningRequest{{Request: "r1", Team: "press"}},
	}, report)

	status, body = put(t, s, "/platform/v1/workers/w1", goodWorker)
	require.Equal(t, 200, status, body)
	var reply Reply
	require.NoError(t, json.Unmarshal([]byte(body), &reply))
	assert.Equal(t, Reply{Acked: 4, Reboot: true, Image: "kernel-10",
		Orders: []Order{{Kind: message.OrderRun, Task: "t1", Epoch: 2, MaxRunMS: 60_000, LeaseMS: 5000}}}, reply)
	worker := seen[1].(event.WorkerReported).Report
	assert.NotEqual(t, report.Report, worker.Report)
	assert.Equal(t, 1500*model.Millisecond, worker.Runs[0].Ran)
	assert.Equal(t, int64(64000), worker.Capacity.MilliCPU)
}

// Guards against accepting announcements that a gateway could not use or that would
// exhaust the memory of the leader.
func TestAnnouncementFaults(t *testing.T) {
	c := &fakeControl{react: func(event.Event) bool { t.Error("a faulty announcement was posted"); return true }}
	s := New(c, logevent.Logger{})
	edit := func(good, from, to string) string {
		edited := strings.Replace(good, from, to, 1)
		require.NotEqual(t, good, edited)
		return edited
	}
	for _, body := range []string{
		"", "[]", goodTarget + "x", edit(goodTarget, "slots", "slot"),
		edit(goodTarget, "127.0.0.1:80", "localhost:80"), edit(goodTarget, "127.0.0.1:80", "127.0.0.1"),
		edit(goodTarget, "127.0.0.1:80", "0.0.0.0:80"), edit(goodTarget, "127.0.0.1:80", "127.0.0.1:0"),
		edit(goodTarget, `"slots":8`, `"slots":0`), edit(goodTarget, `"connections":64`, `"connections":7`),
		edit(goodTarget, `"sequence":3`, `"sequence":0`), edit(goodTarget, `"acked":2`, `"acked":3`),
		edit(goodTarget, "ready", "gone"), edit(goodTarget, "press", "the press"), edit(goodTarget, "render", ""),
	} {
		status, answer := put(t, s, "/platform/v1/targets/t1", body)
		assert.Equal(t, 400, status, body)
		assert.Contains(t, answer, string(problem.AnnouncementInvalid))
	}
	for _, body := range []string{
		edit(goodWorker, "64000", "-1"), edit(goodWorker, `"phase":"running"`, `"phase":"lost"`),
		edit(goodWorker, "1500", "-1"), edit(goodWorker, `"rack":"r1"`, `"rack":""`),
	} {
		status, answer := put(t, s, "/platform/v1/workers/w1", body)
		assert.Equal(t, 400, status, body)
		assert.Contains(t, answer, string(problem.AnnouncementInvalid))
	}
	status, _ := put(t, s, "/platform/v1/workers/w1", strings.Repeat(" ", maxBody+1))
	assert.Equal(t, 413, status)
}

// Guards against a target that waits forever while there is no leader, and against a
// refusal that looks like a reply.
func TestAnnouncementWithoutLeader(t *testing.T) {
	accept := true
	s := New(&fakeControl{react: func(event.Event) bool { return accept }}, logevent.Logger{})
	status, body := put(t, s, "/platform/v1/targets/t1", goodTarget)
	assert.Equal(t, 503, status)
	assert.Contains(t, body, string(problem.NoLeader))
	accept = false
	status, body = put(t, s, "/platform/v1/targets/t1", goodTarget)
	assert.Equal(t, 503, status)
	assert.Contains(t, body, string(problem.Overloaded))
}
