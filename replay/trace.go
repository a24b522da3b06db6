// Package replay feeds a trace of external events to the reducer on a virtual clock
// and measures the results.
//
// A trace holds only what happens outside the system: arrivals with their true run
// times, changes of targets and workers, and changes by operators. The reducer is one
// core.State, a single durable voter whose Persist effects complete immediately.
// Simulated targets and workers respond to its effects. The simulation has no network
// and no second process, so elections and partitioned hosts are out of scope; tests of
// the reducer and of real processes cover them.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
)

// Version is the version of the trace schema. Read rejects any other.
const Version = 1

// maxLine bounds one line of a trace, in bytes.
const maxLine = 4 << 20

// Trace is a whole trace in memory. Events are in the order of their times.
type Trace struct {
	Header Header
	Events []Event
}

// Header is the first line of a trace.
type Header struct {
	Version int    `json:"trace"`
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`   // of the random numbers of the replay
	Length  Millis `json:"length"` // of the period with arrivals
	Rules   string `json:"rules"`  // text of the rules file at the start
}

// Millis is a time since the start of the trace, or a duration, in
// milliseconds.
type Millis float64

// Duration returns m as a Duration.
func (m Millis) Duration() model.Duration {
	return model.Duration(float64(m) * float64(model.Millisecond))
}

// Event is one line after the header. Exactly one of its pointers is set.
type Event struct {
	At         Millis       `json:"at"`
	Arrive     *Arrive      `json:"arrive,omitempty"`
	Abandon    *Abandon     `json:"abandon,omitempty"`
	Target     *Target      `json:"target,omitempty"`
	Worker     *Worker      `json:"worker,omitempty"`
	Task       *Task        `json:"task,omitempty"`
	CancelTask *Abandon     `json:"cancel_task,omitempty"`
	Centre     *Centre      `json:"centre,omitempty"`
	Operators  *RulesChange `json:"operators,omitempty"`
}

// Arrive is a request of a caller.
type Arrive struct {
	ID         model.RequestID `json:"id"`
	Team       model.TeamID    `json:"team"`
	Queue      model.QueueID   `json:"queue"`
	Run        Millis          `json:"run"` // true run time on a target that is not slowed down
	Patience   Millis          `json:"patience"`
	Worth      float64         `json:"worth"`
	Idempotent bool            `json:"idempotent,omitempty"`
	Key        string          `json:"key,omitempty"` // idempotency key; by default the request ID
}

// Abandon identifies a request whose caller disconnects, or a task that is cancelled.
type Abandon struct {
	ID string `json:"id"`
}

// TargetState is the state of a target from an event on.
type TargetState string

// The target states.
const (
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving" // finishes its running requests, then stops
	TargetCrashed TargetState = "crashed" // its process ends: connections are reset
	TargetLost    TargetState = "lost"    // unreachable: connections time out
)

// Fault is the way in which a target fails its requests.
type Fault string

// The faults.
const (
	FaultNone   Fault = ""
	FaultRefuse Fault = "refuse" // refuses the request immediately without running it
	FaultBusy   Fault = "busy"   // responds with status 503 immediately
	FaultDrop   Fault = "drop"   // closes the connection half way through the run
)

// Target is a change of a target. The first event of a target sets all fields; later
// events set only the ID and the fields after Connections.
type Target struct {
	ID          model.TargetID     `json:"id"`
	Service     model.ServiceID    `json:"service,omitempty"`
	DataCentre  model.DataCentreID `json:"dc,omitempty"`
	Host        model.HostID       `json:"host,omitempty"`
	Slots       int                `json:"slots,omitempty"`
	Connections int                `json:"connections,omitempty"`
	State       TargetState        `json:"state"`
	Slowdown    float64            `json:"slow,omitempty"` // factor by which run times increase; 0 means 1
	Fault       Fault              `json:"fault,omitempty"`
	RetryAfter  Millis             `json:"retry_after,omitempty"` // sent with FaultRefuse and FaultBusy
}

// Worker is a change of a worker.
type Worker struct {
	ID            model.HostID       `json:"id"`
	DataCentre    model.DataCentreID `json:"dc,omitempty"`
	Rack          model.RackID       `json:"rack,omitempty"`
	Capacity      model.Resources    `json:"capacity"`
	Image         string             `json:"image,omitempty"`
	Lost          bool               `json:"lost,omitempty"`
	Fails         bool               `json:"fails,omitempty"`  // it fails every task
	BreakingImage string             `json:"breaks,omitempty"` // image with which it does not come back from a reboot
}

// Task is a task with the size and run time that its submitter declares, and the true
// ones.
type Task struct {
	ID           model.TaskID    `json:"id"`
	Team         model.TeamID    `json:"team"`
	Pool         model.PoolID    `json:"pool"`
	Program      string          `json:"program"`
	DeclaredSize model.Resources `json:"declared_size"`
	DeclaredRun  Millis          `json:"declared_run"`
	Size         model.Resources `json:"size"`
	Run          Millis          `json:"run"`
	MaxRun       Millis          `json:"max_run"`
	Precedence   int             `json:"precedence,omitempty"`
	Idempotent   bool            `json:"idempotent,omitempty"`
	NeverRuns    bool            `json:"never_runs,omitempty"` // fails on every worker
}

// Centre is the loss or return of all targets and workers in a data centre.
type Centre struct {
	ID   model.DataCentreID `json:"id"`
	Lost bool               `json:"lost"`
}

// RulesChange is a change of the rules by operators: they take a data centre out of
// service, bring it back, or apply a whole rules file.
type RulesChange struct {
	Centre model.DataCentreID `json:"centre,omitempty"`
	Out    bool               `json:"out,omitempty"`
	Rules  string             `json:"rules,omitempty"`
}

// IsTrace reports whether head is the start of a trace.
func IsTrace(head []byte) bool { return bytes.HasPrefix(head, []byte(`{"trace":`)) }

// Read reads a trace. It rejects unknown fields and events that are out of order.
func Read(in io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	t := &Trace{}
	for n := 1; lines.Scan(); n++ {
		if err := t.readLine(n, lines.Bytes()); err != nil {
			return nil, errors.Annotatef(err, "line %d", n)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Annotate(err, "reading the trace")
	}
	if t.Header.Version != Version {
		return nil, errors.New("the trace has no header")
	}
	return t, nil
}

func (t *Trace) readLine(n int, line []byte) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if n == 1 {
		if err := dec.Decode(&t.Header); err != nil {
			return errors.Trace(err)
		}
		if t.Header.Version != Version {
			return errors.NotSupportedf("trace version %d", t.Header.Version)
		}
		return nil
	}
	var e Event
	if err := dec.Decode(&e); err != nil {
		return errors.Trace(err)
	}
	if len(t.Events) > 0 && e.At < t.Events[len(t.Events)-1].At {
		return errors.Errorf("the event at %g ms follows a later event at %g ms", e.At, t.Events[len(t.Events)-1].At)
	}
	t.Events = append(t.Events, e)
	return nil
}

// Write writes the trace as JSON lines.
func (t *Trace) Write(out io.Writer) error {
	w := bufio.NewWriter(out)
	enc := json.NewEncoder(w)
	if err := enc.Encode(t.Header); err != nil {
		return errors.Trace(err)
	}
	for i := range t.Events {
		if err := enc.Encode(&t.Events[i]); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(w.Flush())
}
