package replay

import (
	"fmt"
	"math/rand/v2"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/dispatch"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/maintenance"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/pq"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/recording"
)

// Time constants of a replay.
const (
	// warmUp is the time before the trace starts. It covers the election, the
	// rules and the first reports of targets and workers.
	warmUp = 4 * model.Second
	// drainTimeout bounds the time after the trace in which pending requests
	// must be answered.
	drainTimeout = 10 * model.Minute
	// networkDelay is the one-way delay of a message between gateway and target.
	networkDelay = model.Millisecond
	// reportInterval is the time between two reports of a target or worker.
	reportInterval = 500 * model.Millisecond
	sampleInterval = 100 * model.Millisecond
	epoch          = model.Time(1_800_000_000 * model.Second)
)

const (
	entryHost          model.HostID       = "entry-1"
	entryCentre        model.DataCentreID = "entry"
	rulesCommandFormat                    = "rules-%d"
)

// Options are the parameters of a replay that are not part of the trace.
type Options struct {
	Policy     dispatch.PolicyName
	HostPolicy maintenance.PolicyName
	Record     string // path of a journal to record the inputs in; empty for none
}

// checkpointEvery is the number of inputs between two state records in a journal.
const checkpointEvery = 4096

// timerKey orders the timers by time, and those of the same time by the order in
// which they were set.
type timerKey struct {
	at  model.Time
	seq uint64
}

func (a timerKey) before(b timerKey) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

// engine runs one trace as a discrete-event simulation.
type engine struct {
	trace         *Trace
	state         *core.State
	rand          *rand.Rand
	now           model.Time
	traceStart    model.Time
	timers        *pq.Queue[uint64, timerKey, func()]
	timerSeq      uint64
	pendingEvents []event.Event // not yet passed to the reducer
	replyHandlers map[uint64]func(effect.AnswerReport)
	lastReportID  uint64
	targets       map[model.TargetID]*target
	targetOrder   []*target // in the order of their first events
	workers       map[model.HostID]*worker
	rules         *rules.Rules // last applied
	rulesSeq      int
	obs           *observations
	haltReason    string
	journal       *recording.Writer // nil unless the inputs are recorded
	journalErr    error
}

// Run replays a trace and returns its measures.
func Run(t *Trace, o Options) (*Result, error) {
	e, err := newEngine(t, o)
	if err != nil {
		return nil, err
	}
	if err := e.applyRulesText(t.Header.Rules); err != nil {
		return nil, err
	}
	for i := range t.Events {
		ev := &t.Events[i]
		e.advance(e.traceStart.Add(ev.At.Duration()))
		if err := e.applyEvent(ev); err != nil {
			return nil, errors.Annotatef(err, "event at %g ms", ev.At)
		}
		e.drain()
	}
	e.finish()
	if err := e.closeJournal(); err != nil {
		return nil, err
	}
	if e.haltReason != "" {
		return nil, errors.Errorf("the process halted: %s", e.haltReason)
	}
	return measure(e), nil
}

func newEngine(t *Trace, o Options) (*engine, error) {
	e := &engine{
		trace:         t,
		rand:          rand.New(rand.NewPCG(t.Header.Seed, 1)),
		now:           epoch,
		traceStart:    epoch.Add(warmUp),
		timers:        pq.New[uint64, timerKey, func()](timerKey.before),
		replyHandlers: make(map[uint64]func(effect.AnswerReport)),
		targets:       make(map[model.TargetID]*target),
		workers:       make(map[model.HostID]*worker),
		rules:         &rules.Rules{},
		obs:           newObservations(),
	}
	id := consensus.NodeID{Host: entryHost, Incarnation: "1"}
	cfg := core.Config{
		Host: entryHost, DataCentre: entryCentre, Incarnation: "1", Replica: "1",
		Durable: true, MaxVoters: 1, Policy: o.Policy, HostPolicy: o.HostPolicy,
	}
	stored := consensus.Bootstrap[fleet.Command, *fleet.State]([]consensus.NodeID{id})
	seed := e.rand.Uint64()
	state, err := core.New(cfg, stored, e.now, seed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	e.state = state
	if o.Record != "" {
		if e.journal, err = recording.Create(o.Record, cfg, stored, e.now, seed); err != nil {
			return nil, err
		}
	}
	e.every(core.TickInterval, func() { e.post(event.Tick{}) })
	e.every(sampleInterval, e.recordSample)
	e.every(hostSampleInterval, e.sampleHosts)
	e.every(hostSampleInterval, e.sampleTasks)
	e.advance(epoch.Add(warmUp / 2)) // past the election
	return e, nil
}

// at schedules f at t, or now if t has passed.
func (e *engine) at(t model.Time, f func()) {
	e.timerSeq++
	e.timers.Set(e.timerSeq, timerKey{max(t, e.now), e.timerSeq}, f)
}

func (e *engine) after(d model.Duration, f func()) { e.at(e.now.Add(d), f) }

// every calls f periodically, first after one interval.
func (e *engine) every(d model.Duration, f func()) {
	e.after(d, func() {
		f()
		e.every(d, f)
	})
}

// advance runs the timers that are due up to t and sets the clock to t.
func (e *engine) advance(t model.Time) {
	for {
		_, key, f, ok := e.timers.Peek()
		if !ok || key.at > t {
			break
		}
		e.timers.Pop()
		e.now = key.at
		f()
		e.drain()
	}
	e.now = max(e.now, t)
}

// post appends an event to the queue of the reducer.
func (e *engine) post(ev event.Event) { e.pendingEvents = append(e.pendingEvents, ev) }

// drain passes the queued events to the reducer and executes its effects.
func (e *engine) drain() {
	for len(e.pendingEvents) > 0 {
		ev := e.pendingEvents[0]
		e.pendingEvents = e.pendingEvents[1:]
		in := event.Input{At: e.now, Rand: e.rand.Uint64(), Event: ev}
		effects := core.Reduce(e.state, in)
		e.obs.inputs++
		e.record(in, effects)
		for _, f := range effects {
			e.execute(f)
		}
	}
}

// record writes an input to the journal. It keeps the first error, which
// closeJournal returns at the end of the replay.
func (e *engine) record(in event.Input, effects []effect.Effect) {
	if e.journal == nil || e.journalErr != nil {
		return
	}
	e.journalErr = e.journal.Record(in, effects)
	if e.journalErr == nil && e.obs.inputs%checkpointEvery == 0 {
		e.journalErr = e.journal.Checkpoint(e.state.Inspect())
	}
}

func (e *engine) closeJournal() error {
	if e.journal == nil {
		return nil
	}
	if e.journalErr == nil {
		e.journalErr = e.journal.Checkpoint(e.state.Inspect())
	}
	if err := e.journal.Close(); e.journalErr == nil {
		e.journalErr = err
	}
	return errors.Annotate(e.journalErr, "recording the replay")
}

func (e *engine) execute(f effect.Effect) {
	switch f := f.(type) {
	case effect.Persist:
		if f.Term != 0 {
			e.post(event.Persisted{Term: f.Term, Index: f.Index})
		}
	case effect.Forward:
		e.forward(f)
	case effect.AnswerRequest:
		e.recordAnswer(f)
	case effect.AnswerReport:
		if handle := e.replyHandlers[f.Reply.Report]; handle != nil {
			delete(e.replyHandlers, f.Reply.Report)
			handle(f)
		}
	case effect.AnswerCommand:
		e.recordCommandAnswer(f)
	case effect.Halt:
		e.haltReason = f.Reason
	}
}

// registerReport returns the ID of a new report. The reply to it is passed to handle.
func (e *engine) registerReport(handle func(effect.AnswerReport)) uint64 {
	e.lastReportID++
	e.replyHandlers[e.lastReportID] = handle
	return e.lastReportID
}

// finish runs the replay to the end of the trace, and then until every request
// is answered or drainTimeout has passed.
func (e *engine) finish() {
	e.advance(e.traceStart.Add(e.trace.Header.Length.Duration()))
	end := e.now.Add(drainTimeout)
	for e.now < end && e.obs.unanswered > 0 {
		e.advance(e.now.Add(model.Second))
	}
}

// applyEvent applies one event of the trace.
func (e *engine) applyEvent(ev *Event) error {
	switch {
	case ev.Arrive != nil:
		return e.arrive(ev.Arrive)
	case ev.Abandon != nil:
		e.abandon(model.RequestID(ev.Abandon.ID))
	case ev.Target != nil:
		return e.changeTarget(ev.Target)
	case ev.Worker != nil:
		e.changeWorker(ev.Worker)
	case ev.Task != nil:
		e.submitTask(ev.Task)
	case ev.CancelTask != nil:
		e.cancelTask(model.TaskID(ev.CancelTask.ID))
	case ev.Centre != nil:
		e.changeCentre(ev.Centre)
	case ev.Operators != nil:
		return e.changeRules(ev.Operators)
	default:
		return errors.New("the event has no content")
	}
	return nil
}

// changeCentre disconnects all targets and workers of a data centre, or brings
// them back.
func (e *engine) changeCentre(c *Centre) {
	e.obs.centreChanges = append(e.obs.centreChanges, centreChange{e.now, c.ID, c.Lost})
	for _, t := range e.targetOrder {
		if t.reg.DataCentre != c.ID {
			continue
		}
		if c.Lost {
			t.stop(TargetLost)
		} else if t.state == TargetLost {
			t.start()
		}
	}
	for _, id := range model.SortedKeys(e.workers) {
		if w := e.workers[id]; w.DataCentre == c.ID {
			w.setLost(c.Lost)
		}
	}
}

func (e *engine) command(c fleet.Command, format string, args ...any) {
	c.ID = model.CommandID(fmt.Sprintf(format, args...))
	c.At = e.now
	e.post(event.CommandSubmitted{Command: c})
}
