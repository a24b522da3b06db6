package replay

import (
	"slices"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// hostChange is the drain and reboot by which a host got the image of a wave.
type hostChange struct {
	pool          model.PoolID
	availableFrom model.Time // when the host was there and had another image, at first or after a loss
	startedAt     model.Time
	duration      model.Duration // of the drain and reboot that ended with the image, or zero
}

// poolRollout is the number of hosts of a pool that could be in drains and reboots
// at each look: its budget less the lost hosts, and no fewer than there were,
// because what is under way goes on when a loss uses up the budget.
type poolRollout struct {
	times   []model.Time
	budgets []int
}

// sampleHostChanges notes the progress of hosts that wait for the image of a wave.
func (e *engine) sampleHostChanges(f *fleet.State) {
	obs := e.obs.hosts
	images := make(map[model.PoolID]string)
	for _, wave := range e.rules.Waves {
		for _, pool := range wave.Pools {
			images[pool] = wave.Image
		}
	}
	lost, inProgress := make(map[model.PoolID]int), make(map[model.PoolID]int)
	for _, id := range model.SortedKeys(f.Hosts) {
		host := f.Hosts[id]
		if image, inWave := images[host.Pool]; inWave {
			obs.updateChange(e.now, id, host, image)
		}
		switch {
		case host.Phase != fleet.HostServing:
			inProgress[host.Pool]++
		case !host.Up:
			lost[host.Pool]++
		}
	}
	for pool := range images {
		if obs.rollout[pool] == nil {
			obs.rollout[pool] = &poolRollout{}
		}
		p := obs.rollout[pool]
		p.times = append(p.times, e.now)
		p.budgets = append(p.budgets, max(inProgress[pool], e.rules.Pools[pool].UnavailableMax-lost[pool]))
	}
}

func (obs *hostObservations) updateChange(now model.Time, id model.HostID, host fleet.Host, image string) {
	c := obs.changes[id]
	if c == nil {
		if host.Image == image {
			return
		}
		c = &hostChange{pool: host.Pool, availableFrom: now}
		obs.changes[id] = c
	}
	switch {
	case c.duration != 0:
	case host.Phase == fleet.HostServing && host.Image == image && c.startedAt != 0:
		c.duration = now.Sub(c.startedAt)
	case host.Phase == fleet.HostServing:
		c.startedAt = 0
		if !host.Up {
			c.availableFrom = now
		}
	case c.startedAt == 0:
		c.startedAt = now
	}
}

// earliestRolloutEnd returns the earliest end of the waves that the budgets allow:
// no order of the same drains and reboots ends before it. For each pool it is
// the first time at which the budget, less the lost hosts at each moment, adds
// up to the time that all drains and reboots took together; and no host can be
// ready before the time from which it could be drained plus the time that took.
// Drains count as long as they were.
func (obs *hostObservations) earliestRolloutEnd(began model.Time) model.Time {
	end := began
	for _, pool := range model.SortedKeys(obs.rollout) {
		work := model.Duration(0)
		for _, c := range obs.changes {
			if c.pool == pool && c.duration != 0 {
				work += c.duration
				end = max(end, c.availableFrom.Add(c.duration))
			}
		}
		end = max(end, obs.rollout[pool].finishTime(began, work))
	}
	return end
}

// finishTime returns when the budget has added up to the work from a time on.
func (p *poolRollout) finishTime(from model.Time, work model.Duration) model.Time {
	first, _ := slices.BinarySearch(p.times, from)
	for i := first; i < len(p.times) && work > 0; i++ {
		step := p.times[i].Sub(from)
		if can := step * model.Duration(p.budgets[i]); can < work {
			work -= can
			from = p.times[i]
			continue
		}
		return from.Add(work / model.Duration(p.budgets[i]))
	}
	return from
}
