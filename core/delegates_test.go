package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/delegate"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against a leader that makes the calls to all workers itself: with many workers
// its processor is saturated and all its decisions are late.
func TestLeaderMakesNoCallsToWorkers(t *testing.T) {
	s := newFleetSim(t, 1, 5, 12)
	leader := s.leader()
	clear(s.calls)
	for i := range 20 {
		s.submit(fmt.Sprintf("%016x", i))
	}
	s.run(10 * model.Second)
	require.Greater(t, len(s.done), 40)
	require.Zero(t, s.calls[leader.host], "calls that the leader made itself")
	for _, r := range s.replicas {
		if r != leader {
			require.Positive(t, s.calls[r.host], "calls made by %s", r.host)
		}
	}
}

// Guards against calls that the process of a delegate, or a leader that makes a call itself,
// sends long after the leader has decided them, because it was frozen in between.
func TestCallsHaveALatestTimeOfSending(t *testing.T) {
	s := newFleetSim(t, 1, 5, 1)
	leader, r := s.leader(), s.follower()
	now, reported := s.now, model.Time(0)
	for reported == 0 {
		now = now.Add(TickInterval)
		for _, e := range Reduce(r.state, event.Input{At: now, Event: event.Tick{}}) {
			if f, ok := e.(effect.Send); ok && f.Message.WorkerReplies != nil && f.Message.WorkerReplies.Report != nil {
				reported = f.Message.WorkerReplies.Report.At
			}
		}
	}
	now = now.Add(300 * millisecond)
	calls := &message.WorkerCalls{Term: leader.state.log.Status().Term, Reported: reported,
		Calls: []order.Call{{Seq: 1 << 40, Worker: "w0", Stop: &order.Stop{}}}}
	effects := Reduce(r.state, event.Input{At: now, Event: event.Received{From: leader.host, Message: message.Message{WorkerCalls: calls}}})
	require.Contains(t, effects, effect.Effect(effect.CallWorker{
		Call: calls.Calls[0], Term: calls.Term, SendBy: reported.Add(delegate.MaxCallAge),
	}))

	own := order.Call{Seq: 1 << 40, Worker: "w0", Throttle: &order.Throttle{}} // made by the leader itself
	leader.state.now, leader.state.out = s.now, nil
	leader.state.emitOrders([]effect.Effect{effect.CallWorker{Call: own}})
	move := order.HostCall{Seq: 7, Move: &order.Move{Host: "h0", Pool: "render"}}
	leader.state.emitOrders([]effect.Effect{effect.CallHosts{Call: move}})
	require.Equal(t, []effect.Effect{
		effect.CallWorker{Call: own, SendBy: s.now.Add(delegate.MaxCallAge)},
		effect.CallHosts{Call: move, SendBy: s.now.Add(delegate.MaxCallAge)},
	}, leader.state.out)
}

// Guards against a leader that has to answer the heartbeats of all workers.
func TestHeartbeatsAreAnsweredWhereTheyArrive(t *testing.T) {
	s := newFleetSim(t, 1, 5, 12)
	leader := s.leader()
	clear(s.heartbeatsForwarded)
	for i := range 12 {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		a := s.callUntilAnswered(call.Call{Heartbeat: heartbeatOf(id)})
		require.NotEmpty(t, a.Next)
		require.NotEqual(t, leader.host, a.Next, "the next heartbeat of %s", id)
	}
	require.Empty(t, s.heartbeatsForwarded, "heartbeats forwarded to the leader")

	drains := heartbeatOf("w3")
	drains.Worker.Draining = true
	s.callUntilAnswered(call.Call{Heartbeat: drains})
	require.True(t, s.leader().state.fleet.Jobs.Workers["w3"].Draining)
}

// Guards against a replica that answers a heartbeat from an old state: it would
// acknowledge a worker that was removed meanwhile.
func TestReplicaThatIsCutOffAnswersNoHeartbeat(t *testing.T) {
	s := newFleetSim(t, 1, 5, 1)
	for _, r := range s.replicas {
		if r == s.leader() {
			continue
		}
		r.partitioned = true
		s.run(model.Second)
		require.False(t, r.state.isCaughtUp())
		return
	}
}

// Guards against two concurrent runs of one task, a run after its end, and jobs that
// never end, while the replicas that make the calls freeze, crash and are cut off,
// calls get lost or are carried out late, and leaders change.
func TestRunsThroughDelegatesUnderFaults(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newFleetSim(t, seed, 5, 6)
			s.lossRate = 0.05
			for i := range 25 {
				s.submit(fmt.Sprintf("%016x", i))
				s.injectFault()
				s.run(s.between(50*millisecond, 600*millisecond))
			}
			s.lossRate = 0
			s.run(40 * model.Second)
			leader := s.leader()
			require.NotNil(t, leader)
			for id, j := range leader.state.fleet.Jobs.Jobs {
				require.Equal(t, jobs.Completed, j.Phase, "job %s", id)
			}
			require.Len(t, leader.state.fleet.Jobs.Jobs, 25)
		})
	}
}

// injectFault freezes, cuts off or restarts one replica, or does nothing.
func (s *fleetSim) injectFault() {
	r := s.replicas[s.rng.IntN(len(s.replicas))]
	if r.partitioned || s.now < r.frozenUntil {
		return
	}
	switch s.rng.IntN(6) {
	case 0:
		r.frozenUntil = s.now.Add(s.between(300*millisecond, 4*model.Second))
	case 1:
		r.partitioned = true
		s.after(s.between(300*millisecond, 4*model.Second), func() { r.partitioned = false })
	case 2:
		s.startReplica(r)
	}
}
