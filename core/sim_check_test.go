package core

import (
	"fmt"
	"slices"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/core/view"
)

// books are what the fakes know by themselves, for the checks.
type books struct {
	calls     map[model.RequestID]*simCall
	order     []*simCall
	running   map[model.TeamID]int
	claimRuns map[string]int // starts by claim
	finished  map[model.RequestID]int
	received  map[string]bool // whole answers at the gateway, by request and attempt
	accepted  []acceptedRules // by revision, from 1
	withdrawn map[model.Digest]instant
	starts    []instant // on all targets
}

type acceptedRules struct {
	hash  model.Digest
	rules *rules.Rules
	at    instant
}

func newBooks() books {
	return books{
		calls:     make(map[model.RequestID]*simCall),
		running:   make(map[model.TeamID]int),
		claimRuns: make(map[string]int),
		finished:  make(map[model.RequestID]int),
		received:  make(map[string]bool),
		withdrawn: make(map[model.Digest]instant),
	}
}

// observe looks at a host after each event.
func (w *world) observe(h *host) {
	w.observeRules(h)
	w.checkLeaders(h)
	if h.state.leading == nil {
		return
	}
	if err := h.state.leading.owner.Audit(); err != nil {
		w.fail("leader %s: %v", h.id, err)
	}
}

// observeRules records an accepted change when the first host applies it.
func (w *world) observeRules(h *host) {
	f := h.state.fleet
	if f.Rules.Revision == 0 {
		return
	}
	rev := int(f.Rules.Revision)
	if rev > len(w.books.accepted) {
		w.books.accepted = append(w.books.accepted, acceptedRules{f.RulesHash, f.Rules, w.now})
		w.note("revision %d accepted: %s", rev, describe(f.Rules))
		if rev != len(w.books.accepted) {
			w.fail("revision %d was skipped", rev-1)
			return
		}
	}
	if w.books.accepted[rev-1].hash != f.RulesHash {
		w.fail("host %s has another revision %d", h.id, rev)
	}
	for _, k := range w.ops.keys {
		if _, seen := w.books.withdrawn[k.hash]; !seen && f.Keys[k.name].Withdrawn {
			w.books.withdrawn[k.hash] = w.now
			w.note("key %s of %s withdrawn", k.name, k.team)
		}
	}
}

func describe(r *rules.Rules) string {
	s := ""
	for _, team := range teams {
		s += fmt.Sprintf("%s=%d ", team, r.Teams[team].Limit)
	}
	for _, dc := range centres {
		if r.DataCentres[dc].Out {
			s += string(dc) + " out "
		}
	}
	if _, ok := r.Queues["index"]; !ok {
		s += "no index"
	}
	return s
}

// checkLeaders: two hosts never both believe to hold the leader lease.
func (w *world) checkLeaders(h *host) {
	if h.state.log.Status().Role != consensus.Leader || !h.state.log.HoldsLeaderLease(h.now()) {
		return
	}
	for _, o := range w.hosts {
		if o != h && o.up && !o.frozen && o.state.log.HoldsLeaderLease(o.now()) {
			w.fail("%s and %s both hold the leader lease", h.id, o.id)
		}
	}
}

// published: the revision of a host never goes down.
func (w *world) published(h *host) {
	if h.view.Rules == nil {
		return
	}
	if h.view.Rules.Revision < h.revision {
		w.fail("the rules of %s went from revision %d to %d", h.id, h.revision, h.view.Rules.Revision)
	}
	h.revision = h.view.Rules.Revision
}

// checkServing: a host that serves has each revision within changeBound.
func (w *world) checkServing(h *host) {
	if !h.serving() {
		return
	}
	for rev := len(w.books.accepted); rev > int(h.view.Rules.Revision); rev-- {
		if a := w.books.accepted[rev-1]; w.now > a.at+changeBound {
			w.fail("%s serves with revision %d; %d was accepted %d ms ago", h.id, h.view.Rules.Revision, rev, (w.now-a.at)/ms)
		}
	}
}

// limit is the largest limit of a team in force within the last changeBound.
func (w *world) limit(team model.TeamID) int {
	largest := 0
	for _, a := range slices.Backward(w.books.accepted) {
		largest = max(largest, a.rules.Teams[team].Limit)
		if w.now > a.at+changeBound {
			break
		}
	}
	return largest
}

// outSince returns when the data centre was taken out, if it still is.
func (w *world) outSince(dc model.DataCentreID) (instant, bool) {
	var since instant
	out := false
	for _, a := range slices.Backward(w.books.accepted) {
		if !a.rules.DataCentres[dc].Out {
			break
		}
		since, out = a.at, true
	}
	return since, out
}

// began checks a start by the target's own books.
func (w *world) began(t *target, x *exchange, c *simCall) {
	w.note("target %s starts %s attempt %d team %s for %s", t.reg.ID, c.id, x.f.Attempt, c.team, x.h.id)
	w.books.running[c.team]++
	c.starts++
	w.books.starts = append(w.books.starts, w.now)
	if n, limit := w.books.running[c.team], w.limit(c.team); n > limit {
		w.fail("team %s runs %d with limit %d after the start of %s", c.team, n, limit, c.id)
	}
	if !c.idempotent {
		w.books.claimRuns[c.claimText()]++
		if w.books.claimRuns[c.claimText()] > 1 {
			w.fail("non-idempotent %s (%s) runs twice", c.claimText(), c.id)
		}
	}
	if c.notRun {
		w.fail("%s starts after it was refused as not run", c.id)
	}
	if since, out := w.outSince(t.reg.DataCentre); out && w.now > since+changeBound {
		w.fail("%s starts in %s, out for %d ms", c.id, t.reg.DataCentre, (w.now-since)/ms)
	}
	if at, gone := w.books.withdrawn[c.bearer]; gone && w.now > at+changeBound {
		w.fail("%s starts by a key withdrawn %d ms ago", c.id, (w.now-at)/ms)
	}
}

// checkLeaving: a target gets nothing new some time after the leader has taken
// its announcement that it leaves.
func (w *world) checkLeaving(t *target, f effect.Forward) {
	if t.leaving && t.told != 0 && f.Inc == t.reg.Incarnation && w.now > t.told+changeBound {
		w.fail("%s comes to %s, leaving for %d ms", f.Request, t.reg.ID, (w.now-t.told)/ms)
	}
}

// answered checks the answer that a caller gets.
func (w *world) answered(h *host, f effect.AnswerRequest) {
	c := w.books.calls[f.Request]
	c.answers++
	c.answeredAt = w.now
	c.problem = f.Problem
	w.note("%s answers %s: attempt %d, %v, stored %v", h.id, f.Request, f.Attempt, f.Problem, f.Answer != nil)
	switch {
	case c.host != h || c.life != h.life:
		w.fail("%s answers %s of another process", h.id, c.id)
	case c.answers > 1:
		w.fail("%s was answered twice", c.id)
	case f.Problem != nil:
		w.checkRefusal(c, problem.Lookup(f.Problem.Kind).Ran)
	case f.Answer != nil:
		if string(f.Answer.Body) != c.claimText() || w.books.claimRuns[c.claimText()] != 1 {
			w.fail("%s got the stored answer %s", c.id, f.Answer.Body)
		}
	case !w.books.received[fmt.Sprintf("%s/%d", c.id, f.Attempt)]:
		w.fail("%s was answered by attempt %d, which has no answer", c.id, f.Attempt)
	}
}

func (w *world) checkRefusal(c *simCall, ran problem.Ran) {
	if ran == problem.RanNo {
		c.notRun = true
		if c.starts > 0 {
			w.fail("%s was refused as not run (%v) after %d starts", c.id, c.problem, c.starts)
		}
	}
	if ran == problem.RanYes && w.books.claimRuns[c.claimText()] == 0 {
		w.fail("%s was refused as run (%v) without a start", c.id, c.problem)
	}
}

// halted: a graceful stop interrupts no request.
func (w *world) halted(h *host, f effect.Halt) {
	if f.Reason != "" {
		w.fail("%s halts: %s", h.id, f.Reason)
	}
	for _, c := range w.books.order {
		if c.host == h && c.life == h.life && c.answers == 0 && !c.abandoned {
			w.fail("%s stops without an answer to %s", h.id, c.id)
		}
	}
	w.note("%s halts", h.id)
	h.stopped()
	h.disk.pending, h.disk.busy = nil, false
	h.restartAfter(w.between(200*ms, 3*second))
}

// checkCalm: after the faults, requests are answered in time, and those that
// arrive when the system has settled are run.
func (w *world) checkCalm() {
	excused := []problem.Kind{problem.InProgress, problem.OutcomeUnknown, problem.KeyReused, problem.KeyRejected, problem.DeadlineExceeded}
	for _, c := range w.books.order {
		if c.sent < faultsEnd || c.abandoned {
			continue
		}
		took := c.answeredAt - c.sent
		if c.answers != 1 || took > 5*second {
			w.fail("%s of %.3f s was answered %d times after %d ms", c.id, float64(c.sent)/float64(second), c.answers, took/ms)
		}
		if c.settled && c.sent > faultsEnd+5*second && c.problem != nil {
			w.fail("%s, a resend of an answered request, was refused: %v", c.id, c.problem)
		}
		if c.sent > faultsEnd+5*second && c.problem != nil && !slices.Contains(excused, c.problem.Kind) {
			w.fail("%s of %.3f s was refused in calm: %v", c.id, float64(c.sent)/float64(second), c.problem)
		}
	}
}

// checkAnswered: every caller that is still connected got its answer.
func (w *world) checkAnswered() {
	for _, c := range w.books.order {
		if c.answers == 0 && !c.abandoned && c.host.life == c.life {
			w.fail("%s of %.3f s got no answer", c.id, float64(c.sent)/float64(second))
		}
	}
}

// checkQuiet: nothing is left of requests that have ended.
func (w *world) checkQuiet() {
	leaders := 0
	for _, h := range w.hosts {
		if n := h.state.table.Len(); n != 0 {
			w.fail("%s still holds %d requests", h.id, n)
		}
		if h.state.leading == nil {
			continue
		}
		leaders++
		if held := h.state.fleet.HeldClaims(); len(held) != 0 {
			w.fail("%d claims are held without a request: %v", len(held), held[0])
		}
		o := h.state.leading.owner
		var st view.Status
		o.Status(h.state.env(), &st)
		for _, team := range st.Teams {
			if n := o.RequestsRunning(team.Team); team.Requests != 0 || n != 0 {
				w.fail("leader %s counts %d running of team %s, %d with unknown ones", h.id, team.Requests, team.Team, n)
			}
		}
		for _, t := range st.Targets {
			if t.Running != 0 {
				w.fail("leader %s counts %d running on target %s", h.id, t.Running, t.Target)
			}
		}
	}
	if leaders != 1 {
		w.fail("%d leaders after the faults", leaders)
	}
}

// report logs what the run did, so that a run that does nothing is noticed.
func (w *world) report() {
	answered, refused, claims := 0, make(map[problem.Kind]int), 0
	for _, c := range w.books.order {
		switch {
		case c.problem != nil:
			refused[c.problem.Kind]++
		case c.answers > 0:
			answered++
		}
		if c.starts > 0 && !c.idempotent {
			claims++
		}
	}
	w.t.Logf("%d requests: %d answered, %d claims run, refused %v; %d revisions, %d keys withdrawn",
		len(w.books.order), answered, claims, refused, len(w.books.accepted), len(w.books.withdrawn))
}
