package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/event"
)

// Guards against events that are refused without being reported, and against new work
// that uses the part of the queue reserved for the outcomes of accepted work.
func TestRefusedEventsAreReported(t *testing.T) {
	l := New()
	refused := 0
	l.OnQueueFull(func() { refused++ })
	for range admissionThreshold {
		require.True(t, l.Post(event.Tick{}))
	}
	require.False(t, l.Post(event.Tick{}))
	require.Equal(t, 1, refused)
	require.True(t, l.PostWait(t.Context(), event.Tick{}))
}
