package fleet

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// Command is one change of the replicated state. Exactly one of the pointers
// is set. A command contains everything that its effect depends on, so that every
// replica computes the same result.
type Command struct {
	// ID identifies the submission of this command; it is empty for commands that
	// the leader issues itself. A command whose ID was already applied returns the
	// first result.
	ID model.CommandID `json:"id,omitempty"`
	// At is the time on the replicated clock when the leader proposed the command.
	// State.Now is the largest At applied; retention periods and the times stored in
	// the state follow it.
	At model.Time `json:"at"`

	ApplyRules     *ApplyRules     `json:"apply_rules,omitempty"`
	GrantKey       *GrantKey       `json:"grant_key,omitempty"`
	WithdrawKey    *WithdrawKey    `json:"withdraw_key,omitempty"`
	AddMember      *AddMember      `json:"add_member,omitempty"`
	Claim          *Claim          `json:"claim,omitempty"`
	Complete       *Complete       `json:"complete,omitempty"`
	Release        *Release        `json:"release,omitempty"`
	RegisterTarget *RegisterTarget `json:"register_target,omitempty"`
	RemoveTarget   *RemoveTarget   `json:"remove_target,omitempty"`
	ReportHost     *ReportHost     `json:"report_host,omitempty"`
	PlanHost       *PlanHost       `json:"plan_host,omitempty"`
	SubmitTask     *SubmitTask     `json:"submit_task,omitempty"`
	PlaceTask      *PlaceTask      `json:"place_task,omitempty"`
	EndTask        *EndTask        `json:"end_task,omitempty"`
	CancelTask     *CancelTask     `json:"cancel_task,omitempty"`
	RecordBurn     *RecordBurn     `json:"record_burn,omitempty"`
	Jobs           *jobs.Command   `json:"jobs,omitempty"`
}

// commandSize is the assumed size of a command in bytes without its stored answer,
// the only part that can be large in many consecutive commands.
const commandSize = 512

// Size returns the approximate size of the command in a message, in bytes.
func (c *Command) Size() int {
	if c.Jobs != nil {
		return commandSize + c.Jobs.Size()
	}
	if c.Complete == nil || c.Complete.Answer == nil {
		return commandSize
	}
	return commandSize + len(c.Complete.Answer.Body)
}

// ApplyRules replaces the configuration if Base is the current revision.
type ApplyRules struct {
	Base  uint64       `json:"base"`
	Hash  model.Digest `json:"hash"` // of the rules file's text
	Rules *rules.Rules `json:"rules"`
}

// GrantKey makes the key with this hash valid for the team.
type GrantKey struct {
	Name string       `json:"name"` // unique, chosen by the operator
	Hash model.Digest `json:"hash"` // SHA-256 of the key
	Team model.TeamID `json:"team"`
}

// WithdrawKey revokes the key of this name.
type WithdrawKey struct {
	Name string `json:"name"`
}

// AddMember records an entry host before it is granted its first lease, so
// that a later leader knows which hosts may still hold a lease.
type AddMember struct {
	Host       model.HostID       `json:"host"`
	DataCentre model.DataCentreID `json:"dc"`
}

// ClaimID identifies a non-idempotent request: the team and the digest of its
// idempotency key, or of its request id when the caller sent no key.
type ClaimID struct {
	Team model.TeamID `json:"team"`
	Key  model.Digest `json:"key"`
}

// Claim reserves the single run of a non-idempotent request, before the first
// byte is sent to a target.
type Claim struct {
	ClaimID
	Request model.RequestID `json:"request"`
	Gateway model.HostID    `json:"gateway"`
	Body    model.Digest    `json:"body"` // of queue and body, to distinguish a reused key from a resend
}

// Complete ends a claim with its outcome.
type Complete struct {
	ClaimID
	Request model.RequestID `json:"request"`
	Status  int             `json:"status"`
	Answer  *model.Answer   `json:"answer,omitempty"`  // nil: not retained
	Unknown bool            `json:"unknown,omitempty"` // the outcome will never be known
}

// Release deletes a claim whose request is known not to have run.
type Release struct {
	ClaimID
	Request model.RequestID `json:"request"`
}

// RegisterTarget records a target before its first request, so that a later
// leader knows that requests may still be running on it.
type RegisterTarget struct {
	Target Target `json:"target"`
}

// RemoveTarget deletes a target that has left and runs nothing.
type RemoveTarget struct {
	ID          model.TargetID    `json:"target"`
	Incarnation model.Incarnation `json:"inc"`
}

// ReportHost records what the platform reports about a host: its placement in the
// fleet, its image, and whether it is up. It is proposed only when one of them
// changes.
type ReportHost struct {
	Host       model.HostID       `json:"host"`
	DataCentre model.DataCentreID `json:"dc"`
	Rack       model.RackID       `json:"rack,omitempty"`
	Capacity   model.Resources    `json:"capacity"`
	Image      string             `json:"image,omitempty"`
	Inc        model.Incarnation  `json:"inc,omitempty"` // new at each boot
	Up         bool               `json:"up"`
}

// HostAction is a step of a planned change to a host.
type HostAction string

// The host actions.
const (
	HostDrain    HostAction = "drain"    // no new work; counts as unavailable
	HostReboot   HostAction = "reboot"   // drained: the platform may reboot it
	HostRetarget HostAction = "retarget" // rebooting: Image replaces the wanted image; empty accepts any
	HostReturn   HostAction = "return"   // back in service, in pool Pool
)

// PlanHost is one step of a move or of a maintenance wave. It is checked against
// the budgets when it is applied, and refused if it no longer fits the state.
type PlanHost struct {
	Host   model.HostID `json:"host"`
	Action HostAction   `json:"action"`
	Pool   model.PoolID `json:"pool,omitempty"`  // destination pool of a move, the same from drain to return
	Image  string       `json:"image,omitempty"` // image wanted by a wave
	Reason string       `json:"reason,omitempty"`
}

// SubmitTask adds a task. Its TaskID is chosen by the host that received it.
type SubmitTask struct {
	Task model.TaskID `json:"task"`
	Team model.TeamID `json:"team"`
	Spec TaskSpec     `json:"spec"`
}

// PlaceTask gives a task to a worker under the next lease epoch.
type PlaceTask struct {
	Task   model.TaskID      `json:"task"`
	Worker model.HostID      `json:"worker"`
	Inc    model.Incarnation `json:"inc,omitempty"` // of the worker
}

// EndTask records the end of one run of a task.
type EndTask struct {
	Task    model.TaskID `json:"task"`
	Epoch   uint64       `json:"epoch"`
	Outcome TaskOutcome  `json:"outcome"`
	Saved   bool         `json:"saved,omitempty"` // stopped or preempted with its progress saved: the next run continues it
	Detail  string       `json:"detail,omitempty"`
}

// CancelTask requests the stop of a task, which ends once its worker has stopped it.
type CancelTask struct {
	Task model.TaskID `json:"task"`
	Team model.TeamID `json:"team"`
}

// Result is the outcome of a command, the same on every replica.
type Result struct {
	Problem  *problem.Problem `json:"problem,omitempty"`
	Revision uint64           `json:"revision,omitempty"` // of the configuration after ApplyRules
	Claim    *ClaimRecord     `json:"claim,omitempty"`    // for Claim: the current record
	Granted  bool             `json:"granted,omitempty"`  // for Claim: this request holds the claim
	Task     model.TaskID     `json:"task,omitempty"`

	Jobs *jobs.Result `json:"-"` // of a command on jobs; neither stored nor sent
}
