package placement

import "primrosedale.example/primrosedale/core/model"

const (
	// quarantineFailedKinds is the number of distinct kinds of task that must fail on a
	// worker, with no success in between, before the worker is quarantined.
	quarantineFailedKinds = 3
	// quarantineMin and quarantineMax bound the length of a quarantine, which doubles
	// with each failed trial.
	quarantineMin = 30 * model.Second
	quarantineMax = 16 * model.Minute
)

// workerHealth tracks whether tasks keep failing on a worker.
type workerHealth struct {
	failedKinds   map[sizeKey]struct{} // kinds of task that failed since the last success
	failedTrials  int                  // consecutive failed trials after a quarantine
	quarantineEnd model.Time           // zero if the worker is not suspect
}

func (h *workerHealth) reset() { *h = workerHealth{failedKinds: make(map[sizeKey]struct{})} }

// suspect reports whether the worker is in quarantine or on trial after one.
func (h *workerHealth) suspect() bool { return h.quarantineEnd != 0 }

// allows reports whether the worker may get another task while it has running ones.
// After a quarantine it gets one task at a time until one succeeds.
func (h *workerHealth) allows(now model.Time, running int) bool {
	return !h.suspect() || now >= h.quarantineEnd && running == 0
}

func (h *workerHealth) recordSuccess() { h.reset() }

// recordFailure records a failed run and reports whether a quarantine starts.
// Failures during a quarantine do not extend it: those tasks were running when it
// started.
func (h *workerHealth) recordFailure(now model.Time, kind sizeKey) bool {
	if h.suspect() {
		if now < h.quarantineEnd {
			return false
		}
		h.failedTrials++
	} else {
		h.failedKinds[kind] = struct{}{}
		if len(h.failedKinds) < quarantineFailedKinds {
			return false
		}
	}
	h.startQuarantine(now)
	return true
}

// recordUnresponsive records that the worker does not start the runs that it is
// ordered to start, and reports whether a quarantine starts.
func (h *workerHealth) recordUnresponsive(now model.Time) bool {
	if h.suspect() {
		if now < h.quarantineEnd {
			return false
		}
		h.failedTrials++
	}
	h.startQuarantine(now)
	return true
}

func (h *workerHealth) startQuarantine(now model.Time) {
	h.quarantineEnd = now.Add(backoff(quarantineMin, quarantineMax, h.failedTrials))
}
