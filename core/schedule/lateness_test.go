package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/problem"
)

// Guards against a run that is given up while its order may still be carried out.
func TestOrderWithoutAnswerIsVoidOnlyAfterItsDeadline(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	calls := f.takeCalls("a")
	require.Len(t, calls, 1)
	f.advanceBy(startTimeout / 2)
	f.answerPoll("a", nil, nil)
	require.Len(t, f.s.runs, 1, "its order may still be carried out")
	f.takeCalls("a")
	f.advanceBy(startTimeout)
	f.answerPoll("a", nil, nil)
	again := f.takeCalls("a")
	require.Len(t, again, 1)
	require.Equal(t, 2, again[0].Start.Run)
}

// Guards against a list that an earlier term of the same process asked for: it
// does not fence the orders of that term, so it does not prove that a run is void.
func TestReplyOfAnEarlierTermIsIgnored(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	f.s = New(f.env())
	f.calls = nil
	f.advance()
	poll := f.calls[len(f.calls)-1]
	poll.Token--
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{Call: poll, Status: order.Accepted, Clock: 2_000_000})
	})
	require.Contains(t, f.s.runs, ref("j", 0, 1))
}

// Guards against tasks that go on to be ordered at an address where another process
// answers now.
func TestWorkerWhoseAddressHasAnotherProcessGetsNothing(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	start := f.takeCalls("a")[0]
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &order.Reply{Call: start, Status: order.OtherLife}) })
	f.advance()
	require.Empty(t, f.takeCalls("a"))
	require.Empty(t, f.s.workers)
}

// Guards against a task that runs twice: an order without an answer may still be
// executed after its copy was refused.
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

// Guards against a copy that is done and forgotten: its worker answers again before
// it is recorded that the run was given up.
func TestEndOfACopyCountsWhileItsLossIsBeingRecorded(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), Copies: true})
	start := f.takeCalls("a")[0]
	f.answerPoll("a", []order.Running{runningFully(start.Start.RunRef)}, nil)
	poll := f.calls[len(f.calls)-1]
	require.NotNil(t, poll.Hold)
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

// Guards against ends that stay unknown for as long as a poll may take while
// workers lose answers: the step that waits for them is late.
func TestPollsAreShortWhileAnswersGetLost(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	lastPoll := func(id model.WorkerID) *order.Hold {
		for i := len(f.calls) - 1; i >= 0; i-- {
			if f.calls[i].Worker == id && f.calls[i].Hold != nil {
				return f.calls[i].Hold
			}
		}
		return nil
	}
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	run := ref("j", 0, 1)
	w := f.s.runs[run].worker.info.ID
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)

	lost := order.Reply{Call: order.Call{Worker: w, Life: f.s.workers[w].info.Life, Token: f.s.workers[w].token, Start: &order.Start{RunRef: run}}, Status: order.Silent}
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &lost) })
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, answerLossPollWait, lastPoll(w).Wait)
	require.Equal(t, answerLossAnswerTime, lastPoll(w).AnswerTime)
	f.advanceBy(50 * ms)
	f.advanceBy(lateTick + ms) // the leader is short of processor time itself
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)
	f.s.lateTickAt = 0
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, answerLossPollWait, lastPoll(w).Wait)
	f.now = f.now.Add(answerLossTime)
	f.answerPoll(w, []order.Running{runningFully(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)
}

// Guards against polls that were sent before answers began to get lost: without an
// answer they would hide the ends of their workers for as long as a poll may take.
func TestPollsOfBeforeAreRepeatedWhileAnswersGetLost(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	polls := func(id model.WorkerID) int {
		n := 0
		for _, c := range f.calls {
			if c.Worker == id && c.Hold != nil {
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
	require.Equal(t, 1, f.logged[effect.AnswersLost], "one line for all orders that are sent again")
	idle := model.WorkerID("a")
	if w == idle {
		idle = "b"
	}
	require.Equal(t, 1, polls(idle), "a worker without runs has no ends")
}

// Guards against calls that make a leader which is short of processor time later
// still: its own delay is not taken for answers that get lost.
func TestSlowLeaderDoesNotHurryItsCalls(t *testing.T) {
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

// Guards against a task that runs twice: the answer to an order was lost, its run has
// ended, and the order that was sent again comes after the deadline. The refusal does
// not say that the first one was not executed; the next list does.
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
	late := order.Reply{Call: again[0], Status: order.Late, Clock: f.s.runs[run].voidFrom + 1}
	f.act(func(out *Out) { f.s.Replied(f.env(), out, &late) })
	require.Empty(t, f.takeCalls("a"), "no other run while it is not known what became of the first")
	f.answerPoll("a", nil, []order.Ended{{Number: w.proposedThrough + 1, RunRef: run, Outcome: jobs.OutcomeDone}})
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
}

// Guards against jobs that are accepted and then late because the leader is: the room of
// the workers alone says that they can start at once. A leader that refuses them must
// not go on refusing once it has caught up.
func TestLateLeaderRefusesWhatItCannotStartInTime(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	q := f.state.Config.Queue("q")
	steps := []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: model.Second}, {Tasks: 1, Size: cores(1), Estimate: model.Second, After: []int{0}}}
	j := &jobs.Job{ID: "j", Queue: "q", Service: "render", Steps: steps}
	slack := allowedTime(q, j) - criticalPath(j)
	require.Nil(t, f.s.Admit(f.env(), q, j))

	f.s.orderTime, f.s.orderTimeAt = slack/4+ms, f.now
	refusal := f.s.Admit(f.env(), q, j)
	require.NotNil(t, refusal)
	require.Equal(t, problem.QueueOverloaded, refusal.Kind)
	require.Positive(t, refusal.RetryAfter)
	short := *j
	short.Steps = steps[:1]
	require.Nil(t, f.s.Admit(f.env(), q, &short), "one step waits for one order and one end")

	for range 40 {
		f.advanceBy(50 * ms)
	}
	require.Nil(t, f.s.Admit(f.env(), q, j), "no order has been late for 2 s")
}
