package schedule

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// heldOptions are the faults of a simulation with held calls.
type heldOptions struct {
	delay       model.Duration // longest time from the sending of a held call until it is executed
	restarts    bool           // workers restart a second time, soon after the first or behind the cut
	leaders     bool           // the leader changes, on odd seeds
	answersLost bool           // some answers to orders to start are lost, or such orders are held, and many runs fail
	shortCuts   bool           // workers are cut off for less than startTimeout before they restart
	forgets     bool           // polls that tell a worker to forget ends are held too
	afterEnds   bool           // workers restart when they are told to forget ends
	heard       bool           // workers that are cut off announce themselves
	stalls      bool           // the leader handles nothing for a while
	slowCalls   bool           // some calls are executed late, or answered late
	gangs       bool           // the first step of each job is a gang
	leaseLag    model.Duration // longest time from the end of a lease until its runs end
	otherIDs    bool           // hosts have a process with another ID before some restarts of a worker
}

// heldCalls are the calls without an answer to workers that are down or cut off, and those
// of killed delegates. Each is executed by the process that is up then, in any order:
// within lateCallTime of a reachable process, and within delay of its sending otherwise.
type heldCalls struct {
	heldOptions
	calls        []heldCall
	cutUntil     map[model.WorkerID]model.Time
	crashed      map[model.WorkerID]model.Time // latest restart
	lag          map[*simWorker]model.Duration
	notes        []simNote
	checked      jobs.TaskRef              // whose start or end was checked last
	ends         map[jobs.TaskRef][]simEnd // successful ends, by task
	forgotten    map[simEnd]bool           // of these, the ones that their process was told to forget
	startedAfter map[simEnd]bool           // of these, the ones after which the task has started again
	copies       map[jobs.StepRef]bool     // steps whose tasks may run in copies
	isDue        bool                      // a held call is being executed
	disturb      bool                      // the worker of the next order is disturbed
}

// simEnd is an end that a process lists.
type simEnd struct {
	process *simWorker
	number  uint64
}

type heldCall struct {
	order.Call
	sentAt, at, until model.Time
	lag               model.Duration // until a reachable process executes it
}

// sendHeld handles a call that is held, or executed without a timely answer. It returns false
// for any other call.
func (s *sim) sendHeld(w *simWorker, c order.Call, latency model.Duration) bool {
	reply := order.Reply{Call: c, Status: order.NoAnswer}
	isTrigger := c.Start != nil
	if s.held.afterEnds {
		isTrigger = c.Poll != nil && c.Poll.RecordedUpTo > 0
	}
	if s.held.disturb && isTrigger && w != nil && w.up && !w.partitioned && s.mayRestart(c.Worker) {
		s.held.disturb = false
		s.disturb(c.Worker)
	}
	switch {
	case s.delegateKilled != nil && s.delegateKilled(c.Worker):
		s.hold(c)
		s.answer(700*ms, reply)
	case w == nil || !w.up || w.partitioned:
		if s.refused && s.rng.IntN(2) == 0 {
			reply.Status = order.Refused
			s.answer(latency, reply)
			return true
		}
		s.hold(c)
		s.answer(model.Second, reply)
	case s.held.answersLost && c.Start != nil && s.rng.Float64() < 0.1:
		if s.rng.IntN(2) == 0 {
			s.hold(c)
			if s.mayRestart(c.Worker) { // after the end of the run that a copy starts
				s.held.crashed[c.Worker] = s.now
				s.after(s.between(500*ms, 1500*ms), func() { s.disturb(c.Worker) })
			}
		} else {
			s.after(latency, func() { s.execute(s.byID(c.Worker), c) })
		}
		s.answer(model.Second, reply)
	case s.held.slowCalls && s.rng.IntN(10) == 0:
		s.after(s.between(0, lateCallTime-pollAnswerTime), func() {
			if w := s.byID(c.Worker); w != nil && w.up && !w.partitioned {
				s.answer(s.between(0, pollAnswerTime), s.execute(w, c))
				return
			}
			s.answer(pollAnswerTime, reply)
		})
	default:
		return false
	}
	return true
}

// hold keeps a call without an answer for its later execution. Most polls are lost, since
// a process refuses the calls that were sent before a poll that it has executed.
func (s *sim) hold(c order.Call) {
	if s.held == nil {
		return
	}
	if c.Poll != nil && c.Poll.RecordedUpTo > 0 && !s.held.forgets {
		return
	}
	if c.Poll != nil && c.Poll.RecordedUpTo == 0 && s.rng.IntN(8) > 0 {
		return
	}
	until := s.now.Add(s.held.delay)
	s.held.calls = append(s.held.calls, heldCall{
		Call: c, sentAt: s.now, until: until, at: s.now.Add(s.between(20*ms, s.held.delay)), lag: s.between(0, lateCallTime),
	})
	if c.Start != nil {
		s.note(c.Worker, c.Start.TaskRef, "run %d: order held, token %x", c.Start.Run, c.Token)
	}
}

// releaseHeld executes the held calls that are due.
func (s *sim) releaseHeld() {
	if s.held == nil {
		return
	}
	var due, left []heldCall
	for _, h := range s.held.calls {
		w := s.byID(h.Worker)
		up := w != nil && w.up
		reached := up && !w.partitioned && s.now >= max(w.soundSince, h.sentAt).Add(h.lag)
		switch {
		case s.now > h.until: // it is lost
		case up && s.now >= h.at || reached:
			due = append(due, h)
		default:
			left = append(left, h)
		}
	}
	s.held.calls = left
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, h := range due {
		s.held.isDue = true
		status := s.execute(s.byID(h.Worker), h.Call).Status
		s.held.isDue = false
		if h.Start != nil {
			s.note(h.Worker, h.Start.TaskRef, "run %d: held order executed %d ms after its sending: %s", h.Start.Run, s.now.Sub(h.sentAt)/ms, status)
		}
	}
}

// hasRoom reports whether a worker has room for a run. A worker refuses held orders for
// lack of room, as the leader does not count the runs that it has given up.
func (s *sim) hasRoom(w *simWorker, start *order.Start) bool {
	used := s.state.Jobs[start.Job].Steps[start.Step].Size
	for _, r := range w.running {
		used = used.Add(r.size)
	}
	return used.Fits(w.info.Capacity)
}

// heldWork returns the duration of a run. Long runs end with their lease, short ones soon
// after an order is executed.
func (s *sim) heldWork() model.Duration {
	if s.held.afterEnds || s.rng.IntN(2) == 0 {
		return s.between(200*ms, 700*ms)
	}
	return s.between(3*model.Second, 14*model.Second)
}

// leaseLag returns how late a process ends the runs of an expired lease.
func (s *sim) leaseLag(w *simWorker) model.Duration {
	if s.held == nil || s.held.leaseLag == 0 {
		return 0
	}
	if _, known := s.held.lag[w]; !known {
		s.held.lag[w] = s.between(0, s.held.leaseLag)
	}
	return s.held.lag[w]
}

// mayRestart reports whether a worker may restart now. Without second restarts, no call is
// held then that two later processes could execute.
func (s *sim) mayRestart(id model.WorkerID) bool {
	at, restarted := s.held.crashed[id]
	return s.held.restarts || !restarted || s.now.Sub(at) > 2*maxCallDelay
}

// isHeld reports whether a held call is being executed.
func (s *sim) isHeld() bool { return s.held != nil && s.held.isDue }

// checkEnded checks the start of a task that has ended successfully. It may start again only
// if no process was or will be told to forget such an end, as it was recorded.
func (s *sim) checkEnded(start *order.Start) {
	s.held.checked = start.TaskRef
	for _, e := range s.held.ends[start.TaskRef] {
		require.False(s.t, s.held.forgotten[e], "%v starts after its end is forgotten (recorded: %t)", start.RunRef, s.done[start.TaskRef])
		s.held.startedAfter[e] = true
	}
}

// noteForgotten notes and checks an end that a process is told to forget. The end does not
// count if the lease of the process has lapsed since.
func (s *sim) noteForgotten(w *simWorker, ended *order.Ended) {
	if s.held == nil || ended.Outcome != jobs.OutcomeDone || ended.Number <= w.lapsed {
		return
	}
	s.held.checked = ended.TaskRef
	s.note(w.info.ID, ended.TaskRef, "run %d: its end is forgotten", ended.Run)
	e := simEnd{w, ended.Number}
	require.False(s.t, s.held.startedAfter[e], "%v has started again, and its end is forgotten", ended.RunRef)
	s.held.forgotten[e] = true
}

// restart crashes a worker, which is up again after down, and is still cut off if it was.
func (s *sim) restart(id model.WorkerID, down model.Duration) {
	w := s.byID(id)
	if !w.up {
		return
	}
	s.note(id, jobs.TaskRef{}, "crashes, down for %d ms", down/ms)
	s.held.crashed[id] = s.now
	s.crash(w, down)
	if s.held.otherIDs && s.rng.IntN(2) == 0 {
		s.announceOtherLater(w, s.between(ms, down))
	}
	s.after(down, func() { s.byID(id).partitioned = s.now < s.held.cutUntil[id] })
}

// cut cuts off a worker, whichever process of it is up.
func (s *sim) cut(id model.WorkerID, d model.Duration) {
	s.held.cutUntil[id] = max(s.held.cutUntil[id], s.now.Add(d))
	s.byID(id).partitioned = true
	s.note(id, jobs.TaskRef{}, "cut off for %d ms", d/ms)
	s.after(d, func() {
		if w := s.byID(id); s.now >= s.held.cutUntil[id] {
			w.partitioned, w.soundSince = false, s.now
		}
	})
}

// disturb restarts a worker and cuts it off soon after.
func (s *sim) disturb(id model.WorkerID) {
	s.held.crashed[id] = s.now
	down := s.between(300*ms, model.Second)
	if s.rng.IntN(4) == 0 && !s.held.shortCuts {
		down = s.between(model.Second, 11*model.Second)
	}
	up := down
	if s.held.shortCuts {
		firstCut := s.between(300*ms, startTimeout-100*ms)
		s.cut(id, firstCut)
		crashAt := firstCut + s.between(300*ms, lateCallTime)
		s.after(crashAt, func() { s.restart(id, down) })
		up += crashAt
	} else {
		s.restart(id, down)
	}
	cutAt := up + s.between(50*ms, 600*ms)
	if s.rng.IntN(2) == 0 {
		cutAt = up + s.between(50*ms, 3*model.Second)
	}
	cutFor := s.between(5*model.Second, 20*model.Second)
	s.after(cutAt, func() { s.cut(id, cutFor) })
	if s.held.leaders && s.rng.IntN(2) == 0 {
		s.after(s.between(50*ms, cutAt), s.changeLeader)
	}
	if s.rng.IntN(2) == 0 {
		s.after(s.between(0, cutAt), func() { s.killDelegateOf(id) })
	}
	if s.held.restarts {
		again := up + s.between(50*ms, lateCallTime)
		if s.rng.IntN(2) == 0 {
			again = cutAt + s.between(0, cutFor)
		}
		s.after(again, func() { s.restart(id, s.between(300*ms, model.Second)) })
	}
}

// killDelegateOf loses the answers of a worker until the leader sees the loss of the
// delegate that calls it.
func (s *sim) killDelegateOf(id model.WorkerID) {
	s.note(id, jobs.TaskRef{}, "its delegate is killed")
	s.delegateKilled = func(other model.WorkerID) bool { return other == id }
	s.after(700*ms, func() { s.delegateKilled = nil })
}

func (s *sim) changeLeader() {
	s.note("", jobs.TaskRef{}, "the leader changes")
	s.startTerm()
}

func newHeldSim(t *testing.T, seed uint64, o heldOptions) *sim {
	s := newSim(t, seed)
	o.leaders = o.leaders && seed%2 == 1
	s.held = &heldCalls{heldOptions: o, cutUntil: make(map[model.WorkerID]model.Time), crashed: make(map[model.WorkerID]model.Time),
		ends: make(map[jobs.TaskRef][]simEnd), forgotten: make(map[simEnd]bool), startedAfter: make(map[simEnd]bool),
		copies: make(map[jobs.StepRef]bool), lag: make(map[*simWorker]model.Duration)}
	s.sameID, s.longPolls, s.refused = true, true, seed%4 == 3
	for len(s.workers) < 9 {
		s.workers = append(s.workers, s.newWorker(fmt.Sprintf("w%d", len(s.workers))))
	}
	s.startTerm()
	for _, w := range s.workers {
		s.heartbeatAfter(1500*ms, w)
	}
	if o.answersLost {
		s.failureRate = 0.3
	}
	t.Cleanup(s.logHistory)
	return s
}

// playHeld submits jobs while workers restart and are cut off, and checks that all jobs end.
func (s *sim) playHeld() {
	for i := range 50 {
		id := model.JobID(fmt.Sprintf("%016x", i))
		s.submit(string(id))
		for step := range s.state.Jobs[id].Steps {
			s.held.copies[jobs.StepRef{Job: id, Step: step}] = s.state.Jobs[id].Steps[step].Copies
		}
		s.held.disturb = s.held.disturb || i%3 == 2
		if s.held.leaders && s.rng.IntN(20) == 0 {
			s.changeLeader()
		}
		if s.held.stalls && s.rng.IntN(10) == 0 {
			s.stalledUntil = s.now.Add(s.between(500*ms, 4*model.Second))
		}
		s.run(s.between(100*ms, 1500*ms))
	}
	s.failureRate, s.held.answersLost, s.held.disturb = 0, false, false
	for end := s.now.Add(100 * model.Second); s.now < end && len(s.scheduler.active) > 0; {
		s.run(model.Second)
	}
	for id, j := range s.state.Jobs {
		require.Equal(s.t, jobs.Completed, j.Phase, "job %s", id)
	}
}

func testHeld(t *testing.T, seeds []uint64, o heldOptions) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newHeldSim(t, seed, o).playHeld()
		})
	}
}

// Guards against a task that runs twice: orders to a worker that has restarted and is cut
// off are executed by its later process, within the time for workers that answer later calls.
func TestOrdersExecutedByALaterProcess(t *testing.T) {
	testHeld(t, firstSeeds(4), heldOptions{delay: lateCallTime, heard: true, slowCalls: true})
}

// The same with copies of orders whose run has failed, so that the task starts again.
func TestCopiesExecutedAfterAFailedRun(t *testing.T) {
	testHeld(t, []uint64{1, 2, 27}, heldOptions{delay: lateCallTime, answersLost: true, heard: true, slowCalls: true})
}

// The same with orders that are held for as long as a worker takes no calls.
func TestOrdersHeldForAnUnreachableProcess(t *testing.T) {
	testHeld(t, []uint64{1, 6, 9, 12, 18}, heldOptions{delay: maxCallDelay})
}

// The same with a third process, which has not seen the token that the second one has.
func TestOrdersExecutedByAThirdProcess(t *testing.T) {
	testHeld(t, []uint64{1, 12, 25, 37}, heldOptions{delay: lateCallTime, restarts: true})
}

// The same with orders of earlier leaders.
func TestOrdersOfEarlierLeadersExecutedByALaterProcess(t *testing.T) {
	testHeld(t, []uint64{1, 29, 33}, heldOptions{delay: lateCallTime, leaders: true})
}

// The same with orders that were held behind a short cut: the earlier process refuses one as
// late, does not list its run, or ends it after another copy, and restarts.
func TestOrdersHeldByAShortCut(t *testing.T) {
	testHeld(t, []uint64{3, 4, 7, 12, 17}, heldOptions{delay: maxCallDelay, shortCuts: true})
}

// The same with a leader that handles lists late.
func TestOrdersAfterAStallOfTheLeader(t *testing.T) {
	testHeld(t, []uint64{1, 10, 25}, heldOptions{delay: lateCallTime, stalls: true})
}

// Guards against an end that nobody knows: a poll that tells the earlier process to forget its
// ends is executed by the later one.
func TestPollsExecutedByALaterProcess(t *testing.T) {
	testHeld(t, []uint64{0, 14, 16, 18}, heldOptions{delay: lateCallTime, forgets: true, afterEnds: true})
}

// Guards against a task that runs twice beside a process that is short of processor time.
func TestLeasesThatAProcessEndsLate(t *testing.T) {
	testHeld(t, []uint64{15, 17, 26}, heldOptions{delay: lateCallTime, leaseLag: lateLeaseEnd})
}

// Guards against all of these faults together.
func TestOrdersHeldUnderAllFaults(t *testing.T) {
	testHeld(t, firstSeeds(6), heldOptions{
		delay: maxCallDelay, restarts: true, leaders: true, answersLost: true, forgets: true, heard: true,
		stalls: true, slowCalls: true, leaseLag: lateLeaseEnd,
	})
}

// Guards against a gang that starts again while an order to start one of its members is held.
func TestOrdersOfGangMembersHeld(t *testing.T) {
	testHeld(t, []uint64{3, 4, 9, 17, 28}, heldOptions{
		delay: maxCallDelay, restarts: true, leaders: true, answersLost: true, heard: true, slowCalls: true, gangs: true,
	})
}

// simNote is an event of the simulation that concerns a task or a worker.
type simNote struct {
	at     model.Time
	worker model.WorkerID
	task   jobs.TaskRef
	text   string
}

func (s *sim) note(worker model.WorkerID, task jobs.TaskRef, format string, args ...any) {
	if s.held != nil {
		s.held.notes = append(s.held.notes, simNote{s.now, worker, task, fmt.Sprintf(format, args...)})
	}
}

func (s *sim) noteStart(w *simWorker, start *order.Start) {
	if s.held != nil {
		s.held.checked = start.TaskRef
		s.note(w.info.ID, start.TaskRef, "run %d: starts, lease of %d ms", start.Run, w.lease-w.clock(s.now))
	}
}

// noteLog notes what the leader logs about a run or a worker.
func (s *sim) noteLog(l *effect.Log) {
	var task jobs.TaskRef
	switch l.Code {
	case effect.WorkerSeen, effect.WorkerSilent, effect.WorkerRestarted, effect.WorkerGone:
	case effect.RunOrdered, effect.RunGivenUp, effect.RunEnded:
		task.Job = model.JobID(l.Request)
		var run int
		if _, err := fmt.Sscanf(l.Task, "%d.%d.%d run %d", &task.Round, &task.Step, &task.Index, &run); err != nil {
			return
		}
	default:
		return
	}
	s.note(l.Worker, task, "leader: %s %s %s", l.Code, l.Task, l.Detail)
}

// logHistory logs, after a failure, the events of the task that was started last and those of
// its workers.
func (s *sim) logHistory() {
	if !s.t.Failed() {
		return
	}
	task := s.held.checked
	workers := map[model.WorkerID]bool{"": true}
	first := s.now
	for _, n := range s.held.notes {
		if n.task == task {
			workers[n.worker] = true
			first = min(first, n.at)
		}
	}
	for _, n := range s.held.notes {
		if n.task == task || n.task.Job == "" && workers[n.worker] && n.at >= first.Add(-5*model.Second) {
			s.t.Logf("%6d ms %s %s", n.at.Sub(first)/ms, n.worker, n.text)
		}
	}
}
