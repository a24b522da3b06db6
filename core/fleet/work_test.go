package fleet

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

func submit(task model.TaskID, team model.TeamID, pool model.PoolID) Command {
	spec := TaskSpec{Pool: pool, Size: model.Resources{MilliCPU: 1}}
	return Command{SubmitTask: &SubmitTask{Task: task, Team: team, Spec: spec}}
}

func (f *fixture) plan(want problem.Kind, host model.HostID, action HostAction, pool model.PoolID, image string) {
	f.t.Helper()
	f.apply(want, Command{PlanHost: &PlanHost{Host: host, Action: action, Pool: pool, Image: image}})
}

func (f *fixture) report(host model.HostID, up bool, image string) {
	f.t.Helper()
	f.apply("", Command{ReportHost: &ReportHost{Host: host, DataCentre: "west", Up: up, Image: image}})
}

func (f *fixture) place(want problem.Kind, task model.TaskID, worker model.HostID) {
	f.t.Helper()
	f.apply(want, Command{PlaceTask: &PlaceTask{Task: task, Worker: worker}})
}

func (f *fixture) end(want problem.Kind, task model.TaskID, epoch uint64, outcome TaskOutcome) {
	f.t.Helper()
	f.apply(want, Command{EndTask: &EndTask{Task: task, Epoch: epoch, Outcome: outcome}})
}

// Guards against a new host in no pool or in the wrong one.
func TestInitialPool(t *testing.T) {
	f := newFixture(t)
	f.report("h9", true, "")
	require.EqualValues(t, "a", f.Hosts["h1"].Pool)
	require.EqualValues(t, "spare", f.Hosts["h9"].Pool)
	f.apply(problem.AnnouncementInvalid, Command{ReportHost: &ReportHost{Host: "a b"}})
	empty := New()
	empty.Apply(1, &Command{ReportHost: &ReportHost{Host: "h1", Up: true}})
	require.EqualValues(t, "", empty.Hosts["h1"].Pool)
	require.Equal(t, 1, empty.HostsIn(""))
}

// Guards against a move or a wave that skips a step or exceeds a budget.
func TestPlanHost(t *testing.T) {
	f := newFixture(t)
	f.plan(problem.UnknownHost, "h9", HostDrain, "", "")
	f.plan(problem.BadRequest, "h1", "burn", "", "")
	f.plan(problem.PlanRejected, "h1", HostReboot, "", "")
	f.plan(problem.PlanRejected, "h1", HostDrain, "gone", "")
	f.plan("", "h1", HostDrain, "b", "k9")
	f.plan("", "h1", HostDrain, "b", "k9")
	f.plan(problem.PlanRejected, "h1", HostDrain, "spare", "k9")
	require.Equal(t, 1, f.UnavailableIn("a"))
	f.plan(problem.PlanRejected, "h2", HostDrain, "b", "") // hosts_min 2
	f.plan("", "h2", HostDrain, "a", "")                   // not a move
	require.Empty(t, f.Hosts["h2"].MoveTo)
	f.plan(problem.PlanRejected, "h3", HostDrain, "", "") // unavailable_max 2
	f.plan("", "h2", HostReturn, "", "")

	f.plan("", "h1", HostReboot, "", "")
	f.plan("", "h1", HostReboot, "", "")
	f.report("h1", false, "k8")
	f.plan(problem.PlanRejected, "h1", HostReturn, "", "")
	f.report("h1", true, "k8")
	f.plan(problem.PlanRejected, "h1", HostReturn, "", "")
	f.report("h1", true, "k9")
	require.Equal(t, HostRebooting, f.Hosts["h1"].Phase)
	require.EqualValues(t, "a", f.Hosts["h1"].Pool)
	f.plan("", "h1", HostReturn, "b", "")
	f.plan("", "h1", HostReturn, "b", "")
	f.plan(problem.PlanRejected, "h1", HostReturn, "a", "")
	require.Equal(t, Host{DataCentre: "west", Pool: "b", Image: "k9", Up: true}, f.Hosts["h1"])

	f.plan(problem.PlanRejected, "h1", HostDrain, "a", "") // unavailable_max 0 in pool b
	f.report("h2", false, "")
	f.plan(problem.PlanRejected, "h2", HostDrain, "", "") // not up
	f.applyRules("", 1, "hash2", func(r *rules.Rules) { r.Pools["a"] = rules.Pool{UnavailableMax: 1} })
	f.plan(problem.PlanRejected, "h3", HostDrain, "", "") // the lost host uses up the budget
}

// Guards against a cancelled move that still changes the pool.
func TestCancelledDrainKeepsPool(t *testing.T) {
	f := newFixture(t)
	f.plan("", "h1", HostDrain, "b", "k9")
	f.plan("", "h1", HostReturn, "", "")
	require.Equal(t, Host{DataCentre: "west", Pool: "a", Up: true}, f.Hosts["h1"])
}

// Guards against a host that joins another pool before it has rebooted. A move
// keeps the image, so that only a new incarnation shows the reboot.
func TestReturnNeedsReboot(t *testing.T) {
	f := newFixture(t)
	alive := func(inc model.Incarnation, up bool) {
		f.apply("", Command{ReportHost: &ReportHost{Host: "h1", DataCentre: "west", Up: up, Image: "k8", Inc: inc}})
	}
	alive("life-1", true)
	f.plan("", "h1", HostDrain, "b", "")
	f.plan("", "h1", HostReboot, "b", "")
	f.plan(problem.PlanRejected, "h1", HostReturn, "b", "")
	alive("life-1", false)
	alive("life-1", true)
	f.plan(problem.PlanRejected, "h1", HostReturn, "b", "")
	require.EqualValues(t, "a", f.Hosts["h1"].Pool)
	alive("life-2", true)
	f.plan("", "h1", HostReturn, "b", "")
	require.EqualValues(t, "b", f.Hosts["h1"].Pool)
	require.Empty(t, f.Hosts["h1"].RebootInc)
}

// Guards against tasks that are accepted but can never be placed.
func TestSubmitTask(t *testing.T) {
	f := newFixture(t)
	f.apply("", submit("t1", "press", "a"))
	f.apply("", submit("t1", "press", "a"))
	require.Len(t, f.Tasks, 1)
	f.apply(problem.TaskRejected, submit("t1", "archive", "a"))
	f.apply(problem.TaskRejected, submit("t1", "press", "b"))
	f.apply(problem.TaskRejected, submit("t2", "press", "gone"))
	f.apply(problem.TaskRejected, submit("", "press", "a"))
	f.apply(problem.UnknownTeam, submit("t2", "nobody", "a"))
	for _, change := range []func(*TaskSpec){
		func(s *TaskSpec) { s.Size.MilliCPU = 0 },
		func(s *TaskSpec) { s.Size.MemoryMB = -1 },
		func(s *TaskSpec) { s.Precedence = rules.MaxPrecedence + 1 },
		func(s *TaskSpec) { s.MaxRun = -1 },
	} {
		c := submit("t2", "press", "a")
		change(&c.SubmitTask.Spec)
		f.apply(problem.TaskRejected, c)
	}
}

// Guards against a task that is placed on an unsuitable host, and against the reboot
// of a draining host that still has a task.
func TestPlaceTask(t *testing.T) {
	f := newFixture(t)
	for _, task := range []model.TaskID{"t1", "t2", "t3"} {
		f.apply("", submit(task, "press", "a"))
	}
	f.apply("", submit("tb", "press", "b"))
	f.place(problem.UnknownTask, "t9", "h1")
	f.place(problem.UnknownHost, "t1", "h9")
	f.place(problem.PlanRejected, "tb", "h1") // other pool
	f.place("", "t1", "h1")
	f.place(problem.PlanRejected, "t1", "h2") // not queued
	f.plan("", "h1", HostDrain, "", "")
	f.place(problem.PlanRejected, "t2", "h1") // draining
	f.plan(problem.PlanRejected, "h1", HostReboot, "", "")
	f.report("h2", false, "")
	f.place(problem.PlanRejected, "t2", "h2") // down
	f.applyRules("", 1, "hash2", func(r *rules.Rules) {
		r.DataCentres = map[model.DataCentreID]rules.DataCentre{"west": {Out: true}}
	})
	f.place(problem.PlanRejected, "t2", "h3") // data centre out
	f.applyRules("", 2, "hash3", nil)
	f.place("", "t2", "h3")
	f.place(problem.PlanRejected, "t3", "h3") // limit 2
	require.Equal(t, 2, f.PlacedByTeam("press"))
	require.Equal(t, []*Task{f.Tasks["t2"]}, f.PlacedOn("h3"))
	f.end("", "t1", 1, OutcomeFinished)
	f.plan("", "h1", HostReboot, "", "")
	f.place("", "t3", "h3")
}

// Guards against a task that runs twice although it must not, or that is lost
// although it may run again.
func TestEndTask(t *testing.T) {
	tests := []struct {
		name               string
		outcome            TaskOutcome
		idempotent, cancel bool
		want               TaskPhase
	}{
		{"finished", OutcomeFinished, false, false, TaskFinished},
		{"finished before cancel", OutcomeFinished, false, true, TaskFinished},
		{"failed", OutcomeFailed, false, false, TaskFailed},
		{"failed idempotent", OutcomeFailed, true, false, TaskQueued},
		{"failed idempotent after cancel", OutcomeFailed, true, true, TaskCancelled},
		{"not started", OutcomeNotStarted, false, false, TaskQueued},
		{"not started after cancel", OutcomeNotStarted, false, true, TaskCancelled},
		{"stopped", OutcomeStopped, false, false, TaskUnknown},
		{"stopped idempotent", OutcomeStopped, true, false, TaskQueued},
		{"stopped after cancel", OutcomeStopped, false, true, TaskCancelled},
		{"preempted non-idempotent", OutcomePreempted, false, false, TaskUnknown},
		{"preempted idempotent", OutcomePreempted, true, false, TaskQueued},
		{"lost", OutcomeLost, false, false, TaskUnknown},
		{"lost after cancel", OutcomeLost, false, true, TaskUnknown},
		{"lost idempotent", OutcomeLost, true, false, TaskQueued},
		{"lost idempotent after cancel", OutcomeLost, true, true, TaskCancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			c := submit("t1", "press", "a")
			c.SubmitTask.Spec.Idempotent = test.idempotent
			f.apply("", c)
			f.place("", "t1", "h1")
			if test.cancel {
				f.apply("", Command{CancelTask: &CancelTask{Task: "t1", Team: "press"}})
			}
			placed := f.Tasks["t1"]
			f.end(problem.UnknownTask, "t9", 1, test.outcome)
			f.end(problem.PlanRejected, "t1", 0, test.outcome)
			f.end(problem.BadRequest, "t1", 1, "vanished")
			f.end("", "t1", 1, test.outcome)
			require.Equal(t, test.want, f.Tasks["t1"].Phase)
			require.Equal(t, TaskPlaced, placed.Phase, "tasks are replaced, not changed")
			after := f.Tasks["t1"]
			f.end("", "t1", 1, OutcomeFinished)
			require.Same(t, after, f.Tasks["t1"], "a resend has no effect")
			require.Zero(t, f.PlacedByTeam("press"))
		})
	}
}

func idempotent(c Command) Command {
	c.SubmitTask.Spec.Idempotent = true
	return c
}

// Guards against a faulty task that is retried for ever, and against a task that
// fails for good because of a single faulty worker.
func TestTaskFailsOnDistinctWorkers(t *testing.T) {
	f := newFixture(t)
	f.apply("", idempotent(submit("t1", "press", "a")))
	for i, worker := range []model.HostID{"h1", "h1", "h2", "h3"} {
		require.Equal(t, TaskQueued, f.Tasks["t1"].Phase)
		f.place("", "t1", worker)
		f.end("", "t1", uint64(i+1), OutcomeFailed)
	}
	require.Equal(t, TaskFailed, f.Tasks["t1"].Phase)
	require.Equal(t, []model.HostID{"h1", "h2", "h3"}, f.Tasks["t1"].FailedOn)
}

// Guards against a wrong order of queued tasks, and against one team that
// cancels the task of another.
func TestQueueOrderAndCancel(t *testing.T) {
	f := newFixture(t)
	order := func() []model.TaskID {
		var ids []model.TaskID
		for task := range f.QueuedIn("a") {
			ids = append(ids, task.ID)
		}
		return ids
	}
	for _, task := range []model.TaskID{"t1", "t2", "urgent", "t3"} {
		c := idempotent(submit(task, "press", "a"))
		if task == "urgent" {
			c.SubmitTask.Spec.Precedence = 9
		}
		f.apply("", c)
	}
	require.Equal(t, []model.TaskID{"urgent", "t1", "t2", "t3"}, order())
	f.place("", "t1", "h1")
	f.end("", "t1", 1, OutcomeStopped)
	require.Equal(t, []model.TaskID{"urgent", "t1", "t2", "t3"}, order())
	cancel := func(want problem.Kind, team model.TeamID) {
		f.apply(want, Command{CancelTask: &CancelTask{Task: "t2", Team: team}})
	}
	cancel(problem.UnknownTask, "archive")
	cancel("", "press")
	cancel("", "press")
	require.Equal(t, TaskCancelled, f.Tasks["t2"].Phase)
	require.Equal(t, []model.TaskID{"urgent", "t1", "t3"}, order())
	require.Equal(t, 3, f.QueuedCount("a"))
	require.Zero(t, f.QueuedCount("b"))
	require.Empty(t, slices.Collect(f.QueuedIn("b")))
}
