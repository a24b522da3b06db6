package hosts

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// recordWorkers records which workers are known when the read of a list begins.
func (p *Planner) recordWorkers(env Env) {
	p.workersBefore = make(map[model.WorkerID]uint64, len(env.Schedule.State.Workers))
	for id, w := range env.Schedule.State.Workers {
		if w.Host != "" {
			p.workersBefore[id] = w.Incarnation
		}
	}
}

// departEnded proposes the removal of workers that have ended according to a complete list:
// those known before its read began whose host is being moved or maintained, or has
// another worker now, by an entry that is evidence. An order of an earlier leader that was
// carried out late ends the runs of a worker that this leader uses; without the list they
// would be waited for until the longest lease has ended, and again after each change of
// leader.
func (p *Planner) departEnded(env Env, out *Out) {
	for _, id := range model.SortedKeys(p.workersBefore) {
		w := env.Schedule.State.Workers[id]
		if w == nil || w.Incarnation != p.workersBefore[id] {
			continue
		}
		if listed, known := p.incoming[w.Host]; known && listed.isEvidence() && hasEnded(id, &listed.Host) {
			out.Proposals = append(out.Proposals, jobs.Command{Depart: &jobs.Depart{Worker: id, Incarnation: w.Incarnation, Ended: true}})
		}
	}
	p.workersBefore = nil
}

// hasEnded reports whether a worker has ended, given its host in a list. A host that is
// down may only be out of reach.
func hasEnded(id model.WorkerID, listed *order.Host) bool {
	switch listed.State {
	case order.HostMoving, order.HostMaintenance:
		return true
	case order.HostUp:
		return listed.Worker != "" && listed.Worker != id
	}
	return false
}
