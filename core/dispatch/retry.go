package dispatch

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// The retry budget of a team, a token bucket. It holds at most retryBurst or the
// team's limit, whichever is larger; the limit is the number of running requests that
// the team can lose at one time.
const (
	retryTokensPerAnswer = 0.1  // added for each answered request
	retryTokensPerSecond = 1.0  // added each second
	retryBurst           = 10.0 // initial tokens of a team
)

// retry schedules the next attempt of a request, after an exponential backoff. A
// failed attempt that may have run costs a token of the team's retry budget, because
// only such attempts multiply the load of the targets.
func (o *Owner) retry(env Env, out *Output, r *request, d *message.Done) {
	r.failures++
	if d.Outcome == message.OutcomeUnknown {
		if r.attempt >= AttemptsMax {
			o.refuse(env, out, r, problem.New(problem.RetriesExhausted, "%d attempts failed", r.attempt))
			return
		}
		if !o.spendRetryToken(env, r.ask.Team) {
			o.logRateLimited(env, out, effect.Log{Code: effect.RetryBudgetSpent, Team: r.ask.Team})
			o.refuse(env, out, r, problem.New(problem.RetriesExhausted, "the retry budget of team %s is spent", r.ask.Team))
			return
		}
	}
	o.delay(env, r, backoff(r.failures))
}

// delay removes a request from the queue and queues it again after d.
func (o *Owner) delay(env Env, r *request, d model.Duration) {
	o.dequeue(env, r)
	r.state = stateDelayed
	o.timers.Set(timerID{kind: timerDelay, request: r.ask.Request}, timer{at: env.Now.Add(d)}, struct{}{})
	o.timers.Set(timerID{kind: timerDeadline, request: r.ask.Request}, timer{at: r.deadline}, struct{}{})
}

func backoff(failures int) model.Duration {
	shift := min(max(failures-1, 0), 10)
	return min(RetryDelayMin<<shift, RetryDelayMax)
}

func (o *Owner) spendRetryToken(env Env, id model.TeamID) bool {
	o.addRetryTokens(env, id, 0)
	t := o.team(id)
	if t.retryTokens < 1 {
		return false
	}
	t.retryTokens--
	return true
}

// addRetryTokens adds tokens for the time since the last call and for answered
// requests.
func (o *Owner) addRetryTokens(env Env, id model.TeamID, answered int) {
	t := o.team(id)
	t.retryTokens += retryTokensPerAnswer * float64(answered)
	if t.retryAt != 0 {
		t.retryTokens += retryTokensPerSecond * env.Now.Sub(t.retryAt).Seconds()
	}
	t.retryAt = env.Now
	t.retryTokens = min(t.retryTokens, max(retryBurst, float64(o.rules.Teams[id].Limit)))
}

// updatePause pauses a target whose attempt failed or that sent a Retry-After. The
// pause grows with each consecutive failure; the first answer resets the count of
// failures.
func (o *Owner) updatePause(env Env, t *target, d *message.Done) {
	pause := d.RetryAfter
	if d.Outcome == message.OutcomeAnswered {
		t.failures = 0
	} else {
		t.failures++
		pause = max(pause, backoff(t.failures))
	}
	if pause > 0 {
		t.pausedUntil = max(t.pausedUntil, env.Now.Add(pause))
		o.timers.Set(timerID{kind: timerPause, target: t.reg.ID}, timer{at: t.pausedUntil}, struct{}{})
	}
	o.updateUsable(env, t)
}
