package schedule

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// The load that this decision handles: a burst during which the leader changes. Until a new
// leader had measured minDurationSamples runs of a queue, it would admit and order jobs by
// the declared estimates, which in some queues say nothing.

const (
	// learnInterval is the least time between two records of what was learned. A change of
	// leader takes about a second, and a model changes little in two.
	learnInterval = 2 * model.Second
	// maxLogTime bounds the logarithm of a time in milliseconds: over 600 years.
	maxLogTime = 31
	// maxSamples bounds a number of samples, so that their sum cannot overflow.
	maxSamples = 1 << 40
)

// recordLearned proposes to record what was learned, if that has changed.
func (s *Scheduler) recordLearned(env Env, out *Out) {
	if !env.Bounds.Enabled(LearnedState) || env.Now.Sub(s.learnedAt) < learnInterval {
		return
	}
	samples := s.countSamples()
	if samples == s.learnedSamples {
		return
	}
	s.learnedAt, s.learnedSamples = env.Now, samples
	out.Proposals = append(out.Proposals, jobs.Command{Learn: s.learned(env)})
}

// countSamples returns a number that changes with each sample.
func (s *Scheduler) countSamples() int {
	n := 0
	for _, m := range s.durationModels {
		n += m.samples + m.estimates
	}
	return n
}

// learned returns the digest of the models of the queues that are configured.
func (s *Scheduler) learned(env Env) *jobs.Learned {
	l := &jobs.Learned{Version: jobs.LearnedVersion, Durations: make(map[model.QueueID]jobs.DurationSums)}
	for id, m := range s.durationModels {
		if env.State.Config.Queue(id) != nil {
			l.Durations[id] = jobs.DurationSums{
				Samples: m.samples, Weight: m.weight, X: m.x, Y: m.y, XX: m.xx, XY: m.xy, YY: m.yy,
				Estimates: m.estimates, EstimatesX: m.estimatesX,
			}
		}
	}
	return l
}

// restoreLearned starts from what an earlier leader has learned. New samples replace it as
// they replace older samples of one leader. A digest of another version, or with a value
// that no leader writes, is ignored as a whole.
func (s *Scheduler) restoreLearned(env Env) {
	l := env.State.Learned
	if !env.Bounds.Enabled(LearnedState) || l == nil {
		return
	}
	s.digestIgnored = l.Version != jobs.LearnedVersion
	for _, sums := range l.Durations {
		s.digestIgnored = s.digestIgnored || !isPlausible(&sums)
	}
	if s.digestIgnored {
		return
	}
	models := make(map[model.QueueID]*durationModel, len(l.Durations))
	for id, sums := range l.Durations {
		m := &durationModel{
			samples: sums.Samples, weight: sums.Weight, x: sums.X, y: sums.Y, xx: sums.XX, xy: sums.XY, yy: sums.YY,
			estimates: sums.Estimates, estimatesX: sums.EstimatesX,
		}
		if m.samples > 0 {
			m.fit()
		}
		models[id] = m
	}
	s.durationModels, s.restored = models, len(models)
	s.learnedSamples = s.countSamples()
}

// Restored returns the number of queues whose model was restored at the beginning of the
// term, and whether a digest was there and not usable.
func (s *Scheduler) Restored() (queues int, ignored bool) { return s.restored, s.digestIgnored }

// isPlausible reports whether the sums can be those of a model. A value that is not a
// number is not.
func isPlausible(s *jobs.DurationSums) bool {
	within := func(v, most float64) bool { return v >= 0 && v <= most }
	if s.Samples < 0 || s.Samples > maxSamples || s.Estimates < 0 || s.Estimates > durationMemory {
		return false
	}
	if !within(s.Weight, durationMemory) || s.Samples > 0 && s.Weight < 1 || !within(s.EstimatesX, maxLogTime) {
		return false
	}
	sum, square := s.Weight*maxLogTime, s.Weight*maxLogTime*maxLogTime
	return within(s.X, sum) && within(s.Y, sum) && within(s.XX, square) && within(s.XY, square) && within(s.YY, square)
}
