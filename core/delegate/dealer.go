package delegate

import (
	"hash/fnv"
	"slices"

	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

const (
	// heardTime is the silence of a replica from which on it gets no calls and its
	// results are not waited for: two heartbeats and a tick.
	heardTime = 700 * model.Millisecond
	// callTime is how long a call that is not a Hold may take until its result is
	// here: the time limit of the call and the way to the delegate and back.
	callTime = 1300 * model.Millisecond
	// holdMargin is the same for a Hold, beyond its own times.
	holdMargin = 300 * model.Millisecond
	// skipTime is how long the calls to a worker avoid a delegate through which one
	// had no answer.
	skipTime = 10 * model.Second
)

// Replica is what the leader knows of another replica.
type Replica struct {
	Host      model.HostID
	LastHeard model.Time
}

// Dealer is the leader's side. It lasts for one term.
type Dealer struct {
	term    uint64
	hosts   []model.HostID // that are heard, sorted
	places  map[model.HostID]model.DataCentreID
	pending map[uint64]*pendingCall // by sequence number
	outbox  map[model.HostID][]order.Call
	skipped map[model.WorkerID]skip
}

type pendingCall struct {
	call   order.Call
	host   model.HostID
	sentAt model.Time
	due    model.Time
}

// skip counts the delegates that the calls to a worker pass over.
type skip struct {
	count int
	at    model.Time
}

// NewDealer returns the Dealer of a new leader.
func NewDealer(term uint64) *Dealer {
	return &Dealer{
		term: term, places: make(map[model.HostID]model.DataCentreID), pending: make(map[uint64]*pendingCall),
		outbox: make(map[model.HostID][]order.Call), skipped: make(map[model.WorkerID]skip),
	}
}

// Take takes a call for a delegate. It returns false if the leader has to make the
// call itself.
func (d *Dealer) Take(now model.Time, c order.Call, dc model.DataCentreID) bool {
	if c.Throttle != nil {
		// One that is carried out late would undo a later one.
		return false
	}
	host, ok := d.choose(now, c.Worker, dc)
	if !ok {
		return false
	}
	due := now.Add(callTime)
	if c.Hold != nil {
		due = now.Add(c.Hold.Wait + c.Hold.AnswerTime + holdMargin)
	}
	d.pending[c.Seq] = &pendingCall{call: c, host: host, sentAt: now, due: due}
	d.outbox[host] = append(d.outbox[host], c)
	return true
}

// choose returns the delegate for a worker: one of its data centre if there is any,
// and after calls without an answer the next of all, the last of which is the
// leader itself.
func (d *Dealer) choose(now model.Time, worker model.WorkerID, dc model.DataCentreID) (model.HostID, bool) {
	nearest, ok := d.Nearest(worker, dc)
	s := d.skipped[worker]
	if !ok || s.count == 0 || now.Sub(s.at) > skipTime {
		delete(d.skipped, worker)
		return nearest, ok
	}
	first := slices.Index(d.hosts, nearest)
	at := s.count % (len(d.hosts) + 1)
	if at == len(d.hosts) {
		return "", false
	}
	return d.hosts[(first+at)%len(d.hosts)], true
}

// Nearest returns the replica that makes the calls to a worker while all are
// answered.
func (d *Dealer) Nearest(worker model.WorkerID, dc model.DataCentreID) (model.HostID, bool) {
	if len(d.hosts) == 0 {
		return "", false
	}
	return d.nearest(worker, dc), true
}

// nearest spreads the workers of a data centre evenly over its replicas. A replica
// that comes or goes changes the delegate of few workers. One that has not said where
// it is counts as near, so that it is called and says so.
func (d *Dealer) nearest(worker model.WorkerID, dc model.DataCentreID) model.HostID {
	var best model.HostID
	bestNear, bestWeight := false, uint64(0)
	for _, h := range d.hosts {
		place, known := d.places[h]
		near, weight := !known || place == dc, weigh(worker, h)
		if best == "" || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = h, near, weight
		}
	}
	return best
}

func weigh(worker model.WorkerID, host model.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(worker))
	h.Write([]byte{0})
	h.Write([]byte(host))
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3: the last bytes of an FNV hash hardly reach its
// upper bits, which decide between two hosts.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Flush returns the messages with the calls taken since the last one.
func (d *Dealer) Flush() []Addressed {
	var list []Addressed
	for _, host := range model.SortedKeys(d.outbox) {
		list = append(list, Addressed{host, message.Message{WorkerCalls: &message.WorkerCalls{Term: d.term, Calls: d.outbox[host]}}})
	}
	clear(d.outbox)
	return list
}

// Addressed is a message and its receiver.
type Addressed struct {
	To      model.HostID
	Message message.Message
}

// Returned completes results with their calls. It leaves out those that are not
// waited for any more. Calls that the delegate does not have under way and has not
// answered were lost on the way: they end as Silent.
func (d *Dealer) Returned(now model.Time, from model.HostID, m *message.WorkerReplies) []order.Reply {
	if m.Term != d.term {
		return nil
	}
	d.places[from] = m.DataCentre
	var list []order.Reply
	for _, r := range m.Replies {
		if reply, ok := d.complete(now, r); ok {
			list = append(list, reply)
		}
	}
	if m.Reports {
		list = append(list, d.lost(now, from, m.Open)...)
	}
	return list
}

func (d *Dealer) complete(now model.Time, r order.Reply) (order.Reply, bool) {
	p := d.pending[r.Call.Seq]
	if p == nil {
		return order.Reply{}, false
	}
	delete(d.pending, r.Call.Seq)
	r.Call = p.call
	if r.Status == order.Silent {
		d.skip(now, p.call.Worker)
	}
	return r, true
}

func (d *Dealer) skip(now model.Time, worker model.WorkerID) {
	d.skipped[worker] = skip{d.skipped[worker].count + 1, now}
}

// lost ends the calls that a delegate should have under way and has not.
func (d *Dealer) lost(now model.Time, from model.HostID, open []uint64) []order.Reply {
	return d.end(now, "the call did not reach its delegate", func(seq uint64, p *pendingCall) bool {
		return p.host == from && now.Sub(p.sentAt) > reportInterval+heardTime && !slices.Contains(open, seq)
	})
}

// Advance ends the calls of delegates that are silent, and those that are overdue.
func (d *Dealer) Advance(now model.Time, replicas []Replica) []order.Reply {
	d.hosts = d.hosts[:0]
	for _, r := range replicas {
		if now.Sub(r.LastHeard) <= heardTime {
			d.hosts = append(d.hosts, r.Host)
		}
	}
	slices.Sort(d.hosts)
	return d.end(now, "its delegate is silent", func(_ uint64, p *pendingCall) bool {
		return now > p.due || !slices.Contains(d.hosts, p.host)
	})
}

// end ends the calls that match, in the order in which they were made.
func (d *Dealer) end(now model.Time, detail string, matches func(uint64, *pendingCall) bool) []order.Reply {
	var list []order.Reply
	for _, seq := range model.SortedKeys(d.pending) {
		if p := d.pending[seq]; matches(seq, p) {
			delete(d.pending, seq)
			d.skip(now, p.call.Worker)
			list = append(list, order.Reply{Call: p.call, Status: order.Silent, Detail: detail})
		}
	}
	return list
}
