package gateway

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against durations without a unit in their name, against output of times that
// are not reached yet, and against a spec that differs from the submitted one.
func TestTaskStatusEncoding(t *testing.T) {
	var body TaskBody
	require.NoError(t, json.Unmarshal([]byte(goodTask), &body))
	spec, p := body.spec()
	require.Nil(t, p)
	status, err := json.Marshal(statusOf(&fleet.Task{
		ID: "t", Team: "press", Spec: spec, Phase: fleet.TaskPlaced, Worker: "w", WorkerInc: "secret", Epoch: 2,
		Submitted: 1_796_387_241_500_000_000, Placed: model.Time(1_796_387_242 * model.Second), SubmitIndex: 7,
	}))
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"t","team":"press","spec":{"pool":"flow","command":"run x","milli_cpu":2000,"memory_mb":100,
		"accelerators":0,"run_time_s":1.5,"max_run_s":60,"precedence":0,"idempotent":true},"phase":"placed","worker":"w",
		"epoch":2,"submitted":"2026-12-04T12:27:21.5Z","placed":"2026-12-04T12:27:22Z","submit_index":7}`, string(status))
}
