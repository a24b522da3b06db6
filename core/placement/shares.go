package placement

import (
	"primrosedale.example/primrosedale/core/model"
)

// SharePolicy says how the tasks of a team count for its share. The zero value
// is the policy of processes; the others are kept to compare with in replays.
type SharePolicy struct {
	ByUnits      bool // running requests and tasks are counted, whatever their size
	NoPreemption bool // lent capacity is not taken back
}

// minShare stands for a share of zero, whose teams come after all others.
const minShare = 0.01

// load returns the running work of a team for its share. By resources it is the
// dominant share of its tasks. Requests do not count there: they run on targets,
// and a team that yields workers for them frees no slot.
func (p *Placer) load(env Env, id model.TeamID, running int) float64 {
	share := max(p.rules.Teams[id].Share, minShare)
	if env.Shares.ByUnits {
		return float64(running) / share
	}
	return dominantShare(p.team(id).used, p.total) / share
}

// dominantShare returns the largest part that used takes of any resource of total.
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

// updateUsage changes what the tasks of a team take. A team that takes less is
// ranked again in all pools, because only the head of a pool is ranked anew
// before it is used.
func (p *Placer) updateUsage(env Env, id model.TeamID, before, now model.Resources) {
	t := p.team(id)
	t.used = t.used.Sub(before).Add(now)
	if now.Fits(before) && now != before {
		for _, tq := range t.queues {
			p.rankTeam(env, tq)
		}
	}
}

// allocations returns how each team with unfinished tasks stands.
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
