// Package order defines, as data, the calls to workers and to the service that owns
// the hosts, and the replies to them. An executor makes each call and passes the reply
// on as an event.
package order

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// ClockMS is a time on a worker's own clock, in milliseconds. The clock restarts with
// each process of the worker and may run up to 2% slow.
type ClockMS int64

// Call is one call to a worker. Exactly one of Start, Stop, Poll and Throttle is set.
type Call struct {
	Seq         uint64         `json:"seq"`
	Worker      model.WorkerID `json:"worker"`
	Incarnation uint64         `json:"life"`
	Address     string         `json:"address"`
	Token       uint64         `json:"token"` // fencing token: the worker rejects a call with a smaller one than it has seen
	Start       *Start         `json:"start,omitempty"`
	Stop        *Stop          `json:"stop,omitempty"`
	Poll        *Poll          `json:"hold,omitempty"`
	Throttle    *Throttle      `json:"throttle,omitempty"`
}

// Start starts a run if the worker's clock has not reached Deadline. It also extends
// the lease of all runs on the worker to Deadline at least.
type Start struct {
	jobs.RunRef
	Spec       string  `json:"spec,omitempty"`
	Checkpoint string  `json:"checkpoint,omitempty"`
	Ticket     string  `json:"ticket,omitempty"` // issued by the service that knows the queue's policy
	Deadline   ClockMS `json:"deadline"`
}

// Stop stops a run, or prevents the start of one that has not started.
type Stop struct{ jobs.RunRef }

// Poll extends the lease of all runs on the worker, and asks for its running and ended
// runs.
type Poll struct {
	Deadline     ClockMS        `json:"deadline"` // of the lease; 0 does not extend it
	RecordedUpTo uint64         `json:"seen"`     // ends up to this number are recorded, and the worker may forget them
	Wait         model.Duration `json:"wait"`     // how long the worker may wait for an end before it answers
	// AnswerTime is how long after Wait the answer may take before the call is
	// reported as NoAnswer.
	AnswerTime model.Duration `json:"answer_time"`
}

// Throttle sets the percentage at which a run works.
type Throttle struct {
	jobs.RunRef
	Percent int `json:"percent"`
}

// Status is the result of a call.
type Status string

// The statuses of a call.
const (
	Accepted       Status = "accepted"
	Fenced         Status = "fenced"      // the worker has seen a larger fencing token
	Superseded     Status = "old"         // this run or a later one has ended or was stopped on the worker
	DeadlinePassed Status = "late"        // the worker's clock had passed the deadline
	NoCapacity     Status = "no_room"     // the worker refuses for lack of capacity
	NoTicket       Status = "no_ticket"   // the ticket does not permit the run
	Invalid        Status = "invalid"     // the worker could not parse the call
	Unavailable    Status = "unavailable" // the worker is unhealthy and did not execute the call
	WrongProcess   Status = "other_life"  // another process answers at the address
	Refused        Status = "refused"     // no connection was accepted: the call was not sent
	NoAnswer       Status = "silent"      // no answer: the call may still be executed later
)

// Reply is the reply to a call to a worker.
type Reply struct {
	Call      Call      `json:"call"`
	Status    Status    `json:"status"`
	Clock     ClockMS   `json:"clock,omitempty"` // the worker's clock when it answered; 0 without an answer
	StartedAt int64     `json:"born,omitempty"`  // start time of the process that answered, in Unix milliseconds
	Detail    string    `json:"detail,omitempty"`
	Running   []Running `json:"running,omitempty"` // of a Poll
	Ended     []Ended   `json:"ended,omitempty"`   // of a Poll
	// Partial is set if there may be more runs or ends than those listed. The absence
	// of a run then proves nothing.
	Partial bool `json:"partial,omitempty"`
	// Unparsed is set if the answer has runs that could not be parsed.
	Unparsed bool `json:"unread,omitempty"`
}

// Running is one run that a worker lists.
type Running struct {
	jobs.RunRef
	Checkpoint string `json:"checkpoint,omitempty"`
	Percent    int    `json:"percent"` // progress; 100 for a long-running task that is up
	// Load is the tail latency in milliseconds for a run that serves requests, and the
	// CPU usage in thousandths of a core for any other run.
	Load int64 `json:"load"`
}

// Ended is the end of one run. The worker lists it until Poll.RecordedUpTo says that
// the end was recorded.
type Ended struct {
	Number uint64 `json:"number"` // increases within one incarnation of the worker
	jobs.RunRef
	Outcome    jobs.Outcome `json:"outcome"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	// Unparsed marks an end that could not be parsed, at its place in the list. The
	// other fields are empty. The end is not recorded, so the worker must not be told
	// to forget it or a later one.
	Unparsed bool `json:"unread,omitempty"`
}

// AdviceCall asks which of some workers may run a step.
type AdviceCall struct {
	Seq     uint64           `json:"seq"`
	Term    uint64           `json:"term"` // of the leader that asks
	Step    jobs.StepRef     `json:"step"`
	Workers []model.WorkerID `json:"workers"`
	// Patience is the timeout for the answer.
	Patience model.Duration `json:"patience"`
	// Validity is that of the tickets in the answer, from the time at which the call is
	// made.
	Validity model.Duration `json:"validity"`
}

// AdviceReply is the result of an AdviceCall.
type AdviceReply struct {
	Call    AdviceCall                `json:"call"`
	Tickets map[model.WorkerID]string `json:"tickets,omitempty"` // of the workers that may run it
	Failed  string                    `json:"failed,omitempty"`  // the reason if there is no answer
}

// HostCall is one call to the service that owns the hosts. Exactly one of List, Move
// and Maintain is set.
type HostCall struct {
	Seq      uint64       `json:"seq"`
	Holder   model.HostID `json:"holder"`
	Token    uint64       `json:"token"`
	List     *List        `json:"list,omitempty"`
	Move     *Move        `json:"move,omitempty"`
	Maintain *Maintain    `json:"maintain,omitempty"`
}

// List requests one page of the list of hosts.
type List struct {
	Page string `json:"page,omitempty"`
}

// Move moves a host to the pool of a service. All runs on the host end.
type Move struct {
	Host model.HostID    `json:"host"`
	Pool model.ServiceID `json:"pool"`
}

// Maintain starts the maintenance of a host. All runs on the host end.
type Maintain struct {
	Host model.HostID `json:"host"`
	Wave uint64       `json:"wave"`
}

// HostStatus is the result of a HostCall.
type HostStatus string

// The statuses of a HostCall.
const (
	HostAccepted    HostStatus = "accepted"
	HostFenced      HostStatus = "fenced"
	HostBusy        HostStatus = "busy"    // the host is not up, or is leaving
	HostNotDue      HostStatus = "not_due" // the host is not to be maintained in that wave
	HostUnknown     HostStatus = "unknown" // no such host, or a pool that takes other hosts
	HostRateLimited HostStatus = "limited" // rate limit exceeded
	HostNoAnswer    HostStatus = "silent"  // no answer: the call may have been executed
)

// HostState is the state of a host as the service that owns it reports it.
type HostState string

// The states of a host.
const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "maintenance"
	HostDown        HostState = "down"
)

// Host is one entry of the list of hosts.
type Host struct {
	ID         model.HostID       `json:"id"`
	Pool       model.ServiceID    `json:"pool"`
	State      HostState          `json:"state"`
	DataCentre model.DataCentreID `json:"dc"`
	Labels     []string           `json:"labels,omitempty"`
	Capacity   model.Resources    `json:"capacity"`
	Worker     model.WorkerID     `json:"worker,omitempty"`
	// Incomplete is set if the entry lacks a field that entries of hosts have.
	Incomplete bool `json:"incomplete,omitempty"`
}

// HostReply is the result of a HostCall.
type HostReply struct {
	Call   HostCall   `json:"call"`
	Status HostStatus `json:"status"`
	Hosts  []Host     `json:"hosts,omitempty"`
	Next   string     `json:"next,omitempty"` // after a List: the next page, empty after the last one
	// Partial is set if hosts on the page could not be parsed. The absence of a host
	// then proves nothing.
	Partial bool   `json:"partial,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
