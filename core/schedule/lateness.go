package schedule

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Times of the calls to workers while answers get lost, or come late because this
// process is short of processor time.
const (
	// answerLossTime is how long after a call without an answer other answers are taken to
	// get lost too. Polls of workers with runs are then short, since the ends behind a
	// lost answer are not known until the next.
	answerLossTime = 5 * model.Second
	// answerLossPollWait and alertAnswerTime stand for pollWait and answerTime meanwhile, the
	// former for as long as there are few workers.
	answerLossPollWait   = 200 * model.Millisecond
	answerLossAnswerTime = 120 * model.Millisecond
	// answerLossPollInterval is the time between two polls of all workers together that wait in
	// vain while answers get lost.
	answerLossPollInterval = 10 * model.Millisecond
	// answerLossResendDelay stands for resendTime while answers get lost, pressedResendTime
	// while this process is short of processor time.
	answerLossResendDelay = 100 * model.Millisecond
	overloadResendDelay   = 600 * model.Millisecond
	// lateTick is the time between two ticks from which on the process is taken to be
	// short of processor time: the interval of ticks is half of it.
	lateTick = 100 * model.Millisecond
	// overloadTime is how long a late tick counts.
	overloadTime = 3 * model.Second
	// slowOrderTime is the time of an order from which on the process is taken to be
	// short of processor time: several times the way through a delegate and back.
	slowOrderTime = 80 * model.Millisecond
	// orderTimeKept is how long the time of orders counts without another answer.
	orderTimeKept = 500 * model.Millisecond
	// orderTimeSamples is the number of orders over which their time is averaged.
	orderTimeSamples = 16
)

// shortPollWait is the longest wait of a poll while answers get lost.
func (s *Scheduler) shortPollWait() model.Duration {
	return max(answerLossPollWait, model.Duration(len(s.workers))*answerLossPollInterval)
}

// recordUnanswered records a call without an answer. A host that was ordered away does
// not answer.
func (s *Scheduler) recordUnanswered(env Env, out *Out, w *worker, detail string) {
	if s.cordoned[w.info.Host] {
		return
	}
	if s.unansweredAt == 0 || env.Now.Sub(s.unansweredAt) >= answerLossTime {
		out.log(effect.AnswersLost, effect.Log{Worker: w.info.ID, Detail: detail})
	}
	s.unansweredAt = env.Now
}

// isLosingAnswers reports whether answers get lost by the fault of workers or links. A
// leader that is short of processor time is late with answers itself, and more
// calls would make it later.
func (s *Scheduler) isLosingAnswers(now model.Time) bool {
	return s.unansweredAt != 0 && now.Sub(s.unansweredAt) < answerLossTime && !s.isOverloaded(now)
}

// isOverloaded reports whether this process is short of processor time: its ticks or
// the answers to its orders come late.
func (s *Scheduler) isOverloaded(now model.Time) bool {
	return s.lateTickAt != 0 && now.Sub(s.lateTickAt) < overloadTime || s.orderTime > slowOrderTime
}

// recordOrderTime keeps the time that orders take until their answer is handled.
func (s *Scheduler) recordOrderTime(now model.Time, d model.Duration) {
	s.orderTime += (d - s.orderTime) / orderTimeSamples
	s.orderTimeAt = now
}

// decayOrderTime lets the time of orders fall while none is answered. Without it, a
// leader that refuses jobs because orders take long would go on refusing them.
func (s *Scheduler) decayOrderTime(now model.Time) {
	if now.Sub(s.orderTimeAt) >= orderTimeKept {
		s.orderTime -= s.orderTime / orderTimeSamples
	}
}

// leaderDelay is what the lateness of this process adds to the time of a job: the order of
// each step and the news of its end wait as long as orders do now.
func (s *Scheduler) leaderDelay(j *jobs.Job) model.Duration {
	return 2 * s.orderTime * model.Duration(chainLength(j))
}

// resendAfter is how long an order waits for an answer before it is sent again.
func (s *Scheduler) resendAfter(now model.Time) model.Duration {
	switch {
	case s.isOverloaded(now):
		return overloadResendDelay
	case s.isLosingAnswers(now):
		return answerLossResendDelay
	}
	return resendDelay
}
