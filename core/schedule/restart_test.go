package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// orderedFixture returns a fixture whose worker a has been ordered to start a task, and the
// first order.
func orderedFixture(t *testing.T, steps ...jobs.Step) (*fixture, order.Call) {
	a := testWorker("a")
	a.StartedAt = 1000
	f := newFixture(t, a)
	f.advanceBy(50 * ms)
	if len(steps) == 0 {
		steps = []jobs.Step{{Tasks: 1, Size: cores(1)}}
	}
	f.submit("j", steps...)
	return f, f.takeCalls("a")[0]
}

// lastPoll returns the latest poll of a worker without an answer.
func (f *fixture) lastPoll(id model.WorkerID) order.Call {
	var last order.Call
	for _, c := range f.calls {
		if c.Worker == id && c.Poll != nil {
			last = c
		}
	}
	return last
}

// lateList returns a fixture whose worker a has restarted: its later process has accepted an
// order with a clock, and the list that the earlier process made before its end arrives then.
func lateList(t *testing.T, clock order.ClockMS) *fixture {
	a := testWorker("a")
	a.StartedAt = 1000
	f := newFixture(t, a)
	f.advanceBy(50 * ms)
	poll := f.lastPoll("a")
	made := order.ClockMS(f.now / model.Time(ms))
	for range 17 { // it crashes, and is up again after 0.6 s
		f.advanceBy(50 * ms)
	}
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	start := f.takeCalls("a")
	require.Len(t, start, 1)
	f.advanceBy(50 * ms)
	f.startAnswered(start[0], clock)
	require.Equal(t, 1, f.logged[effect.WorkerRestarted])
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: poll, Status: order.Accepted, Clock: made, StartedAt: 1000})
	})
	return f
}

// Guards against a run that a later process accepted being void by a list that the earlier
// process made before its end and that arrives later.
func TestLateListOfTheEarlierProcessVoidsNoRun(t *testing.T) {
	f := lateList(t, 20)
	require.Contains(t, f.s.runs, ref("j", 0, 1), "the later process runs it")
}

// Guards against new runs for a restarted worker because of such a list.
func TestLateListOfTheEarlierProcessBringsNoRuns(t *testing.T) {
	f := lateList(t, 1<<40)
	require.Contains(t, f.s.runs, ref("j", 0, 1))
	w := f.s.workers["a"]
	require.True(t, w.restarted && !w.polled, "restarted %t polled %t", w.restarted, w.polled)
}

// Guards against giving up a run while a copy of its order may still be carried out by a
// later process, or has been.
func TestCopyOfAnOrderMayReachALaterProcess(t *testing.T) {
	f, first := orderedFixture(t)
	sent := f.now
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &order.Reply{Call: first, Status: order.NoAnswer}) })
	second := f.takeCalls("a")
	for len(second) == 0 {
		f.advanceBy(50 * ms)
		second = f.takeCalls("a")
	}
	f.advanceBy(20 * ms)
	f.startAnswered(second[0], order.ClockMS(f.now/model.Time(ms)))
	require.Zero(t, f.logged[effect.WorkerRestarted])
	require.Equal(t, 1, f.s.runs[ref("j", 0, 1)].unanswered)
	// The worker crashes now, is back after 0.6 s, carries out the first copy late and is cut off: its run goes on for the longest lease from then.
	goesOnUntil := sent.Add(lateCallTime - 100*ms + simBounds.LeaseMax)
	for f.now < goesOnUntil {
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its first order, with %d ms of a run left", f.now.Sub(sent)/ms, goesOnUntil.Sub(f.now)/ms)
		f.failPolls("a", order.NoAnswer, 50*ms)
	}
}

// The same with an assignment of an earlier leader, whose order is carried out late, by a
// later process that no call of the new leader reaches.
func TestOrderOfAnEarlierLeaderMayReachALaterProcess(t *testing.T) {
	f, _ := orderedFixture(t)
	sent := f.now
	f.calls = nil
	f.s = New(f.env())
	goesOnUntil := sent.Add(lateCallTime - 100*ms + simBounds.LeaseMax)
	for f.now < goesOnUntil {
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its order, with %d ms of a run left", f.now.Sub(sent)/ms, goesOnUntil.Sub(f.now)/ms)
		f.failPolls("a", order.NoAnswer, 50*ms)
	}
}

// Guards against a run that is kept for ever: a later process answers all polls and is
// never announced.
func TestRunOfALaterProcessIsNotKeptForEver(t *testing.T) {
	for name, c := range map[string]struct {
		startedAt int64
		ended     bool
	}{
		"its end is listed, no heartbeat arrives": {6000, true},
		"it seems to have started earlier":        {500, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, start := orderedFixture(t)
			f.advanceBy(900 * ms)
			f.startAnswered(start, 20)
			reply := order.Reply{Status: order.Accepted, StartedAt: c.startedAt}
			if c.ended {
				reply.Ended = []order.Ended{{Number: 1, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeLeaseExpired}}
			}
			began := f.now
			for f.now.Sub(began) < 120*model.Second && f.s.runs[ref("j", 0, 1)] != nil {
				f.advanceBy(50 * ms)
				reply.Clock = 20 + order.ClockMS(f.now.Sub(began)/ms)
				f.replyToPolls("a", reply)
			}
			require.NotContains(t, f.s.runs, ref("j", 0, 1), "after 120 s")
		})
	}
}

// Guards against a refused poll of a later process that counts as an answer of the known one:
// only lists name the start time.
func TestRefusedPollOfALaterProcessIsNoAnswer(t *testing.T) {
	f, _ := orderedFixture(t)
	poll := f.lastPoll("a")
	f.advanceBy(900 * ms)
	w := f.s.workers["a"]
	before := w.answeredAt
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: poll, Status: order.Unavailable, Clock: 20})
	})
	require.Equal(t, before, w.answeredAt)
	f.advanceBy(pollRetryDelay)
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: f.lastPoll("a"), Status: order.Fenced, Clock: 1 << 40})
	})
	require.Less(t, w.clock, order.ClockMS(1<<40))
}

// Guards against a bound that counts from the first copy of an order: a later process may
// carry out the last copy.
func TestLastCopyOfAnOrderSetsTheBound(t *testing.T) {
	f, _ := orderedFixture(t)
	last := f.now
	orders := 1
	silentFrom := f.now
	for f.s.runs[ref("j", 0, 1)] != nil {
		f.advanceBy(50 * ms)
		if n := len(f.takeCalls("a")); n > 0 {
			last, orders = f.now, orders+n
		}
		if f.now.Sub(silentFrom) > 2400*ms {
			f.replyToPolls("a", order.Reply{Status: order.NoAnswer})
		}
	}
	// The last copy is carried out late, by a process that is cut off then.
	goesOnUntil := last.Add(lateCallTime - 100*ms + simBounds.LeaseMax)
	require.GreaterOrEqual(t, f.now, goesOnUntil, "given up %d ms after the last of %d orders, with %d ms of a run left",
		f.now.Sub(last)/ms, orders, goesOnUntil.Sub(f.now)/ms)
}

// Guards against a false alarm about a worker whose clock is 0.2 % faster than that of the
// leader's host.
func TestClockALittleFasterThanTheLeadersIsNoRestart(t *testing.T) {
	a := testWorker("a")
	a.StartedAt = 1000
	f := newFixture(t, a)
	began, clock := f.now, order.ClockMS(f.now/model.Time(ms))
	for range 28 {
		f.advanceBy(50 * ms) // the poll waits
	}
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	start := f.takeCalls("a")[0]
	f.now = f.now.Add(1 * ms)
	f.startAnswered(start, clock+order.ClockMS(float64(f.now.Sub(began)/ms)*1.002))
	require.Zero(t, f.logged[effect.WorkerRestarted])
}

// Guards against giving up a run because of the list of a later process while a copy of its
// order may still reach another process, which starts after that and has seen no token.
func TestOrderMayReachAThirdProcess(t *testing.T) {
	f, first := orderedFixture(t)
	sent := f.now
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &order.Reply{Call: first, Status: order.NoAnswer}) })
	for range 8 {
		f.advanceBy(50 * ms)
		f.replyToPolls("a", order.Reply{Status: order.Accepted, Clock: 20, StartedAt: 6000})
	}
	// That process crashes. The next one carries out the first copy.
	require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its first order", f.now.Sub(sent)/ms)
}

// Guards against an order to start a member of a gang after the gang is recorded as done:
// the answer to the first order is lost with the worker, and a later process of it would
// start the member.
func TestNoOrderAfterTheEndOfAGang(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.advanceBy(50 * ms)
	f.submit("j", jobs.Step{Tasks: 2, Size: cores(1), Gang: true, PerWorker: 1}, jobs.Step{Tasks: 1, Size: cores(1), After: []int{0}})
	onA, onB := f.takeCalls("a"), f.takeCalls("b")
	require.Len(t, onA, 1)
	require.Len(t, onB, 1)
	f.answerPoll("a", nil, []order.Ended{{Number: 1, RunRef: onA[0].Start.RunRef, Outcome: jobs.OutcomeDone}})
	require.Equal(t, jobs.Done, f.state.Task(onB[0].Start.TaskRef).Phase)
	for range 20 {
		f.advanceBy(50 * ms)
		for _, c := range f.takeCalls("b") {
			if c.Start != nil {
				require.NotEqual(t, 0, c.Start.Step, "ordered after its gang was done: %v", c.Start.RunRef)
			}
		}
	}
}

// Guards against an end that its worker may forget although a copy of the order is still on
// its way: a later process would carry it out and start the task again.
func TestEndIsKeptListedWhileACopyOfItsOrderMayArrive(t *testing.T) {
	f, first := orderedFixture(t)
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &order.Reply{Call: first, Status: order.NoAnswer}) })
	second := f.takeCalls("a")
	for len(second) == 0 {
		f.advanceBy(50 * ms)
		second = f.takeCalls("a")
	}
	copiedAt := f.now
	f.startAnswered(second[0], order.ClockMS(f.now/model.Time(ms)))
	ended := []order.Ended{{Number: 3, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeDone}}
	f.answerPoll("a", nil, ended)
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
	for f.now.Sub(copiedAt) < lateCallTime {
		f.advanceBy(50 * ms)
		if c := f.lastPoll("a"); c.Poll != nil && f.now.Sub(copiedAt) < lateCallTime {
			require.Less(t, c.Poll.RecordedUpTo, uint64(3))
			f.answerPoll("a", nil, ended)
		}
	}
	f.advanceBy(pollRetryDelay)
	f.answerPoll("a", nil, ended)
	f.advanceBy(pollRetryDelay)
	require.Equal(t, uint64(3), f.lastPoll("a").Poll.RecordedUpTo)
}
