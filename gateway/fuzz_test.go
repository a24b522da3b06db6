package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/reply"
)

// FuzzTaskBody guards against a panic on any task, and against accepting one that the
// other hosts cannot decode or whose times or sizes overflow.
func FuzzTaskBody(f *testing.F) {
	f.Add(goodTask)
	f.Add(strings.Replace(goodTask, "2000", "9223372036854775807", 1))
	f.Add(`{"pool":"p","command":"\u0000","max_run_s":1e-12}`)
	f.Fuzz(func(t *testing.T, text string) {
		request := httptest.NewRequest(http.MethodPost, "/v1/tasks", strings.NewReader(text))
		var body TaskBody
		if reply.Decode(httptest.NewRecorder(), request, maxTaskBody, problem.BadRequest, &body) != nil {
			return
		}
		spec, p := body.spec()
		if p != nil {
			return
		}
		require.True(t, spec.MaxRun > 0 && spec.RunTime >= 0)
		require.True(t, spec.Size.Valid())
		data, err := codec.EncodeCommand(&fleet.Command{SubmitTask: &fleet.SubmitTask{Task: "t", Team: "x", Spec: spec}})
		require.NoError(t, err)
		_, err = codec.DecodeCommand(data)
		require.NoError(t, err)
	})
}

// FuzzOptions guards against a panic on any request header, and against options
// outside the bounds that the queues rely on.
func FuzzOptions(f *testing.F) {
	f.Add("k", "true", "1", "30")
	f.Add("", "TRUE", "NaN", "1e308")
	f.Add("a b", "false", "-1", "0x1p4")
	f.Fuzz(func(t *testing.T, key, idempotent, worth, patience string) {
		w, p := parseOptions(http.Header{
			idempotencyKeyHeader: {key}, idempotentHeader: {idempotent}, worthHeader: {worth}, patienceHeader: {patience},
		})
		if p != nil {
			return
		}
		require.True(t, w.worth >= 0 && w.worth <= 1000, w.worth)
		require.True(t, w.patience > 0 && w.patience <= 12*model.Hour, w.patience)
	})
}
