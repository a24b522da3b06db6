package fleet

import (
	"maps"
	"slices"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// RecordBurn adds counts of ended requests to the history of the objectives.
// Batches that were added before have no effect.
type RecordBurn struct {
	Record burn.Record `json:"record"`
}

func (s *State) recordBurn(c *RecordBurn) Result {
	s.Burn.Add(&c.Record, s.Now, burn.KeysOf(s.Rules))
	return Result{}
}

// countTask counts a task whose run has ended, if it runs no more and an
// objective names its work.
func (s *State) countTask(task *Task, outcome TaskOutcome) {
	cause := taskCause(task, outcome)
	key := burn.Key{Team: task.Team, Pool: task.Spec.Pool}
	if cause == burn.NotCounted {
		return
	}
	if wanted := burn.KeysOf(s.Rules); wanted.Has(key) {
		s.Burn.Count(s.Burn.Wall(s.Now), key, cause, wanted)
	}
}

// taskCause returns how a task counts after a run with this outcome. It does not
// count while it will run again, when its submitter cancelled it, or when the
// fault is shown to be its own.
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

// startedLate reports whether the last run of a task began later after its
// submission than the longest run that it declared. Tasks have no patience of
// their own, and the longest run tells urgent work from overnight studies.
func (t *Task) startedLate() bool {
	return t.Spec.MaxRun > 0 && t.Placed.Sub(t.Submitted) > t.Spec.MaxRun
}

// isAtFault reports whether a failed task is at fault itself: it can never run,
// since it failed on several workers, or it ran longer than it declared. One
// failure of a task that must not run twice shows nothing of the kind.
func (t *Task) isAtFault() bool {
	overdue := t.Spec.MaxRun > 0 && t.Ended.Sub(t.Placed) > t.Spec.MaxRun
	return overdue || len(t.FailedOn) >= maxFailedWorkers
}

// addEvent adds an event of the period at the present time.
func (s *State) addEvent(kind burn.EventKind, name string) {
	s.Burn.Note(burn.Event{At: s.Burn.Wall(s.Now), Kind: kind, Name: name})
}

// addRulesEvents notes what operators have changed with the current rules.
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

// addWaveEvents notes the waves that the current rules begin or stop. A wave with
// another image is another wave.
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

// addWaveEndEvents notes the waves whose last host has the image.
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

// addHostEvents notes what the change of one host means for the fleet.
func (s *State) addHostEvents(earlier, host Host) {
	if earlier.Up != host.Up {
		s.addAvailabilityEvents(host)
	}
	if earlier.Phase != host.Phase || earlier.Image != host.Image {
		s.addWaveEndEvents()
	}
}

// addAvailabilityEvents notes hosts that are lost, and data centres that are lost or back.
func (s *State) addAvailabilityEvents(host Host) {
	lost := 0
	if !host.Up && host.Phase != HostRebooting {
		lost = 1
	}
	up, known := s.index.upHosts[host.DataCentre], s.index.allHosts[host.DataCentre]
	s.Burn.HostUp(s.Burn.Wall(s.Now), host.DataCentre, lost, up, known)
}

type poolImage struct {
	pool  model.PoolID
	image string
}

// hostCounts is the part of the index that shows the end of a wave and the
// loss of a data centre without a scan of all hosts.
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
