package jobs

import (
	"primrosedale.example/primrosedale/core/model"
)

// Command is one change of the state. Exactly one of its pointers is set.
type Command struct {
	// Call is the client call to answer once the command is applied, if any.
	Call CallRef `json:"call,omitzero"`

	Configure *Config    `json:"configure,omitempty"`
	SetOut    *SetOut    `json:"set_out,omitempty"`
	Submit    *Job       `json:"submit,omitempty"`
	Cancel    *Cancel    `json:"cancel,omitempty"`
	Assign    *Assign    `json:"assign,omitempty"`
	Confirm   *Confirm   `json:"confirm,omitempty"`
	End       *End       `json:"end,omitempty"`
	Announce  *Worker    `json:"announce,omitempty"`
	Depart    *Depart    `json:"depart,omitempty"`
	Forget    *Forget    `json:"forget,omitempty"`
	StartWave *StartWave `json:"start_wave,omitempty"`
	Maintain  *Maintain  `json:"maintain,omitempty"`
	CloseWave *CloseWave `json:"close_wave,omitempty"`
	Learn     *Learned   `json:"learn,omitempty"`
}

// CallRef identifies a client call that a process keeps open.
type CallRef struct {
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
	Seq         uint64            `json:"seq"`
}

// SetOut takes a data centre out of service or puts it back into service.
type SetOut struct {
	DataCentre model.DataCentreID `json:"dc"`
	Out        bool               `json:"out"`
	// Horizon is the index from which on a recorded order on the data centre may be
	// later than this one, which then does not change it any more. 0 sets no bound.
	Horizon uint64 `json:"horizon,omitempty"`
}

// Cancel cancels a job. If the job is unknown, its submission is refused from then on:
// it may still be on its way.
type Cancel struct {
	Job   model.JobID   `json:"job"`
	Queue model.QueueID `json:"queue,omitempty"` // of an unknown job
	Team  model.TeamID  `json:"team,omitempty"`  // of an unknown job
}

// Assign records runs before the orders to start them are sent.
type Assign struct {
	Runs []Assignment `json:"runs"`
}

// Assignment is one run on one incarnation of a worker.
type Assignment struct {
	RunRef
	Worker      model.WorkerID `json:"w"`
	Incarnation uint64         `json:"l"`
}

// Confirm records that runs have begun and that no order to start them is on its way any more.
type Confirm struct {
	Runs []RunRef `json:"runs"`
}

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"
	OutcomeStopped        Outcome = "stopped" // by an order of the leader
	OutcomeLeaseExpired   Outcome = "lapsed"  // the lease of its worker expired
	OutcomeGangBroken     Outcome = "broken"  // another member of its gang ended
	OutcomeGangIncomplete Outcome = "alone"   // the rest of its gang did not start in time
	OutcomeVoid           Outcome = "void"    // it has not begun and never will
	OutcomeLost           Outcome = "lost"    // its worker is gone or does not answer
)

// End records ends of runs.
type End struct {
	Runs []Ending `json:"runs"`
	// Through is the number up to which every end that Worker has listed in this
	// incarnation is recorded once the command is applied. It is 0 if the ends do not
	// come from a worker's list.
	Worker      model.WorkerID `json:"w,omitempty"`
	Incarnation uint64         `json:"l,omitempty"`
	Through     uint64         `json:"n,omitempty"`
}

// Ending is the end of one run.
type Ending struct {
	RunRef
	Outcome    Outcome `json:"o"`
	Checkpoint string  `json:"c,omitempty"`
	// MaxAttempts is the number of failures of one task at which the job fails; 0 for
	// no limit.
	MaxAttempts int `json:"m,omitempty"`
}

// Depart removes a worker that has left, or whose process has ended.
type Depart struct {
	Worker      model.WorkerID `json:"w"`
	Incarnation uint64         `json:"l"`
	// Ended means that its process and all its runs have certainly ended.
	Ended bool `json:"e,omitempty"`
}

// Forget removes jobs that ended before a time of the replicated clock.
type Forget struct {
	Before model.Time `json:"before"`
}

// StartWave requests a maintenance wave over hosts.
type StartWave struct {
	Wave   uint64         `json:"wave"`
	Hosts  []model.HostID `json:"hosts"`
	Cap    int            `json:"cap"`
	Within model.Duration `json:"within"`
}

// Maintain records that the maintenance of a host is about to be ordered, or
// that its owner has accepted the order.
type Maintain struct {
	Wave     uint64       `json:"wave"`
	Host     model.HostID `json:"host"`
	Accepted bool         `json:"accepted,omitempty"`
}

// CloseWave records that every host of a wave has begun its maintenance or has
// left the fleet.
type CloseWave struct {
	Wave uint64 `json:"wave"`
}

// Estimated sizes of the parts of a command in a message, in bytes of JSON.
const (
	runBytes  = 96  // a run with its worker
	stepBytes = 256 // a step, or a job without its steps
)

// Size estimates how many bytes the command takes in a message.
func (c *Command) Size() int {
	switch {
	case c.Configure != nil:
		return 2 * len(c.Configure.Document)
	case c.Submit != nil:
		return stepBytes*(1+len(c.Submit.Steps)) + len(c.Submit.Spec)
	case c.Assign != nil:
		return runBytes * len(c.Assign.Runs)
	case c.End != nil:
		return runBytes * len(c.End.Runs)
	}
	return runBytes
}
