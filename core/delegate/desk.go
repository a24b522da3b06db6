package delegate

import (
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// reportInterval is the time between two reports of what is under way.
const reportInterval = 250 * model.Millisecond

// Desk is the side of a replica that makes calls for the leader. It serves one
// leader at a time.
type Desk struct {
	dataCentre model.DataCentreID
	leader     model.HostID
	term       uint64
	open       map[uint64]bool // calls under way, by sequence number
	results    []order.Reply   // not sent yet
	reported   model.Time
	reporting  bool // calls came since the last report, or some are under way
}

// NewDesk returns the Desk of a process.
func NewDesk(dc model.DataCentreID) *Desk {
	return &Desk{dataCentre: dc, open: make(map[uint64]bool)}
}

// Called returns the calls to make. Those of an earlier term are left out: its
// leader waits for them no more.
func (k *Desk) Called(from model.HostID, m *message.WorkerCalls) []order.Call {
	if m.Term < k.term {
		return nil
	}
	if m.Term > k.term {
		k.leader, k.term, k.results = from, m.Term, nil
		clear(k.open)
	}
	k.reporting = true
	for i := range m.Calls {
		k.open[m.Calls[i].Seq] = true
	}
	return m.Calls
}

// Done takes the result of a call that was made for the leader of a term.
func (k *Desk) Done(term uint64, r order.Reply) {
	if term != k.term {
		return
	}
	delete(k.open, r.Call.Seq)
	r.Call = order.Call{Seq: r.Call.Seq}
	k.results = append(k.results, r)
}

// Flush returns the message with the results since the last one, if there are any
// or a report is due.
func (k *Desk) Flush(now model.Time) (Addressed, bool) {
	due := k.reporting && now.Sub(k.reported) >= reportInterval
	if len(k.results) == 0 && !due {
		return Addressed{}, false
	}
	m := &message.WorkerReplies{Term: k.term, DataCentre: k.dataCentre, Replies: k.results}
	k.results = nil
	if due {
		m.Reports, m.Open = true, model.SortedKeys(k.open)
		k.reported, k.reporting = now, len(k.open) > 0
	}
	return Addressed{k.leader, message.Message{WorkerReplies: m}}, true
}
