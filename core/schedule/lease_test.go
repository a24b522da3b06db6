package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// failPolls answers all polls of a worker with a status until the time has passed.
func (f *fixture) failPolls(id model.WorkerID, status order.Status, d model.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.advanceBy(50 * ms)
		f.replyToPolls(id, order.Reply{Status: status})
	}
}

func (f *fixture) replyToPolls(id model.WorkerID, r order.Reply) {
	calls := f.calls
	f.calls = nil
	for _, c := range calls {
		if c.Worker != id || c.Poll == nil {
			f.calls = append(f.calls, c)
			continue
		}
		r.Call = c
		f.act(func(out *Out) { f.s.Replied(f.env(), out, &r) })
	}
}

// startOnA starts the task of a job on the worker a and returns its lease, with which
// the order was sent.
func (f *fixture) startOnA() {
	f.submit("j", jobs.Step{Tasks: 1, Size: cores(1)})
	require.Len(f.t, f.takeCalls("a"), 1)
	f.answerPoll("a", []order.Running{runningFully(ref("j", 0, 1))}, nil)
}

// Guards against a task that runs twice: connections that are refused, or another process
// at the address, do not prove that the runs of a worker have ended. A cut that resets
// connections leaves the worker and its lease as they are.
func TestUnreachableAddressDoesNotEndRuns(t *testing.T) {
	for _, status := range []order.Status{order.Refused, order.WrongProcess} {
		f := newFixture(t, testWorker("a"))
		f.startOnA()
		began, leaseEndsBy := f.now, f.s.workers["a"].leaseEndsBy
		f.commit(jobs.Command{Announce: &jobs.Worker{
			ID: "b", Host: "host-b", Service: "render", Address: "b", Capacity: cores(8),
		}})
		f.answerPoll("b", nil, nil)
		f.failPolls("a", status, 1500*ms)
		f.answerPoll("b", nil, nil)
		require.Empty(t, f.takeCalls("b"), "the lease of a has not ended")
		for len(f.takeCalls("b")) == 0 {
			require.Less(t, f.now, leaseEndsBy.Add(200*ms))
			f.failPolls("a", status, 50*ms)
			f.replyToPolls("b", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms))})
		}
		require.GreaterOrEqual(t, f.now, leaseEndsBy)
		require.Greater(t, f.now.Sub(began), leaseDuration(simBounds))
		f.failPolls("a", status, 500*ms)
		require.NotContains(t, f.s.workers, model.WorkerID("a"))
	}
}

// Guards against new runs on a worker that cannot be reached.
func TestUnreachableWorkerGetsNoNewRuns(t *testing.T) {
	f := newFixture(t, testWorker("a"))
	f.startOnA()
	f.failPolls("a", order.Refused, 500*ms)
	f.submit("k", jobs.Step{Tasks: 1, Size: cores(1)})
	require.Empty(t, f.takeCalls("a"))
}
