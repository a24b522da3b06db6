package schedule

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

func arrivingJob(id int) *jobs.Job {
	return &jobs.Job{ID: model.JobID(fmt.Sprintf("%016x", id)), Queue: "q", Service: "render", Steps: []jobs.Step{
		{Tasks: 10, Size: model.Resources{MilliCPU: 8000, MemoryMB: 16_000}, Estimate: model.Second},
	}}
}

// Guards against hosts that are ordered late at the beginning of a burst: 60 jobs a second
// after one a second, of which each keeps 80 cores busy for a second.
func TestDemandFollowsTheBeginningOfABurst(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	q := f.state.Config.Queue("q")
	submit := func(every model.Duration, n int) {
		for range n {
			f.now = f.now.Add(every)
			f.s.RecordArrival(f.env(), q, arrivingJob(int(f.now)))
			f.s.Demand(f.env(), "render")
		}
	}
	arriving := func() float64 { return float64(f.s.Demand(f.env(), "render").Arriving.MilliCPU) / 1000 }
	submit(model.Second, 10)
	require.InDelta(t, 80/arrivalWindow.Seconds(), arriving(), 1)
	submit(model.Second/60, 15)
	require.Greater(t, arriving(), 60*80.0, "after 250 ms")
	submit(model.Second/60, 180)
	require.InEpsilon(t, 60*80.0, arriving(), 0.05, "after 3.25 s the rate no longer rises")
}

// Guards against a demand that leaves out the memory of tasks, so that hosts that are
// full by their memory get no help.
func TestDemandCountsEveryResource(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.submit("j", jobs.Step{Tasks: 4, Size: model.Resources{MilliCPU: 100, MemoryMB: 5000}, Estimate: model.Second})
	d := f.s.Demand(f.env(), "render")
	require.Equal(t, model.Resources{MilliCPU: 400, MemoryMB: 20_000}, d.Total())
	require.Equal(t, d.Total(), d.OnTime())
	f.now = f.now.Add(60 * model.Second)
	f.advance()
	d = f.s.Demand(f.env(), "render")
	require.Equal(t, model.Resources{MilliCPU: 400, MemoryMB: 20_000}, d.Late)
	require.Zero(t, d.OnTime(), "the job is late")
}

// Guards against a job that is accepted although its tasks have to wait for memory.
func TestAdmissionCountsEveryResource(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["press"] = jobs.Team{}
	q := f.state.Config.Queue("q")
	large := jobs.Step{Tasks: 8, Size: model.Resources{MilliCPU: 100, MemoryMB: 7000}, Estimate: model.Second}
	candidate := &jobs.Job{ID: "n", Queue: "q", Service: "render", Steps: []jobs.Step{{Tasks: 1, Size: model.Resources{MilliCPU: 100, MemoryMB: 7000}, Estimate: 2 * model.Second}}}
	require.Nil(t, f.s.Admit(f.env(), q, candidate))
	f.submit("j", large)
	require.NotNil(t, f.s.Admit(f.env(), q, candidate), "the tasks ahead run one after the other")
}

// Guards against a refusal although hosts that join the pool in time can serve the job.
func TestAdmissionCountsIncomingCapacity(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["press"] = jobs.Team{}
	q := f.state.Config.Queue("q")
	f.submit("j", jobs.Step{Tasks: 80, Size: cores(1), Estimate: model.Second})
	candidate := &jobs.Job{ID: "n", Queue: "q", Service: "render", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: 4 * model.Second}}}
	slack := allowedTime(nil, q, candidate) - criticalPath(nil, candidate)
	require.NotNil(t, f.s.Admit(f.env(), q, candidate))
	joinsAt := func(d model.Duration) map[model.ServiceID]Forecast {
		return map[model.ServiceID]Forecast{"render": {Incoming: []Incoming{{At: f.now.Add(d), Capacity: cores(1000)}}}}
	}
	f.s.SetForecasts(joinsAt(slack / 2))
	require.Nil(t, f.s.Admit(f.env(), q, candidate))
	f.s.SetForecasts(joinsAt(2 * slack))
	require.NotNil(t, f.s.Admit(f.env(), q, candidate))
}

// Guards against a job that is accepted and certainly late: its caller was refused and
// counts the time since its first attempt.
func TestRefusedJobIsJudgedByItsFirstAttempt(t *testing.T) {
	w := testWorker("a")
	w.Capacity = model.Resources{MilliCPU: 400_000, MemoryMB: 800_000} // five times the claims of a job
	f := newFixture(t, w)
	f.state.Config.Teams["press"] = jobs.Team{}
	q := f.state.Config.Queue("q")
	submit := func(j *jobs.Job) *jobs.Job {
		f.s.RecordArrival(f.env(), q, j)
		return j
	}
	again := submit(arrivingJob(1))
	f.now = f.now.Add(allowedTime(nil, q, again) - criticalPath(nil, again) + ms)
	f.submit("j", jobs.Step{Tasks: 8, Size: cores(16), Estimate: model.Second})
	require.NotNil(t, f.s.Admit(f.env(), q, submit(again)))
	require.Nil(t, f.s.Admit(f.env(), q, submit(arrivingJob(2))), "a new job can be on time")
	var ended []order.Ended
	for i := range 8 {
		ended = append(ended, order.Ended{Number: uint64(i + 1), RunRef: ref("j", i, 1), Outcome: jobs.OutcomeDone})
	}
	f.answerPoll("a", nil, ended)
	require.Nil(t, f.s.Admit(f.env(), q, submit(again)), "late, but there is nothing else to do")
}
