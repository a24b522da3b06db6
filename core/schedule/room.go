package schedule

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// roomIndex keeps the workers of a service by what they have free, so that a task
// without special needs finds its worker without a look at each.
type roomIndex struct {
	// Workers that run long-running tasks, and the others. Least free first, then by id.
	withLongRunning, without []*worker
}

// roomKey is a worker's place in a roomIndex.
type roomKey struct {
	listed      bool
	longRunning bool
	free        int64 // thousandths of a core
}

func (x *roomIndex) list(longRunning bool) *[]*worker {
	if longRunning {
		return &x.withLongRunning
	}
	return &x.without
}

// update gives a worker the place that fits what it has free now.
func (x *roomIndex) update(w *worker) {
	key := roomKey{true, w.longRunning > 0, w.free().MilliCPU}
	if w.place == key {
		return
	}
	x.remove(w)
	w.place = key
	list := x.list(key.longRunning)
	at, _ := slices.BinarySearchFunc(*list, w, compareRoom)
	*list = slices.Insert(*list, at, w)
}

func (x *roomIndex) remove(w *worker) {
	if !w.place.listed {
		return
	}
	list := x.list(w.place.longRunning)
	if at, found := slices.BinarySearchFunc(*list, w, compareRoom); found {
		*list = slices.Delete(*list, at, at+1)
	}
	w.place = roomKey{}
}

func compareRoom(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.place.free, b.place.free), compareIDs(a.info.ID, b.info.ID))
}

// fullest returns the worker with least free that has room for a claim, of those
// that may be given new runs: one that runs long-running tasks if there is any.
func (x *roomIndex) fullest(claim model.Resources, mayUse func(*worker) bool) *worker {
	for _, list := range [][]*worker{x.withLongRunning, x.without} {
		first, _ := slices.BinarySearchFunc(list, claim.MilliCPU, func(w *worker, cpu int64) int {
			return cmp.Compare(w.place.free, cpu)
		})
		for _, w := range list[first:] {
			if claim.Fits(w.free()) && mayUse(w) {
				return w
			}
		}
	}
	return nil
}

// isPlain reports whether a task may run on any worker of its service and runs as
// well on one as on another.
func isPlain(p *progress, step *jobs.Step, ref jobs.TaskRef) bool {
	return runsAnywhere(step) && p.advised == nil && p.failedOn[ref] == ""
}

// runsAnywhere reports whether a step asks no more of its workers than room.
func runsAnywhere(step *jobs.Step) bool {
	return !step.Gang && !step.LongRunning && !step.BestEffort && step.Target == 0 && step.PerWorker == 0 &&
		step.Requires == "" && step.DataRack == ""
}

// candidates finds workers during one placement of a service, in which room only
// shrinks.
type candidates struct {
	env     Env
	s       *Scheduler
	pool    *pool
	usable  []*worker // nil until some task needs them
	largest model.Resources
	// refused are claims for which no worker had room.
	refused []model.Resources
}

// list returns the workers that may be given new runs.
func (c *candidates) list() []*worker {
	if c.usable == nil {
		c.usable = c.s.usable(c.env, c.pool)
		c.largest = roomiest(c.usable)
	}
	return c.usable
}

// assigned records that room was taken.
func (c *candidates) assigned() {
	if c.usable != nil {
		c.largest = roomiest(c.usable)
	}
}

// forPlain returns the worker of a plain task, or nil if none has room.
func (c *candidates) forPlain(claim model.Resources) *worker {
	if c.hasRefused(claim) {
		return nil
	}
	w := c.pool.room.fullest(claim, func(w *worker) bool { return c.s.isUsable(c.env, w) })
	if w == nil {
		c.refused = append(c.refused, claim)
	}
	return w
}

// hasRefused reports whether a claim is at least one for which no worker had room.
func (c *candidates) hasRefused(claim model.Resources) bool {
	for i := range c.refused {
		if c.refused[i].Fits(claim) {
			return true
		}
	}
	return false
}

// refuses reports whether no ready task of a job can have a worker any more.
func (c *candidates) refuses(p *progress) bool {
	return p.anywhere && p.advised == nil && c.hasRefused(p.least)
}
