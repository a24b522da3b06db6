package schedule

import (
	"fmt"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// A worker that restarts under its id takes the calls that were meant for its earlier
// process. Until the later process announces itself, only its answers show that it is
// another one: the answer to a poll has its start time, and every answer has its clock,
// which starts anew with the process.

// maxClockRate is the rate of the fastest worker clock, by the clock of the leader's host.
const maxClockRate = 1.01

// isOtherProcess reports whether the start time in an answer is that of another process.
func (w *worker) isOtherProcess(reply *order.Reply) bool {
	return reply.StartedAt != 0 && w.info.StartedAt != 0 && reply.StartedAt != w.info.StartedAt
}

// isFromLaterProcess reports whether a later process of a worker has given an answer to a
// call that was sent at sentAt. A list names the start time of its process; any other answer
// is judged by its clock.
func (w *worker) isFromLaterProcess(reply *order.Reply, sentAt, now model.Time) bool {
	if reply.Call.Poll != nil && (reply.StartedAt != 0 || reply.Status == order.Accepted) {
		return w.isOtherProcess(reply)
	}
	return w.isOtherProcess(reply) || !w.mayShow(reply.Clock, sentAt, now)
}

// mayShow reports whether the clock of the worker's own process may have shown c at some
// time from since to now.
func (w *worker) mayShow(c order.ClockMS, since, now model.Time) bool {
	if w.clock == 0 {
		return true // it has not answered yet
	}
	elapsed := since.Sub(w.clockAt)
	if elapsed > 0 {
		elapsed = model.Duration(float64(elapsed) * minClockRate)
	}
	const rounding = model.Millisecond
	earliest := w.clock + order.ClockMS((elapsed-rounding)/model.Millisecond)
	latest := w.clock + order.ClockMS((model.Duration(float64(now.Sub(w.clockSince))*maxClockRate)+rounding)/model.Millisecond)
	return earliest <= c && c <= latest
}

// laterProcessAnswered handles the answer of a later process to a call to the earlier one.
// The worker gets no new runs until a poll is answered by the process that is known, or
// the later process has announced itself.
func (s *Scheduler) laterProcessAnswered(env Env, out *Out, w *worker, reply *order.Reply) {
	if start := reply.Call.Start; start != nil {
		if r := w.runs[start.RunRef]; r != nil {
			r.answeredByLater()
		}
	}
	if w.polled {
		out.log(effect.WorkerRestarted, effect.Log{Worker: w.info.ID, Index: w.info.Incarnation, Detail: fmt.Sprintf(
			"it started at %d, the answer names %d; its clock was %d %d ms ago, the answer has %d",
			w.info.StartedAt, reply.StartedAt, w.clock, env.Now.Sub(w.clockAt)/model.Millisecond, reply.Clock)})
	}
	s.markUnreachable(out, w, "a later process answers its calls")
	w.restarted, w.restartedAt, w.pollFailed = true, env.Now, true
	if reply.Call.Poll == nil {
		w.pendingPoll, w.pollAt = 0, env.Now // ask which process it is
	}
}

// giveUpUnlisted gives up the runs of a worker that has restarted under its id, as far as the
// complete list of the later process lacks them. The poll's token is larger than those of
// all orders to the earlier process, so that the later process refuses them from now on. A
// third process would not, so the runs of orders that may still be on their way are kept.
func (s *Scheduler) giveUpUnlisted(env Env, out *Out, w *worker, reply *order.Reply, polledAt model.Time) {
	if reply.Partial || reply.StartedAt < w.info.StartedAt || reply.Call.Token <= w.orderToken {
		return
	}
	listed := make(map[jobs.RunRef]bool)
	for i := range reply.Running {
		listed[reply.Running[i].RunRef] = true
	}
	for i := range reply.Ended {
		listed[reply.Ended[i].RunRef] = true
	}
	for _, r := range w.unlisted(listed) {
		if r.phase != assigned && r.isExcludedBy(polledAt) {
			s.giveUp(env, out, r, jobs.OutcomeLost, "", "a later process of its worker does not list it")
		}
	}
}
