package dispatch

import (
	"fmt"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/lease"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

const (
	ms      = model.Millisecond
	begin   = model.Time(1_000_000 * model.Second)
	gateway = model.HostID("gateway")
)

// fixture is an owner with a fleet state, in which proposals are committed at once.
type fixture struct {
	env       Env
	owner     *Owner
	sent      []message.Message // to the gateway since the last call of take
	logs      []effect.Log
	seq       uint64 // of the last lease renewal
	reportSeq uint64 // sequence number of the last report
}

func twoTeams(limit int) *rules.Rules {
	return &rules.Rules{
		Revision: 1,
		Teams:    map[model.TeamID]rules.Team{"press": {Share: 30, Limit: limit}, "maps": {Share: 60, Limit: limit}},
		Queues: map[model.QueueID]rules.Queue{
			"proofs":  {Service: "render", Precedence: 5, MaxRun: 10 * model.Second},
			"archive": {Service: "render", Precedence: 1, MaxRun: 10 * model.Second},
		},
	}
}

func targetOf(id string, slots int) fleet.Target {
	return fleet.Target{
		ID: model.TargetID(id), Incarnation: "1", Address: "a:" + id, Service: "render", DataCentre: "west", Slots: slots,
	}
}

// newFixture returns an owner that starts with the given registered targets and
// serves one gateway. Its fence has passed.
func newFixture(r *rules.Rules, registered ...fleet.Target) *fixture {
	f := &fixture{env: Env{
		Now: begin, Fleet: fleet.New(), Granter: lease.NewGranter(begin, 1, 0),
		Members: []model.HostID{gateway}, TasksRunning: func(model.TeamID) int { return 0 },
	}}
	f.env.Fleet.Members[gateway] = fleet.Member{DataCentre: "west"}
	f.apply(fleet.Command{ApplyRules: &fleet.ApplyRules{Hash: "h", Rules: r}})
	for _, t := range registered {
		f.apply(fleet.Command{RegisterTarget: &fleet.RegisterTarget{Target: t}})
	}
	f.owner = New(f.env, 1)
	f.advance(0)
	return f
}

func (f *fixture) apply(c fleet.Command) fleet.Result {
	return f.env.Fleet.Apply(f.env.Fleet.Index+1, &c)
}

// do calls handle, keeps its effects and commits its proposals.
func (f *fixture) do(handle func(env Env, out *Output)) {
	var out Output
	handle(f.env, &out)
	for _, e := range out.Effects {
		switch e := e.(type) {
		case effect.Send:
			f.sent = append(f.sent, e.Message)
		case effect.Log:
			f.logs = append(f.logs, e)
		}
	}
	for i := range out.Proposals {
		c := out.Proposals[i]
		result := f.apply(c)
		f.do(func(env Env, out *Output) { f.owner.Committed(env, out, &c, result) })
	}
}

// advance moves the time forward by d, renews the gateway's lease and calls Advance.
func (f *fixture) advance(d model.Duration) {
	f.env.Now = f.env.Now.Add(d)
	f.renew()
	f.do(f.owner.Advance)
}

func (f *fixture) renew() {
	f.seq++
	f.env.Granter.HandleRenew(f.env.Now, gateway, &message.Renew{Term: 1, Seq: f.seq, Incarnation: "life", Full: true})
}

// report sends a report that was sampled after the reply to the one before it.
func (f *fixture) report(t fleet.Target, running ...message.RunningRequest) {
	f.reportSeq++
	f.reportAs(message.TargetReport{Target: t, Seq: f.reportSeq, Acked: f.reportSeq - 1, State: message.TargetReady, Running: running})
}

func (f *fixture) reportAs(m message.TargetReport) {
	f.do(func(env Env, out *Output) { f.owner.Report(env, out, &m) })
}

// ready registers targets and reports them as ready.
func (f *fixture) ready(targets ...fleet.Target) {
	for _, t := range targets {
		f.report(t)
		f.report(t)
	}
}

func askOf(id int, team model.TeamID, queue model.QueueID) message.Ask {
	return message.Ask{
		Request: model.RequestID(fmt.Sprintf("r%05d", id)), Inc: "life", Team: team, Queue: queue,
		Idempotent: true, Patience: 10 * model.Second,
	}
}

func (f *fixture) ask(a message.Ask) {
	f.do(func(env Env, out *Output) { f.owner.Ask(env, out, gateway, &a) })
}

func (f *fixture) done(d message.Done) {
	f.do(func(env Env, out *Output) { f.owner.Done(env, out, gateway, &d) })
}

func (f *fixture) end(d *message.Dispatch, o message.Outcome, final bool) {
	f.done(message.Done{Request: d.Request, Attempt: d.Attempt, Outcome: o, RunTime: model.Second, Final: final})
}

// take returns the messages that were sent to the gateway since the last call.
func (f *fixture) take() (dispatched []*message.Dispatch, refused []*message.Refuse) {
	for _, m := range f.sent {
		if m.Dispatch != nil {
			dispatched = append(dispatched, m.Dispatch)
		}
		if m.Refuse != nil {
			refused = append(refused, m.Refuse)
		}
	}
	f.sent = nil
	return dispatched, refused
}

func kindOf(r *message.Refuse) problem.Kind {
	if r.Problem == nil {
		return ""
	}
	return r.Problem.Kind
}
