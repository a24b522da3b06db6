package pq_test

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/pq"
)

type entry struct{ key, priority int }

// Guards against an index that is wrong after items are moved or removed, by
// comparison with a sorted list. The queue would then return items out of order or
// twice.
func TestQueueAgreesWithSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := pq.New[int, int, int](func(a, b int) bool { return a < b })
		model := map[int]int{}
		number := rapid.IntRange(0, 30)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				key := number.Draw(t, "key")
				priority := number.Draw(t, "priority")*31 + key // unique, so that the order is total
				q.Set(key, priority, -key)
				model[key] = priority
			},
			"remove": func(t *rapid.T) {
				key := number.Draw(t, "key")
				_, known := model[key]
				require.Equal(t, known, q.Remove(key))
				delete(model, key)
			},
			"pop": func(t *rapid.T) {
				want, some := first(model)
				key, priority, value, ok := q.Pop()
				require.Equal(t, some, ok)
				if ok {
					require.Equal(t, want, entry{key, priority})
					require.Equal(t, -key, value)
					delete(model, key)
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(model), q.Len())
				want, some := first(model)
				key, priority, _, ok := q.Peek()
				require.Equal(t, some, ok)
				if ok {
					require.Equal(t, want, entry{key, priority})
				}
				for key := range 31 {
					_, known := model[key]
					require.Equal(t, known, q.Has(key))
				}
			},
		})
	})
}

func first(model map[int]int) (entry, bool) {
	var list []entry
	for key, priority := range model {
		list = append(list, entry{key, priority})
	}
	if len(list) == 0 {
		return entry{}, false
	}
	return slices.MinFunc(list, func(a, b entry) int { return cmp.Compare(a.priority, b.priority) }), true
}
