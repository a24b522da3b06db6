// Package effect defines the effects that the reducer can request, as data. The
// control goroutine passes each effect to the component that carries it out; these
// components make no decisions.
package effect

import (
	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
)

// Effect is implemented by the effect types of this package.
type Effect interface{ effect() }

// Send sends a message to another process. The message may be lost.
type Send struct {
	To      model.HostID
	Message message.Message
}

// Persist writes to the data folder and syncs it. The log writer answers with
// event.Persisted{Term, Index} or event.PersistFailed.
type Persist struct {
	Snapshot  *consensus.Snapshot[*fleet.State]
	Install   bool // Snapshot came from the leader and replaces the whole log
	HardState *consensus.HardState
	Entries   []consensus.Entry[fleet.Command]
	Term      uint64 // for event.Persisted; 0 for a local snapshot, which is not reported
	Index     uint64 // for event.Persisted
}

// Forward sends a held request to a target. The traffic goroutine checks the
// lease of the published view and StartBy again before it sends the first byte. It
// reports the end of the attempt with event.ForwardEnded.
type Forward struct {
	Request    model.RequestID
	Attempt    int
	Target     model.TargetID
	Inc        model.Incarnation
	Address    string
	Ticket     uint64     // sequence number of a recent report of the target
	Term       uint64     // of the owner; the target refuses terms smaller than the latest it was told
	StartBy    model.Time // the first byte must be sent by this time
	Deadline   model.Time // the attempt is aborted at this time
	Claimed    bool       // the answer is to be stored and is returned in ForwardEnded
	Idempotent bool
}

// AnswerRequest ends a held request. At most one of Problem and Answer is set. If
// neither is, the caller gets the answer that attempt Attempt received.
type AnswerRequest struct {
	Request model.RequestID
	Attempt int
	Problem *problem.Problem
	Answer  *model.Answer
}

// AnswerCommand ends a submitted command.
type AnswerCommand struct {
	ID     model.CommandID
	Result fleet.Result
}

// AnswerReport answers a target's or worker's report.
type AnswerReport struct{ Reply message.ReportReply }

// AnswerStatus answers an event.StatusRequested.
type AnswerStatus struct {
	Query  uint64
	Status *view.Status
	Task   *fleet.Task // immutable; nil if the team has no such task
	Burn   *burn.ReportInput
}

// CallWorker makes a call to a worker. It is always answered with
// event.WorkerReplied with the same Term, also when the call fails.
type CallWorker struct {
	Call   order.Call
	Term   uint64     // of the leader for which the call is made, 0 if that is this process
	SendBy model.Time `json:",omitempty"` // no byte of the call is sent after this time
}

// CallHosts makes a call to the service that owns the hosts. It is always answered
// with event.HostsReplied, also when the call fails.
type CallHosts struct {
	Call   order.HostCall
	SendBy model.Time `json:",omitempty"` // no byte of the call is sent after this time
}

// CallAdvice calls the service that knows the policy of a queue. It is always
// answered with event.AdviceReplied, also when the call fails.
type CallAdvice struct{ Call order.AdviceCall }

// AnswerCall answers a call whose connection this process holds.
type AnswerCall struct{ Answer call.Answer }

// Publish replaces the view that traffic goroutines read.
type Publish struct{ View *view.View }

// Log emits a numbered log event.
type Log struct {
	Code    Code
	Host    model.HostID
	Target  model.TargetID
	Request model.RequestID
	Team    model.TeamID
	Queue   model.QueueID
	Worker  model.WorkerID
	Task    string // round, step, index and run of a task
	Term    uint64
	Index   uint64
	Count   int
	Detail  string
}

// Code identifies a log event of the reducer. Package logevent defines the number,
// level and text of each.
type Code string

// The log events of the reducer.
const (
	LeaderElected    Code = "leader_elected"
	LeaderLost       Code = "leader_lost"
	TermChanged      Code = "term_changed"
	LeaseLost        Code = "lease_lost"
	LeaseRegained    Code = "lease_regained"
	HostSilent       Code = "host_silent"
	HostBack         Code = "host_back"
	MemberAdded      Code = "member_added"
	ReplicaJoined    Code = "replica_joined"
	ReplicaReplaced  Code = "replica_replaced"
	VotersChanged    Code = "voters_changed"
	ReplicaRetired   Code = "replica_retired"
	SnapshotTaken    Code = "snapshot_taken"
	SnapshotReceived Code = "snapshot_received"
	SyncFailed       Code = "sync_failed"
	DiskStalled      Code = "disk_stalled"
	RulesAccepted    Code = "rules_accepted"
	RulesRefused     Code = "rules_refused"
	RulesInForce     Code = "rules_in_force"
	KeyGranted       Code = "key_granted"
	KeyWithdrawn     Code = "key_withdrawn"
	TargetRegistered Code = "target_registered"
	TargetSilent     Code = "target_silent"
	TargetLeaving    Code = "target_leaving"
	TargetRemoved    Code = "target_removed"
	TargetReturned   Code = "target_returned"
	DispatchReady    Code = "dispatch_ready"
	RequestRefused   Code = "request_refused"
	OutcomeUnknown   Code = "outcome_unknown"
	ClaimUnknown     Code = "claim_unknown"
	QueueFull        Code = "queue_full"
	RetryBudgetSpent Code = "retry_budget_spent"
	WorkerSeen       Code = "worker_seen"
	WorkerSilent     Code = "worker_silent"
	WorkerRestarted  Code = "worker_restarted"
	WorkerSuspect    Code = "worker_suspect"
	WorkerReleased   Code = "worker_released"
	AnswersLost      Code = "answers_lost"
	LeaderLoad       Code = "leader_load"
	TaskPlaced       Code = "task_placed"
	TaskLost         Code = "task_lost"
	TaskFailed       Code = "task_failed"
	TaskRefused      Code = "task_refused"
	TaskEnded        Code = "task_ended"
	TaskPreempted    Code = "task_preempted"
	HostDraining     Code = "host_draining"
	HostDrained      Code = "host_drained"
	HostMoved        Code = "host_moved"
	HostReturned     Code = "host_returned"
	WaveStep         Code = "wave_step"
	WaveStopped      Code = "wave_stopped"
	WaveEnded        Code = "wave_ended"
	DataCentreOut    Code = "data_centre_out"
	DataCentreIn     Code = "data_centre_in"
	Stopping         Code = "stopping"
	JobAccepted      Code = "job_accepted"
	JobRefused       Code = "job_refused"
	JobEnded         Code = "job_ended"
	TeamPart         Code = "team_part"
	RunOrdered       Code = "run_ordered"
	RunEnded         Code = "run_ended"
	RunStopped       Code = "run_stopped"
	RunGivenUp       Code = "run_given_up"
	RunRepeated      Code = "run_repeated"
	LostRunListed    Code = "lost_run_listed"
	AdviceFailed     Code = "advice_failed"
	RunThrottled     Code = "run_throttled"
	WorkerGone       Code = "worker_gone"
	ConfigRefused    Code = "config_refused"
	WaveStarted      Code = "wave_started"
	WorkerDraining   Code = "worker_draining"
	ConfigAccepted   Code = "config_accepted"
	ConfigRead       Code = "config_read"
	ConfigTakenOver  Code = "config_taken_over"
	CallRefused      Code = "call_refused"
	CallGivenUp      Code = "call_given_up"
	CallSuperseded   Code = "call_superseded"
	CallsHeld        Code = "calls_held"
	ContactLost      Code = "contact_lost"
	ContactRegained  Code = "contact_regained"
	WaveBegun        Code = "wave_begun"
	HostOrdered      Code = "host_ordered"
	HostReleased     Code = "host_released"
	HostCallFailed   Code = "host_call_failed"
	WaveHostWaits    Code = "wave_host_waits"

	ReservationMade      Code = "reservation_made"
	ReservationMet       Code = "reservation_met"
	ReservationAbandoned Code = "reservation_abandoned"
	SubmissionOutdated   Code = "submission_outdated"
	LearnedRestored      Code = "learned_restored"
	LearnedIgnored       Code = "learned_ignored"
	HeartbeatIgnored     Code = "heartbeat_ignored"
	HostEntryIgnored     Code = "host_entry_ignored"
)

// Halt ends the process. Reason is set after a failure and empty when a graceful
// stop is complete. Retired means that the identity of the data folder has left the
// voter set: the host can only join again with an empty folder.
type Halt struct {
	Reason  string
	Retired bool
}

func (Send) effect()          {}
func (Persist) effect()       {}
func (Forward) effect()       {}
func (AnswerRequest) effect() {}
func (AnswerCommand) effect() {}
func (AnswerReport) effect()  {}
func (AnswerStatus) effect()  {}
func (CallWorker) effect()    {}
func (CallHosts) effect()     {}
func (CallAdvice) effect()    {}
func (AnswerCall) effect()    {}
func (Publish) effect()       {}
func (Log) effect()           {}
func (Halt) effect()          {}
