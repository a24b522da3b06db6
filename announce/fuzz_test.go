package announce

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/reply"
)

// decode decodes an announcement as the server does.
func decode(body string, v any) bool {
	request := httptest.NewRequest(http.MethodPut, "/", strings.NewReader(body))
	return reply.Decode(httptest.NewRecorder(), request, maxBody, problem.AnnouncementInvalid, v) == nil
}

// requireSendable checks that the leader can decode what this host forwards.
func requireSendable(t *testing.T, m *message.Message) {
	data, err := codec.EncodeMessage(m)
	require.NoError(t, err)
	got, err := codec.DecodeMessage(data)
	require.NoError(t, err)
	again, err := codec.EncodeMessage(got)
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
}

// FuzzTargetAnnouncement guards against a panic on any announcement, and against
// accepting one that the leader cannot decode.
func FuzzTargetAnnouncement(f *testing.F) {
	f.Add("t1", goodTarget)
	f.Add("t1", strings.Replace(goodTarget, "127.0.0.1:80", "[::1]:80", 1))
	f.Add("t 1", `{"address":"127.0.0.1:80","slots":9223372036854775807,"state":"leaving"}`)
	f.Fuzz(func(t *testing.T, id, body string) {
		var a TargetAnnouncement
		if !decode(body, &a) {
			return
		}
		if report, p := a.report(model.TargetID(id)); p == nil {
			requireSendable(t, &message.Message{TargetReport: &report})
			require.LessOrEqual(t, len(report.Running), maxConnections)
		}
	})
}

// FuzzWorkerAnnouncement guards against a panic on any report, and against accepting
// one that the leader cannot decode or whose sums overflow.
func FuzzWorkerAnnouncement(f *testing.F) {
	f.Add("w1", goodWorker)
	f.Add("w1", `{"incarnation":"i","data_centre":"d","rack":"r","capacity":{"milli_cpu":9223372036854775807},"sequence":1,"runs":[]}`)
	f.Add("w1", `{"runs":[{"task":"t","phase":"failed","ran_ms":-1,"note":"\ud800"}]}`)
	f.Fuzz(func(t *testing.T, id, body string) {
		var a WorkerAnnouncement
		if !decode(body, &a) {
			return
		}
		report, p := a.report(model.HostID(id))
		if p != nil {
			return
		}
		requireSendable(t, &message.Message{WorkerReport: &report})
		require.True(t, report.Capacity.Valid())
		for _, run := range report.Runs {
			require.True(t, run.Usage.Valid())
			require.GreaterOrEqual(t, run.Ran, model.Duration(0))
		}
	})
}
