package consensus

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

func (s *simulation) chance(p float64) bool {
	return s.rng.Float64() < p
}

func (s *simulation) upTo(d model.Duration) model.Duration {
	return model.Duration(s.rng.Int64N(int64(d)))
}

func (s *simulation) anyHost() *simHost {
	return s.hosts[s.rng.IntN(len(s.hosts))]
}

// disturb injects faults and proposes commands.
func (s *simulation) disturb() {
	if s.chance(s.faults.ask) {
		s.propose()
	}
	if s.chance(s.faults.cut) {
		s.cutLinks()
	}
	if s.chance(s.faults.crash) {
		s.crash(s.anyHost())
	}
	if s.chance(s.faults.loseDisk) {
		s.loseDisk(s.anyHost())
	}
	if s.chance(s.faults.freeze) {
		s.anyHost().frozen = s.now.Add(s.upTo(4 * model.Second))
	}
	if s.chance(s.faults.aim) {
		s.disturbLeader()
	}
	if s.chance(0.002) {
		s.transfer()
	}
}

// propose gives commands to every node that believes it leads.
func (s *simulation) propose() {
	for _, h := range s.hosts {
		if !h.up || s.now < h.frozen {
			continue
		}
		cmds := make([]int, 1+s.rng.IntN(6))
		for i := range cmds {
			s.command++
			cmds[i] = s.command
		}
		if _, ok := h.node.Propose(cmds...); ok {
			s.drain(h)
		}
	}
}

func (s *simulation) transfer() {
	for _, h := range s.hosts {
		if h.up && s.now >= h.frozen && h.node.TransferLeadership(h.clock(s.now)) {
			s.drain(h)
		}
	}
}

// disturbLeader crashes, cuts off or freezes a node that leads or campaigns,
// for times around the election timeout.
func (s *simulation) disturbLeader() {
	for _, h := range s.hosts {
		if !h.up || (h.node.role != Leader && h.node.role != Candidate) {
			continue
		}
		switch s.rng.IntN(3) {
		case 0:
			s.crash(h)
			h.upAt = s.now.Add(s.upTo(800 * model.Millisecond))
		case 1:
			s.cutHost(h, s.now.Add(s.upTo(3*model.Second)))
		case 2:
			h.frozen = s.now.Add(s.upTo(2 * model.Second))
		}
	}
}

// cutLinks cuts one host, or one direction between two hosts.
func (s *simulation) cutLinks() {
	end := s.now.Add(s.upTo(5 * model.Second))
	a := s.anyHost()
	if s.chance(0.5) {
		s.cut[[2]model.HostID{a.name, s.anyHost().name}] = end
		return
	}
	s.cutHost(a, end)
}

func (s *simulation) cutHost(a *simHost, end model.Time) {
	outward, inward := s.chance(0.7), s.chance(0.7)
	for _, b := range s.hosts {
		if outward {
			s.cut[[2]model.HostID{a.name, b.name}] = end
		}
		if inward {
			s.cut[[2]model.HostID{b.name, a.name}] = end
		}
	}
}

// crash stops a host. Of the writes that are not synced, a part survives.
func (s *simulation) crash(h *simHost) {
	if !h.up {
		return
	}
	h.up = false
	h.upAt = s.now.Add(s.upTo(model.Duration(1+s.rng.IntN(30)) * 100 * model.Millisecond))
	if !h.durable {
		s.newLife(h)
		return
	}
	if len(h.disk.queue) > 0 {
		h.disk.sync(s.rng.IntN(len(h.disk.queue) + 1))
	}
	h.disk.queue = nil
}

// loseDisk crashes a host and replaces its data folder, unless a majority of
// some voter set in use would be lost with it: no protocol survives that.
func (s *simulation) loseDisk(h *simHost) {
	if !h.durable || !s.canLose(h) {
		return
	}
	s.crash(h)
	s.newLife(h)
}

func (s *simulation) canLose(lost *simHost) bool {
	for _, h := range s.hosts {
		for _, m := range h.node.memberships {
			kept := func(id NodeID) bool { return id.Host != lost.name && s.isAlive(id) }
			if len(m.voters) > 0 && !m.hasQuorum(kept) {
				return false
			}
		}
	}
	return true
}

// isAlive reports whether the disk of an identity still exists.
func (s *simulation) isAlive(id NodeID) bool {
	return s.byName[id.Host].id == id
}

// heal ends all faults.
func (s *simulation) heal() {
	s.faults = faults{}
	clear(s.cut)
	for _, h := range s.hosts {
		h.frozen = s.now
		h.upAt = s.now
	}
}

// settled reports whether a leader holds its lease, the voters are the
// present identities of the durable hosts, and every host has applied the
// leader's log.
func (s *simulation) settled() bool {
	leader := s.leaseHolder()
	if leader == nil {
		return false
	}
	last := leader.node.log.lastIndex()
	voters := leader.node.membership().voters
	for _, h := range s.hosts {
		if !h.up || h.state.Index != last || h.state != leader.state {
			return false
		}
		if h.durable != slices.Contains(voters, h.id) {
			return false
		}
	}
	return len(voters) == len(s.hosts)-2
}

func (s *simulation) leaseHolder() *simHost {
	for _, h := range s.hosts {
		if h.up && h.node.HoldsLeaderLease(h.clock(s.now)) {
			return h
		}
	}
	return nil
}
