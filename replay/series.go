package replay

import "primrosedale.example/primrosedale/core/model"

// Series holds the time series of a replay for plots. Every list has one value for
// each time in Seconds.
type Series struct {
	Seconds  []float64
	Slots    []float64
	Running  map[model.TeamID][]float64
	Waiting  map[model.TeamID][]float64
	Entitled map[model.TeamID][]float64
}

// newSeries builds the time series from the samples of a replay.
func newSeries(e *engine) *Series {
	s := &Series{
		Running: make(map[model.TeamID][]float64), Waiting: make(map[model.TeamID][]float64),
		Entitled: make(map[model.TeamID][]float64),
	}
	for i := range e.obs.samples {
		p := &e.obs.samples[i]
		s.Seconds = append(s.Seconds, e.seconds(p.at))
		s.Slots = append(s.Slots, float64(p.slots()))
		running, demand := make(map[model.TeamID]float64), make(map[model.TeamID]float64)
		for u, n := range p.running {
			running[u.team] += float64(n)
		}
		for u, n := range p.demand {
			demand[u.team] += float64(n)
		}
		entitled := p.entitlements()
		for team := range p.shares {
			s.Running[team] = append(s.Running[team], running[team])
			s.Waiting[team] = append(s.Waiting[team], demand[team]-running[team])
			s.Entitled[team] = append(s.Entitled[team], entitled[team])
		}
	}
	return s
}
