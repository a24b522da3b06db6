package fleet

import (
	"fmt"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

const (
	// maxAcceptedRevisions is the number of latest revisions for which a resend gets
	// the first answer. At 390 changes a day it covers about four hours.
	maxAcceptedRevisions = 64
	// maxListedFaults bounds the detail of a refusal, which is stored for resends.
	maxListedFaults = 32
)

// applyRules accepts the rules if they follow the current revision and are
// consistent in themselves and with the state.
func (s *State) applyRules(c *ApplyRules) Result {
	if s.wasAccepted(c.Base+1, c.Hash) {
		return Result{Revision: c.Base + 1}
	}
	if c.Base != s.Rules.Revision {
		result := refused(problem.RevisionConflict,
			"the current revision is %d with hash %s", s.Rules.Revision, s.RulesHash)
		result.Revision = s.Rules.Revision
		return result
	}
	if faults := s.rulesFaults(c); len(faults) > 0 {
		return refused(problem.RulesRejected, "%s", formatFaults(faults))
	}
	s.acceptRules(c)
	return Result{Revision: s.Rules.Revision}
}

func (s *State) wasAccepted(revision uint64, hash model.Digest) bool {
	for _, accepted := range s.Accepted {
		if accepted.Revision == revision {
			return accepted.Hash == hash
		}
	}
	return false
}

func (s *State) acceptRules(c *ApplyRules) {
	earlier := s.Rules
	s.Rules = c.Rules.Clone()
	s.RulesHash = c.Hash
	s.ControlIndex = s.Index
	s.Accepted = append(s.Accepted, AcceptedRules{Revision: s.Rules.Revision, Hash: c.Hash})
	if excess := len(s.Accepted) - maxAcceptedRevisions; excess > 0 {
		s.Accepted = append([]AcceptedRules(nil), s.Accepted[excess:]...)
	}
	s.addRulesEvents(earlier)
}

// rulesFaults returns the faults of the rules of c, both within the rules and
// against the current state.
func (s *State) rulesFaults(c *ApplyRules) []rules.Fault {
	if c.Rules == nil {
		return []rules.Fault{{Rule: "rules", Key: "text", Found: "none", Allowed: "one set of rules"}}
	}
	faults := c.Rules.Check()
	// The hash distinguishes the accepted rules of a revision from other submissions
	// of it, so it cannot be empty.
	if c.Hash == "" {
		faults = append(faults, rules.Fault{Rule: "rules", Key: "hash", Found: "none", Allowed: "a SHA-256"})
	}
	if c.Rules.Revision != c.Base+1 {
		faults = append(faults, rules.Fault{
			Rule:    "revision",
			Key:     "revision",
			Found:   fmt.Sprint(c.Rules.Revision),
			Allowed: fmt.Sprint(c.Base + 1),
		})
	}
	faults = append(faults, s.removedTeamFaults(c.Rules)...)
	faults = append(faults, s.removedPoolFaults(c.Rules)...)
	rules.SortFaults(faults)
	return faults
}

// removedTeamFaults returns a fault for each team that is missing from next and
// still has unfinished tasks, claims or granted keys.
func (s *State) removedTeamFaults(next *rules.Rules) []rules.Fault {
	return removedInUse("team", s.Rules.Teams, next.Teams, func(team model.TeamID) string {
		tasks := s.index.teamTasks[team]
		claims := s.index.teamClaims[team]
		keys := s.index.teamKeys[team]
		if tasks+claims+keys == 0 {
			return ""
		}
		return fmt.Sprintf("%d unfinished tasks, %d claims, %d granted keys", tasks, claims, keys)
	})
}

// removedPoolFaults returns a fault for each pool that is missing from next and
// still has hosts or unfinished tasks.
func (s *State) removedPoolFaults(next *rules.Rules) []rules.Fault {
	return removedInUse("pool", s.Rules.Pools, next.Pools, func(pool model.PoolID) string {
		count := s.index.pools[pool]
		tasks := s.index.poolTasks[pool]
		if count.hosts+count.incoming+tasks == 0 {
			return ""
		}
		return fmt.Sprintf("%d hosts, %d hosts moving in, %d unfinished tasks", count.hosts, count.incoming, tasks)
	})
}

// removedInUse returns a fault for each rule of a kind that is in current and not
// in next, but still in use. inUse describes the uses; it is empty for none.
func removedInUse[K ~string, V any](kind string, current, next map[K]V, inUse func(K) string) []rules.Fault {
	var faults []rules.Fault
	for id := range current {
		if _, kept := next[id]; kept {
			continue
		}
		if uses := inUse(id); uses != "" {
			faults = append(faults, rules.Fault{Rule: kind + "." + string(id), Key: "removed", Found: uses, Allowed: "none of these"})
		}
	}
	return faults
}

func formatFaults(faults []rules.Fault) string {
	lines := make([]string, 0, maxListedFaults+1)
	for i, fault := range faults {
		if i == maxListedFaults {
			lines = append(lines, fmt.Sprintf("and %d more", len(faults)-i))
			break
		}
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "; ")
}
