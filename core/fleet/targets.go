package fleet

import (
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// addMember records an entry host.
func (s *State) addMember(c *AddMember) Result {
	if !rules.ValidIdentifier(string(c.Host)) {
		return refused(problem.BadRequest, "host %q is not printable ASCII without spaces", c.Host)
	}
	s.Members[c.Host] = Member{DataCentre: c.DataCentre}
	return Result{}
}

// registerTarget records a target. A new incarnation replaces the earlier one,
// which no longer runs anything.
func (s *State) registerTarget(c *RegisterTarget) Result {
	if !rules.ValidIdentifier(string(c.Target.ID)) {
		return refused(problem.AnnouncementInvalid,
			"target %q is not printable ASCII without spaces", c.Target.ID)
	}
	s.Targets[c.Target.ID] = c.Target
	return Result{}
}

// removeTarget deletes a target unless another incarnation of it has been
// registered in the meantime.
func (s *State) removeTarget(c *RemoveTarget) Result {
	if target, ok := s.Targets[c.ID]; ok && target.Incarnation == c.Incarnation {
		delete(s.Targets, c.ID)
	}
	return Result{}
}
