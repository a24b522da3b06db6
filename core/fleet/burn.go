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
	case task.Phase == TaskFailed && !task.ownFault():
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

// ownFault reports whether a failed task is at fault itself: it can never run,
// since it failed on several workers, or it ran longer than it declared. One
// failure of a task that must not run twice shows nothing of the kind.
func (t *Task) ownFault() bool {
	overdue := t.Spec.MaxRun > 0 && t.Ended.Sub(t.Placed) > t.Spec.MaxRun
	return overdue || len(t.FailedOn) >= failuresOfTask
}

// note adds an event of the period at the present time.
func (s *State) note(kind burn.EventKind, name string) {
	s.Burn.Note(burn.Event{At: s.Burn.Wall(s.Now), Kind: kind, Name: name})
}

// noteRules notes what operators have changed with the current rules.
func (s *State) noteRules(earlier *rules.Rules) {
	centres := maps.Clone(earlier.DataCentres)
	if centres == nil {
		centres = make(map[model.DataCentreID]rules.DataCentre)
	}
	maps.Copy(centres, s.Rules.DataCentres)
	for _, id := range slices.Sorted(maps.Keys(centres)) {
		was, is := earlier.DataCentres[id].Out, s.Rules.DataCentres[id].Out
		if is && !was {
			s.note(burn.CentreOut, string(id))
		} else if was && !is {
			s.note(burn.CentreIn, string(id))
		}
	}
	s.noteWaves(earlier)
}

// noteWaves notes the waves that the current rules begin or stop. A wave with
// another image is another wave.
func (s *State) noteWaves(earlier *rules.Rules) {
	ended := s.Burn.Ended
	s.Burn.Ended = nil
	for _, name := range slices.Sorted(maps.Keys(earlier.Waves)) {
		kept := s.Rules.Waves[name].Image == earlier.Waves[name].Image
		switch {
		case kept && slices.Contains(ended, name):
			s.Burn.Ended = append(s.Burn.Ended, name)
		case !kept && !slices.Contains(ended, name):
			s.note(burn.WaveStopped, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Rules.Waves)) {
		if earlier.Waves[name].Image != s.Rules.Waves[name].Image {
			s.note(burn.WaveBegun, name)
		}
	}
	s.noteEndedWaves()
}

// noteEndedWaves notes the waves whose last host has the image.
func (s *State) noteEndedWaves() {
	for _, name := range slices.Sorted(maps.Keys(s.Rules.Waves)) {
		if !slices.Contains(s.Burn.Ended, name) && s.waveDone(s.Rules.Waves[name]) {
			s.Burn.Ended = append(slices.Clip(s.Burn.Ended), name)
			s.note(burn.WaveEnded, name)
		}
	}
}

func (s *State) waveDone(w rules.Wave) bool {
	hosts, done := 0, 0
	for _, pool := range w.Pools {
		hosts += s.index.pools[pool].hosts
		done += s.index.images[poolImage{pool, w.Image}]
	}
	return hosts > 0 && hosts == done
}

// noteHost notes what the change of one host means for the fleet.
func (s *State) noteHost(earlier, host Host) {
	if earlier.Up != host.Up {
		s.noteUp(host)
	}
	if earlier.Phase != host.Phase || earlier.Image != host.Image {
		s.noteEndedWaves()
	}
}

// noteUp notes hosts that are lost, and data centres that are lost or back.
func (s *State) noteUp(host Host) {
	lost := 0
	if !host.Up && host.Phase != HostRebooting {
		lost = 1
	}
	up, known := s.index.up[host.DataCentre], s.index.known[host.DataCentre]
	s.Burn.HostUp(s.Burn.Wall(s.Now), host.DataCentre, lost, up, known)
}

type poolImage struct {
	pool  model.PoolID
	image string
}

// hostCounts is the part of the index that shows the end of a wave and the
// loss of a data centre without a scan of all hosts.
type hostCounts struct {
	images counter[poolImage]          // hosts in service with an image
	known  counter[model.DataCentreID] // hosts
	up     counter[model.DataCentreID] // hosts that are up
}

func newHostCounts() hostCounts {
	return hostCounts{
		images: make(counter[poolImage]),
		known:  make(counter[model.DataCentreID]),
		up:     make(counter[model.DataCentreID]),
	}
}

func (c *hostCounts) count(host Host, n int) {
	c.known.add(host.DataCentre, n)
	if host.Up {
		c.up.add(host.DataCentre, n)
	}
	if host.Phase == HostServing {
		c.images.add(poolImage{host.Pool, host.Image}, n)
	}
}
