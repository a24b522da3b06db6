package burn

import (
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// EventKind is the kind of an Event.
type EventKind string

// The event kinds.
const (
	CentreOut     EventKind = "data_centre_out"  // taken out of service by operators
	CentreIn      EventKind = "data_centre_in"   // brought back by operators
	CentreLost    EventKind = "data_centre_lost" // none of its hosts is up any more
	CentreBack    EventKind = "data_centre_back" // a host of a lost data centre is up again
	WaveBegun     EventKind = "wave_begun"       // added by operators
	WaveStopped   EventKind = "wave_stopped"     // removed or changed before its end
	WaveEnded     EventKind = "wave_ended"       // every host of its pools has the image
	LeaderChanged EventKind = "leader_changed"
	HostsLost     EventKind = "hosts_lost" // down without a planned reboot
)

const (
	// EventsMax is the maximum number of stored events.
	EventsMax = 512
	// mergeWindow is the time within which changes of leader, and lost hosts of one
	// data centre, are merged into one event, so that they do not displace all others.
	mergeWindow = 10 * model.Minute
)

// Event is an event of the fleet that can explain bad work.
type Event struct {
	At    model.Time `json:"at"` // wall clock
	Kind  EventKind  `json:"kind"`
	Name  string     `json:"name"`            // data centre, wave or leader
	Count int        `json:"count,omitempty"` // hosts lost, changes of leader
}

// AddEvent adds an event, or merges it into an earlier one within mergeWindow.
func (h *History) AddEvent(e Event) {
	h.Events = slices.Clone(h.Events)
	if i := h.mergeIndex(e); i >= 0 {
		h.Events[i].Count += e.Count
		if e.Kind == LeaderChanged {
			h.Events[i].Name = e.Name
		}
		return
	}
	h.Events = append(h.Events, e)
	if excess := len(h.Events) - EventsMax; excess > 0 {
		h.Events = slices.Delete(h.Events, 0, excess)
	}
}

// mergeIndex returns the index of the event into which e is merged, or -1.
func (h *History) mergeIndex(e Event) int {
	if e.Kind != LeaderChanged && e.Kind != HostsLost {
		return -1
	}
	for i := len(h.Events) - 1; i >= 0; i-- {
		old := h.Events[i]
		if old.Kind == e.Kind && (old.Name == e.Name || e.Kind == LeaderChanged) {
			if e.At.Sub(old.At) <= mergeWindow {
				return i
			}
			return -1
		}
	}
	return -1
}

// UpdateAvailability adds events for lost hosts of a data centre, and when the data
// centre is lost or back: lost is the number of hosts that went down without a planned
// reboot, up the number that are up now, and known the number of all its hosts.
func (h *History) UpdateAvailability(at model.Time, centre model.DataCentreID, lost, up, known int) {
	if lost > 0 {
		h.AddEvent(Event{At: at, Kind: HostsLost, Name: string(centre), Count: lost})
	}
	i, down := slices.BinarySearch(h.Down, centre)
	switch {
	case !down && up == 0 && known > 1 && lost > 0:
		h.Down = slices.Insert(slices.Clone(h.Down), i, centre)
		h.AddEvent(Event{At: at, Kind: CentreLost, Name: string(centre)})
	case down && up > 0:
		h.Down = slices.Delete(slices.Clone(h.Down), i, i+1)
		h.AddEvent(Event{At: at, Kind: CentreBack, Name: string(centre)})
	}
}
