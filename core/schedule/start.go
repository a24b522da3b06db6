package schedule

import (
	"fmt"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// start sends the first order to start a run.
func (s *Scheduler) start(env Env, out *Out, r *run, checkpoint string) {
	w := r.worker
	r.voidFrom = max(r.voidFrom, w.extendLease(env.Now, startTimeout))
	r.phase = ordered
	if w.orderedFrom < w.answeredAt {
		w.orderedFrom = env.Now
	}
	s.load.starts++
	s.logRepeated(env, out, r)
	s.sendOrder(env, out, r, checkpoint)
	out.log(effect.RunOrdered, effect.Log{Request: model.RequestID(r.ref.Job), Task: runLabel(r.ref), Worker: w.info.ID,
		Detail: fmt.Sprintf("clock %d of %d ms ago, deadline %d, claims %d of %d and %d of %d MB, used %d and %d MB, declared %d ms, predicted %d ms",
			w.clock, env.Now.Sub(w.clockAt)/model.Millisecond, r.voidFrom,
			r.claim.MilliCPU, w.info.Capacity.MilliCPU, r.claim.MemoryMB, w.info.Capacity.MemoryMB, w.used.MilliCPU, w.used.MemoryMB,
			r.step.Estimate/model.Millisecond, s.durations(r.job.Queue).predict(r.step.Estimate).mean()/model.Millisecond)})
}

// sendOrder sends an order to start a run, which the worker refuses once its clock has reached
// voidFrom.
func (s *Scheduler) sendOrder(env Env, out *Out, r *run, checkpoint string) {
	w := r.worker
	s.raiseTokenForOrder(w)
	w.orderToken = w.token
	w.contact.sent(env.Now)
	r.sentAt = env.Now
	r.sent(env.Now)
	out.Effects = append(out.Effects, s.call(w, order.Call{Start: &order.Start{
		RunRef: r.ref, Spec: r.job.Spec, Checkpoint: checkpoint, Ticket: s.ticket(env, r), Deadline: r.voidFrom,
	}}))
}

// ticket returns the ticket for the order of a run, or an empty string.
func (s *Scheduler) ticket(env Env, r *run) string {
	job := s.active[r.ref.Job]
	if job == nil || job.policy == nil {
		return ""
	}
	text, _ := job.ticketFor(env, r.ref.StepRef(), r.worker)
	return text
}

// handleStartReply handles the result of an order to start a run.
func (s *Scheduler) handleStartReply(env Env, out *Out, w *worker, reply *order.Reply) {
	r := w.runs[reply.Call.Start.RunRef]
	if r == nil {
		return
	}
	if reply.Status != order.NoAnswer {
		r.answered(env.Now)
	}
	if r.phase != ordered {
		return
	}
	switch reply.Status {
	case order.Accepted:
		if r.orders == 1 {
			s.recordOrderTime(env.Now, env.Now.Sub(r.sentAt))
		}
		r.accepted()
		at := reply.Clock
		if r.strayed {
			at = 0
		}
		s.markBegun(env, r, at)
		s.proposeConfirm(out, r)
	case order.Superseded:
		// The run has ended or was stopped. The next list tells how it ended.
		r.voidFrom = min(r.voidFrom, reply.Clock)
	case order.DeadlinePassed:
		// No order of this run is executed from now on, but an earlier one without an
		// answer may have been. The next list says so.
		r.voidFrom = min(r.voidFrom, reply.Clock)
		r.refusals++
		s.voidIfRefused(env, out, r, reply)
	case order.NoAnswer:
		// The order may still be executed.
	case order.Refused:
		// This copy of the order was not sent.
		r.refusals++
		s.voidIfRefused(env, out, r, reply)
		s.markUnreachable(out, w, "connections to its address are refused")
	default:
		// An earlier order without an answer may still be executed.
		r.refusals++
		s.voidIfRefused(env, out, r, reply)
		switch reply.Status {
		case order.WrongProcess:
			s.addressLost(out, w, "another process answers at its address")
		case order.Unavailable:
			s.suspect(env, out, w)
		case order.NoTicket:
			s.forgetTicket(r)
		}
	}
}

// voidIfRefused gives up a run as void once every order to start it was refused.
func (s *Scheduler) voidIfRefused(env Env, out *Out, r *run, reply *order.Reply) {
	if r.allRefused() {
		s.giveUp(env, out, r, jobs.OutcomeVoid, "", "its worker refused it: "+string(reply.Status)+" "+reply.Detail)
	}
}

// forgetTicket removes the ticket of a run after the worker has refused it, so that
// advice is requested again.
func (s *Scheduler) forgetTicket(r *run) {
	if job := s.active[r.ref.Job]; job != nil && job.advice[r.ref.StepRef()] != nil {
		delete(job.advice[r.ref.StepRef()].tickets, r.worker.process())
		delete(job.advice[r.ref.StepRef()].askedAt, r.worker.process())
	}
}

// advanceRun sends the latest order of a run again if it has no answer in time. An order to
// start is sent a third time only to a worker that has answered something since, because
// each copy prolongs the time for which the task waits if the worker has ended.
func (s *Scheduler) advanceRun(env Env, out *Out, r *run) {
	if env.Now.Sub(r.sentAt) < s.resendAfter(env.Now) || !r.worker.polled || r.endListed {
		return
	}
	switch {
	case r.stopping && r.phase != assigned:
		s.load.resends++
		s.sendStop(env, out, r)
	case r.phase == ordered && r.worker.clockNow(env.Now) < r.voidFrom && (r.orders == 1 || r.worker.answeredAt > r.sentAt):
		t := env.State.Task(r.ref.TaskRef)
		if t == nil {
			s.stop(env, out, r, "its job has ended")
			return
		}
		if t.Phase == jobs.Done {
			s.stop(env, out, r, "its gang is done")
			return
		}
		s.recordUnanswered(env, out, r.worker, "an order is sent again")
		s.load.resends++
		s.sendOrder(env, out, r, t.Checkpoint)
	}
}
