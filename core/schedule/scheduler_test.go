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

// Guards against a team whose runs exceed its cap, and against a cap that a run still
// counts against after its end.
func TestCapBoundsWhatRuns(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.submit("j", jobs.Step{Tasks: 5, Size: cores(1)})
	require.Len(t, append(f.takeCalls("a"), f.takeCalls("b")...), 3)
	var first jobs.RunRef
	for r := range f.s.runs {
		first = r
	}
	f.answerPoll(f.s.runs[first].worker.info.ID, nil, []order.Ended{{Number: 1, RunRef: first, Outcome: jobs.OutcomeDone}})
	require.Len(t, append(f.takeCalls("a"), f.takeCalls("b")...), 1)
}

// Guards against maintenance that makes more tasks of a step unavailable than
// MaxUnavailable permits. Tasks stopped on other hosts at the same time count, and so does
// a task on a worker that does not answer.
func TestDrainingHostsObservesMaxUnavailable(t *testing.T) {
	longRunning := jobs.Step{Tasks: 3, Size: cores(1), LongRunning: true, PerWorker: 1, MaxUnavailable: 1}
	start := func(t *testing.T) *fixture {
		f := newFixture(t, testWorker("a"), testWorker("b"), testWorker("c"), testWorker("d"))
		f.submit("j", longRunning)
		for _, w := range []model.WorkerID{"a", "b", "c"} {
			c := f.takeCalls(w)
			require.Len(t, c, 1)
			f.answerPoll(w, []order.Running{runningFully(c[0].Start.RunRef)}, nil)
		}
		return f
	}
	drain := func(f *fixture, hosts ...model.HostID) int {
		f.act(func(out *Out) {
			for _, h := range hosts {
				f.s.DrainHosts(f.env(), out, h)
			}
		})
		return len(f.takeCalls("a")) + len(f.takeCalls("b")) + len(f.takeCalls("c"))
	}
	f := start(t)
	require.Equal(t, 1, drain(f, "host-a", "host-b"))

	f = start(t)
	f.now = f.now.Add(maxAnswerAge + ms)
	f.advance()
	for _, w := range []model.WorkerID{"a", "b"} {
		var running []order.Running
		for r := range f.s.workers[w].runs {
			running = append(running, runningFully(r))
		}
		f.answerPoll(w, running, nil)
	}
	require.Equal(t, 0, drain(f, "host-a"), "worker c is silent, so its task counts as unavailable")
}

// Guards against draining several hosts in one call that stops more or fewer tasks of a
// step than MaxUnavailable permits, or tasks that fit nowhere else. Results that are
// cached for one run apply to the other runs of its step.
func TestHostsAreDrainedTogether(t *testing.T) {
	up := func(t *testing.T, capacity int64, steps ...jobs.Step) *fixture {
		var list []jobs.Worker
		for _, id := range []model.WorkerID{"a", "b", "c"} {
			w := testWorker(id)
			w.Capacity.MilliCPU = capacity
			list = append(list, w)
		}
		f := newFixture(t, list...)
		f.state.Config.Teams["press"] = jobs.Team{}
		f.submit("j", steps...)
		for _, w := range list {
			var running []order.Running
			for r := range f.s.workers[w.ID].runs {
				running = append(running, runningFully(r))
			}
			f.answerPoll(w.ID, running, nil)
		}
		return f
	}
	var disabled FeatureSet
	stopped := func(f *fixture, hosts ...model.HostID) map[int]int {
		f.calls = nil
		env := f.env()
		env.Bounds.Disabled = disabled
		f.act(func(out *Out) { f.s.DrainHosts(env, out, hosts...) })
		n := make(map[int]int)
		for _, c := range f.calls {
			if c.Stop != nil {
				n[c.Stop.Step]++
			}
		}
		return n
	}
	step := func(tasks, maxUnavailable int) jobs.Step {
		return jobs.Step{Tasks: tasks, Size: cores(1), LongRunning: true, MaxUnavailable: maxUnavailable}
	}
	f := up(t, 8000, step(6, 2), step(6, 3), step(3, 0))
	f.s.SetLeavingHosts(map[model.HostID]bool{"host-a": true, "host-b": true})
	free := 0 // tasks of the step without a limit
	for _, id := range []model.WorkerID{"a", "b"} {
		for r := range f.s.workers[id].runs {
			if r.Step == 2 {
				free++
			}
		}
	}
	require.NotZero(t, free)
	require.Equal(t, map[int]int{0: 2, 1: 3, 2: free}, stopped(f, "host-a", "host-b"))
	require.Empty(t, stopped(f, "host-a", "host-b"), "the stopped tasks count as unavailable")

	f = up(t, 2000, step(6, 6))
	require.Empty(t, stopped(f, "host-a", "host-b"), "all workers are full")

	// Five tasks of one core: one worker can take one more, which does not help the
	// tasks of its own host. The place of that one task is not counted for the others,
	// which would find none, unless waves are not planned.
	for set, want := range map[FeatureSet]int{0: 1, 1 << WavePlanning: 4} {
		disabled = set
		f = up(t, 2000, step(5, 5))
		for id, w := range f.s.workers {
			if w.free().MilliCPU > 0 {
				require.Empty(t, stopped(f, w.info.Host), "only %s itself has free capacity", id)
				require.Equal(t, map[int]int{0: want}, stopped(f, "host-a", "host-b", "host-c"))
				require.Empty(t, stopped(f, "host-a", "host-b", "host-c"))
			}
		}
	}
	disabled = 0

	// All workers have free capacity, so the task of the second step fits elsewhere. The
	// tasks of the first step do not, since each worker has one already.
	spread := step(3, 3)
	spread.PerWorker = 1
	f = up(t, 4000, spread, step(1, 1))
	require.Equal(t, map[int]int{1: 1}, stopped(f, "host-a", "host-b", "host-c"))

	// One worker has free capacity, but its host is leaving too.
	f = up(t, 4000, step(8, 8))
	f.s.SetLeavingHosts(map[model.HostID]bool{"host-a": true, "host-b": true, "host-c": true})
	require.Empty(t, stopped(f, "host-a", "host-b"))
}

// Guards against telling a worker to forget an end that is not recorded yet.
func TestWorkerForgetsOnlyRecordedEnds(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	f.takeCalls("a")
	var out Out
	poll := f.calls[len(f.calls)-1]
	require.NotNil(t, poll.Poll)
	f.s.Replied(f.env(), &out, &order.Reply{Call: poll, Status: order.Accepted, Clock: 2_000_000, Ended: []order.Ended{
		{Number: 7, RunRef: ref("j", 0, 1), Outcome: jobs.OutcomeDone},
	}})
	for _, e := range out.Effects {
		if c, ok := e.(effect.CallWorker); ok && c.Call.Poll != nil {
			require.Zero(t, c.Call.Poll.RecordedUpTo)
		}
	}
	require.Len(t, out.Proposals, 1)
	f.calls = nil
	f.commit(out.Proposals[0])
	require.Equal(t, uint64(7), f.calls[len(f.calls)-1].Poll.RecordedUpTo)
	require.Equal(t, jobs.Completed, f.state.Jobs["j"].Phase)
}

// Guards against a worker that fails every run and still gets new tasks.
func TestWorkerThatFailsEveryRunGetsNoTasks(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	for i, id := range []model.JobID{"j", "k", "l"} {
		f.submit(id, jobs.Step{Tasks: 1, Size: cores(1)})
		for _, c := range f.takeCalls("a") {
			f.startAnswered(c, order.ClockMS(f.now/model.Time(ms)))
		}
		f.answerPoll("a", nil, []order.Ended{{Number: uint64(i + 1), RunRef: ref(id, 0, 1), Outcome: jobs.OutcomeFailed}})
	}
	f.takeCalls("a")
	f.submit("m", jobs.Step{Tasks: 1, Size: cores(1)})
	require.Empty(t, f.takeCalls("a"))
}

// Guards against a job that is accepted although the work ahead of it makes it late, and
// against a refusal without a Retry-After delay.
func TestJobThatWouldBeLateIsRefused(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	long := jobs.Step{Tasks: 16, Size: cores(1), Estimate: 4 * model.Second}
	q := f.state.Config.Queue("q")
	short := &jobs.Job{ID: "s", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: model.Second}}}
	require.Nil(t, f.s.Admit(f.env(), q, short))
	for _, id := range []model.JobID{"j", "k"} {
		f.submit(id, long)
	}
	late := &jobs.Job{ID: "n", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: 20 * model.Second}}}
	refusal := f.s.Admit(f.env(), q, late)
	require.NotNil(t, refusal)
	require.Equal(t, problem.QueueOverloaded, refusal.Kind)
	require.Positive(t, refusal.RetryAfter)
}

// Guards against a best-effort run that keeps its speed while a run on the same worker is
// over its latency target, and against one that is sped up while such a run is close to
// its target.
func TestBestEffortRunIsThrottled(t *testing.T) {
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

// Guards against members of a gang that wait forever for others: for members that could
// not be placed, or for one that has ended.
func TestGangStartsAndStopsAsOne(t *testing.T) {
	gang := jobs.Step{Tasks: 3, Size: cores(3), Gang: true}
	alone := newFixture(t, testWorker("a"))
	alone.state.Config.Teams["press"] = jobs.Team{}
	alone.submit("j", gang)
	require.Empty(t, alone.takeCalls("a"))
	require.Zero(t, alone.s.workers["a"].used)

	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.state.Config.Teams["press"] = jobs.Team{}
	f.submit("j", gang)
	starts := append(f.takeCalls("a"), f.takeCalls("b")...)
	require.Len(t, starts, 3)
	for _, c := range starts {
		require.Equal(t, 1, c.Start.Run)
	}
	ended := starts[0]
	f.answerPoll(ended.Worker, nil, []order.Ended{{Number: 1, RunRef: ended.Start.RunRef, Outcome: jobs.OutcomeFailed}})
	stops := append(f.takeCalls("a"), f.takeCalls("b")...)
	require.Len(t, stops, 2)
	for _, c := range stops {
		require.NotNil(t, c.Stop)
	}
}

// Guards against a task on a worker that the queue's policy does not allow, and against
// an order with an expired ticket.
func TestAdvisedStepRunsOnlyWithATicket(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.state.Config.Queues[0].Advice = &jobs.Advice{Decision: 20 * ms, Period: ms, Validity: 3 * model.Second}
	f.submit("j", jobs.Step{Tasks: 2, Size: cores(1)})
	require.Empty(t, append(f.takeCalls("a"), f.takeCalls("b")...))
	a := f.s.active["j"].advice[jobs.StepRef{Job: "j"}]
	require.NotZero(t, a.pendingCall)
	require.Len(t, f.asked, 1)
	require.Equal(t, []model.WorkerID{"a", "b"}, f.asked[0].Workers)
	f.act(func(out *Out) {
		f.s.Advised(f.env(), out, &order.AdviceReply{Call: f.asked[0], Tickets: map[model.WorkerID]string{"b": "ticket"}})
	})
	require.Empty(t, f.takeCalls("a"))
	starts := f.takeCalls("b")
	require.Len(t, starts, 2)
	require.Equal(t, "ticket", starts[0].Start.Ticket)

	f.now = f.now.Add(3 * model.Second)
	f.answerPoll("b", nil, []order.Ended{{Number: 1, RunRef: starts[0].Start.RunRef, Outcome: jobs.OutcomeFailed}})
	f.advance()
	require.Empty(t, append(f.takeCalls("a"), f.takeCalls("b")...), "the ticket has expired")
	require.NotZero(t, a.pendingCall, "advice is requested again")
}

// Guards against an assign command that exceeds the size limit of a log entry, which
// would stop every replica.
func TestAssignmentsFitIntoAnEntry(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["press"] = jobs.Team{}
	var proposed []jobs.Command
	for _, id := range []model.JobID{"00000000000000aa", "00000000000000ab"} {
		c := jobs.Command{Submit: &jobs.Job{ID: id, Queue: "q", Service: "render", Team: "press", Steps: []jobs.Step{{Tasks: 6000}}, Rounds: make([]jobs.Round, 1)}}
		result := f.apply(c)
		f.s.Committed(f.env(), &Out{}, &c, result)
	}
	var out Out
	f.s.Place(f.env(), &out)
	runs := 0
	for _, c := range out.Proposals {
		require.LessOrEqual(t, c.Size(), 1<<20)
		runs += len(c.Assign.Runs)
		proposed = append(proposed, c)
	}
	require.Equal(t, 12_000, runs)
	for _, c := range proposed {
		f.commit(c)
	}
	require.Len(t, f.takeCalls("a"), 12_000)
}

// requireRunIndex checks that runsByJob holds exactly the runs of each job.
func requireRunIndex(t testing.TB, s *Scheduler) {
	n := 0
	for id, runs := range s.runsByJob {
		require.NotEmpty(t, runs, "a job without runs has no entry")
		for ref, r := range runs {
			require.Equal(t, id, ref.Job)
			require.Same(t, s.runs[ref], r)
		}
		n += len(runs)
	}
	require.Len(t, s.runs, n)
}

// Guards against runs that continue after the cancellation of their job, and against a
// cancellation that stops runs of other jobs.
func TestCancellationStopsTheRunsOfItsJob(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.state.Config.Teams["press"] = jobs.Team{}
	for _, id := range []model.JobID{"j", "k"} {
		f.submit(id, jobs.Step{Tasks: 8, Size: cores(1), Estimate: model.Second})
	}
	requireRunIndex(t, f.s)
	f.calls = nil
	f.commit(jobs.Command{Cancel: &jobs.Cancel{Job: "k"}})
	stops := 0
	for _, c := range f.calls {
		if c.Stop != nil {
			require.Equal(t, ref("k", stops, 1), c.Stop.RunRef)
			stops++
		}
	}
	require.Equal(t, 8, stops)
	for r, run := range f.s.runs {
		require.Equal(t, r.Job == "k", run.stopping)
	}
	requireRunIndex(t, f.s)
}
