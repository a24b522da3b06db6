package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/delegate"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// copyInFlight returns a fixture whose worker a runs the first run of the job j on the second
// order to start it, while the first order has no answer, and the time of the second order.
func copyInFlight(t *testing.T, steps ...jobs.Step) (*fixture, model.Time) {
	f, first := orderedFixture(t, steps...)
	f.unanswered(first)
	second := f.takeCalls("a")
	for len(second) == 0 {
		f.advanceBy(50 * ms)
		second = f.takeCalls("a")
	}
	copiedAt := f.now
	f.startAnswered(second[0], order.ClockMS(f.now/model.Time(ms)))
	return f, copiedAt
}

// requireNoSecondStart polls worker a, which gives the same answer, and checks until a time that
// nothing is ordered to start.
func (f *fixture) requireNoSecondStart(until model.Time, r order.Reply) {
	f.t.Helper()
	for f.now < until {
		for _, c := range f.takeCalls("a") {
			require.Nil(f.t, c.Start, "ordered again, %d ms too early", until.Sub(f.now)/ms)
		}
		if f.lastPoll("a").Poll != nil {
			f.answerPollWith("a", r)
		}
		f.advanceBy(50 * ms)
	}
}

// Guards against a second run of a long-running task beside a copy of its order: a long-running
// task starts again after an end as done, too.
func TestDoneLongRunningTaskWaitsForCopiesOfItsOrder(t *testing.T) {
	f, copiedAt := copyInFlight(t, jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true})
	f.requireNoSecondStart(copiedAt.Add(lateCallTime-resendDelay), order.Reply{
		Ended: []order.Ended{{Number: 1, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeDone}},
	})
}

// Guards against a copy of an order that is no longer counted because the process that runs the
// run has a new record: it runs on the order that it has answered, and not on the other one.
func TestCopyIsCountedAfterANewAddressOfTheSameProcess(t *testing.T) {
	f, copiedAt := copyInFlight(t)
	info := *f.state.Workers["a"]
	info.Address, info.Incarnation = "a-2", 0
	f.commit(jobs.Command{Announce: &info})
	f.answerPollWith("a", order.Reply{StartedAt: 1000, Running: []order.Running{runningFully(ref("j", 0, 1))}})
	f.requireNoSecondStart(copiedAt.Add(lateCallTime-resendDelay), order.Reply{
		StartedAt: 1000, Ended: []order.Ended{{Number: 1, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeFailed}},
	})
}

// longestHold is the longest time from the sending of a call until it is carried out, as the
// platform states it.
const longestHold = 12 * model.Second

// Guards against an order that counts as sent when it was decided: it may leave later, and be
// held for the longest delay from then.
func TestOrderThatLeftLateHeldForAnUnreachableWorker(t *testing.T) {
	f, first := orderedFixture(t)
	leftBy := f.now.Add(delegate.MaxCallAge)
	f.unanswered(first)
	f.requireKept(leftBy.Add(longestHold + simBounds.LeaseMax))
}

// The same with an order of an earlier leader.
func TestOrderOfAnEarlierLeaderThatLeftLate(t *testing.T) {
	f, _ := orderedFixture(t)
	leftBy := f.now.Add(delegate.MaxCallAge)
	f.calls = nil
	f.s = New(f.env())
	f.requireKept(leftBy.Add(longestHold + simBounds.LeaseMax))
}

// Guards against an order that counts as arrived though its worker took no calls, which no poll
// shows: the one that was under way is answered after that, and an overloaded leader sends no other.
func TestOrderHeldWithinOnePollMayReachAThirdProcess(t *testing.T) {
	f, first := orderedFixture(t)
	cutAt := f.now
	sentAt := map[uint64]model.Time{first.Seq: f.now}
	f.advanceBy(2 * lateTick)
	open := []order.Call{first}
	for f.now.Sub(cutAt) < 2300*ms {
		f.advanceBy(50 * ms)
		for _, c := range append(f.takeCalls("a"), f.calls...) {
			if sentAt[c.Seq] == 0 {
				sentAt[c.Seq] = f.now
				open = append(open, c)
			}
		}
		left := open[:0]
		for _, c := range open {
			limit := model.Second
			if c.Poll != nil {
				limit = c.Poll.Wait + c.Poll.AnswerTime
			}
			if f.now.Sub(sentAt[c.Seq]) >= limit {
				f.unanswered(c)
			} else {
				left = append(left, c)
			}
		}
		open = left
	}
	reachedAt := f.now
	for f.now.Sub(reachedAt) < lateCallTime {
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after the worker takes calls again", f.now.Sub(reachedAt)/ms)
		if f.lastPoll("a").Poll != nil {
			f.answerPollWith("a", order.Reply{StartedAt: 1000})
		}
		f.takeCalls("a")
		f.advanceBy(50 * ms)
	}
}

// departAndReturn lets worker a leave, and announces a later process of it on the same host.
func (f *fixture) departAndReturn(startedAt int64) {
	info := *f.state.Workers["a"]
	f.commit(jobs.Command{Depart: &jobs.Depart{Worker: "a", Incarnation: info.Incarnation}})
	info.StartedAt, info.Incarnation, info.HostSince = startedAt, 0, 0
	f.commit(jobs.Command{Announce: &info})
}

// requireNotKeptForEver answers all polls of worker a, and checks that the first run of the job j
// is given up within two minutes.
func (f *fixture) requireNotKeptForEver(r order.Reply) {
	f.t.Helper()
	began := f.now
	for f.now.Sub(began) < 120*model.Second && f.s.runs[ref("j", 0, 1)] != nil {
		if f.lastPoll("a").Poll != nil {
			f.answerPollWith("a", r)
		}
		f.advanceBy(50 * ms)
	}
	require.NotContains(f.t, f.s.runs, ref("j", 0, 1), "after 120 s")
}

// Guards against a run that is kept for ever: the polls of a later process, which does not run
// it, prolong the time for which it counts as running.
func TestRunOfAnEarlierProcessIsNotKeptForEver(t *testing.T) {
	t.Run("no host is known", func(t *testing.T) {
		a := testWorker("a")
		a.StartedAt, a.Host = 1000, ""
		f := newFixture(t, a)
		f.advanceBy(50 * ms)
		f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
		f.unanswered(f.takeCalls("a")[0])
		f.announceLater("a", 6000)
		f.requireNotKeptForEver(order.Reply{StartedAt: 6000})
	})
	t.Run("its clock was set back", func(t *testing.T) {
		f, first := orderedFixture(t)
		f.unanswered(first)
		f.departAndReturn(500)
		f.requireNotKeptForEver(order.Reply{StartedAt: 500})
	})
	t.Run("an end is never parsed", func(t *testing.T) {
		f, first := orderedFixture(t)
		f.unanswered(first)
		f.announceLater("a", 6000)
		f.requireNotKeptForEver(order.Reply{StartedAt: 6000, Partial: true, Ended: []order.Ended{{Unparsed: true}}})
	})
}

// Guards against a new leader that leaves out the calls to a worker which has left and is back:
// its polls extend the lease of a third process that carries the earlier leader's order out.
func TestPollOfAReturnedWorkerMayExtendTheLeaseOfAThirdOne(t *testing.T) {
	f, first := orderedFixture(t)
	f.unanswered(first)
	f.departAndReturn(6000)
	f.calls = nil
	f.s = New(f.env())
	f.advance()
	began := f.now
	var polled model.Time
	for f.now.Sub(began) < 5*model.Second {
		if c := f.lastPoll("a"); c.Poll != nil {
			if c.Poll.Deadline != 0 {
				polled = f.now
			}
			f.answerPollWith("a", order.Reply{StartedAt: 6000})
		}
		f.advanceBy(200 * ms)
	}
	require.NotZero(t, polled)
	f.requireKept(polled.Add(longestHold + simBounds.LeaseMax))
}

// Guards against a new leader whose polls name recorded ends to a worker which has left and is
// back, while an order of the earlier leader may reach a third process.
func TestPollForgetsNoEndsOfAReturnedWorker(t *testing.T) {
	f, first := orderedFixture(t)
	f.unanswered(first)
	f.departAndReturn(6000)
	f.calls = nil
	f.s = New(f.env())
	f.advance()
	began := f.now
	f.answerPollWith("a", order.Reply{StartedAt: 6000})
	f.submit("k", jobs.Step{Tasks: 1, Size: cores(1)})
	start := f.takeCalls("a")
	require.Len(t, start, 1)
	f.startAnswered(start[0], order.ClockMS(f.now/model.Time(ms)))
	for f.now.Sub(began) < lateCallTime {
		if c := f.lastPoll("a"); c.Poll != nil {
			require.Zero(t, c.Poll.RecordedUpTo, "%d ms after the beginning of the term", f.now.Sub(began)/ms)
			f.answerPollWith("a", order.Reply{StartedAt: 6000, Ended: []order.Ended{{Number: 1, RunRef: start[0].Start.RunRef, Outcome: jobs.OutcomeDone}}})
		}
		f.advanceBy(50 * ms)
	}
}
