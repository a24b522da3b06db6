package dispatch

import (
	"slices"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
)

// remoteLoadPenalty is added to the load, as a fraction of the slots, of a target in
// another data centre than the gateway's. It stands for the additional 1.5 ms that a
// request between data centres takes.
const remoteLoadPenalty = 0.125

// reportsKept is the number of reports of a target whose times of receipt are kept.
// From them the earliest sampling time of a later report is found.
const reportsKept = 8

// targetLoad is the sort key of a usable target among those of its service in one
// data centre.
type targetLoad struct {
	used     float64 // fraction of the slots
	lastUsed uint64  // sequence number of the last dispatch
	id       model.TargetID
}

func (a targetLoad) before(b targetLoad) bool {
	if a.used != b.used {
		return a.used < b.used
	}
	if a.lastUsed != b.lastUsed {
		return a.lastUsed < b.lastUsed
	}
	return a.id < b.id
}

// replacement is another incarnation that reports under the id of a registered
// target.
type replacement struct {
	inc        model.Incarnation
	reportSeqs []uint64 // latest reports, all of which were answered
}

type receipt struct {
	seq uint64
	at  model.Time
}

// target is the state of one registered target.
type target struct {
	reg          fleet.Target
	service      *service
	state        message.TargetState
	seq          uint64
	lastReport   model.Time // zero before the first report to this owner
	receipts     []receipt
	runs         map[runID]*run
	replacement  replacement
	lastUsed     uint64
	failures     int        // consecutive failed attempts
	pausedUntil  model.Time // no request is dispatched before this time
	slotsCounted bool       // its slots are included in service.slots
	reportedIdle bool       // its last report listed no running request

	// verified is set once a report has shown all that an earlier owner may have
	// left running (see verifies), or once everything that an earlier owner started
	// has passed its deadline. Until then all slots count as running.
	verified bool
}

func (o *Owner) addTarget(env Env, reg fleet.Target) *target {
	t := &target{reg: reg, service: o.service(reg.Service), runs: make(map[runID]*run), verified: true}
	t.service.targetCount++
	o.targets[reg.ID] = t
	o.setRemovalTimer(env, t)
	return t
}

// silent reports whether no report has been received from the target for
// SilenceTimeout.
func (t *target) silent(now model.Time) bool {
	return t.lastReport == 0 || now >= t.lastReport.Add(SilenceTimeout)
}

// available reports whether the target may take new work, apart from free slots and
// pauses.
func (o *Owner) available(env Env, t *target) bool {
	if t.state != message.TargetReady || t.silent(env.Now) || o.rules.DataCentres[t.reg.DataCentre].Out {
		return false
	}
	host, known := env.Fleet.Hosts[t.reg.Host]
	return !known || host.Phase == fleet.HostServing
}

// usable reports whether a request that holds a slot of the target may be sent to it.
func (o *Owner) usable(env Env, t *target) bool {
	return o.available(env, t) && env.Now >= t.pausedUntil
}

// updateUsable adds the target to, or removes it from, the service's usable targets
// and slots, according to its present state.
func (o *Owner) updateUsable(env Env, t *target) {
	s := t.service
	available := o.targets[t.reg.ID] == t && o.available(env, t)
	if available != t.slotsCounted {
		t.slotsCounted = available
		if available {
			s.slots += t.reg.Slots
		} else {
			s.slots -= t.reg.Slots
		}
	}
	centre := s.usable[t.reg.DataCentre]
	if !available || env.Now < t.pausedUntil || len(t.runs) >= t.reg.Slots {
		if centre != nil {
			centre.Remove(t.reg.ID)
		}
		return
	}
	if centre == nil {
		centre = pq.New[model.TargetID, targetLoad, *target](targetLoad.before)
		s.usable[t.reg.DataCentre] = centre
		s.dataCentres = append(s.dataCentres, t.reg.DataCentre)
		slices.Sort(s.dataCentres)
	}
	centre.Set(t.reg.ID, targetLoad{float64(len(t.runs)) / float64(t.reg.Slots), t.lastUsed, t.reg.ID}, t)
}

// pickTarget returns the least loaded usable target with a free slot, with a
// preference for the data centre of the gateway, or nil if there is none.
func (o *Owner) pickTarget(s *service, local model.DataCentreID) *target {
	var best *target
	var bestLoad targetLoad
	for _, dc := range s.dataCentres {
		_, l, t, ok := s.usable[dc].Peek()
		if !ok {
			continue
		}
		if dc != local {
			l.used += remoteLoadPenalty
		}
		if best == nil || l.before(bestLoad) {
			best, bestLoad = t, l
		}
	}
	return best
}

// Report handles a target's report and returns the reply.
func (o *Owner) Report(env Env, out *Output, m *message.TargetReport) message.ReportReply {
	reply := message.ReportReply{Report: m.Report, Term: o.term}
	t := o.targets[m.Target.ID]
	if t != nil && t.reg.Incarnation == m.Target.Incarnation && m.Seq <= t.seq {
		return reply // a duplicate or out-of-order report
	}
	if t == nil || t.reg != m.Target {
		if m.State == message.TargetReady && t.acceptsRegistration(m) {
			out.Proposals = append(out.Proposals, fleet.Command{RegisterTarget: &fleet.RegisterTarget{Target: m.Target}})
		}
		return reply
	}
	o.recordReport(env, out, t, m)
	sampled := t.sampledAfter(m.Acked)
	o.reconcile(env, t, m, sampled)
	if !t.verified && o.verifies(m, sampled) {
		o.markVerified(env, t)
	}
	o.updateUsable(env, t)
	if m.State == message.TargetLeaving && len(t.runs) == 0 && t.reportedIdle && t.verified {
		out.Proposals = append(out.Proposals, fleet.Command{RemoveTarget: &fleet.RemoveTarget{
			ID: t.reg.ID, Incarnation: t.reg.Incarnation,
		}})
	}
	o.dispatchAll(env, out)
	return reply
}

// markVerified stops counting the slots of a target as running for every team.
func (o *Owner) markVerified(env Env, t *target) {
	t.verified = true
	o.timers.Remove(timerID{kind: timerInheritedRuns, target: t.reg.ID})
	o.addUnverifiedSlots(env, -t.reg.Slots)
}

// verifies reports whether the report lists everything that an earlier owner can
// have left running on the target. A target that knows the term of this owner refuses
// requests of an earlier term that are still in flight. The report of any other target
// counts only if it was sampled after bytes that were sent under an earlier lease could
// no longer arrive.
func (o *Owner) verifies(m *message.TargetReport, sampled model.Time) bool {
	if m.Term == o.term {
		return true
	}
	return o.fenced && sampled >= o.fencedAt.Add(FlightTime+ClockMargin)
}

// acceptsRegistration reports whether the target may be registered as m describes it.
// Another incarnation must show that it is live by acknowledging a reply of this
// owner. Otherwise a delayed report of an earlier incarnation would make the owner stop
// counting the requests that the present one runs.
func (t *target) acceptsRegistration(m *message.TargetReport) bool {
	if t == nil || t.reg.Incarnation == m.Target.Incarnation {
		return true
	}
	if t.replacement.inc != m.Target.Incarnation {
		t.replacement = replacement{inc: m.Target.Incarnation}
	}
	acknowledged := slices.Contains(t.replacement.reportSeqs, m.Acked)
	t.replacement.reportSeqs = append(t.replacement.reportSeqs, m.Seq)
	if len(t.replacement.reportSeqs) > reportsKept {
		t.replacement.reportSeqs = t.replacement.reportSeqs[1:]
	}
	return acknowledged
}

func (o *Owner) recordReport(env Env, out *Output, t *target, m *message.TargetReport) {
	if m.State == message.TargetLeaving && t.state == message.TargetReady {
		out.log(effect.Log{Code: effect.TargetLeaving, Target: t.reg.ID})
	}
	o.logTargetReturn(env, out, t)
	t.state = m.State
	t.seq = m.Seq
	t.lastReport = env.Now
	t.reportedIdle = len(m.Running) == 0
	t.receipts = append(t.receipts, receipt{m.Seq, env.Now})
	if len(t.receipts) > reportsKept {
		t.receipts = t.receipts[1:]
	}
	o.timers.Set(timerID{kind: timerSilent, target: t.reg.ID}, timer{at: env.Now.Add(SilenceTimeout)}, struct{}{})
	o.setRemovalTimer(env, t)
}

// sampledAfter returns a time after which a report was sampled: the receipt of the
// report with the sequence number acked, whose reply the target had received before
// sampling. It is zero if that receipt is not known. The receipt of a report with a
// larger sequence number cannot be used instead: an earlier owner may have answered
// acked before this owner received a delayed report with a smaller number.
func (t *target) sampledAfter(acked uint64) model.Time {
	for _, r := range slices.Backward(t.receipts) {
		if r.seq == acked {
			return r.at
		}
	}
	return 0
}

// reconcile compares the running requests that the target lists with the runs counted
// on it: it counts those that are new and ends those whose end the report shows.
func (o *Owner) reconcile(env Env, t *target, m *message.TargetReport, sampled model.Time) {
	listed := make(map[model.RequestID]bool, len(m.Running))
	for _, running := range m.Running {
		listed[running.Request] = true
		o.countListed(env, t, running, sampled)
	}
	for _, r := range t.sortedRuns() {
		if !listed[r.id.request] && r.absenceShowsEnd(sampled) {
			o.endRun(env, r)
		}
	}
}

// countListed counts a listed request that is not counted yet, unless the request has
// ended and the report may have been sampled before that.
func (o *Owner) countListed(env Env, t *target, running message.RunningRequest, sampled model.Time) {
	for id := range t.runs {
		if id.request == running.Request {
			return
		}
	}
	if at, ok := o.ended[running.Request]; ok && sampled < at {
		return
	}
	id := runID{running.Request, 0}
	if o.runs[id] != nil {
		return
	}
	r := o.startRun(env, id, running.Team, t, env.Now.Add(t.service.maxRun))
	o.detachRun(env, r, env.Now)
}

func (t *target) sortedRuns() []*run {
	list := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		if a.id.request != b.id.request {
			if a.id.request < b.id.request {
				return -1
			}
			return 1
		}
		return a.id.attempt - b.id.attempt
	})
	return list
}

// maxRunOf returns the largest MaxRun of the queues of a service.
func (o *Owner) maxRunOf(id model.ServiceID) model.Duration {
	longest := model.Duration(0)
	for _, q := range o.rules.Queues {
		if q.Service == id {
			longest = max(longest, q.MaxRun)
		}
	}
	return longest
}

// targetRegistered handles a committed registration. If it is for a new incarnation
// of a known target, the runs of the earlier incarnation have ended.
func (o *Owner) targetRegistered(env Env, out *Output, reg fleet.Target) {
	if t := o.targets[reg.ID]; t != nil {
		if t.reg == reg {
			return
		}
		if t.reg.Incarnation == reg.Incarnation {
			o.changeTarget(env, out, t, reg)
			return
		}
		o.dropTarget(env, t, true)
	}
	o.addTarget(env, reg)
	out.log(effect.Log{Code: effect.TargetRegistered, Target: reg.ID})
}

// changeTarget handles a changed registration of the same incarnation, whose runs
// continue.
func (o *Owner) changeTarget(env Env, out *Output, from *target, reg fleet.Target) {
	verified := from.verified
	o.dropTarget(env, from, false)
	to := o.addTarget(env, reg)
	if !verified {
		to.verified = false
		o.addUnverifiedSlots(env, reg.Slots)
		o.setInheritedRunsTimer(to)
	}
	to.state, to.seq, to.lastReport, to.receipts = from.state, from.seq, from.lastReport, from.receipts
	to.lastUsed, to.failures, to.pausedUntil, to.reportedIdle = from.lastUsed, from.failures, from.pausedUntil, from.reportedIdle
	to.runs = from.runs
	for _, r := range to.runs {
		r.target = to
	}
	o.timers.Set(timerID{kind: timerSilent, target: reg.ID}, timer{at: to.lastReport.Add(SilenceTimeout)}, struct{}{})
	o.timers.Set(timerID{kind: timerPause, target: reg.ID}, timer{at: max(env.Now, to.pausedUntil)}, struct{}{})
	o.updateUsable(env, to)
	o.dispatchAll(env, out)
}

func (o *Owner) dropTarget(env Env, t *target, endRuns bool) {
	if !t.verified {
		o.markVerified(env, t)
	}
	if endRuns {
		for _, r := range t.sortedRuns() {
			o.endRun(env, r)
		}
	}
	t.service.targetCount--
	delete(o.targets, t.reg.ID)
	o.updateUsable(env, t)
	o.timers.Remove(timerID{kind: timerSilent, target: t.reg.ID})
	o.timers.Remove(timerID{kind: timerRemoval, target: t.reg.ID})
	o.timers.Remove(timerID{kind: timerPause, target: t.reg.ID})
}

func (o *Owner) targetRemoved(env Env, out *Output, c *fleet.RemoveTarget) {
	t := o.targets[c.ID]
	if t == nil || t.reg.Incarnation != c.Incarnation {
		return
	}
	o.dropTarget(env, t, true)
	o.dispatchAll(env, out)
	out.log(effect.Log{Code: effect.TargetRemoved, Target: c.ID})
}

func (o *Owner) setRemovalTimer(env Env, t *target) {
	at := env.Now.Add(t.service.maxRun + SilenceTimeout + RemovalMargin)
	o.timers.Set(timerID{kind: timerRemoval, target: t.reg.ID}, timer{at: at}, struct{}{})
}
