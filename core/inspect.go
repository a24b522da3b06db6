package core

import (
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/view"
)

// Inspection is a copy of what a process knows at one input. Journals compare
// it between a process and the replay of its inputs.
type Inspection struct {
	Fleet  *fleet.State // apart from the state that goes on
	Status *view.Status
}

// Inspect returns a copy of the state. It takes time in proportion to the
// claims and tasks, so it is called at few inputs.
func (s *State) Inspect() Inspection {
	return Inspection{Fleet: s.fleet.Clone(), Status: s.status()}
}

// Policy returns the name of the policy that the process was started with.
func (s *State) Policy() dispatch.PolicyName { return s.cfg.Policy }

// HostPolicy returns the name of the policy of hosts.
func (s *State) HostPolicy() maintenance.PolicyName { return s.cfg.HostPolicy }
