package placement

import "primrosedale.example/primrosedale/core/model"

const (
	// failedKindsMax is the number of distinct kinds of task that fail on a
	// worker, with no success in between, before the worker is held at fault.
	failedKindsMax = 3
	// quarantineMin and quarantineMax bound the time without tasks, which
	// doubles with each failed trial.
	quarantineMin = 30 * model.Second
	quarantineMax = 16 * model.Minute
)

// workerHealth says whether a worker fails what it is given.
type workerHealth struct {
	failedKinds   map[sizeKey]struct{} // failed since the last success
	failedTrials  int                  // failed trials of this quarantine
	quarantineEnd model.Time           // end of the quarantine; zero for none
}

func (h *workerHealth) reset() { *h = workerHealth{failedKinds: make(map[sizeKey]struct{})} }

// suspect reports whether the worker is in quarantine or on trial.
func (h *workerHealth) suspect() bool { return h.quarantineEnd != 0 }

// allows reports whether the worker may have one more task beside running ones.
// After a quarantine it has one at a time until one succeeds.
func (h *workerHealth) allows(now model.Time, running int) bool {
	return !h.suspect() || now >= h.quarantineEnd && running == 0
}

func (h *workerHealth) recordSuccess() { h.reset() }

// recordFailure takes in a failure and reports whether a quarantine begins. Failures
// of tasks that were running when it began do not lengthen it.
func (h *workerHealth) recordFailure(now model.Time, kind sizeKey) bool {
	if h.suspect() {
		if now < h.quarantineEnd {
			return false
		}
		h.failedTrials++
	} else {
		h.failedKinds[kind] = struct{}{}
		if len(h.failedKinds) < failedKindsMax {
			return false
		}
	}
	h.startQuarantine(now)
	return true
}

// recordUnresponsive takes in that the worker does not start what it is ordered to,
// and reports whether a quarantine begins.
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
