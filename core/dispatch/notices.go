package dispatch

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// noteInterval is the shortest time between two lines about the same full queue
// or spent budget. Under overload each refused request would write one.
const logInterval = 10 * model.Second

// noteSeldom logs an event unless the same one was logged a short time ago.
func (o *Owner) logRateLimited(env Env, out *Out, e effect.Log) {
	if at, ok := o.lastLogged[e]; ok && env.Now < at.Add(logInterval) {
		return
	}
	if o.lastLogged == nil {
		o.lastLogged = make(map[effect.Log]model.Time)
	}
	o.lastLogged[e] = env.Now
	out.log(e)
}

// noteImpatience logs that a queue does not start its requests in time.
func (o *Owner) logQueueFull(env Env, out *Out, r *request, p *problem.Problem) {
	if p.Kind == problem.PatienceExceeded {
		o.logRateLimited(env, out, effect.Log{Code: effect.QueueFull, Queue: r.ask.Queue})
	}
}

// noteReturn logs that a target announces itself after silence.
func (o *Owner) logTargetReturn(env Env, out *Out, t *target) {
	if t.lastReport != 0 && t.silent(env.Now) {
		out.log(effect.Log{Code: effect.TargetReturned, Target: t.reg.ID})
	}
}
