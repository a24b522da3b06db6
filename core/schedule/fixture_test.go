package schedule

import (
	"testing"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// bench is a scheduler with workers whose answers the test gives itself.
type bench struct {
	t     testing.TB
	now   model.Time
	index uint64
	state *jobs.State
	s     *Scheduler
	calls []order.Call

	logged map[effect.Code]int
}

func newBench(t testing.TB, workers ...jobs.Worker) *bench {
	b := &bench{t: t, now: 1000 * model.Time(model.Second), state: &jobs.State{}, logged: make(map[effect.Code]int)}
	b.apply(jobs.Command{Configure: &jobs.Config{Version: 1, Queues: []jobs.Queue{
		{ID: "q", Service: "render", MaxAttempts: 2, Stretch: 1.5, Target: 600 * ms},
	}, Services: map[model.ServiceID]jobs.Service{"render": {}}, Teams: map[model.TeamID]jobs.Team{
		"press": {Cap: model.Resources{MilliCPU: 3000}},
	}}})
	for i := range workers {
		workers[i].Service, workers[i].Address = "render", string(workers[i].ID)
		b.apply(jobs.Command{Announce: &workers[i]})
	}
	b.s = New(b.env())
	b.advance()
	for i := range workers {
		b.answerPoll(workers[i].ID, nil, nil)
	}
	return b
}

func testWorker(id model.WorkerID) jobs.Worker {
	return jobs.Worker{ID: id, Host: model.HostID("host-" + id), Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000}}
}

func (b *bench) env() Env {
	return Env{Now: b.now, Clock: b.now, Term: 3, State: b.state, Bounds: simBounds}
}

func (b *bench) act(handle func(*Out)) {
	var out Out
	handle(&out)
	b.s.Place(b.env(), &out)
	for _, e := range out.Effects {
		switch e := e.(type) {
		case effect.CallWorker:
			b.calls = append(b.calls, e.Call)
		case effect.Log:
			b.logged[e.Code]++
		}
	}
	for _, c := range out.Proposals {
		b.commit(c)
	}
}

func (b *bench) commit(c jobs.Command) {
	result := b.apply(c)
	b.act(func(out *Out) { b.s.Committed(b.env(), out, &c, result) })
}

func (b *bench) apply(c jobs.Command) jobs.Result {
	b.index++
	return b.state.Apply(&c, b.index, b.now)
}

func (b *bench) advance() { b.act(func(out *Out) { b.s.Advance(b.env(), out) }) }

func (b *bench) pass(d model.Duration) {
	b.now = b.now.Add(d)
	b.advance()
}

// take returns the calls that were made to a worker and are not polls.
func (b *bench) take(id model.WorkerID) []order.Call {
	var list, rest []order.Call
	for _, c := range b.calls {
		if c.Worker == id && c.Hold == nil {
			list = append(list, c)
		} else {
			rest = append(rest, c)
		}
	}
	b.calls = rest
	return list
}

// answerPoll answers the latest poll of a worker. Its clock is the bench's.
func (b *bench) answerPoll(id model.WorkerID, running []order.Running, ended []order.Ended) {
	b.list(id, order.Reply{Running: running, Ended: ended})
}

// list answers the latest poll of a worker with the lists of a reply. Its clock is the
// bench's if the reply has none.
func (b *bench) list(id model.WorkerID, r order.Reply) {
	for i := len(b.calls) - 1; i >= 0; i-- {
		c := b.calls[i]
		if c.Worker != id || c.Hold == nil {
			continue
		}
		b.calls = append(b.calls[:i], b.calls[i+1:]...)
		r.Call, r.Status = c, order.Accepted
		if r.Clock == 0 {
			r.Clock = order.ClockMS(b.now / model.Time(ms))
		}
		b.act(func(out *Out) { b.s.Replied(b.env(), out, &r) })
		return
	}
	b.t.Fatalf("no poll of %s is out", id)
}

func (b *bench) submit(id model.JobID, steps ...jobs.Step) {
	b.commit(jobs.Command{Submit: &jobs.Job{ID: id, Queue: "q", Service: "render", Team: "press", Steps: steps, Rounds: make([]jobs.Round, 1)}})
}

func cores(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000} }

func ref(job model.JobID, index, run int) jobs.RunRef {
	return jobs.RunRef{TaskRef: jobs.TaskRef{Job: job, Index: index}, Run: run}
}

func atWork(r jobs.RunRef) order.Running { return order.Running{RunRef: r, Percent: 100} }
