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

// priorState is the part of the replicated state that a command is about, as it
// was before the command. The values behind pointers are never changed.
type priorState struct {
	task  *fleet.Task
	host  fleet.Host
	rules *rules.Rules
	ended []string // waves
}

func (s *State) stateBefore(c *fleet.Command) priorState {
	e := priorState{rules: s.fleet.Rules, ended: s.fleet.Burn.Ended}
	if c.EndTask != nil {
		e.task = s.fleet.Tasks[c.EndTask.Task]
	}
	if c.CancelTask != nil {
		e.task = s.fleet.Tasks[c.CancelTask.Task]
	}
	if c.PlanHost != nil {
		e.host = s.fleet.Hosts[c.PlanHost.Host]
	}
	return e
}

// logChanges logs what a committed command changed. The leader does so alone,
// so that the fleet has one line for each change.
func (s *State) logChanges(was priorState, c *fleet.Command, result fleet.Result) {
	switch {
	case c.SubmitTask != nil && result.Problem != nil:
		s.emit(effect.Log{Code: effect.TaskRefused, Team: c.SubmitTask.Team, Detail: result.Problem.Error()})
	case c.EndTask != nil:
		s.logTaskEnd(was.task, s.fleet.Tasks[c.EndTask.Task], c.EndTask.Outcome)
	case c.CancelTask != nil:
		s.logTaskEnd(was.task, s.fleet.Tasks[c.CancelTask.Task], "")
	case c.PlanHost != nil:
		s.logHostChange(was.host, c.PlanHost)
	case c.ApplyRules != nil:
		s.logDataCentres(was.rules)
	}
	for _, wave := range s.fleet.Burn.Ended {
		if !slices.Contains(was.ended, wave) {
			s.emit(effect.Log{Code: effect.WaveEnded, Detail: wave})
		}
	}
}

// logTaskEnd logs the end of a run. A failed task is logged where it is placed.
func (s *State) logTaskEnd(was, is *fleet.Task, outcome fleet.TaskOutcome) {
	if was == nil || is == nil || was == is {
		return // a resend, or the task's retention is over
	}
	l := effect.Log{Host: was.Worker, Team: is.Team, Detail: string(is.ID)}
	if outcome == fleet.OutcomeLost {
		l.Code = effect.TaskLost
		s.emit(l)
	}
	switch is.Phase {
	case fleet.TaskFinished, fleet.TaskCancelled, fleet.TaskUnknown:
		l.Code, l.Detail = effect.TaskEnded, l.Detail+": "+string(is.Phase)
		s.emit(l)
	}
}

// logHostChange logs the steps of a planned change that the planner does not log.
func (s *State) logHostChange(was fleet.Host, c *fleet.PlanHost) {
	is := s.fleet.Hosts[c.Host]
	if was.Phase == fleet.HostDraining && is.Phase == fleet.HostRebooting {
		s.emit(effect.Log{Code: effect.HostDrained, Host: c.Host})
	}
	if was.Pool != is.Pool {
		s.emit(effect.Log{Code: effect.HostMoved, Host: c.Host, Detail: fmt.Sprintf("from pool %q to pool %q", was.Pool, is.Pool)})
	}
	if was.Phase == fleet.HostRebooting && is.Phase == fleet.HostServing && was.ImageWant != "" {
		s.emit(effect.Log{Code: effect.WaveStep, Host: c.Host, Detail: is.Image})
	}
}

// logDataCentres logs the data centres that operators took out or brought back.
func (s *State) logDataCentres(was *rules.Rules) {
	is := s.fleet.Rules
	centres := make(map[model.DataCentreID]bool)
	for _, r := range []*rules.Rules{was, is} {
		for id := range maps.Keys(r.DataCentres) {
			centres[id] = r.DataCentres[id].Out
		}
	}
	for _, id := range model.SortedKeys(centres) {
		before, now := was.DataCentres[id].Out, is.DataCentres[id].Out
		switch {
		case now && !before:
			s.emit(effect.Log{Code: effect.DataCentreOut, Detail: string(id)})
		case before && !now:
			s.emit(effect.Log{Code: effect.DataCentreIn, Detail: string(id)})
		}
	}
}
