package placement

import (
	"hash/fnv"

	"primrosedale.example/primrosedale/core/model"
)

// candidatesMax is the number of tightest fits among which the spread over
// racks and data centres decides. Racks have four workers, so that eight
// candidates usually cover more than one rack.
const candidatesMax = 8

// failedOnMisfits is the number of attempts that find no worker after which a
// task may return to one it failed on: its pool may have no other.
const failedOnMisfits = 3

// fitTree holds usable workers in the order of their free processors. It is a
// treap whose nodes know the largest free memory and accelerators below them,
// so that a search passes over what cannot fit. Insertion and removal take
// logarithmic time on average.
type fitTree struct{ root *fitNode }

type fitNode struct {
	worker       *worker
	free         model.Resources // at insertion
	weight       uint64
	memory       int64 // largest free memory of the subtree
	accelerators int64 // largest free accelerators of the subtree
	left, right  *fitNode
}

func (n *fitNode) before(other *fitNode) bool {
	if n.free.MilliCPU != other.free.MilliCPU {
		return n.free.MilliCPU < other.free.MilliCPU
	}
	return n.worker.id < other.worker.id
}

// update computes what n knows of its subtree.
func (n *fitNode) update() {
	n.memory, n.accelerators = n.free.MemoryMB, n.free.Accelerators
	for _, child := range []*fitNode{n.left, n.right} {
		if child != nil {
			n.memory = max(n.memory, child.memory)
			n.accelerators = max(n.accelerators, child.accelerators)
		}
	}
}

func (t *fitTree) insert(w *worker) *fitNode {
	n := &fitNode{worker: w, free: w.free(), weight: weightOf(w.id)}
	n.update()
	t.root = insertFit(t.root, n)
	return n
}

func (t *fitTree) remove(n *fitNode) { t.root = removeFit(t.root, n) }

func insertFit(n, added *fitNode) *fitNode {
	if n == nil {
		return added
	}
	if added.weight > n.weight {
		added.left, added.right = splitFit(n, added)
		added.update()
		return added
	}
	if added.before(n) {
		n.left = insertFit(n.left, added)
	} else {
		n.right = insertFit(n.right, added)
	}
	n.update()
	return n
}

// splitFit divides n into the nodes before key and the others.
func splitFit(n, key *fitNode) (before, after *fitNode) {
	if n == nil {
		return nil, nil
	}
	if n.before(key) {
		n.right, after = splitFit(n.right, key)
		n.update()
		return n, after
	}
	before, n.left = splitFit(n.left, key)
	n.update()
	return before, n
}

func removeFit(n, gone *fitNode) *fitNode {
	switch {
	case n == nil:
		return nil
	case n == gone:
		return mergeFit(n.left, n.right)
	case gone.before(n):
		n.left = removeFit(n.left, gone)
	default:
		n.right = removeFit(n.right, gone)
	}
	n.update()
	return n
}

// mergeFit joins two trees; every node of a is before every node of b.
func mergeFit(a, b *fitNode) *fitNode {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.weight > b.weight:
		a.right = mergeFit(a.right, b)
		a.update()
		return a
	}
	b.left = mergeFit(a, b.left)
	b.update()
	return b
}

func weightOf(id model.HostID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// The low bits of FNV of similar names differ most, so they go to the top.
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// fits calls yield for the workers that fit need, the tightest first, until it
// returns false.
func (n *fitNode) fits(need model.Resources, yield func(*worker) bool) bool {
	if n == nil || n.memory < need.MemoryMB || n.accelerators < need.Accelerators {
		return true
	}
	if n.free.MilliCPU < need.MilliCPU {
		return n.right.fits(need, yield)
	}
	if !n.left.fits(need, yield) {
		return false
	}
	if need.Fits(n.free) && !yield(n.worker) {
		return false
	}
	return n.right.fits(need, yield)
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
	var bestCrowd crowd
	seen := 0
	t.root.fits(need, func(w *worker) bool {
		if r.failedOn(w.id) && r.misfits < failedOnMisfits {
			return true
		}
		if c := p.crowdOf(r.task.Team, w); best == nil || c.before(bestCrowd) {
			best, bestCrowd = w, c
		}
		seen++
		return seen < candidatesMax
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

// crowd counts the tasks of one team near a worker. Fewer are better, because
// a lost rack or data centre then takes fewer of them along.
type crowd struct{ rack, centre int }

func (a crowd) before(b crowd) bool {
	if a.rack != b.rack {
		return a.rack < b.rack
	}
	return a.centre < b.centre
}

type domain struct {
	team   model.TeamID
	centre model.DataCentreID
	rack   model.RackID // empty for the whole data centre
}

func (p *Placer) crowdOf(id model.TeamID, w *worker) crowd {
	h := w.host
	return crowd{
		rack:   p.crowds[domain{id, h.DataCentre, h.Rack}],
		centre: p.crowds[domain{id, h.DataCentre, ""}],
	}
}

// countCrowd adds n to the tasks of the team of r near its worker.
func (p *Placer) countCrowd(r *record, n int) {
	if n > 0 {
		r.near = [2]domain{
			{r.task.Team, r.worker.host.DataCentre, r.worker.host.Rack},
			{r.task.Team, r.worker.host.DataCentre, ""},
		}
	}
	for _, d := range r.near {
		if p.crowds[d] += n; p.crowds[d] == 0 {
			delete(p.crowds, d)
		}
	}
}
