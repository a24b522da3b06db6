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
	tickets     map[process]ticket
	askedAt     map[process]model.Time // when a call last named the worker
	pendingCall uint64                 // sequence number of the call without a result yet, 0 for none
	retryAt     model.Time
}

// process is one process of a worker. A ticket is valid for one process only.
type process struct {
	worker      model.WorkerID
	incarnation uint64
}

func (w *worker) process() process { return process{w.info.ID, w.info.Incarnation} }

// ticket is the policy service's permission to run a step on one worker.
type ticket struct {
	text     string
	askedAt  model.Time
	validity model.Duration // when it was asked for
}

// adviceCall is a call to the policy service without a result. Jobs, queues and workers
// may change before the answer arrives, so that the call holds what the answer needs.
type adviceCall struct {
	order.AdviceCall
	processes []process // of its workers, in their order
	sentAt    model.Time
	deadline  model.Time // the call counts as failed after this time
}

// ticketFor returns a worker's ticket for a step, and whether it is valid for at least
// ticketMargin.
func (job *activeJob) ticketFor(env Env, step jobs.StepRef, w *worker) (string, bool) {
	a := job.advice[step]
	if a == nil {
		return "", false
	}
	t, ok := a.tickets[w.process()]
	validity := t.validity
	if job.policy != nil {
		validity = min(validity, job.policy.Validity)
	}
	return t.text, ok && env.Now.Add(ticketMargin) < t.askedAt.Add(validity)
}

// allowedWorkers returns the usable workers that have a ticket for a step of a job with a
// policy. If none of them has free capacity for a task, it requests advice about more
// workers.
func (s *Scheduler) allowedWorkers(env Env, out *Out, job *activeJob, step jobs.StepRef, usable []*worker) []*worker {
	var allowed []*worker
	for _, w := range usable {
		if _, ok := job.ticketFor(env, step, w); ok {
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
		a = &advice{tickets: make(map[process]ticket), askedAt: make(map[process]model.Time)}
		job.advice[step] = a
	}
	if a.pendingCall != 0 || env.Now < a.retryAt || len(s.pendingAdviceCalls) >= maxAdviceCalls {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(usable), func(w *worker) bool {
		at, asked := a.askedAt[w.process()]
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
	call := &adviceCall{AdviceCall: order.AdviceCall{Seq: s.callSeq, Term: env.Term, Step: step, Validity: job.policy.Validity}, sentAt: env.Now}
	for _, w := range candidates {
		call.Workers = append(call.Workers, w.info.ID)
		call.processes = append(call.processes, w.process())
		a.askedAt[w.process()] = env.Now
	}
	call.Patience = (job.policy.Decision+model.Duration(len(call.Workers))*job.policy.Period)*maxAdviceCalls + adviceCallMargin
	call.deadline = env.Now.Add(call.Patience + adviceCallMargin)
	a.pendingCall = call.Seq
	s.pendingAdviceCalls[call.Seq] = call
	out.Effects = append(out.Effects, effect.CallAdvice{Call: call.AdviceCall})
}

// endAdviceCall ends a pending call, which gives its place back, and returns the advice
// that it was made for: nil if its job has ended. The place of a job's call is not given
// back before, since the policy service serves the call until then.
func (s *Scheduler) endAdviceCall(call *adviceCall) *advice {
	delete(s.pendingAdviceCalls, call.Seq)
	job := s.active[call.Step.Job]
	if job == nil {
		return nil
	}
	a := job.advice[call.Step]
	if a == nil || a.pendingCall != call.Seq {
		return nil // the job was forgotten and submitted again
	}
	a.pendingCall = 0
	s.pool(job.service).dirty = true
	return a
}

// failAdviceCall ends a call without an answer.
func (s *Scheduler) failAdviceCall(env Env, out *Out, call *adviceCall, reason string) {
	if a := s.endAdviceCall(call); a != nil {
		a.retryAt = env.Now.Add(adviceRetryDelay)
		for _, p := range call.processes {
			delete(a.askedAt, p)
		}
	}
	out.log(effect.AdviceFailed, effect.Log{Request: model.RequestID(call.Step.Job), Detail: reason})
}

// expireAdviceCalls fails the calls whose result is overdue.
func (s *Scheduler) expireAdviceCalls(env Env, out *Out) {
	for _, seq := range model.SortedKeys(s.pendingAdviceCalls) {
		if call := s.pendingAdviceCalls[seq]; env.Now > call.deadline {
			s.failAdviceCall(env, out, call, "no result in time")
		}
	}
}

// Advised handles the result of an advice call. One of an earlier term, of a call that
// has failed, or a second one is ignored.
func (s *Scheduler) Advised(env Env, out *Out, r *order.AdviceReply) {
	call := s.pendingAdviceCalls[r.Call.Seq]
	if call == nil || r.Call.Term != env.Term {
		return
	}
	if r.Failed != "" {
		s.failAdviceCall(env, out, call, r.Failed)
		return
	}
	a := s.endAdviceCall(call)
	if a == nil {
		return
	}
	for i, w := range call.Workers {
		if text, ok := r.Tickets[w]; ok {
			// The validity began when the call was sent or later.
			a.tickets[call.processes[i]] = ticket{text, call.sentAt, call.Validity}
		}
	}
}
