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
	// takeOverTime is how long a new leader orders nothing of hosts: what an earlier
	// leader has stopped or ordered shows by then.
	takeOverTime = 2 * model.Second
	// returnMargin is added to the time that a maintenance or a move takes: the
	// worker's first announcement comes within it.
	returnMargin = 500 * model.Millisecond
	// settleTime is how long a host stays in a pool after a move: as long as a move
	// takes, so that hosts do not spend their time on the way.
	settleTime = 1500 * model.Millisecond
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
	hosts    map[model.HostID]*host
	reading  map[model.HostID]order.Host // of the reading that is under way
	seq      uint64
	readFrom model.Time // when the reading began
	listOut  bool
	listEnd  model.Time                     // the reading counts as failed after this
	listAt   model.Time                     // of the next reading
	known    bool                           // the list has been read
	partial  bool                           // hosts of the reading under way could not be read
	unread   bool                           // hosts of the latest reading could not be read
	began    model.Time                     // of the term
	excess   map[model.ServiceID]model.Time // since when a pool has had too many hosts
}

// host is what is known of one host.
type host struct {
	order.Host
	workers   []jobs.Depart   // that an order ends, as they were when it was given
	load      int             // runs on it, when it was last looked at
	wave      uint64          // it is being emptied or maintained for
	moveTo    model.ServiceID // pool to which it is being moved
	arrivedAt model.Time      // when its latest move was over
	ordered   bool            // its maintenance was ordered and is not known to be accepted
	proposed  bool            // the record of that order is not committed yet
	callOut   bool
	callEnd   model.Time
	retryAt   model.Time
	downBy    model.Time // it counts as down until then
	changedAt model.Time // when an order was accepted: older readings do not count
}

// New returns a planner that knows nothing yet.
func New(env Env) *Planner {
	p := &Planner{
		hosts: make(map[model.HostID]*host), excess: make(map[model.ServiceID]model.Time), listAt: env.Schedule.Now,
		began: env.Schedule.Now,
	}
	p.holdHosts(env)
	return p
}

// Advance does what is due by time.
func (p *Planner) Advance(env Env, out *Out) {
	waves := openWaves(env.Schedule.State)
	p.list(env, out, len(waves) > 0)
	if !p.known {
		return
	}
	if env.Schedule.Now.Sub(p.began) >= takeOverTime {
		for _, id := range waves {
			p.advanceWave(env, out, id, env.Schedule.State.Waves[id])
		}
	}
	p.holdHosts(env)
	p.advanceMoves(env, out)
	p.holdHosts(env)
}

// list reads the list of hosts, page by page.
func (p *Planner) list(env Env, out *Out, busy bool) {
	now := env.Schedule.Now
	if p.listOut && now > p.listEnd {
		p.listOut, p.listAt = false, now
	}
	if p.listOut || now < p.listAt && !(busy && p.listAt.Sub(now) > listInterval) {
		return
	}
	p.reading = make(map[model.HostID]order.Host)
	p.readFrom, p.partial = now, false
	p.readPage(env, out, "")
}

func (p *Planner) readPage(env Env, out *Out, page string) {
	p.listOut, p.listEnd = true, env.Schedule.Now.Add(callTimeout)
	out.Effects = append(out.Effects, p.call(env, order.HostCall{List: &order.List{Page: page}}))
}

func (p *Planner) call(env Env, c order.HostCall) effect.CallHosts {
	p.seq++
	c.Seq, c.Holder, c.Token = p.seq, env.Self, env.Schedule.Term
	return effect.CallHosts{Call: c}
}

// Replied handles the result of a call.
func (p *Planner) Replied(env Env, out *Out, r *order.HostReply) {
	switch {
	case r.Call.List != nil:
		p.listed(env, out, r)
	case r.Call.Maintain != nil:
		p.maintained(env, out, r)
	case r.Call.Move != nil:
		p.moved(env, out, r)
	}
}

func (p *Planner) listed(env Env, out *Out, r *order.HostReply) {
	if !p.listOut {
		return
	}
	now := env.Schedule.Now
	if r.Status != order.HostAccepted {
		p.listOut, p.listAt = false, now.Add(retryTime)
		out.log(effect.HostCallFailed, effect.Log{Detail: "list: " + string(r.Status) + " " + r.Detail})
		return
	}
	for _, h := range r.Hosts {
		p.reading[h.ID] = h
	}
	p.partial = p.partial || r.Partial
	if r.Next != "" {
		p.readPage(env, out, r.Next)
		return
	}
	p.listOut, p.listAt, p.known = false, now.Add(idleInterval), true
	if len(openWaves(env.Schedule.State)) > 0 {
		p.listAt = now.Add(listInterval)
	}
	p.unread = p.partial
	p.take(p.reading)
	p.Advance(env, out)
}

// take replaces what is known by a complete reading. A host that is not listed may be
// one that could not be read.
func (p *Planner) take(reading map[model.HostID]order.Host) {
	for id := range p.hosts {
		if _, listed := reading[id]; !listed && !p.unread {
			delete(p.hosts, id)
		}
	}
	for id, listed := range reading {
		h := p.hosts[id]
		if h == nil {
			h = &host{}
			p.hosts[id] = h
		}
		if h.changedAt < p.readFrom {
			h.Host = listed
		}
	}
}

// holdHosts tells the scheduler which hosts get no new runs.
func (p *Planner) holdHosts(env Env) {
	held := orderedHosts(env.Schedule.State)
	for id, h := range p.hosts {
		if h.wave != 0 || h.moveTo != "" {
			held[id] = true
		}
	}
	env.Scheduler.HoldHosts(held)
	env.Scheduler.LeavingHosts(p.leaving(env))
}
