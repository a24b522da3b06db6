package maintenance

import (
	"math"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

const (
	// needAverageTime is the time constant of the average demand of a pool. A burst
	// of a few seconds hardly affects the average.
	needAverageTime = 5 * model.Minute
	// needPeakDecayTime is the time constant with which a past peak of the average
	// decays.
	needPeakDecayTime = 15 * model.Minute
	// ExcessDelay is how long a pool must have more hosts than it needs before it
	// gives one away. It is longer than ShortageDelay, because the lack of a host
	// costs more than an idle host.
	ExcessDelay = 10 * model.Minute
	// usableShare is the fraction of the capacity that placement can fill before
	// tasks wait. The rest is lost to fragmentation between tasks of different sizes.
	usableShare = 0.85
	// movesMax bounds the number of hosts in the fleet that move at one time, so that
	// the loss or return of a data centre does not cause many moves at once.
	movesMax = 4
	// demandInterval is the time between two measurements of the demand of one pool,
	// and poolsPerTick bounds the pools measured in one tick of 50 ms: 60 pools take
	// 1 s.
	demandInterval = model.Second
	poolsPerTick   = 3
	// queueSample bounds the queued tasks whose needs are summed. The others count
	// with the mean of the sample.
	queueSample = 32
)

// failureDomain identifies a rack, or a whole data centre if rack is empty.
type failureDomain struct {
	dataCentre model.DataCentreID
	rack       model.RackID
}

// survey is the result of one pass over the hosts for one pool. Hosts that move count
// in the pool that they move to; lost hosts do not count.
type survey struct {
	reserved model.Resources // by tasks on hosts of the pool
	capacity model.Resources // of hosts
	hosts    int
	hostsOut int // hosts in data centres that are out
	domains  map[failureDomain]int
}

func (s *survey) reset() {
	domains := s.domains
	clear(domains)
	*s = survey{domains: domains}
}

func (s *survey) addDomain(d failureDomain) {
	if s.domains == nil {
		s.domains = make(map[failureDomain]int)
	}
	s.domains[d]++
}

// need is the estimated need of a pool, in hosts.
type need struct {
	known   bool
	at      model.Time
	demand  float64 // last measurement
	average float64
	peak    float64
}

// update adds a measurement of the demand.
func (n *need) update(now model.Time, demand float64) {
	if !n.known {
		*n = need{known: true, at: now, demand: demand, average: demand, peak: demand}
		return
	}
	elapsed := now.Sub(n.at)
	n.at, n.demand = now, demand
	n.average += smoothingWeight(elapsed, needAverageTime) * (demand - n.average)
	n.peak += smoothingWeight(elapsed, needPeakDecayTime) * (n.average - n.peak)
	n.peak = max(n.peak, n.average)
}

// smoothingWeight returns the weight of a new sample in an exponential average, after
// the elapsed time since the last sample.
func smoothingWeight(elapsed, timeConstant model.Duration) float64 {
	return float64(elapsed) / float64(elapsed+timeConstant)
}

// surveyHost adds a host to the survey of the current pass.
func (p *Planner) surveyHost(env Env, id model.HostID, h *host) {
	s := &h.state
	if !h.known || h.missing || env.Reserved == nil {
		return
	}
	if reserved := env.Reserved(id); reserved != (model.Resources{}) {
		from := &p.pool(s.Pool).nextSurvey
		from.reserved = from.reserved.Add(reserved)
	}
	if !s.Up && s.Phase != fleet.HostRebooting {
		return
	}
	to := &p.pool(h.nextPool()).nextSurvey
	to.hosts++
	to.capacity = to.capacity.Add(s.Capacity)
	to.addDomain(failureDomain{s.DataCentre, s.Rack})
	to.addDomain(failureDomain{dataCentre: s.DataCentre})
	if p.rules.DataCentres[s.DataCentre].Out {
		to.hostsOut++
	}
}

// finishPass stores the surveys of a complete pass as the latest ones and starts new
// ones.
func (p *Planner) finishPass() {
	p.totalCapacity, p.totalHosts, p.spareHosts = model.Resources{}, 0, 0
	for id, q := range p.pools {
		q.lastSurvey, q.nextSurvey = q.nextSurvey, q.lastSurvey
		q.nextSurvey.reset()
		p.totalCapacity = p.totalCapacity.Add(q.lastSurvey.capacity)
		p.totalHosts += q.lastSurvey.hosts
		if p.rules.Pools[id].Spare {
			p.spareHosts += q.lastSurvey.hosts - q.lastSurvey.hostsOut
		}
	}
}

// updateNeeds measures the demand of the next few pools that are sized by demand.
func (p *Planner) updateNeeds(env Env) {
	for range min(poolsPerTick, len(p.sizedPools)) {
		p.sizedCursor = (p.sizedCursor + 1) % len(p.sizedPools)
		id := p.sizedPools[p.sizedCursor]
		if q := p.pool(id); !q.need.known || env.Now.Sub(q.need.at) >= demandInterval {
			q.need.update(env.Now, p.demand(env, id, q))
		}
	}
}

// demand returns how many hosts the running and queued tasks of a pool would fill at
// present.
func (p *Planner) demand(env Env, id model.PoolID, q *pool) float64 {
	total := q.lastSurvey.reserved
	sampled, waiting := int64(0), model.Resources{}
	for task := range env.Fleet.QueuedIn(id) {
		waiting = waiting.Add(env.Need(task))
		if sampled++; sampled == queueSample {
			break
		}
	}
	if n := int64(env.Fleet.QueuedCount(id)); sampled > 0 {
		total = total.Add(model.Resources{
			MilliCPU: waiting.MilliCPU * n / sampled, MemoryMB: waiting.MemoryMB * n / sampled,
			Accelerators: waiting.Accelerators * n / sampled,
		})
	}
	capacity, hosts := q.lastSurvey.capacity, q.lastSurvey.hosts
	if hosts == 0 {
		capacity, hosts = p.totalCapacity, p.totalHosts
	}
	hostsFilled := 0.0
	for _, d := range [][2]int64{
		{total.MilliCPU, capacity.MilliCPU}, {total.MemoryMB, capacity.MemoryMB},
		{total.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			hostsFilled = max(hostsFilled, float64(d[0])*float64(hosts)/float64(d[1]))
		}
	}
	return hostsFilled
}

// desiredHosts returns the number of hosts that a pool should have.
func (p *Planner) desiredHosts(env Env, id model.PoolID, q *pool) int {
	rule := p.rules.Pools[id]
	if !p.isSized(env, rule) || !q.need.known {
		return rule.HostsMin
	}
	hosts := 0
	if env.Policy == PolicyFirstFit {
		hosts = int(math.Ceil(q.need.demand)) + rule.Buffer
	} else {
		hosts = int(math.Ceil(q.need.peak/usableShare)) + q.buffer(rule, p.spareHosts)
	}
	return min(max(hosts, rule.HostsMin), rule.HostsMax)
}

// isSized reports whether a pool is sized by demand under the current policy.
func (p *Planner) isSized(env Env, rule rules.Pool) bool {
	return rule.Sized() && !rule.Spare && env.Policy != PolicyMinimum
}

// buffer returns the number of hosts that a pool keeps beyond its need: the hosts in
// its largest failure domain, which it may lose at once, less the hosts that spare
// pools can provide. Spare pools thus serve as one shared buffer for all pools. The
// buffer of the rules, if any, is an upper bound. A pool that need not survive the
// loss of a domain keeps just the buffer of the rules.
func (q *pool) buffer(rule rules.Pool, spares int) int {
	if rule.Survive == rules.DomainNone {
		return rule.Buffer
	}
	largest := 0
	for d, n := range q.lastSurvey.domains {
		if (d.rack == "") == (rule.Survive == rules.DomainDataCentre) {
			largest = max(largest, n)
		}
	}
	if rule.Buffer > 0 {
		largest = min(largest, rule.Buffer)
	}
	return max(0, largest-spares)
}
