// Package call defines what callers, operators and workers ask of the system, as data.
// A process that receives a call holds it and forwards it to the leader, which decides
// it.
package call

import (
	"fmt"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Call is one call. Exactly one of its pointers is set. Every call is idempotent.
type Call struct {
	Seq         uint64            `json:"seq"` // unique within the process that holds the call
	Incarnation model.Incarnation `json:"inc"` // of that process
	// Patience is how long the caller waits.
	Patience model.Duration `json:"patience"`
	// Horizon is an index of the log: when the call arrived, the process that holds it
	// had applied no entry at this index or later. An order that is recorded there may
	// therefore be later than the call. It is 0 if the process does not follow the log.
	Horizon uint64 `json:"horizon,omitempty"`
	// Stamp is set on submissions. Only the leader of its term decides the call.
	Stamp Stamp `json:"stamp,omitzero"`
	// Resolve asks for the outcome of a submission that may have been decided before. The
	// leader does not accept the job if it is unknown, but refuses it.
	Resolve bool `json:"resolve,omitempty"`

	Submit     *Submit         `json:"submit,omitempty"`
	Query      *Address        `json:"query,omitempty"`
	Cancel     *Address        `json:"cancel,omitempty"`
	Configure  *jobs.Config    `json:"configure,omitempty"`
	ReadConfig *ReadConfig     `json:"read_config,omitempty"`
	SetOut     *jobs.SetOut    `json:"set_out,omitempty"`
	StartWave  *jobs.StartWave `json:"start_wave,omitempty"`
	ReadWave   *ReadWave       `json:"read_wave,omitempty"`
	Heartbeat  *Heartbeat      `json:"heartbeat,omitempty"`
	Leave      *Leave          `json:"leave,omitempty"`
}

// Stamp is a moment of a leader.
type Stamp struct {
	Term uint64 `json:"term,omitempty"` // 0 if unknown
	// At is the leader's clock, 0 if only the term is known.
	At model.Time `json:"at,omitempty"`
}

// IsBefore reports whether s is certainly earlier than o.
func (s Stamp) IsBefore(o Stamp) bool { return s.Term < o.Term || s.Term == o.Term && s.At < o.At }

// Address identifies what a caller's request is about: a queue, or a job in it.
type Address struct {
	Host string       `json:"host"`
	Path string       `json:"path"`
	Key  model.Digest `json:"key,omitempty"` // SHA-256 of the key, empty without one
}

// Submit submits a job. Job has the content that the caller sent; its id and
// queue follow from Address.
type Submit struct {
	Address
	Job jobs.Job `json:"job"`
	// Malformed is the reason why the body cannot be read, empty if it can be.
	Malformed string `json:"malformed,omitempty"`
}

// ReadConfig asks for the configuration in force.
type ReadConfig struct{}

// ReadWave asks for the state of a maintenance wave.
type ReadWave struct {
	Wave uint64 `json:"wave"`
}

// Heartbeat is the announcement of a worker.
type Heartbeat struct {
	Worker jobs.Worker `json:"worker"`
	Seq    uint64      `json:"seq"` // increases while the worker's process runs
	// Clock is the worker's clock in milliseconds. Deadlines follow only the clock in
	// the worker's answers, since anyone can send an announcement.
	Clock int64 `json:"clock"`
}

// Leave announces that the process of a worker ends.
type Leave struct {
	Worker    model.WorkerID `json:"worker"`
	StartedAt int64          `json:"born,omitempty"` // StartedAt of the worker; 0 for any
}

// JobState is the state of a job as its caller sees it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Answer is the answer to a call, which ends it.
type Answer struct {
	Seq         uint64            `json:"seq"`
	Incarnation model.Incarnation `json:"inc"` // of the process that holds the call
	Problem     *problem.Problem  `json:"problem,omitempty"`

	// SupersededBy is the index of the order because of which Problem is
	// problem.CallSuperseded.
	SupersededBy uint64 `json:"superseded_by,omitempty"`

	State    JobState     `json:"state,omitempty"`    // of a job
	Pending  *int         `json:"pending,omitempty"`  // jobs of a queue that have not started
	Document string       `json:"document,omitempty"` // the configuration
	WaveDone bool         `json:"wave_done,omitempty"`
	Next     model.HostID `json:"next,omitempty"` // the host to which the worker sends its next heartbeats
}

// Redirect tells the holder of a call that the process it asked does not lead, or leads in
// another term than that of the call.
type Redirect struct {
	Seq         uint64            `json:"seq"`
	Incarnation model.Incarnation `json:"inc"`
	Leader      model.HostID      `json:"leader,omitempty"` // empty if it knows none
	// Stamp is set by the leader if it did not decide the call because of its stamp.
	Stamp Stamp `json:"stamp,omitzero"`
}

// Contact asks a replica who leads.
type Contact struct {
	Seq uint64 `json:"seq"`
}

// ContactReply answers a Contact.
type ContactReply struct {
	Seq      uint64         `json:"seq"`
	Leads    bool           `json:"leads,omitempty"` // the sender leads and holds the lease
	Leader   model.HostID   `json:"leader,omitempty"`
	Replicas []model.HostID `json:"replicas,omitempty"`
	// BodyBytes is the body limit of the configuration in force, 0 if there is none.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// Stamp is set by the leader, for the calls that are sent to it.
	Stamp Stamp `json:"stamp,omitzero"`
}

// Mutates reports whether the call can change state, so that its outcome is unknown if
// it gets no answer.
func (c *Call) Mutates() bool {
	return c.Query == nil && c.ReadConfig == nil && c.ReadWave == nil
}

// IsOperatorCall reports whether the call is made by an operator.
func (c *Call) IsOperatorCall() bool {
	return c.Configure != nil || c.ReadConfig != nil || c.SetOut != nil || c.StartWave != nil || c.ReadWave != nil
}

// Subject returns what the call is about, for logs.
func (c *Call) Subject() string {
	switch {
	case c.Submit != nil:
		return c.Submit.Path
	case c.Query != nil:
		return c.Query.Path
	case c.Cancel != nil:
		return c.Cancel.Path
	case c.Heartbeat != nil:
		return string(c.Heartbeat.Worker.ID)
	case c.Leave != nil:
		return string(c.Leave.Worker)
	case c.SetOut != nil:
		return string(c.SetOut.DataCentre)
	case c.Configure != nil:
		return fmt.Sprintf("configuration %d", c.Configure.Version)
	case c.ReadConfig != nil:
		return "configuration"
	case c.StartWave != nil:
		return fmt.Sprintf("wave %d", c.StartWave.Wave)
	case c.ReadWave != nil:
		return fmt.Sprintf("wave %d", c.ReadWave.Wave)
	}
	return ""
}
