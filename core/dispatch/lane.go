package dispatch

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rankset"
)

// lane is what one team has in one service at one precedence. The work that
// waits ahead of a request, divided by the slots that the lane holds, is the
// time until it starts: that number of slots already reflects shares, limits,
// lost capacity and work of higher precedence.
type lane struct {
	waiting *rankset.Set[rank] // weighted by the expected run time
	running int
	worth   float64 // mean of the requests that arrived
}

// laneID names a lane of a service.
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

// join puts a request into its lane.
func (l *lane) insert(o *Owner, r *request) {
	l.waiting.Insert(r.rank, int64(o.expectedRun(r.service, r.ask.Queue)), fnv1a(string(r.ask.Request)))
}

// relativeWorth takes the worth of an arriving request into the mean and
// returns it as a multiple of the mean.
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

// wait is the expected time until a request of this rank starts.
func (l *lane) wait(r rank) model.Duration {
	return model.Duration(l.waiting.Before(r)) / model.Duration(max(l.running, 1))
}

// hash is FNV-1a. The tree of a lane is balanced by it, the same in every
// replay.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// trimQueues refuses waiting requests that can no longer start in time,
// because capacity was lost or more urgent requests came. It takes the last
// of each lane: they have lost the least by waiting.
func (o *Owner) trimQueues(env Env, out *Out) {
	if !o.fenced {
		return
	}
	for _, s := range o.servicesByID {
		for _, id := range s.laneIDs {
			o.trimLane(env, out, s.lanes[id])
		}
	}
}

func (o *Owner) trimLane(env Env, out *Out, l *lane) {
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

func (o *Owner) expectedWaitProblem(s *service, l waitEstimate) *problem.Problem {
	p := problem.New(problem.PatienceExceeded, "the expected wait for service %s is %.1f s", s.id, l.wait.Seconds())
	p.RetryAfter = min(max(l.wait-l.patience, model.Second), 30*model.Second)
	return p
}
