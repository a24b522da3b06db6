// Package order holds the calls that the system makes to workers and to the
// owner of the hosts, and their replies, as data. An executor carries a call out
// and reports its reply as an event.
package order

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// ClockMS is a time on a worker's own clock in milliseconds. The clock begins
// anew with each life of the worker and may be 2% slow.
type ClockMS int64

// Call is one call to a worker. Exactly one of Start, Stop, Hold and Throttle is set.
type Call struct {
	Seq      uint64         `json:"seq"`
	Worker   model.WorkerID `json:"worker"`
	Life     uint64         `json:"life"`
	Address  string         `json:"address"`
	Token    uint64         `json:"token"` // the worker ignores a call with a smaller one than it has seen
	Start    *Start         `json:"start,omitempty"`
	Stop     *Stop          `json:"stop,omitempty"`
	Hold     *Hold          `json:"hold,omitempty"`
	Throttle *Throttle      `json:"throttle,omitempty"`
}

// Start starts a run if the worker's clock has not reached Deadline, and lets
// all that runs there go on until Deadline at least.
type Start struct {
	jobs.RunRef
	Spec       string  `json:"spec,omitempty"`
	Checkpoint string  `json:"checkpoint,omitempty"`
	Ticket     string  `json:"ticket,omitempty"` // of the service that knows the queue's policy
	Deadline   ClockMS `json:"deadline"`
}

// Stop stops a run, or voids one that has not begun.
type Stop struct{ jobs.RunRef }

// Hold extends the lease of all that runs on the worker and asks what runs there
// and what has ended.
type Hold struct {
	Deadline ClockMS        `json:"deadline"` // 0 extends nothing
	Seen     uint64         `json:"seen"`     // ends up to this number are recorded
	Wait     model.Duration `json:"wait"`     // longest wait for an end
	// AnswerTime is how long after Wait the answer may take until the call is
	// reported as Silent.
	AnswerTime model.Duration `json:"answer_time"`
}

// Throttle sets the share at which a run works.
type Throttle struct {
	jobs.RunRef
	Percent int `json:"percent"`
}

// Status is the result of a call.
type Status string

// The statuses of a call.
const (
	Accepted    Status = "accepted"
	Fenced      Status = "fenced"      // the worker has seen a larger token
	Old         Status = "old"         // this run or a later one has ended or was stopped there
	Late        Status = "late"        // the deadline had passed
	NoRoom      Status = "no_room"     // the worker guards its capacity
	NoTicket    Status = "no_ticket"   // the ticket does not allow it
	Invalid     Status = "invalid"     // the worker cannot read the call
	Unavailable Status = "unavailable" // the worker is not healthy and has done nothing
	OtherLife   Status = "other_life"  // another process answers at the address
	Refused     Status = "refused"     // the connection was refused
	Silent      Status = "silent"      // no answer: it may be executed later
)

// Reply is the result of a call to a worker.
type Reply struct {
	Call    Call      `json:"call"`
	Status  Status    `json:"status"`
	Clock   ClockMS   `json:"clock,omitempty"` // of the worker when it answered; 0 without an answer
	Born    int64     `json:"born,omitempty"`  // of the process that answered, Unix milliseconds
	Detail  string    `json:"detail,omitempty"`
	Running []Running `json:"running,omitempty"` // of a Hold
	Ended   []Ended   `json:"ended,omitempty"`   // of a Hold
	// Partial is set if there may be more runs or ends than those listed. Nothing
	// follows from the absence of a run then.
	Partial bool `json:"partial,omitempty"`
	// Unread is set if there are runs that could not be read.
	Unread bool `json:"unread,omitempty"`
}

// Running is one run that a worker lists.
type Running struct {
	jobs.RunRef
	Checkpoint string `json:"checkpoint,omitempty"`
	Percent    int    `json:"percent"` // of its work that is done; 100 for a long-running task that is up
	// Load is the tail of its response times in milliseconds for a run that
	// serves, and the thousandths of a core in use for any other.
	Load int64 `json:"load"`
}

// Ended is one end that a worker lists until it is told that it was recorded.
type Ended struct {
	Number uint64 `json:"number"` // grows within a life
	jobs.RunRef
	Outcome    jobs.Outcome `json:"outcome"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	// Unread stands for an end that could not be read, in the place where it was
	// listed. The other fields are empty. It is not recorded, so neither it nor a
	// later one may be forgotten.
	Unread bool `json:"unread,omitempty"`
}

// AdviceCall asks which of some workers may run a step.
type AdviceCall struct {
	Seq     uint64           `json:"seq"`
	Step    jobs.StepRef     `json:"step"`
	Workers []model.WorkerID `json:"workers"`
	// Patience is how long the answer may take.
	Patience model.Duration `json:"patience"`
}

// AdviceReply is the result of an AdviceCall.
type AdviceReply struct {
	Call    AdviceCall                `json:"call"`
	Tickets map[model.WorkerID]string `json:"tickets,omitempty"` // of the workers that may run it
	Failed  string                    `json:"failed,omitempty"`  // why there is no answer
}

// HostCall is one call to the owner of the hosts. Exactly one of List, Move and
// Maintain is set.
type HostCall struct {
	Seq      uint64       `json:"seq"`
	Holder   model.HostID `json:"holder"`
	Token    uint64       `json:"token"`
	List     *List        `json:"list,omitempty"`
	Move     *Move        `json:"move,omitempty"`
	Maintain *Maintain    `json:"maintain,omitempty"`
}

// List asks for one page of the hosts.
type List struct {
	Page string `json:"page,omitempty"`
}

// Move moves a host to the pool of a service. All that runs on it ends.
type Move struct {
	Host model.HostID    `json:"host"`
	Pool model.ServiceID `json:"pool"`
}

// Maintain begins the maintenance of a host. All that runs on it ends.
type Maintain struct {
	Host model.HostID `json:"host"`
	Wave uint64       `json:"wave"`
}

// HostStatus is the result of a HostCall.
type HostStatus string

// The statuses of a HostCall.
const (
	HostAccepted HostStatus = "accepted"
	HostFenced   HostStatus = "fenced"
	HostBusy     HostStatus = "busy"    // not up, or leaving
	HostNotDue   HostStatus = "not_due" // not of that wave
	HostUnknown  HostStatus = "unknown" // no such host, or a pool of other hosts
	HostLimited  HostStatus = "limited" // too many calls
	HostSilent   HostStatus = "silent"  // no answer: it may have been carried out
)

// HostState is the state of a host as its owner sees it.
type HostState string

// The states of a host.
const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "maintenance"
	HostDown        HostState = "down"
)

// Host is one host of the list.
type Host struct {
	ID         model.HostID       `json:"id"`
	Pool       model.ServiceID    `json:"pool"`
	State      HostState          `json:"state"`
	DataCentre model.DataCentreID `json:"dc"`
	Labels     []string           `json:"labels,omitempty"`
	Capacity   model.Resources    `json:"capacity"`
	Worker     model.WorkerID     `json:"worker,omitempty"`
}

// HostReply is the result of a HostCall.
type HostReply struct {
	Call   HostCall   `json:"call"`
	Status HostStatus `json:"status"`
	Hosts  []Host     `json:"hosts,omitempty"`
	Next   string     `json:"next,omitempty"` // of a List: the next page, empty at the end
	// Partial is set if there are hosts on the page that could not be read. Nothing
	// follows from the absence of a host then.
	Partial bool   `json:"partial,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
