package hosts

import (
	"cmp"
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule"
)

// maxReleaseTime is the longest predicted time until its runs have ended for which a
// host is released. Capacity that stands idle for longer is not worth a move.
const maxReleaseTime = 4 * model.Second

// releaseDelay is how long a pool must have had too many hosts before it releases some.
// The rate of arriving work varies from one moment to the next.
const releaseDelay = 300 * model.Millisecond

// releaseHold is the minimum time for which a host stays released. The work that waits
// changes with every job, and a host that got new runs would be idle much later.
const releaseHold = 500 * model.Millisecond

// release is a host that could be released.
type release struct {
	host   *host
	idleIn model.Duration // predicted time until its runs have ended
}

// releaseHosts selects the hosts that get no new runs, so that they can move to pools
// that are short of hosts. Pools above their target release those that are idle soonest.
// A host that was released before comes first, so that its idle capacity is not wasted.
func (p *Planner) releaseHosts(env Env, out *Out, pools []*pool) {
	now, shortage := env.Schedule.Now, 0
	for _, pl := range pools {
		if !pl.standby {
			shortage += max(0, pl.shortage())
		}
	}
	for _, pl := range sortedByShortage(pools) {
		if pl.standby {
			continue
		}
		list := p.releasable(env, pl, min(p.lastingExcess(now, pl), shortage))
		shortage -= len(list)
		for _, r := range list {
			if !r.host.isReleased(now) {
				out.log(effect.HostReleased, effect.Log{Host: r.host.ID, Detail: fmt.Sprintf(
					"of pool %s, which has %s, idle in %d ms", pl.id, pl.describe(), r.idleIn/model.Millisecond)})
			}
			r.host.releasedUntil = now.Add(releaseHold)
		}
	}
}

// lastingExcess returns the number of hosts that a pool has beyond its target, or 0 if it
// has not had too many for releaseDelay.
func (p *Planner) lastingExcess(now model.Time, pl *pool) int {
	since, known := p.excessSince[pl.id]
	if !known || now.Sub(since) < releaseDelay {
		return 0
	}
	return max(0, -pl.shortage())
}

// isReleased reports whether a host gets no new runs, so that it can move to another pool.
func (h *host) isReleased(now model.Time) bool { return now < h.releasedUntil }

// releasable returns up to n hosts of a pool to release.
func (p *Planner) releasable(env Env, pl *pool, n int) []release {
	if n == 0 {
		return nil
	}
	var list []release
	for _, h := range pl.busy {
		if idleIn, ends := env.Scheduler.TimeUntilIdle(env.Schedule, h.ID); ends && idleIn <= maxReleaseTime {
			list = append(list, release{h, idleIn})
		}
	}
	slices.SortStableFunc(list, func(a, b release) int {
		return cmp.Or(-compareBool(a.host.isReleased(env.Schedule.Now), b.host.isReleased(env.Schedule.Now)), cmp.Compare(a.idleIn, b.idleIn))
	})
	return list[:min(n, len(list))]
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// forecasts returns the capacity that hosts bring to their new pools, and whether the
// pools contend for hosts. Released hosts have no new pool yet; they are counted for the
// pools with the largest shortage.
func (p *Planner) forecasts(env Env, pools []*pool) map[model.ServiceID]schedule.Forecast {
	now, moveTime := env.Schedule.Now, env.Schedule.Bounds.Move+returnMargin
	incoming := make(map[model.ServiceID][]schedule.Incoming)
	var releases []release
	for _, pl := range pools {
		for _, h := range pl.incoming {
			at := now.Add(moveTime)
			if h.moveTo == "" {
				at = max(now, h.downUntil)
			}
			if !pl.standby {
				incoming[pl.id] = append(incoming[pl.id], schedule.Incoming{At: at, Capacity: h.Capacity})
			}
		}
		for _, h := range pl.busy {
			if h.isReleased(now) {
				idleIn, _ := env.Scheduler.TimeUntilIdle(env.Schedule, h.ID)
				releases = append(releases, release{h, max(0, idleIn)})
			}
		}
	}
	slices.SortStableFunc(releases, func(a, b release) int { return cmp.Compare(a.idleIn, b.idleIn) })
	for _, pl := range sortedByShortage(pools) {
		for n := pl.shortage(); n > 0 && len(releases) > 0 && !pl.standby; n-- {
			incoming[pl.id] = append(incoming[pl.id], schedule.Incoming{At: now.Add(releases[0].idleIn + moveTime), Capacity: releases[0].host.Capacity})
			releases = releases[1:]
		}
	}
	contended := isContended(pools)
	result := make(map[model.ServiceID]schedule.Forecast)
	for _, pl := range pools {
		list := incoming[pl.id]
		slices.SortStableFunc(list, func(a, b schedule.Incoming) int { return cmp.Compare(a.At, b.At) })
		result[pl.id] = schedule.Forecast{Incoming: list, Contended: contended}
	}
	return result
}
