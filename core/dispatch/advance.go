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
	timerDelay                          // the delay before the next attempt ends
	timerPromotion                      // a waiting request gets the highest precedence
	timerRunDeadline                    // a detached run passes its deadline
	timerSilent                         // a target has not reported for SilenceTimeout
	timerPause                          // a target's pause ends
	timerEndReport                      // the end of a dispatched request was not reported in time
	timerClaimSweep                     // the next sweep of the held claims
	timerRemoval                        // a silent target is removed
	timerInheritedRuns                  // no run of an earlier owner can be left on an unverified target
)

type timerID struct {
	kind    timerKind
	request model.RequestID
	attempt int
	target  model.TargetID
}

type timer struct{ at model.Time }

func (a timer) before(b timer) bool { return a.at < b.at }

// Advance handles everything that is due at env.Now.
func (o *Owner) Advance(env Env, out *Output) {
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

// passFence starts dispatching once no gateway can hold an earlier serving lease
// without having reported to this leader.
func (o *Owner) passFence(env Env, out *Output) {
	if o.fenced || !env.Granter.Fenced(env.Now, env.Members) {
		return
	}
	o.fenced = true
	o.fencedAt = env.Now
	o.timers.Set(timerID{kind: timerClaimSweep}, timer{at: env.Now.Add(ClaimSweepInterval)}, struct{}{})
	for _, id := range model.SortedKeys(o.targets) {
		o.setInheritedRunsTimer(o.targets[id])
	}
	out.log(effect.Log{Code: effect.DispatchReady, Term: o.term})
	o.dispatchAll(env, out)
}

// setInheritedRunsTimer sets the time from which no run of an earlier owner can be
// left on an unverified target: no bytes were sent under an earlier lease after the
// fence, and targets stop a request at its deadline.
func (o *Owner) setInheritedRunsTimer(t *target) {
	if t.verified || !o.fenced {
		return
	}
	longest := t.service.maxRun + t.service.maxRun/clockRate
	o.timers.Set(timerID{kind: timerInheritedRuns, target: t.reg.ID},
		timer{at: o.fencedAt.Add(FlightTime + ClockMargin + longest)}, struct{}{})
}

func (o *Owner) expire(env Env, out *Output, id timerID) {
	switch id.kind {
	case timerDeadline:
		if r := o.requests[id.request]; r != nil {
			o.refuse(env, out, r, o.patienceProblem(r))
		}
	case timerDelay:
		if r := o.requests[id.request]; r != nil && r.state == stateDelayed {
			o.enqueue(env, r)
		}
	case timerPromotion:
		o.promote(env, id.request)
	case timerEndReport:
		if r := o.requests[id.request]; r != nil && r.state == stateDispatched {
			o.detachRun(env, r.run, env.Now)
			o.untrack(env, r)
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

// patienceProblem returns the problem for a request whose patience has ended.
func (o *Owner) patienceProblem(r *request) *problem.Problem {
	if r.service.targetCount == 0 {
		return problem.New(problem.NoTarget, "no target offers service %s", r.service.id)
	}
	return problem.New(problem.PatienceExceeded, "no target of service %s was free in time", r.service.id)
}

// GatewayRenewed handles the renewal of a gateway's lease. restarted says that the
// gateway's process is a new one.
func (o *Owner) GatewayRenewed(env Env, out *Output, host model.HostID, restarted bool) {
	if restarted {
		o.dropGateway(env, host)
		o.dispatchAll(env, out)
	}
}
