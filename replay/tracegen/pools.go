package tracegen

import (
	"slices"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/replay"
)

// Demand in the scenarios pools, wave and harm. Loads are fractions of the processors
// that the rules place in a pool.
const (
	poolLoad     = 0.3   // mean
	burstSeconds = 12.0  // at burstFactor times the mean, which exceeds the capacity of the pool
	lullSeconds  = 168.0 // at lullFactor times the mean
	shiftLoad    = 0.9   // of one pool in the second half of the trace
	shiftedPool  = 1     // index in the order of names
	waveLoad     = 0.4
)

// pools gives each pool in turn a short burst above its capacity, followed by a lull
// with almost no load. From the second half on, one pool needs three times as many
// hosts.
func (g *generator) pools() {
	g.startRulesWorkers("")
	names := g.nonSparePools()
	g.submitPoolTasks(func(pool int, at float64) float64 {
		base := poolLoad
		if pool == shiftedPool && at > g.seconds/2 {
			base = shiftLoad
		}
		period := burstSeconds + lullSeconds
		cycle := int(at / period)
		switch within := at - float64(cycle)*period; {
		case cycle%len(names) != pool:
			return base
		case within < burstSeconds:
			return base * burstFactor
		default:
			return base * lullFactor
		}
	})
}

// wave rolls out the waves of the rules. Meanwhile the first rack is lost and returns.
func (g *generator) wave() {
	g.startRulesWorkers("")
	g.submitPoolTasks(func(int, float64) float64 { return waveLoad })
	first := rackOf(g.hostNames()[0])
	for _, id := range g.hostNames() {
		if rackOf(id) == first {
			g.add(rackLostAt, replay.Event{Worker: &replay.Worker{ID: model.HostID(id), Lost: true}})
			g.add(rackBackAt, replay.Event{Worker: &replay.Worker{ID: model.HostID(id)}})
		}
	}
}

// The loss of a rack in the scenario wave, in seconds.
const (
	rackLostAt = 90.0
	rackBackAt = 150.0
)

// failingWave rolls out waves whose image prevents hosts from coming back after the
// reboot.
func (g *generator) failingWave() {
	image := ""
	for _, wave := range g.rules.Waves {
		image = wave.Image
	}
	g.startRulesWorkers(image)
	g.submitPoolTasks(func(int, float64) float64 { return waveLoad })
}

func (g *generator) hostNames() []string {
	var ids []string
	for id := range g.rules.Hosts {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids
}

// rackOf returns the rack in a host's name, which is DATA CENTRE-RACK-NUMBER.
func rackOf(id string) string { return id[:strings.LastIndex(id, "-")] }

// startRulesWorkers adds the start of the hosts that the rules name. If breakingImage is
// not empty, no host comes back from a reboot into it.
func (g *generator) startRulesWorkers(breakingImage string) {
	for _, id := range g.hostNames() {
		rack := rackOf(id)
		g.add(0, replay.Event{Worker: &replay.Worker{
			ID: model.HostID(id), DataCentre: model.DataCentreID(rackOf(rack)), Rack: model.RackID(rack),
			Capacity: workerCapacity, Image: "first", BreakingImage: breakingImage,
		}})
	}
}

// nonSparePools returns the pools that are not spare, sorted.
func (g *generator) nonSparePools() []model.PoolID {
	var pools []model.PoolID
	for _, id := range model.SortedKeys(g.rules.Pools) {
		if !g.rules.Pools[id].Spare {
			pools = append(pools, id)
		}
	}
	return pools
}

// submitPoolTasks adds Poisson arrivals of tasks to every pool that is not spare. load
// returns the demand at a time as a fraction of the processors that the rules place in
// the pool.
func (g *generator) submitPoolTasks(load func(pool int, at float64) float64) {
	teams := model.SortedKeys(g.rules.Teams)
	hosts := hostsByPool(g.rules)
	n := 0
	for i, pool := range g.nonSparePools() {
		rate := float64(hosts[pool]) * float64(workerCapacity.MilliCPU) / 1000 / taskCores / taskRun
		highest := burstFactor * shiftLoad
		for at := firstTask; ; {
			if at += g.rand.ExpFloat64() / (rate * highest); at >= g.seconds-4*taskRun {
				break
			}
			if g.rand.Float64()*highest < load(i, at) {
				t := g.newTask(n, teams[n%len(teams)], pool)
				t.NeverRuns = false
				g.add(at, replay.Event{Task: t})
				n++
			}
		}
	}
}

// firstTask is the earliest submission in seconds. It leaves time for the first
// reports of the workers.
const firstTask = 5.0

func hostsByPool(r *rules.Rules) map[model.PoolID]int {
	hosts := make(map[model.PoolID]int)
	for _, h := range r.Hosts {
		hosts[h.Pool]++
	}
	return hosts
}
