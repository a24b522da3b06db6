// Package hosts plans, on the leader, the moves of hosts between pools and their
// maintenance in waves.
//
// The leader reads the list of hosts from the service that owns the hosts. Pools
// that have too few hosts for their work get hosts that are switched off, then idle
// hosts of other pools. Hosts that no pool needs are switched off. Only hosts
// without runs are moved. While the fleet is too small for all pools, those with more
// than their part release hosts: these get no new runs, and move once they are idle.
//
// A host that is due for maintenance gets no new runs once it is selected.
// Long-running tasks are moved off it, as far as the maximum number of unavailable
// tasks of each step permits. When nothing runs on the host any more, its maintenance
// is ordered. At most as many hosts of a wave as its cap are down at one time. The
// order is committed to the replicated log before it is sent, so that a later leader
// counts it.
package hosts

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

// Timing of the calls to the service that owns the hosts.
const (
	// listInterval is the time between two reads of the host list while it is urgent.
	listInterval = 1500 * model.Millisecond
	// idleInterval is the time between two reads otherwise.
	idleInterval = 10 * model.Second
	// callTimeout is the time after which a call without a result counts as failed.
	// Package platform reports the failure of a call after 2 s.
	callTimeout = 3 * model.Second
	// takeoverDelay is the time at the start of a term during which the leader orders no
	// maintenance. After it, the effects of the earlier leader's orders are visible.
	takeoverDelay = 2 * model.Second
	// returnMargin is added to the time that a maintenance or a move takes, so that
	// it includes the first report of the worker.
	returnMargin = 500 * model.Millisecond
	// minPoolStay is the minimum time that a host stays in a pool after a move. It is
	// as long as a move takes, so that hosts do not spend their time moving.
	minPoolStay = 1500 * model.Millisecond
	// retryTime is the pause after a call that failed.
	retryTime = 500 * model.Millisecond
)

// Env holds the inputs of the planner for one event.
type Env struct {
	Schedule  schedule.Env
	Scheduler *schedule.Scheduler
	Self      model.HostID
}

// Out collects the effects and the proposals of the planner.
type Out struct {
	Effects   []effect.Effect
	Proposals []jobs.Command
	Schedule  schedule.Out // output of calls to the scheduler
}

func (o *Out) log(code effect.Code, l effect.Log) {
	l.Code = code
	o.Effects = append(o.Effects, l)
}

// Planner holds what the leader knows about the hosts.
type Planner struct {
	hosts           map[model.HostID]*host
	incoming        map[model.HostID]listing // entries of the list that is being read
	ignored         ignoredEntries           // of the same list
	callSeq         uint64
	incomingSince   model.Time // when the read of the list began
	listPending     bool
	listCall        uint64                         // sequence number of the call for the page that is awaited
	listDeadline    model.Time                     // the read counts as failed after this time
	nextListAt      model.Time                     // when the next read is due
	listKnown       bool                           // the list has been read at least once
	incomingPartial bool                           // entries of the list being read could not be parsed
	listPartial     bool                           // entries of the latest complete list could not be parsed
	listSince       model.Time                     // when the read of the latest complete list began
	wavesSince      map[uint64]model.Time          // when this leader first saw an open wave
	termStart       model.Time                     // when the leader's term started
	excessSince     map[model.ServiceID]model.Time // since when a pool has had too many hosts
	workersBefore   map[model.WorkerID]uint64      // incarnations of the workers known when the read of the list began
	orderLimits     *orderLimits
	paces           map[uint64]*wavePace
	waits           map[model.HostID]wait
}

// host holds what is known about one host.
type host struct {
	order.Host
	orderedWorkers []jobs.Depart   // workers on the host when an order was given, which the order ends
	pendingRuns    int             // as last read from the scheduler
	longRunning    bool            // all its runs are those of long-running tasks, as last read from the scheduler
	wave           uint64          // wave for which it is being drained or maintained, 0 for none
	moveTo         model.ServiceID // pool to which it is being moved, empty for none
	moveEndAt      model.Time      // expected end of its latest move
	releasedUntil  model.Time      // it is released until this time; see releaseHosts
	orderPending   bool            // its maintenance was ordered and is not known to be accepted yet
	recordPending  bool            // the record of this order is not committed yet
	acceptPending  bool            // the record that it was accepted is not committed yet
	callPending    bool
	callSeq        uint64 // sequence number of the pending call
	callDeadline   model.Time
	retryAt        model.Time
	downUntil      model.Time // it counts as down until this time
	acceptedAt     model.Time // when an order was accepted; lists read before are out of date
}

// New returns a planner that has not read the list of hosts yet.
func New(env Env) *Planner {
	p := &Planner{
		hosts: make(map[model.HostID]*host), wavesSince: make(map[uint64]model.Time), excessSince: make(map[model.ServiceID]model.Time), nextListAt: env.Schedule.Now,
		termStart: env.Schedule.Now, orderLimits: newOrderLimits(env.Schedule.Now, env.Schedule.Bounds.HostOrdersPerSecond),
		paces: make(map[uint64]*wavePace), waits: make(map[model.HostID]wait),
	}
	p.updateScheduler(env)
	return p
}

// Advance performs everything that is due at the current time.
func (p *Planner) Advance(env Env, out *Out) {
	waves := openWaves(env.Schedule.State)
	p.noteWaves(env, waves)
	p.startListing(env, out, isListUrgent(env))
	if !p.listKnown {
		return
	}
	if isPlanned(env) || env.Schedule.Now.Sub(p.termStart) >= takeoverDelay {
		for _, id := range waves {
			p.advanceWave(env, out, id, env.Schedule.State.Waves[id])
		}
	}
	p.updateScheduler(env)
	p.advanceMoves(env, out)
	p.updateScheduler(env)
}

// isListUrgent reports whether the list is read often: a wave needs the states of its hosts,
// and a worker that refuses connections may have been ended by a move that an earlier
// leader ordered.
func isListUrgent(env Env) bool {
	return len(openWaves(env.Schedule.State)) > 0 || env.Scheduler.HasUnreachableRuns()
}

// startListing requests the first page of the list of hosts if a read is due. A
// read that was not answered in time is started again.
func (p *Planner) startListing(env Env, out *Out, busy bool) {
	now := env.Schedule.Now
	if p.listPending && now > p.listDeadline {
		p.listPending, p.nextListAt = false, now
	}
	if p.listPending || now < p.nextListAt && !(busy && p.nextListAt.Sub(now) > listInterval) {
		return
	}
	p.incoming, p.ignored = make(map[model.HostID]listing), make(ignoredEntries)
	p.incomingSince, p.incomingPartial = now, false
	p.recordWorkers(env)
	p.requestPage(env, out, "")
}

func (p *Planner) requestPage(env Env, out *Out, page string) {
	p.listPending, p.listDeadline = true, env.Schedule.Now.Add(callTimeout)
	call := p.call(env, order.HostCall{List: &order.List{Page: page}})
	p.listCall = call.Call.Seq
	out.Effects = append(out.Effects, call)
}

func (p *Planner) call(env Env, c order.HostCall) effect.CallHosts {
	p.callSeq++
	c.Seq, c.Holder, c.Token = p.callSeq, env.Self, env.Schedule.Term
	return effect.CallHosts{Call: c}
}

// Replied handles the result of a call. One of an earlier term, or of a call that has
// failed since, is ignored: an earlier list shows workers as ended that have joined since,
// and an earlier order has ended other workers than the present one would.
func (p *Planner) Replied(env Env, out *Out, r *order.HostReply) {
	if r.Call.Token != env.Schedule.Term {
		return
	}
	switch {
	case r.Call.List != nil:
		p.handleListReply(env, out, r)
	case r.Call.Maintain != nil:
		p.handleMaintainReply(env, out, r)
	case r.Call.Move != nil:
		p.handleMoveReply(env, out, r)
	}
}

func (p *Planner) handleListReply(env Env, out *Out, r *order.HostReply) {
	if !p.listPending || r.Call.Seq != p.listCall {
		return
	}
	now := env.Schedule.Now
	if r.Status != order.HostAccepted {
		p.listPending, p.nextListAt = false, now.Add(retryTime)
		out.log(effect.HostCallFailed, effect.Log{Detail: "list: " + string(r.Status) + " " + r.Detail})
		return
	}
	for _, h := range r.Hosts {
		p.addEntry(env, h)
	}
	p.incomingPartial = p.incomingPartial || r.Partial
	if r.Next != "" {
		p.requestPage(env, out, r.Next)
		return
	}
	p.listPending, p.nextListAt, p.listKnown = false, now.Add(idleInterval), true
	if isListUrgent(env) {
		p.nextListAt = now.Add(listInterval)
	}
	p.listPartial, p.listSince = p.incomingPartial, p.incomingSince
	p.ignored.log(out)
	p.departEnded(env, out)
	p.updateHosts(env, p.incoming)
	p.Advance(env, out)
}

// updateHosts updates the known hosts from a complete list. If entries could not be
// parsed, no host is removed, because a missing host may be one of these entries.
func (p *Planner) updateHosts(env Env, list map[model.HostID]listing) {
	for id := range p.hosts {
		if _, listed := list[id]; !listed && !p.listPartial {
			delete(p.hosts, id)
		}
	}
	for id, listed := range list {
		h := p.hosts[id]
		if h == nil {
			h = &host{Host: listed.Host}
			p.hosts[id] = h
		}
		if h.acceptedAt < p.incomingSince && listed.replaces(env, h) {
			h.Host = listed.Host
		}
	}
}

// updateScheduler tells the scheduler which hosts get no new runs and which are due
// for maintenance.
func (p *Planner) updateScheduler(env Env) {
	cordoned := hostsWithPendingOrder(env.Schedule.State)
	for id, h := range p.hosts {
		if h.wave != 0 || h.moveTo != "" || h.isReleased(env.Schedule.Now) {
			cordoned[id] = true
		}
	}
	env.Scheduler.CordonHosts(cordoned)
	env.Scheduler.SetLeavingHosts(p.hostsDueForMaintenance(env))
}
