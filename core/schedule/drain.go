package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// DrainBlock says why a run stays on a host that is being drained. The zero value means
// that nothing runs there.
type DrainBlock string

// The reasons. If the runs of a host have several, that of the first run counts.
const (
	BlockedByMaxUnavailable DrainBlock = "max_unavailable" // too many tasks of the step are not up
	BlockedByCapacity       DrainBlock = "no_capacity"     // no host that stays has capacity for a long-running task
	BlockedBySilence        DrainBlock = "worker_silent"   // the state of a long-running run is not known
	BlockedByStart          DrainBlock = "starting"        // a long-running run is not up yet
	BlockedByStop           DrainBlock = "stopping"        // the end of a stopped run is not known yet
	BlockedByRuns           DrainBlock = "runs"            // other runs, which end by themselves
)

// DrainBlock returns why a host is not drained yet, as of the latest call of DrainHosts.
func (s *Scheduler) DrainBlock(host model.HostID) DrainBlock {
	if b := s.drainBlocks[host]; b != "" {
		return b
	}
	if s.PendingRuns(host) > 0 {
		return BlockedByRuns
	}
	return ""
}

// block records why a run stays on its host, unless an earlier one has a reason.
func (d *hostDrain) block(r *run, b DrainBlock) {
	if d.s.drainBlocks[r.worker.info.Host] == "" {
		d.s.drainBlocks[r.worker.info.Host] = b
	}
}

// drainBlock returns why a long-running run may not be stopped now, or the zero value.
func (d *hostDrain) drainBlock(r *run) DrainBlock {
	switch {
	case r.stopping:
		return BlockedByStop
	case !r.worker.isFresh(d.env.Now):
		return BlockedBySilence
	case !r.isUp(d.env):
		return BlockedByStart
	case !d.mayStop(r):
		return BlockedByMaxUnavailable
	case !d.hasPlace(r):
		return BlockedByCapacity
	}
	return ""
}

// hasPlace reports whether the task of a run could start again at once on another host
// that stays.
func (d *hostDrain) hasPlace(r *run) bool {
	if !d.env.Bounds.Enabled(WavePlanning) {
		return d.fitsElsewhere(r)
	}
	service := r.worker.info.Service
	if d.places == nil {
		d.places = make(map[model.ServiceID]*drainPlaces)
	}
	if d.places[service] == nil {
		d.places[service] = d.newPlaces(service)
	}
	return d.places[service].reserve(r.step, r.ref.TaskRef, r.worker)
}

// drainPlaces holds the capacity of a pool's workers on hosts that stay, less that of
// tasks which wait for it already. Without that, one free place would be counted for a
// task of every step, and the tasks that find none are down until another is free.
type drainPlaces struct {
	workers []*worker
	free    map[*worker]model.Resources
	taken   map[placeKey]int // reserved places of a step by worker
}

type placeKey struct {
	worker *worker
	step   jobs.StepRef
}

// newPlaces returns the places of a pool that are left once every waiting long-running
// task and every one that is being stopped has one.
func (d *hostDrain) newPlaces(service model.ServiceID) *drainPlaces {
	p := &drainPlaces{workers: d.workersOnStayingHosts(service), free: make(map[*worker]model.Resources), taken: make(map[placeKey]int)}
	for _, w := range p.workers {
		p.free[w] = w.free()
	}
	pool := d.s.pool(service)
	for _, job := range pool.jobs {
		if !job.longRunning {
			continue
		}
		job.refreshReady(d.env)
		for _, ref := range job.ready {
			if step := &job.job.Steps[ref.Step]; step.LongRunning && !d.s.proposed[ref] {
				p.reserve(step, ref, nil)
			}
		}
	}
	for _, w := range pool.workers {
		if w.longRunning == 0 {
			continue
		}
		for _, r := range sortedRunsOf(w) {
			if r.step.LongRunning && r.stopping && d.s.active[r.ref.Job] != nil {
				p.reserve(r.step, r.ref.TaskRef, r.worker)
			}
		}
	}
	return p
}

// reserve reserves a place for a task on another worker than the present one, and reports
// whether there was one.
func (p *drainPlaces) reserve(step *jobs.Step, ref jobs.TaskRef, present *worker) bool {
	claim := step.Claim()
	for _, w := range p.workers {
		key := placeKey{w, ref.StepRef()}
		if w == present || !claim.Fits(p.free[w]) || !meetsConstraints(w, step, ref) {
			continue
		}
		if step.PerWorker > 0 && w.tasksOf(ref)+p.taken[key] >= step.PerWorker {
			continue
		}
		p.free[w] = p.free[w].Sub(claim)
		p.taken[key]++
		return true
	}
	return false
}

// tasksOf counts the runs of the step of a task on a worker.
func (w *worker) tasksOf(ref jobs.TaskRef) int {
	n := 0
	for other := range w.runs {
		if other.StepRef() == ref.StepRef() {
			n++
		}
	}
	return n
}
