package dispatch

import (
	"math"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// PolicyName names a policy. The empty name is PolicyShares.
type PolicyName string

// The policies. Processes use PolicyShares; the others are kept to compare
// with in replays.
const (
	PolicyShares PolicyName = "shares"
	PolicyStatic PolicyName = "static"
	// PolicyLent is PolicyShares without taking workers back from tasks of
	// teams above their shares.
	PolicyLent PolicyName = "lent"
	// PolicyUnits is PolicyLent with the tasks of a team counted, not measured
	// by their resources.
	PolicyUnits PolicyName = "units"
)

// Policies returns the names of all policies.
func Policies() []PolicyName {
	return []PolicyName{PolicyShares, PolicyStatic, PolicyLent, PolicyUnits}
}

// policy decides the order of waiting requests and which are refused early. It
// holds no state, so that a leader change cannot lose any.
type policy interface {
	// key places a request among those of its team, service and precedence.
	orderKey(q rules.Queue, r *request) model.Time
	// agesAt is the time from which a request has the highest precedence, or
	// zero for never.
	agesAt(q rules.Queue, r *request) model.Time
	// within reports whether a goes before b of the same team and service.
	requestBefore(a, b rank) bool
	// among reports whether the first request of one team goes before that of
	// another team.
	teamBefore(a, b teamRank) bool
	// mayStart reports whether a team below its upper limit may run one more.
	mayStart(u teamUsage) bool
	// tooLate reports whether a request is refused at its arrival.
	refusesArrival(l waitEstimate) bool
	// hopeless reports whether a waiting request is refused before its patience
	// ends.
	refusesWaiting(l waitEstimate) bool
}

// teamUse is what a team holds of the fleet.
type teamUsage struct {
	running int
	share   float64 // percent
	slots   int     // usable slots of the whole fleet
}

// queueLoad is what is expected of a waiting or arriving request.
type waitEstimate struct {
	patience  model.Duration // that is left
	wait      model.Duration // expected, by the learned run times
	worth     float64        // of an arriving request, as a multiple of the mean
	overnight bool
}

func policyNamed(name PolicyName) policy {
	if name == PolicyStatic {
		return staticPolicy{}
	}
	return sharesPolicy{}
}

// worthPart is the largest part of its patience by which a request goes
// forward for its worth, reached at worthDoublings doublings. It is small: an
// order by worth lets later requests overtake admitted ones, which are then
// refused late.
const (
	worthAdvanceMax = 0.25
	worthDoublings  = 10
)

// sharesPolicy is the policy of docs/design.md 6.9. Requests of a team start in
// the order of their latest starts, brought forward a little by their worth.
// Worth mostly decides which are admitted to a queue that is too long.
type sharesPolicy struct{}

func (sharesPolicy) orderKey(_ rules.Queue, r *request) model.Time {
	part := worthAdvanceMax * min(1, math.Log2(1+max(0, r.ask.Worth))/worthDoublings)
	return r.deadline.Add(-model.Duration(part * float64(r.deadline.Sub(r.arrived))))
}

// agesAfter is the part of its patience for which overnight work gives way to
// work of higher precedence. The rest is for the work that ages with it.
const agingFraction = 0.5

func (sharesPolicy) agesAt(q rules.Queue, r *request) model.Time {
	if !q.Overnight {
		return 0
	}
	return r.arrived.Add(model.Duration(agingFraction * float64(r.deadline.Sub(r.arrived))))
}

func (sharesPolicy) requestBefore(a, b rank) bool { return a.before(b) }

func (sharesPolicy) teamBefore(a, b teamRank) bool { return a.before(b) }

func (sharesPolicy) mayStart(teamUsage) bool { return true }

func (sharesPolicy) refusesArrival(l waitEstimate) bool {
	return l.exceeds(min(max(admitMargin+admitSlope*(l.worth-1), admitMin), admitMax))
}

func (sharesPolicy) refusesWaiting(l waitEstimate) bool { return l.exceeds(waitingMargin) }

// exceeds reports whether the wait takes more than a part of the patience.
// Overnight work is not refused early: the load may fall before its end.
func (l waitEstimate) exceeds(margin float64) bool {
	return !l.overnight && float64(l.wait) > margin*float64(l.patience)
}

// staticPolicy serves requests in the order of their arrival. Each team has a
// fixed part of the fleet, which is not lent, and nothing is refused early.
type staticPolicy struct{}

func (staticPolicy) orderKey(_ rules.Queue, r *request) model.Time { return r.arrived }

func (staticPolicy) agesAt(rules.Queue, *request) model.Time { return 0 }

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

// use returns what a team holds of the fleet.
func (o *Owner) usage(id model.TeamID) teamUsage {
	u := teamUsage{running: o.team(id).running, share: o.rules.Teams[id].Share}
	for _, s := range o.servicesByID {
		u.slots += s.slots
	}
	return u
}
