package core

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

var (
	teams       = []model.TeamID{"press", "maps", "public"}
	dataCentres = []model.DataCentreID{"west", "east", "north"}
	queues      = []model.QueueID{"proofs", "archive", "index", "open"}
)

const fullLimit = 8 // of each team, after the faults

func firstRules() *rules.Rules {
	const maxRun = 3 * model.Second
	r := &rules.Rules{
		Revision:    1,
		Teams:       map[model.TeamID]rules.Team{},
		DataCentres: map[model.DataCentreID]rules.DataCentre{},
		Queues: map[model.QueueID]rules.Queue{
			"proofs":  {Service: "render", Precedence: 5, MaxRun: maxRun},
			"archive": {Service: "render", Precedence: 1, MaxRun: maxRun},
			"index":   {Service: "index", Precedence: 3, MaxRun: maxRun},
			"open":    {Service: "render", Precedence: 3, MaxRun: maxRun, Open: true, Team: "public"},
		},
	}
	for _, team := range teams {
		r.Teams[team] = rules.Team{Share: 30, Limit: fullLimit}
	}
	for _, dc := range dataCentres {
		r.DataCentres[dc] = rules.DataCentre{}
	}
	return r
}

// simCall is one request of a caller.
type simCall struct {
	id              model.RequestID
	host            *host
	incarnation     int
	team            model.TeamID
	queue           model.QueueID
	idempotent      bool
	key             model.Digest // claim key
	body            model.Digest
	bearer          model.Digest // hash of the caller's key, empty without one
	sent            instant
	starts          int
	answers         int
	answeredAt      instant
	problem         *problem.Problem
	notRun          bool
	abandoned       bool
	resends         int
	repeatsAnswered bool // repeats a request that was answered after the faults
}

func (c *simCall) claimText() string { return string(c.team) + "/" + string(c.key) }

// startCallers sends requests until callsEnd, steadily and, during the faults, in
// bursts to one queue.
func (sim *simulation) startCallers() {
	sim.every(50*ms, func() {
		if sim.now > 3*second && sim.now < callsEnd {
			sim.call(pickOne(sim, queues))
		}
	})
	sim.every(30*ms, func() {
		if sim.now > 3*second && sim.inFaultPhase() {
			sim.call(pickOne(sim, queues)) // more than the teams' limits allow
		}
	})
	sim.every(5*second, func() {
		if sim.now < 3*second || !sim.inFaultPhase() {
			return
		}
		queue := pickOne(sim, queues)
		for range 40 {
			sim.after(sim.between(0, 800*ms), func() { sim.call(queue) })
		}
	})
}

func (sim *simulation) call(queue model.QueueID) { sim.callAt(pickOne(sim, sim.hosts), queue) }

func (sim *simulation) callAt(h *host, queue model.QueueID) {
	c := &simCall{queue: queue, idempotent: sim.chance(0.5)}
	if queue == "open" {
		c.team = "public"
	} else {
		k := pickOne(sim, sim.ops.keys)
		c.team, c.bearer = k.team, k.hash
	}
	if !c.idempotent {
		c.key = model.Digest(sim.nextID("key"))
		c.body = "body"
	}
	sim.send(h, c)
}

// send passes a request to a host, which admits it according to its view.
func (sim *simulation) send(h *host, c *simCall) {
	if !h.serving() || h.view.Stopping {
		return
	}
	if team, ok := h.view.Teams[c.bearer]; c.bearer != "" && (!ok || team != c.team) {
		return
	}
	c.id = model.RequestID(sim.nextID(string(h.id) + "-r"))
	c.host, c.incarnation, c.sent = h, h.incarnation, sim.now
	sim.observed.calls[c.id] = c
	sim.observed.order = append(sim.observed.order, c)
	patience := sim.between(1000*ms, 1800*ms) // with 3 s of run time, within the 5 s of checkAfterFaults
	if sim.inFaultPhase() && sim.chance(0.5) {
		patience = sim.between(50*ms, 12*second)
	}
	sim.tracef("%s gets %s of %s on %s %s", h.id, c.id, c.team, c.queue, c.key)
	if _, known := h.view.Rules.Queues[c.queue]; !known {
		sim.tracef("%s has no queue %s", h.id, c.queue)
		c.answers, c.abandoned = 0, true
		return
	}
	h.deliver(h.incarnation, event.RequestArrived{Request: event.Request{
		ID: c.id, Team: c.team, Queue: c.queue, Bearer: c.bearer, Idempotent: c.idempotent, Key: c.key, Body: c.body,
		Worth: float64(sim.rng.IntN(8)), Patience: model.Duration(patience),
	}})
	if sim.inFaultPhase() && sim.chance(0.05) {
		sim.after(sim.between(0, 2*second), func() { sim.abandon(c) })
	}
	if !c.idempotent && sim.chance(0.3) {
		sim.after(sim.between(50*ms, 3*second), func() { sim.resend(c) })
	}
}

func (sim *simulation) abandon(c *simCall) {
	if c.answers > 0 || !c.host.up || c.host.incarnation != c.incarnation {
		return
	}
	c.abandoned = true
	sim.tracef("caller of %s disconnects", c.id)
	c.host.deliver(c.incarnation, event.RequestAbandoned{Request: c.id})
}

// resend repeats a claim under a new request id.
func (sim *simulation) resend(c *simCall) {
	if c.resends >= 2 || sim.now > callsEnd {
		return
	}
	again := &simCall{queue: c.queue, team: c.team, key: c.key, body: c.body, bearer: c.bearer, resends: c.resends + 1}
	again.repeatsAnswered = c.sent > faultsEnd && c.answers > 0 && c.problem == nil
	if sim.inFaultPhase() && sim.chance(0.05) {
		again.body = "other body"
	}
	sim.send(pickOne(sim, sim.hosts), again)
}

// operatorState is what the simulated operators, who change rules and keys, know.
type operatorState struct {
	noChanges bool // no changes after the first rules and keys
	keys      []grantedKey
	commands  map[model.CommandID]*submittedRules
}

type grantedKey struct {
	name string
	hash model.Digest
	team model.TeamID
}

type submittedRules struct {
	base uint64
	hash model.Digest
}

func (sim *simulation) startOperators() {
	sim.ops.commands = make(map[model.CommandID]*submittedRules)
	for _, team := range teams {
		sim.grant(team)
	}
	sim.every(300*ms, func() {
		if len(sim.observed.accepted) == 0 {
			sim.applyRules(0, firstRules(), model.Digest(sim.nextID("hash")))
		} else if sim.now < 4*second {
			for _, k := range sim.ops.keys {
				sim.submitKey(k)
			}
		}
	})
	sim.every(1500*ms, func() {
		if sim.now > 4*second && sim.inFaultPhase() && !sim.ops.noChanges {
			sim.changeRules()
		}
	})
	sim.every(4*second, func() {
		if sim.now > 6*second && sim.inFaultPhase() && !sim.ops.noChanges {
			sim.changeKeys()
		}
	})
	sim.every(400*ms, sim.restoreRules)
}

func (sim *simulation) grant(team model.TeamID) {
	name := sim.nextID("name")
	k := grantedKey{name, model.Digest("hash-of-" + name), team}
	sim.ops.keys = append(sim.ops.keys, k)
	sim.submitKey(k)
}

func (sim *simulation) submitKey(k grantedKey) {
	sim.submit(pickOne(sim, sim.hosts), fleet.Command{GrantKey: &fleet.GrantKey{Name: k.name, Hash: k.hash, Team: k.team}})
}

func (sim *simulation) changeKeys() {
	i := sim.rng.IntN(len(sim.ops.keys))
	k := sim.ops.keys[i]
	sim.submit(pickOne(sim, sim.hosts), fleet.Command{WithdrawKey: &fleet.WithdrawKey{Name: k.name}})
	if len(sim.ops.keys) < 12 {
		sim.grant(k.team)
	}
}

// changeRules submits a change, sometimes two on the same base revision.
func (sim *simulation) changeRules() {
	h := pickOne(sim, sim.hosts)
	if !h.up || h.view.Rules == nil || h.view.Rules.Revision == 0 {
		return
	}
	n := 1 + sim.rng.IntN(2)
	for range n {
		next := h.view.Rules.Clone()
		next.Revision++
		if sim.chance(0.75) {
			team := pickOne(sim, teams)
			next.Teams[team] = rules.Team{Share: 30, Limit: 1 + sim.rng.IntN(fullLimit/2)}
		} else if sim.chance(0.2) {
			toggleQueue(next, "index")
		} else {
			dc := pickOne(sim, dataCentres)
			next.DataCentres[dc] = rules.DataCentre{Out: !next.DataCentres[dc].Out}
		}
		sim.applyRules(next.Revision-1, next, model.Digest(sim.nextID("hash")))
	}
}

// toggleQueue removes a queue or brings it back.
func toggleQueue(r *rules.Rules, id model.QueueID) {
	if _, there := r.Queues[id]; there {
		delete(r.Queues, id)
		return
	}
	r.Queues[id] = firstRules().Queues[id]
}

// restoreRules submits the first rules again after the faults.
func (sim *simulation) restoreRules() {
	if sim.now < faultsEnd || sim.now > faultsEnd+4*second {
		return
	}
	last := sim.observed.accepted[len(sim.observed.accepted)-1]
	want := firstRules()
	if describe(last.rules) == describe(want) {
		return
	}
	want.Revision = last.rules.Revision + 1
	sim.applyRules(last.rules.Revision, want, model.Digest(sim.nextID("hash")))
}

func (sim *simulation) applyRules(base uint64, r *rules.Rules, hash model.Digest) {
	c := fleet.Command{
		ID:         model.CommandID(sim.nextID("command")),
		ApplyRules: &fleet.ApplyRules{Base: base, Hash: hash, Rules: r},
	}
	sim.ops.commands[c.ID] = &submittedRules{base, hash}
	sim.submit(pickOne(sim, sim.hosts), c)
	if sim.chance(0.3) {
		sim.after(sim.between(0, 2*second), func() { sim.submit(pickOne(sim, sim.hosts), c) })
	}
	if sim.chance(0.2) {
		again := c
		again.ID = model.CommandID(sim.nextID("command"))
		sim.ops.commands[again.ID] = sim.ops.commands[c.ID]
		sim.after(sim.between(0, 3*second), func() { sim.submit(pickOne(sim, sim.hosts), again) })
	}
}

func (sim *simulation) submit(h *host, c fleet.Command) {
	if c.ID == "" {
		c.ID = model.CommandID(sim.nextID("command"))
	}
	if h.up {
		h.deliver(h.incarnation, event.CommandSubmitted{Command: c})
	}
}

// commandAnswered checks that the answer to a change of rules, also to a repeated one,
// agrees with the changes that were accepted.
func (sim *simulation) commandAnswered(h *host, f effect.AnswerCommand) {
	e := sim.ops.commands[f.ID]
	if e == nil {
		return
	}
	accepted := int(e.base) < len(sim.observed.accepted) && sim.observed.accepted[e.base].hash == e.hash
	won := f.Result.Problem == nil
	if won != accepted {
		sim.fail("%s answers %s (%s on base %d) with %v; accepted is %v", h.id, f.ID, e.hash, e.base, f.Result.Problem, accepted)
	}
	if !won && f.Result.Problem.Kind != problem.RevisionConflict {
		sim.fail("%s answers %s with %v", h.id, f.ID, f.Result.Problem)
	}
}

func (sim *simulation) liveTargets() []*target {
	return slices.DeleteFunc(slices.Clone(sim.targets), func(t *target) bool { return !t.up || t.leaving })
}

func targetAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }
