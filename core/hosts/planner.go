// Package hosts is the leader's part that moves hosts between pools and maintains
// them in waves.
//
// The leader reads the list of hosts from their owner. Pools that lack hosts for
// their work get those that are switched off, then idle ones of other pools; hosts
// that no pool needs are switched off. Only empty hosts move.
//
// A host that is due for maintenance gets no new runs once it is chosen; tasks that
// last are moved off it within the number that each step may miss; when nothing runs
// on it, its maintenance is ordered. At most as many hosts of a wave as its cap are
// down at one time. The order is recorded before it is sent, so that a later leader
// counts it.
package hosts

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

// Times of the calls to the owner of the hosts.
const (
	// listInterval is the time between two readings of the list while a wave runs.
	listInterval = 1500 * model.Millisecond
	// idleInterval is the time between two readings while nothing is to be done.
	idleInterval = 10 * model.Second
	// callTimeout is when a call without a report counts as failed. Package platform
	// reports it after 2 s.
	callTimeout = 3 * model.Second
	// takeoverDelay is how long a new leader orders nothing of hosts: what an earlier
	// leader has stopped or ordered shows by then.
	takeoverDelay = 2 * model.Second
	// returnMargin is added to the time that a maintenance or a move takes: the
	// worker's first announcement comes within it.
	returnMargin = 500 * model.Millisecond
	// minPoolStay is how long a host stays in a pool after a move: as long as a move
	// takes, so that hosts do not spend their time on the way.
	minPoolStay = 1500 * model.Millisecond
	// retryTime is the pause after a call that failed.
	retryTime = 500 * model.Millisecond
)

// Env is what the planner needs to know at one event.
type Env struct {
	Schedule  schedule.Env
	Scheduler *schedule.Scheduler
	Self      model.HostID
}

// Out collects what is to be done.
type Out struct {
	Effects   []effect.Effect
	Proposals []jobs.Command
	Schedule  schedule.Out // what the scheduler is to do
}

func (o *Out) log(code effect.Code, l effect.Log) {
	l.Code = code
	o.Effects = append(o.Effects, l)
}

// Planner is the leader's knowledge of hosts.
type Planner struct {
	hosts           map[model.HostID]*host
	incoming        map[model.HostID]order.Host // of the reading that is under way
	callSeq         uint64
	incomingSince   model.Time // when the reading began
	listPending     bool
	listDeadline    model.Time                     // the reading counts as failed after this
	nextListAt      model.Time                     // of the next reading
	listKnown       bool                           // the list has been read
	incomingPartial bool                           // hosts of the reading under way could not be read
	listPartial     bool                           // hosts of the latest reading could not be read
	termStart       model.Time                     // of the term
	excessSince     map[model.ServiceID]model.Time // since when a pool has had too many hosts
}

// host is what is known of one host.
type host struct {
	order.Host
	orderedWorkers []jobs.Depart   // that an order ends, as they were when it was given
	load           int             // runs on it, when it was last looked at
	wave           uint64          // it is being emptied or maintained for
	moveTo         model.ServiceID // pool to which it is being moved
	moveEndAt      model.Time      // when its latest move was over
	orderPending   bool            // its maintenance was ordered and is not known to be accepted
	recordPending  bool            // the record of that order is not committed yet
	callPending    bool
	callDeadline   model.Time
	retryAt        model.Time
	downUntil      model.Time // it counts as down until then
	acceptedAt     model.Time // when an order was accepted: older readings do not count
}

// New returns a planner that knows nothing yet.
func New(env Env) *Planner {
	p := &Planner{
		hosts: make(map[model.HostID]*host), excessSince: make(map[model.ServiceID]model.Time), nextListAt: env.Schedule.Now,
		termStart: env.Schedule.Now,
	}
	p.updateScheduler(env)
	return p
}

// Advance does what is due by time.
func (p *Planner) Advance(env Env, out *Out) {
	waves := openWaves(env.Schedule.State)
	p.startListing(env, out, len(waves) > 0)
	if !p.listKnown {
		return
	}
	if env.Schedule.Now.Sub(p.termStart) >= takeoverDelay {
		for _, id := range waves {
			p.advanceWave(env, out, id, env.Schedule.State.Waves[id])
		}
	}
	p.updateScheduler(env)
	p.advanceMoves(env, out)
	p.updateScheduler(env)
}

// startListing reads the list of hosts, page by page.
func (p *Planner) startListing(env Env, out *Out, busy bool) {
	now := env.Schedule.Now
	if p.listPending && now > p.listDeadline {
		p.listPending, p.nextListAt = false, now
	}
	if p.listPending || now < p.nextListAt && !(busy && p.nextListAt.Sub(now) > listInterval) {
		return
	}
	p.incoming = make(map[model.HostID]order.Host)
	p.incomingSince, p.incomingPartial = now, false
	p.requestPage(env, out, "")
}

func (p *Planner) requestPage(env Env, out *Out, page string) {
	p.listPending, p.listDeadline = true, env.Schedule.Now.Add(callTimeout)
	out.Effects = append(out.Effects, p.call(env, order.HostCall{List: &order.List{Page: page}}))
}

func (p *Planner) call(env Env, c order.HostCall) effect.CallHosts {
	p.callSeq++
	c.Seq, c.Holder, c.Token = p.callSeq, env.Self, env.Schedule.Term
	return effect.CallHosts{Call: c}
}

// Replied handles the result of a call.
func (p *Planner) Replied(env Env, out *Out, r *order.HostReply) {
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
	if !p.listPending {
		return
	}
	now := env.Schedule.Now
	if r.Status != order.HostAccepted {
		p.listPending, p.nextListAt = false, now.Add(retryTime)
		out.log(effect.HostCallFailed, effect.Log{Detail: "list: " + string(r.Status) + " " + r.Detail})
		return
	}
	for _, h := range r.Hosts {
		p.incoming[h.ID] = h
	}
	p.incomingPartial = p.incomingPartial || r.Partial
	if r.Next != "" {
		p.requestPage(env, out, r.Next)
		return
	}
	p.listPending, p.nextListAt, p.listKnown = false, now.Add(idleInterval), true
	if len(openWaves(env.Schedule.State)) > 0 {
		p.nextListAt = now.Add(listInterval)
	}
	p.listPartial = p.incomingPartial
	p.updateHosts(p.incoming)
	p.Advance(env, out)
}

// updateHosts replaces what is known by a complete reading. A host that is not listed may be
// one that could not be read.
func (p *Planner) updateHosts(reading map[model.HostID]order.Host) {
	for id := range p.hosts {
		if _, listed := reading[id]; !listed && !p.listPartial {
			delete(p.hosts, id)
		}
	}
	for id, listed := range reading {
		h := p.hosts[id]
		if h == nil {
			h = &host{}
			p.hosts[id] = h
		}
		if h.acceptedAt < p.incomingSince {
			h.Host = listed
		}
	}
}

// updateScheduler tells the scheduler which hosts get no new runs.
func (p *Planner) updateScheduler(env Env) {
	held := hostsWithPendingOrder(env.Schedule.State)
	for id, h := range p.hosts {
		if h.wave != 0 || h.moveTo != "" {
			held[id] = true
		}
	}
	env.Scheduler.HoldHosts(held)
	env.Scheduler.LeavingHosts(p.hostsDueForMaintenance(env))
}
