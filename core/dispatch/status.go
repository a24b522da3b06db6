package dispatch

import (
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/view"
)

// Status adds the status of the targets, teams and queues to st.
func (o *Owner) Status(env Env, st *view.Status) {
	for _, id := range model.SortedKeys(o.targets) {
		t := o.targets[id]
		st.Targets = append(st.Targets, view.TargetStatus{
			Target: id, Service: t.reg.Service, DataCentre: t.reg.DataCentre,
			State: t.describe(env), Slots: t.reg.Slots, Running: len(t.runs),
		})
	}
	for _, id := range model.SortedKeys(o.rules.Teams) {
		team := o.rules.Teams[id]
		st.Teams = append(st.Teams, view.TeamStatus{
			Team: id, Share: team.Share, Limit: team.Limit,
			Requests: o.team(id).running, Tasks: env.TasksRunning(id),
		})
	}
	waiting := make(map[string]int)
	for _, r := range o.requests {
		if r.state == stateQueued || r.state == stateDelayed {
			waiting[string(r.ask.Queue)]++
		}
	}
	for _, id := range model.SortedKeys(o.rules.Queues) {
		q := view.QueueStatus{Queue: id, Waiting: waiting[string(id)]}
		if s := o.runTimes[id]; s != nil {
			q.RunTime = s.mean
		}
		st.Queues = append(st.Queues, q)
	}
}

func (t *target) describe(env Env) string {
	switch {
	case t.silent(env.Now):
		return "silent"
	case t.state == message.TargetLeaving:
		return "leaving"
	case env.Now < t.pausedUntil:
		return "paused"
	default:
		return "ready"
	}
}
