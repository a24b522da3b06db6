package schedule

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// stepTime is the time between two steps of a load, the interval of the leader's ticks.
const stepTime = 50 * ms

// testLoad plays jobs on workers that carry out every order at once. It checks with each start
// that its worker has the capacity and that the task neither runs nor is done.
type testLoad struct {
	*fixture
	bounds  Bounds
	running map[jobs.RunRef]*loadRun
	started map[jobs.TaskRef]model.Time
	done    map[jobs.TaskRef]bool
	// duration returns how long a task runs.
	duration func(jobs.TaskRef) model.Duration
	trace    []string // the effects and proposals, if traced
	traced   bool
}

type loadRun struct {
	worker model.WorkerID
	ends   model.Time
	size   model.Resources
	// stopped runs end without being done.
	stopped bool
}

func newLoad(t testing.TB, bounds Bounds, workers ...jobs.Worker) *testLoad {
	l := &testLoad{fixture: newFixture(t, workers...), bounds: bounds, running: make(map[jobs.RunRef]*loadRun),
		started: make(map[jobs.TaskRef]model.Time), done: make(map[jobs.TaskRef]bool)}
	l.state.Config.Teams["press"] = jobs.Team{}
	l.duration = func(jobs.TaskRef) model.Duration { return model.Second }
	return l
}

func numberedWorkers(n int, perRack int) []jobs.Worker {
	list := make([]jobs.Worker, n)
	for i := range list {
		list[i] = testWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		list[i].Rack = model.RackID(fmt.Sprintf("r%02d", i/perRack))
	}
	return list
}

func (l *testLoad) loadEnv() Env {
	env := l.env()
	env.Bounds = l.bounds
	return env
}

// handle performs an event, the placement after it, and what follows from both.
func (l *testLoad) handle(event func(*Out)) {
	var out Out
	event(&out)
	l.s.Place(l.loadEnv(), &out)
	for _, e := range out.Effects {
		l.traceValue(e)
		switch e := e.(type) {
		case effect.CallWorker:
			l.perform(e.Call)
		case effect.Log:
			l.logged[e.Code]++
		}
	}
	for i := range out.Proposals {
		l.traceValue(out.Proposals[i])
		l.accept(out.Proposals[i])
	}
}

func (l *testLoad) traceValue(v any) {
	if l.traced {
		text, err := json.Marshal(v)
		require.NoError(l.t, err)
		l.trace = append(l.trace, string(text))
	}
}

func (l *testLoad) accept(c jobs.Command) jobs.Result {
	result := l.apply(c)
	l.handle(func(out *Out) { l.s.Committed(l.loadEnv(), out, &c, result) })
	return result
}

func (l *testLoad) submitJob(id model.JobID, team model.TeamID, steps ...jobs.Step) {
	l.accept(jobs.Command{Submit: &jobs.Job{ID: id, Queue: "q", Service: "render", Team: team, Steps: steps, Rounds: make([]jobs.Round, 1)}})
}

func (l *testLoad) perform(c order.Call) {
	switch {
	case c.Start != nil:
		ref := c.Start.RunRef
		for other := range l.running {
			require.NotEqual(l.t, ref.TaskRef, other.TaskRef, "a second run of a task")
		}
		require.False(l.t, l.done[ref.TaskRef], "a run after the task was done")
		size := l.state.Jobs[ref.Job].Steps[ref.Step].Size
		used := size
		for _, r := range l.running {
			if r.worker == c.Worker {
				used = used.Add(r.size)
			}
		}
		require.True(l.t, used.Fits(l.state.Workers[c.Worker].Capacity), "%s is over its capacity", c.Worker)
		l.running[ref] = &loadRun{worker: c.Worker, ends: l.now.Add(l.duration(ref.TaskRef)), size: size}
		if _, again := l.started[ref.TaskRef]; !again {
			l.started[ref.TaskRef] = l.now
		}
	case c.Stop != nil:
		if r := l.running[c.Stop.RunRef]; r != nil {
			r.ends, r.stopped = l.now, true
		}
	}
}

// step advances the time, lets the workers list their runs and ends, and ticks.
func (l *testLoad) step() {
	l.now = l.now.Add(stepTime)
	for _, id := range model.SortedKeys(l.s.workers) {
		w := l.s.workers[id]
		reply := order.Reply{Status: order.Accepted, Clock: order.ClockMS(l.now / model.Time(ms)),
			Call: order.Call{Worker: id, Incarnation: w.info.Incarnation, Token: w.token, Seq: w.pendingPoll, Poll: &order.Poll{}}}
		for _, ref := range l.runsOn(id) {
			if l.running[ref].ends > l.now {
				reply.Running = append(reply.Running, runningFully(ref))
				continue
			}
			outcome := jobs.OutcomeDone
			if l.running[ref].stopped {
				outcome = jobs.OutcomeStopped
			}
			l.done[ref.TaskRef] = outcome == jobs.OutcomeDone
			delete(l.running, ref)
			reply.Ended = append(reply.Ended, order.Ended{Number: w.proposedThrough + uint64(len(reply.Ended)) + 1, RunRef: ref, Outcome: outcome})
		}
		l.handle(func(out *Out) { l.s.Replied(l.loadEnv(), out, &reply) })
	}
	l.handle(func(out *Out) { l.s.Advance(l.loadEnv(), out) })
}

func (l *testLoad) runsOn(id model.WorkerID) []jobs.RunRef {
	var list []jobs.RunRef
	for ref, r := range l.running {
		if r.worker == id {
			list = append(list, ref)
		}
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// waitFor steps until a task has started, and returns how long that took.
func (l *testLoad) waitFor(ref jobs.TaskRef, atMost model.Duration, eachStep func()) model.Duration {
	for begin := l.now; l.now.Sub(begin) <= atMost; l.step() {
		if at, started := l.started[ref]; started {
			return at.Sub(begin)
		}
		eachStep()
	}
	return atMost + stepTime
}

// crash ends the process of a worker and its runs.
func (l *testLoad) crash(id model.WorkerID) {
	for _, ref := range l.runsOn(id) {
		delete(l.running, ref)
	}
	l.accept(jobs.Command{Depart: &jobs.Depart{Worker: id, Incarnation: l.state.Workers[id].Incarnation, Ended: true}})
}

// newLeader replaces the scheduler by that of a new leader.
func (l *testLoad) newLeader() { l.s = New(l.loadEnv()) }

// staggered returns 0.7 to 1.3 s, so that a worker with several tasks is seldom empty by
// itself.
func staggered(ref jobs.TaskRef) model.Duration {
	sum := ref.Index
	for _, c := range ref.Job {
		sum = sum*7 + int(c)
	}
	return 700*ms + model.Duration(sum%13)*50*ms
}

func task(id model.JobID) jobs.TaskRef { return jobs.TaskRef{Job: id} }

// smallJobs returns a function that submits single small tasks so that each place that
// becomes free has a taker.
func (l *testLoad) smallJobs(size model.Resources, waiting int) func() {
	n := 0
	return func() {
		for ; l.s.Pending("q") < waiting; n++ {
			id := model.JobID(fmt.Sprintf("small%06d", n))
			l.submitJob(id, "press", jobs.Step{Tasks: 1, Size: size, Estimate: staggered(task(id))})
		}
	}
}
