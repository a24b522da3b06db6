package dispatch

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// logInterval is the minimum time between two log events about the same full queue
// or spent retry budget. Without it, each request refused under overload would log
// one.
const logInterval = 10 * model.Second

// logRateLimited logs an event unless an equal one was logged within logInterval.
func (o *Owner) logRateLimited(env Env, out *Output, e effect.Log) {
	if at, ok := o.lastLogged[e]; ok && env.Now < at.Add(logInterval) {
		return
	}
	if o.lastLogged == nil {
		o.lastLogged = make(map[effect.Log]model.Time)
	}
	o.lastLogged[e] = env.Now
	out.log(e)
}

// logQueueFull logs, rate-limited, that requests of a queue do not start within their
// patience.
func (o *Owner) logQueueFull(env Env, out *Output, r *request, p *problem.Problem) {
	if p.Kind == problem.PatienceExceeded {
		o.logRateLimited(env, out, effect.Log{Code: effect.QueueFull, Queue: r.ask.Queue})
	}
}

// logTargetReturn logs that a silent target reports again.
func (o *Owner) logTargetReturn(env Env, out *Output, t *target) {
	if t.lastReport != 0 && t.silent(env.Now) {
		out.log(effect.Log{Code: effect.TargetReturned, Target: t.reg.ID})
	}
}
