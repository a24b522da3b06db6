package rankset_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/rankset"
)

// Guards against wrong prefix sums or a wrong order after a series of insertions and
// removals, by comparison with a sorted list.
func TestSetAgreesWithSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rankset.New(func(a, b int) bool { return a < b })
		var list []int // the weight of each key is the key plus one
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			key := rapid.IntRange(0, 50).Draw(t, "key")
			i, there := slices.BinarySearch(list, key)
			if there {
				require.True(t, s.Remove(key))
				list = slices.Delete(list, i, i+1)
			} else {
				require.False(t, s.Remove(key))
				s.Insert(key, int64(key+1), rapid.Uint64().Draw(t, "priority"))
				list = slices.Insert(list, i, key)
			}
			before := int64(0)
			for _, k := range list {
				require.Equal(t, before, s.SumBefore(k))
				before += int64(k + 1)
			}
			require.Equal(t, len(list), s.Len())
			last, ok := s.Last()
			require.Equal(t, len(list) > 0, ok)
			if ok {
				require.Equal(t, list[len(list)-1], last)
			}
		}
	})
}
