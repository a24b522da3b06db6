// Package event defines the events of a process, as data. The control goroutine
// passes all events to the reducer in one total order.
package event

import (
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/problem"
)

// Input is one event with the time and the random number that the reducer may
// use. A recorded sequence of Inputs replays to the same effects.
type Input struct {
	At    model.Time
	Rand  uint64
	Event Event
}

// Event is implemented by the event types of this package.
type Event interface{ event() }

// Batch holds events that were waiting at the same time, in order. They are handled
// together, so that their log entries share one write and one message.
type Batch struct{ Events []Event }

// Tick arrives every 50 ms.
type Tick struct{}

// Received is a message from another process of the cluster.
type Received struct {
	From    model.HostID
	Message message.Message
}

// Persisted reports that a Persist effect has been written and synced.
type Persisted struct {
	Term  uint64 // hard state of this term is on disk
	Index uint64 // all entries up to this index are on disk
}

// PersistFailed reports that the data folder can no longer be written.
type PersistFailed struct{ Reason string }

// Request is a caller's request without its body.
type Request struct {
	ID         model.RequestID
	Team       model.TeamID
	Queue      model.QueueID
	Bearer     model.Digest // hash of the caller's key; empty on an open queue
	Idempotent bool
	Key        model.Digest // claim key of a non-idempotent request
	Body       model.Digest // digest of queue and body; set if Key is
	Worth      float64
	Patience   model.Duration // time within which it may start
}

// RequestArrived is a request that passed the admission checks.
type RequestArrived struct{ Request Request }

// RequestAbandoned reports that the caller of a request has disconnected.
type RequestAbandoned struct{ Request model.RequestID }

// ForwardEnded reports the end of an attempt that a Forward effect started.
type ForwardEnded struct {
	Request    model.RequestID
	Attempt    int
	Outcome    message.Outcome
	Untried    bool           // this host decided not to start it, so it says nothing about the target
	Status     int            // of an answered attempt
	RunTime    model.Duration // from the first byte sent
	RetryAfter model.Duration // positive if the target sent one
	Answer     *model.Answer  // for a request with a claim, if small enough to store
	TooLarge   bool           // the answer exceeded the size limit
	TimedOut   bool           // the attempt exceeded the run time limit
}

// RequestsRefused counts requests that were refused before a RequestArrived event
// was created for them.
type RequestsRefused struct{ Refusals []Refusal }

// Refusal counts refused requests of one team, queue and kind, or refused tasks
// of one team, pool and kind.
type Refusal struct {
	Team  model.TeamID
	Queue model.QueueID // of requests
	Pool  model.PoolID  // of tasks
	Kind  problem.Kind
	Count uint64
}

// TargetReported is a report that a target sent to this host.
type TargetReported struct{ Report message.TargetReport }

// WorkerReported is a report that a worker sent to this host.
type WorkerReported struct{ Report message.WorkerReport }

// CommandSubmitted is a command of an operator or a task submitter. Its ID is set
// and stays the same when the command is resent.
type CommandSubmitted struct{ Command fleet.Command }

// StatusRequested requests an effect.AnswerStatus.
type StatusRequested struct {
	Query uint64       // returned in the answer
	Task  model.TaskID // the task to describe, or empty for the whole system
	Team  model.TeamID // the team that requests the task
	Burn  bool         // requests the source of the burn report instead
}

// CallArrived is a call from a caller, an operator or a worker.
type CallArrived struct{ Call call.Call }

// CallAbandoned reports that the caller of a call has disconnected.
type CallAbandoned struct {
	Seq   uint64
	Class Class // of the call, so that this event follows its arrival
}

// WorkerReplied is the result of a call to a worker.
type WorkerReplied struct {
	Reply order.Reply
	Term  uint64 // of the leader for which the call was made, 0 if that is this process
}

// HostsReplied is the result of a call to the service that owns the hosts.
type HostsReplied struct{ Reply order.HostReply }

// AdviceReplied is the result of a call to the service that knows a queue's policy.
type AdviceReplied struct{ Reply order.AdviceReply }

// SettingsChanged provides a new list of replicas to contact.
type SettingsChanged struct{ Seeds []model.HostID }

// StopRequested begins the graceful stop of this process.
type StopRequested struct{}

func (Batch) event()            {}
func (Tick) event()             {}
func (Received) event()         {}
func (Persisted) event()        {}
func (PersistFailed) event()    {}
func (RequestArrived) event()   {}
func (RequestAbandoned) event() {}
func (ForwardEnded) event()     {}
func (RequestsRefused) event()  {}
func (TargetReported) event()   {}
func (WorkerReported) event()   {}
func (CommandSubmitted) event() {}
func (StatusRequested) event()  {}
func (CallArrived) event()      {}
func (CallAbandoned) event()    {}
func (WorkerReplied) event()    {}
func (HostsReplied) event()     {}
func (AdviceReplied) event()    {}
func (SettingsChanged) event()  {}
func (StopRequested) event()    {}
