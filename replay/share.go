package replay

import (
	"math"

	"primrosedale.example/primrosedale/core/model"
)

// shareDistance returns the mean and the largest distance over all teams between
// running work and entitlement, in percentage points of all slots.
func (s *sample) shareDistance() (mean, largest float64) {
	running := make(map[model.TeamID]float64)
	for u, n := range s.running {
		running[u.team] += float64(n)
	}
	entitled := s.entitlements()
	for _, team := range model.SortedKeys(entitled) {
		distance := 100 * math.Abs(running[team]-entitled[team]) / float64(s.slots())
		mean += distance / float64(len(entitled))
		largest = max(largest, distance)
	}
	return mean, largest
}

// entitlements divides the slots among the teams with demand in proportion to their
// shares, as far as their demand, their limits and the services that can do their
// work allow (weighted max-min fairness). Slots that a team cannot use go to the
// other teams in the same proportion.
func (s *sample) entitlements() map[model.TeamID]float64 {
	m := newShareModel(s)
	fixed := make([]float64, len(m.teams)) // -1 while the amount can still increase
	for i := range fixed {
		fixed[i] = -1
	}
	for range m.teams {
		level := m.highestLevel(fixed)
		if !m.fixSaturated(fixed, level) {
			break
		}
	}
	entitled := make(map[model.TeamID]float64, len(m.teams))
	for i, team := range m.teams {
		entitled[team] = max(fixed[i], 0)
	}
	return entitled
}

// shareModel is the allocation problem of one sample.
type shareModel struct {
	teams    []model.TeamID
	weight   []float64
	ceiling  []float64   // demand, at most the limit
	demand   [][]float64 // by team and service
	capacity []float64
}

func newShareModel(s *sample) *shareModel {
	m := &shareModel{}
	services := model.SortedKeys(s.capacity)
	for _, service := range services {
		m.capacity = append(m.capacity, float64(s.capacity[service]))
	}
	for _, team := range model.SortedKeys(s.shares) {
		row := make([]float64, len(services))
		total := 0.0
		for i, service := range services {
			row[i] = float64(s.demand[teamService{team, service}])
			total += row[i]
		}
		m.teams = append(m.teams, team)
		m.weight = append(m.weight, max(s.shares[team], 0.1))
		m.ceiling = append(m.ceiling, min(total, float64(s.limits[team])))
		m.demand = append(m.demand, row)
	}
	return m
}

// amounts returns the amount of each team at a level, which is an amount per unit of
// weight.
func (m *shareModel) amounts(fixed []float64, level float64) []float64 {
	x := make([]float64, len(m.teams))
	for i := range x {
		x[i] = fixed[i]
		if fixed[i] < 0 {
			x[i] = min(level*m.weight[i], m.ceiling[i])
		}
	}
	return x
}

// tolerance is the numerical tolerance of feasible, in slots.
const tolerance = 1e-6

// highestLevel returns the highest feasible level, by bisection.
func (m *shareModel) highestLevel(fixed []float64) float64 {
	low, high := 0.0, 1.0
	for i := range m.teams {
		high = max(high, m.ceiling[i]/m.weight[i])
	}
	if m.feasible(m.amounts(fixed, high)) {
		return high
	}
	for range 40 {
		middle := (low + high) / 2
		if m.feasible(m.amounts(fixed, middle)) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// fixSaturated fixes the amounts of the teams that cannot get more than at this
// level. It reports whether any team is not fixed yet.
func (m *shareModel) fixSaturated(fixed []float64, level float64) bool {
	x := m.amounts(fixed, level)
	unfixed := false
	for i := range m.teams {
		if fixed[i] >= 0 {
			continue
		}
		more := append([]float64(nil), x...)
		more[i] += 0.01
		if x[i] >= m.ceiling[i] || !m.feasible(more) {
			fixed[i] = x[i]
		} else {
			unfixed = true
		}
	}
	return unfixed
}

// feasible reports whether the services can give each team its amount. It computes a
// maximum flow from teams to services by augmenting paths.
func (m *shareModel) feasible(x []float64) bool {
	flow := make([][]float64, len(m.teams))
	free := append([]float64(nil), m.capacity...)
	for i := range m.teams {
		flow[i] = make([]float64, len(free))
	}
	for i := range m.teams {
		for need := x[i]; need > tolerance; {
			sent := m.augment(flow, free, i, need, make([]bool, len(free)))
			if sent <= 0 {
				return false
			}
			need -= sent
		}
	}
	return true
}

// augment sends up to need from team i to a service with free capacity. If there is
// none, it moves the flow of another team to another service first.
func (m *shareModel) augment(flow [][]float64, free []float64, i int, need float64, seen []bool) float64 {
	for j := range free {
		room := min(need, m.demand[i][j]-flow[i][j])
		if seen[j] || room <= tolerance {
			continue
		}
		seen[j] = true
		if free[j] > tolerance {
			sent := min(room, free[j])
			flow[i][j] += sent
			free[j] -= sent
			return sent
		}
		for k := range m.teams {
			if k == i || flow[k][j] <= tolerance {
				continue
			}
			if sent := m.augment(flow, free, k, min(room, flow[k][j]), seen); sent > 0 {
				flow[k][j] -= sent
				flow[i][j] += sent
				return sent
			}
		}
	}
	return 0
}
