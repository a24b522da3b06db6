package replay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// Guards against a share distance that counts capacity that a team does not need, or
// that does not give this capacity to the other teams.
func TestTaskEntitlements(t *testing.T) {
	cores := func(n int64) model.Resources { return model.Resources{MilliCPU: n} }
	shares := map[model.TeamID]float64{"a": 60, "b": 20, "c": 20}
	s := taskSample{waiting: map[model.TeamID]int{"b": 5, "c": 1}}
	s.computeEntitlements(map[model.TeamID]model.Resources{"a": cores(20), "b": cores(60)}, cores(100),
		func(id model.TeamID) float64 { return shares[id] })
	require.InDeltaMapValues(t, map[model.TeamID]float64{"a": 0.25, "b": 0.375, "c": 0.375}, s.entitled, 1e-9)
	mean, largest := s.distance()
	require.InDelta(t, 25, mean, 1e-9)
	require.InDelta(t, 37.5, largest, 1e-9)
}
