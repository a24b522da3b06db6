package replay

import (
	"slices"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// hostChange is the drain and reboot by which a host got the image of a wave.
type hostChange struct {
	pool     model.PoolID
	possible model.Time // when the host was there and had another image, at first or after a loss
	began    model.Time
	took     model.Duration // of the drain and reboot that ended with the image, or zero
}

// poolRollOut is the number of hosts of a pool that could be in drains and reboots
// at each look: its budget less the lost hosts, and no fewer than there were,
// because what is under way goes on when a loss uses up the budget.
type poolRollOut struct {
	at   []model.Time
	free []int
}

// lookAtChanges notes the progress of hosts that wait for the image of a wave.
func (e *engine) lookAtChanges(f *fleet.State) {
	b := e.books.hosts
	images := make(map[model.PoolID]string)
	for _, wave := range e.rules.Waves {
		for _, pool := range wave.Pools {
			images[pool] = wave.Image
		}
	}
	lost, under := make(map[model.PoolID]int), make(map[model.PoolID]int)
	for _, id := range model.SortedKeys(f.Hosts) {
		host := f.Hosts[id]
		if image, inWave := images[host.Pool]; inWave {
			b.noteChange(e.now, id, host, image)
		}
		switch {
		case host.Phase != fleet.HostServing:
			under[host.Pool]++
		case !host.Up:
			lost[host.Pool]++
		}
	}
	for pool := range images {
		if b.rollout[pool] == nil {
			b.rollout[pool] = &poolRollOut{}
		}
		p := b.rollout[pool]
		p.at = append(p.at, e.now)
		p.free = append(p.free, max(under[pool], e.rules.Pools[pool].UnavailableMax-lost[pool]))
	}
}

func (b *hostBooks) noteChange(now model.Time, id model.HostID, host fleet.Host, image string) {
	c := b.changes[id]
	if c == nil {
		if host.Image == image {
			return
		}
		c = &hostChange{pool: host.Pool, possible: now}
		b.changes[id] = c
	}
	switch {
	case c.took != 0:
	case host.Phase == fleet.HostServing && host.Image == image && c.began != 0:
		c.took = now.Sub(c.began)
	case host.Phase == fleet.HostServing:
		c.began = 0
		if !host.Up {
			c.possible = now
		}
	case c.began == 0:
		c.began = now
	}
}

// shortestRollOut returns the earliest end of the waves that the budgets allow:
// no order of the same drains and reboots ends before it. For each pool it is
// the first time at which the budget, less the lost hosts at each moment, adds
// up to the time that all drains and reboots took together; and no host can be
// ready before the time from which it could be drained plus the time that took.
// Drains count as long as they were.
func (b *hostBooks) shortestRollOut(began model.Time) model.Time {
	end := began
	for _, pool := range model.SortedKeys(b.rollout) {
		work := model.Duration(0)
		for _, c := range b.changes {
			if c.pool == pool && c.took != 0 {
				work += c.took
				end = max(end, c.possible.Add(c.took))
			}
		}
		end = max(end, b.rollout[pool].done(began, work))
	}
	return end
}

// done returns when the budget has added up to the work from a time on.
func (p *poolRollOut) done(from model.Time, work model.Duration) model.Time {
	first, _ := slices.BinarySearch(p.at, from)
	for i := first; i < len(p.at) && work > 0; i++ {
		step := p.at[i].Sub(from)
		if can := step * model.Duration(p.free[i]); can < work {
			work -= can
			from = p.at[i]
			continue
		}
		return from.Add(work / model.Duration(p.free[i]))
	}
	return from
}
