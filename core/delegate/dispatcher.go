package delegate

import (
	"hash/fnv"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

const (
	// silenceTimeout is the time without a message from a replica after which it gets
	// no calls and its results are not awaited: three heartbeats of the log and two
	// ticks.
	silenceTimeout = 700 * model.Millisecond
	// lossDetectionTime is the age of a call after which a report that does not list it
	// means that it did not arrive.
	lossDetectionTime = reportInterval + silenceTimeout
	// resultGrace is how long the result of a call is awaited, for a poll in addition to
	// its wait and answer times. A lost call is detected sooner, by a report, and a
	// result that the leader handles late still counts.
	resultGrace = 5 * model.Second
	// avoidDuration is how long calls to a worker avoid a delegate through which a call
	// got no answer.
	avoidDuration = 10 * model.Second
	// stallThreshold is the time between two ticks after which the leader itself is
	// taken to have stalled. The replicas do not count as silent for that time.
	stallThreshold = 200 * model.Millisecond
)

// Replica is what the leader's log knows of another replica.
type Replica struct {
	Host      model.HostID
	LastHeard model.Time
}

// Dispatcher is the leader's part: it assigns calls to delegates and keeps each call
// until its result is known. It lasts for one term.
type Dispatcher struct {
	term       uint64
	reports    map[model.HostID]*message.AgentReport // latest report of each agent
	available  []model.HostID                        // replicas that get calls, sorted
	pending    map[uint64]*pendingCall               // by sequence number
	outbox     map[model.HostID][]order.Call
	avoided    map[model.WorkerID][]avoidedDelegate
	advancedAt model.Time
	resumedAt  model.Time // end of the latest stall of this process
}

type pendingCall struct {
	call     order.Call
	host     model.HostID
	sentAt   model.Time
	deadline model.Time
}

// avoidedDelegate is a delegate through which a worker is not called for a while.
type avoidedDelegate struct {
	host  model.HostID
	until model.Time
}

// NewDispatcher returns the Dispatcher of a new leader.
func NewDispatcher(term uint64) *Dispatcher {
	return &Dispatcher{
		term: term, reports: make(map[model.HostID]*message.AgentReport), pending: make(map[uint64]*pendingCall),
		outbox: make(map[model.HostID][]order.Call), avoided: make(map[model.WorkerID][]avoidedDelegate),
	}
}

// Enqueue assigns a call to a delegate and queues it for the next Flush. It returns
// false if the leader has to make the call itself.
func (d *Dispatcher) Enqueue(now model.Time, c order.Call, dc model.DataCentreID) bool {
	if c.Throttle != nil {
		// A throttle order that is carried out late would undo a later one.
		return false
	}
	host, ok := d.DelegateFor(now, c.Worker, dc)
	if !ok {
		return false
	}
	deadline := now.Add(resultGrace)
	if c.Poll != nil {
		deadline = deadline.Add(c.Poll.Wait + c.Poll.AnswerTime)
	}
	d.pending[c.Seq] = &pendingCall{call: c, host: host, sentAt: now, deadline: deadline}
	d.outbox[host] = append(d.outbox[host], c)
	return true
}

// DelegateFor returns the replica that makes the calls to a worker, if there is any.
// Rendezvous hashing spreads the workers of a data centre evenly over its replicas; a
// replica that comes or goes changes the delegate of few workers.
func (d *Dispatcher) DelegateFor(now model.Time, worker model.WorkerID, dc model.DataCentreID) (model.HostID, bool) {
	var best model.HostID
	bestLocal, bestWeight := false, uint64(0)
	for _, h := range d.available {
		if d.isAvoided(now, worker, h) {
			continue
		}
		local, weight := d.reports[h].DataCentre == dc, rendezvousWeight(worker, h)
		if best == "" || local && !bestLocal || local == bestLocal && weight > bestWeight {
			best, bestLocal, bestWeight = h, local, weight
		}
	}
	return best, best != ""
}

func (d *Dispatcher) isAvoided(now model.Time, worker model.WorkerID, host model.HostID) bool {
	return slices.ContainsFunc(d.avoided[worker], func(a avoidedDelegate) bool { return a.host == host && now < a.until })
}

func rendezvousWeight(worker model.WorkerID, host model.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(worker))
	h.Write([]byte{0})
	h.Write([]byte(host))
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3. The last bytes of the input hardly affect the
// upper bits of an FNV hash, which decide between two hosts.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Envelope is a message and its receiver.
type Envelope struct {
	To      model.HostID
	Message message.Message
}

// Flush returns messages with the calls enqueued since the last Flush.
func (d *Dispatcher) Flush() []Envelope {
	var list []Envelope
	for _, host := range model.SortedKeys(d.outbox) {
		calls := &message.WorkerCalls{Term: d.term, Reported: d.reports[host].At, Calls: d.outbox[host]}
		list = append(list, Envelope{host, message.Message{WorkerCalls: calls}})
	}
	clear(d.outbox)
	return list
}

// HandleReplies handles the results and the report of a delegate. It returns the
// results that are still awaited, completed with their calls. Calls that the delegate
// neither has in progress nor has answered were lost on the way: they end as
// order.NoAnswer.
func (d *Dispatcher) HandleReplies(now model.Time, from model.HostID, m *message.WorkerReplies) []order.Reply {
	if m.Term != d.term {
		return nil
	}
	var list []order.Reply
	for _, r := range m.Replies {
		if reply, ok := d.complete(now, r); ok {
			list = append(list, reply)
		}
	}
	if m.Report != nil {
		d.reports[from] = m.Report
		if m.Report.Leaving {
			d.available = slices.DeleteFunc(d.available, func(h model.HostID) bool { return h == from })
		}
		list = append(list, d.endLost(now, from, m.Report.Open)...)
	}
	return list
}

func (d *Dispatcher) complete(now model.Time, r order.Reply) (order.Reply, bool) {
	p := d.pending[r.Call.Seq]
	if p == nil {
		return order.Reply{}, false
	}
	delete(d.pending, r.Call.Seq)
	r.Call = p.call
	if r.Status == order.NoAnswer {
		d.avoid(now, p)
	}
	return r, true
}

// avoid makes the next calls to a worker go through other delegates.
func (d *Dispatcher) avoid(now model.Time, p *pendingCall) {
	worker := p.call.Worker
	list := slices.DeleteFunc(d.avoided[worker], func(a avoidedDelegate) bool { return a.host == p.host || now >= a.until })
	d.avoided[worker] = append(list, avoidedDelegate{p.host, now.Add(avoidDuration)})
}

// endLost ends the calls that a delegate should have in progress but does not list as
// open.
func (d *Dispatcher) endLost(now model.Time, from model.HostID, open []uint64) []order.Reply {
	return d.endMatching("the call did not reach its delegate", func(seq uint64, p *pendingCall) bool {
		if p.host != from || now.Sub(p.sentAt) <= lossDetectionTime {
			return false
		}
		_, known := slices.BinarySearch(open, seq)
		return !known
	})
}

// Advance updates the replicas that get calls. It ends the calls of delegates that are
// silent, and those that are overdue.
func (d *Dispatcher) Advance(now model.Time, replicas []Replica) []order.Reply {
	if d.advancedAt != 0 && now.Sub(d.advancedAt) > stallThreshold {
		d.resumedAt = now // messages that arrived during the stall are not handled yet
	}
	d.advancedAt = now
	var heardHosts []model.HostID
	d.available = d.available[:0]
	for _, r := range replicas {
		if now.Sub(max(r.LastHeard, d.resumedAt)) > silenceTimeout {
			continue
		}
		heardHosts = append(heardHosts, r.Host)
		if report := d.reports[r.Host]; report != nil && !report.Leaving {
			d.available = append(d.available, r.Host)
		}
	}
	slices.Sort(d.available)
	for worker, list := range d.avoided {
		if !slices.ContainsFunc(list, func(a avoidedDelegate) bool { return now < a.until }) {
			delete(d.avoided, worker)
		}
	}
	return d.endMatching("its delegate is silent", func(_ uint64, p *pendingCall) bool {
		return now > p.deadline || !slices.Contains(heardHosts, p.host)
	})
}

// endMatching ends the calls that match, in the order in which they were made.
func (d *Dispatcher) endMatching(detail string, matches func(uint64, *pendingCall) bool) []order.Reply {
	var ended []uint64
	for seq, p := range d.pending {
		if matches(seq, p) {
			ended = append(ended, seq)
		}
	}
	slices.Sort(ended)
	var list []order.Reply
	for _, seq := range ended {
		list = append(list, order.Reply{Call: d.pending[seq].call, Status: order.NoAnswer, Detail: detail})
		delete(d.pending, seq)
	}
	return list
}
