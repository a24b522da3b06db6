package placement

import "primrosedale.example/primrosedale/core/model"

const (
	// noFitsBeforeHold is the number of attempts that find no worker after which a
	// worker is kept free for a task: about 24 s. Without it, smaller tasks take
	// up what becomes free and a large one waits for ever.
	noFitsBeforeHold = 8
	// holdMax bounds the time for which a worker is kept free for one task.
	holdMax = 15 * model.Minute
	// holdCandidates bounds the search for a worker to hold.
	holdCandidates = 8
)

// hold keeps a worker of a pool free for a large task. A pool has one at most,
// so that holds take little of it.
type hold struct {
	record *record
	worker *worker
	until  model.Time
}

// startHold begins to keep the worker with the most free processors for r, if
// its capacity is enough.
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
			q.hold = &hold{record: r, worker: w, until: env.Now.Add(holdMax)}
			w.held = true
			p.refreshWorker(env, w)
			return
		}
	}
}

// mostFree returns the worker with the most free processors whose capacity is
// at least need, among the first few.
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

// checkHold places the task that a worker is held for once it fits, and gives the
// worker back when the task is gone, its team is at its limit, the worker can
// take no task, or it took too long.
func (p *Placer) checkHold(env Env, out *Out, q *pool) {
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
