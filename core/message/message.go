// Package message defines the messages between the processes of the system as typed
// values. Packages codec and transport encode them.
package message

import (
	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/problem"
)

// Log is a message of the replicated log.
type Log = consensus.Message[fleet.Command, *fleet.State]

// Message is one message. Exactly one pointer is set. The host of the sender is
// known from the connection and is not part of the message.
type Message struct {
	Log          *Log          `json:"log,omitempty"`
	Renew        *Renew        `json:"renew,omitempty"`
	Grant        *Grant        `json:"grant,omitempty"`
	Ask          *Ask          `json:"ask,omitempty"`
	Dispatch     *Dispatch     `json:"dispatch,omitempty"`
	Refuse       *Refuse       `json:"refuse,omitempty"`
	Done         *Done         `json:"done,omitempty"`
	Settled      *Settled      `json:"settled,omitempty"`
	Withdraw     *Withdraw     `json:"withdraw,omitempty"`
	TargetReport *TargetReport `json:"target_report,omitempty"`
	WorkerReport *WorkerReport `json:"worker_report,omitempty"`
	ReportReply  *ReportReply  `json:"report_reply,omitempty"`
	Command      *Command      `json:"command,omitempty"`

	Call         *call.Call         `json:"call,omitempty"`
	CallAnswer   *call.Answer       `json:"call_answer,omitempty"`
	Redirect     *call.Redirect     `json:"redirect,omitempty"`
	Contact      *call.Contact      `json:"contact,omitempty"`
	ContactReply *call.ContactReply `json:"contact_reply,omitempty"`

	WorkerCalls   *WorkerCalls   `json:"worker_calls,omitempty"`
	WorkerReplies *WorkerReplies `json:"worker_replies,omitempty"`
}

// WorkerCalls requests that a replica makes calls to workers for the leader.
type WorkerCalls struct {
	Term uint64 `json:"term"`
	// Reported is the time, by the receiver's clock, of the receiver's latest report
	// that the sender has handled.
	Reported model.Time   `json:"reported"`
	Calls    []order.Call `json:"calls"`
}

// WorkerReplies holds the results of calls made for the leader of a term. In the call
// of each reply, only the sequence number is set.
type WorkerReplies struct {
	Term    uint64        `json:"term"`
	Replies []order.Reply `json:"replies,omitempty"`
	Report  *AgentReport  `json:"report,omitempty"`
}

// AgentReport is the state of a replica that makes calls for the leader.
type AgentReport struct {
	At         model.Time         `json:"at"` // by its own clock
	DataCentre model.DataCentreID `json:"dc,omitempty"`
	Open       []uint64           `json:"open,omitempty"` // sequence numbers of the unanswered calls, sorted
	Leaving    bool               `json:"leaving,omitempty"`
}

// Renew asks the leader for a serving lease.
type Renew struct {
	Term        uint64             `json:"term"` // the sender ignores grants and dispatches of smaller terms
	Seq         uint64             `json:"seq"`
	Incarnation model.Incarnation  `json:"inc"`
	DataCentre  model.DataCentreID `json:"dc"`
	Applied     uint64             `json:"applied"` // last log index applied
	Leaving     bool               `json:"leaving,omitempty"`
	// Forwarded lists every request that the sender has forwarded and for which it has
	// no Settled yet. It is complete in each Renew of a sender until the first
	// Grant of the term; afterwards it is omitted.
	Forwarded []Forwarded `json:"forwarded,omitempty"`
	Full      bool        `json:"full,omitempty"` // Forwarded is complete
	// Burn holds all counts of ended requests that are not recorded yet, or is empty.
	Burn []burn.Batch `json:"burn,omitempty"`
}

// Forwarded is a request that may be running on a target.
type Forwarded struct {
	Request  model.RequestID   `json:"request"`
	Attempt  int               `json:"attempt"`
	Team     model.TeamID      `json:"team"`
	Queue    model.QueueID     `json:"queue"`
	Target   model.TargetID    `json:"target"`
	Inc      model.Incarnation `json:"inc"`      // of the target
	Deadline model.Duration    `json:"deadline"` // remaining time until the target must have stopped
}

// Grant is the leader's answer to a Renew. The lease runs for Duration from the time
// at which the holder sent the Renew with this Seq.
type Grant struct {
	Term     uint64         `json:"term"`
	Seq      uint64         `json:"seq"`
	Duration model.Duration `json:"duration"`
}

// Ask enqueues a request with the owner of its queue. It is resent until answered;
// the owner recognises a duplicate by the request id.
type Ask struct {
	Request    model.RequestID   `json:"request"`
	Inc        model.Incarnation `json:"inc"` // of the gateway
	Team       model.TeamID      `json:"team"`
	Queue      model.QueueID     `json:"queue"`
	Idempotent bool              `json:"idempotent"`
	Key        model.Digest      `json:"key,omitempty"`  // claim key of a non-idempotent request
	Body       model.Digest      `json:"body,omitempty"` // of queue and body; set if Key is
	Worth      float64           `json:"worth"`
	Patience   model.Duration    `json:"patience"` // remaining time in which it may start
	Attempt    int               `json:"attempt"`  // number of attempts that have ended
}

// Dispatch permits the gateway to forward a request to a target.
type Dispatch struct {
	Term    uint64            `json:"term"`
	Request model.RequestID   `json:"request"`
	Gateway model.Incarnation `json:"gateway"` // incarnation that sent the Ask; any other ignores the message
	Attempt int               `json:"attempt"` // starts at 1; larger than all earlier ones of the request
	Target  model.TargetID    `json:"target"`
	Inc     model.Incarnation `json:"inc"` // of the target
	Address string            `json:"address"`
	Ticket  uint64            `json:"ticket"` // Seq of a recent report of the target, which refuses an old one
	Claimed bool              `json:"claimed,omitempty"`
	// The first byte may be sent until StartBy after the gateway sent the Renew
	// with the sequence number Renewal. StartBy does not count from the arrival of
	// this message, because a delayed message would then extend the permitted time.
	Renewal uint64         `json:"renewal"`
	StartBy model.Duration `json:"start_by"`
	MaxRun  model.Duration `json:"max_run"`
}

// Refuse ends a request without a run, with a problem or with a stored answer.
type Refuse struct {
	Term    uint64           `json:"term"`
	Request model.RequestID  `json:"request"`
	Problem *problem.Problem `json:"problem,omitempty"`
	Answer  *model.Answer    `json:"answer,omitempty"` // stored answer for a resend
}

// Outcome is what the gateway knows about how an attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	OutcomeAnswered   Outcome = "answered"    // the complete answer was received
	OutcomeNotStarted Outcome = "not_started" // no byte reached the target, or the target reports that it did not run
	OutcomeUnknown    Outcome = "unknown"     // the target may have run it, or may still be running it
)

// Done reports to the owner how an attempt ended. It is resent until Settled.
type Done struct {
	Request    model.RequestID `json:"request"`
	Attempt    int             `json:"attempt"`
	Outcome    Outcome         `json:"outcome"`
	Status     int             `json:"status,omitempty"`
	RunTime    model.Duration  `json:"run_time,omitempty"`    // from first byte sent to last byte received
	RetryAfter model.Duration  `json:"retry_after,omitempty"` // requested by the target, positive
	Answer     *model.Answer   `json:"answer,omitempty"`      // to store, for a claim
	Claim      *fleet.ClaimID  `json:"claim,omitempty"`
	Untried    bool            `json:"untried,omitempty"` // the gateway did not try the target
	Final      bool            `json:"final,omitempty"`   // the gateway makes no further attempt
}

// Settled reports to the gateway that the owner has recorded a Done or a Withdraw
// and, if there is a claim, that its end is committed.
type Settled struct {
	Request model.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	Final   bool            `json:"final,omitempty"` // answers a final Done or a Withdraw
}

// Withdraw tells the owner that the gateway starts no attempt after Attempt, because
// the caller has disconnected or was refused. It is resent until Settled.
type Withdraw struct {
	Request model.RequestID `json:"request"`
	Attempt int             `json:"attempt"`         // the last attempt that ended, 0 for none
	Claim   *fleet.ClaimID  `json:"claim,omitempty"` // to release, if the request holds it
}

// TargetState is the state that a target reports.
type TargetState string

// The target states.
const (
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving" // finishes its running requests and accepts no new ones
)

// RunningRequest is a request that a target is running.
type RunningRequest struct {
	Request model.RequestID `json:"request"`
	Team    model.TeamID    `json:"team"`
}

// TargetReport is a target's periodic report of its state.
type TargetReport struct {
	Report uint64       `json:"report"` // reply id, unique on the host that received it
	Target fleet.Target `json:"target"`
	Seq    uint64       `json:"seq"`   // assigned by the target, starting at 1
	Acked  uint64       `json:"acked"` // largest Seq whose reply the target had received when it created this report
	// Term is the largest term among the replies that the target had received when
	// it created this report; it refuses requests of smaller terms. Zero means that
	// the target refuses none.
	Term    uint64           `json:"term,omitempty"`
	State   TargetState      `json:"state"`
	Running []RunningRequest `json:"running,omitempty"`
}

// TaskRun is the state of one task on a worker.
type TaskRun struct {
	Task  model.TaskID    `json:"task"`
	Epoch uint64          `json:"epoch"`
	Phase TaskRunPhase    `json:"phase"`
	Usage model.Resources `json:"usage"`
	Ran   model.Duration  `json:"ran"`
	Note  string          `json:"note,omitempty"`
	// Throttled is true once the worker has carried out an OrderThrottle.
	Throttled bool `json:"throttled,omitempty"`
}

// TaskRunPhase is the progress of a task on a worker.
type TaskRunPhase string

// The phases of a task on a worker.
const (
	RunRunning  TaskRunPhase = "running"
	RunFinished TaskRunPhase = "finished" // reported until the leader stops listing it
	RunFailed   TaskRunPhase = "failed"
	RunStopped  TaskRunPhase = "stopped" // by an order, or at the end of its lease
	// RunSaved is a run that was stopped by an OrderCheckpoint and whose progress is
	// saved: the next run continues it and repeats nothing.
	RunSaved TaskRunPhase = "saved"
)

// WorkerReport is a worker's report of its state, sent through the platform.
type WorkerReport struct {
	Report     uint64             `json:"report"`
	Worker     model.HostID       `json:"worker"`
	Inc        model.Incarnation  `json:"inc"`
	DataCentre model.DataCentreID `json:"dc"`
	Rack       model.RackID       `json:"rack"`
	Capacity   model.Resources    `json:"capacity"`
	Image      string             `json:"image"`
	Seq        uint64             `json:"seq"`
	Runs       []TaskRun          `json:"runs,omitempty"`
}

// OrderKind is what a worker is told to do with a task.
type OrderKind string

// The order kinds.
const (
	OrderRun        OrderKind = "run" // start it if it does not run; renews its lease
	OrderStop       OrderKind = "stop"
	OrderCheckpoint OrderKind = "checkpoint" // save progress, then stop
	OrderThrottle   OrderKind = "throttle"   // continue with half the processors; at most once in a run
	OrderForget     OrderKind = "forget"     // its end is recorded; stop reporting it
)

// Order is one order to a worker. An OrderRun is valid for Lease from the time at
// which the worker sent the report that the order answers.
type Order struct {
	Kind    OrderKind       `json:"kind"`
	Task    model.TaskID    `json:"task"`
	Epoch   uint64          `json:"epoch"`
	Command string          `json:"command,omitempty"`
	Size    model.Resources `json:"size"`
	MaxRun  model.Duration  `json:"max_run,omitempty"`
	Resume  bool            `json:"resume,omitempty"` // OrderRun: continue from the last checkpoint, or do not run at all
	Keep    bool            `json:"keep,omitempty"`   // OrderCheckpoint: continue if progress cannot be saved
	Lease   model.Duration  `json:"lease,omitempty"`
}

// ReportReply answers a TargetReport or a WorkerReport.
type ReportReply struct {
	Report  uint64           `json:"report"`
	Term    uint64           `json:"term,omitempty"` // a target refuses requests of smaller terms from now on
	Problem *problem.Problem `json:"problem,omitempty"`
	Orders  []Order          `json:"orders,omitempty"`
	Reboot  bool             `json:"reboot,omitempty"` // the worker is drained and is to reboot with Image
	Image   string           `json:"image,omitempty"`
}

// Command submits a command of an operator or a task submitter. It is not answered:
// the sender gets the result when it applies the committed command itself.
type Command struct {
	Command fleet.Command `json:"command"` // ID is set
}
