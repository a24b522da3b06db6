package contention

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

const (
	// maxRetrySeconds is the longest delay until a refused caller returns. Bursts last a
	// few seconds.
	maxRetrySeconds = 4
	// returnMargin is how long after its time a caller may return: the time of the
	// answer and of the next submission.
	returnMargin = 300 * model.Millisecond
)

// Retries plans when the callers of refused jobs return to one pool. It handles a burst
// that exceeds the pool: callers that all return after the same time would be refused
// again together, and later jobs would take the capacity that becomes free meanwhile.
type Retries struct {
	refused []refusedJob // in the order of their refusals
}

// Class is what decides which of two jobs comes first.
type Class struct {
	ID         model.JobID
	Precedence int
	OverShare  bool
	Due        model.Time // replicated clock
}

type refusedJob struct {
	Class
	work      Work
	returnsAt model.Time
	passed    bool // a job of its class that is due later was accepted since
}

// Accept records that a job is accepted.
func (r *Retries) Accept(j Class) {
	r.remove(j.ID)
	for i := range r.refused {
		o := &r.refused[i]
		o.passed = o.passed || o.Precedence == j.Precedence && o.OverShare == j.OverShare && o.Due < j.Due
	}
}

// Passed reports whether a refused job has been passed by a later one of its class.
func (r *Retries) Passed(id model.JobID) bool {
	for i := range r.refused {
		if r.refused[i].ID == id {
			return r.refused[i].passed
		}
	}
	return false
}

func (r *Retries) remove(id model.JobID) {
	r.refused = slices.DeleteFunc(r.refused, func(o refusedJob) bool { return o.ID == id })
}

// Refuse returns the time after which the caller of a refused job is to return, in whole
// seconds. A job that can still be on time in a second returns then, since each further
// second uses up its slack. For any other, the pool could accept it after ready at the
// earliest, and those jobs are spread so that their work in each second does not exceed
// perSecond, what the pool can do in a second.
func (r *Retries) Refuse(now model.Time, j Class, w Work, ready, slack model.Duration, perSecond Work) model.Duration {
	r.refused = slices.DeleteFunc(r.refused, func(o refusedJob) bool { return o.ID == j.ID || now > o.returnsAt.Add(returnMargin) })
	after := 1
	if slack < model.Second {
		after = r.freeSecond(now, j.Precedence, w, ready, perSecond)
	}
	delay := model.Duration(after) * model.Second
	r.refused = append(r.refused, refusedJob{Class: j, work: w, returnsAt: now.Add(delay)})
	return delay
}

// freeSecond returns the first second from ready on in which the work of a job and of the
// others that return then does not exceed perSecond, or the last one.
func (r *Retries) freeSecond(now model.Time, precedence int, w Work, ready model.Duration, perSecond Work) int {
	var returning [maxRetrySeconds + 1]Work
	for i := range r.refused {
		o := &r.refused[i]
		if k := seconds(o.returnsAt.Sub(now)); k >= 1 && k <= maxRetrySeconds && o.Precedence <= precedence {
			returning[k] = returning[k].Plus(o.work)
		}
	}
	k := min(max(seconds(ready), 1), maxRetrySeconds)
	for k < maxRetrySeconds && returning[k].Plus(w).Exceeds(perSecond) {
		k++
	}
	return k
}

// seconds rounds up to whole seconds.
func seconds(d model.Duration) int { return int((d + model.Second - 1) / model.Second) }
