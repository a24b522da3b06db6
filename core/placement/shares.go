package placement

import (
	"primrosedale.example/primrosedale/core/model"
)

// SharePolicy selects how the tasks of a team count against its share. Processes use
// the zero value; the other policies exist for comparison in replays.
type SharePolicy struct {
	ByUnits      bool // count running requests and tasks, regardless of their size
	NoPreemption bool // do not reclaim lent capacity
}

// minShare replaces a share of zero, which ranks a team after all others.
const minShare = 0.01

// load returns the running work of a team relative to its share. When measured by
// resources it is the dominant share of the team's tasks. Requests do not count then:
// they use slots of targets, and a team that gets fewer workers frees none of those.
func (p *Placer) load(env Env, id model.TeamID, running int) float64 {
	share := max(p.rules.Teams[id].Share, minShare)
	if env.Shares.ByUnits {
		return float64(running) / share
	}
	return dominantShare(p.team(id).used, p.total) / share
}

// dominantShare returns the largest fraction of any resource of total that is used.
func dominantShare(used, total model.Resources) float64 {
	return max(
		fraction(used.MilliCPU, total.MilliCPU),
		fraction(used.MemoryMB, total.MemoryMB),
		fraction(used.Accelerators, total.Accelerators),
	)
}

func fraction(used, total int64) float64 {
	if used <= 0 {
		return 0
	}
	return float64(used) / float64(max(total, used))
}

// updateUsage changes the resources that the tasks of a team use. A team whose usage
// decreases is ranked again in all pools, because only the team at the head of a pool
// is ranked again before use.
func (p *Placer) updateUsage(env Env, id model.TeamID, before, now model.Resources) {
	t := p.team(id)
	t.used = t.used.Sub(before).Add(now)
	if now.Fits(before) && now != before {
		for _, tq := range t.queues {
			p.rankTeam(env, tq)
		}
	}
}

// allocations returns the usage and entitlement of each team with unfinished tasks.
func (p *Placer) allocations() allocations {
	s := allocations{total: p.total, teams: make(map[model.TeamID]teamAllocation)}
	shares, running := 0.0, 0.0
	for _, id := range model.SortedKeys(p.teams) {
		t := p.teams[id]
		if t.unfinished == 0 {
			continue
		}
		share := max(p.rules.Teams[id].Share, minShare)
		s.teams[id] = teamAllocation{used: t.used, share: share}
		shares += share
		running += dominantShare(t.used, p.total)
	}
	for id, t := range s.teams {
		t.entitlement = running * t.share / shares
		s.teams[id] = t
	}
	return s
}
