package fleet

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// RecordBurn adds counts of ended requests to the history of the objectives.
// Batches that were already added are ignored.
type RecordBurn struct {
	Record burn.Record `json:"record"`
}

func (s *State) recordBurn(c *RecordBurn) Result {
	s.Burn.Add(&c.Record, s.Now, burn.KeysOf(s.Rules))
	return Result{}
}

// countTask counts a task after the end of a run, if it will not run again and
// an objective covers it.
func (s *State) countTask(task *Task, outcome TaskOutcome) {
	cause := taskCause(task, outcome)
	key := burn.Key{Team: task.Team, Pool: task.Spec.Pool}
	if cause == burn.NotCounted {
		return
	}
	if wanted := burn.KeysOf(s.Rules); wanted.Has(key) {
		s.Burn.Count(s.Burn.WallTime(s.Now), key, cause, wanted)
	}
}

// taskCause returns how a task counts after a run with this outcome. A task is
// not counted if it will run again, if its submitter cancelled it, or if the
// task itself is at fault.
func taskCause(task *Task, outcome TaskOutcome) burn.Cause {
	switch {
	case task.Phase == TaskFinished && task.startedLate():
		return burn.Late
	case task.Phase == TaskFinished:
		return burn.Good
	case task.Cancel:
		return burn.NotCounted
	case task.Phase == TaskFailed && !task.isAtFault():
		return burn.Failed
	case task.Phase == TaskUnknown && outcome == OutcomeLost:
		return burn.Lost
	case task.Phase == TaskUnknown:
		return burn.Unknown
	}
	return burn.NotCounted
}

// startedLate reports whether the last run of a task began more than the declared
// maximum run time after its submission. Tasks declare no patience; the maximum
// run time takes its place, because it distinguishes urgent work from overnight
// studies.
func (t *Task) startedLate() bool {
	return t.Spec.MaxRun > 0 && t.Placed.Sub(t.Submitted) > t.Spec.MaxRun
}

// isAtFault reports whether a failed task itself is at fault: it failed on several
// workers, so that it can never run, or it ran longer than it declared. A single
// failure of a task that must not run twice is not enough to conclude that.
func (t *Task) isAtFault() bool {
	overdue := t.Spec.MaxRun > 0 && t.Ended.Sub(t.Placed) > t.Spec.MaxRun
	return overdue || len(t.FailedOn) >= maxFailedWorkers
}

// addEvent adds an event at the current wall-clock time to the burn history.
func (s *State) addEvent(kind burn.EventKind, name string) {
	s.Burn.AddEvent(burn.Event{At: s.Burn.WallTime(s.Now), Kind: kind, Name: name})
}

// addRulesEvents adds the events that follow from the change of rules: data
// centres taken out of service or brought back, and waves begun or stopped.
func (s *State) addRulesEvents(earlier *rules.Rules) {
	centres := maps.Clone(earlier.DataCentres)
	if centres == nil {
		centres = make(map[model.DataCentreID]rules.DataCentre)
	}
	maps.Copy(centres, s.Rules.DataCentres)
	for _, id := range slices.Sorted(maps.Keys(centres)) {
		was, is := earlier.DataCentres[id].Out, s.Rules.DataCentres[id].Out
		if is && !was {
			s.addEvent(burn.CentreOut, string(id))
		} else if was && !is {
			s.addEvent(burn.CentreIn, string(id))
		}
	}
	s.addWaveEvents(earlier)
}

// addWaveEvents adds events for the waves that the current rules begin or stop. A
// wave whose image has changed counts as a new wave.
func (s *State) addWaveEvents(earlier *rules.Rules) {
	ended := s.Burn.Ended
	s.Burn.Ended = nil
	for _, name := range slices.Sorted(maps.Keys(earlier.Waves)) {
		kept := s.Rules.Waves[name].Image == earlier.Waves[name].Image
		switch {
		case kept && slices.Contains(ended, name):
			s.Burn.Ended = append(s.Burn.Ended, name)
		case !kept && !slices.Contains(ended, name):
			s.addEvent(burn.WaveStopped, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Rules.Waves)) {
		if earlier.Waves[name].Image != s.Rules.Waves[name].Image {
			s.addEvent(burn.WaveBegun, name)
		}
	}
	s.addWaveEndEvents()
}

// addWaveEndEvents adds events for the waves whose hosts now all have the image.
func (s *State) addWaveEndEvents() {
	for _, name := range slices.Sorted(maps.Keys(s.Rules.Waves)) {
		if !slices.Contains(s.Burn.Ended, name) && s.waveDone(s.Rules.Waves[name]) {
			s.Burn.Ended = append(slices.Clip(s.Burn.Ended), name)
			s.addEvent(burn.WaveEnded, name)
		}
	}
}

func (s *State) waveDone(w rules.Wave) bool {
	hosts, done := 0, 0
	for _, pool := range w.Pools {
		hosts += s.index.pools[pool].hosts
		done += s.index.servingImages[poolImage{pool, w.Image}]
	}
	return hosts > 0 && hosts == done
}

// addHostEvents adds the events that follow from the change of one host.
func (s *State) addHostEvents(earlier, host Host) {
	if earlier.Up != host.Up {
		s.addAvailabilityEvents(host)
	}
	if earlier.Phase != host.Phase || earlier.Image != host.Image {
		s.addWaveEndEvents()
	}
}

// addAvailabilityEvents adds events for a lost host, and for a data centre that is
// lost or available again.
func (s *State) addAvailabilityEvents(host Host) {
	lost := 0
	if !host.Up && host.Phase != HostRebooting {
		lost = 1
	}
	up, known := s.index.upHosts[host.DataCentre], s.index.allHosts[host.DataCentre]
	s.Burn.UpdateAvailability(s.Burn.WallTime(s.Now), host.DataCentre, lost, up, known)
}

type poolImage struct {
	pool  model.PoolID
	image string
}

// hostCounts is the part of the index that detects the end of a wave and the loss
// of a data centre without a scan of all hosts.
type hostCounts struct {
	servingImages counter[poolImage]          // hosts in service with an image
	allHosts      counter[model.DataCentreID] // hosts
	upHosts       counter[model.DataCentreID] // hosts that are up
}

func newHostCounts() hostCounts {
	return hostCounts{
		servingImages: make(counter[poolImage]),
		allHosts:      make(counter[model.DataCentreID]),
		upHosts:       make(counter[model.DataCentreID]),
	}
}

func (c *hostCounts) count(host Host, n int) {
	c.allHosts.add(host.DataCentre, n)
	if host.Up {
		c.upHosts.add(host.DataCentre, n)
	}
	if host.Phase == HostServing {
		c.servingImages.add(poolImage{host.Pool, host.Image}, n)
	}
}
