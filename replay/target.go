package replay

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Delays until a gateway notices that a target has failed.
const (
	resetDelay        = model.Millisecond
	connectionTimeout = 2 * model.Second // TCP user timeout
)

// target is a simulated target.
type target struct {
	e            *engine
	reg          fleet.Target
	state        TargetState
	incarnation  int
	slowdown     float64
	fault        Fault
	retryAfter   model.Duration
	seq          uint64
	acked        uint64
	leavingSince model.Time // when it started to report that it is leaving
	running      map[model.RequestID]*run
}

// run is one run on a target.
type run struct {
	request   *request
	attempt   int
	target    *target
	startedAt model.Time
	endedAt   model.Time // zero while it runs
	succeeded bool       // its complete response was returned
}

// changeTarget starts or changes a target.
func (e *engine) changeTarget(c *Target) error {
	t := e.targets[c.ID]
	if t == nil {
		if c.Service == "" || c.Slots < 1 {
			return errors.Errorf("the first event of target %s has no service or no slots", c.ID)
		}
		t = &target{e: e, state: TargetCrashed, running: make(map[model.RequestID]*run), reg: fleet.Target{
			ID: c.ID, Address: fmt.Sprintf("127.1.0.1:%d", 1024+len(e.targetOrder)), Service: c.Service,
			Host: c.Host, DataCentre: c.DataCentre, Slots: c.Slots, Connections: c.Connections,
		}}
		e.targets[c.ID] = t
		e.targetOrder = append(e.targetOrder, t)
	}
	t.slowdown = c.Slowdown
	if t.slowdown == 0 {
		t.slowdown = 1
	}
	t.fault, t.retryAfter = c.Fault, c.RetryAfter.Duration()
	up := t.state == TargetReady || t.state == TargetLeaving
	switch {
	case c.State == TargetReady && !up:
		t.start()
	case c.State == TargetLeaving && t.state == TargetReady:
		t.state, t.leavingSince = TargetLeaving, e.now
	case c.State == TargetCrashed || c.State == TargetLost:
		t.stop(c.State)
	}
	return nil
}

// start starts a new incarnation of the target.
func (t *target) start() {
	t.incarnation++
	t.state, t.seq, t.acked = TargetReady, 0, 0
	t.reg.Incarnation = model.Incarnation(fmt.Sprintf("%s/%d", t.reg.ID, t.incarnation))
	t.sendReport(t.incarnation)
}

// stop ends all runs of the target because its process ends or its network
// connection is lost.
func (t *target) stop(state TargetState) {
	t.state = state
	noticed := resetDelay
	if state == TargetLost {
		noticed = connectionTimeout
	}
	for _, id := range t.runningIDs() {
		r := t.running[id]
		delete(t.running, id)
		t.e.recordRunEnd(r, false)
		t.e.forwardEnded(noticed, r, event.ForwardEnded{Outcome: message.OutcomeUnknown})
	}
}

func (t *target) runningIDs() []model.RequestID {
	ids := make([]model.RequestID, 0, len(t.running))
	for id := range t.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sendReport posts a report of the target and schedules the next one, for as long as
// the incarnation lasts.
func (t *target) sendReport(incarnation int) {
	if t.incarnation != incarnation || t.state == TargetCrashed || t.state == TargetLost {
		return
	}
	if t.state == TargetLeaving && len(t.running) == 0 && t.e.now > t.leavingSince.Add(5*reportInterval) {
		t.state = TargetCrashed // it has reported for 5 intervals that it is leaving, and nothing runs
		return
	}
	t.seq++
	seq := t.seq
	report := message.TargetReport{Target: t.reg, Seq: seq, Acked: t.acked, State: message.TargetReady}
	if t.state == TargetLeaving {
		report.State = message.TargetLeaving
	}
	for _, id := range t.runningIDs() {
		report.Running = append(report.Running, message.RunningRequest{Request: id, Team: t.running[id].request.Team})
	}
	report.Report = t.e.registerReport(func(effect.AnswerReport) {
		if t.incarnation == incarnation {
			t.acked = max(t.acked, seq)
		}
	})
	t.e.post(event.TargetReported{Report: report})
	t.e.after(reportInterval, func() { t.sendReport(incarnation) })
}

// forward executes a Forward effect.
func (e *engine) forward(f effect.Forward) {
	r := e.obs.requests[f.Request]
	t := e.targets[f.Target]
	r.forwards++
	run := &run{request: r, attempt: f.Attempt, target: t}
	notStarted := event.ForwardEnded{Outcome: message.OutcomeNotStarted}
	switch t.state {
	case TargetCrashed:
		e.forwardEnded(resetDelay, run, notStarted)
	case TargetLost:
		e.forwardEnded(f.StartBy.Sub(e.now), run, notStarted)
	default:
		e.after(networkDelay, func() { t.receive(f, run) })
	}
}

// receive starts a request on the target or ends the attempt without a run.
func (t *target) receive(f effect.Forward, r *run) {
	ended := event.ForwardEnded{Outcome: message.OutcomeNotStarted}
	switch {
	case t.fault == FaultRefuse:
		ended.RetryAfter = t.retryAfter
	case t.fault == FaultBusy:
		ended = event.ForwardEnded{Outcome: message.OutcomeAnswered, Status: http.StatusServiceUnavailable, RetryAfter: t.retryAfter}
	case t.e.now > f.StartBy || f.Inc != t.reg.Incarnation || t.state != TargetReady:
	case len(t.running) >= t.reg.Slots:
		t.e.obs.overcommits++
	default:
		t.startRun(f, r)
		return
	}
	t.e.forwardEnded(networkDelay, r, ended)
}

func (t *target) startRun(f effect.Forward, r *run) {
	t.running[f.Request] = r
	t.e.recordStart(r)
	need := model.Duration(float64(r.request.Run.Duration()) * t.slowdown)
	ended := event.ForwardEnded{Outcome: message.OutcomeAnswered, Status: http.StatusOK, RunTime: need}
	switch {
	case t.fault == FaultDrop:
		need /= 2
		ended = event.ForwardEnded{Outcome: message.OutcomeUnknown}
	case t.e.now.Add(need) > f.Deadline:
		need = f.Deadline.Sub(t.e.now)
		ended = event.ForwardEnded{Outcome: message.OutcomeUnknown, TimedOut: true}
	}
	t.e.after(need, func() {
		if t.running[f.Request] != r {
			return // the run ended when its target stopped
		}
		delete(t.running, f.Request)
		t.e.recordRunEnd(r, ended.Outcome == message.OutcomeAnswered)
		t.e.forwardEnded(networkDelay, r, ended)
	})
}

// forwardEnded posts the end of an attempt to the reducer after a delay.
func (e *engine) forwardEnded(d model.Duration, r *run, ended event.ForwardEnded) {
	ended.Request, ended.Attempt = r.request.ID, r.attempt
	if ended.Outcome == message.OutcomeAnswered {
		r.request.status = ended.Status
		if !r.request.Idempotent {
			ended.Answer = &model.Answer{Status: ended.Status}
		}
	}
	e.after(d, func() { e.post(ended) })
}
