package placement

import (
	"hash/fnv"

	"primrosedale.example/primrosedale/core/model"
)

// candidatesMax is the number of tightest fits among which the spread over
// racks and data centres decides. Racks have four workers, so that eight
// candidates usually cover more than one rack.
const candidatesMax = 8

// noFitsBeforeRepeat is the number of attempts that find no worker after which a
// task may return to one it failed on: its pool may have no other.
const noFitsBeforeRepeat = 3

// fitTree holds usable workers in the order of their free processors. It is a
// treap whose nodes know the largest free memory and accelerators below them,
// so that a search passes over what cannot fit. Insertion and removal take
// logarithmic time on average.
type fitTree struct{ root *fitNode }

type fitNode struct {
	worker          *worker
	free            model.Resources // at insertion
	priority        uint64
	maxMemory       int64 // largest free memory of the subtree
	maxAccelerators int64 // largest free accelerators of the subtree
	left, right     *fitNode
}

func (n *fitNode) before(other *fitNode) bool {
	if n.free.MilliCPU != other.free.MilliCPU {
		return n.free.MilliCPU < other.free.MilliCPU
	}
	return n.worker.id < other.worker.id
}

// updateMaxima computes what n knows of its subtree.
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

// splitFit divides n into the nodes before key and the others.
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

// mergeFit joins two trees; every node of a is before every node of b.
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
	// The low bits of FNV of similar names differ most, so they go to the top.
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// visitFitting calls yield for the workers that fit need, the tightest first, until it
// returns false.
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

// choose returns the worker for a queued task, or nil. Tasks that need no
// accelerator go to workers that have none if one fits.
func (p *Placer) choose(q *pool, r *record) *worker {
	need := p.need(r.task)
	if need.Accelerators == 0 {
		if w := p.chooseFrom(&q.plain, r, need); w != nil {
			return w
		}
	}
	return p.chooseFrom(&q.accelerated, r, need)
}

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

// failedOn reports whether the task has failed on the worker.
func (r *record) failedOn(id model.HostID) bool {
	for _, failed := range r.task.FailedOn {
		if failed == id {
			return true
		}
	}
	return false
}

// colocation counts the tasks of one team near a worker. Fewer are better, because
// a lost rack or data centre then takes fewer of them along.
type colocation struct{ rack, dataCentre int }

func (a colocation) before(b colocation) bool {
	if a.rack != b.rack {
		return a.rack < b.rack
	}
	return a.dataCentre < b.dataCentre
}

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

// countColocation adds n to the tasks of the team of r near its worker.
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
