package core

import (
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/view"
)

// Inspection is a copy of the state of a process after one input. It is recorded in the
// event journal, so that a replay of the inputs can be compared with the process.
type Inspection struct {
	Fleet  *fleet.State // a clone, independent of the running state
	Status *view.Status
}

// Inspect returns a copy of the state. Its cost grows with the number of claims and
// tasks, so it is called after few inputs.
func (s *State) Inspect() Inspection {
	return Inspection{Fleet: s.fleet.Clone(), Status: s.status()}
}

// Policy returns the name of the policy that the process was started with.
func (s *State) Policy() dispatch.PolicyName { return s.cfg.Policy }

// HostPolicy returns the name of the host policy that the process was started with.
func (s *State) HostPolicy() maintenance.PolicyName { return s.cfg.HostPolicy }
