package jobs

import (
	"maps"

	"primrosedale.example/primrosedale/core/model"
)

// State is the replicated state of jobs. The zero State is empty.
type State struct {
	Config       *Config                     `json:"config,omitempty"` // replaced as a whole, never modified
	OutOfService map[model.DataCentreID]bool `json:"out"`              // data centres out of service, which get no new runs
	// ServiceOrders holds, by data centre, the index of the latest SetOut.
	ServiceOrders map[model.DataCentreID]uint64 `json:"service_orders,omitempty"`
	Workers       map[model.WorkerID]*Worker    `json:"workers"` // entries are replaced, never modified
	Jobs          map[model.JobID]*Job          `json:"jobs"`
	Ended         []model.JobID                 `json:"ended,omitempty"` // in the order of their ends
	// Removed holds the queues that a configuration removed while jobs of them were known.
	// Callers still ask for these jobs at their addresses, and their other settings stay in
	// force for these jobs. An earlier version recorded the addresses only.
	Removed map[model.QueueID]Queue `json:"removed,omitempty"`
	Waves   map[uint64]*Wave        `json:"waves"`
	// Learned is what the latest leader has learned, nil if none has recorded it.
	Learned *Learned `json:"learned,omitempty"`
}

// Phase is the state of a job.
type Phase string

// The phases of a job.
const (
	Active    Phase = "active"
	Completed Phase = "completed" // every task is done
	Failed    Phase = "failed"    // a task reached the maximum number of failures of its queue
	Cancelled Phase = "cancelled"
)

// Job is one job of a caller.
type Job struct {
	ID      model.JobID     `json:"id"`
	Queue   model.QueueID   `json:"queue"`
	Service model.ServiceID `json:"service"`
	Team    model.TeamID    `json:"team,omitempty"` // empty on an open queue
	Spec    string          `json:"spec,omitempty"` // passed to workers without being interpreted
	Steps   []Step          `json:"steps,omitempty"`
	// Rounds are the repetitions of the steps, one for a job that does not repeat.
	// They are dropped once the job has ended and none of its tasks is placed.
	Rounds   []Round        `json:"rounds,omitempty"`
	FirstAt  model.Time     `json:"first_at,omitempty"` // when the first round is due, wall clock
	Interval model.Duration `json:"interval,omitempty"`
	Phase    Phase          `json:"phase"`
	// OverShare is set if the team was over its share when the job was accepted. Such
	// jobs are served after others while a pool is full.
	OverShare bool `json:"beyond,omitempty"`
	Started   bool `json:"started,omitempty"` // a task of it has been assigned
	// Withdrawn is set on a job that was cancelled before it was submitted. It has no
	// content, and its phase is Cancelled.
	Withdrawn bool       `json:"withdrawn,omitempty"`
	Accepted  model.Time `json:"accepted"`           // replicated clock
	EndedAt   model.Time `json:"ended_at,omitempty"` // replicated clock
}

// Step is a number of tasks of equal size.
type Step struct {
	Tasks     int             `json:"tasks"`
	Size      model.Resources `json:"size"` // of one task
	Estimate  model.Duration  `json:"estimate,omitempty"`
	After     []int           `json:"after,omitempty"` // indexes of the steps that it depends on
	Requires  string          `json:"requires,omitempty"`
	DataRack  model.RackID    `json:"data_rack,omitempty"`
	PerWorker int             `json:"per_worker,omitempty"` // maximum number of its tasks on one worker, 0 for no limit
	Image     string          `json:"image,omitempty"`
	Target    model.Duration  `json:"target,omitempty"` // for the tail latency of its responses, if it serves requests
	// MaxUnavailable is the maximum number of its tasks that may be unavailable at one
	// time because the system stopped them, 0 for no limit.
	MaxUnavailable int  `json:"miss_allowed,omitempty"`
	Checkpoints    bool `json:"checkpoints,omitempty"`
	Gang           bool `json:"gang,omitempty"`
	Colocated      bool `json:"colocated,omitempty"`
	Copies         bool `json:"copies,omitempty"`       // several runs of one task may run at once
	LongRunning    bool `json:"long_running,omitempty"` // runs until the job is cancelled
	BestEffort     bool `json:"best_effort,omitempty"`  // uses only processor time that other runs leave unused
}

// Claim is the part of a worker's capacity that one task reserves.
func (s *Step) Claim() model.Resources {
	size := s.Size
	if s.BestEffort {
		size.MilliCPU = 0
	}
	return size
}

// Round is one repetition of the steps: its tasks by step and index.
type Round struct {
	Tasks [][]Task `json:"tasks"`
}

// TaskPhase is the state of a task.
type TaskPhase string

// The phases of a task.
const (
	Waiting TaskPhase = ""
	Placed  TaskPhase = "placed" // a run of it may be running
	Done    TaskPhase = "done"
)

// Task is one task of a round.
type Task struct {
	Phase       TaskPhase      `json:"p,omitempty"`
	Run         int            `json:"r,omitempty"` // number of the latest run
	Worker      model.WorkerID `json:"w,omitempty"` // of the latest run
	Incarnation uint64         `json:"l,omitempty"` // incarnation of that worker
	AssignedAt  model.Time     `json:"t,omitempty"` // of a placed task, replicated clock; 0 if an earlier version assigned it
	Confirmed   bool           `json:"b,omitempty"` // its latest run is recorded by Confirm
	Failures    int            `json:"f,omitempty"`
	// Abandoned lists the runs that were recorded as lost and may still report an end.
	// Only a step whose tasks may run in several copies has such runs.
	Abandoned  []int  `json:"a,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// TaskRef identifies a task.
type TaskRef struct {
	Job   model.JobID `json:"j"`
	Round int         `json:"k,omitempty"`
	Step  int         `json:"s,omitempty"`
	Index int         `json:"i,omitempty"`
}

// StepRef identifies a step of a round.
type StepRef struct {
	Job   model.JobID `json:"j"`
	Round int         `json:"k,omitempty"`
	Step  int         `json:"s,omitempty"`
}

// StepRef returns the step of a task.
func (t TaskRef) StepRef() StepRef { return StepRef{t.Job, t.Round, t.Step} }

// RunRef identifies one run of a task.
type RunRef struct {
	TaskRef
	Run int `json:"r"`
}

// Worker is one incarnation of a worker, that is, one of its processes.
type Worker struct {
	ID          model.WorkerID `json:"id"`
	Incarnation uint64         `json:"life"` // index of the log entry that recorded it
	StartedAt   int64          `json:"born"` // start of the process by its own clock, in Unix milliseconds; 0 if unknown
	Host        model.HostID   `json:"host,omitempty"`
	// HostSince is the index from which on all processes under this ID ran on Host.
	HostSince  uint64             `json:"host_since,omitempty"`
	Service    model.ServiceID    `json:"service"`
	Address    string             `json:"address"`
	DataCentre model.DataCentreID `json:"dc"`
	Rack       model.RackID       `json:"rack,omitempty"`
	Labels     []string           `json:"labels,omitempty"`
	Capacity   model.Resources    `json:"capacity"`
	Draining   bool               `json:"draining,omitempty"`
}

// SameIncarnation reports whether w and v describe the same process.
func (w *Worker) SameIncarnation(v *Worker) bool {
	return w.ID == v.ID && w.StartedAt == v.StartedAt && w.Address == v.Address && w.Service == v.Service
}

// Replaces reports whether w is a later process on the host of an earlier incarnation of the
// same worker.
func (w *Worker) Replaces(incarnation uint64) bool {
	return w.Host != "" && w.HostSince != 0 && w.HostSince <= incarnation && incarnation < w.Incarnation
}

// HasLabel reports whether the worker carries the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Wave is a maintenance wave over hosts.
type Wave struct {
	Hosts []model.HostID `json:"hosts"`
	Cap   int            `json:"cap"` // maximum number of its hosts that may be down at one time
	Due   model.Time     `json:"due"` // replicated clock
	// Ordered holds the hosts whose maintenance was ordered. The value is true once the
	// order is known to be accepted.
	Ordered map[model.HostID]bool `json:"ordered"`
	Closed  bool                  `json:"closed,omitempty"` // every host has begun its maintenance or has left the fleet
}

// Task returns the task that ref identifies, or nil.
func (s *State) Task(ref TaskRef) *Task {
	j := s.Jobs[ref.Job]
	if j == nil {
		return nil
	}
	return j.Task(ref)
}

// Task returns the task of this job that ref identifies, or nil.
func (j *Job) Task(ref TaskRef) *Task {
	if ref.Round < 0 || ref.Round >= len(j.Rounds) {
		return nil
	}
	r := &j.Rounds[ref.Round]
	if ref.Step < 0 || ref.Step >= len(r.Tasks) || ref.Index < 0 || ref.Index >= len(r.Tasks[ref.Step]) {
		return nil
	}
	return &r.Tasks[ref.Step][ref.Index]
}

// RoundDue returns the wall-clock time at which a round is due, or 0 for a job that is
// not scheduled.
func (j *Job) RoundDue(round int) model.Time {
	if j.FirstAt == 0 {
		return 0
	}
	return j.FirstAt.AddRepeated(round, j.Interval)
}

// StepOpen reports whether all steps that a step depends on are done.
func (j *Job) StepOpen(round, step int) bool {
	for _, before := range j.Steps[step].After {
		for i := range j.Rounds[round].Tasks[before] {
			if j.Rounds[round].Tasks[before][i].Phase != Done {
				return false
			}
		}
	}
	return true
}

// LongRunning reports whether the job has a step that runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Clone returns a copy that shares no mutable data with s.
func (s *State) Clone() *State {
	c := *s
	c.OutOfService = maps.Clone(s.OutOfService)
	c.ServiceOrders = maps.Clone(s.ServiceOrders)
	c.Workers = maps.Clone(s.Workers)
	c.Removed = maps.Clone(s.Removed)
	c.Ended = append([]model.JobID(nil), s.Ended...)
	c.Jobs = make(map[model.JobID]*Job, len(s.Jobs))
	for id, j := range s.Jobs {
		c.Jobs[id] = j.clone()
	}
	c.Waves = make(map[uint64]*Wave, len(s.Waves))
	for id, w := range s.Waves {
		copied := *w
		copied.Ordered = maps.Clone(w.Ordered)
		c.Waves[id] = &copied
	}
	return &c
}

func (j *Job) clone() *Job {
	c := *j
	if j.Rounds == nil {
		return &c // its tasks are dropped, see forget
	}
	c.Rounds = make([]Round, len(j.Rounds))
	for k := range j.Rounds {
		c.Rounds[k].Tasks = make([][]Task, len(j.Rounds[k].Tasks))
		for s := range j.Rounds[k].Tasks {
			c.Rounds[k].Tasks[s] = append([]Task(nil), j.Rounds[k].Tasks[s]...)
		}
	}
	return &c
}

// MakeMaps replaces the nil maps of the state by empty ones.
func (s *State) MakeMaps() {
	if s.OutOfService == nil {
		s.OutOfService = make(map[model.DataCentreID]bool)
	}
	if s.ServiceOrders == nil {
		s.ServiceOrders = make(map[model.DataCentreID]uint64)
	}
	if s.Workers == nil {
		s.Workers = make(map[model.WorkerID]*Worker)
	}
	if s.Jobs == nil {
		s.Jobs = make(map[model.JobID]*Job)
	}
	if s.Removed == nil {
		s.Removed = make(map[model.QueueID]Queue)
	}
	if s.Waves == nil {
		s.Waves = make(map[uint64]*Wave)
	}
}
