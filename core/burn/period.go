package burn

import "primrosedale.example/primrosedale/core/model"

// PeriodKind is the kind of a Period.
type PeriodKind string

// The period kinds.
const (
	PeriodWave       PeriodKind = "wave"
	PeriodCentreOut  PeriodKind = "data_centre_out"
	PeriodCentreLost PeriodKind = "data_centre_lost"
	PeriodHostsLost  PeriodKind = "hosts_lost"
	PeriodLeader     PeriodKind = "leader_changed"
)

// Period is a period of a condition or event of the fleet that can explain bad work.
type Period struct {
	Kind  PeriodKind `json:"kind"`
	Name  string     `json:"name"`
	From  model.Time `json:"from,omitempty"`  // 0: its start is no longer known
	Until model.Time `json:"until,omitempty"` // 0: it has not ended
	// Stopped is true for a wave that operators ended before its last host.
	Stopped bool `json:"stopped,omitempty"`
	Count   int  `json:"count,omitempty"` // hosts lost, changes of leader
}

// periodBegins and periodEnds map an event to the kind of period that it begins or
// ends.
var (
	periodBegins = map[EventKind]PeriodKind{
		WaveBegun: PeriodWave, CentreOut: PeriodCentreOut, CentreLost: PeriodCentreLost,
		HostsLost: PeriodHostsLost, LeaderChanged: PeriodLeader,
	}
	periodEnds = map[EventKind]PeriodKind{
		WaveStopped: PeriodWave, WaveEnded: PeriodWave, CentreIn: PeriodCentreOut, CentreBack: PeriodCentreLost,
	}
)

// periods pairs the events that begin and end periods, and returns the periods that
// end after from or have not ended, in the order in which they began.
func periods(events []Event, from model.Time) []Period {
	var all []Period
	for _, e := range events {
		if kind, ok := periodBegins[e.Kind]; ok {
			p := Period{Kind: kind, Name: e.Name, From: e.At, Count: e.Count}
			if kind == PeriodHostsLost || kind == PeriodLeader {
				p.Until = e.At // has no duration
			}
			all = append(all, p)
			continue
		}
		i := findOpenPeriod(all, periodEnds[e.Kind], e.Name)
		if i < 0 {
			all = append(all, Period{Kind: periodEnds[e.Kind], Name: e.Name})
			i = len(all) - 1
		}
		all[i].Until = e.At
		all[i].Stopped = e.Kind == WaveStopped
	}
	out := []Period{}
	for _, p := range all {
		if p.Until == 0 || p.Until > from {
			out = append(out, p)
		}
	}
	return out
}

func findOpenPeriod(list []Period, kind PeriodKind, name string) int {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Kind == kind && list[i].Name == name && list[i].Until == 0 {
			return i
		}
	}
	return -1
}
