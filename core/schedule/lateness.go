package schedule

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Timing of the calls to workers while answers get lost, or come late because this
// process is overloaded, that is, short of processor time.
const (
	// answerLossTime is how long after an unanswered call other answers are expected
	// to get lost too. During this time the polls of workers with runs are short,
	// since the ends in a lost answer stay unknown until the next poll.
	answerLossTime = 5 * model.Second
	// answerLossPollWait and answerLossAnswerTime replace pollWait and pollAnswerTime
	// during answerLossTime. With many workers the wait is longer; see shortPollWait.
	answerLossPollWait   = 200 * model.Millisecond
	answerLossAnswerTime = 120 * model.Millisecond
	// answerLossPollInterval is the shortest average interval between polls, over all
	// workers together, while answers get lost and no ends are reported.
	answerLossPollInterval = 10 * model.Millisecond
	// overduePercent is the percentage of its predicted time after which a run is
	// overdue.
	overduePercent = 130
	// answerLossResendDelay replaces resendDelay while answers get lost, and
	// overloadResendDelay replaces it while this process is overloaded.
	answerLossResendDelay = 100 * model.Millisecond
	overloadResendDelay   = 600 * model.Millisecond
	// lateTick is the time between two ticks above which the process counts as
	// overloaded. It is twice the tick interval.
	lateTick = 100 * model.Millisecond
	// overloadTime is how long the process counts as overloaded after a late tick.
	overloadTime = 3 * model.Second
	// slowOrderTime is the average time of an order above which the process counts as
	// overloaded. It is several times the round trip through a delegate.
	slowOrderTime = 80 * model.Millisecond
	// orderTimeKept is the time without an answered order after which the average
	// order time begins to decay.
	orderTimeKept = 500 * model.Millisecond
	// orderTimeSamples is the number of orders over which the order time is averaged.
	orderTimeSamples = 16
)

// shortPollWait returns the longest wait of a poll of a worker while answers get lost.
// With many workers, only those with an overdue run are polled often.
func (s *Scheduler) shortPollWait(now model.Time, w *worker) model.Duration {
	if s.hasOverdueRun(now, w) {
		return answerLossPollWait
	}
	return max(answerLossPollWait, model.Duration(len(s.workers))*answerLossPollInterval)
}

// hasOverdueRun reports whether a run of a worker should have ended by its predicted
// time, so that the answer that reports its end may be lost.
func (s *Scheduler) hasOverdueRun(now model.Time, w *worker) bool {
	for _, r := range w.runs {
		if r.step.LongRunning || r.phase != begun {
			continue
		}
		predicted := s.durations(r.job.Queue).predict(r.step.Estimate).mean()
		if now.Sub(r.sentAt) > predicted*overduePercent/100 {
			return true
		}
	}
	return false
}

// recordUnanswered records a call without an answer. Cordoned hosts are ignored, since
// a host that was ordered into maintenance or another pool does not answer.
func (s *Scheduler) recordUnanswered(env Env, out *Out, w *worker, detail string) {
	if s.cordoned[w.info.Host] {
		return
	}
	if s.unansweredAt == 0 || env.Now.Sub(s.unansweredAt) >= answerLossTime {
		out.log(effect.AnswersLost, effect.Log{Worker: w.info.ID, Detail: detail})
	}
	s.unansweredAt = env.Now
}

// isLosingAnswers reports whether workers or links lose answers. It is false for an
// overloaded leader, which delays the handling of answers itself and would fall further
// behind with more calls.
func (s *Scheduler) isLosingAnswers(now model.Time) bool {
	return s.unansweredAt != 0 && now.Sub(s.unansweredAt) < answerLossTime && !s.isOverloaded(now)
}

// isOverloaded reports whether this process is short of processor time: its ticks come
// late, or the answers to its orders do.
func (s *Scheduler) isOverloaded(now model.Time) bool {
	return s.lateTickAt != 0 && now.Sub(s.lateTickAt) < overloadTime || s.orderTime > slowOrderTime
}

// recordOrderTime adds the time until the answer to an order was handled to the moving
// average.
func (s *Scheduler) recordOrderTime(now model.Time, d model.Duration) {
	s.orderTime += (d - s.orderTime) / orderTimeSamples
	s.orderTimeAt = now
}

// decayOrderTime reduces the average order time while no order is answered. Otherwise a
// leader that refuses jobs because orders take long would keep refusing them.
func (s *Scheduler) decayOrderTime(now model.Time) {
	if now.Sub(s.orderTimeAt) >= orderTimeKept {
		s.orderTime -= s.orderTime / orderTimeSamples
	}
}

// leaderDelay returns the time that the leader's load adds to a job. Along its longest
// chain of steps, each step waits for one order and one reported end, and each of them
// takes the current order time.
func (s *Scheduler) leaderDelay(j *jobs.Job) model.Duration {
	return 2 * s.orderTime * model.Duration(chainLength(j))
}

// resendAfter returns how long an order waits for an answer before it is sent again.
func (s *Scheduler) resendAfter(now model.Time) model.Duration {
	switch {
	case s.isOverloaded(now):
		return overloadResendDelay
	case s.isLosingAnswers(now):
		return answerLossResendDelay
	}
	return resendDelay
}
