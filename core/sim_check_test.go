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

// observations are what the simulated targets, callers and operators have seen
// themselves, independent of the hosts. The checks use them.
type observations struct {
	calls     map[model.RequestID]*simCall
	order     []*simCall
	running   map[model.TeamID]int
	claimRuns map[string]int // starts by claim
	finished  map[model.RequestID]int
	received  map[string]bool // complete answers received by the gateway, by request and attempt
	accepted  []acceptedRules // by revision, from 1
	withdrawn map[model.Digest]instant
	starts    []instant // on all targets
}

type acceptedRules struct {
	hash  model.Digest
	rules *rules.Rules
	at    instant
}

func newObservations() observations {
	return observations{
		calls:     make(map[model.RequestID]*simCall),
		running:   make(map[model.TeamID]int),
		claimRuns: make(map[string]int),
		finished:  make(map[model.RequestID]int),
		received:  make(map[string]bool),
		withdrawn: make(map[model.Digest]instant),
	}
}

// observe checks a host after each event.
func (sim *simulation) observe(h *host) {
	sim.observeRules(h)
	sim.checkLeaders(h)
	if h.state.leading == nil {
		return
	}
	if err := h.state.leading.owner.Audit(); err != nil {
		sim.fail("leader %s: %v", h.id, err)
	}
}

// observeRules records an accepted change when the first host applies it.
func (sim *simulation) observeRules(h *host) {
	f := h.state.fleet
	if f.Rules.Revision == 0 {
		return
	}
	rev := int(f.Rules.Revision)
	if rev > len(sim.observed.accepted) {
		sim.observed.accepted = append(sim.observed.accepted, acceptedRules{f.RulesHash, f.Rules, sim.now})
		sim.tracef("revision %d accepted: %s", rev, describe(f.Rules))
		if rev != len(sim.observed.accepted) {
			sim.fail("revision %d was skipped", rev-1)
			return
		}
	}
	if sim.observed.accepted[rev-1].hash != f.RulesHash {
		sim.fail("host %s has another revision %d", h.id, rev)
	}
	for _, k := range sim.ops.keys {
		if _, seen := sim.observed.withdrawn[k.hash]; !seen && f.Keys[k.name].Withdrawn {
			sim.observed.withdrawn[k.hash] = sim.now
			sim.tracef("key %s of %s withdrawn", k.name, k.team)
		}
	}
}

func describe(r *rules.Rules) string {
	s := ""
	for _, team := range teams {
		s += fmt.Sprintf("%s=%d ", team, r.Teams[team].Limit)
	}
	for _, dc := range dataCentres {
		if r.DataCentres[dc].Out {
			s += string(dc) + " out "
		}
	}
	if _, ok := r.Queues["index"]; !ok {
		s += "no index"
	}
	return s
}

// checkLeaders checks that no two hosts hold the leader lease at the same time, each by
// its own clock.
func (sim *simulation) checkLeaders(h *host) {
	if h.state.log.Status().Role != consensus.Leader || !h.state.log.HoldsLeaderLease(h.now()) {
		return
	}
	for _, o := range sim.hosts {
		if o != h && o.up && !o.frozen && o.state.log.HoldsLeaderLease(o.now()) {
			sim.fail("%s and %s both hold the leader lease", h.id, o.id)
		}
	}
}

// viewPublished checks that the rules revision of a host never decreases.
func (sim *simulation) viewPublished(h *host) {
	if h.view.Rules == nil {
		return
	}
	if h.view.Rules.Revision < h.revision {
		sim.fail("the rules of %s went from revision %d to %d", h.id, h.revision, h.view.Rules.Revision)
	}
	h.revision = h.view.Rules.Revision
}

// checkServing checks that a host that serves has each revision within changeBound of
// its acceptance.
func (sim *simulation) checkServing(h *host) {
	if !h.serving() {
		return
	}
	for rev := len(sim.observed.accepted); rev > int(h.view.Rules.Revision); rev-- {
		if a := sim.observed.accepted[rev-1]; sim.now > a.at+changeBound {
			sim.fail("%s serves with revision %d; %d was accepted %d ms ago", h.id, h.view.Rules.Revision, rev, (sim.now-a.at)/ms)
		}
	}
}

// limit returns the largest limit of a team that was in force within the last
// changeBound.
func (sim *simulation) limit(team model.TeamID) int {
	largest := 0
	for _, a := range slices.Backward(sim.observed.accepted) {
		largest = max(largest, a.rules.Teams[team].Limit)
		if sim.now > a.at+changeBound {
			break
		}
	}
	return largest
}

// outSince returns when the data centre was taken out of service, and whether it still
// is.
func (sim *simulation) outSince(dc model.DataCentreID) (instant, bool) {
	var since instant
	out := false
	for _, a := range slices.Backward(sim.observed.accepted) {
		if !a.rules.DataCentres[dc].Out {
			break
		}
		since, out = a.at, true
	}
	return since, out
}

// checkStart checks the start of a request at a target against the observations.
func (sim *simulation) checkStart(t *target, x *forwardAttempt, c *simCall) {
	sim.tracef("target %s starts %s attempt %d team %s for %s", t.reg.ID, c.id, x.f.Attempt, c.team, x.h.id)
	sim.observed.running[c.team]++
	c.starts++
	sim.observed.starts = append(sim.observed.starts, sim.now)
	if n, limit := sim.observed.running[c.team], sim.limit(c.team); n > limit {
		sim.fail("team %s runs %d with limit %d after the start of %s", c.team, n, limit, c.id)
	}
	if !c.idempotent {
		sim.observed.claimRuns[c.claimText()]++
		if sim.observed.claimRuns[c.claimText()] > 1 {
			sim.fail("non-idempotent %s (%s) runs twice", c.claimText(), c.id)
		}
	}
	if c.notRun {
		sim.fail("%s starts after it was refused as not run", c.id)
	}
	if since, out := sim.outSince(t.reg.DataCentre); out && sim.now > since+changeBound {
		sim.fail("%s starts in %s, out for %d ms", c.id, t.reg.DataCentre, (sim.now-since)/ms)
	}
	if at, gone := sim.observed.withdrawn[c.bearer]; gone && sim.now > at+changeBound {
		sim.fail("%s starts with a key withdrawn %d ms ago", c.id, (sim.now-at)/ms)
	}
}

// checkLeaving checks that a target gets no new request later than changeBound after a
// leader acknowledged its announcement that it leaves.
func (sim *simulation) checkLeaving(t *target, f effect.Forward) {
	if t.leaving && t.leavingAckedAt != 0 && f.Inc == t.reg.Incarnation && sim.now > t.leavingAckedAt+changeBound {
		sim.fail("%s reaches %s, which has been leaving for %d ms", f.Request, t.reg.ID, (sim.now-t.leavingAckedAt)/ms)
	}
}

// requestAnswered checks the answer that a caller gets.
func (sim *simulation) requestAnswered(h *host, f effect.AnswerRequest) {
	c := sim.observed.calls[f.Request]
	c.answers++
	c.answeredAt = sim.now
	c.problem = f.Problem
	sim.tracef("%s answers %s: attempt %d, %v, stored %v", h.id, f.Request, f.Attempt, f.Problem, f.Answer != nil)
	switch {
	case c.host != h || c.incarnation != h.incarnation:
		sim.fail("%s answers %s of another process", h.id, c.id)
	case c.answers > 1:
		sim.fail("%s was answered twice", c.id)
	case f.Problem != nil:
		sim.checkRefusal(c, problem.Lookup(f.Problem.Kind).Ran)
	case f.Answer != nil:
		if string(f.Answer.Body) != c.claimText() || sim.observed.claimRuns[c.claimText()] != 1 {
			sim.fail("%s got the stored answer %s", c.id, f.Answer.Body)
		}
	case !sim.observed.received[fmt.Sprintf("%s/%d", c.id, f.Attempt)]:
		sim.fail("%s was answered by attempt %d, which has no answer", c.id, f.Attempt)
	}
}

func (sim *simulation) checkRefusal(c *simCall, ran problem.Ran) {
	if ran == problem.RanNo {
		c.notRun = true
		if c.starts > 0 {
			sim.fail("%s was refused as not run (%v) after %d starts", c.id, c.problem, c.starts)
		}
	}
	if ran == problem.RanYes && sim.observed.claimRuns[c.claimText()] == 0 {
		sim.fail("%s was refused as run (%v) but never started", c.id, c.problem)
	}
}

// hostHalted checks that a graceful stop interrupts no request.
func (sim *simulation) hostHalted(h *host, f effect.Halt) {
	if f.Reason != "" {
		sim.fail("%s halts: %s", h.id, f.Reason)
	}
	for _, c := range sim.observed.order {
		if c.host == h && c.incarnation == h.incarnation && c.answers == 0 && !c.abandoned {
			sim.fail("%s stops without an answer to %s", h.id, c.id)
		}
	}
	sim.tracef("%s halts", h.id)
	h.stopped()
	h.disk.pending, h.disk.busy = nil, false
	h.restartAfter(sim.between(200*ms, 3*second))
}

// checkAfterFaults checks that, after the faults, requests are answered in time and
// those that arrive 5 s later or more are run.
func (sim *simulation) checkAfterFaults() {
	excused := []problem.Kind{problem.InProgress, problem.OutcomeUnknown, problem.KeyReused, problem.KeyRejected, problem.DeadlineExceeded}
	for _, c := range sim.observed.order {
		if c.sent < faultsEnd || c.abandoned {
			continue
		}
		took := c.answeredAt - c.sent
		if c.answers != 1 || took > 5*second {
			sim.fail("%s of %.3f s was answered %d times after %d ms", c.id, float64(c.sent)/float64(second), c.answers, took/ms)
		}
		if c.repeatsAnswered && c.sent > faultsEnd+5*second && c.problem != nil {
			sim.fail("%s, a repeated request that was answered before, was refused: %v", c.id, c.problem)
		}
		if c.sent > faultsEnd+5*second && c.problem != nil && !slices.Contains(excused, c.problem.Kind) {
			sim.fail("%s of %.3f s was refused after the faults: %v", c.id, float64(c.sent)/float64(second), c.problem)
		}
	}
}

// checkAnswered checks that every caller that is still connected got its answer.
func (sim *simulation) checkAnswered() {
	for _, c := range sim.observed.order {
		if c.answers == 0 && !c.abandoned && c.host.incarnation == c.incarnation {
			sim.fail("%s of %.3f s got no answer", c.id, float64(c.sent)/float64(second))
		}
	}
}

// checkNothingHeld checks that the hosts and the leader keep nothing of requests that
// have ended.
func (sim *simulation) checkNothingHeld() {
	leaders := 0
	for _, h := range sim.hosts {
		if n := h.state.table.Len(); n != 0 {
			sim.fail("%s still holds %d requests", h.id, n)
		}
		if h.state.leading == nil {
			continue
		}
		leaders++
		if held := h.state.fleet.HeldClaims(); len(held) != 0 {
			sim.fail("%d claims are held without a request: %v", len(held), held[0])
		}
		o := h.state.leading.owner
		var st view.Status
		o.Status(h.state.env(), &st)
		for _, team := range st.Teams {
			if n := o.RequestsRunning(team.Team); team.Requests != 0 || n != 0 {
				sim.fail("leader %s counts %d running of team %s, %d with unknown ones", h.id, team.Requests, team.Team, n)
			}
		}
		for _, t := range st.Targets {
			if t.Running != 0 {
				sim.fail("leader %s counts %d running on target %s", h.id, t.Running, t.Target)
			}
		}
	}
	if leaders != 1 {
		sim.fail("%d leaders after the faults", leaders)
	}
}

// report logs what the run did, so that a run without activity is noticed.
func (sim *simulation) report() {
	answered, refused, claims := 0, make(map[problem.Kind]int), 0
	for _, c := range sim.observed.order {
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
	sim.t.Logf("%d requests: %d answered, %d claims run, refused %v; %d revisions, %d keys withdrawn",
		len(sim.observed.order), answered, claims, refused, len(sim.observed.accepted), len(sim.observed.withdrawn))
}
