// Package burn keeps the service-level statistics of the fleet: how much work
// of each objective was good, which causes spent its error budget, and which events of
// the fleet occurred in that time.
//
// Each host counts the requests that end on it (Sender) and sends the counts to
// the leader in numbered batches. The leader collects them (Collector) and
// proposes their sum as a Record. Every replica adds the Record to its History,
// which stores the number of the last batch of each process, so that a batch is
// added once however often it is sent or proposed. A process reads from its own
// copy of the History which of its batches need not be sent again.
//
// Tasks are counted when they end in the replicated state (History.Count), so
// that hosts send no counts of them. Only refusals by a host that cannot accept a
// task are counted like those of requests.
package burn

import (
	"cmp"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// Cause is the category in which an ended request or task is counted.
type Cause string

// The causes. All but Good and NotCounted spend the error budget.
const (
	NotCounted Cause = ""        // the caller's own fault
	Good       Cause = "good"    // a complete answer, in time, without a server error
	Refused    Cause = "refused" // not run, because the system could not accept it
	Late       Cause = "late"    // not started within its patience
	Lost       Cause = "lost"    // every attempt failed, or its answer was not kept
	Unknown    Cause = "unknown" // it may have run
	Failed     Cause = "failed"  // a server error, or no complete answer within its run time
)

// BadCauses are the causes that spend the error budget, in report order.
var BadCauses = []Cause{Refused, Late, Lost, Unknown, Failed}

// serverError is the lowest HTTP status code that counts as a server error.
const serverError = 500

// CauseOfAnswer returns the cause for a request that got a complete answer. late states
// that it was started after its patience had passed.
func CauseOfAnswer(status int, late bool) Cause {
	switch {
	case status >= serverError:
		return Failed
	case late:
		return Late
	default:
		return Good
	}
}

// CauseOfProblem returns the cause for a request that ended with a problem. A resend
// is not counted while the first request is still running, because the first request
// is counted at its own end. The response that closes an idle connection is not
// counted either, because there is usually no request on the connection.
func CauseOfProblem(kind problem.Kind) Cause {
	switch kind {
	case problem.Overloaded, problem.NoLeader, problem.NoLease, problem.NoTarget, problem.Stopping,
		problem.QueueOverloaded, problem.NotConfigured:
		return Refused
	case problem.PatienceExceeded:
		return Late
	case problem.RetriesExhausted, problem.AnswerNotRetained:
		return Lost
	case problem.OutcomeUnknown, problem.CommandOutcomeUnknown, problem.CallOutcomeUnknown:
		return Unknown
	case problem.DeadlineExceeded, problem.AnswerTooLarge, problem.Internal:
		return Failed
	default:
		return NotCounted
	}
}

// Key identifies the work that an objective covers: a team's requests for a service
// or its tasks in a pool.
type Key struct {
	Team    model.TeamID    `json:"team"`
	Service model.ServiceID `json:"service,omitempty"`
	Pool    model.PoolID    `json:"pool,omitempty"`
}

// KeyOf returns the key of the work that an objective covers.
func KeyOf(o rules.Objective) Key { return Key{Team: o.Team, Service: o.Service, Pool: o.Pool} }

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Team, other.Team), cmp.Compare(k.Service, other.Service), cmp.Compare(k.Pool, other.Pool))
}

// Counts counts ended requests or tasks by cause.
type Counts struct {
	Good    uint64 `json:"good,omitempty"`
	Refused uint64 `json:"refused,omitempty"`
	Late    uint64 `json:"late,omitempty"`
	Lost    uint64 `json:"lost,omitempty"`
	Unknown uint64 `json:"unknown,omitempty"`
	Failed  uint64 `json:"failed,omitempty"`
}

// Of returns the number counted for this cause.
func (c Counts) Of(cause Cause) uint64 {
	if field := c.field(cause); field != nil {
		return *field
	}
	return 0
}

// Bad returns the number that spent error budget.
func (c Counts) Bad() uint64 { return c.Refused + c.Late + c.Lost + c.Unknown + c.Failed }

// Total returns the number of all that were counted.
func (c Counts) Total() uint64 { return c.Good + c.Bad() }

// Plus returns the sum of c and d.
func (c Counts) Plus(d Counts) Counts {
	return Counts{
		Good:    c.Good + d.Good,
		Refused: c.Refused + d.Refused,
		Late:    c.Late + d.Late,
		Lost:    c.Lost + d.Lost,
		Unknown: c.Unknown + d.Unknown,
		Failed:  c.Failed + d.Failed,
	}
}

// add adds n to the count of a cause.
func (c *Counts) add(cause Cause, n uint64) {
	if field := c.field(cause); field != nil {
		*field += n
	}
}

// field returns the field in which a cause is counted, or nil for NotCounted.
func (c *Counts) field(cause Cause) *uint64 {
	switch cause {
	case Good:
		return &c.Good
	case Refused:
		return &c.Refused
	case Late:
		return &c.Late
	case Lost:
		return &c.Lost
	case Unknown:
		return &c.Unknown
	case Failed:
		return &c.Failed
	default:
		return nil
	}
}

// Keys is a set of keys.
type Keys map[Key]struct{}

// KeysOf returns the keys that the objectives of r cover.
func KeysOf(r *rules.Rules) Keys {
	keys := make(Keys, len(r.Objectives))
	for _, o := range r.Objectives {
		keys[KeyOf(o)] = struct{}{}
	}
	return keys
}

// Has reports whether key is in the set.
func (k Keys) Has(key Key) bool {
	_, ok := k[key]
	return ok
}
