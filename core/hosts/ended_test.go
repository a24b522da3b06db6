package hosts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

// Guards against runs that are waited for although their worker has ended: an earlier
// leader had ordered a move that was carried out after this leader had used the worker.
// At 3,000 workers, long-running tasks were away for 13 s. A worker that the list may
// not show yet, and one on a host that is only out of reach, must be kept.
func TestWorkersThatTheListShowsAsEndedAreRemoved(t *testing.T) {
	for _, c := range []struct {
		name  string
		list  order.Host
		later bool // the worker is announced after the read of the list began
		ended bool
	}{
		{"its host is being moved", order.Host{State: order.HostMoving}, false, true},
		{"its host is maintained", order.Host{State: order.HostMaintenance}, false, true},
		{"its host has another worker", order.Host{State: order.HostUp, Worker: "other"}, false, true},
		{"its host has no worker yet", order.Host{State: order.HostUp}, false, false},
		{"it is listed", order.Host{State: order.HostUp, Worker: "w"}, false, false},
		{"its host is out of reach", order.Host{State: order.HostDown}, false, false},
		{"it is newer than the list", order.Host{State: order.HostUp, Worker: "other"}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			announce := func() {
				f.apply(jobs.Command{Announce: &jobs.Worker{ID: "w", Host: "h0", Service: "render", Address: "w", Capacity: cpu(64_000)}})
			}
			f.hosts[0].State, f.hosts[0].Worker = c.list.State, c.list.Worker
			f.startTerm()
			if !c.later {
				announce()
			}
			f.handle(func(out *Out) { f.p.Advance(f.env(), out) }) // the read begins
			if c.later {
				announce()
			}
			f.advance(50 * ms)
			_, known := f.state.Workers["w"]
			require.Equal(t, c.ended, !known)
		})
	}
}

// Guards against a lost worker that is noticed at the next regular read of the list only,
// up to 10 s later.
func TestListIsReadWhenAWorkerWithRunsRefusesConnections(t *testing.T) {
	f := newFixture(t, 1)
	run := jobs.RunRef{TaskRef: jobs.TaskRef{Job: "j"}, Run: 1}
	f.apply(jobs.Command{Announce: &jobs.Worker{ID: "w", Host: "h0", Service: "render", Address: "w", Capacity: cpu(64_000)}})
	f.apply(jobs.Command{Submit: &jobs.Job{ID: "j", Service: "render", Rounds: make([]jobs.Round, 1), Steps: []jobs.Step{{Tasks: 1}}}})
	f.apply(jobs.Command{Assign: &jobs.Assign{Runs: []jobs.Assignment{{RunRef: run, Worker: "w", Incarnation: f.state.Workers["w"].Incarnation}}}})
	f.startTerm()
	f.advance(200 * ms)
	f.hosts[0].State = order.HostMoving
	for range 2 {
		var out schedule.Out
		f.now = f.now.Add(200 * ms)
		f.s.Advance(f.env().Schedule, &out)
		for _, e := range out.Effects {
			if c, ok := e.(effect.CallWorker); ok && c.Call.Poll != nil {
				f.s.Replied(f.env().Schedule, &out, &order.Reply{Call: c.Call, Status: order.Refused})
			}
		}
	}
	f.advance(listInterval + 200*ms)
	require.NotContains(t, f.state.Workers, model.WorkerID("w"))
}
