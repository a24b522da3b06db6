package burn

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/model"
)

// RecordInterval is the minimum time between two Records of one leader.
const RecordInterval = 10 * model.Second

// Process identifies one incarnation of the process on a host.
type Process struct {
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
}

// Advance states that a Record contains the batches of a process after From, up to
// and including To.
type Advance struct {
	Process
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// Leader identifies a leader and its term.
type Leader struct {
	Host model.HostID `json:"host"`
	Term uint64       `json:"term"`
}

// Record holds the counts collected since the leader's last Record.
type Record struct {
	// Time is the leader's wall clock. Counts belong to its minute and hour.
	Time   model.Time `json:"time"`
	Leader Leader     `json:"leader"`
	// Entries is the sum of the batches that Advances covers. Storing each batch
	// would make the log grow with the number of hosts.
	Advances []Advance `json:"advances,omitempty"` // by process
	Entries  []Entry   `json:"entries,omitempty"`  // by key
}

// Collector collects the batches that hosts send to the leader of one term.
type Collector struct {
	leader     Leader
	pending    map[Process][]Batch
	proposedAt model.Time
}

// NewCollector returns the Collector of a leader's term.
func NewCollector(leader Leader) *Collector {
	return &Collector{leader: leader, pending: make(map[Process][]Batch)}
}

// Received takes the batches of a process. They replace those received earlier,
// because a process sends all batches that are not recorded.
func (c *Collector) Received(from Process, batches []Batch) {
	pending := c.pending[from]
	if len(batches) == 0 || len(pending) > 0 && pending[len(pending)-1].Seq > batches[len(batches)-1].Seq {
		return // a delayed message
	}
	c.pending[from] = batches
}

// Due returns the Record to propose now, or nil. It returns one at most every
// RecordInterval, and only if a batch or the change of leader is missing from h.
func (c *Collector) Due(now model.Time, h *History) *Record {
	if c.proposedAt != 0 && now < c.proposedAt.Add(RecordInterval) {
		return nil
	}
	record := &Record{Time: now, Leader: c.leader}
	sums := make(tally)
	for process, batches := range c.pending {
		if batches = h.unrecorded(process, batches); len(batches) == 0 {
			delete(c.pending, process)
			continue
		}
		record.Advances = append(record.Advances, Advance{process, h.Recorded(process), batches[len(batches)-1].Seq})
		sums.add(batches)
	}
	if len(record.Advances) == 0 && h.Leader.Term >= c.leader.Term {
		return nil
	}
	record.Entries = sums.entries()
	slices.SortFunc(record.Advances, func(a, b Advance) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	c.proposedAt = now
	return record
}
