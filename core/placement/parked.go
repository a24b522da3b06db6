package placement

import (
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
)

// parked are the tasks of one team in one pool that fitted no worker and are
// delayed, the smallest first. Without them, what becomes free in the meantime
// goes to teams that have more for their share.
type parked struct {
	team  model.TeamID
	tasks *pq.Queue[model.TaskID, parkRank, *record]
}

type parkRank struct {
	milliCPU    int64
	submitIndex uint64
}

func (a parkRank) before(b parkRank) bool {
	if a.milliCPU != b.milliCPU {
		return a.milliCPU < b.milliCPU
	}
	return a.submitIndex < b.submitIndex
}

// free notes that a run on the worker has ended.
func (q *pool) free(w *worker) {
	if !w.freed {
		w.freed = true
		q.freed = append(q.freed, w)
	}
}

// unparkFreed ends the delay of a task for each worker on which a run has ended.
func (p *Placer) unparkFreed(env Env, q *pool) {
	for _, w := range q.freed {
		w.freed = false
		p.unpark(env, q, w)
	}
	q.freed = q.freed[:0]
}

// park notes a delayed task of a pool.
func (p *Placer) park(q *pool, r *record) {
	t := q.parked[r.task.Team]
	if t == nil {
		t = &parked{team: r.task.Team, tasks: pq.New[model.TaskID, parkRank, *record](parkRank.before)}
		q.parked[r.task.Team] = t
	}
	r.parked = t
	t.tasks.Set(r.task.ID, parkRank{p.need(r.task).MilliCPU, r.task.SubmitIndex}, r)
}

func (p *Placer) leaveParked(r *record) {
	if r.parked != nil {
		r.parked.tasks.Remove(r.task.ID)
		r.parked = nil
	}
}

// undelay puts a delayed task back into its queue.
func (p *Placer) undelay(env Env, r *record) {
	p.leaveParked(r)
	r.delayed = false
	p.timers.Remove(timerID{kind: timerDelayed, task: r.task.ID})
	p.enqueue(env, r)
}

// unpark ends the delay of one task that fits what is free on a worker: the
// smallest of the team that has the least for its share.
func (p *Placer) unpark(env Env, q *pool, w *worker) {
	if w.node == nil {
		return
	}
	var first *record
	var rank teamRank
	for id, t := range q.parked {
		_, _, r, ok := t.tasks.Peek()
		if !ok || !p.need(r.task).Fits(w.free()) {
			continue
		}
		running := p.running(env, id)
		candidate := teamRank{r.task.Spec.Precedence, p.load(env, id, running), id}
		if running < p.rules.Teams[id].Limit && (first == nil || candidate.before(rank)) {
			first, rank = r, candidate
		}
	}
	if first != nil {
		p.undelay(env, first)
	}
}
