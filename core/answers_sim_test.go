package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/schedule"
)

// What callers do.
const (
	callerPatience  = 3 * model.Second // until they take a call for unanswered
	callerMargin    = 100 * millisecond
	callerAttempts  = 4
	callerRetryWait = model.Second // after a refusal
)

// callers submit jobs at the entry hosts. A caller that gets no answer, or one of unknown
// outcome, submits the same job again at once, and one that is refused after a second.
type callers struct {
	*fleetSim
	jobs     []*submittedJob
	resets   float64 // share of the connections that are reset
	refusals int     // that were checked
	queries  int     // for accepted jobs, that were answered with a state
	asks     bool    // callers ask for accepted jobs
}

type submittedJob struct {
	id        model.JobID
	path      string
	attempts  int
	attemptAt model.Time // start of the latest attempt
	accepted  bool
	refused   *problem.Problem // the outcome of the latest attempt, if it is a refusal
	unknownAt model.Time       // start of the latest attempt with an unknown outcome
}

// newCallers returns callers of a cluster with entry hosts.
func newCallers(t *testing.T, seed uint64, replicas, entries, workers int, disabled schedule.FeatureSet) *callers {
	c := &callers{fleetSim: newFleetSim(t, seed, replicas, workers)}
	c.disabled = disabled
	for _, r := range c.replicas {
		c.startReplica(r)
	}
	for i := range entries {
		e := &simReplica{host: model.HostID(fmt.Sprintf("e%d", i)), entry: true}
		c.entries = append(c.entries, e)
		c.startReplica(e)
	}
	c.run(4 * model.Second)
	return c
}

// submitEvery starts a caller in each interval until a time.
func (c *callers) submitEvery(interval model.Duration, path string, until model.Time) {
	if c.now >= until {
		return
	}
	id := fmt.Sprintf("%016x", len(c.jobs)+1)
	j := &submittedJob{id: model.JobID(id), path: path + id}
	c.jobs = append(c.jobs, j)
	c.attempt(j)
	c.after(interval, func() { c.submitEvery(interval, path, until) })
}

func (c *callers) attempt(j *submittedJob) {
	e := c.entries[c.rng.IntN(len(c.entries))]
	c.seq++
	seq, incarnation := c.seq, e.incarnation
	step := jobs.Step{Tasks: 2, Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: model.Second}
	arrived := event.CallArrived{Call: call.Call{Seq: seq, Patience: callerPatience - callerMargin, Submit: &call.Submit{
		Address: call.Address{Host: "h", Path: j.path}, Job: jobs.Job{Steps: []jobs.Step{step}, Rounds: make([]jobs.Round, 1)},
	}}}
	j.attempts++
	j.attemptAt, j.refused = c.now, nil
	c.after(c.between(0, 3*millisecond), func() { c.read(e, incarnation, arrived) })
	patience := callerPatience
	if c.rng.Float64() < c.resets {
		patience = c.between(0, 200*millisecond)
	}
	c.await(j, seq, c.now.Add(patience), func() {
		c.after(c.between(0, 3*millisecond), func() { c.read(e, incarnation, event.CallAbandoned{Seq: seq, Class: event.ClassOf(arrived)}) })
	})
}

// await handles the answer to an attempt, or its absence.
func (c *callers) await(j *submittedJob, seq uint64, until model.Time, disconnect func()) {
	a, answered := c.answers[seq]
	switch {
	case !answered && c.now < until:
		c.after(5*millisecond, func() { c.await(j, seq, until, disconnect) })
	case !answered, a.Problem != nil && a.Problem.Kind == problem.CallOutcomeUnknown:
		if !answered {
			disconnect()
		}
		j.unknownAt = j.attemptAt
		c.resubmit(j, 0)
	case a.Problem != nil:
		j.refused = a.Problem
		c.resubmit(j, callerRetryWait)
	default:
		j.accepted = true
		if c.asks {
			c.ask(j, c.now)
		}
	}
}

// ask asks a random host for an accepted job again and again, and checks that it is known
// and neither failed nor cancelled.
func (c *callers) ask(j *submittedJob, since model.Time) {
	hosts := slices.Concat(c.entries, c.replicas)
	h := hosts[c.rng.IntN(len(hosts))]
	c.seq++
	seq := c.seq
	c.read(h, h.incarnation, event.CallArrived{Call: call.Call{Seq: seq, Patience: callerPatience - callerMargin, Query: &call.Address{Host: "h", Path: j.path}}})
	wait := c.between(20*millisecond, 1500*millisecond)
	c.after(callerPatience, func() {
		a, answered := c.answers[seq]
		if answered && a.Problem == nil {
			c.queries++
			require.NotContains(c.t, []call.JobState{call.JobFailed, call.JobCancelled}, a.State, "job %s at %s", j.id, h.host)
		}
		if a.Problem != nil {
			require.NotEqual(c.t, problem.UnknownJob, a.Problem.Kind, "%s does not know the accepted job %s", h.host, j.id)
		}
	})
	if c.now.Sub(since) < 15*model.Second {
		c.after(wait, func() { c.ask(j, since) })
	}
}

func (c *callers) resubmit(j *submittedJob, wait model.Duration) {
	if j.attempts < callerAttempts {
		c.after(wait, func() {
			c.checkRefused(j)
			c.attempt(j)
		})
	}
}

// checkRefused checks that a job whose latest attempt was refused is unknown to all
// replicas. An entry host that knows no leader speaks only for its own attempt, so a
// refusal of that kind counts only if no earlier attempt has an unknown outcome.
func (c *callers) checkRefused(j *submittedJob) {
	if j.refused == nil || j.unknownAt != 0 && j.refused.Kind == problem.NoLeader {
		return
	}
	c.refusals++
	for _, r := range c.replicas {
		require.NotContains(c.t, r.state.fleet.Jobs.Jobs, j.id, "%s has a job that was refused: %v", r.host, j.refused)
	}
}

// read makes a host read a call, or the end of its connection. A frozen one reads it when
// it runs again, before or after the messages that have arrived meanwhile.
func (s *fleetSim) read(r *simReplica, incarnation int, e event.Event) {
	if s.now < r.frozenUntil {
		s.after(r.frozenUntil.Sub(s.now)+s.between(0, 100*millisecond), func() { s.read(r, incarnation, e) })
		return
	}
	s.deliver(r, incarnation, e)
}

// kill ends the process of a replica and starts another on the same disk later.
func (s *fleetSim) kill(r *simReplica, down model.Duration) {
	r.incarnation++
	r.state.halted = true
	s.after(down, func() { s.startReplica(r) })
}

// Guards against submissions that are sent to a leader which is gone, and so end with an
// unknown outcome (504) although a leader is elected later: all replicas are killed at
// once, as by a loss of power, and the next leader comes after the callers' patience.
func TestSubmissionsAfterTheLossOfAllReplicas(t *testing.T) {
	const probed = 200 * millisecond // a fresh contact, a tick and the messages
	for seed := range uint64(3) {
		c := newCallers(t, seed, 9, 8, 0, 0)
		c.submitEvery(20*millisecond, "/q/", c.now.Add(8*model.Second))
		c.run(2 * model.Second)
		killed := c.now
		for _, r := range c.replicas {
			c.kill(r, 4*model.Second+c.between(0, 300*millisecond))
		}
		c.run(20 * model.Second)
		for _, j := range c.jobs {
			require.True(t, j.accepted, "job %s of seed %d", j.id, seed)
			require.LessOrEqual(t, j.unknownAt, killed.Add(probed), "job %s of seed %d has an unknown outcome", j.id, seed)
		}
	}
}

// Guards against refusals while a leader is being elected: each uses up an attempt of
// the caller and costs it at least a second, and no other host could serve it earlier.
func TestSubmissionsWaitForAnElection(t *testing.T) {
	for seed := range uint64(3) {
		c := newCallers(t, seed, 9, 8, 0, 0)
		c.submitEvery(20*millisecond, "/q/", c.now.Add(4*model.Second))
		c.run(2 * model.Second)
		c.kill(c.leader(), 5*model.Second)
		c.run(10 * model.Second)
		for _, j := range c.jobs {
			require.True(t, j.accepted, "job %s of seed %d", j.id, seed)
			require.Equal(t, 1, j.attempts, "attempts of job %s of seed %d", j.id, seed)
		}
	}
}

// Guards against a refused job that runs and an accepted one that is lost, while replicas and entry hosts freeze, are cut off or end, the leader among
// them, and connections of callers are reset.
func TestRefusedJobsStayRefused(t *testing.T) {
	for seed := range simSeeds(t, 40) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			playRefusals(newCallers(t, seed, 5, 4, 2, 0))
		})
	}
}

// Guards against a host that does not know an accepted job, or shows it as failed or
// cancelled, while hosts freeze, are cut off or end and start again, the leader among them.
func TestAcceptedJobsStayKnown(t *testing.T) {
	for seed := range simSeeds(t, 12) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCallers(t, seed, 5, 4, 4, 0)
			c.asks, c.resets = true, 0.1
			until := c.now.Add(15 * model.Second)
			c.submitEvery(300*millisecond, "/q/", until)
			c.disturb(until)
			c.run(35 * model.Second)
			require.Greater(t, c.queries, 100)
		})
	}
}

// playRefusals checks that refused jobs stay refused and accepted ones known.
func playRefusals(c *callers) {
	c.callUntilAnswered(call.Call{Configure: &jobs.Config{
		Version: 2, Services: map[model.ServiceID]jobs.Service{"render": {}},
		Queues: []jobs.Queue{{ID: "t", Host: "h", Prefix: "/t/", Service: "render", MaxAttempts: 40, Stretch: 2, Target: model.Second, Timeout: model.Second, Open: true}},
	}})
	c.resets = 0.2
	until := c.now.Add(15 * model.Second)
	c.submitEvery(100*millisecond, "/t/", until)
	c.disturb(until)
	c.run(40 * model.Second)
	for _, j := range c.jobs {
		c.checkRefused(j)
		for _, r := range c.replicas {
			if j.accepted {
				require.Contains(c.t, r.state.fleet.Jobs.Jobs, j.id, "%s lacks a job that was accepted", r.host)
			}
		}
	}
	require.NotZero(c.t, c.refusals)
}

// disturb freezes, cuts off or kills a host, or all replicas, again and again.
func (c *callers) disturb(until model.Time) {
	if c.now >= until {
		return
	}
	hosts := slices.Concat(c.replicas, c.entries)
	h := hosts[c.rng.IntN(len(hosts))]
	if l := c.leader(); l != nil && c.rng.IntN(2) == 0 {
		h = l
	}
	end := c.now.Add(c.between(100*millisecond, 5*model.Second))
	switch kind := c.rng.IntN(12); {
	case h.state.halted || c.now < max(h.frozenUntil, h.cutUntil):
	case kind < 5:
		h.frozenUntil = end
	case kind < 8:
		h.cutUntil = end
	case kind < 11:
		c.kill(h, end.Sub(c.now))
	default:
		for _, r := range c.replicas {
			if !r.state.halted {
				c.kill(r, c.between(100*millisecond, 2*model.Second))
			}
		}
	}
	c.after(c.between(50*millisecond, 1500*millisecond), func() { c.disturb(until) })
}

// Guards against a submission that a replica, which had it unread while another one led,
// decides when it leads again: its caller may have been refused meanwhile.
func TestCopyOfAnEarlierTermIsNotDecided(t *testing.T) {
	c := newCallers(t, 1, 5, 1, 0, 0)
	l := c.leader()
	term := l.state.leading.term
	for i, stamped := range []uint64{term - 1, term} {
		id := model.JobID(fmt.Sprintf("%016x", i+1))
		c.deliver(l, l.incarnation, event.Received{From: c.entries[0].host, Message: message.Message{Call: &call.Call{
			Seq: uint64(i), Incarnation: "earlier", Patience: model.Second, Stamp: call.Stamp{Term: stamped, At: c.now},
			Submit: &call.Submit{Address: call.Address{Host: "h", Path: "/q/" + string(id)}, Job: jobs.Job{
				Steps: []jobs.Step{{Tasks: 1, Size: model.Resources{MilliCPU: 1000}, Estimate: model.Second}}, Rounds: make([]jobs.Round, 1),
			}},
		}}})
		c.run(model.Second)
		require.Equal(t, stamped == term, l.state.fleet.Jobs.Jobs[id] != nil)
	}
}
