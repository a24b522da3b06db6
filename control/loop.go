// Package control runs the control goroutine: the one goroutine of a process that owns
// the control state. It takes events from bounded queues and a ticker, passes them to
// the reducer, and passes the effects to an executor. Traffic goroutines read the
// published view and post events; they share no lock with the control goroutine.
package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/view"
)

// queueCapacity is the number of events of a class that may wait for the control
// goroutine.
const queueCapacity = 2048

// admissionThreshold is the number of waiting events of a class at which new work is
// refused. The rest of the queue is reserved for the outcomes of accepted work.
const admissionThreshold = queueCapacity * 3 / 4

// maxBatch bounds the events that share one pass through the reducer, so that a tick
// is not delayed for long.
const maxBatch = 64

// reservedPerClass is the number of events of a batch that is reserved for each class,
// however many events of the classes before it wait.
const reservedPerClass = 8

// Executor carries out effects. Its methods are called on the control
// goroutine and must not block.
type Executor interface {
	Execute(e effect.Effect)
}

// checkpointInterval is the number of inputs between two checkpoints in a journal.
// With 100,000 claims, a checkpoint takes some milliseconds.
const checkpointInterval = 4096

// Recorder keeps a journal of the inputs. Its methods are called on the
// control goroutine and must not block.
type Recorder interface {
	Record(in event.Input, effects []effect.Effect)
	// Checkpoint records the state after the last input.
	Checkpoint(state core.Inspection)
}

// Loop is the control goroutine of a process.
type Loop struct {
	queues          [event.Classes]chan queuedEvent
	view            atomic.Pointer[view.View]
	bootTimeAtStart time.Duration // sinceBoot() when the process started
	startTime       model.Time
	state           *core.State
	executor        Executor
	recorder        Recorder
	recordedInputs  int
	halted          chan struct{}
	onQueueFull     func()      // called for each event that is refused because a queue is full
	halt            effect.Halt // valid once halted is closed
}

// queuedEvent is an event that waits in a queue.
type queuedEvent struct {
	event    event.Event
	postedAt time.Time
}

var (
	// waitSeconds has one histogram for each class of events.
	waitSeconds  = waitHistograms()
	eventSeconds = metrics.NewHistogram("primrosedale_control_event_seconds")
	eventsTotal  = metrics.NewCounter("primrosedale_control_events_total")
	refusedTotal = metrics.NewCounter("primrosedale_control_events_refused_total")
)

func waitHistograms() (list [event.Classes]*metrics.Histogram) {
	for c := range list {
		list[c] = metrics.NewHistogram(`primrosedale_control_wait_seconds{class="` + event.Class(c).String() + `"}`)
	}
	return list
}

// New returns a Loop. Start must be called before events are handled; events
// may be posted earlier.
func New() *Loop { return newLoop(time.Now) }

func newLoop(timeOfDay func() time.Time) *Loop {
	l := &Loop{
		bootTimeAtStart: sinceBoot(),
		halted:          make(chan struct{}),
		onQueueFull:     func() {},
	}
	for c := range l.queues {
		l.queues[c] = make(chan queuedEvent, queueCapacity)
	}
	l.startTime = model.Time(timeOfDay().UnixNano())
	l.view.Store(&view.View{})
	return l
}

// Start gives the Loop its state, executor and optional recorder.
func (l *Loop) Start(s *core.State, x Executor, r Recorder) {
	l.state, l.executor, l.recorder = s, x, r
}

// OnQueueFull sets the function that is called, on any goroutine, for each event that
// is refused because the queue is full. It must be called before events are posted.
func (l *Loop) OnQueueFull(f func()) { l.onQueueFull = f }

// Now reads the process clock: the wall clock at start plus the time since, so
// that it never runs backwards.
func (l *Loop) Now() model.Time {
	return l.startTime.Add(model.Duration(sinceBoot() - l.bootTimeAtStart))
}

// sinceBoot returns the time since the machine was booted. Unlike the monotonic clock,
// it includes the time in which the machine was suspended, so that leases expire while
// it is suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // a fallback: every Linux kernel in use has CLOCK_BOOTTIME
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

// Rand returns a random number.
func (l *Loop) Rand() uint64 { return rand.Uint64() }

// View returns the last published view, never nil.
func (l *Loop) View() *view.View { return l.view.Load() }

// Halted is closed when the reducer has halted the process.
func (l *Loop) Halted() <-chan struct{} { return l.halted }

// HaltReason returns why the process halted, empty after a graceful stop. It may be
// called once Halted is closed.
func (l *Loop) HaltReason() string { return l.halt.Reason }

// Retired reports whether the process halted because the identity of its data folder
// has left the voter set. It may be called once Halted is closed.
func (l *Loop) Retired() bool { return l.halt.Retired }

// Post queues new work without blocking. It reports false if the queue is too full to
// accept more.
func (l *Loop) Post(e event.Event) bool {
	queue := l.queues[event.ClassOf(e)]
	if len(queue) < admissionThreshold {
		select {
		case queue <- queuedEvent{e, time.Now()}:
			return true
		default:
		}
	}
	refusedTotal.Inc()
	l.onQueueFull()
	return false
}

// PostWait queues an event and waits while the queue is full. It reports false if ctx
// or the process ended first. The control goroutine must not call it.
func (l *Loop) PostWait(ctx context.Context, e event.Event) bool {
	select {
	case l.queues[event.ClassOf(e)] <- queuedEvent{e, time.Now()}:
		return true
	case <-ctx.Done():
		return false
	case <-l.halted:
		return false
	}
}

// Run handles events until the process halts or t is dying.
func (l *Loop) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(time.Duration(core.TickInterval))
	defer ticker.Stop()
	for {
		// Ticks and the end of the process are handled even if the queues never become
		// empty.
		select {
		case <-ticker.C:
			l.handle(event.Tick{})
		case <-l.halted:
			return nil
		case <-t.Dying():
			return nil
		default:
		}
		if events := l.takeBatch(); len(events) > 0 {
			l.handleBatch(events)
			continue
		}
		select {
		case w := <-l.queues[event.ClassControl]:
			l.handleBatch(l.takeBatch(w))
		case w := <-l.queues[event.ClassWork]:
			l.handleBatch(l.takeBatch(w))
		case w := <-l.queues[event.ClassIntake]:
			l.handleBatch(l.takeBatch(w))
		case <-ticker.C:
			l.handle(event.Tick{})
		case <-l.halted:
			return nil
		case <-t.Dying():
			return nil
		}
	}
}

func (l *Loop) handleBatch(events []event.Event) {
	if len(events) == 1 {
		l.handle(events[0])
		return
	}
	l.handle(event.Batch{Events: events})
}

// takeBatch returns the events that were taken already, followed by waiting events in
// the order of their classes. When the process is short of CPU time, more events share
// one pass through the reducer.
func (l *Loop) takeBatch(taken ...queuedEvent) []event.Event {
	var events []event.Event
	for _, w := range taken {
		l.observeWait(w)
		events = append(events, w.event)
	}
	for c := range l.queues {
		limit := maxBatch - reservedPerClass*(len(l.queues)-1-c)
		for n := min(len(l.queues[c]), limit-len(events)); n > 0; n-- {
			w := <-l.queues[c]
			l.observeWait(w)
			events = append(events, w.event)
		}
	}
	return events
}

func (l *Loop) observeWait(w queuedEvent) {
	waitSeconds[event.ClassOf(w.event)].UpdateDuration(w.postedAt)
}

func (l *Loop) handle(e event.Event) {
	began := time.Now()
	in := event.Input{At: l.Now(), Rand: l.Rand(), Event: e}
	effects := core.Reduce(l.state, in)
	if l.recorder != nil {
		l.record(in, effects)
	}
	for _, f := range effects {
		l.execute(f)
	}
	eventsTotal.Inc()
	eventSeconds.UpdateDuration(began)
}

// record passes an input to the recorder, and the state after every checkpointInterval
// inputs and at the end.
func (l *Loop) record(in event.Input, effects []effect.Effect) {
	l.recorder.Record(in, effects)
	l.recordedInputs++
	halts := slices.ContainsFunc(effects, func(e effect.Effect) bool {
		_, ok := e.(effect.Halt)
		return ok
	})
	if halts || l.recordedInputs%checkpointInterval == 0 {
		l.recorder.Checkpoint(l.state.Inspect())
	}
}

func (l *Loop) execute(f effect.Effect) {
	switch f := f.(type) {
	case effect.Publish:
		l.view.Store(f.View)
	case effect.Halt:
		l.halt = f
		close(l.halted)
	default:
		l.executor.Execute(f)
	}
}
