package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

const ms = model.Millisecond

var simBounds = Bounds{LeaseMax: 6 * model.Second, StatusKept: 120 * model.Second}

// simWorker is a worker that obeys the platform: it executes orders late or
// not at all, lists ends until they are recorded, and kills what it runs when its
// lease on a slow clock is over.
type simWorker struct {
	info     jobs.Worker
	rate     float64 // of its clock
	began    model.Time
	up       bool
	cut      bool // cut off from the leader: it runs on
	token    uint64
	lease    order.ClockMS
	ends     []order.Ended
	number   uint64
	running  map[jobs.RunRef]*simRun
	finished map[jobs.TaskRef]int // highest run that was stopped or has ended here
}

type simRun struct {
	size     model.Resources
	doneAt   model.Time
	fails    bool
	gang     int // members of its gang, 0 without one
	whole    bool
	began    model.Time
	work     model.Duration
	stopping model.Time // 0 if it is not being stopped
}

type simEvent struct {
	at model.Time
	do func()
}

// sim is a leader, its log and some workers. Commands are committed after a
// delay, calls are lost or late, and the leader changes.
type sim struct {
	t         *testing.T
	rng       *rand.Rand
	now       model.Time
	events    []simEvent
	state     *jobs.State
	index     uint64
	term      uint64
	scheduler *Scheduler
	workers   []*simWorker
	late      float64
	unhealthy float64                     // part of the starts that workers refuse for a while
	stalled   model.Time                  // the leader handles nothing until then
	done      map[jobs.TaskRef]bool       // ends that were recorded
	forgotten map[jobs.TaskRef]model.Time // when a worker was first told to forget that one was done
	starts    int
	lateCalls int
	leaders   int
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1000 * model.Time(model.Second), state: &jobs.State{}, done: make(map[jobs.TaskRef]bool), forgotten: make(map[jobs.TaskRef]model.Time)}
	s.apply(&jobs.Command{Configure: &jobs.Config{Version: 1, Queues: []jobs.Queue{
		{ID: "q", Host: "h", Prefix: "/q/", Service: "render", MaxAttempts: 40, Stretch: 1.6, Target: 600 * ms, Open: true},
	}, Services: map[model.ServiceID]jobs.Service{"render": {}}}})
	for i := range 5 {
		s.workers = append(s.workers, s.newWorker(fmt.Sprintf("w%d", i)))
	}
	s.lead()
	return s
}

func (s *sim) newWorker(id string) *simWorker {
	w := &simWorker{
		rate: 0.98 + s.rng.Float64()*0.02, began: s.now.Add(-model.Duration(s.rng.IntN(1_000_000)) * ms), up: true,
		running: make(map[jobs.RunRef]*simRun), finished: make(map[jobs.TaskRef]int),
		info: jobs.Worker{ID: model.WorkerID(id), Born: int64(s.now / model.Time(ms)), Service: "render", Address: id,
			Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000}},
	}
	s.apply(&jobs.Command{Announce: &w.info})
	return w
}

func (w *simWorker) clock(now model.Time) order.ClockMS {
	return order.ClockMS(float64(now.Sub(w.began)/ms) * w.rate)
}

func (s *sim) after(d model.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now.Add(d), do})
}

// atLeader runs do at the leader, after a tick if it is stalled then.
func (s *sim) atLeader(d model.Duration, do func()) {
	s.after(d, func() {
		if s.now < s.stalled {
			s.atLeader(s.stalled.Sub(s.now)+ms, do)
			return
		}
		do()
	})
}

func (s *sim) between(low, high model.Duration) model.Duration {
	return low + model.Duration(s.rng.Int64N(int64(high-low)+1))
}

func (s *sim) env() Env {
	return Env{Now: s.now, Clock: s.now, Term: s.term, State: s.state, Bounds: simBounds}
}

// lead begins a term.
func (s *sim) lead() {
	s.term++
	s.leaders++
	s.scheduler = New(s.env())
	s.act(func(out *Out) { s.scheduler.Advance(s.env(), out) })
}

// act lets the scheduler handle something and carries out what it asks for.
func (s *sim) act(handle func(*Out)) {
	var out Out
	handle(&out)
	s.scheduler.Place(s.env(), &out)
	for _, e := range out.Effects {
		if call, ok := e.(effect.CallWorker); ok {
			s.send(call.Call)
		}
	}
	scheduler := s.scheduler
	for i := range out.Proposals {
		c := out.Proposals[i]
		s.atLeader(s.between(5*ms, 25*ms), func() {
			if s.scheduler == scheduler { // proposals of an earlier leader are lost
				s.commit(&c)
			}
		})
	}
}

func (s *sim) commit(c *jobs.Command) {
	result := s.apply(c)
	if c.End != nil {
		for i := range c.End.Runs {
			if c.End.Runs[i].Outcome == jobs.OutcomeDone && result.Applied[i] {
				s.done[c.End.Runs[i].TaskRef] = true
				if job := s.state.Jobs[c.End.Runs[i].Job]; job.Steps != nil && job.Steps[c.End.Runs[i].Step].Gang {
					for member := range job.Steps[c.End.Runs[i].Step].Tasks {
						ref := c.End.Runs[i].TaskRef
						ref.Index = member
						s.done[ref] = true
					}
				}
			}
		}
	}
	s.act(func(out *Out) { s.scheduler.Committed(s.env(), out, c, result) })
}

func (s *sim) apply(c *jobs.Command) jobs.Result {
	s.index++
	return s.state.Apply(c, s.index, s.now)
}

// send carries a call: it may be lost, or carried out seconds later without an
// answer.
func (s *sim) send(c order.Call) {
	w := s.byID(c.Worker)
	reply := order.Reply{Call: c, Status: order.Silent}
	way := s.between(1*ms, 8*ms)
	switch {
	case s.rng.Float64() < s.late:
		s.lateCalls++
		if s.rng.Float64() < 0.5 {
			s.after(s.between(20*ms, 12*model.Second), func() { s.carryOut(w, c) })
		}
		s.answer(model.Second, reply)
	case w != nil && w.up && w.cut && s.rng.Float64() < 0.5:
		s.after(way, func() { s.carryOut(w, c) })
		s.answer(model.Second, reply)
	case w == nil || !w.up || w.cut:
		s.answer(model.Second, reply)
	default:
		s.after(way, func() {
			if !w.up || w.cut {
				s.answer(model.Second, reply)
				return
			}
			s.after(0, func() { s.answer(s.between(1*ms, 8*ms), s.carryOut(w, c)) })
		})
	}
}

func (s *sim) answer(d model.Duration, r order.Reply) {
	term := s.term
	s.atLeader(d, func() {
		if s.term == term {
			s.act(func(out *Out) { s.scheduler.Replied(s.env(), out, &r) })
		}
	})
}

func (s *sim) byID(id model.WorkerID) *simWorker {
	for _, w := range s.workers {
		if w.info.ID == id {
			return w
		}
	}
	return nil
}

// carryOut does what a call asks for, by the platform's rules.
func (s *sim) carryOut(w *simWorker, c order.Call) order.Reply {
	r := order.Reply{Call: c, Status: order.Accepted}
	if w == nil || !w.up {
		r.Status = order.Silent
		return r
	}
	r.Clock, r.Born = w.clock(s.now), w.info.Born
	if c.Token < w.token {
		r.Status = order.Fenced
		return r
	}
	w.token = c.Token
	switch {
	case c.Start != nil && s.rng.Float64() < s.unhealthy:
		r.Status = order.Unavailable
	case c.Start != nil:
		r.Status = s.startRun(w, c.Start)
	case c.Stop != nil:
		w.finished[c.Stop.TaskRef] = max(w.finished[c.Stop.TaskRef], c.Stop.Run)
		if run := w.running[c.Stop.RunRef]; run != nil && run.stopping == 0 {
			run.stopping = s.now.Add(s.between(100*ms, 900*ms))
		}
	case c.Hold != nil:
		for len(w.ends) > 0 && w.ends[0].Number <= c.Hold.Seen {
			if _, known := s.forgotten[w.ends[0].TaskRef]; !known && w.ends[0].Outcome == jobs.OutcomeDone {
				s.forgotten[w.ends[0].TaskRef] = s.now
			}
			w.ends = w.ends[1:]
		}
		w.lease = max(w.lease, min(c.Hold.Deadline, r.Clock+order.ClockMS(simBounds.LeaseMax/ms)))
		for ref := range w.running {
			r.Running = append(r.Running, order.Running{RunRef: ref, Percent: 100})
		}
		r.Ended = append(r.Ended, w.ends...)
	}
	return r
}

func (s *sim) startRun(w *simWorker, start *order.Start) order.Status {
	if w.running[start.RunRef] != nil {
		return order.Accepted
	}
	if start.Run <= w.finished[start.TaskRef] {
		return order.Old
	}
	if start.Deadline <= w.clock(s.now) {
		return order.Late
	}
	s.checkStart(w, start)
	job := s.state.Jobs[start.Job]
	w.lease = max(w.lease, start.Deadline)
	longest := 2500 * ms
	if s.rng.Float64() < 0.4 {
		longest = 12 * model.Second // longer than a lease
	}
	work := s.between(200*ms, longest)
	run := &simRun{
		size: job.Steps[start.Step].Size, began: s.now, work: work, doneAt: s.now.Add(work), fails: s.rng.Float64() < 0.05,
	}
	if job.Steps[start.Step].Gang {
		run.gang = job.Steps[start.Step].Tasks
	}
	w.running[start.RunRef] = run
	used := model.Resources{}
	for _, run := range w.running {
		used = used.Add(run.size)
	}
	require.True(s.t, used.Fits(w.info.Capacity), "%s is over its capacity", w.info.ID)
	s.starts++
	return order.Accepted
}

// checkStart checks a start against all that runs anywhere and what was recorded.
func (s *sim) checkStart(w *simWorker, start *order.Start) {
	if s.state.Jobs[start.Job].Steps[start.Step].Copies {
		at, forgotten := s.forgotten[start.TaskRef]
		require.False(s.t, forgotten && s.now.Sub(at) > model.Second, "%v starts after a copy was done", start.RunRef)
		return
	}
	require.False(s.t, s.done[start.TaskRef], "%v starts after its end was recorded", start.RunRef)
	for _, other := range s.workers {
		for ref := range other.running {
			require.False(s.t, other.up && ref.TaskRef == start.TaskRef, "%v starts on %s while %v runs on %s", start.RunRef, w.info.ID, ref, other.info.ID)
		}
	}
	job := s.state.Jobs[start.Job]
	for _, before := range job.Steps[start.Step].After {
		for i := range job.Rounds[start.Round].Tasks[before] {
			require.True(s.t, s.done[jobs.TaskRef{Job: start.Job, Step: before, Index: i}], "step %d starts before step %d is done", start.Step, before)
		}
	}
}

// advanceWorkers ends what is over.
func (s *sim) advanceWorkers() {
	for _, w := range s.workers {
		if !w.up {
			continue
		}
		over := w.lease <= w.clock(s.now)
		for _, ref := range sortedRefs(w.running) {
			run := w.running[ref]
			switch {
			case run == nil: // ended with another member of its gang
			case over:
				s.endRun(w, ref, jobs.OutcomeLapsed)
			case run.stopping != 0 && s.now >= run.stopping:
				s.endRun(w, ref, jobs.OutcomeStopped)
			case run.gang > 0 && !s.isPresent(ref, run):
				if s.now.Sub(run.began) > 3*model.Second {
					s.endRun(w, ref, jobs.OutcomeAlone)
				}
			case s.now >= run.doneAt && run.fails:
				s.endRun(w, ref, jobs.OutcomeFailed)
			case s.now >= run.doneAt:
				s.endRun(w, ref, jobs.OutcomeDone)
			}
		}
	}
}

// members calls do for each member of a gang's run that runs anywhere.
func (s *sim) members(ref jobs.RunRef, do func(w *simWorker, other jobs.RunRef, r *simRun)) {
	for _, w := range s.workers {
		for _, other := range sortedRefs(w.running) {
			if w.up && other.Job == ref.Job && other.Step == ref.Step && other.Run == ref.Run {
				do(w, other, w.running[other])
			}
		}
	}
}

// isPresent reports whether all members of a run are there. Their work begins then.
func (s *sim) isPresent(ref jobs.RunRef, run *simRun) bool {
	if run.whole {
		return true
	}
	n := 0
	s.members(ref, func(*simWorker, jobs.RunRef, *simRun) { n++ })
	if n < run.gang {
		return false
	}
	s.members(ref, func(_ *simWorker, _ jobs.RunRef, r *simRun) {
		r.whole, r.doneAt, r.fails = true, s.now.Add(run.work), run.fails
	})
	return true
}

func sortedRefs(runs map[jobs.RunRef]*simRun) []jobs.RunRef {
	var list []jobs.RunRef
	for ref := range runs {
		at := len(list)
		for at > 0 && compareRuns(list[at-1], ref) > 0 {
			at--
		}
		list = append(list[:at], append([]jobs.RunRef{ref}, list[at:]...)...)
	}
	return list
}

func (s *sim) endRun(w *simWorker, ref jobs.RunRef, o jobs.Outcome) {
	run := w.running[ref]
	if run == nil {
		return
	}
	delete(w.running, ref)
	if run.gang > 0 && run.whole {
		rest := jobs.OutcomeBroken
		if o == jobs.OutcomeDone {
			rest = jobs.OutcomeDone
		}
		s.members(ref, func(other *simWorker, member jobs.RunRef, _ *simRun) {
			s.list(other, member, rest)
			delete(other.running, member)
		})
	}
	s.list(w, ref, o)
}

// list records the end of a run at its worker.
func (s *sim) list(w *simWorker, ref jobs.RunRef, o jobs.Outcome) {
	w.finished[ref.TaskRef] = max(w.finished[ref.TaskRef], ref.Run)
	w.number++
	w.ends = append(w.ends, order.Ended{Number: w.number, RunRef: ref, Outcome: o})
}

// run lets time pass.
func (s *sim) run(d model.Duration) {
	until := s.now.Add(d)
	tick := s.now
	for s.now < until {
		s.now = s.now.Add(ms)
		due := s.events[:0:0]
		var left []simEvent
		for _, e := range s.events {
			if e.at <= s.now {
				due = append(due, e)
			} else {
				left = append(left, e)
			}
		}
		s.events = left
		for _, e := range due {
			e.do()
		}
		s.advanceWorkers()
		if s.now >= s.stalled && s.now.Sub(tick) >= 50*ms {
			tick = s.now
			s.act(func(out *Out) { s.scheduler.Advance(s.env(), out) })
			requireRoomIndex(s.t, s.scheduler, s.env())
		}
	}
}

func (s *sim) submit(id string) {
	steps := []jobs.Step{{Tasks: 1 + s.rng.IntN(4), Size: model.Resources{MilliCPU: 1000 + s.rng.Int64N(3000), MemoryMB: 500}, Estimate: model.Second}}
	switch kind := s.rng.Float64(); {
	case kind < 0.3:
		steps[0].Gang = true
	case kind < 0.5:
		steps[0].Copies = true
	}
	if s.rng.Float64() < 0.5 {
		steps = append(steps, jobs.Step{Tasks: 1 + s.rng.IntN(3), Size: model.Resources{MilliCPU: 2000, MemoryMB: 500}, Estimate: model.Second, After: []int{0}})
	}
	j := &jobs.Job{ID: model.JobID(id), Queue: "q", Service: "render", Steps: steps, Rounds: make([]jobs.Round, 1)}
	c := &jobs.Command{Submit: j}
	result := s.apply(c)
	s.act(func(out *Out) { s.scheduler.Committed(s.env(), out, c, result) })
}

// crash ends a worker's process; restart gives it another life.
func (s *sim) crash(w *simWorker, d model.Duration) {
	w.up = false
	w.running = make(map[jobs.RunRef]*simRun)
	s.after(d, func() {
		fresh := &simWorker{
			info: w.info, rate: w.rate, began: s.now, up: true,
			running: make(map[jobs.RunRef]*simRun), finished: make(map[jobs.TaskRef]int),
		}
		fresh.info.ID = model.WorkerID(fmt.Sprintf("%s+", w.info.ID))
		fresh.info.Address, fresh.info.Born = string(fresh.info.ID), int64(s.now/model.Time(ms))
		for i := range s.workers {
			if s.workers[i] == w {
				s.workers[i] = fresh
			}
		}
		s.commit(&jobs.Command{Announce: &fresh.info})
	})
}

// Guards against two runs of one task at a time, a run after a recorded end, a
// worker over its capacity, steps out of order, and jobs that never end, while
// calls are lost or executed late, workers crash, clocks are slow and leaders
// change.
func TestRunsUnderFaults(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed)
			s.late, s.unhealthy = 0.1, 0.1
			// Half of the runs have many changes of leader; in the others the leader
			// stays long enough for leases of its own to end.
			leads := 2 + 14*int(seed%2)
			for i := range 40 {
				s.submit(fmt.Sprintf("%016x", i))
				s.run(s.between(50*ms, 400*ms))
				switch roll := s.rng.IntN(100); {
				case roll < leads:
					s.lead()
				case roll >= 95:
					s.stalled = s.now.Add(s.between(500*ms, 5*model.Second))
				case roll < leads+14:
					w := s.workers[s.rng.IntN(len(s.workers))]
					w.cut = true
					s.after(s.between(model.Second, 12*model.Second), func() { w.cut = false })
				case roll < leads+25:
					if w := s.workers[s.rng.IntN(len(s.workers))]; w.up {
						s.crash(w, s.between(model.Second, 8*model.Second))
					}
				}
			}
			s.late, s.unhealthy = 0, 0
			s.run(60 * model.Second)
			for id, j := range s.state.Jobs {
				require.Equal(t, jobs.Completed, j.Phase, "job %s", id)
			}
			require.Greater(t, s.starts, 40)
			require.Positive(t, s.lateCalls)
		})
	}
}
