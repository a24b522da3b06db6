package fleet

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// reportHost records what the platform reports about a host. Only PlanHost changes
// the phase of a planned change, so that a host never returns to service without
// a decision of the leader.
func (s *State) reportHost(c *ReportHost) Result {
	if !rules.ValidIdentifier(string(c.Host)) {
		return refused(problem.AnnouncementInvalid,
			"host %q is not printable ASCII without spaces", c.Host)
	}
	host, known := s.Hosts[c.Host]
	if !known {
		host.Pool = s.initialPool(c.Host)
	}
	host.DataCentre = c.DataCentre
	host.Rack = c.Rack
	host.Capacity = c.Capacity
	host.Image = c.Image
	host.Inc = c.Inc
	host.Up = c.Up
	s.setHost(c.Host, host)
	return Result{}
}

// initialPool returns the pool of a new host: the one the rules place it in,
// otherwise the first spare pool by name, otherwise none.
func (s *State) initialPool(host model.HostID) model.PoolID {
	if placement, ok := s.Rules.Hosts[host]; ok {
		return placement.Pool
	}
	for _, pool := range slices.Sorted(maps.Keys(s.Rules.Pools)) {
		if s.Rules.Pools[pool].Spare {
			return pool
		}
	}
	return ""
}

// planHost carries out one step of a planned change if it fits the current state.
func (s *State) planHost(c *PlanHost) Result {
	host, ok := s.Hosts[c.Host]
	if !ok {
		return refused(problem.UnknownHost, "there is no host %q", c.Host)
	}
	switch c.Action {
	case HostDrain:
		return s.drainHost(c, host)
	case HostReboot:
		return s.rebootHost(c, host)
	case HostRetarget:
		return s.retargetHost(c, host)
	case HostReturn:
		return s.returnHost(c, host)
	}
	return refused(problem.BadRequest, "there is no host action %q", c.Action)
}

func (s *State) drainHost(c *PlanHost, host Host) Result {
	moveTo := c.Pool
	if moveTo == host.Pool {
		moveTo = ""
	}
	if host.Phase != HostServing {
		if host.MoveTo == moveTo && host.ImageWant == c.Image {
			return Result{} // a resend
		}
		return refused(problem.PlanRejected, "host %s is already %s for another plan", c.Host, host.Phase)
	}
	if !host.Up {
		return refused(problem.PlanRejected, "host %s is not up", c.Host)
	}
	if _, ok := s.Rules.Pools[moveTo]; !ok && moveTo != "" {
		return refused(problem.PlanRejected, "there is no pool %q to move to", moveTo)
	}
	if refusal := s.checkBudget(host.Pool, moveTo != ""); refusal != nil {
		return Result{Problem: refusal}
	}
	host.Phase = HostDraining
	host.MoveTo = moveTo
	host.ImageWant = c.Image
	host.DrainSince = s.Now
	s.setHost(c.Host, host)
	return Result{}
}

// checkBudget returns the reason why one more host of the pool may not become
// unavailable, or nil if it may. Hosts without a pool have no budget.
func (s *State) checkBudget(pool model.PoolID, leaves bool) *problem.Problem {
	budget, ok := s.Rules.Pools[pool]
	if !ok {
		return nil
	}
	count := s.index.pools[pool]
	unavailable := count.unavailable + 1
	if unavailable > budget.UnavailableMax {
		return problem.New(problem.PlanRejected, "pool %s would have %d hosts unavailable, allowed %d",
			pool, unavailable, budget.UnavailableMax)
	}
	serving := count.hosts - unavailable
	if leaves && serving < budget.HostsMin {
		return problem.New(problem.PlanRejected, "pool %s would have %d hosts serving, allowed at least %d",
			pool, serving, budget.HostsMin)
	}
	return nil
}

func (s *State) rebootHost(c *PlanHost, host Host) Result {
	switch host.Phase {
	case HostRebooting:
		return Result{} // a resend
	case HostServing:
		return refused(problem.PlanRejected, "host %s is not draining", c.Host)
	}
	if n := len(s.index.placedOn[c.Host]); n > 0 {
		return refused(problem.PlanRejected, "host %s still has %d tasks", c.Host, n)
	}
	host.Phase = HostRebooting
	host.RebootSince = s.Now
	host.RebootInc = host.Inc
	s.setHost(c.Host, host)
	return Result{}
}

// retargetHost changes the image that a rebooting host must come back with.
// Otherwise the host would wait for the image of a wave that was withdrawn.
func (s *State) retargetHost(c *PlanHost, host Host) Result {
	if host.Phase != HostRebooting {
		return refused(problem.PlanRejected, "host %s is not rebooting", c.Host)
	}
	if host.ImageWant != c.Image {
		host.ImageWant = c.Image
		host.RebootSince = s.Now
		s.setHost(c.Host, host)
	}
	return Result{}
}

// returnHost puts a host back in service. If the host was not rebooted, its drain
// is cancelled and it stays in its pool.
func (s *State) returnHost(c *PlanHost, host Host) Result {
	switch host.Phase {
	case HostServing:
		return s.repeatedReturn(c, host)
	case HostRebooting:
		if !host.Up {
			return refused(problem.PlanRejected, "host %s is not up", c.Host)
		}
		if !host.Rebooted() {
			return refused(problem.PlanRejected, "host %s has not rebooted", c.Host)
		}
		if host.ImageWant != "" && host.Image != host.ImageWant {
			return refused(problem.PlanRejected, "host %s has image %q, wanted %q",
				c.Host, host.Image, host.ImageWant)
		}
		if host.MoveTo != "" {
			host.Pool = host.MoveTo
			host.MovedAt = s.Now
		}
	}
	host.Phase = HostServing
	host.MoveTo = ""
	host.ImageWant = ""
	host.DrainSince = 0
	host.RebootSince = 0
	host.RebootInc = ""
	s.setHost(c.Host, host)
	return Result{}
}

// repeatedReturn handles the return of a host that is already in service.
func (s *State) repeatedReturn(c *PlanHost, host Host) Result {
	if c.Pool != "" && c.Pool != host.Pool {
		return refused(problem.PlanRejected, "host %s serves in pool %q", c.Host, host.Pool)
	}
	return Result{}
}

func (s *State) setHost(id model.HostID, host Host) {
	earlier, ok := s.Hosts[id]
	if ok {
		s.index.removeHost(earlier)
	}
	s.Hosts[id] = host
	s.index.addHost(host)
	s.addHostEvents(earlier, host)
}
