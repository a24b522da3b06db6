package fleet

import (
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// TeamOfKey returns the team of the key with this hash, and false for unknown and
// withdrawn keys.
func (s *State) TeamOfKey(hash model.Digest) (model.TeamID, bool) {
	key, ok := s.Keys[s.index.keyNames[hash]]
	if !ok || key.Withdrawn {
		return "", false
	}
	return key.Team, true
}

// grantKey adds a key. Neither a resend nor a grant of the same hash under another
// name makes a withdrawn key valid again.
func (s *State) grantKey(c *GrantKey) Result {
	if !rules.ValidIdentifier(c.Name) {
		return refused(problem.BadRequest, "key name %q is not printable ASCII without spaces", c.Name)
	}
	if c.Hash == "" {
		return refused(problem.BadRequest, "key %s has no hash", c.Name)
	}
	if earlier, ok := s.Keys[c.Name]; ok {
		if earlier.Hash == c.Hash && earlier.Team == c.Team {
			return Result{}
		}
		return refused(problem.BadRequest, "key name %s is already in use", c.Name)
	}
	if name, ok := s.index.keyNames[c.Hash]; ok {
		return refused(problem.BadRequest, "the key is already known by the name %s", name)
	}
	if _, ok := s.Rules.Teams[c.Team]; !ok {
		return refused(problem.UnknownTeam, "there is no team %q", c.Team)
	}
	s.setKey(c.Name, Key{Hash: c.Hash, Team: c.Team})
	s.ControlIndex = s.Index
	return Result{}
}

// withdrawKey revokes a key. Its name and hash stay stored, so that neither can be
// granted again.
func (s *State) withdrawKey(c *WithdrawKey) Result {
	key, ok := s.Keys[c.Name]
	if !ok {
		return refused(problem.UnknownKey, "there is no key %q", c.Name)
	}
	if key.Withdrawn {
		return Result{}
	}
	key.Withdrawn = true
	s.setKey(c.Name, key)
	s.ControlIndex = s.Index
	return Result{}
}

func (s *State) setKey(name string, key Key) {
	if earlier, ok := s.Keys[name]; ok {
		s.index.removeKey(earlier)
	}
	s.Keys[name] = key
	s.index.addKey(name, key)
}
