package hosts

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

// drainTime is the time allowed for the runs of a host to end. A task that takes several
// times as long as is usual for its type still ends in it.
const drainTime = 8 * model.Second

// minListInterval is the minimum time between two reads of the host list.
const minListInterval = 500 * model.Millisecond

// wavePace spreads the selection of the hosts of a wave over the time until it is due.
// It handles a wave over half of the fleet while bursts keep every pool busy: hosts that
// pools can spare are rare then, and if the others were all selected shortly before the
// due time, the hosts with the longest runs would be late and all pools short of hosts.
type wavePace struct {
	at     model.Time // of the latest update
	credit float64    // hosts that may be selected although their pools can't spare them
}

// advance adds the credit for the time since the latest update: the remaining hosts
// spread evenly over the time that is left to select them.
func (c *wavePace) advance(now model.Time, left model.Duration, remaining int) {
	elapsed := now.Sub(c.at)
	first := c.at == 0
	c.at = now
	switch {
	case left <= 0:
		c.credit = float64(remaining)
	case !first && elapsed > 0:
		c.credit += float64(remaining) * min(1, elapsed.Seconds()/left.Seconds())
	}
}

// selectionTime returns the time that is left to select the remaining hosts of a wave,
// so that each of them can be drained and wait for its turn under the cap.
func selectionTime(env Env, w *jobs.Wave, remaining int) model.Duration {
	rounds := model.Duration((remaining - 1) / max(1, w.Cap))
	round := env.Schedule.Bounds.Maintenance + returnMargin + listInterval
	return w.Due.Sub(env.Schedule.Clock) - drainTime - rounds*round
}

// selectAhead selects the hosts to be drained now. A host that is switched off, or idle
// in a pool that can spare it, costs nothing and is taken as soon as the cap allows its
// maintenance. A host with nothing but long-running tasks serves them until they have a
// place elsewhere, and its pool gets another host for that; in each pool so many of them
// are drained at one time that the last one is in time. The others are taken evenly over
// the time until the wave is due.
func (p *Planner) selectAhead(env Env, out *Out, id uint64, w *jobs.Wave, due []*host, down int) {
	spare := p.spareHosts(env)
	ready, draining := 0, 0
	longRunning, moving := make(map[model.ServiceID]int), make(map[model.ServiceID]int)
	var candidates []*host
	for _, h := range due {
		h.pendingRuns = env.Scheduler.PendingRuns(h.ID)
		h.longRunning = h.pendingRuns > 0 && env.Scheduler.OnlyLongRunning(h.ID)
		if h.longRunning {
			longRunning[h.Pool]++
		}
		switch {
		case h.wave == id && h.pendingRuns == 0:
			if !h.orderPending {
				ready++
			}
		case h.wave == id && h.longRunning:
			moving[h.Pool]++
		case h.wave == id:
			draining++
		case h.wave == 0 && h.moveTo == "" && !h.callPending && h.State == order.HostUp:
			candidates = append(candidates, h)
		}
	}
	slices.SortStableFunc(due, func(a, b *host) int { return a.pendingRuns - b.pendingRuns })
	slices.SortStableFunc(candidates, func(a, b *host) int { return a.pendingRuns - b.pendingRuns })
	pace := p.paces[id]
	if pace == nil {
		pace = &wavePace{}
		p.paces[id] = pace
	}
	pace.advance(env.Schedule.Now, selectionTime(env, w, len(due)), len(candidates))
	for _, h := range candidates {
		// Hosts whose long-running tasks wait for a place elsewhere don't count: they
		// would keep the others from using the cap.
		switch {
		case h.longRunning:
			if moving[h.Pool] >= inProgress(longRunning[h.Pool], w.Due.Sub(env.Schedule.Clock)-drainTime) {
				continue
			}
			moving[h.Pool]++
		case h.pendingRuns == 0 && spare[h.Pool] > 0:
			// It can serve its pool until its maintenance may begin.
			if down+ready >= w.Cap {
				continue
			}
			ready++
		default:
			if draining > w.Cap || pace.credit < 1 {
				continue
			}
			pace.credit--
			draining++
		}
		spare[h.Pool]--
		h.wave = id
		out.log(effect.WaveBegun, effect.Log{Host: h.ID, Index: id, Count: len(due), Detail: "gets no new runs"})
	}
}

// inProgress returns how many of the remaining hosts must be drained at one time so that
// the last of them begins when the given time has passed.
func inProgress(remaining int, left model.Duration) int {
	if left <= drainTime {
		return remaining
	}
	return int((model.Duration(remaining)*drainTime-1)/left) + 1
}

// sortDueLast sorts the hosts that are due for maintenance behind the others. One that
// joins another pool has to be drained there.
func sortDueLast(list []*host, due map[model.HostID]bool) {
	slices.SortStableFunc(list, func(a, b *host) int { return compareBool(due[a.ID], due[b.ID]) })
}

// hastenList lets the next list be read as soon as a host of a wave is expected to be up
// again. Until a list shows it, it takes a place under the cap, or can't be selected.
func (p *Planner) hastenList(now model.Time, h *host) {
	if (h.State == order.HostMaintenance || h.State == order.HostMoving) && h.downUntil != 0 {
		p.nextListAt = min(p.nextListAt, max(h.downUntil, p.listSince.Add(minListInterval)))
	}
}

// spareHosts returns the number of hosts that each pool can spare.
func (p *Planner) spareHosts(env Env) map[model.ServiceID]int {
	spare := make(map[model.ServiceID]int)
	pools := p.collectPools(env)
	setTargets(pools)
	for _, pl := range pools {
		spare[pl.id] = -pl.shortage()
		if pl.standby {
			spare[pl.id] = pl.hosts
		}
	}
	return spare
}

// isPlanned reports whether waves are planned ahead of their due time.
func isPlanned(env Env) bool { return env.Schedule.Bounds.Enabled(schedule.WavePlanning) }
