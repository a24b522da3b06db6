package schedule

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/problem"
)

// Guards against a run that is given up while its order may still be executed.
func TestOrderWithoutAnswerIsVoidOnlyAfterItsDeadline(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	calls := f.takeCalls("a")
	require.Len(t, calls, 1)
	f.advanceBy(startTimeout / 2)
	f.answerPoll("a", nil, nil)
	require.Len(t, f.s.runs, 1, "its order may still be executed")
	f.takeCalls("a")
	f.advanceBy(startTimeout)
	f.answerPoll("a", nil, nil)
	require.Len(t, f.s.runs, 1, "a later process may still execute it")
	f.advanceBy(lateCallTime - startTimeout)
	f.answerPoll("a", nil, nil) // the list may have been made before
	f.answerPoll("a", nil, nil)
	again := f.takeCalls("a")
	require.Len(t, again, 1)
	require.Equal(t, 2, again[0].Start.Run)
}

// Guards against the use of a list that an earlier term of the same process asked for.
// That poll did not fence the orders of its own term, so the list does not prove that a
// run is void.
func TestReplyOfAnEarlierTermIsIgnored(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	f.s = New(f.env())
	f.calls = nil
	f.advance()
	poll := f.calls[len(f.calls)-1]
	poll.Token -= 1 << incarnationBits
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: poll, Status: order.Accepted, Clock: 2_000_000})
	})
	require.Contains(t, f.s.runs, ref("j", 0, 1))
}

// Guards against orders to a worker whose address another process has taken over.
func TestWorkerWhoseAddressHasAnotherProcessGetsNoOrders(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	start := f.takeCalls("a")[0]
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &order.Reply{Call: start, Status: order.WrongProcess}) })
	f.advance()
	require.Empty(t, f.takeCalls("a"))
	require.Empty(t, f.s.workers)
}

// Guards against a task that runs twice: an order without an answer may still be executed
// after the same order, sent again, was refused.
func TestRefusalDoesNotVoidAnEarlierOrder(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	first := append(f.takeCalls("a"), f.takeCalls("b")...)
	require.Len(t, first, 1)
	w := first[0].Worker
	for range resendDelay / (50 * ms) {
		f.advanceBy(50 * ms)
	}
	second := f.takeCalls(w)
	require.Len(t, second, 1)
	refuse := func(c order.Call, s order.Status) {
		f.act(func(out *Out) {
			f.s.Replied(f.env(), out, &order.Reply{Call: c, Status: s, Clock: f.s.workers[w].clock + 1})
		})
	}
	refuse(second[0], order.Unavailable)
	require.Contains(t, f.s.runs, ref("j", 0, 1))
	refuse(first[0], order.Unavailable)
	require.NotContains(t, f.s.runs, ref("j", 0, 1))
}

// Guards against the loss of the end of a copy that is done. Its worker was silent and
// answers again before the record that the run was given up is committed.
func TestEndOfACopyCountsBeforeItsLossIsCommitted(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), Copies: true})
	start := f.takeCalls("a")[0]
	f.answerPoll("a", []order.Running{runningFully(start.Start.RunRef)}, nil)
	poll := f.calls[len(f.calls)-1]
	require.NotNil(t, poll.Poll)
	f.now = f.now.Add(maxAnswerAge + ms)
	var lost, done Out
	f.s.Advance(f.env(), &lost)
	require.Len(t, lost.Proposals, 1)
	f.s.Replied(f.env(), &done, &order.Reply{Call: poll, Status: order.Accepted, Clock: 2_000_000, Ended: []order.Ended{
		{Number: 1, RunRef: start.Start.RunRef, Outcome: jobs.OutcomeDone},
	}})
	require.Len(t, done.Proposals, 1)
	for _, c := range append(lost.Proposals, done.Proposals...) {
		f.apply(c)
	}
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
}

// Guards against late steps while answers of workers get lost: the ends in a lost answer
// stay unknown until the next poll, and a later step waits for them.
func TestPollsAreShortWhileAnswersGetLost(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	lastPoll := func(id model.WorkerID) *order.Poll {
		for i := len(f.calls) - 1; i >= 0; i-- {
			if f.calls[i].Worker == id && f.calls[i].Poll != nil {
				return f.calls[i].Poll
			}
		}
		return nil
	}
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	run := ref("j", 0, 1)
	w := f.s.runs[run].worker.info.ID
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)

	lost := order.Reply{Call: order.Call{Worker: w, Incarnation: f.s.workers[w].info.Incarnation, Token: f.s.workers[w].token, Start: &order.Start{RunRef: run}}, Status: order.NoAnswer}
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &lost) })
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, answerLossPollWait, lastPoll(w).Wait)
	require.Equal(t, answerLossAnswerTime, lastPoll(w).AnswerTime)
	f.advanceBy(50 * ms)
	f.advanceBy(lateTick + ms) // the leader is overloaded itself
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)
	f.s.lateTickAt = 0
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, answerLossPollWait, lastPoll(w).Wait)
	f.now = f.now.Add(answerLossTime)
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)
}

// Guards against polls with a long wait that were sent before answers began to get lost:
// without an answer, they would hide the ends of their workers for that whole wait.
func TestPendingPollsAreRepeatedWhileAnswersGetLost(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	polls := func(id model.WorkerID) int {
		n := 0
		for _, c := range f.calls {
			if c.Worker == id && c.Poll != nil {
				n++
			}
		}
		return n
	}
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	w := f.s.runs[ref("j", 0, 1)].worker.info.ID
	before := polls(w)
	for range 4 { // the order gets no answer
		f.advanceBy(50 * ms)
	}
	require.Equal(t, before, polls(w))
	for range 7 {
		f.advanceBy(50 * ms)
	}
	require.Equal(t, before+1, polls(w))
	require.Equal(t, 1, f.logged[effect.AnswersLost], "one log event for all orders that are sent again")
	idle := model.WorkerID("a")
	if w == idle {
		idle = "b"
	}
	require.Equal(t, 1, polls(idle), "a worker without runs has no ends to report")
}

// Guards against additional calls by an overloaded leader, which would slow it down
// further. It must not mistake its own delay for lost answers.
func TestOverloadedLeaderDoesNotCallMoreOften(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	for i := range orderTimeSamples {
		job := model.JobID(rune('a' + i))
		f.submit(job, jobs.Step{Tasks: 1, Size: cores(1)})
		start := append(f.takeCalls("a"), f.takeCalls("b")...)
		require.Len(t, start, 1)
		f.now = f.now.Add(200 * ms)
		accepted := order.Reply{Call: start[0], Status: order.Accepted, Clock: f.s.workers[start[0].Worker].clock + 1}
		f.act(func(out *Out) { f.s.Replied(f.env(), out, &accepted) })
		f.commit(jobs.Command{Cancel: &jobs.Cancel{Job: job}})
		w := f.s.workers[start[0].Worker]
		f.answerPoll(w.info.ID, nil, []order.Ended{{Number: w.proposedThrough + 1, RunRef: start[0].Start.RunRef, Outcome: jobs.OutcomeStopped}})
		f.takeCalls(start[0].Worker)
	}
	f.s.unansweredAt = f.now
	require.False(t, f.s.isLosingAnswers(f.now))
	require.Equal(t, overloadResendDelay, f.s.resendAfter(f.now))
}

// Guards against a task that runs twice. The answer to an order is lost, its run ends, and
// the order that is sent again arrives after the deadline and is refused. The refusal does
// not show whether the first order was executed; the next list does.
func TestLateRefusalDoesNotVoidAnEndedRun(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	run := ref("j", 0, 1)
	require.Len(t, f.takeCalls("a"), 1)
	for range resendDelay / (50 * ms) {
		f.advanceBy(50 * ms)
	}
	again := f.takeCalls("a")
	require.Len(t, again, 1)
	f.now = f.now.Add(startTimeout)
	w := f.s.workers["a"]
	late := order.Reply{Call: again[0], Status: order.DeadlinePassed, Clock: f.s.runs[run].voidFrom + 1}
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &late) })
	require.Empty(t, f.takeCalls("a"), "no other run while the outcome of the first is unknown")
	f.answerPoll("a", nil, []order.Ended{{Number: w.proposedThrough + 1, RunRef: run, Outcome: jobs.OutcomeDone}})
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
}

// Guards against jobs that are accepted and then late because the leader is overloaded,
// although the workers have free capacity. A leader that refuses such jobs must accept
// them again once it has caught up.
func TestOverloadedLeaderRefusesWhatItCannotStartInTime(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	q := f.state.Config.Queue("q")
	steps := []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: model.Second}, {Tasks: 1, Size: cores(1), Estimate: model.Second, After: []int{0}}}
	j := &jobs.Job{ID: "j", Queue: "q", Service: "render", Steps: steps}
	slack := allowedTime(nil, q, j) - criticalPath(nil, j)
	require.Nil(t, f.s.Admit(f.env(), q, j))

	f.s.orderTime, f.s.orderTimeAt = slack/4+ms, f.now
	refusal := f.s.Admit(f.env(), q, j)
	require.NotNil(t, refusal)
	require.Equal(t, problem.QueueOverloaded, refusal.Kind)
	require.Positive(t, refusal.RetryAfter)
	short := *j
	short.Steps = steps[:1]
	require.Nil(t, f.s.Admit(f.env(), q, &short), "a single step waits for one order and one end only")

	for range 40 {
		f.advanceBy(50 * ms)
	}
	require.Nil(t, f.s.Admit(f.env(), q, j), "no order has been late for 2 s")
}

// Guards against ends that stay unknown for seconds in a large fleet: with many workers,
// polls are not short for all of them while answers get lost, but for those with a run
// that should have ended.
func TestWorkersWithOverdueRunsArePolledAgain(t *testing.T) {
	var list []jobs.Worker
	for i := range 400 {
		list = append(list, testWorker(model.WorkerID(fmt.Sprintf("w%03d", i))))
	}
	f := newFixture(t, list...)
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), Estimate: 800 * ms})
	run := ref("j", 0, 1)
	w := f.s.runs[run].worker
	f.answerPoll(w.info.ID, []order.Running{runningFully(run)}, nil)
	polls := func() (n int, last *order.Poll) {
		for _, c := range f.calls {
			if c.Worker == w.info.ID && c.Poll != nil {
				n, last = n+1, c.Poll
			}
		}
		return n, last
	}
	f.s.unansweredAt = f.now
	before, _ := polls()
	for range 16 {
		f.advanceBy(50 * ms)
	}
	n, _ := polls()
	require.Equal(t, before, n, "the run is not overdue yet")
	for range 8 {
		f.advanceBy(50 * ms)
	}
	n, _ = polls()
	require.Equal(t, before+1, n)
	f.answerPoll(w.info.ID, []order.Running{runningFully(run)}, nil)
	_, last := polls()
	require.Equal(t, answerLossPollWait, last.Wait)
}
