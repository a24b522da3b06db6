package dispatch

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// noteInterval is the shortest time between two lines about the same full queue
// or spent budget. Under overload each refused request would write one.
const noteInterval = 10 * model.Second

// noteSeldom logs an event unless the same one was logged a short time ago.
func (o *Owner) noteSeldom(env Env, out *Out, e effect.Log) {
	if at, ok := o.noted[e]; ok && env.Now < at.Add(noteInterval) {
		return
	}
	if o.noted == nil {
		o.noted = make(map[effect.Log]model.Time)
	}
	o.noted[e] = env.Now
	out.log(e)
}

// noteImpatience logs that a queue does not start its requests in time.
func (o *Owner) noteImpatience(env Env, out *Out, r *request, p *problem.Problem) {
	if p.Kind == problem.PatienceExceeded {
		o.noteSeldom(env, out, effect.Log{Code: effect.QueueFull, Queue: r.ask.Queue})
	}
}

// noteReturn logs that a target announces itself after silence.
func (o *Owner) noteReturn(env Env, out *Out, t *target) {
	if t.lastHeard != 0 && t.silent(env.Now) {
		out.log(effect.Log{Code: effect.TargetReturned, Target: t.reg.ID})
	}
}
