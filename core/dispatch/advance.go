package dispatch

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

type timerKind uint8

const (
	timerDeadline      timerKind = iota // a waiting request's patience ends
	timerDelay                          // a delayed request may be tried again
	timerAging                          // a waiting request gets the highest precedence
	timerRunDeadline                    // a released run passes its deadline
	timerSilent                         // a target has not announced itself
	timerPause                          // a target's pause ends
	timerReportLost                     // a dispatched request was never reported ended
	timerClaimSweep                     // held claims are looked at
	timerRemoval                        // a silent target is removed
	timerInheritedRuns                  // nothing of an earlier owner can run on a target any more
)

type timerID struct {
	kind    timerKind
	request model.RequestID
	attempt int
	target  model.TargetID
}

type timer struct{ at model.Time }

func (a timer) before(b timer) bool { return a.at < b.at }

// Advance does what is due at time env.Now.
func (o *Owner) Advance(env Env, out *Out) {
	o.passFence(env, out)
	due := false
	for _, host := range model.SortedKeys(o.byGateway) {
		if !env.Granter.Serving(env.Now, host) {
			o.dropGateway(env, host)
			due = true
		}
	}
	for {
		id, t, _, ok := o.timers.Peek()
		if !ok || t.at > env.Now {
			break
		}
		o.timers.Pop()
		o.expire(env, out, id)
		due = true
	}
	o.trimEnded(env.Now)
	o.trimQueues(env, out)
	if due {
		o.dispatchAll(env, out)
	}
}

// passFence starts dispatching once no earlier lease can run unseen.
func (o *Owner) passFence(env Env, out *Out) {
	if o.fenced || !env.Granter.Fenced(env.Now, env.Members) {
		return
	}
	o.fenced = true
	o.fencedAt = env.Now
	o.timers.Set(timerID{kind: timerClaimSweep}, timer{at: env.Now.Add(ClaimSweep)}, struct{}{})
	for _, id := range model.SortedKeys(o.targets) {
		o.setInheritedRunsTimer(o.targets[id])
	}
	out.log(effect.Log{Code: effect.DispatchReady, Term: o.term})
	o.dispatchAll(env, out)
}

// armUnseen sets the time at which no run of an earlier owner can be left on a
// target that has not shown what it runs: no byte was sent after the fence, and
// targets stop their work at its deadline.
func (o *Owner) setInheritedRunsTimer(t *target) {
	if t.verified || !o.fenced {
		return
	}
	longest := t.service.maxRun + t.service.maxRun/clockRate
	o.timers.Set(timerID{kind: timerInheritedRuns, target: t.reg.ID},
		timer{at: o.fencedAt.Add(FlightTime + ClockMargin + longest)}, struct{}{})
}

func (o *Owner) expire(env Env, out *Out, id timerID) {
	switch id.kind {
	case timerDeadline:
		if r := o.requests[id.request]; r != nil {
			o.refuse(env, out, r, o.patienceProblem(r))
		}
	case timerDelay:
		if r := o.requests[id.request]; r != nil && r.state == stateDelayed {
			o.enqueue(env, r)
		}
	case timerAging:
		o.promote(env, id.request)
	case timerReportLost:
		if r := o.requests[id.request]; r != nil && r.state == stateDispatched {
			o.detachRun(env, r.run, env.Now)
			o.forget(env, r)
		}
	case timerClaimSweep:
		o.sweepClaims(env, out)
	case timerRunDeadline:
		o.expireRun(env, runID{id.request, id.attempt})
	case timerSilent:
		if t := o.targets[id.target]; t != nil {
			out.log(effect.Log{Code: effect.TargetSilent, Target: id.target})
			o.updateUsable(env, t)
		}
	case timerPause:
		if t := o.targets[id.target]; t != nil {
			o.updateUsable(env, t)
		}
	case timerInheritedRuns:
		if t := o.targets[id.target]; t != nil && !t.verified {
			o.markVerified(env, t)
		}
	case timerRemoval:
		if t := o.targets[id.target]; t != nil {
			out.Proposals = append(out.Proposals, fleet.Command{RemoveTarget: &fleet.RemoveTarget{
				ID: t.reg.ID, Incarnation: t.reg.Incarnation,
			}})
			o.setRemovalTimer(env, t)
		}
	}
}

func (o *Owner) patienceProblem(r *request) *problem.Problem {
	if r.service.targetCount == 0 {
		return problem.New(problem.NoTarget, "no target offers service %s", r.service.id)
	}
	return problem.New(problem.PatienceExceeded, "no target of service %s was free in time", r.service.id)
}

// GatewayRenewed handles a renewal of a gateway's lease.
func (o *Owner) GatewayRenewed(env Env, out *Out, host model.HostID, restarted bool) {
	if restarted {
		o.dropGateway(env, host)
		o.dispatchAll(env, out)
	}
}
