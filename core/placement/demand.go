package placement

import (
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// Reserved returns what the runs of a worker take of it.
func (p *Placer) Reserved(id model.HostID) model.Resources {
	if w := p.workers[id]; w != nil {
		return w.reserved
	}
	return model.Resources{}
}

// Need returns the learned size of a task.
func (p *Placer) Need(t *fleet.Task) model.Resources { return p.need(t) }
