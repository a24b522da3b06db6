package dispatch

import (
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// samplesMin is the number of measured run times from which waits are predicted
	// and requests refused early.
	samplesMin = 20
	// runTimeWeight is the weight of a new sample in the moving average of the run
	// time.
	runTimeWeight = 0.1
)

// runTimeStats is the moving average of the run times of one queue, or of all queues
// of a service.
type runTimeStats struct {
	samples int
	mean    model.Duration
}

func (s *runTimeStats) add(runTime model.Duration) {
	if s.samples == 0 {
		s.mean = runTime
	}
	s.samples++
	s.mean += model.Duration(runTimeWeight * float64(runTime-s.mean))
}

// recordRunTime updates the mean run times of a queue and of its service with the
// run time of an answered request.
func (o *Owner) recordRunTime(id model.QueueID, s *service, d *message.Done) {
	if d.Outcome != message.OutcomeAnswered {
		return
	}
	stats := o.runTimes[id]
	if stats == nil {
		stats = &runTimeStats{}
		o.runTimes[id] = stats
	}
	stats.add(d.RunTime)
	s.runTimes.add(d.RunTime)
}

// hasRunTimes reports whether enough run times are known to predict a wait. A queue
// that gets no slots never has samples of its own, so those of its service are used
// as well.
func (o *Owner) hasRunTimes(s *service, id model.QueueID) bool {
	stats := o.runTimes[id]
	return s.runTimes.samples >= samplesMin || stats != nil && stats.samples >= samplesMin
}

// expectedRun returns the expected run time of a request, or zero if there are no
// samples.
func (o *Owner) expectedRun(s *service, id model.QueueID) model.Duration {
	if stats := o.runTimes[id]; stats != nil && stats.samples >= samplesMin {
		return stats.mean
	}
	return s.runTimes.mean
}
