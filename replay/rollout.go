package replay

import (
	"slices"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// hostChange is the drain and reboot by which a host gets the image of a wave.
type hostChange struct {
	pool          model.PoolID
	availableFrom model.Time // when the host was first seen with another image, or was last seen lost before the drain
	startedAt     model.Time
	duration      model.Duration // of the drain and reboot that ended with the image; zero before that
}

// poolRollout holds, for each sample, how many hosts of a pool could be in drains and
// reboots: its budget less the lost hosts. It is at least the number that were in
// drains and reboots, because these continue when a loss uses up the budget.
type poolRollout struct {
	times   []model.Time
	budgets []int
}

// sampleHostChanges records the progress of hosts towards the image of their wave.
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

// earliestRolloutEnd returns a lower bound of the end of the waves under the budgets:
// no order of the same drains and reboots ends before it. The bound of a pool is the
// first time at which the integral of its budget, less the lost hosts, reaches the
// total duration of all drains and reboots. In addition, no host is ready before it
// was available for its drain plus the duration of its drain and reboot. Drains count
// with the duration that they had in the replay.
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

// finishTime returns the time at which the integral of the budget over time, from the
// given start, reaches the work.
func (p *poolRollout) finishTime(from model.Time, work model.Duration) model.Time {
	first, _ := slices.BinarySearch(p.times, from)
	for i := first; i < len(p.times) && work > 0; i++ {
		step := p.times[i].Sub(from)
		if available := step * model.Duration(p.budgets[i]); available < work {
			work -= available
			from = p.times[i]
			continue
		}
		return from.Add(work / model.Duration(p.budgets[i]))
	}
	return from
}
