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

// bench is a scheduler with workers whose answers the test gives itself.
type bench struct {
	t     testing.TB
	now   model.Time
	index uint64
	state *jobs.State
	s     *Scheduler
	calls []order.Call

	logged map[effect.Code]int
}

func newBench(t testing.TB, workers ...jobs.Worker) *bench {
	b := &bench{t: t, now: 1000 * model.Time(model.Second), state: &jobs.State{}, logged: make(map[effect.Code]int)}
	b.apply(jobs.Command{Configure: &jobs.Config{Version: 1, Queues: []jobs.Queue{
		{ID: "q", Service: "render", MaxAttempts: 2, Stretch: 1.5, Target: 600 * ms},
	}, Services: map[model.ServiceID]jobs.Service{"render": {}}, Teams: map[model.TeamID]jobs.Team{
		"press": {Cap: model.Resources{MilliCPU: 3000}},
	}}})
	for i := range workers {
		workers[i].Service, workers[i].Address = "render", string(workers[i].ID)
		b.apply(jobs.Command{Announce: &workers[i]})
	}
	b.s = New(b.env())
	b.advance()
	for i := range workers {
		b.answerPoll(workers[i].ID, nil, nil)
	}
	return b
}

func testWorker(id model.WorkerID) jobs.Worker {
	return jobs.Worker{ID: id, Host: model.HostID("host-" + id), Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000}}
}

func (b *bench) env() Env {
	return Env{Now: b.now, Clock: b.now, Term: 3, State: b.state, Bounds: simBounds}
}

func (b *bench) act(handle func(*Out)) {
	var out Out
	handle(&out)
	b.s.Place(b.env(), &out)
	for _, e := range out.Effects {
		switch e := e.(type) {
		case effect.CallWorker:
			b.calls = append(b.calls, e.Call)
		case effect.Log:
			b.logged[e.Code]++
		}
	}
	for _, c := range out.Proposals {
		b.commit(c)
	}
}

func (b *bench) commit(c jobs.Command) {
	result := b.apply(c)
	b.act(func(out *Out) { b.s.Committed(b.env(), out, &c, result) })
}

func (b *bench) apply(c jobs.Command) jobs.Result {
	b.index++
	return b.state.Apply(&c, b.index, b.now)
}

func (b *bench) advance() { b.act(func(out *Out) { b.s.Advance(b.env(), out) }) }

func (b *bench) pass(d model.Duration) {
	b.now = b.now.Add(d)
	b.advance()
}

// take returns the calls that were made to a worker and are not polls.
func (b *bench) take(id model.WorkerID) []order.Call {
	var list, rest []order.Call
	for _, c := range b.calls {
		if c.Worker == id && c.Hold == nil {
			list = append(list, c)
		} else {
			rest = append(rest, c)
		}
	}
	b.calls = rest
	return list
}

// answerPoll answers the latest poll of a worker. Its clock is the bench's.
func (b *bench) answerPoll(id model.WorkerID, running []order.Running, ended []order.Ended) {
	for i := len(b.calls) - 1; i >= 0; i-- {
		c := b.calls[i]
		if c.Worker != id || c.Hold == nil {
			continue
		}
		b.calls = append(b.calls[:i], b.calls[i+1:]...)
		r := order.Reply{Call: c, Status: order.Accepted, Clock: order.ClockMS(b.now / model.Time(ms)), Running: running, Ended: ended}
		b.act(func(out *Out) { b.s.Replied(b.env(), out, &r) })
		return
	}
	b.t.Fatalf("no poll of %s is out", id)
}

func (b *bench) submit(id model.JobID, steps ...jobs.Step) {
	b.commit(jobs.Command{Submit: &jobs.Job{ID: id, Queue: "q", Service: "render", Team: "press", Steps: steps, Rounds: make([]jobs.Round, 1)}})
}

func cores(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000} }

func ref(job model.JobID, index, run int) jobs.RunRef {
	return jobs.RunRef{TaskRef: jobs.TaskRef{Job: job, Index: index}, Run: run}
}

func atWork(r jobs.RunRef) order.Running { return order.Running{RunRef: r, Percent: 100} }

// Guards against a team that has more running than its cap, and against a cap
// that is not free again after an end.
func TestCapBoundsWhatRuns(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	b.submit("j", jobs.Step{Tasks: 5, Size: cores(1)})
	require.Len(t, append(b.take("a"), b.take("b")...), 3)
	var first jobs.RunRef
	for r := range b.s.runs {
		first = r
	}
	b.answerPoll(b.s.runs[first].worker.info.ID, nil, []order.Ended{{Number: 1, RunRef: first, Outcome: jobs.OutcomeDone}})
	require.Len(t, append(b.take("a"), b.take("b")...), 1)
}

// Guards against a run that is given up while its order may still be carried out.
func TestOrderWithoutAnswerIsVoidOnlyAfterItsDeadline(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	calls := b.take("a")
	require.Len(t, calls, 1)
	b.pass(startTime / 2)
	b.answerPoll("a", nil, nil)
	require.Len(t, b.s.runs, 1, "its order may still be carried out")
	b.take("a")
	b.pass(startTime)
	b.answerPoll("a", nil, nil)
	again := b.take("a")
	require.Len(t, again, 1)
	require.Equal(t, 2, again[0].Start.Run)
}

// Guards against a maintenance that takes more tasks of a step away than it may
// miss: stops of several hosts at one time count each other, and so does a task
// on a worker that does not answer.
func TestEmptyingHostsKeepsToWhatAStepMayMiss(t *testing.T) {
	longRunning := jobs.Step{Tasks: 3, Size: cores(1), LongRunning: true, PerWorker: 1, MissAllowed: 1}
	start := func(t *testing.T) *bench {
		b := newBench(t, testWorker("a"), testWorker("b"), testWorker("c"), testWorker("d"))
		b.submit("j", longRunning)
		for _, w := range []model.WorkerID{"a", "b", "c"} {
			c := b.take(w)
			require.Len(t, c, 1)
			b.answerPoll(w, []order.Running{atWork(c[0].Start.RunRef)}, nil)
		}
		return b
	}
	empty := func(b *bench, hosts ...model.HostID) int {
		b.act(func(out *Out) {
			for _, h := range hosts {
				b.s.Empty(b.env(), out, h)
			}
		})
		return len(b.take("a")) + len(b.take("b")) + len(b.take("c"))
	}
	b := start(t)
	require.Equal(t, 1, empty(b, "host-a", "host-b"))

	b = start(t)
	b.now = b.now.Add(freshness + ms)
	b.advance()
	for _, w := range []model.WorkerID{"a", "b"} {
		var running []order.Running
		for r := range b.s.workers[w].runs {
			running = append(running, atWork(r))
		}
		b.answerPoll(w, running, nil)
	}
	require.Equal(t, 0, empty(b, "host-a"), "worker c is silent, so its task is away")
}

// Guards against an end that a worker may forget before it is recorded.
func TestWorkerForgetsOnlyRecordedEnds(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	b.take("a")
	var out Out
	poll := b.calls[len(b.calls)-1]
	require.NotNil(t, poll.Hold)
	b.s.Replied(b.env(), &out, &order.Reply{Call: poll, Status: order.Accepted, Clock: 2_000_000, Ended: []order.Ended{
		{Number: 7, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeDone},
	}})
	for _, e := range out.Effects {
		if c, ok := e.(effect.CallWorker); ok && c.Call.Hold != nil {
			require.Zero(t, c.Call.Hold.Seen)
		}
	}
	require.Len(t, out.Proposals, 1)
	b.calls = nil
	b.commit(out.Proposals[0])
	require.Equal(t, uint64(7), b.calls[len(b.calls)-1].Hold.Seen)
	require.Equal(t, jobs.Completed, b.state.Jobs["j"].Phase)
}

// Guards against a worker that fails everything and goes on to get tasks.
func TestWorkerThatFailsEverythingGetsNothing(t *testing.T) {
	b := newBench(t, testWorker("a"))
	for i, id := range []model.JobID{"j", "k", "l"} {
		b.submit(id, jobs.Step{Tasks: 1, Size: cores(1)})
		b.answerPoll("a", nil, []order.Ended{{Number: uint64(i + 1), RunRef: ref(id, 0, 1), Outcome: jobs.OutcomeFailed}})
	}
	b.take("a")
	b.submit("m", jobs.Step{Tasks: 1, Size: cores(1)})
	require.Empty(t, b.take("a"))
}

// Guards against a job that is accepted though the work ahead of it makes it
// late, and against a refusal without a time to come back.
func TestJobThatWouldBeLateIsRefused(t *testing.T) {
	b := newBench(t, testWorker("a"))
	long := jobs.Step{Tasks: 16, Size: cores(1), Estimate: 4 * model.Second}
	q := b.state.Config.Queue("q")
	short := &jobs.Job{ID: "s", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: model.Second}}}
	require.Nil(t, b.s.Admit(b.env(), q, short))
	for _, id := range []model.JobID{"j", "k"} {
		b.submit(id, long)
	}
	late := &jobs.Job{ID: "n", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: 20 * model.Second}}}
	refusal := b.s.Admit(b.env(), q, late)
	require.NotNil(t, refusal)
	require.Equal(t, problem.QueueOverloaded, refusal.Kind)
	require.Positive(t, refusal.RetryAfter)
}

// Guards against a best-effort run that goes on to disturb a run over its target, and
// against one that is quickened while it is close to it.
func TestBestEffortRunGivesWay(t *testing.T) {
	for _, c := range []struct {
		percent int
		load    int64
		since   model.Duration
		want    int
	}{
		{100, 120, 0, 0},
		{100, 90, model.Second, 50},
		{100, 90, 0, 100},
		{15, 90, model.Second, 0},
		{40, 70, 10 * model.Second, 40},
		{40, 30, 2 * model.Second, 55},
		{95, 30, 2 * model.Second, 100},
	} {
		require.Equal(t, c.want, wantedSpeed(c.percent, c.load, c.since), "%+v", c)
	}
}

// Guards against a list that an earlier term of the same process asked for: it
// does not fence the orders of that term, so it does not prove that a run is void.
func TestReplyOfAnEarlierTermIsIgnored(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	b.s = New(b.env())
	b.calls = nil
	b.advance()
	poll := b.calls[len(b.calls)-1]
	poll.Token--
	b.act(func(out *Out) {
		b.s.Replied(b.env(), out, &order.Reply{Call: poll, Status: order.Accepted, Clock: 2_000_000})
	})
	require.Contains(t, b.s.runs, ref("j", 0, 1))
}

// Guards against members of a gang that wait in vain for others: for those that
// found no room, or for one that has ended.
func TestGangStartsAndStopsAsOne(t *testing.T) {
	gang := jobs.Step{Tasks: 3, Size: cores(3), Gang: true}
	alone := newBench(t, testWorker("a"))
	alone.state.Config.Teams["press"] = jobs.Team{}
	alone.submit("j", gang)
	require.Empty(t, alone.take("a"))
	require.Zero(t, alone.s.workers["a"].used)

	b := newBench(t, testWorker("a"), testWorker("b"))
	b.state.Config.Teams["press"] = jobs.Team{}
	b.submit("j", gang)
	starts := append(b.take("a"), b.take("b")...)
	require.Len(t, starts, 3)
	for _, c := range starts {
		require.Equal(t, 1, c.Start.Run)
	}
	ended := starts[0]
	b.answerPoll(ended.Worker, nil, []order.Ended{{Number: 1, RunRef: ended.Start.RunRef, Outcome: jobs.OutcomeFailed}})
	stops := append(b.take("a"), b.take("b")...)
	require.Len(t, stops, 2)
	for _, c := range stops {
		require.NotNil(t, c.Stop)
	}
}

// Guards against a task on a worker that the queue's policy does not allow, and
// against an order with a ticket whose time is over.
func TestAdvisedStepRunsOnlyWithATicket(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	b.state.Config.Queues[0].Advice = &jobs.Advice{Decision: 20 * ms, Period: ms, Validity: 3 * model.Second}
	b.submit("j", jobs.Step{Tasks: 2, Size: cores(1)})
	require.Empty(t, append(b.take("a"), b.take("b")...))
	a := b.s.active["j"].advice[jobs.StepRef{Job: "j"}]
	require.NotZero(t, a.out)
	call := order.AdviceCall{Seq: a.out, Step: jobs.StepRef{Job: "j"}, Workers: []model.WorkerID{"a", "b"}}
	b.act(func(out *Out) {
		b.s.Advised(b.env(), out, &order.AdviceReply{Call: call, Tickets: map[model.WorkerID]string{"b": "ticket"}})
	})
	require.Empty(t, b.take("a"))
	starts := b.take("b")
	require.Len(t, starts, 2)
	require.Equal(t, "ticket", starts[0].Start.Ticket)

	b.now = b.now.Add(3 * model.Second)
	b.answerPoll("b", nil, []order.Ended{{Number: 1, RunRef: starts[0].Start.RunRef, Outcome: jobs.OutcomeFailed}})
	b.advance()
	require.Empty(t, append(b.take("a"), b.take("b")...), "the ticket has expired")
	require.NotZero(t, a.out, "it asks again")
}

// Guards against tasks that go on to be ordered at an address where another process
// answers now.
func TestWorkerWhoseAddressHasAnotherProcessGetsNothing(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	start := b.take("a")[0]
	b.act(func(out *Out) { b.s.Replied(b.env(), out, &order.Reply{Call: start, Status: order.OtherLife}) })
	b.advance()
	require.Empty(t, b.take("a"))
	require.Empty(t, b.s.workers)
}

// Guards against a task that runs twice: an order without an answer may still be
// executed after its copy was refused.
func TestRefusalDoesNotVoidAnEarlierOrder(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	first := append(b.take("a"), b.take("b")...)
	require.Len(t, first, 1)
	w := first[0].Worker
	for range resendTime / (50 * ms) {
		b.pass(50 * ms)
	}
	second := b.take(w)
	require.Len(t, second, 1)
	refuse := func(c order.Call, s order.Status) {
		b.act(func(out *Out) {
			b.s.Replied(b.env(), out, &order.Reply{Call: c, Status: s, Clock: b.s.workers[w].clock + 1})
		})
	}
	refuse(second[0], order.Unavailable)
	require.Contains(t, b.s.runs, ref("j", 0, 1))
	refuse(first[0], order.Unavailable)
	require.NotContains(t, b.s.runs, ref("j", 0, 1))
}

// Guards against a copy that is done and forgotten: its worker answers again before
// it is recorded that the run was given up.
func TestEndOfACopyCountsWhileItsLossIsBeingRecorded(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1), Copies: true})
	start := b.take("a")[0]
	b.answerPoll("a", []order.Running{atWork(start.Start.RunRef)}, nil)
	poll := b.calls[len(b.calls)-1]
	require.NotNil(t, poll.Hold)
	b.now = b.now.Add(freshness + ms)
	var lost, done Out
	b.s.Advance(b.env(), &lost)
	require.Len(t, lost.Proposals, 1)
	b.s.Replied(b.env(), &done, &order.Reply{Call: poll, Status: order.Accepted, Clock: 2_000_000, Ended: []order.Ended{
		{Number: 1, RunRef: start.Start.RunRef, Outcome: jobs.OutcomeDone},
	}})
	require.Len(t, done.Proposals, 1)
	for _, c := range append(lost.Proposals, done.Proposals...) {
		b.apply(c)
	}
	require.Equal(t, jobs.Completed, b.state.Jobs["j"].Phase)
}

// Guards against ends that stay unknown for as long as a poll may take while
// workers lose answers: the step that waits for them is late.
func TestPollsAreShortWhileAnswersGetLost(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	lastPoll := func(id model.WorkerID) *order.Hold {
		for i := len(b.calls) - 1; i >= 0; i-- {
			if b.calls[i].Worker == id && b.calls[i].Hold != nil {
				return b.calls[i].Hold
			}
		}
		return nil
	}
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	run := ref("j", 0, 1)
	w := b.s.runs[run].worker.info.ID
	b.answerPoll(w, []order.Running{atWork(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)

	lost := order.Reply{Call: order.Call{Worker: w, Life: b.s.workers[w].info.Life, Token: b.s.workers[w].token, Start: &order.Start{RunRef: run}}, Status: order.Silent}
	b.act(func(out *Out) { b.s.Replied(b.env(), out, &lost) })
	b.answerPoll(w, []order.Running{atWork(run)}, nil)
	require.Equal(t, alertWait, lastPoll(w).Wait)
	require.Equal(t, alertAnswerTime, lastPoll(w).AnswerTime)
	b.pass(50 * ms)
	b.pass(lateTick + ms) // the leader is short of processor time itself
	b.answerPoll(w, []order.Running{atWork(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)
	b.s.lateAt = 0
	b.answerPoll(w, []order.Running{atWork(run)}, nil)
	require.Equal(t, alertWait, lastPoll(w).Wait)
	b.now = b.now.Add(alertTime)
	b.answerPoll(w, []order.Running{atWork(run)}, nil)
	require.Equal(t, pollWait, lastPoll(w).Wait)
}

// Guards against polls that were sent before answers began to get lost: without an
// answer they would hide the ends of their workers for as long as a poll may take.
func TestPollsOfBeforeAreRepeatedWhileAnswersGetLost(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	polls := func(id model.WorkerID) int {
		n := 0
		for _, c := range b.calls {
			if c.Worker == id && c.Hold != nil {
				n++
			}
		}
		return n
	}
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	w := b.s.runs[ref("j", 0, 1)].worker.info.ID
	before := polls(w)
	for range 4 { // the order gets no answer
		b.pass(50 * ms)
	}
	require.Equal(t, before, polls(w))
	for range 7 {
		b.pass(50 * ms)
	}
	require.Equal(t, before+1, polls(w))
	require.Equal(t, 1, b.logged[effect.AnswersLost], "one line for all orders that are sent again")
	idle := model.WorkerID("a")
	if w == idle {
		idle = "b"
	}
	require.Equal(t, 1, polls(idle), "a worker without runs has no ends")
}

// Guards against calls that make a leader which is short of processor time later
// still: its own delay is not taken for answers that get lost.
func TestSlowLeaderDoesNotHurryItsCalls(t *testing.T) {
	b := newBench(t, testWorker("a"), testWorker("b"))
	for i := range orderTimeWeight {
		job := model.JobID(rune('a' + i))
		b.submit(job, jobs.Step{Tasks: 1, Size: cores(1)})
		start := append(b.take("a"), b.take("b")...)
		require.Len(t, start, 1)
		b.now = b.now.Add(90 * ms)
		accepted := order.Reply{Call: start[0], Status: order.Accepted, Clock: b.s.workers[start[0].Worker].clock + 1}
		b.act(func(out *Out) { b.s.Replied(b.env(), out, &accepted) })
		b.commit(jobs.Command{Cancel: &jobs.Cancel{Job: job}})
		w := b.s.workers[start[0].Worker]
		b.answerPoll(w.info.ID, nil, []order.Ended{{Number: w.recording + 1, RunRef: start[0].Start.RunRef, Outcome: jobs.OutcomeStopped}})
		b.take(start[0].Worker)
	}
	b.s.unansweredAt = b.now
	require.False(t, b.s.isAlert(b.now))
	require.Equal(t, pressedResendTime, b.s.resendAfter(b.now))
}

// Guards against a task that runs twice: the answer to an order was lost, its run has
// ended, and the order that was sent again comes after the deadline. The refusal does
// not say that the first one was not executed; the next list does.
func TestLateRefusalDoesNotVoidAnEndedRun(t *testing.T) {
	b := newBench(t, testWorker("a"))
	b.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	run := ref("j", 0, 1)
	require.Len(t, b.take("a"), 1)
	for range resendTime / (50 * ms) {
		b.pass(50 * ms)
	}
	again := b.take("a")
	require.Len(t, again, 1)
	b.now = b.now.Add(startTime)
	w := b.s.workers["a"]
	late := order.Reply{Call: again[0], Status: order.Late, Clock: b.s.runs[run].voidFrom + 1}
	b.act(func(out *Out) { b.s.Replied(b.env(), out, &late) })
	require.Empty(t, b.take("a"), "no other run while it is not known what became of the first")
	b.answerPoll("a", nil, []order.Ended{{Number: w.recording + 1, RunRef: run, Outcome: jobs.OutcomeDone}})
	require.Equal(t, jobs.Completed, b.state.Jobs["j"].Phase)
}
