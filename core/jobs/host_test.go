package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// Guards against a process on another host that counts as the successor of a worker's
// earlier process, whose runs may go on.
func TestReplacesOnlyProcessesOnItsHost(t *testing.T) {
	var s State
	announce := func(startedAt int64, host model.HostID) *Worker {
		s.Apply(&Command{Announce: &Worker{ID: "a", StartedAt: startedAt, Host: host, HostSince: 1}}, uint64(startedAt), 0)
		return s.Workers["a"]
	}
	announce(10, "x")
	require.False(t, announce(20, "y").Replaces(10))
	later := announce(30, "y")
	require.False(t, later.Replaces(10))
	require.True(t, later.Replaces(20))
	require.False(t, later.Replaces(30))
	later = announce(40, "y")
	require.True(t, later.Replaces(20))
	announce(50, "")
	require.False(t, announce(60, "").Replaces(50))
	s.Workers["a"].HostSince = 0 // recorded by an earlier version
	require.False(t, announce(70, "y").Replaces(60))
}
