package replay

import (
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
)

// recoveryPeriod is how long the window of the centre_work measure continues after
// the return of a data centre, so that delayed work counts.
const recoveryPeriod = 10 * model.Second

// job is the part of a request's work that can be done within a window.
type job struct {
	arrived  model.Time
	deadline model.Time // work after this time does not count
	work     model.Duration
}

// window is a period of the replay, such as one with a data centre out or lost and
// the recovery after it.
type window struct{ from, until model.Time }

// lossWindow returns the period from the first loss of a data centre to the end of
// the recovery after the last return.
func (e *engine) lossWindow() (window, bool) {
	var w window
	for _, c := range e.obs.centreChanges {
		if c.unavailable && w.from == 0 {
			w.from = c.at
		}
		if !c.unavailable {
			w.until = c.at.Add(recoveryPeriod)
		}
	}
	w.until = min(w.until, e.traceStart.Add(e.trace.Header.Length.Duration()))
	return w, w.from != 0 && w.until > w.from
}

// completedWork returns the work that successful runs did within the window.
func (obs *observations) completedWork(w window) model.Duration {
	total := model.Duration(0)
	for _, r := range obs.byArrival {
		for _, run := range r.runs {
			if run.succeeded {
				total += max(0, min(run.endedAt, w.until).Sub(max(run.startedAt, w.from)))
			}
		}
	}
	return total
}

// maxWork returns an upper bound of the work that any schedule could complete in the
// window, given what was running and waiting at its start. Each service is modelled
// as one divisible server. Its capacity is the slots available at each sample, at most
// the sum of the limits of the teams with work in the service. It serves requests by
// earliest deadline first. No real schedule does more, because work may be split and
// moved freely, and unfinished work on a request counts too.
func (obs *observations) maxWork(w window) model.Duration {
	jobs := make(map[model.ServiceID][]job)
	teams := make(map[model.ServiceID]map[model.TeamID]bool)
	for _, r := range obs.byArrival {
		if j, ok := r.job(w); ok {
			jobs[r.service] = append(jobs[r.service], j)
			if teams[r.service] == nil {
				teams[r.service] = make(map[model.TeamID]bool)
			}
			teams[r.service][r.Team] = true
		}
	}
	total := model.Duration(0)
	for _, service := range model.SortedKeys(jobs) {
		total += obs.earliestDeadlineFirst(w, service, jobs[service], teams[service])
	}
	return total
}

// allowedSlots returns how many slots of a service can be used under the teams' limits.
func (s *sample) allowedSlots(service model.ServiceID, teams map[model.TeamID]bool) int {
	limits := 0
	for team := range teams {
		limits += s.limits[team]
	}
	return min(s.capacity[service], limits)
}

// job returns the work on the request that is possible within the window.
func (r *request) job(w window) (job, bool) {
	need := r.Run.Duration()
	j := job{arrived: max(r.arrivedAt, w.from), deadline: r.startBy().Add(need), work: need}
	for _, run := range r.runs {
		switch {
		case run.succeeded && run.endedAt <= w.from:
			return job{}, false
		case run.startedAt < w.from && (run.endedAt == 0 || run.endedAt > w.from) && (run.succeeded || !r.Idempotent):
			// It runs at the start of the window. A run that cannot be repeated
			// counts only if it succeeds.
			if !run.succeeded {
				return job{}, false
			}
			j.work -= w.from.Sub(run.startedAt)
			j.deadline = w.until
		}
	}
	if r.arrivedAt >= w.until || j.deadline <= w.from || (r.answers > 0 && r.answeredAt <= w.from) ||
		(r.abandonedAt != 0 && r.abandonedAt <= w.from) {
		return job{}, false
	}
	j.work = min(j.work, w.until.Sub(j.arrived))
	return j, j.work > 0
}

// earliestDeadlineFirst returns the work that the service could complete if it always
// served the waiting job with the earliest deadline. jobs are sorted by arrival.
func (obs *observations) earliestDeadlineFirst(w window, service model.ServiceID, jobs []job, teams map[model.TeamID]bool) model.Duration {
	waiting := pq.New[int, model.Time, *job](func(a, b model.Time) bool { return a < b })
	total, next := model.Duration(0), 0
	for _, s := range obs.samples {
		if s.at < w.from || s.at >= w.until {
			continue
		}
		for next < len(jobs) && jobs[next].arrived < s.at.Add(sampleInterval) {
			waiting.Set(next, jobs[next].deadline, &jobs[next])
			next++
		}
		available := sampleInterval * model.Duration(s.allowedSlots(service, teams))
		for available > 0 {
			key, until, j, ok := waiting.Peek()
			if !ok {
				break
			}
			done := min(available, j.work)
			if until <= s.at {
				done = 0
			}
			j.work -= done
			available -= done
			total += done
			if j.work == 0 || until <= s.at {
				waiting.Remove(key)
			}
		}
	}
	return total
}
