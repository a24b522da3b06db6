package schedule

import (
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// A worker is detached when it is replaced under its id or leaves while it has runs. It
// gets no more calls but stops, and its runs keep their claims and their tasks until it is
// certain that they have ended. That is so
//
//   - when their lease has ended, and that of any later process that may run them,
//   - when a later process is known to run on the host under another id, which refuses
//     calls that name the earlier one, and no order can reach a process that starts after
//     it under the id,
//   - when a later process on the host under the same id has listed its runs in the answer
//     to a poll with its own token, sent when no order could reach a process that starts
//     after it: it refuses older orders from then on, and what it lists, it has started on
//     an order to the earlier process,
//   - when a process that is polled under the same id does not run them, and neither an order
//     nor a lease from before it lasts any longer.

// giveUpExpired gives up the runs of a worker whose lease has ended, except those that a
// later process of the worker may be running.
func (s *Scheduler) giveUpExpired(env Env, out *Out, w *worker) {
	for _, r := range sortedRunsOf(w) {
		if r.phase != assigned && env.Now > s.endsBy(r, env.Bounds) {
			s.giveUp(env, out, r, jobs.OutcomeLost, "", "the lease of its worker is over")
		}
	}
}

// detachWorker removes a worker and keeps its runs.
func (s *Scheduler) detachWorker(w *worker) {
	s.removeWorker(w)
	w.calledUntil = w.contact.carriedOutBy()
	if len(w.runs) > 0 {
		s.detached = append(s.detached, w)
	}
}

// detachedWorker returns the placeholder of an incarnation of which only the runs are
// known, and its host if the present process of the worker runs there too.
func (s *Scheduler) detachedWorker(env Env, id model.WorkerID, incarnation uint64) *worker {
	for _, w := range s.detached {
		if w.info.ID == id && w.info.Incarnation == incarnation {
			return w
		}
	}
	info := &jobs.Worker{ID: id, Incarnation: incarnation}
	if later := env.State.Workers[id]; later != nil && later.Replaces(incarnation) {
		info.Host = later.Host
	}
	w := &worker{
		info: info, gone: true, runs: make(map[jobs.RunRef]*run),
		failures: make(map[model.JobID]bool), leaseEndsBy: env.Now.Add(lateCallTime + runsEndAfter(env.Bounds.LeaseMax)),
		contact: s.contactOf(info),
	}
	w.calledUntil = w.contact.carriedOutBy()
	s.detached = append(s.detached, w)
	return w
}

// advanceDetached gives up the runs of detached workers whose lease has ended, and those
// that have begun and whose step allows copies.
func (s *Scheduler) advanceDetached(env Env, out *Out) {
	s.detached = slices.DeleteFunc(s.detached, func(w *worker) bool {
		if env.Now > w.leaseEndsBy {
			s.giveUpExpired(env, out, w)
		}
		for _, r := range sortedRunsOf(w) {
			if r.step.Copies && r.phase == begun {
				s.giveUp(env, out, r, jobs.OutcomeLost, "", "its worker was replaced or has left and a copy may run")
			}
		}
		return len(w.runs) == 0
	})
}

// runOn returns a run of a worker, or nil. A run of a detached worker that another
// incarnation of that worker lists is moved to it.
func (s *Scheduler) runOn(w *worker, ref jobs.RunRef) *run {
	if r := w.runs[ref]; r != nil {
		return r
	}
	r := s.runs[ref]
	if r == nil || !r.worker.gone || r.worker.info.ID != w.info.ID || r.phase == assigned {
		return nil
	}
	isSameProcess := r.worker.info.StartedAt != 0 && r.worker.info.StartedAt == w.info.StartedAt
	delete(r.worker.runs, ref)
	r.worker.countRun(r, -1)
	r.worker, w.runs[ref] = w, r
	w.countRun(r, 1)
	// These times are on the clock of the earlier process.
	r.phase, r.voidFrom, r.listedAt, r.sentAt, r.endListed = inherited, 0, 0, 0, false
	if !isSameProcess {
		r.adopted()
	}
	return r
}

// giveUpUnadopted gives up the runs of the earlier processes of a worker on its host that
// the worker's complete list lacks, in the answer to a poll that was sent at polledAt. It
// keeps those whose order may reach a process that starts after that.
func (s *Scheduler) giveUpUnadopted(env Env, out *Out, w *worker, polledAt model.Time) {
	for _, old := range s.detached {
		if !w.isLaterThan(old) {
			continue
		}
		for _, r := range sortedRunsOf(old) {
			if r.phase != assigned && r.isExcludedBy(polledAt) {
				s.giveUp(env, out, r, jobs.OutcomeLost, "", "its worker has restarted and does not list it")
			}
		}
	}
}

// giveUpOvertaken gives up the runs of earlier records of a worker, on whichever host, that its
// process does not run at the time of a list, if neither an order can start them after that nor a
// call to these records have extended a lease that lasts until then. The calls to the present
// process do not count: it would list such a run.
func (s *Scheduler) giveUpOvertaken(env Env, out *Out, w *worker, polledAt model.Time) {
	for _, old := range s.detached {
		if old.info.ID != w.info.ID || env.Now <= old.calledUntil.Add(runsEndAfter(env.Bounds.LeaseMax)) {
			continue
		}
		for _, r := range sortedRunsOf(old) {
			if r.phase != assigned && polledAt > r.heldUntil {
				s.giveUp(env, out, r, jobs.OutcomeLost, "", "its lease is over and the present process does not run it")
			}
		}
	}
}

// isLaterThan reports whether w is a later process on the host of a worker with the same id.
func (w *worker) isLaterThan(old *worker) bool {
	return old.info.ID == w.info.ID && old.info.Host != "" && old.info.Host == w.info.Host && old.info.StartedAt <= w.info.StartedAt
}
