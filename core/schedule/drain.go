package schedule

import "primrosedale.example/primrosedale/core/model"

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
	case !d.fitsElsewhere(r):
		return BlockedByCapacity
	}
	return ""
}
