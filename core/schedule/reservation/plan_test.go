package reservation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

func cores(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000} }

func at(seconds int) model.Time { return model.Time(seconds) * model.Time(model.Second) }

// Guards against a plan on a worker that is free later than another, before a host has
// joined, or behind a run without a predicted end.
func TestSoonestWorkerIsPlanned(t *testing.T) {
	workers := []Worker{
		{ID: "a", Free: cores(2), Ends: []End{{at(30), cores(3)}, {at(20), cores(3)}}},
		{ID: "b", Free: cores(4), Ends: []End{{Never, cores(4)}}},
		{ID: "c", Free: cores(0), Ends: []End{{at(25), cores(8)}}},
		{From: at(40), Free: cores(8)},
	}
	for size, want := range map[int64]Plan{
		4: {at(10), []Place{{"b", 1}}},
		5: {at(20), []Place{{"a", 1}}},
		8: {at(25), []Place{{"c", 1}}},
	} {
		plan, ok := Make(at(10), workers, Request{Claim: cores(size), Tasks: 1})
		require.True(t, ok)
		require.Equal(t, want, plan, size)
	}
	plan, ok := Make(at(10), workers, Request{Claim: cores(8), Tasks: 3})
	require.True(t, ok)
	require.Equal(t, Plan{at(40), []Place{{"c", 1}, {"a", 1}, {"", 1}}}, plan)
	_, ok = Make(at(10), workers, Request{Claim: cores(8), Tasks: 4})
	require.False(t, ok)
}

// Guards against more tasks of a gang on one worker than PerWorker allows or its memory
// holds.
func TestGangIsSpreadByLimitAndEachResource(t *testing.T) {
	free := model.Resources{MilliCPU: 8000, MemoryMB: 100}
	workers := []Worker{{ID: "a", Free: free, Limit: 2}, {ID: "b", Free: free, Limit: 2}}
	plan, ok := Make(0, workers, Request{Claim: cores(2), Tasks: 4})
	require.True(t, ok)
	require.Equal(t, []Place{{"a", 2}, {"b", 2}}, plan.Places)
	_, ok = Make(0, workers, Request{Claim: cores(2), Tasks: 5})
	require.False(t, ok)
	_, ok = Make(0, workers, Request{Claim: model.Resources{MilliCPU: 1000, MemoryMB: 60}, Tasks: 3})
	require.False(t, ok)
}

// Guards against a colocated gang that is spread over racks although one rack has the room
// soon, and against one that waits long for a rack.
func TestColocatedGangIsPlannedOnOneRack(t *testing.T) {
	workers := []Worker{
		{ID: "a", Rack: "r1", Free: cores(4)}, {ID: "b", Rack: "r2", Free: cores(4)},
		{ID: "c", Rack: "r2", Ends: []End{{at(2), cores(4)}}},
	}
	request := Request{Claim: cores(4), Tasks: 2, Colocated: true, MaxRackDelay: 2 * model.Second}
	plan, ok := Make(0, workers, request)
	require.True(t, ok)
	require.Equal(t, Plan{at(2), []Place{{"b", 1}, {"c", 1}}}, plan)
	request.MaxRackDelay = model.Second
	plan, _ = Make(0, workers, request)
	require.Equal(t, Plan{at(0), []Place{{"a", 1}, {"b", 1}}}, plan)
}
