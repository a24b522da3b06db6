package schedule

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule/contention"
)

// Bounds are the limits of the platform that the scheduler observes.
type Bounds struct {
	LeaseMax    model.Duration // longest lease of a worker
	StatusKept  model.Duration // how long the state of an ended job can be queried
	Move        model.Duration // how long it takes to move a host
	Maintenance model.Duration // how long the maintenance of a host takes
	Disabled    FeatureSet     // features that are switched off
	// HostOrdersPerSecond is the number of orders that the owner of the hosts accepts per
	// second, 0 for no limit.
	HostOrdersPerSecond float64
}

// Env is the environment in which one event is handled.
type Env struct {
	Now    model.Time // local clock of this process
	Clock  model.Time // replicated clock
	Term   uint64
	State  *jobs.State
	Bounds Bounds // of this deployment
}

// Out collects the effects of an event and the commands to propose.
type Out struct {
	Effects   []effect.Effect
	Proposals []jobs.Command
}

func (o *Out) log(code effect.Code, l effect.Log) {
	l.Code = code
	o.Effects = append(o.Effects, l)
}

// Scheduler holds the leader's state of workers, jobs and runs. It is rebuilt from the
// replicated state at the beginning of a term.
type Scheduler struct {
	termBegan          model.Time
	workers            map[model.WorkerID]*worker
	contacts           map[contactKey]*contact
	workersByHost      map[model.HostID][]*worker
	active             map[model.JobID]*activeJob
	services           map[model.ServiceID]*pool
	teamUsage          map[model.TeamID]model.Resources // claimed by the runs of each team
	shares             shares
	abandoned          map[jobs.RunRef]bool  // given up, and the record of it not yet committed
	proposed           map[jobs.TaskRef]bool // tasks whose assignment is proposed and not yet committed
	runs               map[jobs.RunRef]*run
	runsByJob          map[model.JobID]map[jobs.RunRef]*run // index of runs
	callSeq            uint64                               // sequence number of the latest call
	raisedToken        uint64                               // largest that largerToken has returned
	unansweredAt       model.Time                           // latest call without an answer of a recently active worker
	lastTickAt         model.Time                           // latest tick
	lateTickAt         model.Time                           // latest late tick
	orderTime          model.Duration                       // moving average of the time to the answer of an order
	orderTimeAt        model.Time                           // time of the latest such answer
	load               load
	durationModels     map[model.QueueID]*durationModel
	learnedAt          model.Time // latest record of what was learned
	learnedSamples     int        // samples and estimates in it
	restored           int        // models that were restored at the beginning of the term
	digestIgnored      bool       // a digest was not usable
	firstArrivals      firstArrivals
	forecasts          map[model.ServiceID]Forecast
	pendingAdviceCalls map[uint64]*adviceCall // calls without a result yet, by sequence number
	lastForgetAt       model.Time
	detached           []*worker                   // replaced or departed workers whose runs may still be running
	leaving            map[model.HostID]bool       // hosts that are to be drained soon
	drainBlocks        map[model.HostID]DrainBlock // see DrainBlock
	cordoned           map[model.HostID]bool       // hosts that get no new runs, because they are to be moved or maintained
}

// pool is the scheduler's state of one service.
type pool struct {
	jobs          []*activeJob // active jobs in the order in which they are served
	dirty         bool         // it may be possible to place a task
	arrivals      []arrival    // within the latest arrivalWindow
	burst         burst
	accepted      contention.AcceptedRates
	retries       contention.Retries
	shares        contention.Shares
	utilization   contention.Utilization
	observedSince model.Time    // when this leader first read the rate of arrivals
	workers       []*worker     // by ID
	capacityIndex capacityIndex // the same workers by free capacity
	reservations  reservations

	batchCapacity      model.Resources // see the method of the scheduler
	batchCapacityValid bool            // batchCapacity was computed since the latest tick
}

// New returns the scheduler of a new leader that has applied all entries of earlier
// terms.
func New(env Env) *Scheduler {
	s := &Scheduler{
		termBegan:     env.Now,
		workers:       make(map[model.WorkerID]*worker),
		contacts:      make(map[contactKey]*contact),
		workersByHost: make(map[model.HostID][]*worker),
		active:        make(map[model.JobID]*activeJob),
		services:      make(map[model.ServiceID]*pool),
		teamUsage:     make(map[model.TeamID]model.Resources),
		shares:        make(shares),
		abandoned:     make(map[jobs.RunRef]bool),
		proposed:      make(map[jobs.TaskRef]bool),
		runs:          make(map[jobs.RunRef]*run),
		runsByJob:     make(map[model.JobID]map[jobs.RunRef]*run),
		lastForgetAt:  env.Now,
		cordoned:      make(map[model.HostID]bool),

		durationModels: make(map[model.QueueID]*durationModel),
		firstArrivals:  firstArrivals{at: make(map[model.JobID]model.Time)},

		pendingAdviceCalls: make(map[uint64]*adviceCall),
	}
	s.restoreLearned(env)
	for _, id := range model.SortedKeys(env.State.Workers) {
		s.addWorker(env, env.State.Workers[id])
	}
	for _, id := range model.SortedKeys(env.State.Jobs) {
		s.restoreJob(env, env.State.Jobs[id])
	}
	return s
}

// restoreJob restores a job of the replicated state and its runs that may be running.
func (s *Scheduler) restoreJob(env Env, j *jobs.Job) {
	if j.Phase == jobs.Active {
		s.addJob(env, j)
	}
	for k := range j.Rounds {
		for step := range j.Rounds[k].Tasks {
			for i := range j.Rounds[k].Tasks[step] {
				t := &j.Rounds[k].Tasks[step][i]
				if t.Phase != jobs.Placed {
					continue
				}
				ref := jobs.RunRef{TaskRef: jobs.TaskRef{Job: j.ID, Round: k, Step: step, Index: i}, Run: t.Run}
				r := s.addRun(env, j, ref, t.Worker, t.Incarnation)
				r.inherit(env, t)
				r.stopping = j.Phase != jobs.Active
			}
		}
	}
}

// sortLate marks the jobs that have become late and sorts them behind the others.
func (p *pool) sortLate(now model.Time) {
	changed := false
	for _, job := range p.jobs {
		if !job.late && !job.longRunning && now > job.due {
			job.late, changed = true, true
		}
	}
	if changed {
		slices.SortFunc(p.jobs, compareJobs)
	}
}

func (s *Scheduler) pool(id model.ServiceID) *pool {
	p := s.services[id]
	if p == nil {
		p = &pool{}
		s.services[id] = p
	}
	return p
}

// Advance handles a tick: it performs everything that is due at the current time.
func (s *Scheduler) Advance(env Env, out *Out) {
	if s.lastTickAt != 0 {
		s.load.longestTick = max(s.load.longestTick, env.Now.Sub(s.lastTickAt))
		if env.Now.Sub(s.lastTickAt) > lateTick {
			s.lateTickAt = env.Now
		}
	}
	s.logLoad(env, out)
	s.decayOrderTime(env.Now)
	s.lastTickAt = env.Now
	s.advanceDetached(env, out)
	s.expireAdviceCalls(env, out)
	for _, id := range model.SortedKeys(s.workers) {
		s.advanceWorker(env, out, s.workers[id])
	}
	for _, id := range model.SortedKeys(s.services) {
		p := s.services[id]
		p.dirty = p.dirty || len(p.jobs) > 0 || len(p.reservations.holds) > 0
		p.batchCapacityValid = false
		p.sortLate(env.Clock)
		if env.Bounds.Enabled(Contention) {
			s.observeUtilization(env, p)
			s.updateShares(env, out, id, p)
		}
	}
	s.recordLearned(env, out)
	if env.Now.Sub(s.lastForgetAt) >= forgetInterval {
		s.lastForgetAt = env.Now
		s.forgetContacts(env.Now)
		if len(env.State.Ended) > 0 {
			before := env.Clock.Add(-env.Bounds.StatusKept - forgetInterval)
			out.Proposals = append(out.Proposals, jobs.Command{Forget: &jobs.Forget{Before: before}})
		}
	}
}

// forgetInterval is the time between two removals of ended jobs. Ended jobs are kept
// for this time in addition to Bounds.StatusKept.
const forgetInterval = 10 * model.Second

// Committed handles a committed command.
func (s *Scheduler) Committed(env Env, out *Out, c *jobs.Command, r jobs.Result) {
	switch {
	case c.Configure != nil && r.Changed:
		s.requeueAll(env)
	case c.SetOut != nil:
		s.markAllDirty()
	case c.Submit != nil && r.Changed:
		s.addJob(env, env.State.Jobs[c.Submit.ID])
	case c.Assign != nil:
		s.handleAssigned(env, out, c.Assign, r.Applied)
	case c.End != nil:
		s.handleEndsRecorded(env, out, c.End, r.Applied)
	case c.Announce != nil && r.Changed:
		s.handleAnnounced(env, out, env.State.Workers[c.Announce.ID])
	case c.Depart != nil && r.Changed:
		s.handleDeparted(env, out, c.Depart)
	}
	if c.Cancel != nil && r.Changed {
		s.stopJob(env, out, c.Cancel.Job, false)
	}
	for _, id := range r.Ended {
		s.handleJobEnded(env, out, id)
	}
}

func (s *Scheduler) markAllDirty() {
	for _, p := range s.services {
		p.dirty = true
	}
}

// requeueAll rebuilds the job lists of all pools, because a new configuration may give
// queues another service or precedence.
func (s *Scheduler) requeueAll(env Env) {
	for _, p := range s.services {
		p.jobs, p.dirty = nil, true
	}
	for _, id := range model.SortedKeys(s.active) {
		s.enqueue(env, s.active[id])
	}
}

func (s *Scheduler) handleJobEnded(env Env, out *Out, id model.JobID) {
	job := s.active[id]
	if job == nil {
		return
	}
	delete(s.active, id)
	p := s.pool(job.service)
	p.jobs = slices.DeleteFunc(p.jobs, func(other *activeJob) bool { return other == job })
	if j := env.State.Jobs[id]; j != nil {
		out.log(effect.JobEnded, effect.Log{Request: model.RequestID(id), Queue: j.Queue, Team: j.Team, Detail: string(j.Phase)})
		s.stopJob(env, out, id, j.Phase == jobs.Completed)
	}
}

// stopJob stops all runs of a job. The members of a gang end together, so the gangs of
// a completed job need no order, unless their tasks may run in copies.
func (s *Scheduler) stopJob(env Env, out *Out, id model.JobID, completed bool) {
	for _, r := range sortedRuns(s.runsByJob[id]) {
		if !completed || !r.step.Gang || r.step.Copies {
			s.stop(env, out, r, "its job has ended")
		}
	}
}

func sortedRuns(runs map[jobs.RunRef]*run) []*run {
	list := make([]*run, 0, len(runs))
	for _, r := range runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.ref, b.ref) })
	return list
}

func compareRuns(a, b jobs.RunRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Round, b.Round),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run))
}

func (s *Scheduler) call(w *worker, c order.Call) effect.CallWorker {
	s.callSeq++
	c.Seq, c.Worker, c.Incarnation, c.Address, c.Token = s.callSeq, w.info.ID, w.info.Incarnation, w.info.Address, w.token
	return effect.CallWorker{Call: c}
}

// Pending counts the accepted jobs of a queue none of whose tasks has begun.
func (s *Scheduler) Pending(queue model.QueueID) int {
	n := 0
	for _, job := range s.active {
		if job.job.Queue == queue && !job.begun {
			n++
		}
	}
	return n
}
