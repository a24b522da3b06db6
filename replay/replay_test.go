package replay

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

const testRules = `revision = 1                                                      # test
team.a = { share = 60, limit = 3 }                                # test
team.b = { share = 40, limit = 50 }                               # test
queue.q = { service = "s", precedence = 5, max_run_s = 60 }       # test
pool.p = { hosts_min = 0, unavailable_max = 1 }                   # test
datacentre.west = { out = false }                                 # test
datacentre.east = { out = false }                                 # test
`

// smallTrace returns a trace with two targets, followed by the given events.
func smallTrace(events ...Event) *Trace {
	t := &Trace{Header: Header{Version: Version, Name: "small", Seed: 3, Length: 20_000, Rules: testRules}}
	for _, dc := range []model.DataCentreID{"west", "east"} {
		t.Events = append(t.Events, Event{Target: &Target{
			ID: model.TargetID("t-" + dc), Service: "s", DataCentre: dc, Host: "h", Slots: 4, Connections: 8, State: TargetReady,
		}})
	}
	t.Events = append(t.Events, events...)
	return t
}

func arrival(at Millis, id string, team model.TeamID, run, patience Millis) Event {
	return Event{At: at, Arrive: &Arrive{ID: model.RequestID(id), Team: team, Queue: "q", Run: run, Patience: patience, Worth: 1}}
}

func value(t *testing.T, r *Result, name string) float64 {
	t.Helper()
	m, ok := r.Measure(name)
	require.True(t, ok)
	require.Empty(t, m.NotMeasured, name)
	return m.Value
}

func invariants(r *Result) map[string]int {
	counts := make(map[string]int)
	for _, c := range r.Invariants {
		counts[c.Name] = c.Count
	}
	return counts
}

// Guards against a replay that depends on anything but its trace, and against a trace
// that changes when it is written and read again.
func TestReplayIsDeterministic(t *testing.T) {
	var events []Event
	for i := range 60 {
		events = append(events, arrival(Millis(1000+100*i), string(rune('A'+i)), []model.TeamID{"a", "b"}[i%2], 900, 3000))
	}
	trace := smallTrace(events...)
	first, err := Run(trace, Options{})
	require.NoError(t, err)
	var text bytes.Buffer
	require.NoError(t, trace.Write(&text))
	require.True(t, IsTrace(text.Bytes()))
	read, err := Read(&text)
	require.NoError(t, err)
	second, err := Run(read, Options{})
	require.NoError(t, err)
	require.Equal(t, first, second)
	require.Equal(t, 60, first.Requests)
	for name, n := range invariants(first) {
		require.Zero(t, n, name)
	}
}

// Guards against a simulation that ignores the loss of a data centre. A
// non-idempotent request that ran there must end with an unknown outcome, an
// idempotent one must run again, and no caller may be told "not run".
func TestDataCentreLoss(t *testing.T) {
	again := arrival(2000, "again", "b", 4000, 15_000)
	again.Arrive.Idempotent = true
	events := []Event{again}
	for i := range 7 {
		events = append(events, arrival(2000, string(rune('A'+i)), "b", 4000, 15_000))
	}
	events = append(events, Event{At: 3000, Centre: &Centre{ID: "west", Lost: true}},
		Event{At: 12_000, Centre: &Centre{ID: "west"}})
	r, err := Run(smallTrace(events...), Options{})
	require.NoError(t, err)
	require.Zero(t, invariants(r)[InvariantNotRun])
	require.Zero(t, invariants(r)[InvariantAtMostOnce])
	lost := r.Refusals["outcome_unknown"]
	require.Contains(t, []int{3, 4}, lost)
	require.Positive(t, value(t, r, MeasureCentreWork))
	require.LessOrEqual(t, value(t, r, MeasureCentreWork), 1.0)
}

// Guards against checks that cannot fail: the test violates the invariants directly.
func TestInvariantsDetectViolations(t *testing.T) {
	e, err := newEngine(smallTrace(), Options{})
	require.NoError(t, err)
	e.rules = &rules.Rules{
		Teams:       map[model.TeamID]rules.Team{"a": {Limit: 1}},
		Queues:      map[model.QueueID]rules.Queue{"q": {Service: "s"}},
		DataCentres: map[model.DataCentreID]rules.DataCentre{"west": {Out: true}},
	}
	e.obs.centreChanges = []centreChange{{e.now, "west", true}}
	require.NoError(t, e.arrive(arrival(0, "r", "a", 1, 1).Arrive))
	leavingSince := e.now
	e.now = e.now.Add(centreOutGrace + model.Second)
	q := e.obs.requests["r"]
	leaving := &target{e: e, state: TargetLeaving, leavingSince: leavingSince}
	leaving.reg.DataCentre = "west"
	for range 2 {
		e.recordStart(&run{request: q, target: leaving})
	}
	e.checkLimit("a")
	e.obs.checkFinal()
	v := e.obs.violations
	require.Equal(t, 1, v[InvariantAtMostOnce])
	require.Equal(t, 2, v[InvariantCentreOut])
	require.Equal(t, 2, v[InvariantLeaving])
	require.Equal(t, 2, v[InvariantTeamLimit])
	require.Equal(t, 1, v[InvariantAnswers])
}

// Guards against a simulated worker that ignores orders or leases, which would make
// every measure of tasks meaningless. The worker sends no reports, so that all its
// orders come from the test.
func TestWorkerExecutesOrders(t *testing.T) {
	e, err := newEngine(smallTrace(), Options{})
	require.NoError(t, err)
	e.obs.tasks["t"] = &taskRecord{Task: Task{ID: "t", Team: "a", Run: 2000}}
	e.rules = &rules.Rules{Teams: map[model.TeamID]rules.Team{"a": {Limit: 9}}}
	w := &worker{Worker: Worker{ID: "w"}, e: e, tasks: make(map[model.TaskID]*taskRun)}
	e.workers["w"] = w
	run := message.Order{Kind: message.OrderRun, Task: "t", Epoch: 1, Lease: 5 * model.Second}
	w.applyOrders(e.now, &message.ReportReply{Orders: []message.Order{run}})
	require.Equal(t, 1, e.tasksRunning("a"))
	e.advance(e.now.Add(3 * model.Second))
	require.Equal(t, message.RunFinished, w.runs()[0].Phase)
	w.applyOrders(e.now, &message.ReportReply{Orders: []message.Order{{Kind: message.OrderForget, Task: "t", Epoch: 1}}})
	require.Empty(t, w.runs())

	e.obs.tasks["t"].Run = 60_000
	run.Epoch = 2
	w.applyOrders(e.now, &message.ReportReply{Orders: []message.Order{run}})
	e.advance(e.now.Add(6 * model.Second))
	w.expireLeases() // no report was answered, so the lease was not renewed
	require.Equal(t, message.RunStopped, w.runs()[0].Phase)
}

// Guards against tasks that do not complete the path through the reducer to a worker
// and back, and against a worker that fails every task and is not detected.
func TestTasksRunOnWorkers(t *testing.T) {
	capacity := model.Resources{MilliCPU: 8000, MemoryMB: 8000}
	size := model.Resources{MilliCPU: 1000, MemoryMB: 1000}
	events := []Event{
		{Worker: &Worker{ID: "bad", DataCentre: "west", Rack: "r1", Capacity: capacity, Fails: true}},
		{Worker: &Worker{ID: "good", DataCentre: "east", Rack: "r2", Capacity: capacity}},
	}
	for i := range 6 {
		events = append(events, Event{At: 3000, Task: &Task{
			ID: model.TaskID(rune('a' + i)), Team: "b", Pool: "p", Size: size, DeclaredSize: size,
			DeclaredRun: 1000, Run: 3000, MaxRun: 60_000, Idempotent: true,
		}})
	}
	trace := smallTrace(events...)
	trace.Header.Rules += "host.bad = { pool = \"p\" }  # test\nhost.good = { pool = \"p\" }  # test\n"
	trace.Header.Length = 60_000
	r, err := Run(trace, Options{})
	require.NoError(t, err)
	require.Empty(t, r.RefusedChanges)
	require.Equal(t, 1.0, value(t, r, MeasureTasksFinished))
}
