package delegate

import (
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

const (
	// reportInterval is the time between two reports of an agent.
	reportInterval = 250 * model.Millisecond
	// MaxCallAge is the largest age at which a call is still sent. The age counts from the
	// latest report of the agent that the leader had handled when it sent the call, or from
	// the decision if the leader makes the call itself. The scheduler's bound for calls
	// that are carried out late allows for it.
	MaxCallAge = 1500 * model.Millisecond
	// maxRecordedAge is the largest age at which a poll is still sent that tells a worker
	// which ends are recorded. A later process of the worker, to which the number means
	// other ends, needs longer to start and to have one.
	maxRecordedAge = 600 * model.Millisecond
	// recordedSendTime is the least time for sending such a poll. An agent that has less
	// leaves the number out, since a poll that is not sent counts as without an answer.
	recordedSendTime = 200 * model.Millisecond
)

// SendBy returns the latest time at which a call may be sent whose age counts from a time.
func SendBy(c *order.Call, since model.Time) model.Time {
	if c.Poll != nil && c.Poll.RecordedUpTo != 0 {
		return since.Add(maxRecordedAge)
	}
	return since.Add(MaxCallAge)
}

// Agent is the part of a replica that makes calls for the leader. It serves one leader
// at a time.
type Agent struct {
	dataCentre    model.DataCentreID
	leader        model.HostID
	term          uint64
	open          map[uint64]bool // sequence numbers of the calls in progress
	unsentResults []order.Reply
	reportedAt    model.Time   // time of the latest report
	reports       []model.Time // times of the reports within MaxCallAge
	busyAt        model.Time   // latest time at which a call was in progress
	leaving       bool
}

// NewAgent returns the Agent of a process.
func NewAgent(dc model.DataCentreID) *Agent {
	return &Agent{dataCentre: dc, open: make(map[uint64]bool)}
}

// Follow sets the leader that the replica follows. Calls for an earlier leader are
// dropped, since it no longer waits for them.
func (a *Agent) Follow(leader model.HostID, term uint64) {
	if term <= a.term {
		return
	}
	a.leader, a.term, a.unsentResults, a.reportedAt = leader, term, nil, 0
	clear(a.open)
}

// SetLeaving makes the agent report at once that it is leaving.
func (a *Agent) SetLeaving() { a.leaving, a.reportedAt = true, 0 }

// Idle reports whether no call has been in progress for the duration d, within which
// the result of the last call has been sent.
func (a *Agent) Idle(now model.Time, d model.Duration) bool {
	if len(a.open) > 0 {
		a.busyAt = now
	}
	return now.Sub(a.busyAt) >= d
}

// AcceptCalls handles calls from the leader and returns those to make. Calls that are
// too old end as order.NoAnswer without being made; those of another term are ignored. Calls
// to an earlier process of this replica count as too old: they name the time of one of its
// reports, by a clock that may have been ahead.
func (a *Agent) AcceptCalls(now model.Time, from model.HostID, m *message.WorkerCalls) []order.Call {
	a.Follow(from, m.Term)
	if m.Term != a.term {
		return nil
	}
	if now.Sub(m.Reported) > MaxCallAge || !slices.Contains(a.reports, m.Reported) {
		for i := range m.Calls {
			a.unsentResults = append(a.unsentResults, order.Reply{
				Call: order.Call{Seq: m.Calls[i].Seq}, Status: order.NoAnswer, Detail: "the call reached its delegate too late",
			})
		}
		return nil
	}
	for i := range m.Calls {
		c := &m.Calls[i]
		a.open[c.Seq] = true
		if c.Poll != nil && now.Sub(m.Reported) > maxRecordedAge-recordedSendTime {
			poll := *c.Poll
			poll.RecordedUpTo, c.Poll = 0, &poll
		}
	}
	return m.Calls
}

// CompleteCall handles the result of a call that was made for the leader of a term.
func (a *Agent) CompleteCall(now model.Time, term uint64, r order.Reply) {
	if term != a.term {
		return
	}
	a.busyAt = now
	delete(a.open, r.Call.Seq)
	r.Call = order.Call{Seq: r.Call.Seq}
	a.unsentResults = append(a.unsentResults, r)
}

// Flush returns a message with the results since the last message, if there are any or
// a report is due.
func (a *Agent) Flush(now model.Time) (Envelope, bool) {
	due := now.Sub(a.reportedAt) >= reportInterval
	if a.leader == "" || len(a.unsentResults) == 0 && !due {
		return Envelope{}, false
	}
	m := &message.WorkerReplies{Term: a.term, Replies: a.unsentResults}
	a.unsentResults = nil
	if due {
		m.Report = &message.AgentReport{At: now, DataCentre: a.dataCentre, Open: model.SortedKeys(a.open), Leaving: a.leaving}
		a.reportedAt = now
		a.reports = slices.DeleteFunc(a.reports, func(at model.Time) bool { return now.Sub(at) > MaxCallAge })
		a.reports = append(a.reports, now)
	}
	return Envelope{a.leader, message.Message{WorkerReplies: m}}, true
}
