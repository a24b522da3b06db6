package schedule

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// longestLease is the longest time in which a process ends a run with the longest lease.
var longestLease = model.Duration(float64(simBounds.LeaseMax)/minClockRate) + lateLeaseEnd

// unanswered ends a call without an answer.
func (f *fixture) unanswered(c order.Call) {
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &order.Reply{Call: c, Status: order.NoAnswer}) })
}

// announceLater announces a later process of a worker on the same host.
func (f *fixture) announceLater(id model.WorkerID, startedAt int64) {
	info := *f.state.Workers[id]
	info.StartedAt, info.Incarnation = startedAt, 0
	f.commit(jobs.Command{Announce: &info})
}

// requireKept checks that the first run of the job j is kept until a time. All calls to
// its worker a are unanswered meanwhile.
func (f *fixture) requireKept(until model.Time) {
	f.t.Helper()
	for f.now < until {
		require.Contains(f.t, f.s.runs, ref("j", 0, 1), "given up, with %d ms of a run left", until.Sub(f.now)/ms)
		for _, c := range f.takeCalls("a") {
			f.unanswered(c)
		}
		f.failPolls("a", order.NoAnswer, 50*ms)
	}
}

// Guards against giving up a run while its order is held for a worker that nothing reaches:
// a later process that is cut off carries the order out and has the longest lease from then.
func TestOrderHeldForAnUnreachableWorker(t *testing.T) {
	f, first := orderedFixture(t)
	sent := f.now
	f.unanswered(first)
	f.requireKept(sent.Add(maxCallDelay + longestLease))
}

// The same with an order of an earlier leader.
func TestOrderOfAnEarlierLeaderHeldForAnUnreachableWorker(t *testing.T) {
	f, _ := orderedFixture(t)
	sent := f.now
	f.calls = nil
	f.s = New(f.env())
	f.requireKept(sent.Add(maxCallDelay + longestLease))
}

// The same with an order of an earlier version, which did not record when it assigned the run.
func TestOrderOfAnEarlierVersionHeldForAnUnreachableWorker(t *testing.T) {
	f, _ := orderedFixture(t)
	sent := f.now
	f.startTermAfterUpgrade()
	f.requireKept(sent.Add(maxCallDelay + longestLease))
}

// Guards against a run of an earlier version that is kept for the longest delay of a call, although
// its worker has listed it when no order could arrive any more.
func TestListedRunOfAnEarlierVersionIsNotHeld(t *testing.T) {
	f, first := orderedFixture(t, jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true})
	f.startTermAfterUpgrade()
	f.advance()
	for began := f.now; f.now.Sub(began) < lateCallTime+2*pollWait; f.advanceBy(50 * ms) {
		if f.lastPoll("a").Poll != nil {
			f.answerPollWith("a", order.Reply{StartedAt: 1000, Running: []order.Running{runningFully(first.Start.RunRef)}})
		}
	}
	for lost := f.now; f.s.runs[first.Start.RunRef] != nil; f.failPolls("a", order.NoAnswer, 50*ms) {
		require.LessOrEqual(t, f.now.Sub(lost), runsEndAfter(simBounds.LeaseMax)+100*ms)
	}
}

// startTermAfterUpgrade begins a term whose leader inherits the first run of the job j from an
// earlier version.
func (f *fixture) startTermAfterUpgrade() {
	f.state.Task(ref("j", 0, 1).TaskRef).AssignedAt = 0
	f.calls = nil
	f.s = New(f.env())
}

// The same with a poll that extends the lease of a run which a later process has accepted.
func TestPollHeldForAnUnreachableWorker(t *testing.T) {
	f, start := orderedFixture(t)
	poll := f.lastPoll("a")
	require.NotZero(t, poll.Poll.Deadline)
	sent := f.now
	f.advanceBy(900 * ms)
	f.startAnswered(start, 20)
	f.requireKept(sent.Add(maxCallDelay + longestLease))
}

// Guards against giving up a run because of the first list of an announced later process
// while its order may still reach another process, which starts after that.
func TestOrderMayReachAThirdProcessAfterAnAnnouncement(t *testing.T) {
	f, first := orderedFixture(t)
	sent := f.now
	f.unanswered(first)
	f.advanceBy(400 * ms)
	f.announceLater("a", 6000)
	for f.now.Sub(sent) < lateCallTime {
		f.replyToPolls("a", order.Reply{Status: order.Accepted, Clock: 20, StartedAt: 6000})
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its order", f.now.Sub(sent)/ms)
		f.takeCalls("a")
		f.advanceBy(50 * ms)
	}
}

// The same with an order of an earlier leader.
func TestOrderOfAnEarlierLeaderMayReachAThirdProcess(t *testing.T) {
	f, _ := orderedFixture(t)
	sent := f.now
	f.advanceBy(400 * ms)
	f.announceLater("a", 6000)
	f.calls = nil
	f.s = New(f.env())
	for f.now.Sub(sent) < lateCallTime {
		f.advanceBy(50 * ms)
		f.replyToPolls("a", order.Reply{Status: order.Accepted, Clock: 20, StartedAt: 6000})
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its order", f.now.Sub(sent)/ms)
		f.takeCalls("a")
	}
}

// Guards against giving up a run as void because the known process does not list it after
// the deadline of its order: the process may end, and a later one, whose clock starts anew,
// may carry the order out.
func TestUnansweredOrderOfAnUnlistedRunMayReachALaterProcess(t *testing.T) {
	f, first := orderedFixture(t)
	sent := f.now
	f.unanswered(first)
	for f.now.Sub(sent) < lateCallTime {
		f.answerPoll("a", nil, nil)
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its order", f.now.Sub(sent)/ms)
		for _, c := range f.takeCalls("a") {
			f.unanswered(c)
		}
		f.advanceBy(pollRetryDelay)
	}
}

// The same with a leader that was stalled: it derived the deadline from an old answer, so that
// the next list has a later time although the order is on its way.
func TestListOfALaterTimeLeavesAnUnansweredOrder(t *testing.T) {
	f, first := orderedFixture(t)
	sent := f.now
	f.answerPollWith("a", order.Reply{Clock: first.Start.Deadline + 1})
	for f.now.Sub(sent) < lateCallTime {
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its order", f.now.Sub(sent)/ms)
		f.failPolls("a", order.NoAnswer, 50*ms)
	}
}

// The same with a list that the known process gives to a new leader.
func TestOrderOfAnEarlierLeaderMayReachALaterProcessAfterAList(t *testing.T) {
	f, _ := orderedFixture(t)
	sent := f.now
	f.advanceBy(100 * ms)
	f.calls = nil
	f.s = New(f.env())
	f.advance()
	for f.now.Sub(sent) < lateCallTime {
		f.answerPoll("a", nil, nil)
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its order", f.now.Sub(sent)/ms)
		f.advanceBy(pollRetryDelay)
	}
}

// Guards against an end that its worker may forget while a copy of the order lies behind a
// cut: its age does not show that it is lost, so that it may arrive with the calls after the cut.
func TestEndIsKeptListedAfterACutThatHeldACopy(t *testing.T) {
	f, first := orderedFixture(t)
	sent := f.now
	f.unanswered(first)
	f.unanswered(f.lastPoll("a"))
	for f.now.Sub(sent) < startTimeout-100*ms {
		f.advanceBy(50 * ms)
		f.takeCalls("a")
	}
	reachedAt := f.now
	ended := []order.Ended{{Number: 3, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeDone}}
	f.answerPoll("a", nil, ended)
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
	for f.now.Sub(reachedAt) < lateCallTime {
		if c := f.lastPoll("a"); c.Poll != nil {
			require.Less(t, c.Poll.RecordedUpTo, uint64(3), "%d ms after the cut", f.now.Sub(reachedAt)/ms)
			f.answerPoll("a", nil, ended)
		}
		f.advanceBy(50 * ms)
	}
}

// Guards against a second run beside one whose worker ends it late.
func TestLeaseThatAProcessEndsLate(t *testing.T) {
	f, first := orderedFixture(t)
	f.startAnswered(first, order.ClockMS(f.now/model.Time(ms)))
	for began := f.now; f.now.Sub(began) < simBounds.LeaseMax; {
		f.advanceBy(50 * ms)
		f.answerPoll("a", []order.Running{runningFully(ref("j", 0, 1))}, nil)
	}
	granted := f.now
	require.NotZero(t, f.lastPoll("a").Poll.Deadline)
	longest := model.Duration(float64(leaseDuration(simBounds)) / minClockRate)
	f.requireKept(granted.Add(longest + lateLeaseEnd))
}

// Guards against a poll with the number of the recorded ends that a later process executes
// after an order to the earlier one: it would forget the end of that run, which nobody
// knows. So such a poll is not sent while an order is unanswered, and the orders after it
// have a larger token until it is answered.
func TestPollForgetsNoEndsOfALaterProcess(t *testing.T) {
	f, first := orderedFixture(t, jobs.Step{Tasks: 1, Size: cores(1)}, jobs.Step{Tasks: 1, Size: cores(1), After: []int{0}})
	f.startAnswered(first, order.ClockMS(f.now/model.Time(ms)))
	f.answerPoll("a", nil, []order.Ended{{Number: 1, RunRef: first.Start.RunRef, Outcome: jobs.OutcomeDone}})
	start := f.takeCalls("a")
	require.Len(t, start, 1)
	for _, c := range f.calls {
		if c.Poll != nil && c.Poll.RecordedUpTo > 0 {
			require.True(t, c.Seq < start[0].Seq && c.Token < start[0].Token,
				"poll %d with token %x and order %d with token %x are unanswered", c.Seq, c.Token, start[0].Seq, start[0].Token)
		}
	}
}

// Guards against a second run beside one that a later process starts on a copy of an order: the
// run of the other copy has failed, so that the task may run again. For a task that may have copies,
// it guards against a late end that counts for nothing.
func TestTaskWaitsWhileACopyOfTheOrderOfAFailedRunMayArrive(t *testing.T) {
	for _, copies := range []bool{false, true} {
		t.Run(fmt.Sprintf("copies %t", copies), func(t *testing.T) {
			f, first := orderedFixture(t, jobs.Step{Tasks: 1, Size: cores(1), Copies: copies})
			f.unanswered(first)
			second := f.takeCalls("a")
			for len(second) == 0 {
				f.advanceBy(50 * ms)
				second = f.takeCalls("a")
			}
			copiedAt := f.now
			f.startAnswered(second[0], order.ClockMS(f.now/model.Time(ms)))
			failed := []order.Ended{{Number: 1, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeFailed}}
			f.answerPoll("a", nil, failed)
			if !copies {
				failed = nil // a list without it changes nothing
			}
			for f.now.Sub(copiedAt) < lateCallTime-resendDelay {
				for _, c := range f.takeCalls("a") {
					require.Nil(t, c.Start, "ordered again %d ms after the copy", f.now.Sub(copiedAt)/ms)
				}
				f.replyToPolls("a", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms)), StartedAt: 1000, Ended: failed})
				f.advanceBy(pollRetryDelay)
			}
		})
	}
}
