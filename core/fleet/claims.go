package fleet

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// MaxAnswerBytes is the largest answer body kept for resends, in bytes.
const MaxAnswerBytes = 64 << 10

// MaxTotalAnswerBytes bounds the total size of the bodies of all stored answers, in
// bytes. A host may use 256 MB of memory for control, and a snapshot holds a
// second copy of the bodies in base64 while it is written.
const MaxTotalAnswerBytes = 48 << 20

// HeldClaims returns the claims that may be running, oldest first.
func (s *State) HeldClaims() []*ClaimRecord {
	held := make([]*ClaimRecord, 0, len(s.index.heldClaims))
	for id := range s.index.heldClaims {
		held = append(held, s.Claims[id])
	}
	slices.SortFunc(held, func(a, b *ClaimRecord) int { return cmp.Compare(a.Index, b.Index) })
	return held
}

// claim grants the single run to the first request. It grants it again to the same
// request while that holds the claim; every other request gets the record.
func (s *State) claim(c *Claim) Result {
	record, ok := s.Claims[c.ClaimID]
	if !ok {
		return s.newClaim(c)
	}
	if record.Body != c.Body {
		result := refused(problem.KeyReused, "the key was used for another queue or body")
		result.Claim = record
		return result
	}
	granted := record.Request == c.Request && record.State == ClaimHeld
	return Result{Claim: record, Granted: granted}
}

func (s *State) newClaim(c *Claim) Result {
	if _, ok := s.Rules.Teams[c.Team]; !ok {
		return refused(problem.UnknownTeam, "there is no team %q", c.Team)
	}
	record := &ClaimRecord{Claim: *c, State: ClaimHeld, Since: s.Now, Index: s.Index}
	s.setClaim(record)
	return Result{Claim: record, Granted: true}
}

// complete ends a claim held by the request of c. The end is final: a later
// Complete, or one of another request, has no effect.
func (s *State) complete(c *Complete) Result {
	record, ok := s.heldBy(c.ClaimID, c.Request)
	if !ok {
		return Result{}
	}
	ended := *record
	ended.Since = s.Now
	ended.Index = s.Index
	if c.Unknown {
		ended.State = ClaimUnknown
	} else {
		ended.State = ClaimComplete
		ended.Status = c.Status
		ended.Answer = c.Answer
	}
	if ended.Answer != nil && len(ended.Answer.Body) > MaxAnswerBytes {
		ended.Answer = nil
	}
	s.setClaim(&ended)
	return Result{}
}

// release deletes a claim held by the request of c.
func (s *State) release(c *Release) Result {
	if record, ok := s.heldBy(c.ClaimID, c.Request); ok {
		s.index.removeClaim(record)
		delete(s.Claims, c.ClaimID)
	}
	return Result{}
}

// heldBy returns the record of the claim if this request holds it.
func (s *State) heldBy(id ClaimID, request model.RequestID) (*ClaimRecord, bool) {
	record, ok := s.Claims[id]
	if !ok || record.Request != request || record.State != ClaimHeld {
		return nil, false
	}
	return record, true
}

func (s *State) setClaim(record *ClaimRecord) {
	if earlier, ok := s.Claims[record.ClaimID]; ok {
		s.index.removeClaim(earlier)
	}
	s.Claims[record.ClaimID] = record
	s.index.addClaim(record)
}

// listClaims returns all claims: held ones, then ended ones, each oldest first.
// The queue of ended claims is already in that order, so that a clone does not
// have to sort all claims.
func (s *State) listClaims() []*ClaimRecord {
	if s.index == nil {
		return slices.Clone(s.ClaimList)
	}
	list := s.HeldClaims()
	for _, id := range s.index.endedClaims.pending() {
		list = append(list, s.Claims[id])
	}
	return list
}

// loadClaims moves ClaimList into Claims.
func (s *State) loadClaims() {
	s.Claims = make(map[ClaimID]*ClaimRecord, len(s.ClaimList))
	for _, record := range s.ClaimList {
		s.Claims[record.ClaimID] = record
	}
	s.ClaimList = nil
}
