package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// fixture is a placer on a fleet state. Proposals are applied at once, or collected
// if holdProposals is set.
type fixture struct {
	t             testing.TB
	now           model.Time
	fleet         *fleet.State
	p             *Placer
	requests      int
	shares        SharePolicy
	holdProposals bool
	heldProposals []fleet.Command
	seq           map[model.HostID]uint64
	incSuffix     map[model.HostID]model.Incarnation
}

var capacity = model.Resources{MilliCPU: 8000, MemoryMB: 32000}

// newFixture returns a pool "a" with the workers w0 to w(n-1), two in each rack.
func newFixture(t testing.TB, n int) *fixture {
	f := &fixture{
		t: t, now: model.Time(model.Hour), fleet: fleet.New(),
		seq: map[model.HostID]uint64{}, incSuffix: map[model.HostID]model.Incarnation{},
	}
	f.apply(fleet.Command{ApplyRules: &fleet.ApplyRules{Hash: "h", Rules: f.rules(nil)}})
	f.p = New(f.env())
	for i := range n {
		f.report(hostName(i))
	}
	return f
}

func (f *fixture) rules(out map[model.DataCentreID]rules.DataCentre) *rules.Rules {
	return &rules.Rules{
		Revision:    f.fleet.Rules.Revision + 1,
		Teams:       map[model.TeamID]rules.Team{"press": {Share: 60, Limit: 10_000}, "archive": {Share: 30, Limit: 2}},
		Pools:       map[model.PoolID]rules.Pool{"a": {UnavailableMax: 10_000, Spare: true}},
		DataCentres: out,
	}
}

func hostName(i int) model.HostID { return model.HostID(fmt.Sprintf("w%d", i)) }

func (f *fixture) env() Env {
	return Env{
		Now: f.now, Fleet: f.fleet, MayGrant: true, Ready: true,
		RequestsRunning: func(model.TeamID) int { return f.requests },
		Shares:          f.shares,
	}
}

func (f *fixture) apply(c fleet.Command) {
	c.At = f.now
	result := f.fleet.Apply(f.fleet.Index+1, &c)
	if f.p != nil {
		f.do(func(env Env, out *Output) { f.p.Committed(env, out, &c, result) })
	}
}

func (f *fixture) do(handle func(Env, *Output)) {
	var out Output
	handle(f.env(), &out)
	if f.holdProposals {
		f.heldProposals = append(f.heldProposals, out.Proposals...)
		return
	}
	for _, c := range out.Proposals {
		f.apply(c)
	}
}

// after advances the time in ticks of 50 ms.
func (f *fixture) after(d model.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(50 * model.Millisecond)
		f.do(f.p.Advance)
	}
}

// report sends the next report of a worker and returns the orders.
func (f *fixture) report(id model.HostID, runs ...message.TaskRun) []message.Order {
	var i int
	_, err := fmt.Sscanf(string(id), "w%d", &i)
	require.NoError(f.t, err)
	f.seq[id]++
	m := &message.WorkerReport{
		Worker: id, Inc: "inc" + f.incSuffix[id], Seq: f.seq[id], Capacity: capacity, Runs: runs,
		DataCentre: []model.DataCentreID{"west", "east"}[i/4%2], Rack: model.RackID(fmt.Sprint("r", i/2)),
	}
	var reply message.ReportReply
	f.do(func(env Env, out *Output) { reply = f.p.Report(env, out, m) })
	return reply.Orders
}

func (f *fixture) submit(id model.TaskID, change func(*fleet.SubmitTask)) {
	c := &fleet.SubmitTask{Task: id, Team: "press", Spec: fleet.TaskSpec{
		Pool: "a", Command: "solve " + string(id), Size: model.Resources{MilliCPU: 1000, MemoryMB: 1000},
		MaxRun: model.Minute, Idempotent: true,
	}}
	if change != nil {
		change(c)
	}
	f.apply(fleet.Command{SubmitTask: c})
}

func (f *fixture) task(id model.TaskID) *fleet.Task { return f.fleet.Tasks[id] }

func (f *fixture) run(id model.TaskID, phase message.TaskRunPhase) message.TaskRun {
	return message.TaskRun{Task: id, Epoch: f.task(id).Epoch, Phase: phase}
}

func (f *fixture) setOut(dc model.DataCentreID) {
	r := f.rules(map[model.DataCentreID]rules.DataCentre{dc: {Out: true}})
	f.apply(fleet.Command{ApplyRules: &fleet.ApplyRules{Base: r.Revision - 1, Hash: "h", Rules: r}})
}

func kinds(orders []message.Order) []message.OrderKind {
	var list []message.OrderKind
	for _, o := range orders {
		list = append(list, o.Kind)
	}
	return list
}

// Guards against orders that do not match the state of a run: a missing renewal, a
// start where the task must not be started, a run that continues after it was
// cancelled, or an ended run that the worker is never told to forget.
func TestOrders(t *testing.T) {
	const run, stop, forget, checkpoint = message.OrderRun, message.OrderStop, message.OrderForget, message.OrderCheckpoint
	cancel := func(f *fixture) { f.apply(fleet.Command{CancelTask: &fleet.CancelTask{Task: "t", Team: "press"}}) }
	drain := func(f *fixture) {
		f.apply(fleet.Command{PlanHost: &fleet.PlanHost{Host: "w0", Action: fleet.HostDrain}})
	}
	out := func(f *fixture) { f.setOut("west") }
	once := func(c *fleet.SubmitTask) { c.Spec.Idempotent = false }
	tests := map[string]struct {
		task   func(*fleet.SubmitTask)
		before func(*fixture)
		listed bool
		phase  message.TaskRunPhase
		ran    model.Duration
		want   []message.OrderKind
	}{
		"not started":               {want: []message.OrderKind{run}},
		"renewed":                   {listed: true, want: []message.OrderKind{run}},
		"cancelled":                 {before: cancel, listed: true, want: []message.OrderKind{stop}},
		"cancelled before start":    {before: cancel},
		"over its maximum run time": {listed: true, ran: 2 * model.Minute, want: []message.OrderKind{stop}},
		"draining":                  {before: drain, listed: true, want: []message.OrderKind{run, checkpoint}},
		"draining before start":     {before: drain},
		"draining, not idempotent":  {task: once, before: drain, listed: true, want: []message.OrderKind{run}},
		"data centre out":           {before: out, listed: true, want: []message.OrderKind{run, checkpoint}},
		"data centre out, no start": {before: out},
		"ended":                     {listed: true, phase: message.RunFinished, want: []message.OrderKind{forget}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.submit("t", test.task)
			f.after(50 * model.Millisecond)
			require.Equal(t, fleet.TaskPlaced, f.task("t").Phase)
			if test.before != nil {
				test.before(f)
			}
			if !test.listed {
				require.Equal(t, test.want, kinds(f.report("w0")))
				return
			}
			r := f.run("t", message.RunRunning)
			r.Ran = test.ran
			if test.phase != "" {
				r.Phase = test.phase
				require.Empty(t, f.report("w0", r))
			}
			require.Equal(t, test.want, kinds(f.report("w0", r)))
		})
	}
}

// Guards against a reported run that continues although it is not placed on the
// worker.
func TestOrphanRuns(t *testing.T) {
	f := newFixture(t, 1)
	orphan := message.TaskRun{Task: "gone", Epoch: 1, Phase: message.RunRunning}
	require.Equal(t, []message.OrderKind{message.OrderStop}, kinds(f.report("w0", orphan)))
	orphan.Phase = message.RunStopped
	require.Equal(t, []message.OrderKind{message.OrderForget}, kinds(f.report("w0", orphan)))
	f.submit("t", nil)
	f.after(50 * model.Millisecond)
	old := message.TaskRun{Task: "t", Epoch: 7, Phase: message.RunRunning}
	require.Equal(t, []message.OrderKind{message.OrderStop, message.OrderRun}, kinds(f.report("w0", old)))
}

// Guards against a task that is recorded as not started while a run order may still
// be in flight to the worker.
func TestUnreportedTaskWaitsForItsLease(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("t", nil)
	f.after(50 * model.Millisecond)
	require.Len(t, f.report("w0"), 1)
	f.setOut("west")
	for range 11 {
		require.Equal(t, fleet.TaskPlaced, f.task("t").Phase)
		f.after(500 * model.Millisecond)
		require.Empty(t, f.report("w0"))
	}
	require.Equal(t, fleet.TaskQueued, f.task("t").Phase)
}

// Guards against a worker that is declared lost before its leases have expired,
// including leases that the leader of an earlier term may have granted.
func TestSilentWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("t", nil)
	f.after(50 * model.Millisecond)
	f.report("w0", f.run("t", message.RunRunning))
	f.after(5 * model.Second)
	require.Equal(t, fleet.TaskPlaced, f.task("t").Phase)
	f.p = New(f.env())
	f.after(5 * model.Second)
	require.Equal(t, fleet.TaskPlaced, f.task("t").Phase)
	f.after(model.Second)
	require.Equal(t, fleet.TaskQueued, f.task("t").Phase)
	require.False(t, f.fleet.Hosts["w0"].Up)
}

// Guards against tasks that stay placed on a worker that has restarted, and against a
// delayed report of an earlier incarnation that ends the tasks of the current one.
func TestRestartedWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("t", nil)
	f.after(50 * model.Millisecond)
	f.report("w0", f.run("t", message.RunRunning))
	f.incSuffix["w0"] = "late"
	f.report("w0")
	f.incSuffix["w0"] = ""
	f.report("w0", f.run("t", message.RunRunning))
	f.incSuffix["w0"] = "late"
	f.report("w0")
	require.Equal(t, fleet.TaskPlaced, f.task("t").Phase)
	f.report("w0")
	require.Equal(t, fleet.TaskQueued, f.task("t").Phase)
}

// Guards against a wrong outcome for a run that has ended.
func TestRunOutcomes(t *testing.T) {
	tests := map[string]struct {
		phase      message.TaskRunPhase
		idempotent bool
		want       fleet.TaskPhase
	}{
		"finished":                {message.RunFinished, false, fleet.TaskFinished},
		"failed":                  {message.RunFailed, true, fleet.TaskQueued},
		"stopped":                 {message.RunStopped, true, fleet.TaskQueued},
		"stopped, not idempotent": {message.RunStopped, false, fleet.TaskUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.submit("t", func(c *fleet.SubmitTask) { c.Spec.Idempotent = test.idempotent })
			f.after(50 * model.Millisecond)
			f.report("w0", f.run("t", test.phase))
			require.Equal(t, test.want, f.task("t").Phase)
		})
	}
}
