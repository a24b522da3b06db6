package placement

import (
	"hash/fnv"

	"primrosedale.example/primrosedale/core/model"
)

// candidatesMax is the number of tightest-fitting workers that are compared by how
// many tasks of the team run in their rack and data centre. Racks have four workers,
// so eight candidates usually span more than one rack.
const candidatesMax = 8

// noFitsBeforeRepeat is the number of consecutive attempts without a fitting worker
// after which a task may be placed on a worker where it failed before: its pool may
// have no other worker.
const noFitsBeforeRepeat = 3

// fitTree holds the usable workers of a pool ordered by free CPU. It is a treap whose
// nodes store the maximum free memory and accelerators of their subtree, so a search
// skips subtrees that cannot fit a task. Insertion and removal take logarithmic time
// on average.
type fitTree struct{ root *fitNode }

type fitNode struct {
	worker          *worker
	free            model.Resources // when the node was inserted
	priority        uint64
	maxMemory       int64 // in the subtree
	maxAccelerators int64 // in the subtree
	left, right     *fitNode
}

func (n *fitNode) before(other *fitNode) bool {
	if n.free.MilliCPU != other.free.MilliCPU {
		return n.free.MilliCPU < other.free.MilliCPU
	}
	return n.worker.id < other.worker.id
}

// updateMaxima recomputes the subtree maxima of n from its children.
func (n *fitNode) updateMaxima() {
	n.maxMemory, n.maxAccelerators = n.free.MemoryMB, n.free.Accelerators
	for _, child := range []*fitNode{n.left, n.right} {
		if child != nil {
			n.maxMemory = max(n.maxMemory, child.maxMemory)
			n.maxAccelerators = max(n.maxAccelerators, child.maxAccelerators)
		}
	}
}

func (t *fitTree) insert(w *worker) *fitNode {
	n := &fitNode{worker: w, free: w.free(), priority: treapPriority(w.id)}
	n.updateMaxima()
	t.root = insertFit(t.root, n)
	return n
}

func (t *fitTree) remove(n *fitNode) { t.root = removeFit(t.root, n) }

func insertFit(n, added *fitNode) *fitNode {
	if n == nil {
		return added
	}
	if added.priority > n.priority {
		added.left, added.right = splitFit(n, added)
		added.updateMaxima()
		return added
	}
	if added.before(n) {
		n.left = insertFit(n.left, added)
	} else {
		n.right = insertFit(n.right, added)
	}
	n.updateMaxima()
	return n
}

// splitFit splits the tree n into the nodes before key and the rest.
func splitFit(n, key *fitNode) (before, after *fitNode) {
	if n == nil {
		return nil, nil
	}
	if n.before(key) {
		n.right, after = splitFit(n.right, key)
		n.updateMaxima()
		return n, after
	}
	before, n.left = splitFit(n.left, key)
	n.updateMaxima()
	return before, n
}

func removeFit(n, removed *fitNode) *fitNode {
	switch {
	case n == nil:
		return nil
	case n == removed:
		return mergeFit(n.left, n.right)
	case removed.before(n):
		n.left = removeFit(n.left, removed)
	default:
		n.right = removeFit(n.right, removed)
	}
	n.updateMaxima()
	return n
}

// mergeFit joins two trees. Every node of a must be before every node of b.
func mergeFit(a, b *fitNode) *fitNode {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = mergeFit(a.right, b)
		a.updateMaxima()
		return a
	}
	b.left = mergeFit(a, b.left)
	b.updateMaxima()
	return b
}

func treapPriority(id model.HostID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// FNV hashes of similar names differ mostly in the low bits; the multiplication
	// spreads the difference to the high bits.
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// visitFitting calls yield for each worker that need fits on, tightest first, until
// yield returns false. It reports whether the traversal was completed.
func (n *fitNode) visitFitting(need model.Resources, yield func(*worker) bool) bool {
	if n == nil || n.maxMemory < need.MemoryMB || n.maxAccelerators < need.Accelerators {
		return true
	}
	if n.free.MilliCPU < need.MilliCPU {
		return n.right.visitFitting(need, yield)
	}
	if !n.left.visitFitting(need, yield) {
		return false
	}
	if need.Fits(n.free) && !yield(n.worker) {
		return false
	}
	return n.right.visitFitting(need, yield)
}

// choose returns the worker for a queued task, or nil if none fits. Tasks that need
// no accelerator prefer workers without accelerators.
func (p *Placer) choose(q *pool, r *record) *worker {
	need := p.need(r.task)
	if need.Accelerators == 0 {
		if w := p.chooseFrom(&q.plain, r, need); w != nil {
			return w
		}
	}
	return p.chooseFrom(&q.accelerated, r, need)
}

// chooseFrom returns, among the tightest-fitting workers of the tree, the one with
// the fewest tasks of the same team in its rack and data centre, or nil.
func (p *Placer) chooseFrom(t *fitTree, r *record, need model.Resources) *worker {
	var best *worker
	var fewest colocation
	considered := 0
	t.root.visitFitting(need, func(w *worker) bool {
		if r.failedOn(w.id) && r.noFits < noFitsBeforeRepeat {
			return true
		}
		if c := p.colocationOf(r.task.Team, w); best == nil || c.before(fewest) {
			best, fewest = w, c
		}
		considered++
		return considered < candidatesMax
	})
	return best
}

// failedOn reports whether the task has failed on the worker before.
func (r *record) failedOn(id model.HostID) bool {
	for _, failed := range r.task.FailedOn {
		if failed == id {
			return true
		}
	}
	return false
}

// colocation counts the tasks of one team in the rack and the data centre of a
// worker. Lower counts are preferred, because the loss of a rack or data centre then
// affects fewer tasks of the team.
type colocation struct{ rack, dataCentre int }

func (a colocation) before(b colocation) bool {
	if a.rack != b.rack {
		return a.rack < b.rack
	}
	return a.dataCentre < b.dataCentre
}

// teamDomain identifies a team in a rack or data centre; it is the key of
// Placer.colocated.
type teamDomain struct {
	team       model.TeamID
	dataCentre model.DataCentreID
	rack       model.RackID // empty for the whole data centre
}

func (p *Placer) colocationOf(id model.TeamID, w *worker) colocation {
	h := w.host
	return colocation{
		rack:       p.colocated[teamDomain{id, h.DataCentre, h.Rack}],
		dataCentre: p.colocated[teamDomain{id, h.DataCentre, ""}],
	}
}

// countColocation adds n to the task counts of r's team in the rack and data centre
// of its worker.
func (p *Placer) countColocation(r *record, n int) {
	if n > 0 {
		r.domains = [2]teamDomain{
			{r.task.Team, r.worker.host.DataCentre, r.worker.host.Rack},
			{r.task.Team, r.worker.host.DataCentre, ""},
		}
	}
	for _, d := range r.domains {
		if p.colocated[d] += n; p.colocated[d] == 0 {
			delete(p.colocated, d)
		}
	}
}
