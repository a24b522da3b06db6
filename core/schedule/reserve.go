package schedule

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/schedule/reservation"
)

const (
	// maxReservations is the number of jobs of a pool that hold a reservation, and
	// workersPerReservation the number of workers for each after the first. Each keeps
	// capacity idle until it begins. In the simulation of five workers with four at once, a
	// backlog of 40 s takes longer than 60 s.
	maxReservations       = 4
	workersPerReservation = 16
	// largeFraction is the part of the largest worker, as a divisor, from which a task is
	// large: three such tasks at most share a worker, so that it seldom has the room.
	largeFraction = 3
	// strictLateness is how late a job is when its reservation becomes strict. It is longer
	// than a burst of a few seconds, so that the on-time jobs of the burst that made the
	// job late are served first.
	strictLateness = 20 * model.Second
	// planInterval, plus planWorkerTime for each worker of the pool, is the least time
	// between two plans of a pool. A plan visits every run of the pool.
	planInterval   = 100 * model.Millisecond
	planWorkerTime = 200 * model.Microsecond
	// vainPlanDelay is how long a job makes no plan after one that gave no reservation. The
	// plans of its pool are left to other jobs meanwhile.
	vainPlanDelay = 500 * model.Millisecond
	// missTolerance is the time after the planned begin at which a reservation counts as
	// missed. Ends are reported within a few tens of milliseconds.
	missTolerance = 100 * model.Millisecond
	// unprovenSigma is the assumed standard deviation of the logarithm of a task's time while
	// too few runs of its queue are measured: estimates are often off by half.
	unprovenSigma = 0.5
	// minGain is how much sooner other workers have to be free for a reservation to move to
	// them. By then its own are partly empty, and the prediction for the others may be as
	// wrong.
	minGain = 500 * model.Millisecond
	// maxRackDelay is the longest delay of a colocated gang that its reservation accepts
	// to have it on one rack.
	maxRackDelay = 1 * model.Second
	// maxReservationLogs is the number of events about the reservations of a pool that are
	// logged in each second.
	maxReservationLogs = 10
)

// hold is a reservation of capacity for one waiting task or gang. It keeps later tasks off
// its places, unless they are predicted to end before it begins or fit beside it.
type hold struct {
	pool   *pool
	job    *activeJob
	step   jobs.StepRef
	claim  model.Resources // of one task
	begin  model.Time      // predicted
	madeAt model.Time
	// A strict reservation also binds jobs that are served earlier. Its begin and its places
	// are final: after the begin, only tasks that leave its claim free for good start there,
	// so that it waits at most for the runs of that time.
	strict    bool
	places    []reservation.Place
	onNewHost bool // one of its places is a host that is to join the pool
	joins     int  // value of reservations.joins when it was planned
}

// reservations are those of one pool. They bound how long large tasks and gangs wait under a
// continuous stream of smaller tasks.
type reservations struct {
	holds   []*hold
	planAt  model.Time      // earliest time of the next plan
	joins   int             // number of times that a worker of the pool became usable
	largest model.Resources // largest capacity of a worker in each resource
	ended   bool            // a reservation has ended in this pass

	checkedJoins int // value of joins in the latest pass

	nextStrict *activeJob // job that is to hold the strict reservation, or nil
	strictGang bool       // the latest strict reservation was that of a gang

	logSecond model.Time // begin of the second in which logged events are counted
	logged    int
}

// reservedClaim is what one reservation claims of a worker.
type reservedClaim struct {
	hold  *hold
	claim model.Resources
}

// workerJoined records that a worker has joined the pool.
func (x *reservations) workerJoined(w *worker) {
	x.largest = x.largest.Max(w.info.Capacity)
}

// workerLeft records that a worker has left the pool, and that it holds no reservations.
func (x *reservations) workerLeft(left *worker, staying []*worker) {
	left.reserved, x.largest = nil, model.Resources{}
	for _, w := range staying {
		x.largest = x.largest.Max(w.info.Capacity)
	}
}

func (x *reservations) hasStrict() bool {
	return slices.ContainsFunc(x.holds, func(h *hold) bool { return h.strict })
}

// isLarge reports whether a task claims so much that it seldom fits on a worker beside
// others.
func (x *reservations) isLarge(claim model.Resources) bool {
	large := func(claim, largest int64) bool { return claim > 0 && claim*largeFraction >= largest }
	return large(claim.MilliCPU, x.largest.MilliCPU) || large(claim.MemoryMB, x.largest.MemoryMB) ||
		large(claim.Accelerators, x.largest.Accelerators)
}

// binds reports whether a reservation restricts the tasks of a job: those of its own class,
// whatever their due time, and of classes that are served later; if it is strict, those of
// all jobs but long-running ones and those of higher precedence. Among jobs of one class a
// small one is often due sooner than a large one that came before it, so that an order by due
// time alone starves the large one.
func (h *hold) binds(job *activeJob) bool {
	switch {
	case h.job == job:
		return false
	case compareClasses(h.job, job) <= 0:
		return true
	}
	return h.strict && !job.longRunning && job.precedence >= h.job.precedence
}

// isReservedFrom reports whether the reservations of a worker keep a task off it.
func (s *Scheduler) isReservedFrom(env Env, w *worker, job *activeJob, step *jobs.Step) bool {
	bound, begin := false, reservation.Never
	total := step.Claim().Add(w.untracked)
	for i := range w.reserved {
		if h := w.reserved[i].hold; h.binds(job) {
			bound, begin = true, min(begin, h.begin)
			total = total.Add(w.reserved[i].claim)
		}
	}
	if !bound || s.endsBefore(env, job, step, begin) {
		return false
	}
	for _, r := range w.runs {
		if s.predictedEnd(env, r) > begin {
			total = total.Add(r.claim)
		}
	}
	return !total.Fits(w.info.Capacity)
}

// endsBefore reports whether a task that starts now is predicted to end before a time, with
// a margin of one standard deviation.
func (s *Scheduler) endsBefore(env Env, job *activeJob, step *jobs.Step, t model.Time) bool {
	return !step.LongRunning && env.Now.Add(s.cautiousTime(job.job.Queue, step)) <= t
}

// cautiousTime returns the predicted time of a task of a queue plus one standard deviation.
func (s *Scheduler) cautiousTime(q model.QueueID, step *jobs.Step) model.Duration {
	predicted := s.durations(q).predict(step.Estimate)
	if predicted.sigma == 0 {
		return predicted.scaled(unprovenSigma)
	}
	return predicted.scaled(predicted.sigma)
}

// predictedEnd returns when a run is expected to end, with a margin of one standard
// deviation, since a reservation waits for the last of several runs. A run that has exceeded
// that is expected to exceed it by as much again, which finds the end of a run of many times
// its prediction in few steps.
func (s *Scheduler) predictedEnd(env Env, r *run) model.Time {
	if r.step.LongRunning && !r.stopping {
		return reservation.Never
	}
	since := env.Now
	switch {
	case r.phase == assigned:
	case r.sentAt != 0:
		since = r.sentAt
	case r.begunAt != 0:
		since = r.begunAt
	}
	end := since.Add(s.cautiousTime(r.job.Queue, r.step))
	if end > env.Now {
		return end
	}
	return env.Now.Add(max(missTolerance, env.Now.Sub(end)))
}

// checkReservations gives up the reservations of a pool that are no longer justified. It
// plans those again whose begin has passed, and all after a worker has become usable.
func (s *Scheduler) checkReservations(env Env, out *Out, p *pool) {
	if x := &p.reservations; x.checkedJoins != x.joins {
		x.checkedJoins = x.joins
		for _, job := range p.jobs {
			job.planAt = 0
		}
	}
	for _, h := range slices.Clone(p.reservations.holds) {
		if reason := s.abandonReason(env, p, h); reason != "" {
			s.abandon(env, out, h, reason)
			continue
		}
		missed, joined := env.Now > h.begin.Add(missTolerance), h.joins != p.reservations.joins
		if !h.strict && (missed || joined) && env.Now >= p.reservations.planAt {
			s.planAgain(env, out, p, h)
		}
	}
	p.reservations.nextStrict = s.starvedJob(env, p)
}

// abandonReason returns why a reservation must end, or an empty string.
func (s *Scheduler) abandonReason(env Env, p *pool, h *hold) string {
	job := h.job
	switch {
	case s.active[job.job.ID] != job:
		return "its job has ended"
	case s.pool(job.service) != p:
		return "its job has moved to another service"
	case s.gangOverCap(env, job, h.step.Step):
		return "its team is at its cap"
	case !h.strict && job.late:
		return "its job is late"
	}
	for _, place := range h.places {
		if w := s.workers[place.Worker]; place.Worker != "" && (w == nil || !w.holdsFor(h) || !s.isUsable(env, w)) {
			return fmt.Sprintf("worker %s has left or takes no runs", place.Worker)
		}
	}
	return ""
}

func (w *worker) holdsFor(h *hold) bool {
	return slices.ContainsFunc(w.reserved, func(c reservedClaim) bool { return c.hold == h })
}

// gangOverCap reports whether a step's team would exceed its cap with one more task, or with
// all tasks of a gang.
func (s *Scheduler) gangOverCap(env Env, job *activeJob, step int) bool {
	return s.overCap(env, job.job.Team, times(job.job.Steps[step].Size, tasksTogether(&job.job.Steps[step])))
}

// tasksTogether returns the number of tasks of a step that have to begin at the same time.
func tasksTogether(step *jobs.Step) int {
	if step.Gang {
		return step.Tasks
	}
	return 1
}

func times(r model.Resources, n int) model.Resources {
	return model.Resources{MilliCPU: r.MilliCPU * int64(n), MemoryMB: r.MemoryMB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// keepsOffOnTimeJob reports whether a job that a reservation binds has a task that could
// start, and is not late.
func (s *Scheduler) keepsOffOnTimeJob(env Env, p *pool, h *hold) bool {
	for _, job := range p.jobs {
		if job.late || job.longRunning || !h.binds(job) {
			continue
		}
		if job.refreshReady(env); len(job.ready) > 0 {
			return true
		}
	}
	return false
}

// reserve makes a reservation for a job whose placement has just been tried, if one of its
// large tasks or gangs fits on no worker now.
func (s *Scheduler) reserve(env Env, out *Out, p *pool, job *activeJob) {
	x := &p.reservations
	if h := job.hold; h != nil {
		if !slices.ContainsFunc(job.ready, func(ref jobs.TaskRef) bool { return ref.StepRef() == h.step }) {
			s.abandon(env, out, h, "none of its tasks waits")
		}
		return
	}
	strict := job == x.nextStrict
	if !strict && (env.Now < x.planAt || job.late) || env.Now < job.planAt || job.policy != nil || len(job.ready) == 0 {
		return
	}
	ref, found := s.firstReservable(env, p, job)
	displaced, hasTurn := x.displaced(job, strict, len(p.workers))
	if !found || !hasTurn {
		return
	}
	h := &hold{pool: p, job: job, step: ref.StepRef(), claim: job.job.Steps[ref.Step].Claim(), madeAt: env.Now, strict: strict}
	if !s.plan(env, p, h) || !strict && !s.isWorthwhile(env, p, h) {
		job.planAt = env.Now.Add(vainPlanDelay)
		return
	}
	if displaced != nil {
		s.abandon(env, out, displaced, "a job that is served earlier needs one")
	}
	reason := ""
	if strict {
		x.nextStrict, x.strictGang, reason = nil, job.job.Steps[ref.Step].Gang, "strict"
	}
	s.addHold(h)
	s.logReservation(env, out, effect.ReservationMade, h, reason)
}

// starvedJob returns the job that is to hold the strict reservation of a pool, or nil: the
// first large task or the first gang that is late enough, in turns. Gangs would otherwise
// wait for all large tasks before them one by one, although most of these find a place by
// themselves.
func (s *Scheduler) starvedJob(env Env, p *pool) *activeJob {
	if p.reservations.hasStrict() {
		return nil
	}
	var first [2]*activeJob // with a large task, with a gang
	for _, job := range p.jobs {
		if job.longRunning || env.Clock <= job.due.Add(strictLateness) {
			continue
		}
		job.refreshReady(env)
		if ref, found := s.firstReservable(env, p, job); found {
			kind := 0
			if job.job.Steps[ref.Step].Gang {
				kind = 1
			}
			if first[kind] == nil {
				first[kind] = job
			}
		}
	}
	if first[0] == nil || first[1] != nil && !p.reservations.strictGang {
		return first[1]
	}
	return first[0]
}

// firstReservable returns the first ready task of a job that may hold a reservation.
func (s *Scheduler) firstReservable(env Env, p *pool, job *activeJob) (jobs.TaskRef, bool) {
	mayReserve := func(step *jobs.Step) bool {
		return !step.BestEffort && (step.Gang || p.reservations.isLarge(step.Claim()))
	}
	any := false
	for i := range job.job.Steps {
		any = any || mayReserve(&job.job.Steps[i])
	}
	if !any {
		return jobs.TaskRef{}, false
	}
	for _, ref := range job.ready {
		if mayReserve(&job.job.Steps[ref.Step]) && !s.proposed[ref] && !s.gangOverCap(env, job, ref.Step) {
			return ref, true
		}
	}
	return jobs.TaskRef{}, false
}

// maxHolds returns the number of jobs of a pool that hold a reservation at one time.
func maxHolds(workers int) int { return min(maxReservations, 1+workers/workersPerReservation) }

// displaced returns the reservation that has to be given up for one of another job, or nil if
// there are not too many. It returns false if the job is not among the first of its pool.
func (x *reservations) displaced(job *activeJob, strict bool, workers int) (*hold, bool) {
	if len(x.holds) < maxHolds(workers) {
		return nil, true
	}
	var last *hold
	for _, h := range x.holds {
		if !h.strict && (last == nil || compareJobs(last.job, h.job) < 0) {
			last = h
		}
	}
	return last, last != nil && (strict || compareJobs(job, last.job) < 0)
}

// isWorthwhile reports whether a reservation lets its job end in time, or keeps off no job
// that is on time. A late job holds a strict one or none: among late jobs, capacity that waits
// only lowers the number of those that end.
func (s *Scheduler) isWorthwhile(env Env, p *pool, h *hold) bool {
	switch {
	case h.job.longRunning:
		return true
	case h.job.late:
		return false
	}
	rest := chainFrom(s.durations(h.job.job.Queue), h.job.job, h.step.Step)
	return env.Clock.Add(h.begin.Sub(env.Now)+rest) <= h.job.due || !s.keepsOffOnTimeJob(env, p, h)
}

// chainFrom returns the predicted time of the longest chain of dependent steps that begins
// with the given step.
func chainFrom(m *durationModel, j *jobs.Job, first int) model.Duration {
	ends := make([]model.Duration, len(j.Steps))
	longest := model.Duration(0)
	for i := first; i < len(j.Steps); i++ {
		begin := model.Duration(0)
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		if i == first || begin > 0 {
			ends[i] = begin + m.predict(j.Steps[i].Estimate).longestOf(j.Steps[i].Tasks)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
