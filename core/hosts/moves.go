package hosts

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

// advanceMoves orders the moves that the desired sizes of the pools require, and
// repeats orders that were not answered.
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
		if h.callPending && now > h.callDeadline {
			h.callPending, h.retryAt = false, now
		}
		if !h.callPending && now >= h.retryAt && p.allowMove(env, h.moveTo) {
			p.orderMove(env, out, h, " again")
		}
	}
	pools := p.collectPools(env)
	for _, m := range planMoves(pools, func(id model.ServiceID) bool { return p.maySwitchOff(now, id) }) {
		if !p.allowMove(env, m.to) {
			undoMove(pools, m) // planned again at the next tick
			continue
		}
		m.host.moveTo, m.host.orderedWorkers = m.to, workersOn(env, m.host.ID)
		p.orderMove(env, out, m.host, m.reason)
	}
	p.updateExcess(now, pools)
	p.releaseHosts(env, out, pools)
	env.Scheduler.SetForecasts(p.forecasts(env, pools))
}

// collectPools returns the current state of every pool of the configuration. There is none
// before the first one, which a wave may precede.
func (p *Planner) collectPools(env Env) []*pool {
	if env.Schedule.State.Config == nil {
		return nil
	}
	byID := make(map[model.ServiceID]*pool)
	var list []*pool
	for _, id := range model.SortedKeys(env.Schedule.State.Config.Services) {
		service := env.Schedule.State.Config.Services[id]
		byID[id] = &pool{id: id, standby: service.Standby, demand: env.Scheduler.Demand(env.Schedule, id)}
		list = append(list, byID[id])
	}
	var due map[model.HostID]bool
	if isPlanned(env) {
		due = p.hostsDueForMaintenance(env)
	}
	var largest model.Resources
	for _, id := range model.SortedKeys(p.hosts) {
		h := p.hosts[id]
		id := h.Pool
		if h.moveTo != "" {
			id = h.moveTo
		}
		pl := byID[id]
		if pl == nil {
			continue // other software may have listed it
		}
		largest = largest.Max(h.Capacity)
		switch {
		case h.wave != 0 || h.State == order.HostDown || h.State == order.HostMaintenance:
			continue // not usable at present
		case env.Schedule.State.OutOfService[h.DataCentre]:
			continue
		}
		pl.hosts++
		switch {
		case p.isIdle(env, h, pl):
			pl.idle = append(pl.idle, h)
		case h.moveTo != "" || h.State == order.HostMoving || env.Schedule.Now < h.downUntil:
			pl.incoming = append(pl.incoming, h)
		case !pl.standby && h.State == order.HostUp && env.Schedule.Now.Sub(h.moveEndAt) >= minPoolStay:
			pl.busy = append(pl.busy, h)
		}
	}
	for _, pl := range list {
		pl.capacity = largest
		if len(due) > 0 {
			sortDueLast(pl.idle, due)
		}
	}
	return list
}

// isIdle reports whether a host may be moved to another pool now.
func (p *Planner) isIdle(env Env, h *host, pl *pool) bool {
	if h.moveTo != "" || h.wave != 0 || h.callPending || h.State != order.HostUp || env.Schedule.Now < h.downUntil {
		return false
	}
	return pl.standby || env.Scheduler.PendingRuns(h.ID) == 0 && env.Schedule.Now.Sub(h.moveEndAt) >= minPoolStay
}

// updateExcess records since when each pool has had more hosts than it should have.
func (p *Planner) updateExcess(now model.Time, pools []*pool) {
	for _, pl := range pools {
		if pl.shortage() >= 0 {
			delete(p.excessSince, pl.id)
		} else if _, known := p.excessSince[pl.id]; !known {
			p.excessSince[pl.id] = now
		}
	}
}

func (p *Planner) maySwitchOff(now model.Time, id model.ServiceID) bool {
	since, known := p.excessSince[id]
	return known && now.Sub(since) >= switchOffDelay
}

// undoMove restores the numbers of hosts of the pools that a planned move has changed.
func undoMove(pools []*pool, m move) {
	for _, pl := range pools {
		switch {
		case pl.id == m.host.Pool:
			pl.hosts++
		case pl.id == m.to && !pl.standby: // planMoves does not add to standby pools
			pl.hosts--
		}
	}
}

// allowMove reports whether a host may be ordered to a pool now. No host is switched off
// while this process is short of processor time.
func (p *Planner) allowMove(env Env, to model.ServiceID) bool {
	if !env.Schedule.Bounds.Enabled(schedule.OrderLimits) {
		return true
	}
	switchesOff := env.Schedule.State.Config.Services[to].Standby
	if switchesOff && env.Scheduler.IsOverloaded(env.Schedule) {
		return false
	}
	return p.orderLimits.allowMove(env.Schedule.Now, switchesOff)
}

func (p *Planner) orderMove(env Env, out *Out, h *host, reason string) {
	call := p.call(env, order.HostCall{Move: &order.Move{Host: h.ID, Pool: h.moveTo}})
	h.callPending, h.callSeq, h.callDeadline = true, call.Call.Seq, env.Schedule.Now.Add(callTimeout)
	out.Effects = append(out.Effects, call)
	out.log(effect.HostOrdered, effect.Log{Host: h.ID, Detail: "from pool " + string(h.Pool) + " to " + string(h.moveTo) + reason})
}

// handleMoveReply handles the answer to a move order.
func (p *Planner) handleMoveReply(env Env, out *Out, r *order.HostReply) {
	h := p.hosts[r.Call.Move.Host]
	if h == nil || !h.callPending || h.callSeq != r.Call.Seq {
		return
	}
	now := env.Schedule.Now
	h.callPending = false
	switch r.Status {
	case order.HostAccepted:
		h.proposeDepartures(out)
		h.Pool, h.State, h.moveTo, h.releasedUntil = r.Call.Move.Pool, order.HostMoving, "", 0
		h.acceptedAt, h.moveEndAt = now, now.Add(env.Schedule.Bounds.Move)
		h.downUntil = now.Add(env.Schedule.Bounds.Move + returnMargin)
	case order.HostBusy, order.HostUnknown, order.HostFenced:
		h.moveTo = ""
		h.downUntil = now.Add(retryTime)
		out.log(effect.HostCallFailed, effect.Log{Host: h.ID, Detail: "move: " + string(r.Status)})
	default:
		h.retryAt = now.Add(retryTime)
		out.log(effect.HostCallFailed, effect.Log{Host: h.ID, Detail: "move: " + string(r.Status) + " " + r.Detail})
	}
	p.nextListAt = min(p.nextListAt, now.Add(listInterval))
}

// workersOn returns the workers on a host, which a move or maintenance of it ends.
func workersOn(env Env, id model.HostID) []jobs.Depart {
	var list []jobs.Depart
	for _, worker := range model.SortedKeys(env.Schedule.State.Workers) {
		if w := env.Schedule.State.Workers[worker]; w.Host == id {
			list = append(list, jobs.Depart{Worker: worker, Incarnation: w.Incarnation, Ended: true})
		}
	}
	return list
}

// proposeDepartures proposes the removal of the workers that an accepted order has
// ended: those that were on the host when the order was given. A worker that was
// announced later keeps running. For an order of an earlier leader it is not known
// which workers were there, so that none is removed.
func (h *host) proposeDepartures(out *Out) {
	for i := range h.orderedWorkers {
		out.Proposals = append(out.Proposals, jobs.Command{Depart: &h.orderedWorkers[i]})
	}
	h.orderedWorkers = nil
}
