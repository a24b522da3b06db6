package placement

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
)

type timerKind uint8

const (
	timerQuiet         timerKind = iota // a worker has sent no report for SilenceTimeout
	timerLost                           // the leases of a silent worker have expired
	timerQuarantineEnd                  // a quarantine ends
	timerDelayed                        // a task may be tried again
)

type timerID struct {
	kind timerKind
	host model.HostID
	task model.TaskID
}

// timer orders timers by due time. The ID breaks ties, so that the order is total.
type timer struct {
	at model.Time
	id timerID
}

func (a timer) before(b timer) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if a.id.kind != b.id.kind {
		return a.id.kind < b.id.kind
	}
	if a.id.host != b.id.host {
		return a.id.host < b.id.host
	}
	return a.id.task < b.id.task
}

func (p *Placer) setTimer(id timerID, at model.Time) {
	p.timers.Set(id, timer{at, id}, struct{}{})
}

// Advance handles the timers due at env.Now and places queued tasks.
func (p *Placer) Advance(env Env, out *Output) {
	for {
		id, t, _, ok := p.timers.Peek()
		if !ok || t.at > env.Now {
			break
		}
		p.timers.Pop()
		p.expire(env, out, id)
	}
	if env.Now >= p.limitRetryAt {
		p.retryLimited(env)
	}
	if !env.Ready || !env.MayGrant {
		return
	}
	for _, id := range model.SortedKeys(p.pools) {
		if q := p.pools[id]; q.dirty || q.hold != nil || q.preemption != nil {
			p.placeQueued(env, out, q)
		}
	}
}

func (p *Placer) expire(env Env, out *Output, id timerID) {
	switch id.kind {
	case timerQuiet:
		p.refreshWorker(env, p.workers[id.host])
	case timerQuarantineEnd:
		out.log(effect.Log{Code: effect.WorkerReleased, Host: id.host})
		p.refreshWorker(env, p.workers[id.host])
	case timerLost:
		p.workerLost(env, out, p.workers[id.host])
	case timerDelayed:
		if r := p.records[id.task]; r != nil && r.delayed {
			p.requeue(env, r)
		}
	}
}
