package fleet

import "iter"

// queueKey orders queued tasks: larger precedence first, then the order of
// submission.
type queueKey struct {
	precedence  int
	submitIndex uint64
}

func queueKeyOf(t *Task) queueKey {
	return queueKey{precedence: t.Spec.Precedence, submitIndex: t.SubmitIndex}
}

func (k queueKey) before(other queueKey) bool {
	if k.precedence != other.precedence {
		return k.precedence > other.precedence
	}
	return k.submitIndex < other.submitIndex
}

// taskTree holds queued tasks in order. It is a treap: a search tree by key
// that is also a heap by weight. Insertion and removal take logarithmic time
// on average, and its shape depends only on the tasks in it, not on the order
// of their insertion.
type taskTree struct {
	root *treeNode
	size int
}

type treeNode struct {
	key         queueKey
	weight      uint64
	task        *Task
	left, right *treeNode
}

func (t *taskTree) insert(task *Task) {
	key := queueKeyOf(task)
	t.root = insertNode(t.root, &treeNode{key: key, weight: weightOf(key), task: task})
	t.size++
}

func (t *taskTree) remove(task *Task) {
	t.root = removeNode(t.root, queueKeyOf(task))
	t.size--
}

// all yields the tasks in order.
func (t *taskTree) all() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		if t != nil {
			walk(t.root, yield)
		}
	}
}

func walk(n *treeNode, yield func(*Task) bool) bool {
	if n == nil {
		return true
	}
	return walk(n.left, yield) && yield(n.task) && walk(n.right, yield)
}

func insertNode(n, added *treeNode) *treeNode {
	if n == nil {
		return added
	}
	if added.weight > n.weight {
		added.left, added.right = split(n, added.key)
		return added
	}
	if added.key.before(n.key) {
		n.left = insertNode(n.left, added)
	} else {
		n.right = insertNode(n.right, added)
	}
	return n
}

// split divides n into the nodes before key and the others.
func split(n *treeNode, key queueKey) (before, after *treeNode) {
	if n == nil {
		return nil, nil
	}
	if n.key.before(key) {
		n.right, after = split(n.right, key)
		return n, after
	}
	before, n.left = split(n.left, key)
	return before, n
}

func removeNode(n *treeNode, key queueKey) *treeNode {
	if n == nil {
		return nil
	}
	switch {
	case key.before(n.key):
		n.left = removeNode(n.left, key)
	case n.key.before(key):
		n.right = removeNode(n.right, key)
	default:
		return merge(n.left, n.right)
	}
	return n
}

// merge joins two trees; every key of a is before every key of b.
func merge(a, b *treeNode) *treeNode {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	if a.weight > b.weight {
		a.right = merge(a.right, b)
		return a
	}
	b.left = merge(a, b.left)
	return b
}

// weightOf hashes the submission index with splitmix64. The weights of successive
// indexes are spread evenly, which keeps the tree shallow, and every replica
// computes the same weights.
func weightOf(key queueKey) uint64 {
	x := key.submitIndex + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
