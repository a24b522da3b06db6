// Package rankset implements an ordered set of weighted keys with prefix sums: the sum
// of the weights before any key. All operations take logarithmic expected time.
//
// It is a treap, that is, a binary search tree by key and a heap by priority. The
// caller passes the priorities, so that replays build the same tree.
package rankset

// Set is an ordered set of weighted keys.
type Set[K any] struct {
	less func(a, b K) bool
	root *node[K]
}

type node[K any] struct {
	key         K
	priority    uint64
	weight      int64
	sum         int64 // of the weights in this subtree
	size        int
	left, right *node[K]
}

// New returns an empty set. less must be a strict total order.
func New[K any](less func(a, b K) bool) *Set[K] { return &Set[K]{less: less} }

// Len returns the number of keys.
func (s *Set[K]) Len() int { return s.root.len() }

// Insert adds a key, which must not be in the set. The time bounds hold if priorities
// are distributed like random numbers.
func (s *Set[K]) Insert(key K, weight int64, priority uint64) {
	before, after := s.split(s.root, key)
	n := &node[K]{key: key, priority: priority, weight: weight}
	n.update()
	s.root = merge(merge(before, n), after)
}

// Remove removes a key and reports whether it was in the set.
func (s *Set[K]) Remove(key K) bool {
	found := false
	s.root = s.remove(s.root, key, &found)
	return found
}

// SumBefore returns the sum of the weights of the keys before key, which need not be
// in the set.
func (s *Set[K]) SumBefore(key K) int64 {
	sum := int64(0)
	for n := s.root; n != nil; {
		if s.less(n.key, key) {
			sum += n.left.total() + n.weight
			n = n.right
		} else {
			n = n.left
		}
	}
	return sum
}

// Last returns the last key; ok is false if the set is empty.
func (s *Set[K]) Last() (key K, ok bool) {
	n := s.root
	if n == nil {
		return key, false
	}
	for n.right != nil {
		n = n.right
	}
	return n.key, true
}

// split divides a subtree into the keys before key and the rest.
func (s *Set[K]) split(n *node[K], key K) (before, after *node[K]) {
	if n == nil {
		return nil, nil
	}
	if s.less(n.key, key) {
		n.right, after = s.split(n.right, key)
		n.update()
		return n, after
	}
	before, n.left = s.split(n.left, key)
	n.update()
	return before, n
}

func (s *Set[K]) remove(n *node[K], key K, found *bool) *node[K] {
	switch {
	case n == nil:
		return nil
	case s.less(key, n.key):
		n.left = s.remove(n.left, key, found)
	case s.less(n.key, key):
		n.right = s.remove(n.right, key, found)
	default:
		*found = true
		return merge(n.left, n.right)
	}
	n.update()
	return n
}

// merge joins two subtrees; every key of a is before every key of b.
func merge[K any](a, b *node[K]) *node[K] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority >= b.priority:
		a.right = merge(a.right, b)
		a.update()
		return a
	default:
		b.left = merge(a, b.left)
		b.update()
		return b
	}
}

func (n *node[K]) len() int {
	if n == nil {
		return 0
	}
	return n.size
}

func (n *node[K]) total() int64 {
	if n == nil {
		return 0
	}
	return n.sum
}

func (n *node[K]) update() {
	n.size = 1 + n.left.len() + n.right.len()
	n.sum = n.weight + n.left.total() + n.right.total()
}
