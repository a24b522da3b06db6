package dispatch

import (
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// runID identifies one attempt of a request.
type runID struct {
	request model.RequestID
	attempt int
}

// run is one attempt that is counted as running on a target.
type run struct {
	id       runID
	team     *team
	target   *target
	lane     *lane
	deadline model.Time // the target stops the attempt by then
	startBy  model.Time // the gateway does not start the attempt after this time; zero before the dispatch

	// A detached run has no gateway that could report its end. It ends when a report
	// that the target sampled at conclusiveFrom or later does not list it.
	detached       bool
	conclusiveFrom model.Time
}

type endedRun struct {
	id model.RequestID
	at model.Time
}

// startRun counts an attempt as running on a target.
func (o *Owner) startRun(env Env, id runID, teamID model.TeamID, t *target, deadline model.Time) *run {
	r := &run{id: id, team: o.team(teamID), target: t, deadline: deadline}
	o.runs[id] = r
	r.team.running++
	r.lane = o.laneOfRun(id.request, t.service, teamID)
	r.lane.running++
	o.rankTeam(env, r.team)
	t.runs[id] = r
	o.dispatchSeq++
	t.lastUsed = o.dispatchSeq
	o.updateUsable(env, t)
	return r
}

// laneOfRun returns the lane that counts a running request. A request that is known
// only from the list of a gateway or target counts with the lowest precedence.
func (o *Owner) laneOfRun(id model.RequestID, s *service, team model.TeamID) *lane {
	precedence := 0
	if r := o.requests[id]; r != nil {
		precedence = r.rank.precedence
	}
	return o.lane(s, team, precedence)
}

// endRun stops counting an attempt as running.
func (o *Owner) endRun(env Env, r *run) {
	if o.runs[r.id] != r {
		return
	}
	delete(o.runs, r.id)
	delete(r.target.runs, r.id)
	o.timers.Remove(timerID{kind: timerRunDeadline, request: r.id.request, attempt: r.id.attempt})
	r.team.running--
	r.lane.running--
	o.rankTeam(env, r.team)
	o.ended[r.id.request] = env.Now
	o.endedFIFO = append(o.endedFIFO, endedRun{r.id.request, env.Now})
	o.updateUsable(env, r.target)
}

// absenceShowsEnd reports whether the run has ended if a report that was sampled at
// this time or later does not list it.
func (r *run) absenceShowsEnd(sampled model.Time) bool {
	if r.detached {
		return sampled >= r.conclusiveFrom
	}
	return r.startBy != 0 && sampled >= r.startBy.Add(FlightTime+ClockMargin)
}

// detachRun keeps an attempt counted after its gateway can no longer report its end.
// Bytes that were sent until lastSend can arrive at the target for FlightTime. So can
// bytes sent until startBy by a gateway that regains its lease before then.
func (o *Owner) detachRun(env Env, r *run, lastSend model.Time) {
	if o.runs[r.id] != r {
		return
	}
	r.detached = true
	r.conclusiveFrom = max(lastSend, r.startBy).Add(FlightTime + ClockMargin)
	o.timers.Set(timerID{kind: timerRunDeadline, request: r.id.request, attempt: r.id.attempt}, timer{at: r.deadline.Add(FlightTime + ClockMargin)}, struct{}{})
}

// expireRun handles a detached run past its deadline. A silent target has stopped
// the run by then; the reports of any other target show when the run has ended.
func (o *Owner) expireRun(env Env, id runID) {
	r := o.runs[id]
	if r == nil || !r.detached {
		return
	}
	if r.target.silent(env.Now) && env.Now >= r.conclusiveFrom {
		o.endRun(env, r)
		return
	}
	o.timers.Set(timerID{kind: timerRunDeadline, request: id.request, attempt: id.attempt}, timer{at: env.Now.Add(SilenceTimeout)}, struct{}{})
}

// AdoptForwarded starts to track the attempts that a gateway forwarded under an
// earlier leader.
func (o *Owner) AdoptForwarded(env Env, from model.HostID, list []message.Forwarded) {
	for _, f := range list {
		id := runID{f.Request, f.Attempt}
		t := o.targets[f.Target]
		if o.requests[f.Request] != nil || t == nil || t.reg.Incarnation != f.Inc {
			continue
		}
		if old := o.runs[id]; old != nil {
			o.endRun(env, old)
		}
		r := &request{
			ask:     message.Ask{Request: f.Request, Team: f.Team, Queue: f.Queue},
			gateway: from, attempt: f.Attempt, state: stateDispatched, adopted: true,
		}
		if seen := o.runs[runID{f.Request, 0}]; seen != nil && seen.target == t {
			o.endRun(env, seen) // already counted from the target's list
		}
		r.run = o.startRun(env, id, f.Team, t, env.Now.Add(f.Deadline))
		r.run.startBy = env.Now
		o.track(r)
		o.setEndReportTimer(r)
	}
}

// dropGateway handles the end of a gateway's lease or of its process. Its requests
// are dropped; the gateway asks for them again when it returns. Attempts that it may
// have forwarded stay counted until the reports of the targets show their end.
func (o *Owner) dropGateway(env Env, host model.HostID) {
	for _, id := range model.SortedKeys(o.byGateway[host]) {
		r := o.requests[id]
		if r.run != nil {
			if r.state == stateClaiming {
				o.endRun(env, r.run)
			} else {
				o.detachRun(env, r.run, env.Now)
			}
		}
		o.untrack(env, r)
	}
	delete(o.byGateway, host)
}

// trimEnded removes ended runs from memory after EndedRetention.
func (o *Owner) trimEnded(now model.Time) {
	n := 0
	for n < len(o.endedFIFO) && now >= o.endedFIFO[n].at.Add(EndedRetention) {
		if o.ended[o.endedFIFO[n].id] == o.endedFIFO[n].at {
			delete(o.ended, o.endedFIFO[n].id)
		}
		n++
	}
	o.endedFIFO = o.endedFIFO[n:]
}
