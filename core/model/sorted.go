package model

import (
	"cmp"
	"slices"
)

// SortedKeys returns the keys of m in ascending order. Decisions iterate over maps
// in this order, so that a replay makes the same decisions.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
