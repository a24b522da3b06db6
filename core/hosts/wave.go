package hosts

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// waveRoundTime is the approximate time to drain and maintain as many hosts at once
// as the cap of a wave allows.
const waveRoundTime = 4 * model.Second

func openWaves(s *jobs.State) []uint64 {
	var list []uint64
	for _, id := range model.SortedKeys(s.Waves) {
		if !s.Waves[id].Closed {
			list = append(list, id)
		}
	}
	return list
}

// noteWaves records when this leader first saw each open wave.
func (p *Planner) noteWaves(env Env, waves []uint64) {
	for _, id := range waves {
		if _, seen := p.wavesSince[id]; !seen {
			p.wavesSince[id] = env.Schedule.Now
			if isPlanned(env) {
				p.nextListAt = env.Schedule.Now // the latest list may be old
			}
		}
	}
}

// advanceWave continues one wave: it orders the maintenance of drained hosts as far
// as the cap allows, and selects the next hosts to be drained.
func (p *Planner) advanceWave(env Env, out *Out, id uint64, w *jobs.Wave) {
	now := env.Schedule.Now
	mayBeMissing := p.mayBeMissing(id)
	down, remaining := 0, 0
	var due []*host
	for _, hostID := range w.Hosts {
		h := p.hosts[hostID]
		accepted, ordered := w.Ordered[hostID]
		if h == nil && mayBeMissing {
			if ordered {
				down++
			}
			if !accepted {
				remaining++
			}
			continue
		}
		if h == nil {
			continue // it has left the fleet
		}
		if ordered && !accepted && h.wave == 0 && !h.acceptPending {
			h.wave, h.orderPending = id, true // ordered by an earlier leader
		}
		if isPlanned(env) {
			p.hastenList(now, h)
		}
		if h.orderPending || ordered && (h.State != order.HostUp || now < h.downUntil) {
			down++
		}
		if accepted {
			continue
		}
		remaining++
		due = append(due, h)
	}
	if remaining == 0 && p.listKnown {
		delete(p.paces, id)
		for _, hostID := range w.Hosts {
			delete(p.waits, hostID)
		}
		out.Proposals = append(out.Proposals, jobs.Command{CloseWave: &jobs.CloseWave{Wave: id}})
		return
	}
	if isPlanned(env) {
		p.selectAhead(env, out, id, w, due, down)
	} else {
		p.selectForWave(env, out, id, w, due)
	}
	if now.Sub(p.termStart) < takeoverDelay {
		p.logWaits(env, out, id, w, false)
		return
	}
	// Long-running tasks are moved off one after another, so this starts early. The
	// hosts still get other work meanwhile.
	ids := make([]model.HostID, len(due))
	for i, h := range due {
		ids[i] = h.ID
	}
	env.Scheduler.DrainHosts(env.Schedule, &out.Schedule, ids...)
	for _, h := range due {
		if h.wave == id {
			down += p.advanceHost(env, out, id, h, down < w.Cap)
		}
	}
	p.logWaits(env, out, id, w, down >= w.Cap)
}

// mayBeMissing reports whether a host of a wave that is not known may be in the fleet. A
// host that is missing from a list which was read before the wave began may have joined
// since, and one missing from a partial list may have an entry that could not be parsed.
func (p *Planner) mayBeMissing(id uint64) bool {
	return p.listPartial || p.listSince < p.wavesSince[id]
}

// selectForWave selects the hosts to be drained now. A host that is switched off, or
// idle in a pool that can spare it, can be maintained at no cost. A host that runs
// only long-running tasks is drained while its pool can spare it. Other hosts wait
// until the remaining time is needed to maintain them.
func (p *Planner) selectForWave(env Env, out *Out, id uint64, w *jobs.Wave, due []*host) {
	spare := p.spareHosts(env)
	selected := 0
	for _, h := range due {
		if h.wave == id {
			selected++
		}
	}
	for _, h := range due {
		h.pendingRuns = env.Scheduler.PendingRuns(h.ID)
	}
	slices.SortStableFunc(due, func(a, b *host) int { return a.pendingRuns - b.pendingRuns })
	urgent := isUrgent(env.Schedule.Clock, w, len(due))
	for _, h := range due {
		if selected >= w.Cap+1 {
			return
		}
		if h.wave != 0 || h.moveTo != "" || h.callPending || h.State != order.HostUp {
			continue
		}
		cheap := h.pendingRuns == 0 || env.Scheduler.OnlyLongRunning(h.ID)
		if !urgent && (!cheap || spare[h.Pool] <= 0) {
			continue
		}
		spare[h.Pool]--
		selected++
		h.wave = id
		out.log(effect.WaveBegun, effect.Log{Host: h.ID, Index: id, Count: len(due), Detail: "gets no new runs"})
	}
}

// isUrgent reports whether the maintenance of the remaining hosts needs all the time
// until the wave is due.
func isUrgent(now model.Time, w *jobs.Wave, remaining int) bool {
	rounds := remaining
	if w.Cap > 1 {
		rounds = (remaining-1)/w.Cap + 1
	}
	return now.Add(model.Duration(rounds+1)*waveRoundTime) >= w.Due
}

// hostsDueForMaintenance returns the hosts that are still to be maintained.
// The scheduler prefers other hosts for long-running tasks.
func (p *Planner) hostsDueForMaintenance(env Env) map[model.HostID]bool {
	hosts := make(map[model.HostID]bool)
	for _, id := range openWaves(env.Schedule.State) {
		w := env.Schedule.State.Waves[id]
		for _, h := range w.Hosts {
			if !w.Ordered[h] {
				hosts[h] = true
			}
		}
	}
	return hosts
}

// advanceHost orders the maintenance of a host once it is drained. It returns 1 if the
// host was added to those that are down, otherwise 0.
func (p *Planner) advanceHost(env Env, out *Out, id uint64, h *host, mayGoDown bool) int {
	now := env.Schedule.Now
	if h.callPending && now > h.callDeadline {
		h.callPending, h.retryAt = false, now
	}
	if h.callPending || h.recordPending || now < h.retryAt {
		return 0
	}
	if h.orderPending {
		// The order of an earlier leader may have been executed. Then another worker
		// runs on the host already, and its runs have to end first.
		if env.Scheduler.PendingRuns(h.ID) > 0 {
			return 0
		}
		p.orderMaintenance(env, out, id, h)
		return 0
	}
	if h.State != order.HostUp || !mayGoDown {
		return 0
	}
	if env.Scheduler.PendingRuns(h.ID) > 0 {
		return 0
	}
	h.orderPending, h.recordPending, h.orderedWorkers = true, true, workersOn(env, h.ID)
	out.Proposals = append(out.Proposals, jobs.Command{Maintain: &jobs.Maintain{Wave: id, Host: h.ID}})
	return 1
}

// Committed orders a maintenance once the record of the order is committed.
func (p *Planner) Committed(env Env, out *Out, c *jobs.Command) {
	if c.Maintain == nil {
		return
	}
	switch h := p.hosts[c.Maintain.Host]; {
	case h == nil:
	case c.Maintain.Accepted:
		h.acceptPending = false
	case h.recordPending:
		h.recordPending = false
		p.orderMaintenance(env, out, c.Maintain.Wave, h)
	}
}

// hostsWithPendingOrder returns the hosts whose maintenance is ordered and not known
// to be accepted.
func hostsWithPendingOrder(s *jobs.State) map[model.HostID]bool {
	hosts := make(map[model.HostID]bool)
	for _, id := range openWaves(s) {
		for host, accepted := range s.Waves[id].Ordered {
			if !accepted {
				hosts[host] = true
			}
		}
	}
	return hosts
}

func (p *Planner) orderMaintenance(env Env, out *Out, id uint64, h *host) {
	call := p.call(env, order.HostCall{Maintain: &order.Maintain{Host: h.ID, Wave: id}})
	h.callPending, h.callSeq, h.callDeadline = true, call.Call.Seq, env.Schedule.Now.Add(callTimeout)
	p.orderLimits.countMaintenance(env.Schedule.Now)
	out.Effects = append(out.Effects, call)
	out.log(effect.HostOrdered, effect.Log{Host: h.ID, Index: id, Detail: "maintenance"})
}

func (p *Planner) handleMaintainReply(env Env, out *Out, r *order.HostReply) {
	h := p.hosts[r.Call.Maintain.Host]
	if h == nil || !h.callPending || h.callSeq != r.Call.Seq {
		return
	}
	now := env.Schedule.Now
	h.callPending = false
	switch r.Status {
	case order.HostAccepted:
		h.orderPending, h.wave, h.acceptPending = false, 0, true
		h.proposeDepartures(out)
		h.State = order.HostMaintenance
		h.acceptedAt = now
		h.downUntil = now.Add(env.Schedule.Bounds.Maintenance + returnMargin)
		out.Proposals = append(out.Proposals, jobs.Command{Maintain: &jobs.Maintain{
			Wave: r.Call.Maintain.Wave, Host: h.ID, Accepted: true,
		}})
	default:
		h.retryAt = now.Add(retryTime)
		out.log(effect.HostCallFailed, effect.Log{Host: h.ID, Index: r.Call.Maintain.Wave, Detail: string(r.Status) + " " + r.Detail})
	}
	p.nextListAt = min(p.nextListAt, now.Add(listInterval))
}
