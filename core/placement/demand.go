package placement

import (
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// Reserved returns the resources reserved for the runs on a worker.
func (p *Placer) Reserved(id model.HostID) model.Resources {
	if w := p.workers[id]; w != nil {
		return w.reserved
	}
	return model.Resources{}
}

// Need returns the resources that a task is expected to need, as learned from earlier
// runs.
func (p *Placer) Need(t *fleet.Task) model.Resources { return p.need(t) }
