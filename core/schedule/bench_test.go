package schedule

import (
	"fmt"
	"testing"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// BenchmarkStart measures the scheduler's time for one task, from the acceptance of its
// job to its recorded end, with 50, 350 and 3,000 half-full workers, and with four large tasks
// that wait and fit nowhere.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 350, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchmarkStart(b, newHalfFullFixture(b, workers)) })
	}
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprintf("%d-large-waiting", workers), func(b *testing.B) {
			benchmarkStart(b, newLargeWaitingFixture(b, workers))
		})
	}
}

func benchmarkStart(b *testing.B, f *fixture) {
	b.ResetTimer()
	for i := range b.N {
		id := model.JobID(fmt.Sprintf("%016x", i))
		job := &jobs.Job{ID: id, Queue: "q", Service: "render", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: model.Second}}}
		f.s.Admit(f.env(), f.state.Config.Queue("q"), job) // refused: the pool is full
		f.submit(id, jobs.Step{Tasks: 1, Size: cores(1), Estimate: model.Second})
		run := ref(id, 0, 1)
		w := f.s.runs[run].worker
		f.calls = f.calls[:0]
		var out Out
		f.s.Replied(f.env(), &out, &order.Reply{
			Call: order.Call{Worker: w.info.ID, Incarnation: w.info.Incarnation, Token: w.token, Seq: w.pendingPoll, Poll: &order.Poll{}}, Status: order.Accepted,
			Clock: w.clock + 1, Ended: []order.Ended{{Number: w.proposedThrough + 1, RunRef: run, Outcome: jobs.OutcomeDone}},
		})
		for _, c := range out.Proposals {
			f.commit(c)
		}
	}
}

// BenchmarkPlan measures one plan of a reservation. A pool makes one in planInterval and
// planWorkerTime for each worker at most.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newLargeWaitingFixture(b, workers)
			p := f.s.services["render"]
			h := *p.reservations.holds[0]
			for b.Loop() {
				f.s.plan(f.env(), p, &h)
			}
		})
	}
}

// BenchmarkTick measures the scheduler's time for one tick.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{50, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newHalfFullFixture(b, workers)
			b.ResetTimer()
			for range b.N {
				f.calls = f.calls[:0]
				f.now = f.now.Add(model.Microsecond)
				f.advance()
			}
		})
	}
}

// BenchmarkCancel measures the scheduler's time for a job that is accepted and cancelled
// while other jobs use the whole fleet.
func BenchmarkCancel(b *testing.B) {
	for _, workers := range []int{10, 350} {
		b.Run(fmt.Sprint(16*workers), func(b *testing.B) {
			f := newBacklogFixture(b, workers, 0)
			b.ResetTimer()
			for i := range b.N {
				id := model.JobID(fmt.Sprintf("%016x", i))
				f.submit(id, jobs.Step{Tasks: 8, Size: cores(4), Estimate: model.Second})
				f.commit(jobs.Command{Cancel: &jobs.Cancel{Job: id}})
			}
		})
	}
}

// BenchmarkBacklog measures the scheduler's time to handle the end of a task and to place
// another in its capacity, while many tasks wait.
func BenchmarkBacklog(b *testing.B) {
	for _, waiting := range []int{10, 500} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			f := newBacklogFixture(b, 70, waiting)
			b.ResetTimer()
			for i := range b.N {
				f.submit(model.JobID(fmt.Sprintf("%016x", i)), jobs.Step{Tasks: 1, Size: cores(4), Estimate: model.Second})
				f.endFirstRun(model.WorkerID(fmt.Sprintf("w%03d", i%70)))
			}
		})
	}
}

// BenchmarkDrain measures the scheduler's time for one tick of a wave over half of the
// hosts, with long-running tasks of one step of which one may be unavailable.
func BenchmarkDrain(b *testing.B) {
	for _, workers := range []int{7, 70} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newWaveFixture(b, workers)
			b.ResetTimer()
			for range b.N {
				f.drainHalf()
			}
		})
	}
}

// newHalfFullFixture returns workers of which each is half full.
func newHalfFullFixture(b *testing.B, workers int) *fixture {
	list := make([]jobs.Worker, workers)
	for i := range list {
		list[i] = testWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		list[i].Capacity.MilliCPU = 64_000
	}
	f := newFixture(b, list...)
	f.state.Config.Teams["press"] = jobs.Team{}
	for i := range workers {
		f.submit(model.JobID(fmt.Sprintf("%015xf", i)), jobs.Step{Tasks: 8, Size: cores(4), Estimate: model.Second})
	}
	return f
}

// newLargeWaitingFixture returns workers with 24 of 64 cores free, and four tasks of 40 cores
// that wait.
func newLargeWaitingFixture(b *testing.B, workers int) *fixture {
	list := make([]jobs.Worker, workers)
	for i := range list {
		list[i] = testWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		list[i].Capacity.MilliCPU = 64_000
	}
	f := newFixture(b, list...)
	f.state.Config.Teams["press"] = jobs.Team{}
	for i := range workers {
		f.submit(model.JobID(fmt.Sprintf("%015xf", i)), jobs.Step{Tasks: 1, Size: cores(40), Estimate: model.Second})
	}
	for i := range 4 {
		f.submit(model.JobID(fmt.Sprintf("large%d", i)), jobs.Step{Tasks: 1, Size: cores(40), Estimate: 10 * model.Second})
	}
	return f
}

// newBacklogFixture returns full workers and waiting jobs of eight tasks each.
func newBacklogFixture(t testing.TB, workers, waiting int) *fixture {
	list := make([]jobs.Worker, workers)
	for i := range list {
		list[i] = testWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		list[i].Capacity = model.Resources{MilliCPU: 64_000, MemoryMB: 64_000}
	}
	f := newFixture(t, list...)
	f.state.Config.Teams["press"] = jobs.Team{}
	for i := range workers {
		f.submit(model.JobID(fmt.Sprintf("%015xf", i)), jobs.Step{Tasks: 16, Size: cores(4), Estimate: model.Second})
	}
	for i := range waiting {
		f.submit(model.JobID(fmt.Sprintf("%015xe", i)), jobs.Step{Tasks: 8, Size: cores(4), Estimate: model.Second})
	}
	return f
}

// endFirstRun lets a worker report the end of its first run.
func (f *fixture) endFirstRun(id model.WorkerID) {
	w := f.s.workers[id]
	done := sortedRunsOf(w)[0].ref
	f.calls = f.calls[:0]
	f.act(func(out *Out) {
		f.s.Replied(f.env(), out, &order.Reply{
			Call: order.Call{Worker: id, Incarnation: w.info.Incarnation, Token: w.token, Seq: w.pendingPoll, Poll: &order.Poll{}}, Status: order.Accepted,
			Clock: w.clock + 1, Ended: []order.Ended{{Number: w.proposedThrough + 1, RunRef: done, Outcome: jobs.OutcomeDone}},
		})
	})
}

// newWaveFixture returns workers that are full of long-running tasks of one step.
func newWaveFixture(t testing.TB, workers int) *fixture {
	list := make([]jobs.Worker, workers)
	for i := range list {
		list[i] = testWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		list[i].Capacity = model.Resources{MilliCPU: 6000, MemoryMB: 64_000}
	}
	f := newFixture(t, list...)
	f.state.Config.Teams["press"] = jobs.Team{}
	f.submit("0000000000000001", jobs.Step{Tasks: 6 * workers, Size: cores(1), LongRunning: true, MaxUnavailable: 1})
	for i := range list {
		var running []order.Running
		for _, r := range sortedRunsOf(f.s.workers[list[i].ID]) {
			running = append(running, runningFully(r.ref))
		}
		f.answerPoll(list[i].ID, running, nil)
	}
	return f
}

// drainHalf drains the first half of the hosts.
func (f *fixture) drainHalf() {
	hosts := make([]model.HostID, len(f.s.workers)/2)
	for i := range hosts {
		hosts[i] = model.HostID(fmt.Sprintf("host-w%03d", i))
	}
	f.s.DrainHosts(f.env(), &Out{}, hosts...)
}
