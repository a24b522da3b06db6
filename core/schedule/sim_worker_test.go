package schedule

import (
	"fmt"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// simWorker is a worker that follows the platform's rules: it executes orders late or not
// at all, lists ends until they are recorded, and ends its runs when its lease has expired
// by its slow clock.
type simWorker struct {
	info        jobs.Worker
	rate        float64 // of its clock, 1 for real time
	clockStart  model.Time
	up          bool
	partitioned bool // unreachable for the leader; its runs continue
	soundSince  model.Time
	token       uint64
	lease       order.ClockMS
	ends        []order.Ended
	number      uint64 // of the latest end
	lapsed      uint64 // number of the latest end at the latest time without a lease
	running     map[jobs.RunRef]*simRun
	finished    map[jobs.TaskRef]int // highest run number that was stopped or has ended here
}

type simRun struct {
	size     model.Resources
	doneAt   model.Time
	fails    bool
	gang     int  // number of members of its gang, 0 if it has no gang
	complete bool // all members of the gang have started
	beganAt  model.Time
	work     model.Duration
	stopsAt  model.Time // when a stop takes effect, 0 without a stop
}

func (s *sim) newWorker(id string) *simWorker {
	w := &simWorker{
		rate: 0.98 + s.rng.Float64()*0.02, clockStart: s.now.Add(-model.Duration(s.rng.IntN(1_000_000)) * ms), up: true,
		running: make(map[jobs.RunRef]*simRun), finished: make(map[jobs.TaskRef]int),
		info: jobs.Worker{ID: model.WorkerID(id), StartedAt: int64(s.now / model.Time(ms)), Host: model.HostID("host-" + id), Service: "render", Address: id,
			Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000}},
	}
	s.apply(&jobs.Command{Announce: &w.info})
	return w
}

func (w *simWorker) clock(now model.Time) order.ClockMS {
	return order.ClockMS(float64(now.Sub(w.clockStart)/ms) * w.rate)
}

func (s *sim) byID(id model.WorkerID) *simWorker {
	for _, w := range s.workers {
		if w.info.ID == id {
			return w
		}
	}
	return nil
}

// execute executes a call by the platform's rules.
func (s *sim) execute(w *simWorker, c order.Call) order.Reply {
	r := order.Reply{Call: c, Status: order.Accepted}
	if w == nil || !w.up {
		r.Status = order.NoAnswer
		return r
	}
	r.Clock = w.clock(s.now)
	if w.lease <= r.Clock {
		w.lapsed = w.number
	}
	if c.Token < w.token {
		r.Status = order.Fenced
		return r
	}
	w.token = c.Token
	switch {
	case c.Start != nil && s.rng.Float64() < s.refusalRate:
		r.Status = order.Unavailable
	case c.Start != nil:
		r.Status = s.startRun(w, c.Start)
	case c.Stop != nil:
		w.finished[c.Stop.TaskRef] = max(w.finished[c.Stop.TaskRef], c.Stop.Run)
		if run := w.running[c.Stop.RunRef]; run != nil && run.stopsAt == 0 {
			run.stopsAt = s.now.Add(s.between(100*ms, 900*ms))
		}
	case c.Poll != nil:
		for len(w.ends) > 0 && w.ends[0].Number <= c.Poll.RecordedUpTo {
			if _, known := s.forgotten[w.ends[0].TaskRef]; !known && w.ends[0].Outcome == jobs.OutcomeDone && (s.held == nil || w.ends[0].Number > w.lapsed) {
				s.forgotten[w.ends[0].TaskRef] = s.now
			}
			s.noteForgotten(w, &w.ends[0])
			w.ends = w.ends[1:]
		}
		w.lease = max(w.lease, min(c.Poll.Deadline, r.Clock+order.ClockMS(simBounds.LeaseMax/ms)))
		r = s.listRuns(w, c)
	}
	return r
}

// listRuns returns the answer of a worker to a poll.
func (s *sim) listRuns(w *simWorker, c order.Call) order.Reply {
	r := order.Reply{Call: c, Status: order.Accepted, Clock: w.clock(s.now), StartedAt: w.info.StartedAt}
	for _, ref := range sortedRefs(w.running) {
		r.Running = append(r.Running, order.Running{RunRef: ref, Percent: 100})
	}
	r.Ended = append(r.Ended, w.ends...)
	s.corruptEntries(&r)
	return r
}

// corruptEntries simulates entries of the lists that cannot be parsed.
func (s *sim) corruptEntries(r *order.Reply) {
	if s.unparsedRate == 0 {
		return
	}
	kept := r.Running[:0]
	for _, listed := range r.Running {
		if s.rng.Float64() < s.unparsedRate {
			r.Unparsed, r.Partial = true, true
			s.unparsedEntries++
			continue
		}
		kept = append(kept, listed)
	}
	r.Running = kept
	for i := range r.Ended {
		if s.rng.Float64() < s.unparsedRate {
			r.Ended[i] = order.Ended{Unparsed: true}
			r.Partial = true
			s.unparsedEntries++
		}
	}
}

func (s *sim) startRun(w *simWorker, start *order.Start) order.Status {
	if w.running[start.RunRef] != nil {
		return order.Accepted
	}
	deadline := min(start.Deadline, w.clock(s.now)+order.ClockMS(simBounds.LeaseMax/ms))
	if start.Run <= w.finished[start.TaskRef] {
		w.lease = max(w.lease, deadline)
		return order.Superseded
	}
	if start.Deadline <= w.clock(s.now) {
		return order.DeadlinePassed
	}
	job := s.state.Jobs[start.Job]
	if job.Steps == nil { // a copy has completed the job while the order was on its way
		require.Equal(s.t, jobs.Completed, job.Phase)
		if s.held != nil && !s.held.copies[start.StepRef()] {
			s.checkEnded(start)
		}
		return order.Superseded
	}
	w.lease = max(w.lease, deadline)
	if s.held != nil && !s.hasRoom(w, start) {
		return order.NoCapacity
	}
	s.checkStart(w, start)
	longest := 2500 * ms
	if s.rng.Float64() < 0.4 {
		longest = 12 * model.Second // longer than a lease
	}
	work := s.between(200*ms, longest)
	if s.held != nil {
		work = s.heldWork()
	}
	run := &simRun{
		size: job.Steps[start.Step].Size, beganAt: s.now, work: work, doneAt: s.now.Add(work), fails: s.rng.Float64() < s.failureRate,
	}
	if job.Steps[start.Step].LongRunning {
		run.doneAt = s.now.Add(s.between(model.Second, 200*model.Second))
		run.fails = true
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

// checkStart checks a start against the runs of all workers and the recorded ends.
func (s *sim) checkStart(w *simWorker, start *order.Start) {
	s.noteStart(w, start)
	if s.state.Jobs[start.Job].Steps[start.Step].Copies {
		at, forgotten := s.forgotten[start.TaskRef]
		require.False(s.t, forgotten && !s.isHeld() && s.now.Sub(at) > model.Second, "%v starts after a copy was done", start.RunRef)
		return
	}
	if s.held != nil {
		s.checkEnded(start)
	} else {
		require.False(s.t, s.done[start.TaskRef], "%v starts after its end was recorded", start.RunRef)
	}
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

// advanceWorkers ends the runs whose lease, stop or work is over.
func (s *sim) advanceWorkers() {
	for _, w := range s.workers {
		if !w.up {
			continue
		}
		if w.lease <= w.clock(s.now) {
			w.lapsed = w.number
		}
		leaseExpired := w.lease <= w.clock(s.now.Add(-s.leaseLag(w)))
		for _, ref := range sortedRefs(w.running) {
			run := w.running[ref]
			switch {
			case run == nil: // it ended with another member of its gang
			case leaseExpired:
				s.endRun(w, ref, jobs.OutcomeLeaseExpired)
			case run.stopsAt != 0 && s.now >= run.stopsAt:
				s.endRun(w, ref, jobs.OutcomeStopped)
			case run.gang > 0 && !s.isComplete(ref, run):
				if s.now.Sub(run.beganAt) > 3*model.Second {
					s.endRun(w, ref, jobs.OutcomeGangIncomplete)
				}
			case s.now >= run.doneAt && run.fails:
				s.endRun(w, ref, jobs.OutcomeFailed)
			case s.now >= run.doneAt:
				s.endRun(w, ref, jobs.OutcomeDone)
			}
		}
	}
}

// members calls do for each running member of a gang.
func (s *sim) members(ref jobs.RunRef, do func(w *simWorker, other jobs.RunRef, r *simRun)) {
	for _, w := range s.workers {
		for _, other := range sortedRefs(w.running) {
			if w.up && other.Job == ref.Job && other.Step == ref.Step && other.Run == ref.Run {
				do(w, other, w.running[other])
			}
		}
	}
}

// isComplete reports whether all members of a gang have started. Their work begins then.
func (s *sim) isComplete(ref jobs.RunRef, run *simRun) bool {
	if run.complete {
		return true
	}
	n := 0
	s.members(ref, func(*simWorker, jobs.RunRef, *simRun) { n++ })
	if n < run.gang {
		return false
	}
	s.members(ref, func(_ *simWorker, _ jobs.RunRef, r *simRun) {
		r.complete, r.doneAt, r.fails = true, s.now.Add(run.work), run.fails
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
	if o == jobs.OutcomeFailed {
		key := ref.TaskRef
		if run.gang > 0 {
			key.Index = 0
		}
		s.failures[key]++
	}
	s.noteEnd(ref, string(o))
	if run.gang > 0 && run.complete {
		rest := jobs.OutcomeGangBroken
		if o == jobs.OutcomeDone {
			rest = jobs.OutcomeDone
		}
		s.members(ref, func(other *simWorker, member jobs.RunRef, _ *simRun) {
			s.recordEnd(other, member, rest)
			delete(other.running, member)
		})
	}
	s.recordEnd(w, ref, o)
}

// recordEnd adds the end of a run to the list of its worker.
func (s *sim) recordEnd(w *simWorker, ref jobs.RunRef, o jobs.Outcome) {
	w.finished[ref.TaskRef] = max(w.finished[ref.TaskRef], ref.Run)
	w.number++
	w.ends = append(w.ends, order.Ended{Number: w.number, RunRef: ref, Outcome: o})
	if s.held != nil && o == jobs.OutcomeDone {
		s.held.ends[ref.TaskRef] = append(s.held.ends[ref.TaskRef], simEnd{w, w.number})
	}
}

// heartbeatAfter makes a worker announce itself, and again every 1.5 s, since the leader
// removes a worker that it cannot reach.
func (s *sim) heartbeatAfter(d model.Duration, w *simWorker) {
	s.after(d, func() {
		if !w.up {
			return
		}
		s.heartbeatAfter(1500*ms, w)
		known := s.state.Workers[w.info.ID]
		if (!w.partitioned || s.held != nil && s.held.heard) && (known == nil || !known.SameIncarnation(&w.info)) {
			s.commit(&jobs.Command{Announce: &w.info})
		}
	})
}

// crash ends a worker's process and starts a new one after d.
func (s *sim) crash(w *simWorker, d model.Duration) {
	w.up = false
	for ref := range w.running {
		s.noteEnd(ref, "crash")
	}
	w.running = make(map[jobs.RunRef]*simRun)
	s.after(d, func() {
		fresh := &simWorker{
			info: w.info, rate: w.rate, clockStart: s.now, up: true, soundSince: s.now,
			running: make(map[jobs.RunRef]*simRun), finished: make(map[jobs.TaskRef]int),
		}
		fresh.info.StartedAt = int64(s.now / model.Time(ms))
		announceAfter := model.Duration(0)
		if s.sameID {
			fresh.clockStart = s.now.Add(-ms)
			announceAfter = s.between(0, 1500*ms)
		} else {
			fresh.info.ID = model.WorkerID(fmt.Sprintf("%s+", w.info.ID))
			fresh.info.Address = string(fresh.info.ID)
		}
		for i := range s.workers {
			if s.workers[i] == w {
				s.workers[i] = fresh
			}
		}
		if announceAfter == 0 {
			s.commit(&jobs.Command{Announce: &fresh.info})
			return
		}
		s.heartbeatAfter(announceAfter, fresh)
	})
}

// restartAndCut crashes a worker, which is up again within a second and is cut off soon
// after.
func (s *sim) restartAndCut(w *simWorker) {
	down := s.between(restartTime, model.Second)
	s.crash(w, down)
	s.after(down+s.between(0, 2*model.Second), func() {
		later := s.byID(w.info.ID)
		later.partitioned = true
		s.after(s.between(4*model.Second, 10*model.Second), func() { later.partitioned = false })
	})
}
