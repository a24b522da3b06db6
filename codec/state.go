package codec

import (
	"cmp"
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/jobs"
)

// encodableState returns a copy of s in its encoded form: Claims is carried in
// ClaimList and nil maps are empty, so that states that differ only in nil
// and empty maps have equal bytes. Neither s nor what it refers to is changed.
func encodableState(s *fleet.State) *fleet.State {
	if s == nil {
		return nil
	}
	wire := *s
	wire.ClaimList = sortedClaims(s.Claims)
	ensureMaps(&wire)
	return &wire
}

// sortedClaims lists the claims by team and key. The key of the map is
// authoritative; the records hold the same ClaimID.
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

// restoreState rebuilds Claims from ClaimList in a decoded state. The list
// must be strictly ascending, which excludes duplicates.
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

// ensureMaps gives s empty maps for its nil maps, so that a decoded state can
// be written to.
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

// ensureMap replaces a nil map by an empty one.
func ensureMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = make(map[K]V)
	}
}
