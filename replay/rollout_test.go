package replay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// Guards against a bound for the end of waves that ignores budgets, lost hosts or hosts
// that become available late.
func TestEarliestRolloutEnd(t *testing.T) {
	at := func(s int) model.Time { return model.Time(s) * model.Time(model.Second) }
	change := func(availableFrom int, took model.Duration) *hostChange {
		return &hostChange{pool: "p", availableFrom: at(availableFrom), duration: took * model.Second}
	}
	p := &poolRollout{}
	for s := range 100 {
		budget := 2
		if s > 10 && s <= 20 {
			budget = 0 // lost hosts use up the budget
		}
		p.times, p.budgets = append(p.times, at(s)), append(p.budgets, budget)
	}
	tests := []struct {
		name    string
		changes map[model.HostID]*hostChange
		want    int
	}{
		{"nothing to do", nil, 0},
		{"two at a time", map[model.HostID]*hostChange{"a": change(0, 8), "b": change(0, 8)}, 8},
		{"a loss stops the budget", map[model.HostID]*hostChange{"a": change(0, 15), "b": change(0, 15)}, 25},
		{"a host that returns late", map[model.HostID]*hostChange{"a": change(60, 5)}, 65},
	}
	for _, test := range tests {
		obs := newHostObservations()
		obs.rollout["p"], obs.changes = p, test.changes
		require.Equal(t, at(test.want), obs.earliestRolloutEnd(0), test.name)
	}
}
