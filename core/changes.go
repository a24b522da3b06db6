package core

import (
	"fmt"
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// priorState is the part of the replicated state that a command is about, as it was
// before the command. The values behind its pointers are immutable.
type priorState struct {
	task  *fleet.Task
	host  fleet.Host
	rules *rules.Rules
	ended []string // waves that had ended
}

func (s *State) stateBefore(c *fleet.Command) priorState {
	p := priorState{rules: s.fleet.Rules, ended: s.fleet.Burn.Ended}
	if c.EndTask != nil {
		p.task = s.fleet.Tasks[c.EndTask.Task]
	}
	if c.CancelTask != nil {
		p.task = s.fleet.Tasks[c.CancelTask.Task]
	}
	if c.PlanHost != nil {
		p.host = s.fleet.Hosts[c.PlanHost.Host]
	}
	return p
}

// logChanges logs what a committed command changed. Only the leader does so, so that
// the fleet has one line for each change.
func (s *State) logChanges(before priorState, c *fleet.Command, result fleet.Result) {
	switch {
	case c.SubmitTask != nil && result.Problem != nil:
		s.emit(effect.Log{Code: effect.TaskRefused, Team: c.SubmitTask.Team, Detail: result.Problem.Error()})
	case c.EndTask != nil:
		s.logTaskEnd(before.task, s.fleet.Tasks[c.EndTask.Task], c.EndTask.Outcome)
	case c.CancelTask != nil:
		s.logTaskEnd(before.task, s.fleet.Tasks[c.CancelTask.Task], "")
	case c.PlanHost != nil:
		s.logHostChange(before.host, c.PlanHost)
	case c.ApplyRules != nil:
		s.logDataCentres(before.rules)
	}
	for _, wave := range s.fleet.Burn.Ended {
		if !slices.Contains(before.ended, wave) {
			s.emit(effect.Log{Code: effect.WaveEnded, Detail: wave})
		}
	}
}

// logTaskEnd logs the end of a run. A task that has failed is logged by the placer.
func (s *State) logTaskEnd(before, after *fleet.Task, outcome fleet.TaskOutcome) {
	if before == nil || after == nil || before == after {
		return // a repeated command, or the task is no longer kept
	}
	l := effect.Log{Host: before.Worker, Team: after.Team, Detail: string(after.ID)}
	if outcome == fleet.OutcomeLost {
		l.Code = effect.TaskLost
		s.emit(l)
	}
	switch after.Phase {
	case fleet.TaskFinished, fleet.TaskCancelled, fleet.TaskUnknown:
		l.Code, l.Detail = effect.TaskEnded, l.Detail+": "+string(after.Phase)
		s.emit(l)
	}
}

// logHostChange logs the steps of a planned change of a host that the planner does not
// log.
func (s *State) logHostChange(before fleet.Host, c *fleet.PlanHost) {
	after := s.fleet.Hosts[c.Host]
	if before.Phase == fleet.HostDraining && after.Phase == fleet.HostRebooting {
		s.emit(effect.Log{Code: effect.HostDrained, Host: c.Host})
	}
	if before.Pool != after.Pool {
		s.emit(effect.Log{Code: effect.HostMoved, Host: c.Host, Detail: fmt.Sprintf("from pool %q to pool %q", before.Pool, after.Pool)})
	}
	if before.Phase == fleet.HostRebooting && after.Phase == fleet.HostServing && before.ImageWant != "" {
		s.emit(effect.Log{Code: effect.WaveStep, Host: c.Host, Detail: after.Image})
	}
}

// logDataCentres logs the data centres that operators took out of service or returned
// to service.
func (s *State) logDataCentres(before *rules.Rules) {
	after := s.fleet.Rules
	centres := make(map[model.DataCentreID]bool)
	for _, r := range []*rules.Rules{before, after} {
		for id := range maps.Keys(r.DataCentres) {
			centres[id] = r.DataCentres[id].Out
		}
	}
	for _, id := range model.SortedKeys(centres) {
		wasOut, isOut := before.DataCentres[id].Out, after.DataCentres[id].Out
		switch {
		case isOut && !wasOut:
			s.emit(effect.Log{Code: effect.DataCentreOut, Detail: string(id)})
		case wasOut && !isOut:
			s.emit(effect.Log{Code: effect.DataCentreIn, Detail: string(id)})
		}
	}
}
