package fleet

import (
	"cmp"
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

// noteEndedWaves notes the waves whose last host has the image. It looks at
// all hosts, so it is called only when a host has finished a step of a wave.
func (s *State) noteEndedWaves() {
	for _, name := range slices.Sorted(maps.Keys(s.Rules.Waves)) {
		if !slices.Contains(s.Burn.Ended, name) && s.waveDone(s.Rules.Waves[name]) {
			s.Burn.Ended = append(slices.Clip(s.Burn.Ended), name)
			s.note(burn.WaveEnded, name)
		}
	}
}

func (s *State) waveDone(w rules.Wave) bool {
	hosts := 0
	for _, host := range s.Hosts {
		if !slices.Contains(w.Pools, host.Pool) {
			continue
		}
		if host.Phase != HostServing || host.Image != w.Image {
			return false
		}
		hosts++
	}
	return hosts > 0
}

// noteHost notes what the change of one host means for the fleet.
func (s *State) noteHost(earlier, host Host) {
	if earlier.Up != host.Up {
		s.noteUp(earlier, host)
	}
	returned := earlier.Phase != HostServing && host.Phase == HostServing
	if returned || earlier.Image != host.Image {
		s.noteEndedWaves()
	}
}

// noteUp notes hosts that are lost, and data centres that are lost or back. It
// looks at all hosts; a host goes down or comes up a few dozen times a day.
func (s *State) noteUp(earlier, host Host) {
	lost := 0
	if !host.Up && host.Phase != HostRebooting {
		lost = 1
	}
	centre := cmp.Or(host.DataCentre, earlier.DataCentre)
	up, known := 0, 0
	for _, h := range s.Hosts {
		if h.DataCentre != centre {
			continue
		}
		known++
		if h.Up {
			up++
		}
	}
	s.Burn.HostUp(s.Burn.Wall(s.Now), centre, lost, up, known)
}
