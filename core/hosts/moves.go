package hosts

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// advanceMoves orders the moves that the sizes of the pools ask for, and repeats
// orders without an answer.
func (p *Planner) advanceMoves(env Env, out *Out) {
	now := env.Schedule.Now
	if env.Schedule.State.Config == nil {
		return
	}
	for _, id := range model.SortedKeys(p.hosts) {
		h := p.hosts[id]
		if h.moveTo == "" {
			continue
		}
		if h.callOut && now > h.callEnd {
			h.callOut, h.retryAt = false, now
		}
		if !h.callOut && now >= h.retryAt {
			p.orderMove(env, out, h, " again")
		}
	}
	pools := p.pools(env)
	for _, m := range moves(pools, func(id model.ServiceID) bool { return p.maySwitchOff(now, id) }) {
		m.host.moveTo = m.to
		p.orderMove(env, out, m.host, m.reason)
	}
	p.noteExcess(now, pools)
}

// pools describes every pool of the configuration that has hosts, or could.
func (p *Planner) pools(env Env) []*pool {
	byID := make(map[model.ServiceID]*pool)
	var list []*pool
	for _, id := range model.SortedKeys(env.Schedule.State.Config.Services) {
		service := env.Schedule.State.Config.Services[id]
		byID[id] = &pool{id: id, standby: service.Standby, demand: env.Scheduler.Demand(env.Schedule, id)}
		list = append(list, byID[id])
	}
	largest := int64(0)
	for _, id := range model.SortedKeys(p.hosts) {
		h := p.hosts[id]
		largest = max(largest, h.Capacity.MilliCPU)
		at := h.Pool
		if h.moveTo != "" {
			at = h.moveTo
		}
		pl := byID[at]
		if pl == nil {
			continue
		}
		switch {
		case h.wave != 0 || h.State == order.HostDown || h.State == order.HostMaintenance:
			continue // the pool can't use it now
		case env.Schedule.State.Out[h.DataCentre]:
			continue
		}
		pl.hosts++
		if p.isIdle(env, h, pl) {
			pl.idle = append(pl.idle, h)
		}
	}
	for _, pl := range list {
		pl.capacity = largest
	}
	return list
}

// isIdle reports whether a host may be moved away at once.
func (p *Planner) isIdle(env Env, h *host, pl *pool) bool {
	if h.moveTo != "" || h.wave != 0 || h.callOut || h.State != order.HostUp || env.Schedule.Now < h.downBy {
		return false
	}
	return pl.standby || env.Scheduler.Load(h.ID) == 0 && env.Schedule.Now.Sub(h.arrivedAt) >= settleTime
}

// noteExcess keeps since when each pool has had more hosts than it needs.
func (p *Planner) noteExcess(now model.Time, pools []*pool) {
	for _, pl := range pools {
		if pl.hosts <= pl.wanted() {
			delete(p.excess, pl.id)
		} else if _, known := p.excess[pl.id]; !known {
			p.excess[pl.id] = now
		}
	}
}

func (p *Planner) maySwitchOff(now model.Time, id model.ServiceID) bool {
	since, known := p.excess[id]
	return known && now.Sub(since) >= shedAfter
}

func (p *Planner) orderMove(env Env, out *Out, h *host, reason string) {
	h.callOut, h.callEnd = true, env.Schedule.Now.Add(callTimeout)
	out.Effects = append(out.Effects, p.call(env, order.HostCall{Move: &order.Move{Host: h.ID, Pool: h.moveTo}}))
	out.log(effect.HostOrdered, effect.Log{Host: h.ID, Detail: "from pool " + string(h.Pool) + " to " + string(h.moveTo) + reason})
}

// moved handles the answer to an order to move.
func (p *Planner) moved(env Env, out *Out, r *order.HostReply) {
	h := p.hosts[r.Call.Move.Host]
	if h == nil || !h.callOut || h.moveTo != r.Call.Move.Pool {
		return
	}
	now := env.Schedule.Now
	h.callOut = false
	switch r.Status {
	case order.HostAccepted:
		p.departs(env, out, h)
		h.Pool, h.State, h.moveTo = r.Call.Move.Pool, order.HostMoving, ""
		h.changedAt, h.arrivedAt = now, now.Add(env.Schedule.Bounds.Move)
		h.downBy = now.Add(env.Schedule.Bounds.Move + returnMargin)
	case order.HostBusy, order.HostUnknown, order.HostFenced:
		h.moveTo = ""
		h.downBy = now.Add(retryTime)
		out.log(effect.HostCallFailed, effect.Log{Host: h.ID, Detail: "move: " + string(r.Status)})
	default:
		h.retryAt = now.Add(retryTime)
		out.log(effect.HostCallFailed, effect.Log{Host: h.ID, Detail: "move: " + string(r.Status) + " " + r.Detail})
	}
	p.listAt = min(p.listAt, now.Add(listInterval))
}

// departs removes the worker of a host that was ordered elsewhere: another life
// of it announces itself afterwards.
func (p *Planner) departs(env Env, out *Out, h *host) {
	for _, id := range model.SortedKeys(env.Schedule.State.Workers) {
		w := env.Schedule.State.Workers[id]
		if w.Host == h.ID {
			out.Proposals = append(out.Proposals, jobs.Command{Depart: &jobs.Depart{Worker: id, Life: w.Life}})
		}
	}
}
