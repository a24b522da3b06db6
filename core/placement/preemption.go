package placement

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// noFitsBeforePreemption is the number of attempts that find no worker after which lent
	// capacity is taken back for a task: about 3.5 s, in which runs that end by
	// themselves come first. With 1, the tasks of a half-empty fleet finished late
	// more often, because runs were stopped for room that was about to come.
	noFitsBeforePreemption = 3
	// preemptMax bounds the time for which a worker is kept for a task while runs on
	// it are taken back: a few reports for each of them.
	preemptMax = 10 * model.Second
	// preemptRetry is the pause of a pool after a search that found nothing.
	preemptRetry = model.Second
	// preemptCandidates bounds the workers that one search looks at. The next one
	// goes on behind them.
	preemptCandidates = 32
)

// preemption frees a worker for a task of a team below its share. A pool has one at
// most, and takes back one run at a time.
type preemption struct {
	record *record
	worker *worker
	until  model.Time
	victim *record // nil between two runs
	epoch  uint64  // of the victim's run
}

// startPreemption begins to take lent capacity back for a task that fits no worker,
// if its team is below its share.
func (p *Placer) startPreemption(env Env, q *pool, r *record) {
	if env.Shares.NoPreemption || q.preemption != nil || r.noFits < noFitsBeforePreemption || env.Now < q.preemptAfter {
		return
	}
	s := p.allocations()
	if !p.mayPreempt(s, r.task.Team) {
		return
	}
	q.preemptAfter = env.Now.Add(preemptRetry)
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
	q.preemption = &preemption{record: r, worker: best, until: env.Now.Add(preemptMax)}
	best.held = true
	p.refreshWorker(env, best)
	q.preemption.orderEviction(best, bestEvictions)
}

// mayPreempt reports whether a team may take lent capacity back. Once it has begun,
// it goes on until it has its share.
func (p *Placer) mayPreempt(s allocations, id model.TeamID) bool {
	t := p.team(id)
	t.preempting = s.shortfall(id) > 0 && (t.preempting || s.mayStartPreemption(id))
	return t.preempting
}

func (p *Placer) preemptorOf(r *record) preemptor {
	return preemptor{team: r.task.Team, need: p.need(r.task), precedence: r.task.Spec.Precedence}
}

// mayPreemptOn reports whether runs on the worker may be taken back for r.
func (p *Placer) mayPreemptOn(env Env, r *record, w *worker) bool {
	return !w.held && p.usable(env, w) && p.need(r.task).Fits(w.host.Capacity) && !r.failedOn(w.id)
}

// evictionCandidates returns the runs on the worker from which capacity can be taken.
func (w *worker) evictionCandidates(now model.Time) []evictionCandidate {
	var list []evictionCandidate
	for _, id := range model.SortedKeys(w.runs) {
		r := w.runs[id]
		if r.pending || r.endProposed || r.task.Cancel || r.startedAt == 0 {
			continue // it is not known to run, or ends anyway
		}
		list = append(list, evictionCandidate{
			task: id, team: r.task.Team, size: r.reserved, runTime: now.Sub(r.startedAt),
			precedence: r.task.Spec.Precedence, preemptions: r.task.Preemptions,
			idempotent: r.task.Spec.Idempotent, throttled: r.throttled,
		})
	}
	return list
}

// orderEviction has the first of the evictions carried out with the next report.
func (pr *preemption) orderEviction(w *worker, evictions []eviction) {
	pr.victim = w.runs[evictions[0].run.task]
	pr.epoch = pr.victim.task.Epoch
	pr.victim.eviction = evictions[0].kind
}

// evictionDone reports whether nothing more is to come of the order to the victim.
func (pr *preemption) evictionDone() bool {
	v := pr.victim
	return v == nil || v.worker != pr.worker || v.task.Epoch != pr.epoch || v.eviction == ""
}

// checkPreemption places the task that runs are taken back for once it fits, orders
// the next eviction when one is not enough, and gives the worker back when the task
// is gone or its team has its share or its limit.
func (p *Placer) checkPreemption(env Env, out *Out, q *pool) {
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

// evictNext orders the next eviction on the same worker, if there still is one.
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

// evictionOrders returns the order that takes capacity from a run, if any.
func evictionOrders(r *record) []message.Order {
	if r.eviction == "" {
		return nil
	}
	r.evictionSent = true
	keep := r.eviction == message.OrderCheckpoint && !r.task.Spec.Idempotent
	return []message.Order{{Kind: r.eviction, Task: r.task.ID, Epoch: r.task.Epoch, Keep: keep}}
}

// runThrottled takes in that the worker has throttled a run.
func (p *Placer) runThrottled(env Env, r *record) {
	r.throttled = true
	r.eviction, r.evictionSent = "", false
	r.peak.MilliCPU /= throttleFactor
	amount := r.reserved
	amount.MilliCPU /= throttleFactor
	p.reserve(env, r, amount)
}

// nextPreemptionWorkers returns the next workers to search.
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
