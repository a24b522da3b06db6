package placement

import (
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
)

// taskRank orders the queued tasks of one team in one pool: by precedence, then
// preempted tasks first, then by submission.
type taskRank struct {
	precedence  int
	preempted   bool
	submitIndex uint64
}

func (a taskRank) before(b taskRank) bool {
	if a.precedence != b.precedence {
		return a.precedence > b.precedence
	}
	if a.preempted != b.preempted {
		return a.preempted
	}
	return a.submitIndex < b.submitIndex
}

// teamRank orders the teams of one pool: by the precedence of their next task, then
// by their load relative to their share (see SharePolicy).
type teamRank struct {
	precedence int
	load       float64
	id         model.TeamID
}

func (a teamRank) before(b teamRank) bool {
	if a.precedence != b.precedence {
		return a.precedence > b.precedence
	}
	if a.load != b.load {
		return a.load < b.load
	}
	return a.id < b.id
}

type teamQueue struct {
	team  model.TeamID
	pool  *pool
	tasks *pq.Queue[model.TaskID, taskRank, *record]
}

// pool holds the queued tasks and the workers of one pool.
type pool struct {
	id               model.PoolID
	queues           map[model.TeamID]*teamQueue
	order            *pq.Queue[model.TeamID, teamRank, *teamQueue] // teams with queued tasks, below their limit
	plain            fitTree
	accelerated      fitTree
	capacities       map[model.Resources]int // number of workers that are up, by capacity
	largest          model.Resources         // maximum of capacities for each resource
	hold             *hold
	members          []*worker // workers that are up, sorted by ID
	noFitQueues      map[model.TeamID]*noFitQueue
	freed            []*worker   // workers on which runs have ended since the last pass
	preemption       *preemption // nil if none is in progress
	preemptAfter     model.Time  // no preemption search before this time
	preemptionCursor int         // index in members where the next preemption search starts
	dirty            bool        // something changed since a pass left no task to place
}

func newPool(id model.PoolID) *pool {
	return &pool{
		id:          id,
		queues:      make(map[model.TeamID]*teamQueue),
		noFitQueues: make(map[model.TeamID]*noFitQueue),
		capacities:  make(map[model.Resources]int),
		order:       pq.New[model.TeamID, teamRank, *teamQueue](teamRank.before),
	}
}

func (q *pool) treeOf(capacity model.Resources) *fitTree {
	if capacity.Accelerators > 0 {
		return &q.accelerated
	}
	return &q.plain
}

// countCapacity adds n to the number of workers with this capacity. Pools have few
// distinct capacities, so the maximum is recomputed each time.
func (q *pool) countCapacity(capacity model.Resources, n int) {
	if q.capacities[capacity] += n; q.capacities[capacity] == 0 {
		delete(q.capacities, capacity)
	}
	q.largest = model.Resources{}
	for c := range q.capacities {
		q.largest = larger(q.largest, c)
	}
}

// enqueue adds a queued task to the queue of its team.
func (p *Placer) enqueue(env Env, r *record) {
	q := p.pool(r.task.Spec.Pool)
	tq := q.queues[r.task.Team]
	if tq == nil {
		tq = &teamQueue{team: r.task.Team, pool: q, tasks: pq.New[model.TaskID, taskRank, *record](taskRank.before)}
		q.queues[r.task.Team] = tq
		p.team(r.task.Team).queues[q.id] = tq
	}
	r.queue = tq
	tq.tasks.Set(r.task.ID, taskRankOf(r.task), r)
	q.dirty = true
	p.rankTeam(env, tq)
}

func (p *Placer) dequeue(r *record) {
	if r.queue == nil {
		return
	}
	tq := r.queue
	r.queue = nil
	tq.tasks.Remove(r.task.ID)
	if tq.tasks.Len() == 0 {
		tq.pool.order.Remove(tq.team)
		delete(tq.pool.queues, tq.team)
		delete(p.team(tq.team).queues, tq.pool.id)
	}
}

func taskRankOf(t *fleet.Task) taskRank {
	return taskRank{t.Spec.Precedence, t.Preemptions > 0, t.SubmitIndex}
}

// rankTeam updates the position of a team in the order of a pool, or records that it
// is at its limit.
func (p *Placer) rankTeam(env Env, tq *teamQueue) {
	_, first, _, ok := tq.tasks.Peek()
	if !ok {
		return
	}
	running := p.runningUnits(env, tq.team)
	rule := p.rules.Teams[tq.team]
	if running >= rule.Limit {
		tq.pool.order.Remove(tq.team)
		p.atLimit[tq.team] = true
		return
	}
	tq.pool.order.Set(tq.team, teamRank{first.precedence, p.load(env, tq.team, running), tq.team}, tq)
}

// runningUnits returns the number of running units of a team in the whole fleet:
// placed tasks, proposed placements and requests.
func (p *Placer) runningUnits(env Env, id model.TeamID) int {
	return env.Fleet.PlacedByTeam(id) + p.PendingByTeam(id) + env.RequestsRunning(id)
}

// retryLimited ranks the teams again that were at their limit.
func (p *Placer) retryLimited(env Env) {
	p.limitRetryAt = env.Now.Add(limitRetryInterval)
	teams := model.SortedKeys(p.atLimit)
	clear(p.atLimit)
	for _, id := range teams {
		for _, pid := range model.SortedKeys(p.pools) {
			if tq := p.pools[pid].queues[id]; tq != nil {
				p.rankTeam(env, tq)
				tq.pool.dirty = true
			}
		}
	}
}

// placeQueued proposes placements for the first tasks of a pool. It stops after
// noFitsPerPass tasks that fit no worker and continues at the next tick, so the work
// for one event is bounded and tasks that cannot run do not block others.
func (p *Placer) placeQueued(env Env, out *Output, q *pool) {
	p.checkHold(env, out, q)
	p.checkPreemption(env, out, q)
	p.requeueForFreed(env, q)
	noFits := 0
	for range placementsPerPass {
		r := p.nextTask(env, q)
		if r == nil {
			q.dirty = false
			return
		}
		if w := p.choose(q, r); w != nil {
			p.propose(env, out, r, w)
			p.requeueFitting(env, q, w)
			continue
		}
		p.startHold(env, q, r)
		p.startPreemption(env, q, r)
		p.delay(env, r, backoff(noFitDelayMin, noFitDelayMax, r.noFits))
		p.joinNoFitQueue(q, r)
		r.noFits++
		if noFits++; noFits >= noFitsPerPass {
			return
		}
	}
}

// nextTask returns the first task of the first team that is below its limit. A team's
// load changes without its rank in each pool being updated, so the head is ranked
// again until it stays the head.
func (p *Placer) nextTask(env Env, q *pool) *record {
	for {
		id, rank, tq, ok := q.order.Peek()
		if !ok {
			return nil
		}
		p.rankTeam(env, tq)
		if again, now, _, ok := q.order.Peek(); ok && again == id && now == rank {
			_, _, r, _ := tq.tasks.Peek()
			return r
		}
	}
}

// propose proposes to place a task on a worker. The task counts as running from then
// on.
func (p *Placer) propose(env Env, out *Output, r *record, w *worker) {
	tq := r.queue // may be nil for a task that a worker was held for
	p.dequeue(r)
	r.pending = true
	p.team(r.task.Team).pending++
	p.attach(env, r, w)
	if tq != nil {
		p.rankTeam(env, tq)
	}
	out.propose(fleet.Command{At: env.Now, PlaceTask: &fleet.PlaceTask{
		Task: r.task.ID, Worker: w.id, Inc: w.inc,
	}})
}
