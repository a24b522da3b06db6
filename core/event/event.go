// Package event holds everything that can happen to a process, as data. The
// control goroutine gives each event to the reducer in one total order.
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

// Event is one of the types of this package.
type Event interface{ event() }

// Batch is events that were waiting together, in their order. They are handled as
// one, so that what they ask of the log shares a write and a message.
type Batch struct{ Events []Event }

// Tick arrives every 50 ms.
type Tick struct{}

// Received is a message from another process of the cluster.
type Received struct {
	From    model.HostID
	Message message.Message
}

// Persisted says that a Persist effect has been carried out and synced.
type Persisted struct {
	Term  uint64 // hard state of this term is on disk
	Index uint64 // all entries up to this index are on disk
}

// PersistFailed says that the data folder can no longer be written.
type PersistFailed struct{ Reason string }

// Request is a caller's request without its body.
type Request struct {
	ID         model.RequestID
	Team       model.TeamID
	Queue      model.QueueID
	Bearer     model.Digest // hash of the caller's key; empty on an open queue
	Idempotent bool
	Key        model.Digest // claim key of a non-idempotent request
	Body       model.Digest // digest of queue and body, with Key
	Worth      float64
	Patience   model.Duration // time in which it may start
}

// RequestArrived is a request that passed the admission checks.
type RequestArrived struct{ Request Request }

// RequestAbandoned says that the caller of a request has disconnected.
type RequestAbandoned struct{ Request model.RequestID }

// ForwardEnded is the end of an attempt that a Forward effect started.
type ForwardEnded struct {
	Request    model.RequestID
	Attempt    int
	Outcome    message.Outcome
	Untried    bool           // not started by this host's own choice: it says nothing of the target
	Status     int            // of an answered attempt
	RunTime    model.Duration // from the first byte sent
	RetryAfter model.Duration // positive if the target sent one
	Answer     *model.Answer  // for a request with a claim, if small enough to store
	TooLarge   bool           // the answer was over the limit
	TimedOut   bool           // the run time limit passed
}

// RequestsRefused counts requests that were refused before they became a
// RequestArrived.
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

// TargetReported is an announcement that a target sent to this host.
type TargetReported struct{ Report message.TargetReport }

// WorkerReported is a report that a worker sent to this host.
type WorkerReported struct{ Report message.WorkerReport }

// CommandSubmitted is a command of an operator or a task submitter. Its ID is
// set and stays the same when the command is submitted again.
type CommandSubmitted struct{ Command fleet.Command }

// StatusRequested asks for a Status effect.
type StatusRequested struct {
	Query uint64       // returned with the answer
	Task  model.TaskID // the task to describe, or empty for the whole system
	Team  model.TeamID // the team that asks for the task
	Burn  bool         // ask for the source of the burn report instead
}

// CallArrived is a call of a caller, an operator or a worker.
type CallArrived struct{ Call call.Call }

// WorkerReplied is the result of a call to a worker.
type WorkerReplied struct {
	Reply order.Reply
	Term  uint64 // of the leader that the call was made for, 0 if it is this process
}

// HostsReplied is the result of a call to the owner of the hosts.
type HostsReplied struct{ Reply order.HostReply }

// AdviceReplied is the result of a call for advice.
type AdviceReplied struct{ Reply order.AdviceReply }

// SettingsChanged names other replicas to turn to.
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
func (WorkerReplied) event()    {}
func (HostsReplied) event()     {}
func (AdviceReplied) event()    {}
func (SettingsChanged) event()  {}
func (StopRequested) event()    {}
