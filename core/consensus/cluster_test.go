package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"primrosedale.example/primrosedale/core/model"
)

// simState is the state that the simulated nodes replicate: a digest of the sequence
// of applied commands.
type simState struct {
	Index  uint64
	Digest uint64
}

func (s simState) apply(e Entry[int]) simState {
	s.Index = e.Index
	if e.Kind == EntryCommand {
		s.Digest = s.Digest*1099511628211 + uint64(*e.Command) + 1
	}
	return s
}

type (
	simMessage = Message[int, simState]
	simOutput  = Output[int, simState]
)

const (
	simStep = 10 * model.Millisecond
	// volatileHosts is the number of hosts without a disk.
	volatileHosts = 2
)

func simConfig(id NodeID, peers []model.HostID, durable bool) Config {
	return Config{
		ID:                 id,
		Peers:              peers,
		Durable:            durable,
		ElectionTimeoutMin: 800 * model.Millisecond,
		ElectionTimeoutMax: 1200 * model.Millisecond,
		HeartbeatInterval:  200 * model.Millisecond,
		MaxAppendEntries:   4,
		MaxInflight:        3,
		SnapshotEvery:      40,
	}
}

// simDisk holds the synced state and the writes that are not yet synced.
type simDisk struct {
	stored Stored[int, simState]
	queue  []simOutput
}

func (d *simDisk) write(out simOutput) {
	if out.Snapshot != nil {
		d.stored.Snapshot = out.Snapshot
		d.stored.Entries = nil
	}
	if out.HardState != nil {
		d.stored.HardState = *out.HardState
	}
	if len(out.Entries) == 0 {
		return
	}
	kept := d.stored.Entries
	for len(kept) > 0 && kept[len(kept)-1].Index >= out.Entries[0].Index {
		kept = kept[:len(kept)-1]
	}
	d.stored.Entries = append(kept, out.Entries...)
}

// compact stores a snapshot and removes the entries five or more before it.
func (d *simDisk) compact(snap Snapshot[simState]) {
	d.stored.Snapshot = &snap
	for len(d.stored.Entries) > 0 && d.stored.Entries[0].Index+5 <= snap.Index {
		d.stored.Entries = d.stored.Entries[1:]
	}
}

func (d *simDisk) lastIndex() uint64 {
	if len(d.stored.Entries) > 0 {
		return d.stored.Entries[len(d.stored.Entries)-1].Index
	}
	if d.stored.Snapshot != nil {
		return d.stored.Snapshot.Index
	}
	return 0
}

// sync completes the first count queued writes and returns the report for Persisted.
func (d *simDisk) sync(count int) (term, index uint64) {
	for _, out := range d.queue[:count] {
		d.write(out)
	}
	d.queue = d.queue[count:]
	return d.stored.HardState.Term, d.lastIndex()
}

// simHost is a host that runs at most one node.
type simHost struct {
	name         model.HostID
	durable      bool
	incarnations int // number of incarnations so far
	id           NodeID
	node         *Node[int, simState]
	disk         simDisk
	state        simState
	clockRate    float64 // relative to the true time
	clockOffset  model.Time
	running      bool
	gone         bool           // for good
	restartAt    model.Time     // when it restarts, while it is not running
	pausedUntil  model.Time     // end of a pause
	inbox        []*simMessage  // received during a pause
	syncAt       model.Time     // when the current write is synced
	slowSync     model.Duration // longest time of a write on a slow disk; the shortest is a tenth of it
	hungDisk     bool           // completes no writes
	nextTick     model.Time
	seenTerm     uint64
	seenIndex    uint64 // commit index that is already checked
}

// clock returns the time of the host's clock at the true time now.
func (h *simHost) clock(now model.Time) model.Time {
	return h.clockOffset + model.Time(float64(now)*h.clockRate)
}

// faults are the probabilities of the faults in one schedule, and of proposals.
type faults struct {
	drop, duplicate, delay                                    float64 // per message
	partition, crash, loseDisk, pause, propose, disturbLeader float64 // per step
	replace                                                   float64 // per step
	slowSync                                                  float64 // per write
}

// simulation runs one random schedule of a seed over a simulated network.
type simulation struct {
	t                testing.TB
	rng              *rand.Rand
	now              model.Time
	hosts            []*simHost
	byName           map[model.HostID]*simHost
	inTransit        map[model.Time][]*simMessage   // messages by time of arrival, in whole steps
	partitionedUntil map[[2]model.HostID]model.Time // end of a partition, by sender and receiver
	faults           faults
	lastCommand      int
	checker          *checker

	maxAppend int
	maxVoters int

	replacements int // hosts replaced so far
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	s := &simulation{
		t:                t,
		rng:              rand.New(rand.NewPCG(seed, 7)),
		now:              model.Time(model.Hour),
		byName:           map[model.HostID]*simHost{},
		inTransit:        map[model.Time][]*simMessage{},
		partitionedUntil: map[[2]model.HostID]model.Time{},
		checker:          newChecker(),
	}
	s.maxAppend = 1 + s.rng.IntN(4)
	durable := 3 + s.rng.IntN(3)
	s.maxVoters = durable
	var voters []NodeID
	for i := range durable + volatileHosts {
		h := &simHost{
			name:        model.HostID(fmt.Sprintf("h%d", i)),
			durable:     i < durable,
			clockRate:   0.99 + 0.02*s.rng.Float64(),
			clockOffset: model.Time(s.rng.Int64N(int64(model.Hour))),
		}
		s.hosts = append(s.hosts, h)
		s.byName[h.name] = h
		s.newIncarnation(h)
		if h.durable {
			voters = append(voters, h.id)
		}
	}
	for _, h := range s.hosts {
		if h.durable {
			h.disk.stored = Bootstrap[int, simState](voters)
		}
		s.start(h)
	}
	s.faults = s.drawFaults()
	return s
}

func (s *simulation) drawFaults() faults {
	r := s.rng.Float64
	return faults{
		drop: 0.2 * r() * r(), duplicate: 0.1 * r(), delay: 0.3 * r(),
		partition: 0.008 * r(), crash: 0.008 * r(), loseDisk: 0.002 * r(), pause: 0.008 * r(),
		propose: 0.05 + 0.3*r(), disturbLeader: 0.01 * r() * r(), slowSync: 0.3 * r() * r() * r(),
	}
}

func (s *simulation) newIncarnation(h *simHost) {
	h.incarnations++
	h.id = NodeID{Host: h.name, Incarnation: model.Incarnation(fmt.Sprint(h.incarnations))}
	h.disk = simDisk{}
}

// start starts a node from the synced state of its host.
func (s *simulation) start(h *simHost) {
	cfg := simConfig(h.id, s.peersOf(h), h.durable)
	cfg.MaxAppendEntries = s.maxAppend
	cfg.MaxVoters = s.maxVoters
	node, err := New(cfg, h.disk.stored)
	if err != nil {
		s.fail("starting %v: %v", h.id, err)
	}
	node.trailingEntries = 10
	h.inbox = nil
	h.node = node
	h.state = simState{}
	if snap := h.disk.stored.Snapshot; snap != nil {
		h.state = snap.State
	}
	h.running = true
	h.seenTerm, h.seenIndex = 0, 0
	h.nextTick = s.now
	node.Start(h.clock(s.now), s.rng.Uint64())
}

// peersOf returns the hosts that h knows. A host without a disk knows only durable ones.
func (s *simulation) peersOf(h *simHost) []model.HostID {
	var names []model.HostID
	for _, other := range s.hosts {
		if h.durable || other.durable {
			names = append(names, other.name)
		}
	}
	return names
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf(format, args...)
}

// step advances the true time by one simStep.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	s.deliver()
	for _, h := range s.hosts {
		s.runHost(h)
	}
	s.checker.checkLeases(s)
}

func (s *simulation) runHost(h *simHost) {
	if h.gone {
		return
	}
	if !h.running {
		if s.now >= h.restartAt {
			s.start(h)
		}
		return
	}
	if s.now < h.pausedUntil {
		return
	}
	s.deliverInbox(h)
	if len(h.disk.queue) > 0 && s.now >= h.syncAt && !h.hungDisk {
		s.sync(h)
	}
	if s.now >= h.nextTick {
		h.nextTick = s.now.Add(50 * model.Millisecond)
		h.node.Tick(h.clock(s.now), s.rng.Uint64())
		s.processOutput(h)
	}
	if h.node.isRetired() {
		s.newIncarnation(h)
		s.start(h)
	}
}

// sync completes one or more queued writes at once.
func (s *simulation) sync(h *simHost) {
	term, index := h.disk.sync(1 + s.rng.IntN(len(h.disk.queue)))
	h.syncAt = s.now.Add(s.syncTime(h))
	h.node.Persisted(term, index)
	s.processOutput(h)
}

func (s *simulation) syncTime(h *simHost) model.Duration {
	if h.slowSync > 0 {
		return h.slowSync/10 + s.randomDuration(h.slowSync-h.slowSync/10)
	}
	if s.withProbability(s.faults.slowSync) {
		return s.randomDuration(model.Second)
	}
	return s.randomDuration(20 * model.Millisecond)
}

// processOutput performs what the node's output requires and checks the invariants.
func (s *simulation) processOutput(h *simHost) {
	out := h.node.TakeOutput()
	s.checker.checkNode(s, h)
	if out.Snapshot != nil {
		h.state = out.Snapshot.State
	}
	s.checker.checkEntries(s, h, out)
	for _, e := range out.Committed {
		h.state = h.state.apply(e)
		s.checker.checkApplied(s, h, e)
	}
	if out.Snapshot != nil || out.HardState != nil || len(out.Entries) > 0 {
		s.persist(h, out)
	}
	for _, m := range out.Messages {
		s.send(m)
	}
	if h.node.WantsSnapshot() {
		s.compact(h)
	}
}

func (s *simulation) persist(h *simHost, out simOutput) {
	h.disk.queue = append(h.disk.queue, out)
	if len(h.disk.queue) == 1 {
		h.syncAt = s.now.Add(s.syncTime(h))
	}
	if h.durable {
		return
	}
	term, index := h.disk.sync(len(h.disk.queue))
	h.node.Persisted(term, index)
	s.processOutput(h)
}

func (s *simulation) compact(h *simHost) {
	snap, ok := h.node.MakeSnapshot(h.state.Index, h.state)
	if !ok {
		return
	}
	h.disk.compact(snap)
	h.node.Compact(snap)
}

func (s *simulation) send(m simMessage) {
	if s.now < s.partitionedUntil[[2]model.HostID{m.From.Host, m.To.Host}] || s.withProbability(s.faults.drop) {
		return
	}
	s.scheduleDelivery(&m)
	if s.withProbability(s.faults.duplicate) {
		s.scheduleDelivery(&m)
	}
}

// scheduleDelivery adds a message to those in transit, with a random latency.
func (s *simulation) scheduleDelivery(m *simMessage) {
	steps := 1 + s.latency()/simStep
	at := s.now.Add(steps * simStep)
	s.inTransit[at] = append(s.inTransit[at], m)
}

func (s *simulation) latency() model.Duration {
	if s.withProbability(s.faults.delay * s.faults.delay) {
		return s.randomDuration(2 * model.Second)
	}
	return s.randomDuration(20 * model.Millisecond)
}

// deliver passes the messages that arrive now to their hosts, in random order.
func (s *simulation) deliver() {
	due := s.inTransit[s.now]
	delete(s.inTransit, s.now)
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		h := s.byName[m.To.Host]
		switch {
		case !h.running:
		case s.now < h.pausedUntil:
			h.inbox = append(h.inbox, m)
		default:
			s.receive(h, m)
		}
	}
}

func (s *simulation) receive(h *simHost, m *simMessage) {
	h.node.Step(h.clock(s.now), s.rng.Uint64(), *m)
	s.processOutput(h)
}

func (s *simulation) deliverInbox(h *simHost) {
	waiting := h.inbox
	h.inbox = nil
	for _, m := range waiting {
		s.receive(h, m)
	}
}
