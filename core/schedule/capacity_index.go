package schedule

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// capacityIndex keeps the workers of a service sorted by free capacity, so that the
// worker for an unconstrained task is found without visiting every worker.
type capacityIndex struct {
	// Workers with long-running tasks, and the others, each sorted by free processor
	// time in ascending order and then by ID.
	withLongRunning, without []*worker
}

// capacityKey is the position of a worker in a capacityIndex.
type capacityKey struct {
	listed      bool
	longRunning bool
	free        int64 // thousandths of a core
}

func (x *capacityIndex) list(longRunning bool) *[]*worker {
	if longRunning {
		return &x.withLongRunning
	}
	return &x.without
}

// update moves a worker to the position of its current free capacity.
func (x *capacityIndex) update(w *worker) {
	key := capacityKey{true, w.longRunning > 0, w.free().MilliCPU}
	if w.indexKey == key {
		return
	}
	x.remove(w)
	w.indexKey = key
	list := x.list(key.longRunning)
	at, _ := slices.BinarySearchFunc(*list, w, compareFree)
	*list = slices.Insert(*list, at, w)
}

func (x *capacityIndex) remove(w *worker) {
	if !w.indexKey.listed {
		return
	}
	list := x.list(w.indexKey.longRunning)
	if at, found := slices.BinarySearchFunc(*list, w, compareFree); found {
		*list = slices.Delete(*list, at, at+1)
	}
	w.indexKey = capacityKey{}
}

func compareFree(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.indexKey.free, b.indexKey.free), compareIDs(a.info.ID, b.info.ID))
}

// bestFit returns the worker with the least free processor time that can hold a claim,
// among those that mayUse allows. Workers with long-running tasks are preferred.
func (x *capacityIndex) bestFit(claim model.Resources, mayUse func(*worker) bool) *worker {
	for _, list := range [][]*worker{x.withLongRunning, x.without} {
		first, _ := slices.BinarySearchFunc(list, claim.MilliCPU, func(w *worker, cpu int64) int {
			return cmp.Compare(w.indexKey.free, cpu)
		})
		for _, w := range list[first:] {
			if claim.Fits(w.free()) && mayUse(w) {
				return w
			}
		}
	}
	return nil
}

// needsOnlyCapacity reports whether a task may run on any worker of its service that has
// free capacity, so that best fit alone decides which one gets it.
func needsOnlyCapacity(job *activeJob, step *jobs.Step, ref jobs.TaskRef) bool {
	return isUnconstrained(step) && job.policy == nil && job.failedOn[ref] == ""
}

// isUnconstrained reports whether a step requires nothing of its workers but capacity.
func isUnconstrained(step *jobs.Step) bool {
	return !step.Gang && !step.LongRunning && !step.BestEffort && step.Target == 0 && step.PerWorker == 0 &&
		step.Requires == "" && step.DataRack == ""
}

// candidates finds workers during one placement of a service, in which free capacity
// only decreases.
type candidates struct {
	env     Env
	s       *Scheduler
	pool    *pool
	usable  []*worker // computed when a task first needs them
	largest model.Resources
	// unplaceable holds claims that fitted on no worker.
	unplaceable []model.Resources
	// reservedFrom holds tasks that fitted only on workers that are reserved from them.
	reservedFrom []reservedFrom
}

// reservedFrom is a task that the reservations of the pool keep off every worker on which it
// fits.
type reservedFrom struct {
	claim    model.Resources
	duration model.Duration // cautious prediction
}

// list returns the usable workers.
func (c *candidates) list() []*worker {
	if c.usable == nil {
		c.usable = c.s.usable(c.env, c.pool)
		c.largest = maxFree(c.usable)
	}
	return c.usable
}

// updateLargest updates largest after an assignment has reserved capacity.
func (c *candidates) updateLargest() {
	if c.usable != nil {
		c.largest = maxFree(c.usable)
	}
}

// bestFit returns the worker for a task that needs only capacity, or nil if it fits on
// none.
func (c *candidates) bestFit(job *activeJob, step *jobs.Step) *worker {
	claim := step.Claim()
	if c.isUnplaceable(claim) || c.isReservedFrom(job, step) {
		return nil
	}
	reserved := false
	w := c.pool.capacityIndex.bestFit(claim, func(w *worker) bool {
		if !c.s.isUsable(c.env, w) {
			return false
		}
		if len(w.reserved) > 0 && c.s.isReservedFrom(c.env, w, job, step) {
			reserved = true
			return false
		}
		return true
	})
	switch {
	case w != nil:
	case reserved:
		c.reservedFrom = append(c.reservedFrom, reservedFrom{claim, c.s.cautiousTime(job.job.Queue, step)})
	default:
		c.unplaceable = append(c.unplaceable, claim)
	}
	return w
}

// isReservedFrom reports whether a task is at least as large and as long as one that the
// reservations kept off every worker. A reservation that binds a job binds all that are
// served later, except its own.
func (c *candidates) isReservedFrom(job *activeJob, step *jobs.Step) bool {
	if len(c.reservedFrom) == 0 || job.hold != nil {
		return false
	}
	claim, duration := step.Claim(), c.s.cautiousTime(job.job.Queue, step)
	return slices.ContainsFunc(c.reservedFrom, func(r reservedFrom) bool { return r.claim.Fits(claim) && r.duration <= duration })
}

// isUnplaceable reports whether a claim is at least as large as one that fitted on no
// worker.
func (c *candidates) isUnplaceable(claim model.Resources) bool {
	for i := range c.unplaceable {
		if c.unplaceable[i].Fits(claim) {
			return true
		}
	}
	return false
}

// cannotPlace reports whether no ready task of a job can be placed any more.
func (c *candidates) cannotPlace(job *activeJob) bool {
	return job.unconstrained && job.policy == nil && c.isUnplaceable(job.minClaim)
}
