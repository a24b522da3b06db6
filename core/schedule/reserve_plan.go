package schedule

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule/reservation"
)

// plan sets the begin and the places of a reservation to the earliest predicted ones. Its
// present places are kept unless others are free sooner by more than minGain. It returns
// false if the claim fits nowhere.
func (s *Scheduler) plan(env Env, p *pool, h *hold) bool {
	p.reservations.planAt = env.Now.Add(planInterval + model.Duration(len(p.workers))*planWorkerTime)
	step := &h.job.job.Steps[h.step.Step]
	request := reservation.Request{Claim: h.claim, Tasks: tasksTogether(step), Colocated: step.Gang && step.Colocated, MaxRackDelay: maxRackDelay}
	staying, leaving := s.plannedWorkers(env, p, h, step)
	plan, ok := reservation.Make(env.Now, staying, request)
	if !ok && len(leaving) > 0 {
		plan, ok = reservation.Make(env.Now, append(staying, leaving...), request)
	}
	if !ok {
		return false
	}
	if len(h.places) > 0 {
		present := slices.DeleteFunc(append(staying, leaving...), func(w reservation.Worker) bool {
			return !slices.ContainsFunc(h.places, func(place reservation.Place) bool { return place.Worker == w.ID })
		})
		if kept, ok := reservation.Make(env.Now, present, request); ok && kept.Begin.Sub(plan.Begin) <= minGain {
			plan = kept
		}
	}
	h.begin, h.places, h.joins = plan.Begin, plan.Places, p.reservations.joins
	h.onNewHost = slices.ContainsFunc(plan.Places, func(place reservation.Place) bool { return place.Worker == "" })
	return true
}

// plannedWorkers returns the workers that may take the task of a reservation, and those
// among them whose host is to be drained soon. A strict reservation does not wait for hosts
// that have not joined.
func (s *Scheduler) plannedWorkers(env Env, p *pool, h *hold, step *jobs.Step) (staying, leaving []reservation.Worker) {
	runs := 0
	for _, w := range p.workers {
		runs += len(w.runs)
	}
	ends := make([]reservation.End, 0, runs) // of all workers
	for _, w := range p.workers {
		if !h.claim.Fits(w.info.Capacity) || !s.isUsable(env, w) || !meetsConstraints(w, step, jobs.TaskRef{Job: h.step.Job, Round: h.step.Round, Step: h.step.Step}) {
			continue
		}
		planned := reservation.Worker{ID: w.info.ID, Rack: w.info.Rack, Free: w.free(), Limit: step.PerWorker}
		for i := range w.reserved {
			if w.reserved[i].hold.binds(h.job) {
				planned.Free = planned.Free.Sub(w.reserved[i].claim)
			}
		}
		first := len(ends)
		for _, r := range w.runs {
			ends = append(ends, reservation.End{At: s.predictedEnd(env, r), Claim: r.claim})
		}
		planned.Ends = ends[first:]
		if s.leaving[w.info.Host] {
			leaving = append(leaving, planned)
		} else {
			staying = append(staying, planned)
		}
	}
	if h.strict || step.Requires != "" {
		return staying, leaving
	}
	for _, in := range s.forecasts[h.job.service].Incoming {
		if in.At > env.Now {
			staying = append(staying, reservation.Worker{From: in.At, Free: in.Capacity, Limit: step.PerWorker})
		}
	}
	return staying, leaving
}

// planAgain plans a reservation again after its begin has passed or a worker has joined. It is
// given up if it moves to other workers or is not worthwhile any more.
func (s *Scheduler) planAgain(env Env, out *Out, p *pool, h *hold) {
	next := *h
	next.madeAt = env.Now
	if !s.plan(env, p, &next) || !s.isWorthwhile(env, p, &next) {
		s.abandon(env, out, h, "planned again, no place is predicted in time")
		return
	}
	if samePlaces(next.places, h.places) {
		h.begin, h.joins = next.begin, next.joins
		return
	}
	s.abandon(env, out, h, "planned again, other workers are free sooner")
	s.addHold(&next)
	s.logReservation(env, out, effect.ReservationMade, &next, "")
}

// samePlaces reports whether two lists have the same places in any order.
func samePlaces(a, b []reservation.Place) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(place reservation.Place) bool { return !slices.Contains(b, place) })
}

// addHold adds a reservation to its pool and to the workers of its places.
func (s *Scheduler) addHold(h *hold) {
	h.job.hold = h
	h.pool.reservations.holds = append(h.pool.reservations.holds, h)
	for _, place := range h.places {
		if w := s.workers[place.Worker]; w != nil {
			w.reserved = append(w.reserved, reservedClaim{h, times(h.claim, place.Tasks)})
		}
	}
}

func (s *Scheduler) removeHold(h *hold) {
	h.job.hold = nil
	x := &h.pool.reservations
	x.holds = slices.DeleteFunc(x.holds, func(other *hold) bool { return other == h })
	x.ended = true
	for _, place := range h.places {
		if w := s.workers[place.Worker]; w != nil {
			w.reserved = slices.DeleteFunc(w.reserved, func(c reservedClaim) bool { return c.hold == h })
		}
	}
}

func (s *Scheduler) abandon(env Env, out *Out, h *hold, reason string) {
	s.removeHold(h)
	s.logReservation(env, out, effect.ReservationAbandoned, h, reason)
}

// fulfil ends the reservation of a job after a task or gang of its step was assigned.
func (s *Scheduler) fulfil(env Env, out *Out, job *activeJob, step jobs.StepRef) {
	if h := job.hold; h != nil && h.step == step {
		s.removeHold(h)
		s.logReservation(env, out, effect.ReservationMet, h, "")
	}
}

// logReservation logs an event of a reservation, unless too many were logged in this second.
func (s *Scheduler) logReservation(env Env, out *Out, code effect.Code, h *hold, reason string) {
	x := &h.pool.reservations
	if env.Now.Sub(x.logSecond) >= model.Second {
		x.logSecond, x.logged = env.Now, 0
	}
	if x.logged++; x.logged > maxReservationLogs {
		return
	}
	l := effect.Log{Request: model.RequestID(h.step.Job), Queue: h.job.job.Queue, Task: fmt.Sprintf("%d.%d", h.step.Round, h.step.Step), Count: len(h.places)}
	if len(h.places) > 0 {
		l.Worker = h.places[0].Worker
	}
	l.Detail = fmt.Sprintf("claims %d and %d MB, planned begin in %d ms, held for %d ms",
		h.claim.MilliCPU, h.claim.MemoryMB, h.begin.Sub(env.Now)/model.Millisecond, env.Now.Sub(h.madeAt)/model.Millisecond)
	if reason != "" {
		l.Detail = reason + ": " + l.Detail
	}
	out.log(code, l)
}
