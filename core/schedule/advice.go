package schedule

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

const (
	// maxAdviceCalls limits the concurrent calls to the policy service, which serves
	// one call at a time and refuses more than 32.
	maxAdviceCalls = 4
	// maxWorkersPerAdviceCall limits the workers named in one call, since each of
	// them makes the call longer.
	maxWorkersPerAdviceCall = 30
	// adviceCallMargin is added to the expected duration of a call, which includes the
	// calls that are served before it.
	adviceCallMargin = model.Second
	// adviceRetryDelay is the delay before the next call after a failed one.
	adviceRetryDelay = 250 * model.Millisecond
	// ticketMargin is the remaining validity that a ticket must have when an order is
	// sent, to cover the transmission of the order.
	ticketMargin = 400 * model.Millisecond
)

// advice holds the policy service's answers for one step.
type advice struct {
	tickets      map[model.WorkerID]ticket
	askedAt      map[model.WorkerID]model.Time // when a call last named the worker
	pendingCall  uint64                        // sequence number of the call without a result yet, 0 for none
	callDeadline model.Time                    // the pending call counts as failed after this time
	retryAt      model.Time
}

// ticket is the policy service's permission to run a step on one worker.
type ticket struct {
	text      string
	expiresAt model.Time
}

// ticketFor returns a worker's ticket for a step, and whether it is valid for at least
// ticketMargin.
func (job *activeJob) ticketFor(env Env, step jobs.StepRef, w model.WorkerID) (string, bool) {
	a := job.advice[step]
	if a == nil {
		return "", false
	}
	t, ok := a.tickets[w]
	return t.text, ok && env.Now.Add(ticketMargin) < t.expiresAt
}

// allowedWorkers returns the usable workers that have a ticket for a step. If none of
// them has free capacity for a task, it requests advice about more workers.
func (s *Scheduler) allowedWorkers(env Env, out *Out, job *activeJob, step jobs.StepRef, usable []*worker) []*worker {
	var allowed []*worker
	for _, w := range usable {
		if _, ok := job.ticketFor(env, step, w.info.ID); ok {
			allowed = append(allowed, w)
		}
	}
	claim := job.job.Steps[step.Step].Claim()
	if !slices.ContainsFunc(allowed, func(w *worker) bool { return claim.Fits(w.free()) }) {
		s.requestAdvice(env, out, job, step, usable)
	}
	return allowed
}

// requestAdvice calls the policy service about the workers with the most free processor
// time, except those that a call has named within the validity of a ticket.
func (s *Scheduler) requestAdvice(env Env, out *Out, job *activeJob, step jobs.StepRef, usable []*worker) {
	a := job.advice[step]
	if a == nil {
		a = &advice{tickets: make(map[model.WorkerID]ticket), askedAt: make(map[model.WorkerID]model.Time)}
		job.advice[step] = a
	}
	if a.pendingCall != 0 && env.Now > a.callDeadline {
		s.endAdviceCall(a)
	}
	if a.pendingCall != 0 || env.Now < a.retryAt || s.pendingAdviceCalls >= maxAdviceCalls {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(usable), func(w *worker) bool {
		at, asked := a.askedAt[w.info.ID]
		return asked && env.Now.Sub(at) < job.policy.Validity
	})
	slices.SortStableFunc(candidates, func(x, y *worker) int {
		return int(y.free().MilliCPU - x.free().MilliCPU)
	})
	candidates = candidates[:min(len(candidates), maxWorkersPerAdviceCall)]
	if len(candidates) == 0 {
		return
	}
	s.callSeq++
	call := order.AdviceCall{Seq: s.callSeq, Step: step}
	for _, w := range candidates {
		call.Workers = append(call.Workers, w.info.ID)
		a.askedAt[w.info.ID] = env.Now
	}
	call.Patience = (job.policy.Decision+model.Duration(len(call.Workers))*job.policy.Period)*maxAdviceCalls + adviceCallMargin
	a.pendingCall, a.callDeadline = call.Seq, env.Now.Add(call.Patience+adviceCallMargin)
	s.pendingAdviceCalls++
	out.Effects = append(out.Effects, effect.CallAdvice{Call: call})
}

func (s *Scheduler) endAdviceCall(a *advice) {
	a.pendingCall = 0
	s.pendingAdviceCalls--
}

// Advised handles the result of an advice call.
func (s *Scheduler) Advised(env Env, out *Out, r *order.AdviceReply) {
	job := s.active[r.Call.Step.Job]
	if job == nil {
		s.pendingAdviceCalls = max(0, s.pendingAdviceCalls-1)
		return
	}
	a := job.advice[r.Call.Step]
	if a == nil || a.pendingCall != r.Call.Seq {
		return
	}
	s.endAdviceCall(a)
	s.pool(job.service).dirty = true
	if r.Failed != "" {
		a.retryAt = env.Now.Add(adviceRetryDelay)
		for _, w := range r.Call.Workers {
			delete(a.askedAt, w)
		}
		out.log(effect.AdviceFailed, effect.Log{Request: model.RequestID(r.Call.Step.Job), Detail: r.Failed})
		return
	}
	for _, w := range r.Call.Workers {
		if text, ok := r.Tickets[w]; ok {
			// The validity began when the call was sent or later.
			a.tickets[w] = ticket{text, a.askedAt[w].Add(job.policy.Validity)}
		}
	}
}
