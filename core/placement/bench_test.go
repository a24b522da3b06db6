package placement

import (
	"fmt"
	"testing"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

var benchWorkers = []int{50, 100, 200, 690}

// newBench returns n workers with two running tasks each, and ten queued tasks for
// each worker that fit on none of them at present.
func newBench(b *testing.B, n int) *fixture {
	f := newFixture(b, n)
	for i := range 12 * n {
		f.submit(model.TaskID(fmt.Sprint("t", i)), func(c *fleet.SubmitTask) { c.Spec.Size.MilliCPU = capacity.MilliCPU / 2 })
	}
	for f.fleet.PlacedByTeam("press") < 2*n {
		f.now = f.now.Add(model.Millisecond)
		f.do(f.p.Advance)
	}
	return f
}

// BenchmarkReport measures the handling of a report from a worker with two running
// tasks.
func BenchmarkReport(b *testing.B) {
	for _, n := range benchWorkers {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newBench(b, n)
			reports := make([]message.WorkerReport, n)
			for i := range reports {
				w := f.p.workers[hostName(i)]
				reports[i] = message.WorkerReport{
					Worker: w.id, Inc: w.inc, Seq: w.seq, DataCentre: w.host.DataCentre, Rack: w.host.Rack, Capacity: capacity,
				}
				for _, id := range model.SortedKeys(w.runs) {
					reports[i].Runs = append(reports[i].Runs, f.run(id, message.RunRunning))
				}
			}
			env := f.env()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := &reports[i%n]
				m.Seq++
				env.Now++
				var out Output
				f.p.Report(env, &out, m)
			}
		})
	}
}

// BenchmarkPlacement measures choosing a worker for a task, proposing the placement
// and undoing it, with ten queued tasks for each worker.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range benchWorkers {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(b, n)
			for i := range 10 * n {
				f.submit(model.TaskID(fmt.Sprint("t", i)), nil)
			}
			q := f.p.pools["a"]
			env := f.env()
			b.ReportAllocs()
			for b.Loop() {
				r := f.p.nextTask(env, q)
				var out Output
				f.p.propose(env, &out, r, f.p.choose(q, r))
				f.p.detach(env, r)
				f.p.enqueue(env, r)
			}
		})
	}
}

// BenchmarkPreempt measures the search for lent capacity for one task, with two
// preemptible runs on each worker.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range benchWorkers {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newBench(b, n)
			for i := range n {
				var runs []message.TaskRun
				for _, id := range model.SortedKeys(f.p.workers[hostName(i)].runs) {
					runs = append(runs, f.run(id, message.RunRunning))
				}
				f.report(hostName(i), runs...)
			}
			f.submit("claim", func(c *fleet.SubmitTask) { c.Team = "archive" })
			q, r, env := f.p.pools["a"], f.p.records["claim"], f.env()
			r.noFits = noFitsBeforePreemption
			b.ReportAllocs()
			for b.Loop() {
				f.p.startPreemption(env, q, r)
				q.preemption.worker.held, q.preemption.victim.eviction = false, ""
				f.p.refreshWorker(env, q.preemption.worker)
				q.preemption, q.preemptAfter = nil, 0
			}
		})
	}
}
