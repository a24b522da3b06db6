package reservation

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// Never is the time of an end that cannot be predicted.
const Never = model.Time(1 << 62)

// End is the predicted end of a run, which releases its claim.
type End struct {
	At    model.Time
	Claim model.Resources
}

// Worker is a worker that may hold tasks of a request.
type Worker struct {
	ID    model.WorkerID // empty for a host that has not joined the pool yet
	Rack  model.RackID
	From  model.Time      // it takes no run before this
	Free  model.Resources // free now, less what is reserved for other requests
	Ends  []End           // in any order; sorted by Make
	Limit int             // most tasks of the request on it, 0 for no limit
}

// Request is a task, or a gang whose tasks begin at the same time.
type Request struct {
	Claim model.Resources // of one task
	Tasks int
	// Colocated requests are placed on one rack if that delays them by at most
	// MaxRackDelay.
	Colocated    bool
	MaxRackDelay model.Duration
}

// Place is a number of tasks on one worker.
type Place struct {
	Worker model.WorkerID
	Tasks  int
}

// Plan is the earliest predicted time at which all tasks of a request fit, and where.
type Plan struct {
	Begin  model.Time
	Places []Place
}

// slot is room for one more task on a worker from a time on.
type slot struct {
	at     model.Time
	worker int // index
}

// Make returns the plan for a request. It returns false if the tasks do not fit even after
// all predicted ends.
func Make(now model.Time, workers []Worker, r Request) (Plan, bool) {
	slots := make([]slot, 0, len(workers))
	for i := range workers {
		slots = appendSlots(slots, now, i, &workers[i], r)
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(workers[a.worker].ID, workers[b.worker].ID), cmp.Compare(a.worker, b.worker))
	})
	if len(slots) < r.Tasks {
		return Plan{}, false
	}
	chosen := slots[:r.Tasks]
	if r.Colocated {
		if onRack := soonestRack(workers, slots, r.Tasks); onRack != nil && last(onRack).Sub(last(chosen)) <= r.MaxRackDelay {
			chosen = onRack
		}
	}
	plan := Plan{Begin: last(chosen)}
	for _, s := range chosen {
		id := workers[s.worker].ID
		at := slices.IndexFunc(plan.Places, func(p Place) bool { return p.Worker == id })
		if at < 0 {
			plan.Places = append(plan.Places, Place{Worker: id})
			at = len(plan.Places) - 1
		}
		plan.Places[at].Tasks++
	}
	return plan, true
}

func last(slots []slot) model.Time { return slots[len(slots)-1].at }

// appendSlots adds a slot for each task of a request that a worker can hold, at the time
// from which it has the room.
func appendSlots(slots []slot, now model.Time, index int, w *Worker, r Request) []slot {
	limit := r.Tasks
	if w.Limit > 0 {
		limit = min(limit, w.Limit)
	}
	slices.SortFunc(w.Ends, func(a, b End) int { return cmp.Compare(a.At, b.At) })
	free, at, n := w.Free, max(now, w.From), 0
	for next := 0; ; next++ {
		for fits := min(limit, Count(free, r.Claim, limit)); n < fits; n++ {
			slots = append(slots, slot{at, index})
		}
		if n == limit || next == len(w.Ends) || w.Ends[next].At >= Never {
			return slots
		}
		free, at = free.Add(w.Ends[next].Claim), max(at, w.Ends[next].At)
	}
}

// Count returns how many claims fit into free capacity, at most limit.
func Count(free, claim model.Resources, limit int) int {
	n := int64(limit)
	for _, d := range [][2]int64{
		{free.MilliCPU, claim.MilliCPU}, {free.MemoryMB, claim.MemoryMB}, {free.Accelerators, claim.Accelerators},
	} {
		switch {
		case d[0] < d[1]:
			return 0
		case d[1] > 0:
			n = min(n, d[0]/d[1])
		}
	}
	return int(n)
}

// soonestRack returns the first slots of the rack that can hold all tasks soonest, or nil
// if none can. The slots are sorted by time.
func soonestRack(workers []Worker, slots []slot, tasks int) []slot {
	byRack := make(map[model.RackID][]slot)
	for _, s := range slots {
		rack := workers[s.worker].Rack
		byRack[rack] = append(byRack[rack], s)
		if len(byRack[rack]) == tasks {
			return byRack[rack]
		}
	}
	return nil
}
