package gateway

import (
	"time"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
)

// TaskStatus is the answer to GET /v1/tasks/{id}. Times are in RFC 3339 format and
// UTC, and are omitted until they are reached.
type TaskStatus struct {
	ID          model.TaskID    `json:"id"`
	Team        model.TeamID    `json:"team"`
	Spec        TaskBody        `json:"spec"` // as it was submitted
	Phase       fleet.TaskPhase `json:"phase"`
	Worker      model.HostID    `json:"worker,omitempty"`
	Epoch       uint64          `json:"epoch"` // placements so far
	Cancel      bool            `json:"cancel,omitempty"`
	FailedOn    []model.HostID  `json:"failed_on,omitempty"` // distinct workers
	Detail      string          `json:"detail,omitempty"`
	Submitted   time.Time       `json:"submitted"`
	Placed      time.Time       `json:"placed,omitzero"` // the last placement
	Ended       time.Time       `json:"ended,omitzero"`
	SubmitIndex uint64          `json:"submit_index"` // log index; orders tasks submitted at the same time
	EndIndex    uint64          `json:"end_index,omitempty"`
}

func statusOf(t *fleet.Task) TaskStatus {
	return TaskStatus{
		ID: t.ID, Team: t.Team, Spec: bodyOf(&t.Spec), Phase: t.Phase, Worker: t.Worker, Epoch: t.Epoch,
		Cancel: t.Cancel, FailedOn: t.FailedOn, Detail: t.Detail,
		Submitted: wallTime(t.Submitted), Placed: wallTime(t.Placed), Ended: wallTime(t.Ended),
		SubmitIndex: t.SubmitIndex, EndIndex: t.EndIndex,
	}
}

// bodyOf returns a task as its submitter declared it.
func bodyOf(s *fleet.TaskSpec) TaskBody {
	return TaskBody{
		Pool: s.Pool, Command: s.Command,
		MilliCPU: s.Size.MilliCPU, MemoryMB: s.Size.MemoryMB, Accelerators: s.Size.Accelerators,
		RunTime: s.RunTime.Seconds(), MaxRun: s.MaxRun.Seconds(),
		Precedence: s.Precedence, Idempotent: s.Idempotent,
	}
}

// wallTime converts t, and returns the zero time if t is zero, which stands for a time
// that is not reached yet.
func wallTime(t model.Time) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return time.Unix(0, int64(t)).UTC()
}
