package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Software other than the workers may announce itself as one, or have an entry in the list
// of hosts. A record of a worker is evidence
//
//   - that it may be polled: always;
//   - that it may be given runs: once it has answered a poll, see isUsable;
//   - that the earlier processes on its host have ended: if it was announced for a pool
//     (IsPool), or once it has answered a poll itself, see isFromRecordedProcess;
//   - that the process recorded under its ID has ended: as CheckHeartbeat says.
//
// An entry of the list of hosts that names no pool is no evidence about any worker.

// IsPool reports whether the workers of a service take the work of hosts: the configuration
// in force names it, or jobs that were accepted for it have not ended.
func (s *Scheduler) IsPool(env Env, id model.ServiceID) bool {
	if env.State.Config.HasService(id) {
		return true
	}
	p := s.services[id]
	return p != nil && len(p.jobs) > 0
}

// Rejection is the reason why a heartbeat is not recorded. The zero value means that it is.
type Rejection string

// The reasons.
const (
	UnknownService      Rejection = "unknown_service" // the configuration does not name its service
	IncompleteHeartbeat Rejection = "incomplete"      // it lacks what its worker has announced before
	OtherProcess        Rejection = "other_process"   // it names a process that runs on another host or for another service
)

// CheckHeartbeat returns why a heartbeat is not that of the worker with its ID, or the zero
// value. Before the first configuration no service is known, and every heartbeat is
// recorded: nothing follows from it, since no task has been started.
func (s *Scheduler) CheckHeartbeat(env Env, w *jobs.Worker) Rejection {
	known := env.State.Workers[w.ID]
	if known != nil && s.IsPool(env, known.Service) {
		switch {
		case known.Host != "" && w.Host == "", len(known.Labels) > 0 && len(w.Labels) == 0:
			return IncompleteHeartbeat
		case w.StartedAt != 0 && w.StartedAt == known.StartedAt && known.Host != "" && (w.Host != known.Host || w.Service != known.Service):
			return OtherProcess
		}
	}
	if env.State.Config == nil || s.IsPool(env, w.Service) || known != nil && known.SameIncarnation(w) {
		return ""
	}
	return UnknownService
}

// isFromRecordedProcess reports whether an answer to a poll names the process that is
// recorded, which shows that it runs and takes calls.
func (w *worker) isFromRecordedProcess(reply *order.Reply) bool {
	return reply.StartedAt != 0 && reply.StartedAt == w.info.StartedAt
}

// isUnverified reports whether a record names no pool and its process does not answer
// polls. Such a record, with a later start, would keep the heartbeats of the worker with
// the same ID from being recorded.
func (s *Scheduler) isUnverified(env Env, w *worker) bool {
	return env.State.Config != nil && !w.polled && w.pollFailed && len(w.runs) == 0 && !s.IsPool(env, w.info.Service)
}

// endEarlierProcesses gives up the runs of the earlier processes on a worker's host that
// had other IDs, as far as giveUpRuns may, and removes these workers. The caller has evidence
// that the processes have ended.
func (s *Scheduler) endEarlierProcesses(env Env, out *Out, info *jobs.Worker) {
	for _, w := range s.earlierIDsOnHost(info) {
		s.giveUpRuns(env, out, w, "a later process runs on its host")
		if !w.gone {
			s.proposeDeparture(out, w)
		}
	}
}

// earlierIDsOnHost returns the workers with other IDs that ran on a worker's host before it.
func (s *Scheduler) earlierIDsOnHost(info *jobs.Worker) []*worker {
	if info.Host == "" {
		return nil
	}
	var list []*worker
	for _, w := range s.workersByHost[info.Host] {
		if w.info.ID != info.ID && startedBefore(w.info, info) {
			list = append(list, w)
		}
	}
	for _, w := range s.detached {
		if w.info.ID != info.ID && w.info.Host == info.Host && startedBefore(w.info, info) {
			list = append(list, w)
		}
	}
	return list
}

// giveUpRunsOfEarlierIDs gives up the runs that endEarlierProcesses has kept, once the process of a worker
// has answered a poll that was sent at polledAt, when no order could start them any more. While it
// is up, none of their processes is, and one that starts later gets no order.
func (s *Scheduler) giveUpRunsOfEarlierIDs(env Env, out *Out, w *worker, polledAt model.Time) {
	for _, old := range s.earlierIDsOnHost(w.info) {
		if !old.processEnded || polledAt < old.restartedAt || s.isElsewhere(old) {
			continue
		}
		for _, r := range sortedRunsOf(old) {
			if r.phase != assigned && polledAt >= w.ordersArriveUntil(r) {
				s.giveUp(env, out, r, jobs.OutcomeLost, "", "its order can't arrive any more and another process is up on its host")
			}
		}
	}
}

// isElsewhere reports whether a later process of a worker runs on another host. Processes on the
// first host show nothing about it.
func (s *Scheduler) isElsewhere(old *worker) bool {
	later := s.workers[old.info.ID]
	return later != nil && later.info.Host != old.info.Host
}

// ordersArriveUntil returns the time after which no order to start r, a run of an earlier ID on
// the host of w, is carried out. Calls to that ID reach w if the addresses are equal.
func (w *worker) ordersArriveUntil(r *run) model.Time {
	if r.unanswered > 0 && !w.hasAddressOf(r.worker) {
		return r.heldUntil
	}
	return r.arrivesUntil()
}

// hasAddressOf reports whether an earlier process on its host had the address of w.
func (w *worker) hasAddressOf(old *worker) bool {
	return w.info.Address != "" && w.info.Address == old.info.Address
}

func startedBefore(a, b *jobs.Worker) bool { return a.StartedAt != 0 && a.StartedAt < b.StartedAt }

// proposeDeparture proposes the removal of a worker, once.
func (s *Scheduler) proposeDeparture(out *Out, w *worker) {
	if !w.removing {
		w.removing = true
		out.Proposals = append(out.Proposals, jobs.Command{Depart: &jobs.Depart{Worker: w.info.ID, Incarnation: w.info.Incarnation}})
	}
}
