package replay

import (
	"math"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// taskPatience is how long after its submission, plus its own run time, a task
	// may finish without being late.
	taskPatience = 120 * model.Second
	// returnTolerance is the largest distance below its entitlement, in percentage
	// points, at which a returning team counts as having its share.
	returnTolerance = 2.0
)

// taskSample is the use of the workers by the tasks of each team at one time, as
// fractions of the use by all teams.
type taskSample struct {
	at        model.Time
	full      bool // every pool that is not spare has waiting tasks
	fractions map[model.TeamID]float64
	entitled  map[model.TeamID]float64
	waiting   map[model.TeamID]int
}

// sampleTasks records how the teams share the workers, by the true sizes of tasks.
func (e *engine) sampleTasks() {
	if len(e.workers) == 0 || e.now < e.traceStart || e.now > e.traceStart.Add(e.trace.Header.Length.Duration()) {
		return
	}
	var total model.Resources
	used := make(map[model.TeamID]model.Resources)
	running := make(map[model.TaskID]bool)
	for _, id := range model.SortedKeys(e.workers) {
		w := e.workers[id]
		if w.Lost {
			continue
		}
		total = total.Add(w.Capacity)
		for task, t := range w.tasks {
			if t.phase == message.RunRunning {
				record := e.obs.tasks[task]
				used[record.Team] = used[record.Team].Add(t.usage(record.Size))
				running[task] = true
			}
		}
	}
	s := taskSample{at: e.now, waiting: make(map[model.TeamID]int)}
	pools := make(map[model.PoolID]bool)
	for id, t := range e.obs.tasks {
		if !t.finished && !t.cancelled && !running[id] {
			s.waiting[t.Team]++
			pools[t.Pool] = true
		}
	}
	s.full = true
	for id, p := range e.rules.Pools {
		s.full = s.full && (p.Spare || pools[id])
	}
	s.computeEntitlements(used, total, func(id model.TeamID) float64 { return e.rules.Teams[id].Share })
	e.obs.taskSamples = append(e.obs.taskSamples, s)
}

// computeEntitlements computes the fractions and the entitlements of the teams.
// Entitlements divide the total use in proportion to the shares, but a team without
// waiting tasks is entitled to no more than it uses.
func (s *taskSample) computeEntitlements(used map[model.TeamID]model.Resources, total model.Resources, share func(model.TeamID) float64) {
	s.fractions, s.entitled = make(map[model.TeamID]float64), make(map[model.TeamID]float64)
	for id := range s.waiting {
		s.fractions[id] = dominantFraction(used[id], total)
	}
	for id := range used {
		s.fractions[id] = dominantFraction(used[id], total)
	}
	sum := 0.0
	for _, id := range model.SortedKeys(s.fractions) {
		sum += s.fractions[id]
	}
	if sum == 0 {
		return
	}
	left, shares := 1.0, 0.0
	for _, id := range model.SortedKeys(s.fractions) {
		s.fractions[id] /= sum
		shares += share(id)
	}
	// Teams that need less than their share are settled first; the remainder is
	// divided among the others again.
	for again := true; again; {
		again = false
		for _, id := range model.SortedKeys(s.fractions) {
			if _, settled := s.entitled[id]; settled || s.waiting[id] > 0 || s.fractions[id] > left*share(id)/shares {
				continue
			}
			s.entitled[id] = s.fractions[id]
			left -= s.fractions[id]
			shares -= share(id)
			again = true
		}
	}
	for _, id := range model.SortedKeys(s.fractions) {
		if _, settled := s.entitled[id]; !settled {
			s.entitled[id] = left * share(id) / shares
		}
	}
}

func dominantFraction(used, total model.Resources) float64 {
	return max(
		float64(used.MilliCPU)/float64(max(total.MilliCPU, 1)),
		float64(used.MemoryMB)/float64(max(total.MemoryMB, 1)),
		float64(used.Accelerators)/float64(max(total.Accelerators, 1)),
	)
}

// distance returns the mean and the largest distance between use and entitlement over
// all teams, in percentage points.
func (s *taskSample) distance() (mean, largest float64) {
	for _, id := range model.SortedKeys(s.entitled) {
		d := 100 * math.Abs(s.fractions[id]-s.entitled[id])
		mean += d / float64(len(s.entitled))
		largest = max(largest, d)
	}
	return mean, largest
}

// measureTaskShares adds the measures of the teams' shares of the workers.
func (r *Result) measureTaskShares(e *engine) {
	var full int
	var distance, worst float64
	for i := range e.obs.taskSamples {
		if s := &e.obs.taskSamples[i]; s.full && len(s.fractions) > 1 {
			full++
			mean, largest := s.distance()
			distance += mean
			worst += largest
		}
	}
	const never = "at no time were all pools full with tasks of at least two teams"
	r.addRatio(MeasureTaskDistance, distance, float64(full), never)
	r.addRatio(MeasureTaskWorst, worst, float64(full), never)
	r.add(MeasureTaskFull, float64(full)*hostSampleInterval.Seconds())
	r.measureReturn(e)
	r.measureLateTasks(e)
}

// measureReturn adds the time from the first sample with a task of a team until the
// team first has its share, for the team that takes longest.
func (r *Result) measureReturn(e *engine) {
	firstSeen, reached := make(map[model.TeamID]model.Time), make(map[model.TeamID]model.Time)
	for i := range e.obs.taskSamples {
		s := &e.obs.taskSamples[i]
		for id := range s.fractions {
			if _, known := firstSeen[id]; !known {
				firstSeen[id] = s.at
			}
			if _, known := reached[id]; !known && 100*(s.entitled[id]-s.fractions[id]) <= returnTolerance {
				reached[id] = s.at
			}
		}
	}
	longest := 0.0
	for _, id := range model.SortedKeys(firstSeen) {
		if _, known := reached[id]; !known {
			r.addMissing(MeasureTaskReturn, "team "+string(id)+" never reached its share")
			return
		}
		longest = max(longest, reached[id].Sub(firstSeen[id]).Seconds())
	}
	if len(firstSeen) == 0 {
		r.addMissing(MeasureTaskReturn, "no task")
		return
	}
	r.add(MeasureTaskReturn, longest)
}

// measureLateTasks adds the measures of lost work, interruptions and late tasks.
func (r *Result) measureLateTasks(e *engine) {
	var work, lost, interrupts, due, late float64
	end := e.traceStart.Add(e.trace.Header.Length.Duration())
	for _, id := range model.SortedKeys(e.obs.tasks) {
		t := e.obs.tasks[id]
		cores := float64(t.Size.MilliCPU) / 1000
		lost += t.lostRunTime.Seconds() * cores
		interrupts += float64(t.interruptions)
		if t.finished {
			work += t.Run.Duration().Seconds() * cores
		}
		latest := t.submittedAt.Add(t.Run.Duration() + taskPatience)
		if t.NeverRuns || t.cancelled || latest > end {
			continue
		}
		due++
		if !t.finished || t.finishedAt > latest {
			late++
		}
	}
	r.addRatio(MeasureTaskLost, lost, work+lost, "no task")
	r.add(MeasureTaskInterrupts, interrupts)
	r.addRatio(MeasureTaskLate, late, due, "no task is due")
}
