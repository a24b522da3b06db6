package placement

import (
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
)

// noFitQueue holds the delayed tasks of one team in one pool that fitted no worker,
// smallest first. Capacity that becomes free is offered to them before their delay
// ends; otherwise it would go to teams that already use more relative to their share.
type noFitQueue struct {
	team  model.TeamID
	tasks *pq.Queue[model.TaskID, noFitRank, *record]
}

type noFitRank struct {
	milliCPU    int64
	submitIndex uint64
}

func (a noFitRank) before(b noFitRank) bool {
	if a.milliCPU != b.milliCPU {
		return a.milliCPU < b.milliCPU
	}
	return a.submitIndex < b.submitIndex
}

// recordFreed records that a run on the worker has ended.
func (q *pool) recordFreed(w *worker) {
	if !w.freed {
		w.freed = true
		q.freed = append(q.freed, w)
	}
}

// requeueForFreed ends the delay of one task for each worker on which a run has ended
// since the last pass.
func (p *Placer) requeueForFreed(env Env, q *pool) {
	for _, w := range q.freed {
		w.freed = false
		p.requeueFitting(env, q, w)
	}
	q.freed = q.freed[:0]
}

// joinNoFitQueue adds a delayed task that fitted no worker to the noFitQueue of its
// team.
func (p *Placer) joinNoFitQueue(q *pool, r *record) {
	t := q.noFitQueues[r.task.Team]
	if t == nil {
		t = &noFitQueue{team: r.task.Team, tasks: pq.New[model.TaskID, noFitRank, *record](noFitRank.before)}
		q.noFitQueues[r.task.Team] = t
	}
	r.noFitQueue = t
	t.tasks.Set(r.task.ID, noFitRank{p.need(r.task).MilliCPU, r.task.SubmitIndex}, r)
}

func (p *Placer) leaveNoFitQueue(r *record) {
	if r.noFitQueue != nil {
		r.noFitQueue.tasks.Remove(r.task.ID)
		r.noFitQueue = nil
	}
}

// requeue moves a delayed task back to the queue of its team.
func (p *Placer) requeue(env Env, r *record) {
	p.leaveNoFitQueue(r)
	r.delayed = false
	p.timers.Remove(timerID{kind: timerDelayed, task: r.task.ID})
	p.enqueue(env, r)
}

// requeueFitting ends the delay of one task that fits the free resources of a worker:
// the smallest task of the first team by teamRank.
func (p *Placer) requeueFitting(env Env, q *pool, w *worker) {
	if w.node == nil {
		return
	}
	var first *record
	var rank teamRank
	for id, t := range q.noFitQueues {
		_, _, r, ok := t.tasks.Peek()
		if !ok || !p.need(r.task).Fits(w.free()) {
			continue
		}
		running := p.runningUnits(env, id)
		candidate := teamRank{r.task.Spec.Precedence, p.load(env, id, running), id}
		if running < p.rules.Teams[id].Limit && (first == nil || candidate.before(rank)) {
			first, rank = r, candidate
		}
	}
	if first != nil {
		p.requeue(env, first)
	}
}
