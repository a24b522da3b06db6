package placement

import "primrosedale.example/primrosedale/core/model"

const (
	// kindsSuspect is the number of distinct kinds of task that fail on a
	// worker, with no success in between, before the worker is held at fault.
	kindsSuspect = 3
	// quarantineMin and quarantineMax bound the time without tasks, which
	// doubles with each failed trial.
	quarantineMin = 30 * model.Second
	quarantineMax = 16 * model.Minute
)

// evidence says whether a worker fails what it is given.
type evidence struct {
	kinds  map[sizeKey]struct{} // failed since the last success
	trials int                  // failed trials of this quarantine
	until  model.Time           // end of the quarantine; zero for none
}

func (e *evidence) reset() { *e = evidence{kinds: make(map[sizeKey]struct{})} }

// suspect reports whether the worker is in quarantine or on trial.
func (e *evidence) suspect() bool { return e.until != 0 }

// allows reports whether the worker may have one more task beside running ones.
// After a quarantine it has one at a time until one succeeds.
func (e *evidence) allows(now model.Time, running int) bool {
	return !e.suspect() || now >= e.until && running == 0
}

func (e *evidence) succeeded() { e.reset() }

// failed takes in a failure and reports whether a quarantine begins. Failures
// of tasks that were running when it began do not lengthen it.
func (e *evidence) failed(now model.Time, kind sizeKey) bool {
	if e.suspect() {
		if now < e.until {
			return false
		}
		e.trials++
	} else {
		e.kinds[kind] = struct{}{}
		if len(e.kinds) < kindsSuspect {
			return false
		}
	}
	e.quarantine(now)
	return true
}

// unresponsive takes in that the worker does not start what it is ordered to,
// and reports whether a quarantine begins.
func (e *evidence) unresponsive(now model.Time) bool {
	if e.suspect() {
		if now < e.until {
			return false
		}
		e.trials++
	}
	e.quarantine(now)
	return true
}

func (e *evidence) quarantine(now model.Time) {
	e.until = now.Add(backoff(quarantineMin, quarantineMax, e.trials))
}
