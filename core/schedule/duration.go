package schedule

import (
	"math"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// minDurationSamples is the number of measured runs from which a queue's model
	// replaces the declared estimates. The first runs to end are the short ones, so
	// that fewer would be biased.
	minDurationSamples = 32
	// minEstimates is the number of declared estimates from which their mean is known.
	minEstimates = 8
	// unprovenSlope is the slope of the model until enough runs are measured: halfway
	// between accurate estimates and those that say nothing.
	unprovenSlope = 0.5
	// durationMemory is the number of runs over which the weight of a measured run
	// decays to 1/e.
	durationMemory = 512
	// maxDurationSigma bounds the spread that a model predicts, so that a few runs on
	// slow workers do not multiply the predicted times.
	maxDurationSigma = 1.0
)

// durationModel predicts how long the tasks of one queue run. Callers declare an
// estimate for each step. In some queues it is accurate, in others it says nothing about
// the time that a task takes. The model is a linear regression of the logarithm of the
// measured time on that of the estimate. A nil model trusts the estimates.
type durationModel struct {
	samples             int
	weight              float64 // sum of the decayed weights
	x, y, xx, xy, yy    float64 // weighted sums; x is the logarithm of the estimate, y that of the time
	slope, meanX, meanY float64
	sigma               float64 // standard deviation of y around the regression line

	estimates  int     // number of declared estimates
	estimatesX float64 // mean of their logarithms
}

// taskTime is the predicted time of a task: a log-normal distribution.
type taskTime struct {
	median model.Duration
	sigma  float64 // of the logarithm
}

// observeEstimate adds a declared estimate.
func (m *durationModel) observeEstimate(estimate model.Duration) {
	m.estimates = min(m.estimates+1, durationMemory)
	m.estimatesX += (logMilliseconds(estimate) - m.estimatesX) / float64(m.estimates)
}

// observe adds the time that one run took.
func (m *durationModel) observe(estimate, measured model.Duration) {
	x, y := logMilliseconds(estimate), logMilliseconds(measured)
	const keep = 1 - 1.0/durationMemory
	m.samples++
	m.weight = m.weight*keep + 1
	m.x, m.y = m.x*keep+x, m.y*keep+y
	m.xx, m.xy, m.yy = m.xx*keep+x*x, m.xy*keep+x*y, m.yy*keep+y*y
	m.fit()
}

func (m *durationModel) fit() {
	m.meanX, m.meanY = m.x/m.weight, m.y/m.weight
	varX := max(0, m.xx/m.weight-m.meanX*m.meanX)
	varY := max(0, m.yy/m.weight-m.meanY*m.meanY)
	cov := m.xy/m.weight - m.meanX*m.meanY
	m.slope = 0
	if varX > 1e-6 {
		m.slope = min(max(cov/varX, 0), 1)
	}
	m.sigma = min(math.Sqrt(max(0, varY-2*m.slope*cov+m.slope*m.slope*varX)), maxDurationSigma)
}

// predict returns the predicted time of a task with the given estimate.
func (m *durationModel) predict(estimate model.Duration) taskTime {
	switch {
	case m == nil || m.samples < minDurationSamples && m.estimates < minEstimates:
		return taskTime{median: estimate}
	case m.samples < minDurationSamples:
		return taskTime{median: milliseconds(math.Exp(m.estimatesX + unprovenSlope*(logMilliseconds(estimate)-m.estimatesX)))}
	}
	y := m.meanY + m.slope*(logMilliseconds(estimate)-m.meanX)
	return taskTime{median: milliseconds(math.Exp(y)), sigma: m.sigma}
}

// mean returns the expected time of a task.
func (t taskTime) mean() model.Duration {
	return t.scaled(t.sigma * t.sigma / 2)
}

// longestOf returns the expected time of the longest of n tasks that run in parallel.
func (t taskTime) longestOf(n int) model.Duration {
	if n <= 1 {
		return t.scaled(0)
	}
	// Blom's approximation of the largest of n normal variables.
	p := (float64(n) - 0.375) / (float64(n) + 0.25)
	return t.scaled(t.sigma * math.Sqrt2 * math.Erfinv(2*p-1))
}

func (t taskTime) scaled(exponent float64) model.Duration {
	if exponent == 0 {
		return t.median
	}
	return milliseconds(float64(t.median/model.Millisecond) * math.Exp(exponent))
}

func logMilliseconds(d model.Duration) float64 {
	return math.Log(max(1, float64(d)/float64(model.Millisecond)))
}

// milliseconds rounds to whole milliseconds, so that processors whose exponential
// functions differ in the last bit make the same decisions.
func milliseconds(ms float64) model.Duration {
	return model.DurationOf(math.Round(ms) * float64(model.Millisecond))
}

// durations returns the model of a queue, or nil if no job of the queue was submitted.
func (s *Scheduler) durations(q model.QueueID) *durationModel { return s.durationModels[q] }

// observeDuration adds the time of a run that is done to the model of its queue. Runs
// whose time does not show how long their task takes are left out.
func (s *Scheduler) observeDuration(env Env, r *run) {
	step := r.step
	switch {
	case step.LongRunning || step.BestEffort || r.stopping || r.orders != 1:
		return
	case step.Checkpoints && r.ref.Run > 1: // it may have resumed from a checkpoint
		return
	case step.DataRack != "" && step.DataRack != r.worker.info.Rack:
		return
	}
	s.durationModel(r.job.Queue).observe(step.Estimate, env.Now.Sub(r.sentAt))
}

// durationModel returns the model of a queue and adds it if there is none.
func (s *Scheduler) durationModel(q model.QueueID) *durationModel {
	m := s.durationModels[q]
	if m == nil {
		m = &durationModel{}
		s.durationModels[q] = m
	}
	return m
}

// allowedTime returns the time from its submission after which a job is late.
func allowedTime(m *durationModel, q *jobs.Queue, j *jobs.Job) model.Duration {
	return allowedTimeFor(criticalPath(m, j), q)
}

// criticalPath returns the predicted duration of a job's longest chain of dependent
// steps.
func criticalPath(m *durationModel, j *jobs.Job) model.Duration {
	return longestChain(j, func(step *jobs.Step) model.Duration { return m.predict(step.Estimate).longestOf(step.Tasks) })
}

// longestChain returns the length of a job's longest chain of dependent steps, given the
// length of each step.
func longestChain[T ~int | ~int64](j *jobs.Job, length func(*jobs.Step) T) T {
	longest := T(0)
	ends := make([]T, len(j.Steps))
	for i := range j.Steps {
		begin := T(0)
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + length(&j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// chainLength returns the number of steps in a job's longest chain of dependent steps.
func chainLength(j *jobs.Job) int {
	return longestChain(j, func(*jobs.Step) int { return 1 })
}
