package announce

import (
	"net/netip"
	"time"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/reply"
)

// TargetAnnouncement is the JSON body of PUT /platform/v1/targets/{id}.
type TargetAnnouncement struct {
	Address     string              `json:"address"` // IP:port
	Service     model.ServiceID     `json:"service"`
	DataCentre  model.DataCentreID  `json:"data_centre"`
	Host        model.HostID        `json:"host"`
	Slots       int                 `json:"slots"`
	Connections int                 `json:"connections"`
	Incarnation model.Incarnation   `json:"incarnation"`
	Sequence    uint64              `json:"sequence"`       // counted from 1
	Acked       uint64              `json:"acked"`          // largest sequence whose reply had arrived when Running was recorded
	Term        uint64              `json:"term,omitempty"` // largest term of the replies that had arrived by then; the target refuses requests with smaller terms
	State       message.TargetState `json:"state"`
	Running     []RunningRequest    `json:"running"`
}

// RunningRequest is one request that a target is running.
type RunningRequest struct {
	Request model.RequestID `json:"request"`
	Team    model.TeamID    `json:"team"`
}

// WorkerAnnouncement is the JSON body of PUT /platform/v1/workers/{id}.
type WorkerAnnouncement struct {
	Incarnation model.Incarnation  `json:"incarnation"`
	DataCentre  model.DataCentreID `json:"data_centre"`
	Rack        model.RackID       `json:"rack"`
	Capacity    model.Resources    `json:"capacity"`
	Image       string             `json:"image"`
	Sequence    uint64             `json:"sequence"` // counted from 1
	Runs        []TaskRun          `json:"runs"`
}

// TaskRun is one task on a worker.
type TaskRun struct {
	Task  model.TaskID         `json:"task"`
	Epoch uint64               `json:"epoch"`
	Phase message.TaskRunPhase `json:"phase"`
	Usage model.Resources      `json:"usage"`
	RanMS int64                `json:"ran_ms"` // milliseconds
	Note  string               `json:"note,omitempty"`
	// Throttled is true once an order to throttle has been carried out.
	Throttled bool `json:"throttled,omitempty"`
}

// Reply answers an announcement.
type Reply struct {
	Acked  uint64  `json:"acked"`          // the sequence of the announcement
	Term   uint64  `json:"term,omitempty"` // the owner's term: a target refuses requests with smaller terms, and announces a new term immediately
	Orders []Order `json:"orders,omitempty"`
	Reboot bool    `json:"reboot,omitempty"` // the worker is drained: reboot it into Image
	Image  string  `json:"image,omitempty"`
}

// Order is one order to a worker. The lease starts at the time when the worker sent
// the announcement that the order answers.
type Order struct {
	Kind     message.OrderKind `json:"kind"`
	Task     model.TaskID      `json:"task"`
	Epoch    uint64            `json:"epoch"`
	Command  string            `json:"command,omitempty"`
	Size     model.Resources   `json:"size"`
	MaxRunMS int64             `json:"max_run_ms,omitempty"` // milliseconds
	LeaseMS  int64             `json:"lease_ms,omitempty"`   // milliseconds
	Resume   bool              `json:"resume,omitempty"`     // of a run order: start from the last checkpoint, or not at all
	Keep     bool              `json:"keep,omitempty"`       // of a checkpoint order: continue the run if progress cannot be saved
}

// The limits of announcements.
const (
	maxSlots       = 4096
	maxConnections = 65536
	maxRuns        = 4096
	maxNote        = 1024 // bytes
	maxImage       = 200  // bytes
)

// report checks a and returns it as a message.
func (a TargetAnnouncement) report(id model.TargetID) (message.TargetReport, *problem.Problem) {
	if p := a.check(id); p != nil {
		return message.TargetReport{}, p
	}
	running := make([]message.RunningRequest, 0, len(a.Running))
	for _, r := range a.Running {
		running = append(running, message.RunningRequest{Request: r.Request, Team: r.Team})
	}
	return message.TargetReport{
		Target: fleet.Target{
			ID:          id,
			Incarnation: a.Incarnation,
			Address:     a.Address,
			Service:     a.Service,
			Host:        a.Host,
			DataCentre:  a.DataCentre,
			Slots:       a.Slots,
			Connections: a.Connections,
		},
		Seq:     a.Sequence,
		Acked:   a.Acked,
		Term:    a.Term,
		State:   a.State,
		Running: running,
	}, nil
}

func (a TargetAnnouncement) check(id model.TargetID) *problem.Problem {
	err := firstProblem(
		checkIdentifier("id", string(id)),
		checkIdentifier("service", string(a.Service)),
		checkIdentifier("data_centre", string(a.DataCentre)),
		checkIdentifier("host", string(a.Host)),
		checkIdentifier("incarnation", string(a.Incarnation)),
		checkAddress(a.Address),
		checkRange("slots", a.Slots, 1, maxSlots),
		checkRange("connections", a.Connections, a.Slots, maxConnections),
		checkSequence(a.Sequence, a.Acked),
	)
	if err != nil {
		return err
	}
	if a.State != message.TargetReady && a.State != message.TargetLeaving {
		return invalid("state is %q, allowed is ready or leaving", string(a.State))
	}
	// A target cannot list more requests than it accepts connections.
	if len(a.Running) > a.Connections {
		return invalid("running has %d entries, at most %d are allowed", len(a.Running), a.Connections)
	}
	for _, r := range a.Running {
		if p := firstProblem(checkIdentifier("running.request", string(r.Request)), checkIdentifier("running.team", string(r.Team))); p != nil {
			return p
		}
	}
	return nil
}

// report checks a and returns it as a message.
func (a WorkerAnnouncement) report(id model.HostID) (message.WorkerReport, *problem.Problem) {
	if p := a.check(id); p != nil {
		return message.WorkerReport{}, p
	}
	runs := make([]message.TaskRun, 0, len(a.Runs))
	for _, r := range a.Runs {
		runs = append(runs, message.TaskRun{
			Task:      r.Task,
			Epoch:     r.Epoch,
			Phase:     r.Phase,
			Usage:     r.Usage,
			Ran:       model.Duration(r.RanMS) * model.Millisecond,
			Note:      r.Note,
			Throttled: r.Throttled,
		})
	}
	return message.WorkerReport{
		Worker:     id,
		Inc:        a.Incarnation,
		DataCentre: a.DataCentre,
		Rack:       a.Rack,
		Capacity:   a.Capacity,
		Image:      a.Image,
		Seq:        a.Sequence,
		Runs:       runs,
	}, nil
}

func (a WorkerAnnouncement) check(id model.HostID) *problem.Problem {
	err := firstProblem(
		checkIdentifier("id", string(id)),
		checkIdentifier("incarnation", string(a.Incarnation)),
		checkIdentifier("data_centre", string(a.DataCentre)),
		checkIdentifier("rack", string(a.Rack)),
		checkResources("capacity", a.Capacity),
		checkRange("image length", len(a.Image), 0, maxImage),
		checkSequence(a.Sequence, 0),
		checkRange("runs", len(a.Runs), 0, maxRuns),
	)
	if err != nil {
		return err
	}
	for _, r := range a.Runs {
		if p := r.check(); p != nil {
			return p
		}
	}
	return nil
}

func (r TaskRun) check() *problem.Problem {
	switch r.Phase {
	case message.RunRunning, message.RunFinished, message.RunFailed, message.RunStopped, message.RunSaved:
	default:
		return invalid("runs.phase is %q, allowed is running, finished, failed, stopped or saved", string(r.Phase))
	}
	if r.RanMS < 0 || r.RanMS > maxRanMS {
		return invalid("runs.ran_ms is %d, allowed is 0 to %d", r.RanMS, int64(maxRanMS))
	}
	return firstProblem(
		checkIdentifier("runs.task", string(r.Task)),
		checkResources("runs.usage", r.Usage),
		checkRange("runs.note length", len(r.Note), 0, maxNote),
	)
}

// maxRanMS bounds a reported run time to a year, so that its conversion cannot
// overflow.
const maxRanMS = 365 * 24 * 3600 * 1000

func invalid(format string, args ...any) *problem.Problem {
	return problem.New(problem.AnnouncementInvalid, format, args...)
}

func firstProblem(problems ...*problem.Problem) *problem.Problem {
	for _, p := range problems {
		if p != nil {
			return p
		}
	}
	return nil
}

func checkIdentifier(field, value string) *problem.Problem {
	if reply.IsIdentifier(value) {
		return nil
	}
	return invalid("%s is %q, 1 to 200 printable ASCII characters without spaces are expected", field, value)
}

// checkAddress accepts only IP:port, because a name would be resolved by every gateway
// separately.
func checkAddress(value string) *problem.Problem {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().Zone() != "" {
		return invalid("address is %q, an IP address and port are expected", value)
	}
	return nil
}

func checkRange(field string, value, low, high int) *problem.Problem {
	if value < low || value > high {
		return invalid("%s is %d, allowed is %d to %d", field, value, low, high)
	}
	return nil
}

func checkSequence(seq, acked uint64) *problem.Problem {
	if seq == 0 {
		return invalid("sequence is 0, it must be at least 1")
	}
	if acked >= seq {
		return invalid("acked is %d, it must be below sequence %d", acked, seq)
	}
	return nil
}

func checkResources(field string, r model.Resources) *problem.Problem {
	if !r.Valid() {
		return invalid("%s: each amount is allowed to be 0 to %d", field, int64(model.MaxAmount))
	}
	return nil
}

// newReply returns the wire form of the answer to an announcement.
func newReply(acked uint64, r message.ReportReply) Reply {
	orders := make([]Order, 0, len(r.Orders))
	for _, o := range r.Orders {
		orders = append(orders, Order{
			Kind:     o.Kind,
			Task:     o.Task,
			Epoch:    o.Epoch,
			Command:  o.Command,
			Size:     o.Size,
			MaxRunMS: milliseconds(o.MaxRun),
			LeaseMS:  milliseconds(o.Lease),
			Resume:   o.Resume,
			Keep:     o.Keep,
		})
	}
	return Reply{Acked: acked, Term: r.Term, Orders: orders, Reboot: r.Reboot, Image: r.Image}
}

func milliseconds(d model.Duration) int64 { return time.Duration(d).Milliseconds() }
