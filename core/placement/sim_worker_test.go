package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

type runID struct {
	task  model.TaskID
	epoch uint64
}

// simRun is one run on a simulated worker.
type simRun struct {
	phase     message.TaskRunPhase
	finishAt  model.Time // when its work is complete
	leaseEnd  model.Time // when its lease expires, by the simulation's clock
	maxRunEnd model.Time // when its maximum run time is reached
	startedAt model.Time
	usage     model.Resources

	throttled bool
}

// throttle halves the speed of the run. Repeated calls have no further effect.
func (r *simRun) throttle(now model.Time) {
	if r.throttled {
		return
	}
	r.throttled = true
	r.finishAt = now.Add(2 * r.finishAt.Sub(now))
	r.maxRunEnd = r.startedAt.Add(2 * r.maxRunEnd.Sub(r.startedAt))
	r.usage.MilliCPU /= 2
}

// simWorker follows the protocol of workers: it runs a task only under a lease,
// reports every run until it is told to forget it, and has one report in flight at a
// time.
type simWorker struct {
	id          model.HostID
	dc          model.DataCentreID
	rack        model.RackID
	clockRate   float64 // rate of its clock relative to the leader's
	failsTasks  bool    // every task fails on it
	incarnation int
	image       string
	seq         uint64
	runs        map[runID]*simRun
	silentUntil model.Time // sends no reports until then
	downUntil   model.Time // down until then
	nextReport  model.Time
	newImage    string
}

func (w *simWorker) inc() model.Incarnation {
	return model.Incarnation(fmt.Sprintf("%s-%d", w.id, w.incarnation))
}

// restart starts a new incarnation, which has no runs.
func (w *simWorker) restart() {
	w.incarnation++
	w.seq = 0
	w.runs = make(map[runID]*simRun)
}

// step ends the runs whose work is complete, or whose lease or maximum run time is
// over.
func (w *simWorker) step(s *sim) {
	for id, r := range w.runs {
		if r.phase != message.RunRunning {
			continue
		}
		switch {
		case s.now >= r.leaseEnd:
			r.phase = message.RunStopped
		case s.now >= r.maxRunEnd || w.failsTasks:
			r.phase = message.RunFailed
			s.failedRuns[id.task]++
		case s.now >= r.finishAt:
			r.phase = message.RunFinished
		}
	}
}

func (w *simWorker) report(s *sim) message.WorkerReport {
	w.seq++
	m := message.WorkerReport{
		Worker: w.id, Inc: w.inc(), DataCentre: w.dc, Rack: w.rack, Image: w.image, Seq: w.seq,
		Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 32000},
	}
	for id, r := range w.runs {
		usage := model.Resources{}
		if r.phase == message.RunRunning && s.now > r.startedAt.Add(model.Second) {
			usage = r.usage
		}
		m.Runs = append(m.Runs, message.TaskRun{
			Task: id.task, Epoch: id.epoch, Phase: r.phase, Usage: usage, Ran: s.now.Sub(r.startedAt),
			Throttled: r.throttled,
		})
	}
	slices.SortFunc(m.Runs, func(a, b message.TaskRun) int { return cmp.Compare(a.Task, b.Task) })
	return m
}

// applyOrders carries out the orders in the reply to a report that was sent at the
// given time.
func (w *simWorker) applyOrders(s *sim, reply message.ReportReply, sent model.Time) {
	for _, o := range reply.Orders {
		id := runID{o.Task, o.Epoch}
		r := w.runs[id]
		until := sent.Add(model.Duration(float64(o.Lease) * w.clockRate))
		switch {
		case o.Kind == message.OrderRun && r == nil && s.now < until:
			w.startRun(s, id, o, until)
		case r == nil:
		case o.Kind == message.OrderRun && r.phase == message.RunRunning:
			r.leaseEnd = max(r.leaseEnd, until)
		case o.Kind == message.OrderForget:
			delete(w.runs, id)
		case r.phase == message.RunRunning && o.Kind == message.OrderThrottle:
			r.throttle(s.now)
		case r.phase == message.RunRunning && o.Kind == message.OrderCheckpoint && s.chance(0.7):
			r.phase = message.RunSaved
			s.savedRuns[id.task]++
			s.remainingWork[id.task] -= min(s.remainingWork[id.task], s.now.Sub(r.startedAt))
		case r.phase == message.RunRunning && !o.Keep:
			r.phase = message.RunStopped
		}
	}
	if reply.Reboot {
		w.newImage = reply.Image
		w.restart()
		w.downUntil = s.now.Add(model.Duration(5+rand.New(s.src).IntN(15)) * model.Second)
	}
}

func (w *simWorker) startRun(s *sim, id runID, o message.Order, until model.Time) {
	w.runs[id] = &simRun{
		phase: message.RunRunning, startedAt: s.now, leaseEnd: until,
		finishAt: s.now.Add(s.remainingWork[id.task]), maxRunEnd: s.now.Add(o.MaxRun), usage: s.real[id.task],
	}
	s.checkStart(w, id.task)
}
