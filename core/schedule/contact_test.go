package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

const sentAt = 1000 * model.Time(model.Second)

// contactAt returns a contact that has answered a call just before sentAt, and one call that was
// sent at sentAt.
func contactAt() *contact {
	c := &contact{}
	c.answered(&order.Reply{StartedAt: 1000}, sentAt.Add(-10*ms), sentAt.Add(-5*ms))
	c.sent(sentAt)
	return c
}

// Guards against an answer that counts as proof that the latest call has arrived, although its
// call was sent so soon after it that it may have overtaken it.
func TestOnlyTheAnswerToAMuchLaterCallShowsThatACallHasArrived(t *testing.T) {
	for _, after := range []model.Duration{0, 10 * ms, lateCallTime - ms, lateCallTime, 4 * model.Second} {
		c := contactAt()
		answeredAt := sentAt.Add(after + 20*ms)
		c.answered(&order.Reply{StartedAt: 1000}, sentAt.Add(after), answeredAt)
		want := sentAt.Add(maxCallDelay)
		if after >= lateCallTime {
			want = answeredAt
		}
		require.Equal(t, want, c.carriedOutBy(), "answer to a call sent %d ms later", after/ms)
		c.sent(answeredAt.Add(ms))
		require.Equal(t, answeredAt.Add(ms+maxCallDelay), c.carriedOutBy(), "a later call may be on its way")
	}
}

// Guards against such a proof by a worker that took no calls in between: what was held for it
// arrives with the calls after that.
func TestAnswerAfterAGapShowsNotThatACallHasArrived(t *testing.T) {
	for name, later := range map[string]int64{"the same process": 1000, "a later one": 6000} {
		c := contactAt()
		c.missed = later == 1000
		first := sentAt.Add(5 * model.Second)
		c.answered(&order.Reply{StartedAt: later}, first.Add(-10*ms), first)
		require.Equal(t, sentAt.Add(maxCallDelay), c.carriedOutBy(), name)
		c.answered(&order.Reply{StartedAt: later}, first.Add(lateCallTime-ms), first.Add(lateCallTime))
		require.Equal(t, sentAt.Add(maxCallDelay), c.carriedOutBy(), name)
		c.answered(&order.Reply{StartedAt: later}, first.Add(lateCallTime), first.Add(lateCallTime+ms))
		require.Equal(t, first.Add(lateCallTime+ms), c.carriedOutBy(), name)
	}
}

// Guards against an order that counts as held by each lost poll, long after it has arrived: the
// end of its run was deferred for up to 12 s on links that lose a few packets.
func TestLostPollHoldsNoOlderOrder(t *testing.T) {
	var o transit
	o.sent(sentAt)
	o.held(sentAt.Add(-100*ms), sentAt.Add(model.Second))
	require.Equal(t, sentAt.Add(model.Second+lateCallTime), o.reachableUntil)
	o.held(sentAt.Add(model.Second+lateCallTime), sentAt.Add(5*model.Second))
	require.Equal(t, sentAt.Add(model.Second+lateCallTime), o.reachableUntil, "it had arrived when the worker ceased to take calls")
	o.held(sentAt.Add(3*model.Second), sentAt.Add(11*model.Second))
	require.Equal(t, sentAt.Add(maxCallDelay), o.reachableUntil, "no call arrives later")
}

// copiedFixture returns a fixture whose worker a has listed the end of a run, while a copy of its
// order has no answer, and the time at which the copy was sent.
func copiedFixture(t *testing.T, o jobs.Outcome, steps ...jobs.Step) (*fixture, []order.Ended, model.Time) {
	f, copiedAt := copyInFlight(t, steps...)
	ended := []order.Ended{{Number: 3, RunRef: ref("j", 0, 1), Outcome: o}}
	f.answerPoll("a", nil, ended)
	return f, ended, copiedAt
}

// requireNotForgotten answers the polls of worker a with a list, and checks until a time that none
// tells the worker to forget its end.
func (f *fixture) requireNotForgotten(ended []order.Ended, until model.Time) {
	f.t.Helper()
	for f.now < until {
		f.advanceBy(50 * ms)
		if c := f.lastPoll("a"); c.Poll != nil && f.now < until {
			require.Zero(f.t, c.Poll.RecordedUpTo, "%d ms too early", until.Sub(f.now)/ms)
			f.answerPoll("a", nil, ended)
		}
	}
}

// Guards against a new leader that tells a worker at once to forget an end which its predecessor
// has recorded and kept listed.
func TestNewLeaderForgetsNoEndWhileACopyMayArrive(t *testing.T) {
	f, ended, copiedAt := copiedFixture(t, jobs.OutcomeDone)
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
	f.calls = nil
	f.s = New(f.env())
	f.advance()
	f.requireNotForgotten(ended, copiedAt.Add(lateCallTime))
	f.advanceBy(model.Second)
	f.answerPoll("a", nil, ended)
	f.advanceBy(pollRetryDelay)
	require.Equal(t, uint64(3), f.lastPoll("a").Poll.RecordedUpTo)
}

// Guards against an end that is forgotten although the worker was cut off after it was recorded,
// so that the copy was held.
func TestEndIsKeptListedAfterALaterCut(t *testing.T) {
	f, ended, copiedAt := copiedFixture(t, jobs.OutcomeDone)
	for f.now.Sub(copiedAt) < 6*model.Second {
		f.failPolls("a", order.NoAnswer, 50*ms)
	}
	reachedAt := f.now
	for f.lastPoll("a").Poll == nil {
		f.advanceBy(50 * ms)
	}
	f.answerPoll("a", nil, ended)
	f.requireNotForgotten(ended, reachedAt.Add(lateCallTime))
}

// Guards against polls without a pause: a poll that named recorded ends was refused because of a
// larger token of an order, and the worker answered the next ones at once, since it still had ends.
func TestRefusedPollIsNotRepeatedWithoutAPause(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	for range 4 {
		f.advanceBy(model.Second)
		f.answerPoll("a", nil, nil)
	}
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	first := f.takeCalls("a")[0]
	f.startAnswered(first, order.ClockMS(f.now/model.Time(ms)))
	ended := []order.Ended{{Number: 1, RunRef: first.Start.RunRef, Outcome: jobs.OutcomeDone}}
	f.answerPoll("a", nil, ended)
	poll := f.lastPoll("a")
	require.NotNil(t, poll.Poll)
	require.Equal(t, uint64(1), poll.Poll.RecordedUpTo)
	f.calls = nil
	f.submit("k", jobs.Step{Tasks: 1, Size: cores(1)})
	require.Len(t, f.takeCalls("a"), 1)
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: poll, Status: order.Fenced, Clock: order.ClockMS(f.now / model.Time(ms))})
	})
	polls := 0
	for last := poll.Seq; f.lastPoll("a").Poll != nil && f.lastPoll("a").Seq != last && polls < 100; polls++ {
		last = f.lastPoll("a").Seq
		f.answerPoll("a", nil, ended)
	}
	require.Less(t, polls, 5, "at one time")
}

// Guards against a run that is given up since a poll had no answer, though a newer one asks.
func TestAwaitingRunIsKeptWhenAnOlderPollFails(t *testing.T) {
	a := testWorker("a")
	f := newFixture(t, a)
	f.advanceBy(model.Second)
	older := f.lastPoll("a")
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true})
	require.Greater(t, f.lastPoll("a").Seq, older.Seq)
	f.unanswered(older)
	require.Contains(t, f.s.runs, ref("j", 0, 1))
	f.answerPoll("a", nil, nil)
	require.Len(t, f.takeCalls("a"), 1)
}

// Guards against orders that are sent again to a run whose end is listed but not recorded yet, and
// against a claim that it keeps after the end of its job.
func TestRunWhoseEndIsDeferredGetsNoOrders(t *testing.T) {
	f, ended, copiedAt := copiedFixture(t, jobs.OutcomeFailed)
	require.Contains(t, f.s.runs, ref("j", 0, 1))
	f.act(func(out *Out) { f.s.stop(f.env(), out, f.s.runs[ref("j", 0, 1)], "a test stops it") })
	f.takeCalls("a")
	for f.now.Sub(copiedAt) < lateCallTime-600*ms {
		f.advanceBy(50 * ms)
		require.Empty(t, f.takeCalls("a"))
		if f.lastPoll("a").Poll != nil {
			f.answerPoll("a", nil, ended)
		}
	}
	require.Contains(t, f.s.runs, ref("j", 0, 1))
	f.commit(jobs.Command{Cancel: &jobs.Cancel{Job: "j"}})
	for f.lastPoll("a").Poll == nil && f.now.Sub(copiedAt) < lateCallTime {
		f.advanceBy(50 * ms)
	}
	f.answerPoll("a", nil, ended)
	require.Less(t, f.now.Sub(copiedAt), lateCallTime)
	require.NotContains(t, f.s.runs, ref("j", 0, 1), "nothing follows its end")
}

// Guards against frequent polls while the end of a failed run may not be recorded: each one that is
// lost prolongs that time, since the copy of the order may have been held with it.
func TestDeferredEndIsPolledSeldom(t *testing.T) {
	f, ended, copiedAt := copiedFixture(t, jobs.OutcomeFailed)
	polls := 0
	for f.now.Sub(copiedAt) < lateCallTime-100*ms {
		f.advanceBy(50 * ms)
		if f.lastPoll("a").Poll != nil {
			polls++
			f.answerPoll("a", nil, ended)
		}
	}
	require.InDelta(t, int(lateCallTime/deferredEndPollDelay), polls, 1)
	require.Contains(t, f.s.runs, ref("j", 0, 1))
}

// Guards against contacts that are kept for ever after their workers have left.
func TestContactsOfWorkersThatLeftAreForgotten(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.commit(jobs.Command{Depart: &jobs.Depart{Worker: "a", Incarnation: f.state.Workers["a"].Incarnation}})
	require.Len(t, f.s.contacts, 2, "an order may arrive")
	for range 30 {
		f.advanceBy(model.Second)
	}
	require.Len(t, f.s.contacts, 1)
}
