package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
)

// Guards against a configuration change, or a heartbeat of the replicated log, that
// waits behind thousands of new jobs and ends of runs.
func TestControlEventsPrecedeNewJobs(t *testing.T) {
	l := New()
	submit := event.CallArrived{Call: call.Call{Submit: &call.Submit{}}}
	configure := event.Received{Message: message.Message{Call: &call.Call{ReadConfig: &call.ReadConfig{}}}}
	heartbeat := event.Received{Message: message.Message{Log: &message.Log{}}}
	for range 500 {
		require.True(t, l.Post(submit))
		require.True(t, l.Post(event.WorkerReplied{}))
	}
	require.True(t, l.Post(configure))
	require.True(t, l.Post(heartbeat))
	events := l.takeBatch()
	require.Equal(t, []event.Event{configure, heartbeat}, events[:2])
}

// Guards against new jobs that are never handled while the other queues are full.
func TestEveryClassGetsPartOfABatch(t *testing.T) {
	l := New()
	for range admissionThreshold {
		require.True(t, l.Post(event.Received{Message: message.Message{Log: &message.Log{}}}))
		require.True(t, l.Post(event.WorkerReplied{}))
		require.True(t, l.Post(event.CallArrived{Call: call.Call{Submit: &call.Submit{}}}))
	}
	count := make(map[event.Class]int)
	for _, e := range l.takeBatch() {
		count[event.ClassOf(e)]++
	}
	require.Equal(t, map[event.Class]int{
		event.ClassControl: maxBatch - 2*reservedPerClass, event.ClassWork: reservedPerClass, event.ClassIntake: reservedPerClass,
	}, count)
}
