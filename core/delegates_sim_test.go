package core

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/codec"
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/delegate"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/pq"
	"primrosedale.example/primrosedale/core/schedule"
)

const (
	millisecond      = model.Millisecond
	longestDiskStall = 1500 * millisecond
)

// fleetSim simulates the replicas of a platform and its workers. Messages take time,
// calls get lost or are carried out late, replicas freeze, crash and are cut off.
type fleetSim struct {
	t                   *testing.T
	rng                 *rand.Rand
	now                 model.Time
	seq                 uint64
	queue               *pq.Queue[uint64, simActionOrder, func()]
	replicas            []*simReplica
	entries             []*simReplica // hosts without a log, which only hold calls
	disabled            schedule.FeatureSet
	workers             map[model.WorkerID]*fleetWorker
	lossRate            float64 // share of the calls that get no answer
	answers             map[uint64]call.Answer
	calls               map[model.HostID]int // calls made to workers, by replica
	heartbeatsForwarded map[model.HostID]int // forwarded to the leader, by replica
	done                map[jobs.TaskRef]bool
	starts              map[jobs.TaskRef]int
	cutPairs            map[[2]model.HostID]model.Time // end of the cut between two hosts
	slowDisks           bool                           // writes take time, and are lost if their process ends before
	diskStalls          float64                        // share of these writes that hang
	stalledUntil        model.Time                     // end of the last such write
	snapshotEvery       uint64
	clockStep           model.Duration   // largest difference of a process's clock from the true time
	outside             *outsideServices // nil if the leader's calls to them are lost
}

type simActionOrder struct {
	at  model.Time
	seq uint64
}

type simReplica struct {
	host        model.HostID
	state       *State
	incarnation int
	frozenUntil model.Time // handles no event before this time
	partitioned bool       // from all other replicas
	cutUntil    model.Time // messages from and to it arrive after this time
	diskFull    bool       // its disk takes no writes
	openCalls   int        // calls to workers in progress
	stored      Stored
	diskFreeAt  model.Time // end of the last write, with slow disks
	clockError  model.Duration
	disk        model.Incarnation // of its data folder, if it has lost one
	entry       bool              // it has no log
}

// fleetWorker follows the platform's protocol: it ignores orders with an old token or
// after their deadline, and lists ended runs until their end is recorded.
type fleetWorker struct {
	startedAt     model.Time
	reportedStart int64 // StartedAt of its replies; 0 stands for 1
	down          bool  // its process has ended
	token         uint64
	lease         order.ClockMS
	ended         map[jobs.TaskRef]int
	running       map[jobs.RunRef]model.Time // when the work of the run is done
	ends          []order.Ended
	number        uint64
}

func newFleetSim(t *testing.T, seed uint64, replicas, workers int) *fleetSim {
	s := newEmptyFleetSim(t, seed, replicas, nil)
	s.callUntilAnswered(call.Call{Configure: &jobs.Config{
		Version: 1, Services: map[model.ServiceID]jobs.Service{"render": {}},
		Queues: []jobs.Queue{{ID: "q", Host: "h", Prefix: "/q/", Service: "render", MaxAttempts: 40, Stretch: 100, Target: model.Second, Timeout: model.Second, Open: true}},
	}})
	for i := range workers {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		s.workers[id] = s.newWorker()
		s.callUntilAnswered(call.Call{Heartbeat: heartbeatOf(id)})
	}
	s.run(model.Second)
	return s
}

func (s *fleetSim) newWorker() *fleetWorker {
	return &fleetWorker{startedAt: s.now, ended: make(map[jobs.TaskRef]int), running: make(map[jobs.RunRef]model.Time)}
}

// newEmptyFleetSim returns replicas without a configuration and workers.
func newEmptyFleetSim(t *testing.T, seed uint64, replicas int, outside *outsideServices) *fleetSim {
	s := &fleetSim{
		outside: outside,
		t:       t, rng: rand.New(rand.NewPCG(seed, 11)), now: 1000 * model.Time(model.Second),
		queue:   pq.New[uint64, simActionOrder, func()](func(a, b simActionOrder) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }),
		workers: make(map[model.WorkerID]*fleetWorker), answers: make(map[uint64]call.Answer),
		calls: make(map[model.HostID]int), heartbeatsForwarded: make(map[model.HostID]int),
		done: make(map[jobs.TaskRef]bool), starts: make(map[jobs.TaskRef]int),
		cutPairs: make(map[[2]model.HostID]model.Time),
	}
	var voters []consensus.NodeID
	for i := range replicas {
		voters = append(voters, consensus.NodeID{Host: model.HostID(fmt.Sprintf("r%d", i)), Incarnation: "1"})
	}
	for _, v := range voters {
		r := &simReplica{host: v.Host, stored: consensus.Bootstrap[fleet.Command, *fleet.State](voters)}
		s.replicas = append(s.replicas, r)
		s.startReplica(r)
	}
	s.run(3 * model.Second)
	return s
}

func heartbeatOf(id model.WorkerID) *call.Heartbeat {
	return &call.Heartbeat{Worker: jobs.Worker{
		ID: id, StartedAt: 1, Service: "render", Address: string(id), DataCentre: "west",
		Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000},
	}}
}

func (s *fleetSim) startReplica(r *simReplica) {
	r.incarnation++
	cfg := Config{
		Host: r.host, DataCentre: "west", Incarnation: model.Incarnation(fmt.Sprint(r.incarnation)), Replica: cmp.Or(r.disk, "1"), Durable: !r.entry,
		MaxVoters: len(s.replicas), MaxInflight: 1, SnapshotEvery: s.snapshotEvery,
		Bounds: schedule.Bounds{LeaseMax: 6 * model.Second, StatusKept: 120 * model.Second, Disabled: s.disabled},
	}
	if s.outside != nil {
		cfg.Bounds.Move, cfg.Bounds.Maintenance = hostMoveTime, hostMaintenanceTime
	}
	for i := 0; (r.entry || r.disk != "") && i < len(s.replicas); i++ {
		cfg.Seeds = append(cfg.Seeds, s.replicas[i].host)
	}
	if r.disk != "" {
		cfg.Peers = slices.DeleteFunc(slices.Clone(cfg.Seeds), func(h model.HostID) bool { return h == r.host })
	}
	if s.clockStep > 0 {
		r.clockError = s.between(-s.clockStep, s.clockStep)
	}
	var err error
	r.state, err = New(cfg, r.stored, s.now.Add(r.clockError), s.rng.Uint64())
	require.NoError(s.t, err)
	s.tick(r, r.incarnation)
}

func (s *fleetSim) tick(r *simReplica, incarnation int) {
	if r.incarnation == incarnation {
		s.deliver(r, incarnation, event.Tick{})
		s.after(TickInterval, func() { s.tick(r, incarnation) })
	}
}

func (s *fleetSim) after(d model.Duration, action func()) {
	s.seq++
	s.queue.Set(s.seq, simActionOrder{s.now.Add(d), s.seq}, action)
}

func (s *fleetSim) between(low, high model.Duration) model.Duration {
	return low + model.Duration(s.rng.Int64N(int64(high-low)+1))
}

func (s *fleetSim) run(d model.Duration) {
	until := s.now.Add(d)
	for {
		_, key, action, ok := s.queue.Pop()
		if !ok {
			break
		}
		if key.at > until {
			s.queue.Set(key.seq, key, action)
			break
		}
		s.now = max(s.now, key.at)
		action()
	}
	s.now = until
}

// deliver hands an event to a replica, after a freeze of the replica is over. Ticks
// during a freeze are lost.
func (s *fleetSim) deliver(r *simReplica, incarnation int, e event.Event) {
	if r.incarnation != incarnation {
		return
	}
	if s.now < r.frozenUntil {
		if e != (event.Tick{}) {
			s.after(r.frozenUntil.Sub(s.now), func() { s.deliver(r, incarnation, e) })
		}
		return
	}
	for _, f := range Reduce(r.state, event.Input{At: s.now.Add(r.clockError), Rand: s.rng.Uint64(), Event: e}) {
		s.execute(r, incarnation, f)
	}
}

func (s *fleetSim) execute(r *simReplica, incarnation int, f effect.Effect) {
	switch f := f.(type) {
	case effect.Send:
		s.transmit(r, f)
	case effect.Persist:
		if r.diskFull {
			return
		}
		if s.slowDisks {
			s.writeLater(r, incarnation, f)
			return
		}
		r.write(f)
		s.after(s.between(2*millisecond, 8*millisecond), func() { s.deliver(r, incarnation, event.Persisted{Term: f.Term, Index: f.Index}) })
	case effect.CallWorker:
		s.calls[r.host]++
		r.openCalls++
		left := f.SendBy.Sub(s.now.Add(r.clockError))
		require.True(s.t, left >= 0 && left <= delegate.MaxCallAge, "a call may be sent for %d ms", left/millisecond)
		s.callWorker(f.Call, func(reply order.Reply) {
			r.openCalls--
			s.deliver(r, incarnation, event.WorkerReplied{Reply: reply, Term: f.Term})
		})
	case effect.CallAdvice:
		if s.outside != nil {
			s.outside.advise(s, r, f.Call)
		}
	case effect.CallHosts:
		if s.outside != nil {
			s.outside.callHosts(s, r, f.Call)
		}
	case effect.AnswerCall:
		s.answers[f.Answer.Seq] = f.Answer
	case effect.Halt:
		require.Empty(s.t, f.Reason, "a replica halts with an error")
		r.incarnation++
		r.partitioned = true
	}
}

// write puts a write on the disk.
func (r *simReplica) write(f effect.Persist) {
	if f.Snapshot != nil {
		r.stored.Snapshot = f.Snapshot
	}
	if f.Install {
		r.stored.Entries = nil
	}
	if f.HardState != nil {
		r.stored.HardState = *f.HardState
	}
	if len(f.Entries) > 0 {
		kept := slices.IndexFunc(r.stored.Entries, func(e logEntry) bool { return e.Index >= f.Entries[0].Index })
		if kept >= 0 {
			r.stored.Entries = r.stored.Entries[:kept:kept]
		}
		r.stored.Entries = append(r.stored.Entries, f.Entries...)
	}
}

// writeLater makes the writes of a process one after the other. Some hang.
func (s *fleetSim) writeLater(r *simReplica, incarnation int, f effect.Persist) {
	lag := s.between(2*millisecond, 8*millisecond)
	stalls := s.rng.Float64() < s.diskStalls
	if stalls {
		lag = s.between(50*millisecond, longestDiskStall)
	}
	r.diskFreeAt = max(s.now, r.diskFreeAt).Add(lag)
	if stalls {
		s.stalledUntil = max(s.stalledUntil, r.diskFreeAt)
	}
	s.after(r.diskFreeAt.Sub(s.now), func() {
		if r.incarnation != incarnation {
			return
		}
		r.write(f)
		if f.Term != 0 {
			s.deliver(r, incarnation, event.Persisted{Term: f.Term, Index: f.Index})
		}
	})
}

// transmit sends a message in its encoded form.
func (s *fleetSim) transmit(from *simReplica, f effect.Send) {
	hosts := slices.Concat(s.replicas, s.entries)
	i := slices.IndexFunc(hosts, func(r *simReplica) bool { return r.host == f.To })
	if i < 0 || from.partitioned || hosts[i].partitioned {
		return
	}
	if f.Message.Call != nil && f.Message.Call.Heartbeat != nil {
		s.heartbeatsForwarded[from.host]++
	}
	data, err := codec.EncodeMessage(&f.Message)
	require.NoError(s.t, err)
	to := hosts[i]
	incarnation := to.incarnation
	held := max(0, max(from.cutUntil, to.cutUntil, s.cutPairs[pairOf(from, to)]).Sub(s.now))
	s.after(held+s.between(millisecond, 4*millisecond), func() {
		m, err := codec.DecodeMessage(data)
		require.NoError(s.t, err)
		s.deliver(to, incarnation, event.Received{From: from.host, Message: *m})
	})
}

func pairOf(a, b *simReplica) [2]model.HostID {
	return [2]model.HostID{min(a.host, b.host), max(a.host, b.host)}
}

// callWorker makes a call to a worker: it may be lost, or be carried out late without
// an answer.
func (s *fleetSim) callWorker(c order.Call, answer func(order.Reply)) {
	silent := order.Reply{Call: c, Status: order.NoAnswer}
	if s.rng.Float64() < s.lossRate {
		if s.rng.Float64() < 0.5 {
			s.after(s.between(20*millisecond, 5*model.Second), func() { s.executeCall(c) })
		}
		s.after(model.Second, func() { answer(silent) })
		return
	}
	s.after(s.between(millisecond, 4*millisecond), func() {
		reply := s.executeCall(c)
		if c.Poll != nil && c.Poll.Wait > 0 && len(reply.Ended) == 0 {
			next := c
			next.Poll = &order.Poll{Deadline: c.Poll.Deadline, RecordedUpTo: c.Poll.RecordedUpTo, Wait: max(0, c.Poll.Wait-50*millisecond)}
			s.after(50*millisecond, func() { s.callWorker(next, answer) })
			return
		}
		s.after(s.between(millisecond, 4*millisecond), func() { answer(reply) })
	})
}

func (s *fleetSim) executeCall(c order.Call) order.Reply {
	w := s.workers[c.Worker]
	if w == nil || w.down {
		return order.Reply{Call: c, Status: order.Refused}
	}
	s.advance(w)
	clock := order.ClockMS(s.now.Sub(w.startedAt)/millisecond) + 1
	r := order.Reply{Call: c, Status: order.Accepted, Clock: clock, StartedAt: max(1, w.reportedStart)}
	if c.Token < w.token {
		r.Status = order.Fenced
		return r
	}
	w.token = c.Token
	switch {
	case c.Start != nil:
		requireTicket(s, c)
		r.Status = s.startRun(w, c.Start, clock)
	case c.Stop != nil:
		w.ended[c.Stop.TaskRef] = max(w.ended[c.Stop.TaskRef], c.Stop.Run)
		if _, runs := w.running[c.Stop.RunRef]; runs {
			s.end(w, c.Stop.RunRef, jobs.OutcomeStopped)
		}
	case c.Poll != nil:
		w.ends = slices.DeleteFunc(w.ends, func(e order.Ended) bool { return e.Number <= c.Poll.RecordedUpTo })
		w.lease = max(w.lease, c.Poll.Deadline)
		for ref := range w.running {
			r.Running = append(r.Running, order.Running{RunRef: ref, Percent: 100})
		}
		r.Ended = slices.Clone(w.ends)
	}
	return r
}

// advance ends the runs whose work is done or whose lease has expired. An end that is not
// recorded when the lease expires counts for nothing: the leader may have given its run up
// as lost, and starts the task again.
func (s *fleetSim) advance(w *fleetWorker) {
	leaseEnd := w.startedAt.Add(model.Duration(w.lease) * millisecond)
	for ref, until := range w.running {
		switch {
		case until <= min(s.now, leaseEnd):
			s.end(w, ref, jobs.OutcomeDone)
		case leaseEnd < s.now:
			s.end(w, ref, jobs.OutcomeLeaseExpired)
		}
	}
	for _, e := range w.ends {
		if leaseEnd < s.now && e.Outcome == jobs.OutcomeDone {
			delete(s.done, e.TaskRef)
		}
	}
}

func (s *fleetSim) end(w *fleetWorker, ref jobs.RunRef, o jobs.Outcome) {
	delete(w.running, ref)
	w.ended[ref.TaskRef] = max(w.ended[ref.TaskRef], ref.Run)
	w.number++
	w.ends = append(w.ends, order.Ended{Number: w.number, RunRef: ref, Outcome: o})
	if o == jobs.OutcomeDone {
		require.False(s.t, s.done[ref.TaskRef], "%v is done twice", ref)
		s.done[ref.TaskRef] = true
	}
}

func (s *fleetSim) startRun(w *fleetWorker, start *order.Start, clock order.ClockMS) order.Status {
	if _, runs := w.running[start.RunRef]; runs {
		return order.Accepted
	}
	if start.Run <= w.ended[start.TaskRef] {
		return order.Superseded
	}
	if start.Deadline <= clock {
		return order.DeadlinePassed
	}
	for id, other := range s.workers {
		s.advance(other)
		for ref := range other.running {
			require.NotEqual(s.t, start.TaskRef, ref.TaskRef, "%v starts while %v runs on %s", start.RunRef, ref, id)
		}
	}
	require.False(s.t, s.done[start.TaskRef], "%v starts after its end", start.RunRef)
	w.lease = max(w.lease, start.Deadline)
	w.running[start.RunRef] = s.now.Add(s.between(100*millisecond, 2*model.Second))
	s.starts[start.TaskRef]++
	return order.Accepted
}

// callUntilAnswered makes a call at random replicas until one answers it without a
// problem.
func (s *fleetSim) callUntilAnswered(c call.Call) call.Answer {
	for range 200 {
		r := s.replicas[s.rng.IntN(len(s.replicas))]
		s.seq++
		c.Seq, c.Patience = s.seq, 850*millisecond
		s.deliver(r, r.incarnation, event.CallArrived{Call: c})
		for range 20 {
			if a, ok := s.answers[c.Seq]; ok && a.Problem == nil {
				return a
			}
			s.run(50 * millisecond)
		}
	}
	require.Fail(s.t, "the call was never answered", "%+v, the last one with %v", c, s.answers[c.Seq].Problem)
	return call.Answer{}
}

func (s *fleetSim) submit(id string) {
	step := jobs.Step{Tasks: 1 + s.rng.IntN(3), Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: model.Second}
	second := step
	second.After = []int{0}
	s.callUntilAnswered(call.Call{Submit: &call.Submit{
		Address: call.Address{Host: "h", Path: "/q/" + id}, Job: jobs.Job{Steps: []jobs.Step{step, second}, Rounds: make([]jobs.Round, 1)},
	}})
}

// leader returns the replica that leads, or nil.
func (s *fleetSim) leader() *simReplica {
	for _, r := range s.replicas {
		if s.now >= r.frozenUntil && !r.partitioned && !r.state.halted && r.state.canDecide() {
			return r
		}
	}
	return nil
}
