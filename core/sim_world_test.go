package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
)

// The simulation runs several States against simulated networks, disks, targets,
// callers and operators in virtual time. Everything is driven by one seeded
// generator, so that a seed replays to the same run.

// instant is true time in nanoseconds. Hosts see it through their own clocks.
type instant = int64

const (
	ms     instant = 1_000_000
	second         = 1000 * ms
)

// Times of one run.
const (
	faultsEnd   = 40 * second // all hosts and links work from this time on
	callsEnd    = 50 * second // no new requests from this time on
	runEnd      = 60 * second
	changeBound = 3 * second // time from the acceptance of a change until it is in force
)

// actionOrder orders the actions of the simulation by time, then by the order in which
// they were scheduled.
type actionOrder struct {
	at  instant
	seq uint64
}

func (a actionOrder) before(b actionOrder) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// simulation is one simulated system.
type simulation struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	now      instant
	queue    *pq.Queue[uint64, actionOrder, func()]
	seq      uint64
	hosts    []*host
	targets  []*target
	observed observations
	ops      operatorState
	links    map[[2]model.HostID]*link
	blocked  map[[2]model.HostID]bool
	counter  int
	trace    []string
	verbose  bool
	failure  string

	longRunShare       float64 // probability of a run that is longer than a change of leader
	targetsIgnoreTerms bool    // targets do not refuse earlier terms
	minorFaultFactor   float64 // factor of the probability of minor faults
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), queue: newQueue(),
		links:    make(map[[2]model.HostID]*link),
		blocked:  make(map[[2]model.HostID]bool),
		observed: newObservations(),
	}
	sim.minorFaultFactor = []float64{0.3, 1, 1, 4, 12}[sim.rng.IntN(5)]
	sim.targetsIgnoreTerms = sim.chance(0.3)
	sim.longRunShare = []float64{0, 0.1, 0.4}[sim.rng.IntN(3)]
	return sim
}

func newQueue() *pq.Queue[uint64, actionOrder, func()] {
	return pq.New[uint64, actionOrder, func()](actionOrder.before)
}

func (sim *simulation) at(t instant, action func()) {
	sim.seq++
	sim.queue.Set(sim.seq, actionOrder{max(t, sim.now), sim.seq}, action)
}

func (sim *simulation) after(d instant, action func()) { sim.at(sim.now+d, action) }

// every repeats an action until the end of the run, with a jitter of a tenth of d.
func (sim *simulation) every(d instant, action func()) {
	var again func()
	again = func() {
		action()
		sim.after(d+sim.between(-d/10, d/10), again)
	}
	sim.after(sim.between(0, d), again)
}

func (sim *simulation) run() {
	for sim.failure == "" {
		_, a, action, ok := sim.queue.Pop()
		if !ok || a.at > runEnd {
			return
		}
		sim.now = a.at
		action()
	}
}

// chance returns true with probability p.
func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// minorFault returns true with a probability that grows with p and minorFaultFactor. It
// returns false after the faults have ended.
func (sim *simulation) minorFault(p float64) bool {
	return sim.inFaultPhase() && sim.chance(min(p*sim.minorFaultFactor, 0.5))
}

func (sim *simulation) between(low, high instant) instant {
	if high <= low {
		return low
	}
	return low + sim.rng.Int64N(high-low)
}

func pickOne[T any](sim *simulation, list []T) T { return list[sim.rng.IntN(len(list))] }

func (sim *simulation) nextID(prefix string) string {
	sim.counter++
	return fmt.Sprintf("%s%d", prefix, sim.counter)
}

func (sim *simulation) host(id model.HostID) *host {
	i := slices.IndexFunc(sim.hosts, func(h *host) bool { return h.id == id })
	return sim.hosts[i]
}

func (sim *simulation) inFaultPhase() bool { return sim.now < faultsEnd }

// tracef records what happened, for the report of a failure.
func (sim *simulation) tracef(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", float64(sim.now)/float64(second)) + fmt.Sprintf(format, args...)
	if sim.verbose {
		fmt.Println(line)
	}
	sim.trace = append(sim.trace, line)
	if len(sim.trace) > 4000 {
		sim.trace = slices.Clone(sim.trace[2000:])
	}
}

// fail records the first violation, which ends the run.
func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf(format, args...)
		sim.tracef("VIOLATION %s", sim.failure)
	}
}

// link is one connection between two processes. Its messages stay in order, wait while
// its direction is blocked, and are lost together with the connection.
type link struct {
	queue     []delayedMessage
	scheduled bool
	dead      bool
}

type delayedMessage struct {
	sent, deliverAt instant
	deliver         func()
}

// linkTimeout is the time after which a blocked connection is closed.
const linkTimeout = 2 * second

// transmit sends a message over the connection of the pair. Occasionally the connection
// is replaced: messages sent on the old one may then be lost, come late, or come twice.
func (sim *simulation) transmit(from, to model.HostID, deliver func()) {
	pair := [2]model.HostID{from, to}
	l := sim.links[pair]
	if l == nil || l.dead {
		l = &link{}
		sim.links[pair] = l
	}
	if sim.minorFault(0.002) {
		l = sim.replaceLink(pair, l)
	}
	delay := sim.between(ms/2, 3*ms)
	if sim.minorFault(0.01) {
		delay = sim.between(3*ms, 400*ms)
	}
	deliverAt := sim.now + delay
	if n := len(l.queue); n > 0 {
		deliverAt = max(deliverAt, l.queue[n-1].deliverAt)
	}
	l.queue = append(l.queue, delayedMessage{sim.now, deliverAt, deliver})
	sim.scheduleDelivery(pair, l)
}

func (sim *simulation) replaceLink(pair [2]model.HostID, old *link) *link {
	fresh := &link{}
	sim.links[pair] = fresh
	for _, p := range old.queue {
		if sim.chance(0.5) {
			fresh.queue = append(fresh.queue, p)
		}
	}
	if sim.chance(0.5) {
		old.queue, old.dead = nil, true
	}
	sim.scheduleDelivery(pair, fresh)
	return fresh
}

func (sim *simulation) scheduleDelivery(pair [2]model.HostID, l *link) {
	if l.scheduled || l.dead || len(l.queue) == 0 {
		return
	}
	l.scheduled = true
	head := l.queue[0]
	sim.at(head.deliverAt, func() {
		l.scheduled = false
		if l.dead || len(l.queue) == 0 {
			return
		}
		head := l.queue[0]
		switch {
		case head.deliverAt > sim.now:
		case !sim.blocked[pair]:
			l.queue = l.queue[1:]
			head.deliver()
		case sim.now-head.sent > linkTimeout:
			l.dead, l.queue = true, nil
			return
		default:
			l.queue[0].deliverAt = sim.now + 50*ms
		}
		sim.scheduleDelivery(pair, l)
	})
}
