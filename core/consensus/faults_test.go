package consensus

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

func (s *simulation) withProbability(p float64) bool {
	return s.rng.Float64() < p
}

func (s *simulation) randomDuration(d model.Duration) model.Duration {
	return model.Duration(s.rng.Int64N(int64(d)))
}

func (s *simulation) randomHost() *simHost {
	return s.hosts[s.rng.IntN(len(s.hosts))]
}

// injectFaults injects random faults and proposes commands.
func (s *simulation) injectFaults() {
	if s.withProbability(s.faults.propose) {
		s.propose()
	}
	if s.withProbability(s.faults.partition) {
		s.partitionLinks()
	}
	if s.withProbability(s.faults.crash) {
		s.crash(s.randomHost())
	}
	if s.withProbability(s.faults.loseDisk) {
		s.loseDisk(s.randomHost())
	}
	if s.faults.replace > 0 && s.withProbability(s.faults.replace) {
		s.replaceHost(s.randomHost())
	}
	if s.withProbability(s.faults.pause) {
		s.randomHost().pausedUntil = s.now.Add(s.randomDuration(4 * model.Second))
	}
	if s.withProbability(s.faults.disturbLeader) {
		s.disturbLeader()
	}
	if s.withProbability(0.002) {
		s.transfer()
	}
}

// propose proposes commands on every node that believes it is the leader.
func (s *simulation) propose() {
	for _, h := range s.hosts {
		if !h.running || s.now < h.pausedUntil {
			continue
		}
		cmds := make([]int, 1+s.rng.IntN(6))
		for i := range cmds {
			s.lastCommand++
			cmds[i] = s.lastCommand
		}
		if _, ok := h.node.Propose(cmds...); ok {
			s.processOutput(h)
		}
	}
}

func (s *simulation) transfer() {
	for _, h := range s.hosts {
		if h.running && s.now >= h.pausedUntil && h.node.TransferLeadership(h.clock(s.now)) {
			s.processOutput(h)
		}
	}
}

// disturbLeader crashes, isolates or pauses the nodes that lead or campaign, for
// times close to the election timeout.
func (s *simulation) disturbLeader() {
	for _, h := range s.hosts {
		if !h.running || (h.node.role != Leader && h.node.role != Candidate) {
			continue
		}
		switch s.rng.IntN(3) {
		case 0:
			s.crash(h)
			h.restartAt = s.now.Add(s.randomDuration(800 * model.Millisecond))
		case 1:
			s.partitionHost(h, s.now.Add(s.randomDuration(3*model.Second)))
		case 2:
			h.pausedUntil = s.now.Add(s.randomDuration(2 * model.Second))
		}
	}
}

// partitionLinks isolates one host, or blocks one direction between two hosts.
func (s *simulation) partitionLinks() {
	end := s.now.Add(s.randomDuration(5 * model.Second))
	a := s.randomHost()
	if s.withProbability(0.5) {
		s.partitionedUntil[[2]model.HostID{a.name, s.randomHost().name}] = end
		return
	}
	s.partitionHost(a, end)
}

func (s *simulation) partitionHost(a *simHost, end model.Time) {
	outward, inward := s.withProbability(0.7), s.withProbability(0.7)
	for _, b := range s.hosts {
		if outward {
			s.partitionedUntil[[2]model.HostID{a.name, b.name}] = end
		}
		if inward {
			s.partitionedUntil[[2]model.HostID{b.name, a.name}] = end
		}
	}
}

// crash stops a host. A random prefix of its unsynced writes survives.
func (s *simulation) crash(h *simHost) {
	if !h.running {
		return
	}
	h.running = false
	h.restartAt = s.now.Add(s.randomDuration(model.Duration(1+s.rng.IntN(30)) * 100 * model.Millisecond))
	if !h.durable {
		s.newIncarnation(h)
		return
	}
	if len(h.disk.queue) > 0 {
		h.disk.sync(s.rng.IntN(len(h.disk.queue) + 1))
	}
	h.disk.queue = nil
}

// loseDisk crashes a host and replaces its data folder by an empty one, unless a
// majority of some voter set in use would be lost with it, which no protocol
// survives.
func (s *simulation) loseDisk(h *simHost) {
	if !h.durable || !s.canLoseDisk(h) {
		return
	}
	s.crash(h)
	s.newIncarnation(h)
}

func (s *simulation) canLoseDisk(lost *simHost) bool {
	for _, h := range s.hosts {
		if h.gone || h.node == nil {
			continue
		}
		for _, m := range h.node.memberships {
			kept := func(id NodeID) bool { return id.Host != lost.name && s.hasDisk(id) }
			if len(m.voters) > 0 && !m.hasQuorum(kept) {
				return false
			}
		}
	}
	return true
}

// hasDisk reports whether the disk of an identity still exists.
func (s *simulation) hasDisk(id NodeID) bool {
	h := s.byName[id.Host]
	return h.id == id && !h.gone
}

// replaceHost removes a host for good and adds one with another name and an empty disk,
// under the same condition as the loss of a disk.
func (s *simulation) replaceHost(h *simHost) {
	if !h.durable || h.gone || !s.canLoseDisk(h) {
		return
	}
	s.crash(h)
	h.running, h.gone = false, true
	s.replacements++
	successor := &simHost{
		name:        model.HostID(fmt.Sprintf("r%d", s.replacements)),
		durable:     true,
		clockRate:   0.99 + 0.02*s.rng.Float64(),
		clockOffset: model.Time(s.rng.Int64N(int64(model.Hour))),
		restartAt:   s.now.Add(s.randomDuration(2 * model.Second)),
	}
	s.hosts = append(s.hosts, successor)
	s.byName[successor.name] = successor
	s.newIncarnation(successor)
	for _, other := range s.hosts {
		if other.node != nil && !other.gone {
			other.node.AddPeers(successor.name)
		}
	}
}

// stopFaults ends all faults: partitions, pauses and crashes.
func (s *simulation) stopFaults() {
	s.faults = faults{}
	clear(s.partitionedUntil)
	for _, h := range s.hosts {
		h.pausedUntil = s.now
		h.restartAt = s.now
	}
}

// converged reports whether a leader holds its lease, the voters are the current
// identities of the durable hosts, and every host has applied the leader's log. One
// voter of a host that is gone may remain in a set of an odd size, which tolerates as
// many losses as the set without it.
func (s *simulation) converged() bool {
	leader := s.leaseHolder()
	if leader == nil {
		return false
	}
	last := leader.node.log.lastIndex()
	voters := leader.node.membership().voters
	durable := 0
	for _, h := range s.hosts {
		if h.gone {
			continue
		}
		if h.durable {
			durable++
		}
		if !h.running || h.state.Index != last || h.state != leader.state {
			return false
		}
		if h.durable != slices.Contains(voters, h.id) {
			return false
		}
	}
	if s.replacements > 0 && len(voters) == durable+1 {
		return len(voters)%2 != 0
	}
	return len(voters) == durable
}

func (s *simulation) leaseHolder() *simHost {
	for _, h := range s.hosts {
		if h.running && h.node.HoldsLeaderLease(h.clock(s.now)) {
			return h
		}
	}
	return nil
}
