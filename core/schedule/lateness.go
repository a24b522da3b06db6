package schedule

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Times of the calls to workers while answers get lost, or come late because this
// process is short of processor time.
const (
	// alertTime is how long after a call without an answer other answers are taken to
	// get lost too. Polls of workers with runs are then short, since the ends behind a
	// lost answer are not known until the next.
	alertTime = 5 * model.Second
	// alertWait and alertAnswerTime stand for pollWait and answerTime meanwhile, the
	// former for as long as there are few workers.
	alertWait       = 200 * model.Millisecond
	alertAnswerTime = 120 * model.Millisecond
	// alertInterval is the time between two polls of all workers together that wait in
	// vain while answers get lost.
	alertInterval = 10 * model.Millisecond
	// alertResendTime stands for resendTime while answers get lost, pressedResendTime
	// while this process is short of processor time.
	alertResendTime   = 100 * model.Millisecond
	pressedResendTime = 600 * model.Millisecond
	// lateTick is the time between two ticks from which on the process is taken to be
	// short of processor time: the interval of ticks is half of it.
	lateTick = 100 * model.Millisecond
	// pressedTime is how long a late tick counts.
	pressedTime = 3 * model.Second
	// slowOrder is the time of an order from which on the process is taken to be
	// short of processor time: several times the way through a delegate and back.
	slowOrder = 80 * model.Millisecond
	// orderTimeKept is how long the time of orders counts without another answer.
	orderTimeKept = 500 * model.Millisecond
	// orderTimeWeight is the number of orders over which their time is averaged.
	orderTimeWeight = 16
)

// shortWait is the longest wait of a poll while answers get lost.
func (s *Scheduler) shortWait() model.Duration {
	return max(alertWait, model.Duration(len(s.workers))*alertInterval)
}

// noteUnanswered records a call without an answer. A host that was ordered away does
// not answer.
func (s *Scheduler) noteUnanswered(env Env, out *Out, w *worker, detail string) {
	if s.held[w.info.Host] {
		return
	}
	if s.unansweredAt == 0 || env.Now.Sub(s.unansweredAt) >= alertTime {
		out.log(effect.AnswersLost, effect.Log{Worker: w.info.ID, Detail: detail})
	}
	s.unansweredAt = env.Now
}

// isAlert reports whether answers get lost by the fault of workers or links. A
// leader that is short of processor time is late with answers itself, and more
// calls would make it later.
func (s *Scheduler) isAlert(now model.Time) bool {
	return s.unansweredAt != 0 && now.Sub(s.unansweredAt) < alertTime && !s.isPressed(now)
}

// isPressed reports whether this process is short of processor time: its ticks or
// the answers to its orders come late.
func (s *Scheduler) isPressed(now model.Time) bool {
	return s.lateAt != 0 && now.Sub(s.lateAt) < pressedTime || s.orderTime > slowOrder
}

// noteOrderTime keeps the time that orders take until their answer is handled.
func (s *Scheduler) noteOrderTime(now model.Time, d model.Duration) {
	s.orderTime += (d - s.orderTime) / orderTimeWeight
	s.orderTimeAt = now
}

// forgetOrderTime lets the time of orders fall while none is answered. Without it, a
// leader that refuses jobs because orders take long would go on refusing them.
func (s *Scheduler) forgetOrderTime(now model.Time) {
	if now.Sub(s.orderTimeAt) >= orderTimeKept {
		s.orderTime -= s.orderTime / orderTimeWeight
	}
}

// ownDelay is what the lateness of this process adds to the time of a job: the order of
// each step and the news of its end wait as long as orders do now.
func (s *Scheduler) ownDelay(j *jobs.Job) model.Duration {
	return 2 * s.orderTime * model.Duration(depth(j))
}

// resendAfter is how long an order waits for an answer before it is sent again.
func (s *Scheduler) resendAfter(now model.Time) model.Duration {
	switch {
	case s.isPressed(now):
		return pressedResendTime
	case s.isAlert(now):
		return alertResendTime
	}
	return resendTime
}
