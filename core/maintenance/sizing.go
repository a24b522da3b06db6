package maintenance

import (
	"math"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

const (
	// averageOver is the time constant with which the need of a pool follows its
	// demand, so that a burst of some seconds hardly shows in it.
	averageOver = 5 * model.Minute
	// peakDecay is the time constant with which a past peak of the need fades.
	peakDecay = 15 * model.Minute
	// ExcessFor is how long a pool must have more hosts than it needs before it
	// gives one away. It is longer than MissingFor, because a host that is
	// missed costs more than an idle one.
	ExcessFor = 10 * model.Minute
	// fill is the part of the hosts that placement fills before tasks wait: the
	// rest is left over between tasks of different sizes.
	fill = 0.85
	// movesMax bounds the hosts on the move at one time over the fleet, so that
	// a data centre that is lost or returns causes no wave of moves.
	movesMax = 4
	// sizeInterval is the time between two looks at the demand of one pool, and
	// poolsPerTick bounds the pools looked at in one tick of 50 ms: 60 pools take
	// 1 s.
	sizeInterval = model.Second
	poolsPerTick = 3
	// queueSample bounds the queued tasks looked at; the others count as their
	// mean.
	queueSample = 32
)

// rack names a rack with its data centre, or with an empty rack the data centre
// as a whole.
type rack struct {
	centre model.DataCentreID
	rack   model.RackID
}

// survey is what one pass over the hosts has found of a pool. Hosts that move
// count in the pool they move to; lost ones do not count.
type survey struct {
	taken    model.Resources // by tasks on its hosts
	capacity model.Resources // of hosts
	hosts    int
	out      int // of hosts, in data centres that are out
	domains  map[rack]int
}

func (s *survey) reset() {
	domains := s.domains
	clear(domains)
	*s = survey{domains: domains}
}

func (s *survey) add(d rack) {
	if s.domains == nil {
		s.domains = make(map[rack]int)
	}
	s.domains[d]++
}

// need is the learned need of a pool in hosts.
type need struct {
	known   bool
	at      model.Time
	demand  float64 // of the last look
	average float64
	peak    float64
}

// learn takes in the demand at a time.
func (n *need) learn(now model.Time, demand float64) {
	if !n.known {
		*n = need{known: true, at: now, demand: demand, average: demand, peak: demand}
		return
	}
	step := now.Sub(n.at)
	n.at, n.demand = now, demand
	n.average += weight(step, averageOver) * (demand - n.average)
	n.peak += weight(step, peakDecay) * (n.average - n.peak)
	n.peak = max(n.peak, n.average)
}

// weight is that of a new sample in an average over a time.
func weight(step, over model.Duration) float64 {
	return float64(step) / float64(step+over)
}

// surveyHost notes a host that the present pass over the hosts has reached.
func (p *Planner) surveyHost(env Env, id model.HostID, h *host) {
	s := &h.state
	if !h.known || h.gone || env.Reserved == nil {
		return
	}
	if taken := env.Reserved(id); taken != (model.Resources{}) {
		from := &p.pool(s.Pool).next
		from.taken = from.taken.Add(taken)
	}
	if !s.Up && s.Phase != fleet.HostRebooting {
		return
	}
	to := &p.pool(h.nextPool()).next
	to.hosts++
	to.capacity = to.capacity.Add(s.Capacity)
	to.add(rack{s.DataCentre, s.Rack})
	to.add(rack{centre: s.DataCentre})
	if p.rules.DataCentres[s.DataCentre].Out {
		to.out++
	}
}

// surveyDone takes over what a complete pass has found.
func (p *Planner) surveyDone() {
	p.capacity, p.counted, p.spares = model.Resources{}, 0, 0
	for id, q := range p.pools {
		q.found, q.next = q.next, q.found
		q.next.reset()
		p.capacity = p.capacity.Add(q.found.capacity)
		p.counted += q.found.hosts
		if p.rules.Pools[id].Spare {
			p.spares += q.found.hosts - q.found.out
		}
	}
}

// learnNeeds looks at the demand of the next few pools that are sized.
func (p *Planner) learnNeeds(env Env) {
	for range min(poolsPerTick, len(p.sized)) {
		p.nextSized = (p.nextSized + 1) % len(p.sized)
		id := p.sized[p.nextSized]
		if q := p.pool(id); !q.need.known || env.Now.Sub(q.need.at) >= sizeInterval {
			q.need.learn(env.Now, p.demand(env, id, q))
		}
	}
}

// demand returns how many hosts the running and the waiting tasks of a pool
// fill now.
func (p *Planner) demand(env Env, id model.PoolID, q *pool) float64 {
	wanted := q.found.taken
	seen, waiting := int64(0), model.Resources{}
	for task := range env.Fleet.QueuedIn(id) {
		waiting = waiting.Add(env.Need(task))
		if seen++; seen == queueSample {
			break
		}
	}
	if n := int64(env.Fleet.QueuedCount(id)); seen > 0 {
		wanted = wanted.Add(model.Resources{
			MilliCPU: waiting.MilliCPU * n / seen, MemoryMB: waiting.MemoryMB * n / seen,
			Accelerators: waiting.Accelerators * n / seen,
		})
	}
	capacity, hosts := q.found.capacity, q.found.hosts
	if hosts == 0 {
		capacity, hosts = p.capacity, p.counted
	}
	most := 0.0
	for _, d := range [][2]int64{
		{wanted.MilliCPU, capacity.MilliCPU}, {wanted.MemoryMB, capacity.MemoryMB},
		{wanted.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			most = max(most, float64(d[0])*float64(hosts)/float64(d[1]))
		}
	}
	return most
}

// want returns the hosts that a pool is to have.
func (p *Planner) want(env Env, id model.PoolID, q *pool) int {
	rule := p.rules.Pools[id]
	if !p.sizes(env, rule) || !q.need.known {
		return rule.HostsMin
	}
	hosts := 0
	if env.Policy == PolicyFirstFit {
		hosts = int(math.Ceil(q.need.demand)) + rule.Buffer
	} else {
		hosts = int(math.Ceil(q.need.peak/fill)) + q.buffer(rule, p.spares)
	}
	return min(max(hosts, rule.HostsMin), rule.HostsMax)
}

// sizes reports whether a pool is sized by demand.
func (p *Planner) sizes(env Env, rule rules.Pool) bool {
	return rule.Sized() && !rule.Spare && env.Policy != PolicyMinimum
}

// buffer returns the hosts that a pool keeps beyond its need: as many as it may
// lose at once in its largest failure domain, less those that the spare pools
// can give it. Hosts in spare pools serve all pools as one buffer. The fixed
// buffer of the rules bounds it.
func (q *pool) buffer(rule rules.Pool, spares int) int {
	if rule.Survive == rules.DomainNone {
		return rule.Buffer
	}
	largest := 0
	for d, n := range q.found.domains {
		if (d.rack == "") == (rule.Survive == rules.DomainDataCentre) {
			largest = max(largest, n)
		}
	}
	if rule.Buffer > 0 {
		largest = min(largest, rule.Buffer)
	}
	return max(0, largest-spares)
}
