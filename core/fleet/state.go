// Package fleet is the replicated state of the system and the commands that
// change it. Apply is deterministic: replicas that apply the same commands in
// the same order hold equal states.
package fleet

import (
	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// State is the replicated state: everything that must survive the loss of any
// minority of disks.
type State struct {
	Index uint64     `json:"index"` // last applied log index
	Now   model.Time `json:"now"`   // largest Command.At applied

	// ControlIndex is the index of the last change of rules or keys. A host
	// applies the current rules and keys once it has applied this index.
	ControlIndex uint64       `json:"control_index"`
	Rules        *rules.Rules `json:"rules"`
	RulesHash    model.Digest `json:"rules_hash"`
	// Accepted lists the latest accepted revisions, oldest first, so that a
	// resend of ApplyRules gets its first answer after later revisions.
	Accepted []AcceptedRules `json:"accepted,omitempty"`

	Keys    map[string]Key                   `json:"keys"` // by name
	Members map[model.HostID]Member          `json:"members"`
	Claims  map[ClaimID]*ClaimRecord         `json:"-"` // encoded as ClaimList
	Targets map[model.TargetID]Target        `json:"targets"`
	Hosts   map[model.HostID]Host            `json:"hosts"`
	Tasks   map[model.TaskID]*Task           `json:"tasks"`
	Recent  map[model.CommandID]RecentResult `json:"recent"` // results kept for resends

	Jobs *jobs.State `json:"jobs"` // jobs with steps, their workers and configuration

	Burn burn.History `json:"burn"` // counts of ended requests, and events of the fleet

	// ClaimList holds Claims in encoded snapshots, because the key of Claims is not
	// a string.
	ClaimList []*ClaimRecord `json:"claims,omitempty"`

	// index is derived from the fields above by RebuildIndex and is not encoded.
	index *index
}

// AcceptedRules identifies one accepted revision of the rules.
type AcceptedRules struct {
	Revision uint64       `json:"revision"`
	Hash     model.Digest `json:"hash"`
}

// Key is a granted key. Only the hash is stored.
type Key struct {
	Hash      model.Digest `json:"hash"`
	Team      model.TeamID `json:"team"`
	Withdrawn bool         `json:"withdrawn,omitempty"`
}

// Member is an entry host that has been granted a serving lease.
type Member struct {
	DataCentre model.DataCentreID `json:"dc"`
}

// ClaimState is the progress of a claim.
type ClaimState string

// The claim states.
const (
	ClaimHeld     ClaimState = "held"     // may be running
	ClaimComplete ClaimState = "complete" // ran; Answer holds the answer if retained
	ClaimUnknown  ClaimState = "unknown"  // may have run; the outcome will never be known
)

// ClaimRecord is the state of one non-idempotent request.
type ClaimRecord struct {
	Claim
	State  ClaimState    `json:"state"`
	Status int           `json:"status,omitempty"`
	Answer *model.Answer `json:"answer,omitempty"`
	Since  model.Time    `json:"since"` // of the last change of State, for retention
	Index  uint64        `json:"index"` // log index of the last change of State
}

// Target holds the fixed data of a registered target. Its changing state comes
// with its reports and is not replicated.
type Target struct {
	ID          model.TargetID     `json:"id"`
	Incarnation model.Incarnation  `json:"inc"`
	Address     string             `json:"address"` // IP:port of its HTTP service
	Service     model.ServiceID    `json:"service"`
	Host        model.HostID       `json:"host"`
	DataCentre  model.DataCentreID `json:"dc"`
	Slots       int                `json:"slots"`       // requests it runs at one time
	Connections int                `json:"connections"` // connections it accepts
}

// HostPhase is the step of a planned change that a host is in.
type HostPhase string

// The host phases.
const (
	HostServing   HostPhase = ""
	HostDraining  HostPhase = "draining"
	HostRebooting HostPhase = "rebooting"
)

// Host is one host of the fleet. Pool is a single field, so that a host is in
// exactly one pool at every index of the log.
type Host struct {
	DataCentre model.DataCentreID `json:"dc"`
	Rack       model.RackID       `json:"rack,omitempty"`
	Capacity   model.Resources    `json:"capacity"`
	Pool       model.PoolID       `json:"pool"`
	Phase      HostPhase          `json:"phase,omitempty"`
	MoveTo     model.PoolID       `json:"move_to,omitempty"`
	Image      string             `json:"image,omitempty"`
	ImageWant  string             `json:"image_want,omitempty"`
	Up         bool               `json:"up"`
	DrainSince model.Time         `json:"drain_since,omitempty"`
	// MovedAt is when the host joined its pool by a move, so that a later leader
	// does not move it again at once.
	MovedAt model.Time `json:"moved_at,omitempty"`
	// RebootSince is when the reboot was ordered, so that a later leader can
	// tell how long the host has been away.
	RebootSince model.Time `json:"reboot_since,omitempty"`
	// Inc is the incarnation of the host that reported last, and RebootInc the one
	// that was ordered to reboot. A host returns only with another incarnation: the
	// image does not show the reboot when a move keeps it.
	Inc       model.Incarnation `json:"inc,omitempty"`
	RebootInc model.Incarnation `json:"reboot_inc,omitempty"`
}

// Rebooted reports whether a rebooting host has a new incarnation. A host whose
// incarnation was not known when it was ordered to reboot counts as rebooted.
func (h *Host) Rebooted() bool { return h.RebootInc == "" || h.Inc != h.RebootInc }

// TaskSpec is what a submitter declares about a task. Declared sizes and run
// times are hints and are often far off.
type TaskSpec struct {
	Pool       model.PoolID    `json:"pool"`
	Command    string          `json:"command"` // passed to the worker unread
	Size       model.Resources `json:"size"`
	RunTime    model.Duration  `json:"run_time"` // declared
	MaxRun     model.Duration  `json:"max_run"`  // stopped after this time
	Precedence int             `json:"precedence"`
	Idempotent bool            `json:"idempotent"` // may run again after a lost worker
}

// TaskPhase is the progress of a task.
type TaskPhase string

// The task phases.
const (
	TaskQueued    TaskPhase = "queued"
	TaskPlaced    TaskPhase = "placed" // on a worker under a lease: counts as running
	TaskFinished  TaskPhase = "finished"
	TaskFailed    TaskPhase = "failed"
	TaskCancelled TaskPhase = "cancelled"
	TaskUnknown   TaskPhase = "unknown" // non-idempotent and its worker was lost
)

// TaskOutcome is how one run of a task ended.
type TaskOutcome string

// The task outcomes.
const (
	OutcomeFinished   TaskOutcome = "finished"
	OutcomeFailed     TaskOutcome = "failed"      // counts towards judging task and worker as faulty
	OutcomeNotStarted TaskOutcome = "not_started" // the worker refused it: queued again
	OutcomeStopped    TaskOutcome = "stopped"     // stopped by the system: queued again, or cancelled
	OutcomePreempted  TaskOutcome = "preempted"   // stopped for a team below its share: queued again
	OutcomeLost       TaskOutcome = "lost"        // the worker's lease ended
)

// Task is one task and its history.
type Task struct {
	ID     model.TaskID `json:"id"`
	Team   model.TeamID `json:"team"`
	Spec   TaskSpec     `json:"spec"`
	Phase  TaskPhase    `json:"phase"`
	Worker model.HostID `json:"worker,omitempty"`
	// WorkerInc is the incarnation of the worker that the run was assigned to. A
	// worker of another incarnation no longer runs it and must not start it.
	WorkerInc model.Incarnation `json:"worker_inc,omitempty"`
	Epoch     uint64            `json:"epoch"` // grows by one with each placement
	Cancel    bool              `json:"cancel,omitempty"`
	// Resume is true once a checkpoint has saved progress: a further run
	// continues from it and repeats nothing.
	Resume bool `json:"resume,omitempty"`
	// Preemptions counts the runs that were preempted for a team below its share.
	Preemptions int            `json:"preemptions,omitempty"`
	FailedOn    []model.HostID `json:"failed_on,omitempty"` // distinct workers
	Detail      string         `json:"detail,omitempty"`
	Submitted   model.Time     `json:"submitted"`
	Placed      model.Time     `json:"placed,omitempty"`
	Ended       model.Time     `json:"ended,omitempty"`
	// SubmitIndex and EndIndex are the log indexes of the submission and of
	// the end. They order tasks whose times are equal.
	SubmitIndex uint64 `json:"submit_index"`
	EndIndex    uint64 `json:"end_index,omitempty"`
}

// RecentResult is the result of an operator's or submitter's command, kept so
// that a resend gets the same answer.
type RecentResult struct {
	Result Result     `json:"result"`
	At     model.Time `json:"at"`
	Index  uint64     `json:"index"` // log index of the first application
}
