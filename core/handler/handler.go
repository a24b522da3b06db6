// Package handler decides calls on the leader. It answers calls that the state in force
// can answer and proposes commands for what has to be recorded first.
package handler

import (
	"strings"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/schedule"
)

// Env is what a decision depends on besides the call.
type Env struct {
	Schedule  schedule.Env
	Scheduler *schedule.Scheduler
	// Next is the host to which the worker of a Heartbeat sends its next heartbeats.
	Next model.HostID
}

// Decision is an immediate answer, or a command to propose, which is answered once it
// has been applied.
type Decision struct {
	Answer  *call.Answer
	Command *jobs.Command
	Logs    []effect.Log
}

func answer(a call.Answer) Decision { return Decision{Answer: &a} }

func refuse(k problem.Kind, format string, args ...any) Decision {
	return answer(call.Answer{Problem: problem.New(k, format, args...)})
}

// decide decides a call that is not a submission.
func decide(env Env, c *call.Call) Decision {
	switch {
	case c.Query != nil:
		return query(env, c.Query)
	case c.Cancel != nil:
		return cancel(env, c.Cancel)
	case c.Configure != nil:
		return configure(env, c.Configure)
	case c.ReadConfig != nil:
		return readConfig(env)
	case c.SetOut != nil:
		return setOut(env, c)
	case c.StartWave != nil:
		return Decision{Command: &jobs.Command{StartWave: c.StartWave}}
	case c.ReadWave != nil:
		return readWave(env, c.ReadWave.Wave)
	case c.Heartbeat != nil:
		return heartbeat(env, c.Heartbeat)
	case c.Leave != nil:
		return leave(env, c)
	}
	return refuse(problem.BadRequest, "the call is empty")
}

// resolveAddress returns the queue, the job id and the team of a request.
func resolveAddress(cfg *jobs.Config, a *call.Address) (*jobs.Queue, string, model.TeamID, *problem.Problem) {
	if cfg == nil {
		return nil, "", "", &problem.Problem{Kind: problem.NotConfigured, RetryAfter: model.Second}
	}
	q, id := cfg.Find(a.Host, a.Path)
	if q == nil {
		return nil, "", "", problem.New(problem.UnknownQueue, "there is no queue at %s%s", a.Host, a.Path)
	}
	team, known := cfg.Keys[a.Key]
	if a.Key != "" && !known || a.Key == "" && !q.Open {
		return nil, "", "", problem.New(problem.CallKeyRejected, "version %d has no such key", cfg.Version)
	}
	return q, id, team, nil
}

// submit decides a submission. proposed counts, by job, the submissions that are
// proposed and not yet applied: a copy of such a submission is no longer refused. With
// onlyKnown, a job is not accepted now.
func submit(env Env, s *call.Submit, onlyKnown bool, proposed map[model.JobID]int) Decision {
	q, id, team, refusal := resolveAddress(env.Schedule.State.Config, &s.Address)
	if refusal != nil {
		return refuseSubmission(env, s, refusal)
	}
	if !isJobID(id) {
		return refuseSubmission(env, s, problem.New(problem.BadRequest, "%q is not a job id", id))
	}
	if s.Malformed != "" {
		return refuseSubmission(env, s, problem.New(problem.BadRequest, "%s", s.Malformed))
	}
	if known := env.Schedule.State.Jobs[model.JobID(id)]; known != nil {
		if !env.Schedule.State.IsAt(known, q) || known.Team != team {
			return refuseSubmission(env, s, problem.New(problem.JobRejected, "job %s belongs to another queue or team", id))
		}
		if refusal := known.Refusal(); refusal != nil {
			return refuseSubmission(env, s, refusal)
		}
		return answer(call.Answer{State: stateOf(known)})
	}
	j := s.Job
	j.ID, j.Queue, j.Service, j.Team = model.JobID(id), q.ID, q.Service, team
	if err := j.Check(); err != nil {
		return refuseSubmission(env, s, problem.New(problem.BadRequest, "%v", err))
	}
	if !env.Scheduler.Fits(q, &j) {
		return refuseSubmission(env, s, problem.New(problem.JobRejected, "a task is larger than every worker of %s", q.Service))
	}
	if proposed[j.ID] > 0 {
		return Decision{Command: &jobs.Command{Submit: &j}}
	}
	if onlyKnown {
		return refuseSubmission(env, s, notAccepted(id))
	}
	env.Scheduler.RecordArrival(env.Schedule, q, &j)
	j.OverShare = !env.Scheduler.TakeShare(env.Schedule, team)
	if refusal := env.Scheduler.Admit(env.Schedule, q, &j); refusal != nil {
		if !j.OverShare {
			env.Scheduler.ReturnShare(team)
		}
		return refuseSubmission(env, s, refusal)
	}
	return Decision{Command: &jobs.Command{Submit: &j}}
}

func refuseSubmission(env Env, s *call.Submit, p *problem.Problem) Decision {
	d := answer(call.Answer{Problem: p})
	l := effect.Log{Code: effect.JobRefused, Request: model.RequestID(lastPathElement(s.Path)), Detail: p.Error()}
	if cfg := env.Schedule.State.Config; cfg != nil {
		l.Index = cfg.Version
	}
	if p.RetryExact {
		l.Count = int(p.RetryAfter / model.Second)
	}
	d.Logs = append(d.Logs, l)
	return d
}

func lastPathElement(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// isJobID reports whether id has 16 hexadecimal digits.
func isJobID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range id {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// refuseAddress refuses a call that is not a submission because of its queue or key.
func refuseAddress(env Env, a *call.Address, p *problem.Problem) Decision {
	d := answer(call.Answer{Problem: p})
	l := effect.Log{Code: effect.CallRefused, Request: model.RequestID(a.Path), Detail: p.Error()}
	if cfg := env.Schedule.State.Config; cfg != nil {
		l.Index = cfg.Version
	}
	d.Logs = []effect.Log{l}
	return d
}

func query(env Env, a *call.Address) Decision {
	q, id, team, refusal := resolveAddress(env.Schedule.State.Config, a)
	if refusal != nil {
		return refuseAddress(env, a, refusal)
	}
	if id == "" {
		n := env.Scheduler.Pending(q.ID)
		return answer(call.Answer{Pending: &n})
	}
	j := env.Schedule.State.Jobs[model.JobID(id)]
	if j == nil || !env.Schedule.State.IsAt(j, q) || j.Team != team || j.Withdrawn {
		return refuse(problem.UnknownJob, "there is no job %s", id)
	}
	return answer(call.Answer{State: stateOf(j)})
}

func stateOf(j *jobs.Job) call.JobState {
	switch {
	case j.Phase == jobs.Completed:
		return call.JobCompleted
	case j.Phase == jobs.Failed:
		return call.JobFailed
	case j.Phase == jobs.Cancelled:
		return call.JobCancelled
	case j.Started:
		return call.JobRunning
	}
	return call.JobQueued
}

// cancel cancels a job. A job that is unknown may be submitted later by a call that was
// sent before this one, so that its cancelling is recorded before it is answered.
func cancel(env Env, a *call.Address) Decision {
	q, id, team, refusal := resolveAddress(env.Schedule.State.Config, a)
	if refusal != nil {
		return refuseAddress(env, a, refusal)
	}
	j := env.Schedule.State.Jobs[model.JobID(id)]
	switch {
	case j == nil && isJobID(id):
		return Decision{Command: &jobs.Command{Cancel: &jobs.Cancel{Job: model.JobID(id), Queue: q.ID, Team: team}}}
	case j == nil || !env.Schedule.State.IsAt(j, q) || j.Team != team || j.Withdrawn:
		return refuse(problem.UnknownJob, "there is no job %s", id)
	}
	return Decision{Command: &jobs.Command{Cancel: &jobs.Cancel{Job: j.ID}}}
}

// configure acknowledges a version that is not higher than the one in force without
// recording it: callers repeat configurations, and a log entry holds the whole
// document.
func configure(env Env, c *jobs.Config) Decision {
	if err := c.Check(); err != nil {
		d := refuse(problem.ConfigRejected, "%v", err)
		d.Logs = []effect.Log{{Code: effect.ConfigRefused, Index: c.Version, Detail: err.Error()}}
		return d
	}
	if inForce := env.Schedule.State.Config; inForce != nil && c.Version <= inForce.Version {
		d := answer(call.Answer{})
		d.Logs = []effect.Log{{Code: effect.ConfigAccepted, Index: c.Version, Detail: "not higher than the version in force"}}
		return d
	}
	return Decision{Command: &jobs.Command{Configure: c}}
}

func readConfig(env Env) Decision {
	cfg := env.Schedule.State.Config
	if cfg == nil {
		return refuse(problem.NotConfigured, "no configuration has been accepted")
	}
	d := answer(call.Answer{Document: cfg.Document})
	d.Logs = []effect.Log{{Code: effect.ConfigRead, Index: cfg.Version}}
	return d
}

func readWave(env Env, wave uint64) Decision {
	w := env.Schedule.State.Waves[wave]
	if w == nil {
		return refuse(problem.UnknownWave, "there is no wave %d", wave)
	}
	return answer(call.Answer{WaveDone: w.Closed})
}

// heartbeat records what is new about a worker, unless the sender is not one. A worker
// that announces that it drains is answered only after that is recorded, so that a later
// leader knows it too.
func heartbeat(env Env, h *call.Heartbeat) Decision {
	known := env.Schedule.State.Workers[h.Worker.ID]
	if known != nil && known.StartedAt > h.Worker.StartedAt {
		return answer(call.Answer{}) // a late call of an earlier process of the worker
	}
	if IsRecorded(env.Schedule.State, h) {
		return answer(call.Answer{Next: env.Next})
	}
	if why := env.Scheduler.CheckHeartbeat(env.Schedule, &h.Worker); why != "" {
		// A refusal would make its sender call every other replica.
		d := answer(call.Answer{})
		d.Logs = []effect.Log{{Code: effect.HeartbeatIgnored, Worker: h.Worker.ID, Detail: string(why)}}
		return d
	}
	w := h.Worker
	return Decision{Command: &jobs.Command{Announce: &w}}
}

// IsRecorded reports whether a heartbeat contains nothing new about its worker. Any
// replica that follows the leader can answer such a heartbeat.
func IsRecorded(state *jobs.State, h *call.Heartbeat) bool {
	known := state.Workers[h.Worker.ID]
	return known != nil && known.SameIncarnation(&h.Worker) && (known.Draining || !h.Worker.Draining) && sameResources(known, &h.Worker)
}

func sameResources(a, b *jobs.Worker) bool {
	if a.Capacity != b.Capacity || a.Host != b.Host || a.Rack != b.Rack || len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return true
}

// setOut proposes an order on a data centre unless a later one is recorded. It is
// checked again when it is applied, since a later one may be proposed already.
func setOut(env Env, c *call.Call) Decision {
	order := *c.SetOut
	order.Horizon = c.Horizon
	if later := env.Schedule.State.SupersededBy(&order); later != 0 {
		p := problem.New(problem.CallSuperseded, "a later order on data centre %s is in force", order.DataCentre)
		return answer(call.Answer{Problem: p, SupersededBy: later})
	}
	return Decision{Command: &jobs.Command{SetOut: &order}}
}

// leave removes a worker. A call that does not name the process that ends may be meant
// for an earlier one than a process that was recorded after the call had arrived.
func leave(env Env, c *call.Call) Decision {
	l := c.Leave
	w := env.Schedule.State.Workers[l.Worker]
	switch {
	case w == nil,
		l.StartedAt != 0 && w.StartedAt != l.StartedAt,
		l.StartedAt == 0 && c.Horizon != 0 && w.Incarnation >= c.Horizon:
		return answer(call.Answer{})
	}
	return Decision{Command: &jobs.Command{Depart: &jobs.Depart{Worker: w.ID, Incarnation: w.Incarnation}}}
}
