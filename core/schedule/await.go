package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// A long-running task is to run again soon after the loss of its worker, and a worker that is
// lost with an order unanswered may carry it out for the longest delay of a call. So such an
// order is sent only to a worker that has just answered a call: few are under way when workers
// are lost.
const (
	// justAnsweredTime is the age of an answer up to which an order follows without a poll. It
	// is two ticks.
	justAnsweredTime = 100 * model.Millisecond
	// awaitAnswerTime is how long an order waits for an answer.
	awaitAnswerTime = model.Second
)

// hasJustAnswered reports whether the latest call to a worker shows that it takes calls.
func (w *worker) hasJustAnswered(now model.Time) bool {
	return !w.pollFailed && now.Sub(w.answeredAt) <= justAnsweredTime
}

// mayAnswer reports whether an order of a step that waits for an answer of the worker may get
// one soon.
func (w *worker) mayAnswer(step *jobs.Step) bool { return !step.LongRunning || !w.pollFailed }

// awaitsAnswer reports whether the order of a run waits for an answer of its worker.
func (r *run) awaitsAnswer() bool { return r.phase == assigned && r.awaitsFrom != 0 }

// awaitAnswer lets a run wait for an answer of its worker, and asks for one at once.
func (s *Scheduler) awaitAnswer(env Env, out *Out, r *run) {
	r.awaitsFrom = env.Now
	if !r.worker.asksAtOnce {
		r.worker.asksAtOnce = true
		s.poll(env, out, r.worker)
	}
}

// startAwaiting orders the runs to start that waited for the answer which a worker has just
// given, and gives up those that have waited for too long.
func (s *Scheduler) startAwaiting(env Env, out *Out, w *worker) {
	if !w.asksAtOnce {
		return
	}
	answered := w.hasJustAnswered(env.Now)
	w.asksAtOnce = false
	for _, r := range sortedRunsOf(w) {
		switch {
		case !r.awaitsAnswer():
		case answered:
			s.startAssigned(env, out, r)
		case w.pollFailed || env.Now.Sub(r.awaitsFrom) > awaitAnswerTime:
			s.giveUp(env, out, r, jobs.OutcomeVoid, "", "its worker did not answer before the order")
		default:
			w.asksAtOnce = true
		}
	}
}

// voidAwaiting gives up the runs whose order was not sent, when their worker is replaced or
// leaves.
func (s *Scheduler) voidAwaiting(env Env, out *Out, w *worker) {
	for _, r := range sortedRunsOf(w) {
		if r.awaitsAnswer() {
			s.giveUp(env, out, r, jobs.OutcomeVoid, "", "its worker has left")
		}
	}
}
