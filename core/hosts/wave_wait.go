package hosts

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Reasons why a host of a wave waits, beside those of schedule.DrainBlock.
const (
	waitUnlisted    = "unlisted"     // it is missing from a list of hosts that is old or partial
	waitTakeover    = "takeover"     // the leader's term has just begun
	waitUnavailable = "unavailable"  // it is down, in maintenance or moving
	waitCall        = "call"         // a call has no answer yet, or its record is not committed
	waitUnselected  = "not_selected" // its pool cannot spare it yet
	waitCap         = "cap"          // as many hosts of the wave are down as the cap allows
)

const (
	// minWait is how long a reason must have lasted before it is logged. An ordinary call
	// takes less.
	minWait = 500 * model.Millisecond
	// maxWaitLogs is the maximum number of such events of one tick: all hosts of a wave
	// begin to wait at the same time.
	maxWaitLogs = 10
)

// wait is why a host of a wave waits.
type wait struct {
	reason string
	since  model.Time
	logged string // reason in the latest log event
}

// logWaits logs why hosts of a wave wait, for those whose reason has changed.
func (p *Planner) logWaits(env Env, out *Out, id uint64, w *jobs.Wave, capReached bool) {
	now, logged := env.Schedule.Now, 0
	for _, hostID := range w.Hosts {
		reason := ""
		if !w.Ordered[hostID] {
			reason = p.waitReason(env, id, hostID, capReached)
		}
		if reason == "" {
			delete(p.waits, hostID)
			continue
		}
		last := p.waits[hostID]
		if last.reason != reason {
			last.reason, last.since = reason, now
		}
		if last.logged != reason && now.Sub(last.since) >= minWait && logged < maxWaitLogs {
			logged++
			last.logged = reason
			out.log(effect.WaveHostWaits, effect.Log{Host: hostID, Index: id, Detail: reason})
		}
		p.waits[hostID] = last
	}
}

// waitReason returns why the maintenance of a host is not accepted yet. It is empty for a
// host that has left the fleet.
func (p *Planner) waitReason(env Env, id uint64, hostID model.HostID, capReached bool) string {
	h := p.hosts[hostID]
	switch {
	case h == nil && p.mayBeMissing(id):
		return waitUnlisted
	case h == nil:
		return ""
	case h.State == order.HostMaintenance && env.Schedule.Now < h.downUntil:
		return "" // its order is accepted
	case h.callPending || h.recordPending || h.orderPending:
		return waitCall
	case h.moveTo != "" || h.State != order.HostUp:
		return waitUnavailable
	case env.Schedule.Now.Sub(p.termStart) < takeoverDelay:
		return waitTakeover
	}
	if block := env.Scheduler.DrainBlock(hostID); h.wave == id && block != "" {
		return string(block)
	}
	if h.wave != id {
		return waitUnselected
	}
	if capReached {
		return waitCap
	}
	return waitCall // its order is about to be recorded
}
