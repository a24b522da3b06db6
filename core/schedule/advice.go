package schedule

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

const (
	// advicesAtOnce bounds the calls that wait for advice: the service takes one at
	// a time and refuses more than 32.
	advicesAtOnce = 4
	// workersPerAdvice bounds the workers named in one call, since each costs time.
	workersPerAdvice = 30
	// advicePatience is added to the time that a call should take, with those that
	// wait before it.
	advicePatience = model.Second
	// adviceRetry is the pause after a call without an answer.
	adviceRetry = 250 * model.Millisecond
	// ticketMargin is kept of a ticket's time for the order on its way.
	ticketMargin = 400 * model.Millisecond
)

// advice is what is known of the workers that may run a step.
type advice struct {
	tickets map[model.WorkerID]ticket
	asked   map[model.WorkerID]model.Time // when each was asked about
	out     uint64                        // sequence number of the call that is out, 0 for none
	until   model.Time                    // the call counts as failed after this
	retryAt model.Time
}

type ticket struct {
	text  string
	until model.Time
}

// ticketFor returns a worker's ticket for a step if it is valid long enough for an
// order.
func (p *progress) ticketFor(env Env, step jobs.StepRef, w model.WorkerID) (string, bool) {
	a := p.advice[step]
	if a == nil {
		return "", false
	}
	t, ok := a.tickets[w]
	return t.text, ok && env.Now.Add(ticketMargin) < t.until
}

// advise returns the workers that may run a step, and asks about more where none
// that is known has room.
func (s *Scheduler) advise(env Env, out *Out, p *progress, step jobs.StepRef, usable []*worker) []*worker {
	var allowed []*worker
	for _, w := range usable {
		if _, ok := p.ticketFor(env, step, w.info.ID); ok {
			allowed = append(allowed, w)
		}
	}
	claim := p.job.Steps[step.Step].Claim()
	if !slices.ContainsFunc(allowed, func(w *worker) bool { return claim.Fits(w.free()) }) {
		s.askAdvice(env, out, p, step, usable)
	}
	return allowed
}

// askAdvice asks about the workers with most room that were not asked about lately.
func (s *Scheduler) askAdvice(env Env, out *Out, p *progress, step jobs.StepRef, usable []*worker) {
	a := p.advice[step]
	if a == nil {
		a = &advice{tickets: make(map[model.WorkerID]ticket), asked: make(map[model.WorkerID]model.Time)}
		p.advice[step] = a
	}
	if a.out != 0 && env.Now > a.until {
		s.adviceEnded(a)
	}
	if a.out != 0 || env.Now < a.retryAt || s.advices >= advicesAtOnce {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(usable), func(w *worker) bool {
		at, asked := a.asked[w.info.ID]
		return asked && env.Now.Sub(at) < p.advised.Validity
	})
	slices.SortStableFunc(candidates, func(x, y *worker) int {
		return int(y.free().MilliCPU - x.free().MilliCPU)
	})
	candidates = candidates[:min(len(candidates), workersPerAdvice)]
	if len(candidates) == 0 {
		return
	}
	s.seq++
	call := order.AdviceCall{Seq: s.seq, Step: step}
	for _, w := range candidates {
		call.Workers = append(call.Workers, w.info.ID)
		a.asked[w.info.ID] = env.Now
	}
	call.Patience = (p.advised.Decision+model.Duration(len(call.Workers))*p.advised.Period)*advicesAtOnce + advicePatience
	a.out, a.until = call.Seq, env.Now.Add(call.Patience+advicePatience)
	s.advices++
	out.Effects = append(out.Effects, effect.CallAdvice{Call: call})
}

func (s *Scheduler) adviceEnded(a *advice) {
	a.out = 0
	s.advices--
}

// Advised handles an answer.
func (s *Scheduler) Advised(env Env, out *Out, r *order.AdviceReply) {
	p := s.active[r.Call.Step.Job]
	if p == nil {
		s.advices = max(0, s.advices-1)
		return
	}
	a := p.advice[r.Call.Step]
	if a == nil || a.out != r.Call.Seq {
		return
	}
	s.adviceEnded(a)
	s.pool(p.service).dirty = true
	if r.Failed != "" {
		a.retryAt = env.Now.Add(adviceRetry)
		for _, w := range r.Call.Workers {
			delete(a.asked, w)
		}
		out.log(effect.AdviceFailed, effect.Log{Request: model.RequestID(r.Call.Step.Job), Detail: r.Failed})
		return
	}
	for _, w := range r.Call.Workers {
		if text, ok := r.Tickets[w]; ok {
			// Its time began at the latest when the call was sent.
			a.tickets[w] = ticket{text, a.asked[w].Add(p.advised.Validity)}
		}
	}
}
