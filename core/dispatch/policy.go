package dispatch

import (
	"math"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// PolicyName names a queue policy. The empty name stands for PolicyShares.
type PolicyName string

// The policies. Processes run PolicyShares; the others are baselines for
// comparison in replays.
const (
	PolicyShares PolicyName = "shares"
	PolicyStatic PolicyName = "static"
	// PolicyNoPreemption is PolicyShares without preemption of the tasks of teams
	// that use more than their shares.
	PolicyNoPreemption PolicyName = "lent"
	// PolicyTaskCount is PolicyNoPreemption with a team's usage measured by the number
	// of its tasks instead of by their resources.
	PolicyTaskCount PolicyName = "units"
)

// Policies returns the names of all policies.
func Policies() []PolicyName {
	return []PolicyName{PolicyShares, PolicyStatic, PolicyNoPreemption, PolicyTaskCount}
}

// policy decides the order of waiting requests and which of them are refused
// early. It is stateless, so a change of leader loses nothing.
type policy interface {
	// orderKey returns the sort key of a request among those of the same team,
	// service and precedence. Smaller keys go first.
	orderKey(q rules.Queue, r *request) model.Time
	// promotionTime returns the time at which a request gets the highest
	// precedence, or zero for never.
	promotionTime(q rules.Queue, r *request) model.Time
	// requestBefore reports whether a goes before b, both of the same team and
	// service.
	requestBefore(a, b rank) bool
	// teamBefore reports whether the first waiting request of team a goes before
	// that of team b.
	teamBefore(a, b teamRank) bool
	// mayStart reports whether a team below its limit may start another request.
	mayStart(u teamUsage) bool
	// refusesArrival reports whether a request is refused on arrival.
	refusesArrival(e waitEstimate) bool
	// refusesWaiting reports whether a waiting request is refused before its
	// patience ends.
	refusesWaiting(e waitEstimate) bool
}

// teamUsage is a team's use of the slots of the fleet.
type teamUsage struct {
	running int
	share   float64 // percent
	slots   int     // of all available targets of the fleet
}

// waitEstimate is the input for the early refusal of an arriving or waiting
// request.
type waitEstimate struct {
	patience  model.Duration // remaining
	wait      model.Duration // expected, from measured run times
	worth     float64        // of an arriving request, relative to the mean worth
	overnight bool
}

func policyNamed(name PolicyName) policy {
	if name == PolicyStatic {
		return staticPolicy{}
	}
	return sharesPolicy{}
}

// worthAdvanceMax is the largest part of a request's patience by which its worth
// moves it forward in the queue; it is reached when 1 + worth is 2 to the power of
// worthDoublings. It is small because, if worth decides the order, later requests
// overtake admitted ones, which are then refused late.
const (
	worthAdvanceMax = 0.25
	worthDoublings  = 10
)

// sharesPolicy is the policy of section 6.9 of docs/design.md. Requests of a team
// start in the order of their deadlines, brought forward by their worth for at most
// worthAdvanceMax of the patience. Worth mainly decides which requests are admitted
// to a queue that is too long.
type sharesPolicy struct{}

func (sharesPolicy) orderKey(_ rules.Queue, r *request) model.Time {
	part := worthAdvanceMax * min(1, math.Log2(1+max(0, r.ask.Worth))/worthDoublings)
	return r.deadline.Add(-model.Duration(part * float64(r.deadline.Sub(r.arrived))))
}

// agingFraction is the part of its patience after which an overnight request gets
// the highest precedence. The rest of the patience is left to start it among the
// other requests that were promoted in the same way.
const agingFraction = 0.5

func (sharesPolicy) promotionTime(q rules.Queue, r *request) model.Time {
	if !q.Overnight {
		return 0
	}
	return r.arrived.Add(model.Duration(agingFraction * float64(r.deadline.Sub(r.arrived))))
}

func (sharesPolicy) requestBefore(a, b rank) bool { return a.before(b) }

func (sharesPolicy) teamBefore(a, b teamRank) bool { return a.before(b) }

func (sharesPolicy) mayStart(teamUsage) bool { return true }

func (sharesPolicy) refusesArrival(e waitEstimate) bool {
	return e.exceeds(min(max(admitMargin+admitSlope*(e.worth-1), admitMin), admitMax))
}

func (sharesPolicy) refusesWaiting(e waitEstimate) bool { return e.exceeds(waitingMargin) }

// exceeds reports whether the expected wait is longer than the patience times
// margin. It is false for overnight requests, which are not refused early because
// the load may fall before their patience ends.
func (e waitEstimate) exceeds(margin float64) bool {
	return !e.overnight && float64(e.wait) > margin*float64(e.patience)
}

// staticPolicy serves requests in the order of arrival. Each team has a fixed part
// of the slots, which other teams cannot use when it is idle, and nothing is
// refused early.
type staticPolicy struct{}

func (staticPolicy) orderKey(_ rules.Queue, r *request) model.Time { return r.arrived }

func (staticPolicy) promotionTime(rules.Queue, *request) model.Time { return 0 }

func (staticPolicy) requestBefore(a, b rank) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.id < b.id
}

func (p staticPolicy) teamBefore(a, b teamRank) bool { return p.requestBefore(a.rank, b.rank) }

func (staticPolicy) mayStart(u teamUsage) bool {
	return float64(u.running) < math.Ceil(u.share/100*float64(u.slots))
}

func (staticPolicy) refusesArrival(waitEstimate) bool { return false }

func (staticPolicy) refusesWaiting(waitEstimate) bool { return false }

func (o *Owner) usage(id model.TeamID) teamUsage {
	u := teamUsage{running: o.team(id).running, share: o.rules.Teams[id].Share}
	for _, s := range o.servicesByID {
		u.slots += s.slots
	}
	return u
}
