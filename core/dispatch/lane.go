package dispatch

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rankset"
)

// lane holds the waiting requests and counts the running ones of one team, for one
// service and one precedence. The expected wait of a request is the work ahead of it
// in the lane divided by the slots that the lane holds. That number of slots already
// reflects shares, limits, lost capacity and work of higher precedence.
type lane struct {
	waiting *rankset.Set[rank] // weighted by the expected run time
	running int
	worth   float64 // moving average over the requests that arrived
}

type laneID struct {
	team       model.TeamID
	precedence int
}

func (a laneID) compare(b laneID) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.precedence, b.precedence))
}

func (o *Owner) lane(s *service, team model.TeamID, precedence int) *lane {
	id := laneID{team, precedence}
	l := s.lanes[id]
	if l == nil {
		l = &lane{waiting: rankset.New(o.policy.requestBefore)}
		s.lanes[id] = l
		s.laneIDs = append(s.laneIDs, id)
		slices.SortFunc(s.laneIDs, laneID.compare)
	}
	return l
}

// insert adds a request to the lane's waiting requests.
func (l *lane) insert(o *Owner, r *request) {
	l.waiting.Insert(r.rank, int64(o.expectedRun(r.service, r.ask.Queue)), fnv1a(string(r.ask.Request)))
}

// relativeWorth updates the mean worth with that of an arriving request and returns
// the worth as a multiple of the mean.
func (l *lane) relativeWorth(worth float64) float64 {
	if l.worth == 0 {
		l.worth = worth
	}
	l.worth += worthWeight * (worth - l.worth)
	if l.worth <= 0 {
		return 1
	}
	return worth / l.worth
}

// wait returns the expected time until a request of this rank starts.
func (l *lane) wait(r rank) model.Duration {
	return model.Duration(l.waiting.SumBefore(r)) / model.Duration(max(l.running, 1))
}

// fnv1a returns the 64-bit FNV-1a hash. It gives the priorities that balance the
// lane's treap, so that each replay builds the same tree.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// trimQueues refuses waiting requests that can no longer start in time because
// capacity was lost or more urgent requests arrived. It refuses the last of each lane
// first: they have lost the least time by waiting.
func (o *Owner) trimQueues(env Env, out *Output) {
	if !o.fenced {
		return
	}
	for _, s := range o.servicesByID {
		for _, id := range s.laneIDs {
			o.trimLane(env, out, s.lanes[id])
		}
	}
}

func (o *Owner) trimLane(env Env, out *Output, l *lane) {
	for {
		last, ok := l.waiting.Last()
		if !ok {
			return
		}
		r := o.requests[last.id]
		estimate := waitEstimate{patience: r.deadline.Sub(env.Now), wait: l.wait(last), overnight: o.rules.Queues[r.ask.Queue].Overnight}
		if !o.hasRunTimes(r.service, r.ask.Queue) || !o.policy.refusesWaiting(estimate) {
			return
		}
		o.refuse(env, out, r, o.expectedWaitProblem(r.service, estimate))
	}
}

func (o *Owner) expectedWaitProblem(s *service, e waitEstimate) *problem.Problem {
	p := problem.New(problem.PatienceExceeded, "the expected wait for service %s is %.1f s", s.id, e.wait.Seconds())
	p.RetryAfter = min(max(e.wait-e.patience, model.Second), 30*model.Second)
	return p
}
