package hosts

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/schedule"
)

const ms = model.Millisecond

// bench is a planner whose calls the test answers itself.
type bench struct {
	t        *testing.T
	now      model.Time
	index    uint64
	state    *jobs.State
	s        *schedule.Scheduler
	p        *Planner
	hosts    []order.Host
	calls    []order.HostCall
	proposed []jobs.Command
	hold     bool // proposals wait for commit
	unread   int  // the first hosts of the list, whose entries cannot be read
}

func newBench(t *testing.T, hosts int) *bench {
	b := &bench{t: t, now: 1000 * model.Time(model.Second), state: &jobs.State{}}
	b.apply(jobs.Command{Configure: &jobs.Config{Version: 1, Services: map[model.ServiceID]jobs.Service{"render": {}}}})
	for i := range hosts {
		b.hosts = append(b.hosts, order.Host{
			ID: model.HostID(fmt.Sprintf("h%d", i)), Pool: "render", State: order.HostUp, Capacity: model.Resources{MilliCPU: 64000},
		})
	}
	b.lead()
	return b
}

func (b *bench) lead() {
	b.s = schedule.New(b.env().Schedule)
	b.p = New(b.env())
	b.calls, b.proposed = nil, nil
}

func (b *bench) env() Env {
	return Env{Self: "leader", Scheduler: b.s, Schedule: schedule.Env{Now: b.now, Clock: b.now, Term: 2, State: b.state, Bounds: schedule.Bounds{
		LeaseMax: 6 * model.Second, Maintenance: 2 * model.Second, Move: 1500 * ms,
	}}}
}

func (b *bench) apply(c jobs.Command) {
	b.index++
	b.state.Apply(&c, b.index, b.now)
}

func (b *bench) act(handle func(*Out)) {
	var out Out
	handle(&out)
	for _, e := range out.Effects {
		if c, ok := e.(effect.CallHosts); ok {
			b.calls = append(b.calls, c.Call)
		}
	}
	b.proposed = append(b.proposed, out.Proposals...)
	if !b.hold {
		b.commitAll()
	}
}

func (b *bench) commitAll() {
	list := b.proposed
	b.proposed = nil
	for i := range list {
		b.apply(list[i])
		b.act(func(out *Out) { b.p.Committed(b.env(), out, &list[i]) })
	}
}

// pass lets time pass and answers readings of the list.
func (b *bench) pass(d model.Duration) {
	for until := b.now.Add(d); b.now < until; {
		b.now = b.now.Add(50 * ms)
		b.act(func(out *Out) { b.p.Advance(b.env(), out) })
		for i := 0; i < len(b.calls); i++ {
			if c := b.calls[i]; c.List != nil {
				b.calls = append(b.calls[:i], b.calls[i+1:]...)
				b.reply(order.HostReply{Call: c, Status: order.HostAccepted, Hosts: b.hosts[b.unread:], Partial: b.unread > 0})
				i--
			}
		}
	}
}

func (b *bench) reply(r order.HostReply) {
	b.act(func(out *Out) { b.p.Replied(b.env(), out, &r) })
}

// maintained returns the hosts whose maintenance was ordered, and answers.
func (b *bench) maintained(status order.HostStatus) []model.HostID {
	list := b.calls
	b.calls = nil
	var ids []model.HostID
	for _, c := range list {
		if c.Maintain != nil {
			ids = append(ids, c.Maintain.Host)
			b.reply(order.HostReply{Call: c, Status: status})
		}
	}
	return ids
}

func (b *bench) startWave(cap int) {
	var ids []model.HostID
	for _, h := range b.hosts {
		ids = append(ids, h.ID)
	}
	b.apply(jobs.Command{StartWave: &jobs.StartWave{Wave: 1, Hosts: ids, Cap: cap, Within: 30 * model.Second}})
}

// Guards against more hosts of a wave down at one time than its cap: a reading of
// the list that began before an order shows the host as up.
func TestWaveKeepsToItsCap(t *testing.T) {
	b := newBench(t, 5)
	b.startWave(2)
	b.pass(takeOverTime + 500*ms)
	require.Len(t, b.maintained(order.HostAccepted), 2)
	b.pass(1800 * ms) // the list still shows all hosts as up
	require.Empty(t, b.maintained(order.HostAccepted))
	b.pass(3 * model.Second)
	require.Len(t, b.maintained(order.HostAccepted), 2)
	b.pass(4 * model.Second)
	require.Len(t, b.maintained(order.HostAccepted), 1)
	b.pass(model.Second)
	require.True(t, b.state.Waves[1].Closed)
}

// Guards against maintenance that is ordered before it is recorded: a leader that
// is cut off would go beyond the cap together with its successor.
func TestMaintenanceIsOrderedOnceItIsRecorded(t *testing.T) {
	b := newBench(t, 3)
	b.startWave(1)
	b.hold = true
	b.pass(takeOverTime + 500*ms)
	require.Empty(t, b.maintained(order.HostAccepted))
	b.hold = false
	b.commitAll()
	require.Len(t, b.maintained(order.HostAccepted), 1)
}

// Guards against a wave that is reported as done although a host was never
// maintained: a later leader repeats an order whose answer it does not know.
func TestLaterLeaderRepeatsOrdersWithoutAnAnswer(t *testing.T) {
	b := newBench(t, 2)
	b.startWave(1)
	b.pass(takeOverTime + 500*ms)
	first := b.maintained(order.HostSilent)
	require.Len(t, first, 1)
	b.lead()
	b.pass(takeOverTime + 500*ms)
	require.Equal(t, first, b.maintained(order.HostAccepted))
	require.False(t, b.state.Waves[1].Closed)
}

// Guards against a new leader that orders maintenance before it can know what its
// predecessor has ordered.
func TestNewLeaderWaits(t *testing.T) {
	b := newBench(t, 2)
	b.startWave(1)
	b.pass(takeOverTime - 200*ms)
	require.Empty(t, b.maintained(order.HostAccepted))
}

// Guards against a wave that is reported as done although the entry of one of its
// hosts could not be read, and against more hosts down than its cap because one of
// them is that host.
func TestHostWhoseEntryCannotBeReadHasNotLeft(t *testing.T) {
	b := newBench(t, 3)
	b.startWave(1)
	b.unread = 1
	b.pass(takeOverTime + 500*ms)
	require.Len(t, b.maintained(order.HostAccepted), 1)
	b.pass(4 * model.Second)
	require.Len(t, b.maintained(order.HostAccepted), 1)
	b.pass(10 * model.Second)
	require.Empty(t, b.maintained(order.HostAccepted))
	require.False(t, b.state.Waves[1].Closed)
	b.unread = 0
	b.pass(2 * model.Second)
	require.Equal(t, []model.HostID{"h0"}, b.maintained(order.HostSilent))

	b.lead()
	b.unread = 1
	b.hosts = append(b.hosts, order.Host{ID: "h3", Pool: "render", State: order.HostUp, Capacity: model.Resources{MilliCPU: 64000}})
	b.state.Waves[1].Hosts = append(b.state.Waves[1].Hosts, "h3")
	b.pass(takeOverTime + 5*model.Second)
	require.Empty(t, b.maintained(order.HostAccepted), "h0 may be down")
	b.unread = 0
	b.pass(2 * model.Second)
	require.Equal(t, []model.HostID{"h0"}, b.maintained(order.HostAccepted))
}

// Guards against a host that is forgotten because one reading could not read it.
func TestKnownHostStaysKnown(t *testing.T) {
	b := newBench(t, 3)
	b.pass(200 * ms)
	require.Len(t, b.p.hosts, 3)
	b.unread = 1
	b.pass(idleInterval + 200*ms)
	require.Len(t, b.p.hosts, 3)
	b.unread, b.hosts = 0, b.hosts[1:]
	b.pass(idleInterval + 200*ms)
	require.Len(t, b.p.hosts, 2)
}

// Guards against an end that is lost and a task that runs twice: the worker of a host
// has listed the end, which is not committed yet, and is ended with its host.
func TestHostStaysUntilItsEndsAreCommitted(t *testing.T) {
	b := newBench(t, 1)
	run := jobs.RunRef{TaskRef: jobs.TaskRef{Job: "j"}, Run: 1}
	b.apply(jobs.Command{Announce: &jobs.Worker{ID: "w", Host: "h0", Service: "render", Address: "w", Capacity: model.Resources{MilliCPU: 64000}}})
	b.apply(jobs.Command{Submit: &jobs.Job{ID: "j", Service: "render", Rounds: make([]jobs.Round, 1), Steps: []jobs.Step{{Tasks: 1}}}})
	b.apply(jobs.Command{Assign: &jobs.Assign{Runs: []jobs.Assignment{{RunRef: run, Worker: "w", Life: b.state.Workers["w"].Life}}}})
	b.lead()
	var out schedule.Out
	b.s.Advance(b.env().Schedule, &out)
	var poll order.Call
	for _, e := range out.Effects {
		if c, ok := e.(effect.CallWorker); ok && c.Call.Hold != nil {
			poll = c.Call
		}
	}
	out = schedule.Out{}
	b.s.Replied(b.env().Schedule, &out, &order.Reply{Call: poll, Status: order.Accepted, Clock: 1,
		Ended: []order.Ended{{Number: 1, RunRef: run, Outcome: jobs.OutcomeDone}}})
	require.Len(t, out.Proposals, 1)
	end := out.Proposals[0]
	require.NotNil(t, end.End)

	b.pass(takeOverTime + 500*ms)
	require.Empty(t, b.p.pools(b.env())[0].idle, "it may not be moved")
	b.startWave(1)
	b.pass(25 * model.Second) // the time that is left is needed for it
	require.Empty(t, b.maintained(order.HostAccepted))

	b.index++
	result := b.state.Apply(&end, b.index, b.now)
	b.s.Committed(b.env().Schedule, &schedule.Out{}, &end, result)
	b.pass(500 * ms)
	require.Len(t, b.maintained(order.HostAccepted), 1)
}

func idle(n int) []*host {
	list := make([]*host, n)
	for i := range list {
		list[i] = &host{}
	}
	return list
}

// Guards against a burst that waits in its pool while hosts elsewhere are idle,
// against a pool that gives what it needs itself, and against hosts that stay on
// for nobody. The pools are those of a queue that asks five times its mean while
// the others are quiet.
func TestHostsFollowABurst(t *testing.T) {
	burst := &pool{id: "burst", hosts: 9, capacity: 64000, demand: schedule.Demand{Arriving: 995_000}}
	quiet := &pool{id: "quiet", hosts: 9, capacity: 64000, idle: idle(6), demand: schedule.Demand{LongRunning: 60_000, Running: 10_000}}
	busy := &pool{id: "busy", hosts: 12, capacity: 64000, idle: idle(2), demand: schedule.Demand{Running: 600_000, Ready: 200_000}}
	off := &pool{id: "off", standby: true, hosts: 3, idle: idle(3)}
	to := make(map[model.ServiceID]int)
	for _, m := range moves([]*pool{burst, quiet, busy, off}, func(model.ServiceID) bool { return true }) {
		to[m.to]++
	}
	require.Equal(t, 9, to["burst"], "three that are off and six of the quiet pool")
	require.Zero(t, to["off"])
	require.Len(t, busy.idle, 2)
	require.Empty(t, off.idle)
}

// Guards against hosts that are switched off at once after a burst, and against
// ones that stay on for nobody.
func TestIdleHostsAreSwitchedOffAfterAWhile(t *testing.T) {
	build := func() []*pool {
		return []*pool{
			{id: "quiet", hosts: 9, capacity: 64000, idle: idle(7), demand: schedule.Demand{LongRunning: 60_000}},
			{id: "off", standby: true},
		}
	}
	require.Empty(t, moves(build(), func(model.ServiceID) bool { return false }))
	require.Len(t, moves(build(), func(model.ServiceID) bool { return true }), 6)
}

// Guards against a worker that is taken to be gone while it runs tasks: an order of
// an earlier leader was executed, and the worker that came with the host's return is
// not the one that it ended. The host gets no new runs until the order is clear.
func TestRepeatedOrderSparesTheNewWorker(t *testing.T) {
	announce := func(b *bench, name string, host model.HostID) model.WorkerID {
		id := model.WorkerID(name + "-" + string(host))
		b.apply(jobs.Command{Announce: &jobs.Worker{ID: id, Host: host, Service: "render", Address: string(id), Capacity: model.Resources{MilliCPU: 64000}}})
		return id
	}
	start := func() *bench {
		b := newBench(t, 2)
		for _, h := range b.hosts {
			announce(b, "before", h.ID)
		}
		b.startWave(1)
		b.pass(takeOverTime + 500*ms)
		return b
	}
	b := start()
	ordered := b.maintained(order.HostSilent)
	require.Len(t, ordered, 1)
	after := announce(b, "after", ordered[0])
	b.lead()
	require.Equal(t, map[model.HostID]bool{ordered[0]: true}, orderedHosts(b.state))
	b.pass(takeOverTime + 500*ms)
	require.Equal(t, ordered, b.maintained(order.HostAccepted))
	require.Contains(t, b.state.Workers, after)

	b = start()
	ordered = b.maintained(order.HostAccepted)
	require.Len(t, ordered, 1)
	require.NotContains(t, b.state.Workers, model.WorkerID("before-"+ordered[0]))
}
