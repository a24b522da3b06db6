package placement

import "primrosedale.example/primrosedale/core/model"

const (
	// noFitsBeforeHold is the number of consecutive attempts without a fitting worker
	// after which a worker is held for a task: about 24 s. Without holds, smaller
	// tasks would keep using the capacity that becomes free and a large task would
	// starve.
	noFitsBeforeHold = 8
	// holdTimeout bounds how long a worker is held for one task.
	holdTimeout = 15 * model.Minute
	// holdCandidates bounds how many workers the search for one to hold looks at.
	holdCandidates = 8
)

// hold keeps a worker of a pool free for a large task. A pool has at most one hold,
// to limit the capacity that stays idle.
type hold struct {
	record *record
	worker *worker
	until  model.Time
}

// startHold starts to hold the worker with the most free CPU whose capacity is enough
// for r.
func (p *Placer) startHold(env Env, q *pool, r *record) {
	if q.hold != nil || r.noFits < noFitsBeforeHold {
		return
	}
	need := p.need(r.task)
	trees := []*fitTree{&q.plain, &q.accelerated}
	if need.Accelerators > 0 {
		trees = trees[1:]
	}
	for _, t := range trees {
		if w := t.mostFree(need, r); w != nil {
			q.hold = &hold{record: r, worker: w, until: env.Now.Add(holdTimeout)}
			w.held = true
			p.refreshWorker(env, w)
			return
		}
	}
}

// mostFree returns the worker with the most free CPU that has enough capacity for
// need, among the first holdCandidates workers, or nil.
func (t *fitTree) mostFree(need model.Resources, r *record) *worker {
	considered := 0
	var visit func(n *fitNode) *worker
	visit = func(n *fitNode) *worker {
		if n == nil || considered >= holdCandidates {
			return nil
		}
		if w := visit(n.right); w != nil || considered >= holdCandidates {
			return w
		}
		considered++
		if need.Fits(n.worker.host.Capacity) && !r.failedOn(n.worker.id) {
			return n.worker
		}
		return visit(n.left)
	}
	return visit(t.root)
}

// checkHold places the task of the pool's hold once it fits on the held worker. It
// releases the worker without a placement if the task is gone, its team is at its
// limit, the worker is not usable, or the hold has expired.
func (p *Placer) checkHold(env Env, out *Output, q *pool) {
	h := q.hold
	if h == nil {
		return
	}
	r, w := h.record, h.worker
	queued := p.records[r.task.ID] == r && (r.queue != nil || r.delayed)
	allowed := p.runningUnits(env, r.task.Team) < p.rules.Teams[r.task.Team].Limit
	fits := p.need(r.task).Fits(w.free())
	if queued && allowed && !fits && p.usable(env, w) && env.Now < h.until {
		return
	}
	q.hold = nil
	w.held = false
	if queued && allowed && fits && p.usable(env, w) {
		p.propose(env, out, r, w)
		return
	}
	p.refreshWorker(env, w)
}
