package dispatch

import (
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

const (
	// samplesMin is the number of run times that must be known before a request
	// is refused early on their strength.
	samplesMin = 20
	// runTimeWeight is the weight of a new sample in the mean run time.
	runTimeWeight = 0.1
)

// queueStats is what is learned of one queue, or of all queues of a service.
type runTimeStats struct {
	samples int
	mean    model.Duration // run time
}

func (s *runTimeStats) add(runTime model.Duration) {
	if s.samples == 0 {
		s.mean = runTime
	}
	s.samples++
	s.mean += model.Duration(runTimeWeight * float64(runTime-s.mean))
}

// learn updates the mean run time of a queue and of its service.
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

// learned reports whether enough run times are known to predict a wait. A
// queue that gets no slots never learns its own, so those of its service
// stand in for them.
func (o *Owner) hasRunTimes(s *service, id model.QueueID) bool {
	stats := o.runTimes[id]
	return s.runTimes.samples >= samplesMin || stats != nil && stats.samples >= samplesMin
}

// expectedRun is the expected run time of a request, zero if nothing is known.
func (o *Owner) expectedRun(s *service, id model.QueueID) model.Duration {
	if stats := o.runTimes[id]; stats != nil && stats.samples >= samplesMin {
		return stats.mean
	}
	return s.runTimes.mean
}
