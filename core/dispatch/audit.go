package dispatch

import (
	"fmt"

	"primrosedale.example/primrosedale/core/model"
)

// Audit checks the owner's counters against the runs, queues and targets, and
// returns an error for the first difference. Tests call it after each event. Its cost
// is linear in the number of runs and targets.
func (o *Owner) Audit() error {
	byTeam := make(map[*team]int)
	for id, r := range o.runs {
		if r.id != id || r.target.runs[id] != r {
			return fmt.Errorf("run %v is missing from the runs of target %s", id, r.target.reg.ID)
		}
		byTeam[r.team]++
	}
	for _, id := range model.SortedKeys(o.teams) {
		if t := o.teams[id]; t.running != byTeam[t] {
			return fmt.Errorf("team %s has the counter %d for %d running requests", id, t.running, byTeam[t])
		}
	}
	if err := o.auditLanes(); err != nil {
		return err
	}
	return o.auditTargets()
}

// auditLanes checks the counters of the lanes against the queues and runs.
func (o *Owner) auditLanes() error {
	running := make(map[*lane]int)
	for _, r := range o.runs {
		running[r.lane]++
	}
	for _, s := range o.servicesByID {
		waiting := make(map[model.TeamID]int)
		for id, l := range s.lanes {
			waiting[id.team] += l.waiting.Len()
			if l.running != running[l] {
				return fmt.Errorf("lane %v of service %s has the counter %d for %d running requests", id, s.id, l.running, running[l])
			}
		}
		for _, team := range model.SortedKeys(s.waiting) {
			if q := s.waiting[team]; q.Len() != waiting[team] {
				return fmt.Errorf("team %s waits for %s with %d requests, %d are in its lanes", team, s.id, q.Len(), waiting[team])
			}
		}
	}
	return nil
}

func (o *Owner) auditTargets() error {
	runs, unverified := 0, 0
	for _, id := range model.SortedKeys(o.targets) {
		t := o.targets[id]
		runs += len(t.runs)
		if !t.verified {
			unverified += t.reg.Slots
		}
	}
	if runs != len(o.runs) {
		return fmt.Errorf("the targets list %d runs, the owner has %d", runs, len(o.runs))
	}
	if unverified != o.unverifiedSlots {
		return fmt.Errorf("the counter of unverified slots is %d, unverified targets have %d", o.unverifiedSlots, unverified)
	}
	return nil
}
