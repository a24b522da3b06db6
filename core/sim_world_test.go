package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
)

// The simulation runs several States against fake networks, disks, targets,
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
	faultsEnd   = 40 * second // all hosts and links are whole from here on
	callsEnd    = 50 * second // no new requests from here on
	runEnd      = 60 * second
	changeBound = 3 * second // a change is in force this long after it was accepted
)

// turn orders the actions of the simulation: by time, then as they were given.
type turn struct {
	at  instant
	seq uint64
}

func (a turn) before(b turn) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// world is one simulated system.
type world struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     instant
	queue   *pq.Queue[uint64, turn, func()]
	seq     uint64
	hosts   []*host
	targets []*target
	books   books
	ops     operators
	links   map[[2]model.HostID]*link
	cut     map[[2]model.HostID]bool
	counter int
	trace   []string
	verbose bool
	failure string

	longRuns  float64 // share of runs that outlast a change of leader
	termless  bool    // the targets refuse no earlier terms
	roughness float64 // factor for the probability of small mishaps
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), queue: newQueue(),
		links: make(map[[2]model.HostID]*link),
		cut:   make(map[[2]model.HostID]bool),
		books: newBooks(),
	}
	w.roughness = []float64{0.3, 1, 1, 4, 12}[w.rng.IntN(5)]
	w.termless = w.chance(0.3)
	w.longRuns = []float64{0, 0.1, 0.4}[w.rng.IntN(3)]
	return w
}

func newQueue() *pq.Queue[uint64, turn, func()] { return pq.New[uint64, turn, func()](turn.before) }

func (w *world) at(t instant, do func()) {
	w.seq++
	w.queue.Set(w.seq, turn{max(t, w.now), w.seq}, do)
}

func (w *world) after(d instant, do func()) { w.at(w.now+d, do) }

// every repeats do, with a jitter of a tenth, until the end of the run.
func (w *world) every(d instant, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d+w.between(-d/10, d/10), again)
	}
	w.after(w.between(0, d), again)
}

func (w *world) run() {
	for w.failure == "" {
		_, a, do, ok := w.queue.Pop()
		if !ok || a.at > runEnd {
			return
		}
		w.now = a.at
		do()
	}
}

// chance is true with the probability p.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// mishap is true now and then until the faults end, with a probability that
// grows with the roughness of the run.
func (w *world) mishap(p float64) bool {
	return w.faults() && w.chance(min(p*w.roughness, 0.5))
}

func (w *world) between(low, high instant) instant {
	if high <= low {
		return low
	}
	return low + w.rng.Int64N(high-low)
}

func pickOne[T any](w *world, list []T) T { return list[w.rng.IntN(len(list))] }

func (w *world) next(prefix string) string {
	w.counter++
	return fmt.Sprintf("%s%d", prefix, w.counter)
}

func (w *world) host(id model.HostID) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.id == id })
	return w.hosts[i]
}

func (w *world) faults() bool { return w.now < faultsEnd }

// note records what happened, for the report of a failure.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", float64(w.now)/float64(second)) + fmt.Sprintf(format, args...)
	if w.verbose {
		fmt.Println(line)
	}
	w.trace = append(w.trace, line)
	if len(w.trace) > 4000 {
		w.trace = slices.Clone(w.trace[2000:])
	}
}

// fail ends the run with the first violation.
func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
		w.note("VIOLATION %s", w.failure)
	}
}

// link is one connection between two processes: messages stay in order, wait
// while the direction is cut, and are lost together with the connection.
type link struct {
	queue   []parcel
	pumping bool
	dead    bool
}

type parcel struct {
	sent, due instant
	deliver   func()
}

// linkTimeout is the time after which a cut connection is given up.
const linkTimeout = 2 * second

// transmit sends over the connection of the pair. Now and then the connection
// is replaced: what was sent on the old one may be lost, come late, or come
// twice.
func (w *world) transmit(from, to model.HostID, deliver func()) {
	pair := [2]model.HostID{from, to}
	l := w.links[pair]
	if l == nil || l.dead {
		l = &link{}
		w.links[pair] = l
	}
	if w.mishap(0.002) {
		l = w.replaceLink(pair, l)
	}
	delay := w.between(ms/2, 3*ms)
	if w.mishap(0.01) {
		delay = w.between(3*ms, 400*ms)
	}
	due := w.now + delay
	if n := len(l.queue); n > 0 {
		due = max(due, l.queue[n-1].due)
	}
	l.queue = append(l.queue, parcel{w.now, due, deliver})
	w.pump(pair, l)
}

func (w *world) replaceLink(pair [2]model.HostID, old *link) *link {
	fresh := &link{}
	w.links[pair] = fresh
	for _, p := range old.queue {
		if w.chance(0.5) {
			fresh.queue = append(fresh.queue, p)
		}
	}
	if w.chance(0.5) {
		old.queue, old.dead = nil, true
	}
	w.pump(pair, fresh)
	return fresh
}

func (w *world) pump(pair [2]model.HostID, l *link) {
	if l.pumping || l.dead || len(l.queue) == 0 {
		return
	}
	l.pumping = true
	head := l.queue[0]
	w.at(head.due, func() {
		l.pumping = false
		if l.dead || len(l.queue) == 0 {
			return
		}
		head := l.queue[0]
		switch {
		case head.due > w.now:
		case !w.cut[pair]:
			l.queue = l.queue[1:]
			head.deliver()
		case w.now-head.sent > linkTimeout:
			l.dead, l.queue = true, nil
			return
		default:
			l.queue[0].due = w.now + 50*ms
		}
		w.pump(pair, l)
	})
}
