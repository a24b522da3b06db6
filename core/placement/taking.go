package placement

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// takeMisfits is the number of attempts that find no worker after which lent
	// capacity is taken back for a task: about 3.5 s, in which runs that end by
	// themselves come first. With 1, the tasks of a half-empty fleet finished late
	// more often, because runs were stopped for room that was about to come.
	takeMisfits = 3
	// takeMax bounds the time for which a worker is kept for a task while runs on
	// it are taken back: a few reports for each of them.
	takeMax = 10 * model.Second
	// takeRetry is the pause of a pool after a search that found nothing.
	takeRetry = model.Second
	// takeCandidates bounds the workers that one search looks at. The next one
	// goes on behind them.
	takeCandidates = 32
)

// taking frees a worker for a task of a team below its share. A pool has one at
// most, and takes back one run at a time.
type taking struct {
	record *record
	worker *worker
	until  model.Time
	victim *record // nil between two runs
	epoch  uint64  // of the victim's run
}

// takeBackFor begins to take lent capacity back for a task that fits no worker,
// if its team is below its share.
func (p *Placer) takeBackFor(env Env, q *pool, r *record) {
	if env.Shares.KeepLent || q.taking != nil || r.misfits < takeMisfits || env.Now < q.takeAfter {
		return
	}
	s := p.standings()
	if !p.claims(s, r.task.Team) {
		return
	}
	q.takeAfter = env.Now.Add(takeRetry)
	var best *worker
	var bestTakes []take
	var bestLost float64
	for _, w := range q.candidates() {
		if !p.mayEmpty(env, r, w) {
			continue
		}
		takes, lost, ok := s.plan(p.claimOf(r), w.free(), w.loans(env.Now))
		if ok && len(takes) > 0 && (best == nil || lost < bestLost) {
			best, bestTakes, bestLost = w, takes, lost
		}
	}
	if best == nil {
		return
	}
	q.taking = &taking{record: r, worker: best, until: env.Now.Add(takeMax)}
	best.held = true
	p.refreshWorker(env, best)
	q.taking.order(best, bestTakes)
}

// claims reports whether a team may take lent capacity back. Once it has begun,
// it goes on until it has its share.
func (p *Placer) claims(s standings, id model.TeamID) bool {
	t := p.team(id)
	t.claiming = s.missing(id) > 0 && (t.claiming || s.begins(id))
	return t.claiming
}

func (p *Placer) claimOf(r *record) claim {
	return claim{team: r.task.Team, need: p.need(r.task), precedence: r.task.Spec.Precedence}
}

// mayEmpty reports whether runs on the worker may be taken back for r.
func (p *Placer) mayEmpty(env Env, r *record, w *worker) bool {
	return !w.held && p.usable(env, w) && p.need(r.task).Fits(w.host.Capacity) && !r.failedOn(w.id)
}

// loans returns the runs on the worker from which capacity can be taken.
func (w *worker) loans(now model.Time) []loan {
	var list []loan
	for _, id := range model.SortedKeys(w.runs) {
		r := w.runs[id]
		if r.pending || r.ending || r.task.Cancel || r.began == 0 {
			continue // it is not known to run, or ends anyway
		}
		list = append(list, loan{
			task: id, team: r.task.Team, size: r.reserved, ran: now.Sub(r.began),
			precedence: r.task.Spec.Precedence, takenBack: r.task.TakenBack,
			idempotent: r.task.Spec.Idempotent, throttled: r.throttled,
		})
	}
	return list
}

// order has the first of the takes carried out with the next report.
func (t *taking) order(w *worker, takes []take) {
	t.victim = w.runs[takes[0].loan.task]
	t.epoch = t.victim.task.Epoch
	t.victim.take = takes[0].kind
}

// done reports whether nothing more is to come of the order to the victim.
func (t *taking) done() bool {
	v := t.victim
	return v == nil || v.worker != t.worker || v.task.Epoch != t.epoch || v.take == ""
}

// useTaking places the task that runs are taken back for once it fits, orders
// the next take when one is not enough, and gives the worker back when the task
// is gone or its team has its share or its limit.
func (p *Placer) useTaking(env Env, out *Out, q *pool) {
	t := q.taking
	if t == nil {
		return
	}
	r, w := t.record, t.worker
	queued := p.records[r.task.ID] == r && (r.queue != nil || r.delayed)
	allowed := p.running(env, r.task.Team) < p.rules.Teams[r.task.Team].Limit
	usable := queued && allowed && p.usable(env, w) && env.Now < t.until
	fits := p.need(r.task).Fits(w.free())
	if usable && !fits && (!t.done() || p.takeNext(env, t)) {
		return
	}
	q.taking = nil
	w.held = false
	if !t.done() && !t.victim.takeSent {
		t.victim.take = ""
	}
	if usable && fits {
		q.takeAfter = env.Now
		p.propose(env, out, r, w)
		return
	}
	p.refreshWorker(env, w)
}

// takeNext orders the next take on the same worker, if there still is one.
func (p *Placer) takeNext(env Env, t *taking) bool {
	s := p.standings()
	if !p.claims(s, t.record.task.Team) {
		return false
	}
	takes, _, ok := s.plan(p.claimOf(t.record), t.worker.free(), t.worker.loans(env.Now))
	if !ok || len(takes) == 0 {
		return false
	}
	t.order(t.worker, takes)
	return true
}

// takeOrders returns the order that takes capacity from a run, if any.
func takeOrders(r *record) []message.Order {
	if r.take == "" {
		return nil
	}
	r.takeSent = true
	keep := r.take == message.OrderCheckpoint && !r.task.Spec.Idempotent
	return []message.Order{{Kind: r.take, Task: r.task.ID, Epoch: r.task.Epoch, Keep: keep}}
}

// throttled takes in that the worker has throttled a run.
func (p *Placer) throttled(env Env, r *record) {
	r.throttled = true
	r.take, r.takeSent = "", false
	r.peak.MilliCPU /= throttleFactor
	amount := r.reserved
	amount.MilliCPU /= throttleFactor
	p.reserve(env, r, amount)
}

// candidates returns the next workers to search.
func (q *pool) candidates() []*worker {
	n := len(q.members)
	list := make([]*worker, 0, min(n, takeCandidates))
	for i := range min(n, takeCandidates) {
		list = append(list, q.members[(q.cursor+i)%n])
	}
	if n > 0 {
		q.cursor = (q.cursor + len(list)) % n
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
