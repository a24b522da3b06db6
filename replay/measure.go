package replay

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Measures, by their names in outcome files.
const (
	MeasureLateness       = "lateness"            // fraction of requests that started or were refused late
	MeasureStartedLate    = "started_late"        // fraction of requests that started after their patience
	MeasureRefusedLate    = "refused_late"        // fraction refused after more than half their patience
	MeasureInTime         = "in_time"             // fraction started in time and answered
	MeasureWorthInTime    = "worth_in_time"       // the same, weighted by worth
	MeasureAttempts       = "attempts"            // mean forwards of the requests that were forwarded
	MeasureOvernight      = "overnight"           // fraction of overnight requests that were answered
	MeasureShareDistance  = "share_distance"      // percentage points, mean over the samples in which every service is full
	MeasureShareWorst     = "share_worst"         // the same for the team that is farthest from its share
	MeasureFullSeconds    = "full_seconds"        // time in which every service is full
	MeasureSlotsUsed      = "slots_used"          // fraction of the slot time that was spent on successful runs
	MeasureCentreWork     = "centre_work"         // completed work as a fraction of the upper bound, from the loss of a data centre to its return
	MeasureTasksFinished  = "tasks_finished"      // fraction of the tasks that can run
	MeasureTaskDistance   = "task_share_distance" // percentage points, mean over the samples in which the pools are full
	MeasureTaskWorst      = "task_share_worst"    // the same for the team that is farthest from its share
	MeasureTaskFull       = "task_full_seconds"   // time in which the pools are full
	MeasureTaskReturn     = "task_return_seconds" // seconds until the last returning team has its share
	MeasureTaskLost       = "task_work_lost"      // fraction of the work that is lost when orders stop runs
	MeasureTaskInterrupts = "task_interrupts"     // runs that were stopped by an order
	MeasureTaskLate       = "task_lateness"       // fraction of tasks that finish late
	MeasureIdleBuffer     = "idle_buffer"         // mean hosts in service without a task
	MeasureHostMoves      = "host_moves"          // moves between pools
	MeasureRollOutSeconds = "rollout_seconds"     // from the start of the trace to the end of its waves
	MeasureRollOutRatio   = "rollout_ratio"       // the same, as a multiple of the shortest time that the budgets allow
	MeasurePoolIdle       = "pool_idle"           // the same as idle_buffer, without the hosts of spare pools
	MeasurePoolBuffer     = "pool_buffer"         // mean hosts of pools that are not spare, beyond what the running tasks fill
	MeasureHostsHarmed    = "hosts_harmed"        // hosts that did not come back from the reboot into a wave's image
	MeasureTaskStartLate  = "task_start_lateness" // fraction of the tasks that started late or never
	MeasureTaskWait       = "task_wait"           // mean seconds until the first start
)

// lateRefusalFraction is the fraction of its patience after which a refusal of a
// request counts as late, because the caller has lost that time.
const lateRefusalFraction = 0.5

// Measure is one measured value, or the reason why it was not measured.
type Measure struct {
	Name        string  `json:"name"`
	Value       float64 `json:"value"`
	NotMeasured string  `json:"not_measured,omitempty"`
}

// InvariantCount is the number of violations of an invariant.
type InvariantCount struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Result holds the measures of a replay and the violations of its invariants.
type Result struct {
	Trace          string                 `json:"trace"`
	Seed           uint64                 `json:"seed"`
	Policy         dispatch.PolicyName    `json:"policy"`
	HostPolicy     maintenance.PolicyName `json:"host_policy"`
	Inputs         int                    `json:"inputs"`
	Requests       int                    `json:"requests"`
	Refusals       map[string]int         `json:"refusals"` // by kind
	Measures       []Measure              `json:"measures"`
	Invariants     []InvariantCount       `json:"invariants"`
	RefusedChanges []string               `json:"refused_changes,omitempty"`
	Series         *Series                `json:"-"` // for plots
}

// Measure returns the measure with the given name.
func (r *Result) Measure(name string) (Measure, bool) {
	i := slices.IndexFunc(r.Measures, func(m Measure) bool { return m.Name == name })
	if i < 0 {
		return Measure{}, false
	}
	return r.Measures[i], true
}

// measure computes the measures of a finished replay.
func measure(e *engine) *Result {
	obs := e.obs
	obs.checkFinal()
	r := &Result{
		Trace: e.trace.Header.Name, Seed: e.trace.Header.Seed, Policy: policyOrDefault(e.state.Policy()),
		HostPolicy: cmp.Or(e.state.HostPolicy(), maintenance.PolicySized),
		Inputs:     obs.inputs, Requests: len(obs.byArrival), Refusals: make(map[string]int), RefusedChanges: obs.refusedChanges,
	}
	for _, q := range obs.byArrival {
		if q.kind != "" {
			r.Refusals[string(q.kind)]++
		}
	}
	r.measureRequests(obs)
	r.measureFleet(e)
	r.measureTasks(e)
	r.measureTaskShares(e)
	for _, name := range []string{InvariantTeamLimit, InvariantAtMostOnce, InvariantCentreOut, InvariantLeaving,
		InvariantNotRun, InvariantAnswers, InvariantOperators, InvariantOvercommits, InvariantBudgets, InvariantPools} {
		r.Invariants = append(r.Invariants, InvariantCount{name, obs.violations[name]})
	}
	r.Series = newSeries(e)
	return r
}

func (r *Result) add(name string, value float64) {
	r.Measures = append(r.Measures, Measure{Name: name, Value: value})
}

func (r *Result) addMissing(name, reason string) {
	r.Measures = append(r.Measures, Measure{Name: name, NotMeasured: reason})
}

// addRatio adds a fraction, or the reason for its absence if whole is zero.
func (r *Result) addRatio(name string, part, whole float64, reason string) {
	if whole == 0 {
		r.addMissing(name, reason)
		return
	}
	r.add(name, part/whole)
}

func (r *Result) measureRequests(obs *observations) {
	var forwarded, attempts float64
	var all, startedLate, refusedLate, inTime, worth, worthInTime, overnight, overnightDone float64
	for _, q := range obs.byArrival {
		if q.forwards > 0 {
			forwarded++
			attempts += float64(q.forwards)
		}
		if q.abandonedAt != 0 {
			continue
		}
		all++
		worth += q.Worth
		if q.firstStart > q.startBy() {
			startedLate++
		}
		if q.refusedLate() {
			refusedLate++
		}
		if q.completed() && q.firstStart <= q.startBy() {
			inTime++
			worthInTime += q.Worth
		}
		if q.overnight {
			overnight++
			if q.completed() {
				overnightDone++
			}
		}
	}
	const empty = "no request arrived, or every request was abandoned"
	r.addRatio(MeasureLateness, startedLate+refusedLate, all, empty)
	r.addRatio(MeasureStartedLate, startedLate, all, empty)
	r.addRatio(MeasureRefusedLate, refusedLate, all, empty)
	r.addRatio(MeasureInTime, inTime, all, empty)
	r.addRatio(MeasureWorthInTime, worthInTime, worth, empty)
	r.addRatio(MeasureAttempts, attempts, forwarded, "no request was forwarded")
	r.addRatio(MeasureOvernight, overnightDone, overnight, "no overnight request")
}

// refusedLate reports whether a request that never started was refused after
// more than half its patience.
func (q *request) refusedLate() bool {
	if q.kind == "" || q.starts > 0 || problem.Lookup(q.kind).Ran != problem.RanNo {
		return false
	}
	return float64(q.answeredAt.Sub(q.arrivedAt)) > lateRefusalFraction*float64(q.Patience.Duration())
}

func (r *Result) measureFleet(e *engine) {
	obs := e.obs
	var full int
	var distance, worst, slots float64
	for i := range obs.samples {
		s := &obs.samples[i]
		slots += float64(s.slots())
		if s.full() {
			full++
			mean, largest := s.shareDistance()
			distance += mean
			worst += largest
		}
	}
	r.addRatio(MeasureShareDistance, distance, float64(full), "not every service was full at any time")
	r.addRatio(MeasureShareWorst, worst, float64(full), "not every service was full at any time")
	r.add(MeasureFullSeconds, float64(full)*sampleInterval.Seconds())
	whole := window{e.traceStart, e.traceStart.Add(e.trace.Header.Length.Duration())}
	r.addRatio(MeasureSlotsUsed, obs.completedWork(whole).Seconds(), slots*sampleInterval.Seconds(), "no slots")
	if w, ok := e.lossWindow(); ok {
		r.addRatio(MeasureCentreWork, obs.completedWork(w).Seconds(), obs.maxWork(w).Seconds(), "no work in the window")
	} else {
		r.addMissing(MeasureCentreWork, "no data centre was lost and returned")
	}
	r.measureHosts(e)
}

// lateStartThreshold is the time after its submission at which the start of a task
// counts as late. Urgent work of the design size starts within 8.2 s.
const lateStartThreshold = 8200 * model.Millisecond

func (r *Result) measureTasks(e *engine) {
	var can, finished, late, wait float64
	for _, id := range model.SortedKeys(e.obs.tasks) {
		t := e.obs.tasks[id]
		if t.NeverRuns || t.cancelled {
			continue
		}
		can++
		if t.finished {
			finished++
		}
		waited := t.firstStart.Sub(t.submittedAt)
		if t.firstStart == 0 {
			waited = e.now.Sub(t.submittedAt)
		}
		if t.firstStart == 0 || waited > lateStartThreshold {
			late++
		}
		wait += waited.Seconds()
	}
	r.addRatio(MeasureTasksFinished, finished, can, "no task")
	r.addRatio(MeasureTaskStartLate, late, can, "no task")
	r.addRatio(MeasureTaskWait, wait, can, "no task")
}

// seconds returns a time of the trace in seconds.
func (e *engine) seconds(t model.Time) float64 { return t.Sub(e.traceStart).Seconds() }

// RefusalKinds returns the kinds of refusals in sorted order.
func (r *Result) RefusalKinds() []string { return model.SortedKeys(r.Refusals) }
