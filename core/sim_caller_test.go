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
	teams   = []model.TeamID{"press", "maps", "public"}
	centres = []model.DataCentreID{"west", "east", "north"}
	queues  = []model.QueueID{"proofs", "archive", "index", "open"}
)

const fullLimit = 8 // of each team, in calm

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
	for _, dc := range centres {
		r.DataCentres[dc] = rules.DataCentre{}
	}
	return r
}

// simCall is one request of a caller.
type simCall struct {
	id         model.RequestID
	host       *host
	life       int
	team       model.TeamID
	queue      model.QueueID
	idempotent bool
	key        model.Digest // claim key
	body       model.Digest
	bearer     model.Digest // hash of the caller's key, or empty
	sent       instant
	starts     int
	answers    int
	answeredAt instant
	problem    *problem.Problem
	notRun     bool
	abandoned  bool
	resends    int
	settled    bool // a resend of a request that was answered in calm
}

func (c *simCall) claimText() string { return string(c.team) + "/" + string(c.key) }

// callers send requests until callsEnd: steadily, with bursts of each queue.
func (w *world) callers() {
	w.every(50*ms, func() {
		if w.now > 3*second && w.now < callsEnd {
			w.call(pickOne(w, queues))
		}
	})
	w.every(30*ms, func() {
		if w.now > 3*second && w.faults() {
			w.call(pickOne(w, queues)) // more than the limits allow
		}
	})
	w.every(5*second, func() {
		if w.now < 3*second || !w.faults() {
			return
		}
		queue := pickOne(w, queues)
		for range 40 {
			w.after(w.between(0, 800*ms), func() { w.call(queue) })
		}
	})
}

func (w *world) call(queue model.QueueID) { w.callAt(pickOne(w, w.hosts), queue) }

func (w *world) callAt(h *host, queue model.QueueID) {
	c := &simCall{queue: queue, idempotent: w.chance(0.5)}
	if queue == "open" {
		c.team = "public"
	} else {
		k := pickOne(w, w.ops.keys)
		c.team, c.bearer = k.team, k.hash
	}
	if !c.idempotent {
		c.key = model.Digest(w.next("key"))
		c.body = "body"
	}
	w.send(h, c)
}

// send passes a request to a host, which admits it by its view.
func (w *world) send(h *host, c *simCall) {
	if !h.serving() || h.view.Stopping {
		return
	}
	if team, ok := h.view.Teams[c.bearer]; c.bearer != "" && (!ok || team != c.team) {
		return
	}
	c.id = model.RequestID(w.next(string(h.id) + "-r"))
	c.host, c.life, c.sent = h, h.life, w.now
	w.books.calls[c.id] = c
	w.books.order = append(w.books.order, c)
	patience := w.between(1000*ms, 1800*ms) // and 3 s of run time are within the 5 s of checkCalm
	if w.faults() && w.chance(0.5) {
		patience = w.between(50*ms, 12*second)
	}
	w.note("%s gets %s of %s on %s %s", h.id, c.id, c.team, c.queue, c.key)
	if _, known := h.view.Rules.Queues[c.queue]; !known {
		w.note("%s has no queue %s", h.id, c.queue)
		c.answers, c.abandoned = 0, true
		return
	}
	h.post(h.life, event.RequestArrived{Request: event.Request{
		ID: c.id, Team: c.team, Queue: c.queue, Bearer: c.bearer, Idempotent: c.idempotent, Key: c.key, Body: c.body,
		Worth: float64(w.rng.IntN(8)), Patience: model.Duration(patience),
	}})
	if w.faults() && w.chance(0.05) {
		w.after(w.between(0, 2*second), func() { w.abandon(c) })
	}
	if !c.idempotent && w.chance(0.3) {
		w.after(w.between(50*ms, 3*second), func() { w.resend(c) })
	}
}

func (w *world) abandon(c *simCall) {
	if c.answers > 0 || !c.host.up || c.host.life != c.life {
		return
	}
	c.abandoned = true
	w.note("caller of %s disconnects", c.id)
	c.host.post(c.life, event.RequestAbandoned{Request: c.id})
}

// resend sends the same claim again under a new request id.
func (w *world) resend(c *simCall) {
	if c.resends >= 2 || w.now > callsEnd {
		return
	}
	again := &simCall{queue: c.queue, team: c.team, key: c.key, body: c.body, bearer: c.bearer, resends: c.resends + 1}
	again.settled = c.sent > faultsEnd && c.answers > 0 && c.problem == nil
	if w.faults() && w.chance(0.05) {
		again.body = "other body"
	}
	w.send(pickOne(w, w.hosts), again)
}

// operators change rules and keys.
type operators struct {
	quiet    bool // no changes after the first rules and keys
	keys     []grantedKey
	commands map[model.CommandID]*effectiveRules
}

type grantedKey struct {
	name string
	hash model.Digest
	team model.TeamID
}

type effectiveRules struct {
	base uint64
	hash model.Digest
}

func (w *world) operators() {
	w.ops.commands = make(map[model.CommandID]*effectiveRules)
	for _, team := range teams {
		w.grant(team)
	}
	w.every(300*ms, func() {
		if len(w.books.accepted) == 0 {
			w.applyRules(0, firstRules(), model.Digest(w.next("hash")))
		} else if w.now < 4*second {
			for _, k := range w.ops.keys {
				w.submitKey(k)
			}
		}
	})
	w.every(1500*ms, func() {
		if w.now > 4*second && w.faults() && !w.ops.quiet {
			w.changeRules()
		}
	})
	w.every(4*second, func() {
		if w.now > 6*second && w.faults() && !w.ops.quiet {
			w.changeKeys()
		}
	})
	w.every(400*ms, w.restoreRules)
}

func (w *world) grant(team model.TeamID) {
	name := w.next("name")
	k := grantedKey{name, model.Digest("hash-of-" + name), team}
	w.ops.keys = append(w.ops.keys, k)
	w.submitKey(k)
}

func (w *world) submitKey(k grantedKey) {
	w.submit(pickOne(w, w.hosts), fleet.Command{GrantKey: &fleet.GrantKey{Name: k.name, Hash: k.hash, Team: k.team}})
}

func (w *world) changeKeys() {
	i := w.rng.IntN(len(w.ops.keys))
	k := w.ops.keys[i]
	w.submit(pickOne(w, w.hosts), fleet.Command{WithdrawKey: &fleet.WithdrawKey{Name: k.name}})
	if len(w.ops.keys) < 12 {
		w.grant(k.team)
	}
}

// changeRules submits a change, sometimes two on the same base, and resends.
func (w *world) changeRules() {
	h := pickOne(w, w.hosts)
	if !h.up || h.view.Rules == nil || h.view.Rules.Revision == 0 {
		return
	}
	n := 1 + w.rng.IntN(2)
	for range n {
		next := h.view.Rules.Clone()
		next.Revision++
		if w.chance(0.75) {
			team := pickOne(w, teams)
			next.Teams[team] = rules.Team{Share: 30, Limit: 1 + w.rng.IntN(fullLimit/2)}
		} else if w.chance(0.2) {
			toggleQueue(next, "index")
		} else {
			dc := pickOne(w, centres)
			next.DataCentres[dc] = rules.DataCentre{Out: !next.DataCentres[dc].Out}
		}
		w.applyRules(next.Revision-1, next, model.Digest(w.next("hash")))
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

// restoreRules brings back the first rules after the faults.
func (w *world) restoreRules() {
	if w.now < faultsEnd || w.now > faultsEnd+4*second {
		return
	}
	last := w.books.accepted[len(w.books.accepted)-1]
	want := firstRules()
	if describe(last.rules) == describe(want) {
		return
	}
	want.Revision = last.rules.Revision + 1
	w.applyRules(last.rules.Revision, want, model.Digest(w.next("hash")))
}

func (w *world) applyRules(base uint64, r *rules.Rules, hash model.Digest) {
	c := fleet.Command{
		ID:         model.CommandID(w.next("command")),
		ApplyRules: &fleet.ApplyRules{Base: base, Hash: hash, Rules: r},
	}
	w.ops.commands[c.ID] = &effectiveRules{base, hash}
	w.submit(pickOne(w, w.hosts), c)
	if w.chance(0.3) {
		w.after(w.between(0, 2*second), func() { w.submit(pickOne(w, w.hosts), c) })
	}
	if w.chance(0.2) {
		again := c
		again.ID = model.CommandID(w.next("command"))
		w.ops.commands[again.ID] = w.ops.commands[c.ID]
		w.after(w.between(0, 3*second), func() { w.submit(pickOne(w, w.hosts), again) })
	}
}

func (w *world) submit(h *host, c fleet.Command) {
	if c.ID == "" {
		c.ID = model.CommandID(w.next("command"))
	}
	if h.up {
		h.post(h.life, event.CommandSubmitted{Command: c})
	}
}

// commandAnswered: the answer to a change of rules agrees with what was
// accepted, also when it answers a resend.
func (w *world) commandAnswered(h *host, f effect.AnswerCommand) {
	e := w.ops.commands[f.ID]
	if e == nil {
		return
	}
	accepted := int(e.base) < len(w.books.accepted) && w.books.accepted[e.base].hash == e.hash
	won := f.Result.Problem == nil
	if won != accepted {
		w.fail("%s answers %s (%s on base %d) with %v; accepted is %v", h.id, f.ID, e.hash, e.base, f.Result.Problem, accepted)
	}
	if !won && f.Result.Problem.Kind != problem.RevisionConflict {
		w.fail("%s answers %s with %v", h.id, f.ID, f.Result.Problem)
	}
}

func (w *world) liveTargets() []*target {
	return slices.DeleteFunc(slices.Clone(w.targets), func(t *target) bool { return !t.up || t.leaving })
}

func targetAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }
