package core

import "primrosedale.example/primrosedale/core/model"

const (
	// pauseMin is the time between two events after which a process counts as having
	// been paused: several ticks were lost. It is well below the second after which
	// operators and workers go on to another host.
	pauseMin = 5 * TickInterval
	// settleTicks is the number of ticks after a pause within which every call that was
	// waiting in a socket has been read. Ticks are lost while a process is paused, and
	// come later while it is short of processor time.
	settleTicks = int(model.Second / TickInterval)
)

// callHorizon finds the horizon of calls: the index of the first log entry that was not
// applied when a call arrived. A call that is read after a pause may have arrived before
// it, while entries that were committed during the pause are applied first.
type callHorizon struct {
	eventAt     model.Time // of the latest event
	settling    int        // ticks until all calls that waited during the pause are read
	beforePause uint64     // horizon of the calls while settling
}

// observe notes that an event is about to be handled, and reports whether the process was
// paused before it, for the first time since all calls were read that had waited. next is
// the index of the first entry that is not applied.
func (h *callHorizon) observe(now model.Time, next uint64) (paused bool) {
	if h.eventAt != 0 && now.Sub(h.eventAt) > pauseMin {
		if paused = h.settling == 0; paused {
			h.beforePause = next
		}
		h.settling = settleTicks
	}
	h.eventAt = now
	return paused
}

func (h *callHorizon) tick() { h.settling = max(0, h.settling-1) }

// isSettling reports whether a call that is handled now may have waited during a pause.
func (h *callHorizon) isSettling() bool { return h.settling > 0 }

// ofCall returns the horizon of a call that is handled now.
func (h *callHorizon) ofCall(next uint64) uint64 {
	if h.isSettling() {
		return h.beforePause
	}
	return next
}
