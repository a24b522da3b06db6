package handler

import (
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/schedule"
)

const (
	// refusalRetention is how long a refusal is kept, so that a copy of the same call that
	// arrives later gets the same answer.
	refusalRetention = 15 * model.Second
	// stampError is the time by which the stamp of a submission may be later than the
	// moment at which its caller went away: a pause that the host which holds it does not
	// notice, and the way of some messages. A refused caller waits for at least a second before it submits
	// the job again, so that a new attempt has a stamp that is later than that.
	stampError = 500 * model.Millisecond
)

// Handler decides the calls of one term of the leader. It keeps what it needs of the
// submissions, so that all copies of one call have the same outcome, and so that no
// earlier submission of a job is accepted after a refusal of the job. What a Handler
// refuses needs no record in the log: the copies that carry the stamp of its term cannot
// be decided by a later leader.
type Handler struct {
	proposed map[model.JobID]int // submissions that are proposed and not yet applied
	refused  map[jobs.CallRef]refusal
	latest   map[call.Address]refusal // latest refusal of each job that may be submitted again
	inOrder  []refusedCall            // the keys of refused, oldest first
}

type refusal struct {
	problem *problem.Problem
	at      model.Time
}

type refusedCall struct {
	ref jobs.CallRef
	job call.Address
}

// New returns the Handler of a new term.
func New() *Handler {
	return &Handler{
		proposed: make(map[model.JobID]int), refused: make(map[jobs.CallRef]refusal), latest: make(map[call.Address]refusal),
	}
}

// Committed handles a command that was applied.
func (h *Handler) Committed(cmd *jobs.Command) {
	if cmd.Submit == nil {
		return
	}
	if h.proposed[cmd.Submit.ID]--; h.proposed[cmd.Submit.ID] <= 0 {
		delete(h.proposed, cmd.Submit.ID)
	}
}

// Decide decides one call. A submission that was refused stays refused, and one that
// may still be accepted is not refused.
func (h *Handler) Decide(env Env, ref jobs.CallRef, in *call.Call) Decision {
	if in.Submit == nil {
		return decide(env, in)
	}
	now := env.Schedule.Now
	h.dropOldRefusals(now)
	if earlier, known := h.refused[ref]; known {
		return answer(call.Answer{Problem: earlier.problem})
	}
	if env.Schedule.Bounds.Enabled(schedule.DurableRefusals) {
		if p := h.refusedSince(env, in); p != nil {
			return h.record(now, ref, in.Submit.Address, Decision{Answer: &call.Answer{Problem: p}, Logs: []effect.Log{
				{Code: effect.SubmissionOutdated, Request: model.RequestID(lastPathElement(in.Submit.Path)), Host: ref.Host, Detail: p.Error()},
			}})
		}
	}
	return h.record(now, ref, in.Submit.Address, submit(env, in.Submit, in.Resolve, h.proposed))
}

// record keeps what a decision on a submission means for later copies.
func (h *Handler) record(now model.Time, ref jobs.CallRef, job call.Address, d Decision) Decision {
	switch {
	case d.Command != nil:
		h.proposed[d.Command.Submit.ID]++
	case d.Answer.Problem != nil:
		h.refused[ref] = refusal{d.Answer.Problem, now}
		// After another refusal, callers need not wait before they submit the job again.
		if problem.Lookup(d.Answer.Problem.Kind).Retryable {
			h.latest[job] = h.refused[ref]
		}
		h.inOrder = append(h.inOrder, refusedCall{ref, job})
	}
	return d
}

func (h *Handler) dropOldRefusals(now model.Time) {
	for len(h.inOrder) > 0 {
		oldest := h.inOrder[0]
		if now.Sub(h.refused[oldest.ref].at) <= refusalRetention {
			return
		}
		if h.latest[oldest.job] == h.refused[oldest.ref] {
			delete(h.latest, oldest.job)
		}
		delete(h.refused, oldest.ref)
		h.inOrder = h.inOrder[1:]
	}
}

// refusedSince returns why a submission is refused without looking at the job: the job was
// refused after the submission had arrived, or may have been. It may be older than an
// attempt of the same caller at another host that was refused. A job that is known or
// proposed was accepted since.
func (h *Handler) refusedSince(env Env, in *call.Call) *problem.Problem {
	job, s := model.JobID(lastPathElement(in.Submit.Path)), in.Stamp
	if s.At == 0 || env.Schedule.State.Jobs[job] != nil || h.proposed[job] > 0 {
		return nil
	}
	if latest, refused := h.latest[in.Submit.Address]; refused && s.At <= latest.at.Add(stampError) {
		return latest.problem
	}
	if env.Schedule.Now.Sub(s.At) > refusalRetention-stampError {
		return notAccepted(string(job))
	}
	return nil
}

// notAccepted is the refusal of a job that is not known and that a new attempt may submit.
func notAccepted(job string) *problem.Problem {
	p := problem.New(problem.NoLeader, "job %s was not accepted while there was no leader", job)
	p.RetryAfter = model.Second
	return p
}
