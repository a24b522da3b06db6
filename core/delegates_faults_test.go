package core

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against a replica that hears the leader but applies nothing, because its disk
// takes no writes, and still answers heartbeats: it would acknowledge a worker that the
// leader has removed meanwhile.
func TestReplicaWithAFullDiskAnswersNoHeartbeat(t *testing.T) {
	s := newFleetSim(t, 1, 5, 1)
	behind := s.follower()
	behind.diskFull = true
	s.run(100 * millisecond)
	s.callAt(s.leader(), call.Call{Leave: &call.Leave{Worker: "w0", StartedAt: 1}})
	require.Nil(t, s.leader().state.fleet.Jobs.Workers["w0"])
	require.NotNil(t, behind.state.fleet.Jobs.Workers["w0"])

	for range 6 { // the worker still runs and sends a heartbeat twice a second
		s.callAt(behind, call.Call{Heartbeat: heartbeatOf("w0")})
		s.run(500 * millisecond)
	}
	require.NotNil(t, s.leader().state.fleet.Jobs.Workers["w0"], "a worker that was acknowledged for 3 s gets no work")
}

// Guards against a graceful stop that interrupts the calls which a replica is making
// for the leader: their results, and the calls of the next 0.7 s, would be lost.
func TestStoppingReplicaFinishesItsCalls(t *testing.T) {
	s := newFleetSim(t, 1, 5, 12)
	r := s.follower()
	s.run(300 * millisecond)
	require.Positive(t, r.openCalls)
	Reduce(r.state, event.Input{At: s.now, Event: event.StopRequested{}})
	for range 2 {
		s.now = s.now.Add(TickInterval)
		for _, f := range Reduce(r.state, event.Input{At: s.now, Event: event.Tick{}}) {
			if _, halts := f.(effect.Halt); halts {
				require.Zero(t, r.openCalls, "calls in progress at the halt")
			}
		}
	}
}

func (s *fleetSim) follower() *simReplica {
	for _, r := range s.replicas {
		if r != s.leader() {
			return r
		}
	}
	return nil
}

func (s *fleetSim) callAt(r *simReplica, c call.Call) {
	s.seq++
	c.Seq, c.Patience = s.seq, 850*millisecond
	s.deliver(r, r.incarnation, event.CallArrived{Call: c})
	s.run(300 * millisecond)
	require.Contains(s.t, s.answers, c.Seq)
	require.Nil(s.t, s.answers[c.Seq].Problem)
}

// Guards against two concurrent runs of one task: a delegate that was frozen makes
// calls that are seconds old. The deadline of an order is on the clock of the worker
// process that it was meant for. A later process with the same worker id has a new
// clock and has seen no token, so neither rejects the order.
func TestThawedDelegateStartsNothingOnALaterIncarnation(t *testing.T) {
	s := newFleetSim(t, 1, 5, 1)
	leader := s.leader()
	host, ok := leader.state.leading.dispatcher.DelegateFor(s.now, "w0", "west")
	require.True(t, ok)
	frozen := s.replicas[slices.IndexFunc(s.replicas, func(r *simReplica) bool { return r.host == host })]
	thaw := s.now.Add(23 * model.Second) // after a copy of the order can no longer keep the task waiting
	frozen.frozenUntil = thaw
	s.callAt(leader, call.Call{Submit: &call.Submit{
		Address: call.Address{Host: "h", Path: "/q/00000000000000aa"},
		Job:     jobs.Job{Steps: []jobs.Step{{Tasks: 1, Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: model.Second}}, Rounds: make([]jobs.Round, 1)},
	}})
	extendRuns := func(until model.Time) { // advances the time and keeps running tasks from ending
		for s.now < until {
			for _, w := range s.workers {
				for ref := range w.running {
					w.running[ref] = s.now.Add(10 * model.Second)
				}
			}
			s.run(10 * millisecond)
		}
	}
	extendRuns(s.now.Add(1200 * millisecond))
	require.Len(t, s.workers["w0"].running, 1, "the order is sent again through another replica")

	*s.workers["w0"] = fleetWorker{down: true, ended: make(map[jobs.TaskRef]int), running: make(map[jobs.RunRef]model.Time)}
	s.workers["w1"] = &fleetWorker{startedAt: s.now, ended: make(map[jobs.TaskRef]int), running: make(map[jobs.RunRef]model.Time)}
	s.callAt(leader, call.Call{Heartbeat: heartbeatOf("w1")})
	extendRuns(thaw.Add(-40 * millisecond))
	require.Len(t, s.workers["w1"].running, 1, "the task runs again on another worker")

	*s.workers["w0"] = fleetWorker{startedAt: s.now, reportedStart: 2, ended: make(map[jobs.TaskRef]int), running: make(map[jobs.RunRef]model.Time)}
	extendRuns(thaw.Add(40 * millisecond)) // its first heartbeat has not arrived
}

// Guards against a planned stop of a replica that delays the tasks of its workers: the
// leader would go on sending it calls until it counts as silent.
func TestStoppingDelegateDelaysNoStart(t *testing.T) {
	s := newFleetSim(t, 1, 5, 1)
	host, _ := s.leader().state.leading.dispatcher.DelegateFor(s.now, "w0", "west")
	r := s.replicas[slices.IndexFunc(s.replicas, func(r *simReplica) bool { return r.host == host })]
	s.deliver(r, r.incarnation, event.StopRequested{})
	startedAt := s.now
	s.submitAt(s.leader(), "00000000000000aa")
	for len(s.workers["w0"].running) == 0 {
		s.run(10 * millisecond)
		require.Less(t, s.now.Sub(startedAt), 500*millisecond, "no task has started")
	}
	s.run(3 * model.Second)
	require.True(t, r.partitioned, "it has halted")
}

func (s *fleetSim) submitAt(r *simReplica, id string) {
	s.callAt(r, call.Call{Submit: &call.Submit{
		Address: call.Address{Host: "h", Path: "/q/" + id},
		Job:     jobs.Job{Steps: []jobs.Step{{Tasks: 1, Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: model.Second}}, Rounds: make([]jobs.Round, 1)},
	}})
}
