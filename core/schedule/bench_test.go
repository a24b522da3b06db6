package schedule

import (
	"fmt"
	"testing"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// BenchmarkStart measures the scheduler's time for one task, from the acceptance
// of its job to its recorded end, with 50 and 350 workers that are half full.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			t := benchOf(b, workers)
			b.ResetTimer()
			for i := range b.N {
				id := model.JobID(fmt.Sprintf("%016x", i))
				job := &jobs.Job{ID: id, Queue: "q", Service: "render", Steps: []jobs.Step{{Tasks: 1, Size: cores(1), Estimate: model.Second}}}
				t.s.Admit(t.env(), t.state.Config.Queue("q"), job) // refused: the pool is full
				t.submit(id, jobs.Step{Tasks: 1, Size: cores(1), Estimate: model.Second})
				run := ref(id, 0, 1)
				w := t.s.runs[run].worker
				t.calls = t.calls[:0]
				var out Out
				t.s.Replied(t.env(), &out, &order.Reply{
					Call: order.Call{Worker: w.info.ID, Life: w.info.Life, Token: w.token, Seq: w.pollOut, Hold: &order.Hold{}}, Status: order.Accepted,
					Clock: w.clock + 1, Ended: []order.Ended{{Number: w.recording + 1, RunRef: run, Outcome: jobs.OutcomeDone}},
				})
				for _, c := range out.Proposals {
					t.commit(c)
				}
			}
		})
	}
}

// BenchmarkTick measures the scheduler's time for one tick.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{50, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			t := benchOf(b, workers)
			b.ResetTimer()
			for range b.N {
				t.calls = t.calls[:0]
				t.now = t.now.Add(model.Microsecond)
				t.advance()
			}
		})
	}
}

// BenchmarkCancel measures the scheduler's time for a job that is accepted and
// cancelled while others take the whole fleet.
func BenchmarkCancel(b *testing.B) {
	for _, workers := range []int{10, 350} {
		b.Run(fmt.Sprint(16*workers), func(b *testing.B) {
			t := benchOfBacklog(b, workers, 0)
			b.ResetTimer()
			for i := range b.N {
				id := model.JobID(fmt.Sprintf("%016x", i))
				t.submit(id, jobs.Step{Tasks: 8, Size: cores(4), Estimate: model.Second})
				t.commit(jobs.Command{Cancel: &jobs.Cancel{Job: id}})
			}
		})
	}
}

// BenchmarkBacklog measures the scheduler's time for the end of a task whose place
// another takes, while many wait.
func BenchmarkBacklog(b *testing.B) {
	for _, waiting := range []int{10, 500} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			t := benchOfBacklog(b, 70, waiting)
			b.ResetTimer()
			for i := range b.N {
				t.submit(model.JobID(fmt.Sprintf("%016x", i)), jobs.Step{Tasks: 1, Size: cores(4), Estimate: model.Second})
				t.endOne(model.WorkerID(fmt.Sprintf("w%03d", i%70)))
			}
		})
	}
}

// BenchmarkEmpty measures the scheduler's time for one tick of a wave over half of the
// hosts, with long-running tasks of one step that move one by one.
func BenchmarkEmpty(b *testing.B) {
	for _, workers := range []int{7, 70} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			t := benchOfWave(b, workers)
			b.ResetTimer()
			for range b.N {
				t.emptyHalf()
			}
		})
	}
}

func benchOf(b *testing.B, workers int) *bench {
	list := make([]jobs.Worker, workers)
	for i := range list {
		list[i] = testWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		list[i].Capacity.MilliCPU = 64_000
	}
	t := newBench(b, list...)
	t.state.Config.Teams["press"] = jobs.Team{}
	for i := range workers {
		t.submit(model.JobID(fmt.Sprintf("%015xf", i)), jobs.Step{Tasks: 8, Size: cores(4), Estimate: model.Second})
	}
	return t
}

// benchOfBacklog has workers that are full, and jobs of eight tasks that wait.
func benchOfBacklog(t testing.TB, workers, waiting int) *bench {
	list := make([]jobs.Worker, workers)
	for i := range list {
		list[i] = testWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		list[i].Capacity = model.Resources{MilliCPU: 64_000, MemoryMB: 64_000}
	}
	b := newBench(t, list...)
	b.state.Config.Teams["press"] = jobs.Team{}
	for i := range workers {
		b.submit(model.JobID(fmt.Sprintf("%015xf", i)), jobs.Step{Tasks: 16, Size: cores(4), Estimate: model.Second})
	}
	for i := range waiting {
		b.submit(model.JobID(fmt.Sprintf("%015xe", i)), jobs.Step{Tasks: 8, Size: cores(4), Estimate: model.Second})
	}
	return b
}

// endOne has a worker list the end of its first run.
func (b *bench) endOne(id model.WorkerID) {
	w := b.s.workers[id]
	done := sortedRunsOf(w)[0].ref
	b.calls = b.calls[:0]
	b.act(func(out *Out) {
		b.s.Replied(b.env(), out, &order.Reply{
			Call: order.Call{Worker: id, Life: w.info.Life, Token: w.token, Seq: w.pollOut, Hold: &order.Hold{}}, Status: order.Accepted,
			Clock: w.clock + 1, Ended: []order.Ended{{Number: w.recording + 1, RunRef: done, Outcome: jobs.OutcomeDone}},
		})
	})
}

// benchOfWave has workers that are full of long-running tasks of one step.
func benchOfWave(t testing.TB, workers int) *bench {
	list := make([]jobs.Worker, workers)
	for i := range list {
		list[i] = testWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		list[i].Capacity = model.Resources{MilliCPU: 6000, MemoryMB: 64_000}
	}
	b := newBench(t, list...)
	b.state.Config.Teams["press"] = jobs.Team{}
	b.submit("0000000000000001", jobs.Step{Tasks: 6 * workers, Size: cores(1), LongRunning: true, MissAllowed: 1})
	for i := range list {
		var running []order.Running
		for _, r := range sortedRunsOf(b.s.workers[list[i].ID]) {
			running = append(running, atWork(r.ref))
		}
		b.answerPoll(list[i].ID, running, nil)
	}
	return b
}

// emptyHalf asks for the first half of the hosts to become empty.
func (b *bench) emptyHalf() {
	hosts := make([]model.HostID, len(b.s.workers)/2)
	for i := range hosts {
		hosts[i] = model.HostID(fmt.Sprintf("host-w%03d", i))
	}
	b.s.Empty(b.env(), &Out{}, hosts...)
}
