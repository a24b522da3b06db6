package schedule

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against an end that is forgotten while a copy of the order may reach a third
// process: the later process has answered the copy on which it runs.
func TestCopyBesideTheAdoptedOneMayReachAThirdProcess(t *testing.T) {
	f, first := orderedFixture(t)
	second := f.takeCalls("a")
	for len(second) == 0 {
		f.advanceBy(50 * ms)
		second = f.takeCalls("a")
	}
	copiedAt := f.now
	f.advanceBy(300 * ms)
	f.startAnswered(first, 20)
	f.announceLater("a", 6000)
	f.answerPollWith("a", order.Reply{Clock: 120, StartedAt: 6000, Running: []order.Running{runningFully(ref("j", 0, 1))}})
	ended := order.Reply{Clock: 200, StartedAt: 6000, Ended: []order.Ended{{Number: 1, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeDone}}}
	f.answerPollWith("a", ended)
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
	for f.now.Sub(copiedAt) < lateCallTime {
		require.Zero(t, f.lastPoll("a").Poll.RecordedUpTo, "%d ms after the copy", f.now.Sub(copiedAt)/ms)
		f.advanceBy(pollRetryDelay)
		f.answerPollWith("a", ended)
	}
}

// Guards against a run that is kept for ever because a poll is lost from time to time.
func TestLostPollsDoNotKeepARun(t *testing.T) {
	f, first := orderedFixture(t)
	f.unanswered(first)
	began := f.now
	for lost := f.now; f.s.runs[ref("j", 0, 1)] != nil; f.advanceBy(50 * ms) {
		require.Less(t, f.now.Sub(began), maxCallDelay+lateCallTime)
		f.takeCalls("a")
		reply := order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms)), StartedAt: 1000}
		if f.now.Sub(lost) >= 2*model.Second {
			lost, reply = f.now, order.Reply{Status: order.NoAnswer}
		}
		f.replyToPolls("a", reply)
	}
}

// Guards against giving up a run because of the list of a later process that has just begun to
// take calls, announced or not: an order that was held until then may reach a third process.
func TestOrderHeldUntilALaterProcessTakesCallsMayReachAThirdOne(t *testing.T) {
	for _, announced := range []bool{false, true} {
		t.Run(fmt.Sprintf("announced %t", announced), func(t *testing.T) {
			f, first := orderedFixture(t)
			f.unanswered(first)
			for down := f.now; f.now.Sub(down) < lateCallTime+500*ms; f.advanceBy(50 * ms) {
				f.failPolls("a", order.NoAnswer, 0)
				for _, c := range f.takeCalls("a") {
					f.unanswered(c)
				}
			}
			if announced {
				f.announceLater("a", 6000)
			}
			for reached := f.now; f.now.Sub(reached) < lateCallTime; f.advanceBy(50 * ms) {
				f.replyToPolls("a", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now.Sub(reached)/ms) + 20, StartedAt: 6000})
				require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after the first answer", f.now.Sub(reached)/ms)
			}
		})
	}
}

// Guards against giving up a run of an earlier process while a third one may run it: the polls
// of the second process extend the lease there when they are held too.
func TestPollOfALaterProcessMayExtendTheLeaseOfAThirdOne(t *testing.T) {
	f, first := orderedFixture(t)
	f.unanswered(first)
	f.advanceBy(200 * ms)
	f.announceLater("a", 6000)
	var polled model.Time
	for range 10 {
		f.replyToPolls("a", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms)), StartedAt: 6000})
		if f.lastPoll("a").Poll.Deadline != 0 {
			polled = f.now
		}
		f.advanceBy(200 * ms)
	}
	require.NotZero(t, polled)
	f.requireKept(polled.Add(maxCallDelay + simBounds.LeaseMax))
}

// Guards against an order that a new leader takes for older than it is: its assignment was
// committed long after it was proposed.
func TestAssignmentThatIsCommittedLateIsVoid(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["press"] = jobs.Team{Cap: model.Resources{MilliCPU: 1}} // nothing is placed but by the test
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	run := f.s.assignRun(f.env(), f.s.active["j"], ref("j", 0, 1), f.s.workers["a"])
	c := jobs.Command{Assign: &jobs.Assign{Runs: []jobs.Assignment{run}}}
	result := f.apply(c)
	f.advanceBy(maxCommitTime + 50*ms)
	f.answerPoll("a", nil, nil)
	f.act(func(out *Out) { f.s.Committed(f.env(), out, &c, result) })
	require.Empty(t, f.takeCalls("a"))
	require.NotContains(t, f.s.runs, ref("j", 0, 1))
}

// Guards against a task that starts again after its end was taken note of: an order counted as void
// while a copy could arrive, and the end of that copy counted for nothing.
func TestLateCopyOfAVoidOrderCompletesItsTask(t *testing.T) {
	f, first := orderedFixture(t, jobs.Step{Tasks: 1, Size: cores(1), Copies: true})
	f.unanswered(first)
	f.answerPollWith("a", order.Reply{Clock: first.Start.Deadline + 1})
	require.NotContains(t, f.s.runs, ref("j", 0, 1))
	f.announceLater("a", 6000)
	f.answerPollWith("a", order.Reply{Clock: 120, StartedAt: 6000, Ended: []order.Ended{{Number: 1, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeDone}}})
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
}

// The same with an order of an earlier leader.
func TestLateCopyOfAnEarlierLeadersOrderCompletesItsTask(t *testing.T) {
	f, _ := orderedFixture(t, jobs.Step{Tasks: 1, Size: cores(1), Copies: true})
	f.calls = nil
	f.s = New(f.env())
	f.advance()
	f.answerPoll("a", nil, nil)
	require.NotContains(t, f.s.runs, ref("j", 0, 1))
	f.announceLater("a", 6000)
	f.answerPollWith("a", order.Reply{Clock: 120, StartedAt: 6000, Ended: []order.Ended{{Number: 1, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeDone}}})
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
}

// Guards against an order that was held while a worker was down for less than the time of a poll:
// its later process takes calls again from its first answer on.
func TestOrderHeldDuringAShortRestartMayReachAThirdProcess(t *testing.T) {
	f, first := orderedFixture(t)
	f.unanswered(first)
	f.now = f.now.Add(startTimeout)
	for reached := f.now; f.now.Sub(reached) < lateCallTime; f.advanceBy(50 * ms) {
		if f.lastPoll("a").Poll != nil {
			f.answerPollWith("a", order.Reply{Clock: order.ClockMS(f.now.Sub(reached)/ms) + 20, StartedAt: 6000})
		}
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after the first answer", f.now.Sub(reached)/ms)
	}
}
