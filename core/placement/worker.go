package placement

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// worker is the placer's state of one host, from its reports and the replicated
// state.
type worker struct {
	id             model.HostID
	host           fleet.Host
	known          bool // host is set from the replicated state
	reportProposed bool // a ReportHost is proposed

	reported   bool // has sent a report in this term
	lastReport model.Time
	inc        model.Incarnation
	seq        uint64
	newInc     model.Incarnation // incarnation that has sent one report so far; see accept
	newIncSeq  uint64

	runs        map[model.TaskID]*record // placed or proposed to be placed here
	reserved    model.Resources          // by runs
	orphanUsage model.Resources          // usage of reported runs that are not placed here
	health      workerHealth

	held  bool     // reserved for a hold or a preemption
	freed bool     // in pool.freed
	node  *fitNode // node in the tree of its pool; nil if not usable or held
	tree  *fitTree
}

func (p *Placer) worker(id model.HostID) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{id: id, runs: make(map[model.TaskID]*record)}
		w.health.reset()
		p.workers[id] = w
	}
	return w
}

// leasesEnd returns the time by which every lease that any leader may have granted to
// the worker has expired.
func (p *Placer) leasesEnd(w *worker) model.Time {
	return max(w.lastReport, p.termStart).Add(Lease + LeaseMargin)
}

// syncHost updates a worker from the replicated state of its host.
func (p *Placer) syncHost(env Env, id model.HostID) {
	host, ok := env.Fleet.Hosts[id]
	if !ok {
		return
	}
	w := p.worker(id)
	if w.known && w.host.Up {
		p.pool(w.host.Pool).countCapacity(w.host.Capacity, -1)
		p.pool(w.host.Pool).removeMember(w)
		p.total = p.total.Sub(w.host.Capacity)
	}
	w.host = host
	w.known = true
	if host.Up {
		p.pool(host.Pool).countCapacity(host.Capacity, 1)
		p.pool(host.Pool).addMember(w)
		p.total = p.total.Add(host.Capacity)
	}
	if host.Up && !p.timers.Has(timerID{kind: timerLost, host: id}) {
		p.setLostTimer(env, w)
	}
	p.refreshWorker(env, w)
}

func (p *Placer) hostReported(env Env, id model.HostID) {
	p.worker(id).reportProposed = false
	p.syncHost(env, id)
}

func (p *Placer) setLostTimer(env Env, w *worker) {
	p.setTimer(timerID{kind: timerLost, host: w.id}, max(p.leasesEnd(w), env.Now))
}

// usable reports whether the worker may get a new task.
func (p *Placer) usable(env Env, w *worker) bool {
	switch {
	case !w.known || !w.host.Up || w.host.Phase != fleet.HostServing:
		return false
	case !w.reported || env.Now >= w.lastReport.Add(SilenceTimeout) || w.newInc != "":
		return false
	case p.rules.DataCentres[w.host.DataCentre].Out:
		return false
	}
	return w.health.allows(env.Now, len(w.runs))
}

// mayStart reports whether a task that is placed on the worker may still be started.
func (p *Placer) mayStart(w *worker) bool {
	return w.host.Phase == fleet.HostServing && !p.rules.DataCentres[w.host.DataCentre].Out
}

func (w *worker) free() model.Resources {
	return w.host.Capacity.Sub(w.reserved).Sub(w.orphanUsage)
}

// refreshWorker adds the worker to the tree of its pool, updates its position or
// removes it.
func (p *Placer) refreshWorker(env Env, w *worker) {
	if w.node != nil {
		w.tree.remove(w.node)
		w.node, w.tree = nil, nil
	}
	if !p.usable(env, w) {
		return
	}
	q := p.pool(w.host.Pool)
	q.dirty = true
	if w.held {
		return
	}
	w.tree = q.treeOf(w.host.Capacity)
	w.node = w.tree.insert(w)
}

// reserve changes the amount of its worker's resources that is reserved for the run.
func (p *Placer) reserve(env Env, r *record, amount model.Resources) {
	w := r.worker
	w.reserved = w.reserved.Sub(r.reserved).Add(amount)
	p.updateUsage(env, r.task.Team, r.reserved, amount)
	r.reserved = amount
	p.refreshWorker(env, w)
}

// accept reports whether a report is new and comes from the current incarnation of
// the worker. A new incarnation is accepted with its second report, if the current
// one has not reported in between: a delayed report of an earlier incarnation must
// not end the tasks of the current one.
func (w *worker) accept(m *message.WorkerReport) bool {
	switch {
	case !w.reported || m.Inc == w.inc:
		if w.reported && m.Seq <= w.seq {
			return false
		}
	case m.Inc != w.newInc:
		w.newInc, w.newIncSeq = m.Inc, m.Seq
		return false
	case m.Seq <= w.newIncSeq:
		return false
	}
	w.inc, w.seq, w.newInc, w.newIncSeq = m.Inc, m.Seq, "", 0
	return true
}

// proposeHostReport proposes to record the reported attributes of the host if they
// have changed.
func (p *Placer) proposeHostReport(env Env, out *Output, w *worker, m *message.WorkerReport) {
	h := w.host
	changed := !w.known || !h.Up || h.DataCentre != m.DataCentre || h.Rack != m.Rack ||
		h.Capacity != m.Capacity || h.Image != m.Image || h.Inc != m.Inc
	if !changed || w.reportProposed {
		return
	}
	w.reportProposed = true
	if !w.known || !h.Up {
		out.log(effect.Log{Code: effect.WorkerSeen, Host: w.id})
	}
	out.propose(fleet.Command{At: env.Now, ReportHost: &fleet.ReportHost{
		Host: w.id, DataCentre: m.DataCentre, Rack: m.Rack, Capacity: m.Capacity, Image: m.Image,
		Inc: m.Inc, Up: true,
	}})
}

// workerLost proposes to end the runs of a worker whose leases have expired, and to
// mark its host as down.
func (p *Placer) workerLost(env Env, out *Output, w *worker) {
	if end := p.leasesEnd(w); env.Now < end {
		p.setTimer(timerID{kind: timerLost, host: w.id}, end)
		return
	}
	if !w.host.Up && len(w.runs) == 0 {
		return
	}
	if w.known && w.host.Up && !w.reportProposed {
		w.reportProposed = true
		h := w.host
		if h.Phase != fleet.HostRebooting {
			out.log(effect.Log{Code: effect.WorkerSilent, Host: w.id})
		}
		out.propose(fleet.Command{At: env.Now, ReportHost: &fleet.ReportHost{
			Host: w.id, DataCentre: h.DataCentre, Rack: h.Rack, Capacity: h.Capacity, Image: h.Image,
			Inc: h.Inc,
		}})
	}
	for _, id := range model.SortedKeys(w.runs) {
		p.runLost(env, out, w.runs[id])
	}
	p.setTimer(timerID{kind: timerLost, host: w.id}, env.Now.Add(lostRetryDelay))
}

// mustReboot reports whether the host must reboot from the incarnation that sent the
// report: a reboot was ordered and has not happened, or the host came back with an
// image other than the wanted one.
func (w *worker) mustReboot(m *message.WorkerReport) bool {
	h := &w.host
	if h.Phase != fleet.HostRebooting {
		return false
	}
	wrongImage := h.ImageWant != "" && m.Image != h.ImageWant
	return wrongImage || h.RebootInc == "" || m.Inc == h.RebootInc
}
