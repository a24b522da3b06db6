package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against a team that exceeds its limit, where requests and proposed
// placements count too, and against a team that stays blocked after it falls below
// its limit.
func TestTeamLimit(t *testing.T) {
	f := newFixture(t, 4)
	f.requests = 1
	for i := range 3 {
		f.submit(model.TaskID(fmt.Sprint("t", i)), func(c *fleet.SubmitTask) { c.Team = "archive" })
	}
	f.holdProposals = true
	f.after(model.Second)
	require.Len(t, f.heldProposals, 1)
	require.Equal(t, 1, f.p.PendingByTeam("archive"))
	f.requests = 0
	f.after(model.Second)
	require.Len(t, f.heldProposals, 2)
	f.p.NotProposed(f.env(), f.heldProposals)
	require.Equal(t, 0, f.p.PendingByTeam("archive"))
	f.holdProposals = false
	f.report("w0")
	f.after(model.Second)
	require.Equal(t, 2, f.fleet.PlacedByTeam("archive"))
}

// Guards against a wrong queue order: precedence comes first, then the team with the
// least running work relative to its share.
func TestQueueOrder(t *testing.T) {
	f := newFixture(t, 1)
	whole := func(team model.TeamID, precedence int) func(*fleet.SubmitTask) {
		return func(c *fleet.SubmitTask) {
			c.Team, c.Spec.Precedence = team, precedence
			c.Spec.Size.MilliCPU = capacity.MilliCPU
		}
	}
	f.submit("busy", func(c *fleet.SubmitTask) { c.Spec.Size.MilliCPU = 1 })
	f.after(50 * model.Millisecond)
	f.submit("press-1", whole("press", 1))
	f.submit("archive-1", whole("archive", 1))
	f.submit("press-5", whole("press", 5))
	for _, want := range []model.TaskID{"press-5", "archive-1", "press-1"} {
		for _, r := range f.p.workers["w0"].runs {
			f.report("w0", f.run(r.task.ID, message.RunFinished))
		}
		for range 10 {
			f.after(500 * model.Millisecond)
			f.report("w0")
		}
		require.Equal(t, fleet.TaskPlaced, f.task(want).Phase, want)
	}
}

// Guards against placing tasks of one team in the same rack while other racks are
// free, and against placements on a worker that is silent, draining or in a data
// centre that is out.
func TestChoiceOfWorker(t *testing.T) {
	f := newFixture(t, 8)
	f.setOut("east") // w4 to w7
	f.apply(fleet.Command{PlanHost: &fleet.PlanHost{Host: "w3", Action: fleet.HostDrain}})
	f.submit("t0", nil)
	f.submit("t1", nil)
	f.after(50 * model.Millisecond)
	a, b := f.task("t0").Worker, f.task("t1").Worker
	require.Contains(t, []model.HostID{"w0", "w1"}, min(a, b))
	require.Equal(t, model.HostID("w2"), max(a, b))
	f.after(SilenceTimeout)
	f.submit("t2", nil)
	f.after(model.Second)
	require.Equal(t, fleet.TaskQueued, f.task("t2").Phase)
}

// Guards against tasks that fit no worker and block the tasks behind them.
func TestUnplaceableTasksDoNotBlock(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 50 {
		f.submit(model.TaskID(fmt.Sprint("never", i)), func(c *fleet.SubmitTask) {
			c.Spec.Size.Accelerators, c.Spec.Precedence = 1, 9
		})
	}
	f.submit("t", nil)
	for range 4 {
		f.after(400 * model.Millisecond)
		f.report("w0")
	}
	require.Equal(t, fleet.TaskPlaced, f.task("t").Phase)
}

// Guards against new tasks for a worker on which every task fails, and against a
// quarantine that never ends.
func TestQuarantine(t *testing.T) {
	f := newFixture(t, 1)
	fail := func(id model.TaskID, program string) {
		f.submit(id, func(c *fleet.SubmitTask) { c.Spec.Command = program })
		f.after(50 * model.Millisecond)
		f.report("w0")
		require.Equal(t, fleet.TaskPlaced, f.task(id).Phase)
		f.report("w0", f.run(id, message.RunFailed))
		f.apply(fleet.Command{CancelTask: &fleet.CancelTask{Task: id, Team: "press"}})
	}
	wait := func(d model.Duration) {
		for end := f.now.Add(d); f.now < end; {
			f.after(500 * model.Millisecond)
			// A worker that does not report its runs is treated as unresponsive.
			var runs []message.TaskRun
			for _, id := range []model.TaskID{"next", "second"} {
				if t := f.fleet.Tasks[id]; t != nil && t.Phase == fleet.TaskPlaced {
					runs = append(runs, f.run(id, message.RunRunning))
				}
			}
			f.report("w0", runs...)
		}
	}
	fail("t0", "p0")
	fail("t1", "p1")
	fail("t2", "p2")
	f.submit("next", nil)
	wait(quarantineMin - model.Second)
	require.Equal(t, fleet.TaskQueued, f.task("next").Phase)
	wait(6 * model.Second)
	require.Equal(t, fleet.TaskPlaced, f.task("next").Phase)
	f.submit("second", nil)
	wait(6 * model.Second)
	require.Equal(t, fleet.TaskQueued, f.task("second").Phase, "only one task at a time during the trial")
	f.report("w0", f.run("next", message.RunFailed))
	require.Empty(t, f.task("next").FailedOn, "the failure does not count against the task")
	wait(2*quarantineMin - 2*model.Second)
	require.Zero(t, f.fleet.PlacedByTeam("press"), "the second quarantine is longer")
	wait(8 * model.Second)
	require.Equal(t, 1, f.fleet.PlacedByTeam("press"))
}

// Guards against tasks that stay for ever on a worker that reports but does not
// receive its orders, and against new tasks for such a worker.
func TestUnresponsiveWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("t0", nil)
	wait := func(d model.Duration) {
		for end := f.now.Add(d); f.now < end; {
			f.after(500 * model.Millisecond)
			f.report("w0")
		}
	}
	wait(StartTimeout - model.Second)
	require.Equal(t, fleet.TaskPlaced, f.task("t0").Phase)
	wait(Lease)
	require.Equal(t, fleet.TaskPlaced, f.task("t0").Phase, "the last run order may still be in flight")
	wait(LeaseMargin + 2*model.Second)
	require.Equal(t, fleet.TaskQueued, f.task("t0").Phase)
	require.Empty(t, f.task("t0").FailedOn, "the failure does not count against the task")
	wait(quarantineMin - 2*Lease)
	require.Equal(t, fleet.TaskQueued, f.task("t0").Phase, "the worker gets no task before its trial")
	require.EqualValues(t, 1, f.task("t0").Epoch)
	wait(2 * Lease)
	require.EqualValues(t, 2, f.task("t0").Epoch, "the trial gets the task")
}

// Guards against declared sizes that stay in use although runs need more or less, and
// against reservations below the observed usage.
func TestLearnedSizes(t *testing.T) {
	f := newFixture(t, 1)
	huge := func(c *fleet.SubmitTask) { c.Spec.Size = model.Resources{MilliCPU: 90_000, MemoryMB: 900_000} }
	for i := range samplesNeeded {
		id := model.TaskID(fmt.Sprint("t", i))
		f.submit(id, huge)
		f.after(50 * model.Millisecond)
		running := f.run(id, message.RunRunning)
		running.Usage = model.Resources{MilliCPU: 2000, MemoryMB: 4000}
		f.report("w0", running)
		f.report("w0", f.run(id, message.RunFinished))
	}
	for i := range 5 {
		f.submit(model.TaskID(fmt.Sprint("u", i)), huge)
	}
	f.after(50 * model.Millisecond)
	require.Equal(t, 4, f.fleet.PlacedByTeam("press"))
	growing := f.run("u0", message.RunRunning)
	growing.Usage = model.Resources{MilliCPU: 7000, MemoryMB: 4000}
	f.report("w0", growing)
	require.Equal(t, capacity.MilliCPU-7000-3*2000, f.p.workers["w0"].free().MilliCPU)
}

// Guards against a large task that never runs because small tasks use all free
// capacity.
func TestLargeTaskIsNotStarved(t *testing.T) {
	f := newFixture(t, 1)
	n := 0
	for f.now < model.Time(model.Hour+3*model.Minute) {
		for ; f.fleet.QueuedCount("a") < 4; n++ {
			f.submit(model.TaskID(fmt.Sprint("s", n)), func(c *fleet.SubmitTask) { c.Spec.Command, c.Spec.Precedence = "small", 1 })
		}
		if n == 4 {
			f.submit("large", func(c *fleet.SubmitTask) { c.Spec.Command, c.Spec.Size = "large", capacity })
		}
		f.after(500 * model.Millisecond)
		var runs []message.TaskRun
		for i, id := range model.SortedKeys(f.p.workers["w0"].runs) {
			phase := message.RunRunning
			if i == 0 {
				phase = message.RunFinished // one of eight runs ends at a time
			}
			runs = append(runs, f.run(id, phase))
		}
		f.report("w0", runs...)
	}
	require.Equal(t, fleet.TaskFinished, f.task("large").Phase)
}
