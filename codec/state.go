package codec

import (
	"cmp"
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/jobs"
)

// encodableState returns a copy of s in encoded form: ClaimList holds the claims, and nil
// maps are replaced by empty ones, so that states that differ only in nil and empty maps
// have the same encoding. Neither s nor anything that it refers to is modified.
func encodableState(s *fleet.State) *fleet.State {
	if s == nil {
		return nil
	}
	wire := *s
	wire.ClaimList = sortedClaims(s.Claims)
	ensureMaps(&wire)
	return &wire
}

// sortedClaims returns the claims sorted by team and key. The map keys are authoritative;
// each record holds the same ClaimID as its key.
func sortedClaims(claims map[fleet.ClaimID]*fleet.ClaimRecord) []*fleet.ClaimRecord {
	ids := slices.SortedFunc(maps.Keys(claims), compareClaims)
	list := make([]*fleet.ClaimRecord, 0, len(ids))
	for _, id := range ids {
		list = append(list, claims[id])
	}
	return list
}

func compareClaims(a, b fleet.ClaimID) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Key, b.Key))
}

// restoreState rebuilds Claims from the ClaimList of a decoded state. The list must be in
// strictly ascending order, which excludes duplicates.
func restoreState(s *fleet.State) error {
	s.Claims = make(map[fleet.ClaimID]*fleet.ClaimRecord, len(s.ClaimList))
	for i, record := range s.ClaimList {
		if record == nil {
			return invalid("state", "a claim is null")
		}
		if i > 0 && compareClaims(s.ClaimList[i-1].ClaimID, record.ClaimID) >= 0 {
			return invalid("state", "claims are not in ascending order of team and key")
		}
		s.Claims[record.ClaimID] = record
	}
	s.ClaimList = nil
	for _, task := range s.Tasks {
		if task == nil {
			return invalid("state", "a task is null")
		}
	}
	ensureMaps(s)
	return nil
}

// ensureMaps replaces the nil maps of s by empty ones, so that entries can be added to a
// decoded state.
func ensureMaps(s *fleet.State) {
	ensureMap(&s.Keys)
	ensureMap(&s.Members)
	ensureMap(&s.Targets)
	ensureMap(&s.Hosts)
	ensureMap(&s.Tasks)
	ensureMap(&s.Recent)
	jobState := jobs.State{}
	if s.Jobs != nil {
		jobState = *s.Jobs
	}
	jobState.MakeMaps()
	s.Jobs = &jobState
}

// ensureMap sets *m to an empty map if it is nil.
func ensureMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = make(map[K]V)
	}
}
