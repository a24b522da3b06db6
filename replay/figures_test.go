package replay

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/model"
)

// Guards against unused shares that other teams do not get, and against entitlements
// that exceed a limit or the capacity of the services that a team uses.
func TestEntitlements(t *testing.T) {
	s := &sample{
		capacity: map[model.ServiceID]int{"x": 100, "y": 50},
		shares:   map[model.TeamID]float64{"a": 60, "b": 20, "c": 20},
		limits:   map[model.TeamID]int{"a": 1000, "b": 1000, "c": 30},
		demand:   map[teamService]int{{"a", "x"}: 10, {"b", "x"}: 500, {"c", "y"}: 500, {"a", "y"}: 500},
	}
	got := s.entitlements()
	// The demand of a for x is 10, so b gets the other 90 slots. On y, a and c are
	// both limited by the capacity: a gets 45 in all and c gets 15.
	require.InDelta(t, 90, got["b"], 0.1)
	require.InDelta(t, 15, got["c"], 0.1)
	require.InDelta(t, 45, got["a"], 0.1)
	s.demand[teamService{"a", "y"}] = 0
	got = s.entitlements()
	require.InDelta(t, 30, got["c"], 0.1, "the limit of c")
}

// Guards against a bound of the possible work that a real schedule exceeds. The bound
// must be at least the work of a first-come-first-served schedule, and at most the
// submitted work and the capacity of the window.
func TestMaxWorkIsAnUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		obs := newObservations()
		w := window{from: 0, until: model.Time(10 * model.Second)}
		for at := w.from; at < w.until; at = at.Add(sampleInterval) {
			obs.samples = append(obs.samples, sample{at: at,
				capacity: map[model.ServiceID]int{"s": slots}, limits: map[model.TeamID]int{"": slots},
			})
		}
		work := model.Duration(0)
		at := model.Time(0)
		for range rapid.IntRange(0, 30).Draw(t, "jobs") {
			at = at.Add(model.Duration(rapid.IntRange(0, 800).Draw(t, "gap")) * model.Millisecond)
			a := &Arrive{Run: Millis(rapid.IntRange(1, 4000).Draw(t, "run")), Patience: Millis(rapid.IntRange(1, 5000).Draw(t, "patience"))}
			obs.byArrival = append(obs.byArrival, &request{Arrive: a, service: "s", arrivedAt: at})
			if at < w.until {
				work += a.Run.Duration()
			}
		}
		free := make([]model.Time, slots) // a first-come-first-served schedule on the slots
		for _, r := range obs.byArrival {
			slot := 0
			for i := range free {
				if free[i] < free[slot] {
					slot = i
				}
			}
			if start := max(free[slot], r.arrivedAt); start <= r.startBy() {
				free[slot] = start.Add(r.Run.Duration())
				r.runs = append(r.runs, &run{request: r, startedAt: start, endedAt: free[slot], succeeded: true})
			}
		}
		// The bound has a resolution of one sampleInterval on each slot.
		bound := obs.maxWork(w)
		require.LessOrEqual(t, obs.completedWork(w), bound+model.Duration(slots)*sampleInterval)
		require.LessOrEqual(t, bound, work)
		require.LessOrEqual(t, bound, model.Duration(slots)*w.until.Sub(w.from))
	})
}

// Guards against a misspelt name in an outcomes file that passes without a check, and
// against bounds that are not compared.
func TestOutcomes(t *testing.T) {
	r := &Result{Measures: []Measure{{Name: "x", Value: 2}, {Name: "y", NotMeasured: "no"}}, Invariants: []InvariantCount{{"i", 1}}}
	check := func(text string) (map[string]bool, error) {
		o, err := ParseOutcomes([]byte(text))
		require.NoError(t, err)
		list, err := o.Check(r)
		got := make(map[string]bool)
		for _, v := range list {
			got[v.Name] = v.OK
		}
		return got, err
	}
	got, err := check("[measure]\nx = { min = 1, max = 2 }\ny = { min = 0 }\n")
	require.NoError(t, err)
	require.Equal(t, map[string]bool{"x": true, "y": false, "i": false}, got)
	got, err = check("[measure]\nx = { max = 1.9 }\n[invariant]\ni = 1\n")
	require.NoError(t, err)
	require.Equal(t, map[string]bool{"x": false, "i": true}, got)
	_, err = check("[measure]\nz = { max = 1 }\n")
	require.Error(t, err)
	_, err = check("[invariant]\nz = 1\n")
	require.Error(t, err)
}
