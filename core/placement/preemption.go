package placement

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// noFitsBeforePreemption is the number of consecutive attempts without a fitting
	// worker after which lent capacity is reclaimed for a task: about 3.5 s, in which
	// runs may end by themselves. With 1, tasks of a half-empty fleet finished late
	// more often, because runs were stopped although room was about to become free.
	noFitsBeforePreemption = 3
	// preemptionTimeout bounds how long a worker is held for a task while runs on it are
	// preempted: a few reports for each run.
	preemptionTimeout = 10 * model.Second
	// preemptRetryDelay is the delay before a pool searches again after a search that
	// found nothing.
	preemptRetryDelay = model.Second
	// preemptCandidates bounds the number of workers that one search looks at. The
	// next search continues after them.
	preemptCandidates = 32
)

// preemption frees capacity on a worker for a task of a team below its share. A pool
// has at most one, and preempts one run at a time.
type preemption struct {
	record *record
	worker *worker
	until  model.Time
	victim *record // run being preempted; nil between two runs
	epoch  uint64  // of the victim's placement
}

// startPreemption starts to reclaim lent capacity for a task that fits no worker, if
// its team is below its share. It chooses the worker where the evictions lose the
// least work.
func (p *Placer) startPreemption(env Env, q *pool, r *record) {
	if env.Shares.NoPreemption || q.preemption != nil || r.noFits < noFitsBeforePreemption || env.Now < q.preemptAfter {
		return
	}
	s := p.allocations()
	if !p.mayPreempt(s, r.task.Team) {
		return
	}
	q.preemptAfter = env.Now.Add(preemptRetryDelay)
	var best *worker
	var bestEvictions []eviction
	var bestLost float64
	for _, w := range q.nextPreemptionWorkers() {
		if !p.mayPreemptOn(env, r, w) {
			continue
		}
		evictions, lost, ok := s.planEvictions(p.preemptorOf(r), w.free(), w.evictionCandidates(env.Now))
		if ok && len(evictions) > 0 && (best == nil || lost < bestLost) {
			best, bestEvictions, bestLost = w, evictions, lost
		}
	}
	if best == nil {
		return
	}
	q.preemption = &preemption{record: r, worker: best, until: env.Now.Add(preemptionTimeout)}
	best.held = true
	p.refreshWorker(env, best)
	q.preemption.orderEviction(best, bestEvictions)
}

// mayPreempt reports whether a team may reclaim lent capacity. Once it has started,
// it continues until the team has its share.
func (p *Placer) mayPreempt(s allocations, id model.TeamID) bool {
	t := p.team(id)
	t.preempting = s.shortfall(id) > 0 && (t.preempting || s.mayStartPreemption(id))
	return t.preempting
}

func (p *Placer) preemptorOf(r *record) preemptor {
	return preemptor{team: r.task.Team, need: p.need(r.task), precedence: r.task.Spec.Precedence}
}

// mayPreemptOn reports whether runs on the worker may be preempted for r.
func (p *Placer) mayPreemptOn(env Env, r *record, w *worker) bool {
	return !w.held && p.usable(env, w) && p.need(r.task).Fits(w.host.Capacity) && !r.failedOn(w.id)
}

// evictionCandidates returns the runs on the worker that capacity can be reclaimed
// from.
func (w *worker) evictionCandidates(now model.Time) []evictionCandidate {
	var list []evictionCandidate
	for _, id := range model.SortedKeys(w.runs) {
		r := w.runs[id]
		if r.pending || r.endProposed || r.task.Cancel || r.startedAt == 0 {
			continue // not known to be running, or about to end anyway
		}
		list = append(list, evictionCandidate{
			task: id, team: r.task.Team, size: r.reserved, runTime: now.Sub(r.startedAt),
			precedence: r.task.Spec.Precedence, preemptions: r.task.Preemptions,
			idempotent: r.task.Spec.Idempotent, throttled: r.throttled,
		})
	}
	return list
}

// orderEviction marks the first of the evictions, so that the reply to the worker's
// next report contains its order.
func (pr *preemption) orderEviction(w *worker, evictions []eviction) {
	pr.victim = w.runs[evictions[0].run.task]
	pr.epoch = pr.victim.task.Epoch
	pr.victim.eviction = evictions[0].kind
}

// evictionDone reports whether the eviction of the victim is complete or no longer
// applies.
func (pr *preemption) evictionDone() bool {
	v := pr.victim
	return v == nil || v.worker != pr.worker || v.task.Epoch != pr.epoch || v.eviction == ""
}

// checkPreemption places the task of the pool's preemption once it fits, and orders
// the next eviction if one was not enough. It releases the worker if the task is
// gone, its team has reached its share or its limit, the worker is not usable, or
// preemptionTimeout has passed.
func (p *Placer) checkPreemption(env Env, out *Output, q *pool) {
	pr := q.preemption
	if pr == nil {
		return
	}
	r, w := pr.record, pr.worker
	queued := p.records[r.task.ID] == r && (r.queue != nil || r.delayed)
	allowed := p.runningUnits(env, r.task.Team) < p.rules.Teams[r.task.Team].Limit
	usable := queued && allowed && p.usable(env, w) && env.Now < pr.until
	fits := p.need(r.task).Fits(w.free())
	if usable && !fits && (!pr.evictionDone() || p.evictNext(env, pr)) {
		return
	}
	q.preemption = nil
	w.held = false
	if !pr.evictionDone() && !pr.victim.evictionSent {
		pr.victim.eviction = ""
	}
	if usable && fits {
		q.preemptAfter = env.Now
		p.propose(env, out, r, w)
		return
	}
	p.refreshWorker(env, w)
}

// evictNext orders the next eviction on the same worker. It reports false if there is
// none.
func (p *Placer) evictNext(env Env, pr *preemption) bool {
	s := p.allocations()
	if !p.mayPreempt(s, pr.record.task.Team) {
		return false
	}
	evictions, _, ok := s.planEvictions(p.preemptorOf(pr.record), pr.worker.free(), pr.worker.evictionCandidates(env.Now))
	if !ok || len(evictions) == 0 {
		return false
	}
	pr.orderEviction(pr.worker, evictions)
	return true
}

// evictionOrders returns the order for the pending eviction of a run, if any.
func evictionOrders(r *record) []message.Order {
	if r.eviction == "" {
		return nil
	}
	r.evictionSent = true
	keep := r.eviction == message.OrderCheckpoint && !r.task.Spec.Idempotent
	return []message.Order{{Kind: r.eviction, Task: r.task.ID, Epoch: r.task.Epoch, Keep: keep}}
}

// runThrottled records that the worker has throttled a run, and reduces the CPU
// reserved for it.
func (p *Placer) runThrottled(env Env, r *record) {
	r.throttled = true
	r.eviction, r.evictionSent = "", false
	r.peak.MilliCPU /= throttleFactor
	amount := r.reserved
	amount.MilliCPU /= throttleFactor
	p.reserve(env, r, amount)
}

// nextPreemptionWorkers returns the next workers for a preemption search and advances
// the cursor past them.
func (q *pool) nextPreemptionWorkers() []*worker {
	n := len(q.members)
	list := make([]*worker, 0, min(n, preemptCandidates))
	for i := range min(n, preemptCandidates) {
		list = append(list, q.members[(q.preemptionCursor+i)%n])
	}
	if n > 0 {
		q.preemptionCursor = (q.preemptionCursor + len(list)) % n
	}
	return list
}

func (q *pool) addMember(w *worker) {
	if i, found := q.findMember(w.id); !found {
		q.members = slices.Insert(q.members, i, w)
	}
}

func (q *pool) removeMember(w *worker) {
	if i, found := q.findMember(w.id); found {
		q.members = slices.Delete(q.members, i, i+1)
	}
}

func (q *pool) findMember(id model.HostID) (int, bool) {
	return slices.BinarySearchFunc(q.members, id, func(w *worker, id model.HostID) int { return cmp.Compare(w.id, id) })
}
