// Package call holds what callers, operators and workers ask of the system, as
// data. A process that receives a call holds it and passes it to the leader,
// which decides it.
package call

import (
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Call is one call. Exactly one of the pointers is set. Every call may be made
// again with the same effect.
type Call struct {
	Seq         uint64            `json:"seq"` // unique in the life of the process that holds it
	Incarnation model.Incarnation `json:"inc"` // of that process
	// Patience is how long the caller waits.
	Patience model.Duration `json:"patience"`

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

// Address says what a caller's request is about: a queue, or a job in it.
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
	// Malformed says why the body cannot be read, if it cannot.
	Malformed string `json:"malformed,omitempty"`
}

// ReadConfig asks for the configuration in force.
type ReadConfig struct{}

// ReadWave asks for the state of a maintenance wave.
type ReadWave struct {
	Wave uint64 `json:"wave"`
}

// Heartbeat is a worker's announcement of itself.
type Heartbeat struct {
	Worker jobs.Worker `json:"worker"`
	Seq    uint64      `json:"seq"` // grows within a life
	// Clock is the worker's own, in milliseconds. Deadlines follow the clock in its
	// answers only, since anyone may send an announcement.
	Clock int64 `json:"clock"`
}

// Leave says that a worker ends.
type Leave struct {
	Worker model.WorkerID `json:"worker"`
	Born   int64          `json:"born,omitempty"`
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

// Answer ends a call.
type Answer struct {
	Seq         uint64            `json:"seq"`
	Incarnation model.Incarnation `json:"inc"` // of the process that holds the call
	Problem     *problem.Problem  `json:"problem,omitempty"`

	State    JobState     `json:"state,omitempty"`    // of a job
	Pending  *int         `json:"pending,omitempty"`  // jobs of a queue without a start
	Document string       `json:"document,omitempty"` // the configuration
	WaveDone bool         `json:"wave_done,omitempty"`
	Next     model.HostID `json:"next,omitempty"` // the host to which the worker sends its next heartbeats
}

// Redirect tells the holder of a call that the process it asked does not lead.
type Redirect struct {
	Seq         uint64            `json:"seq"`
	Incarnation model.Incarnation `json:"inc"`
	Leader      model.HostID      `json:"leader,omitempty"` // empty if it knows none
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
	// BodyBytes is the limit of the configuration in force, 0 without one.
	BodyBytes int64 `json:"body_bytes,omitempty"`
}

// Changes reports whether the call can change something, so that its outcome is
// unknown if it has no answer.
func (c *Call) Changes() bool {
	return c.Query == nil && c.ReadConfig == nil && c.ReadWave == nil
}

// IsOperators reports whether the call is an operator's.
func (c *Call) IsOperators() bool {
	return c.Configure != nil || c.ReadConfig != nil || c.SetOut != nil || c.StartWave != nil || c.ReadWave != nil
}

// About names what the call is about, for logs.
func (c *Call) About() string {
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
	}
	return ""
}
