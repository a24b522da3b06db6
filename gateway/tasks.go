package gateway

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"goji.io/pat"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/pending"
	"primrosedale.example/primrosedale/gateway/reply"
)

// The limits of the task interface.
const (
	maxTaskBody    = 64 << 10 // bytes
	commandTimeout = 10 * time.Second
	statusTimeout  = 2 * time.Second
	taskIDDigits   = 32 // hexadecimal digits of a digest
	maxPrecedence  = 9
)

// TaskBody is a task as submitters declare it: the body of POST /v1/tasks.
type TaskBody struct {
	Pool         model.PoolID `json:"pool"`
	Command      string       `json:"command"`
	MilliCPU     int64        `json:"milli_cpu"`
	MemoryMB     int64        `json:"memory_mb"`
	Accelerators int64        `json:"accelerators"`
	RunTime      float64      `json:"run_time_s"`
	MaxRun       float64      `json:"max_run_s"`
	Precedence   int          `json:"precedence"`
	Idempotent   bool         `json:"idempotent"`
}

// Bounds of the run times of a task: at most 30 days, and for max_run_s at least a
// millisecond, because a time that is rounded to zero would mean that there is no
// limit.
const (
	maxTaskSeconds = 30 * 24 * 3600
	minTaskSeconds = 0.001
)

func (b TaskBody) size() model.Resources {
	return model.Resources{MilliCPU: b.MilliCPU, MemoryMB: b.MemoryMB, Accelerators: b.Accelerators}
}

// spec validates b and converts it. The reducer checks whether the pool exists.
func (b TaskBody) spec() (fleet.TaskSpec, *problem.Problem) {
	var none fleet.TaskSpec
	switch {
	case !reply.IsIdentifier(string(b.Pool)):
		return none, problem.New(problem.BadRequest, "pool is %q, an identifier is expected", string(b.Pool))
	case b.Command == "":
		return none, problem.New(problem.BadRequest, "command is empty")
	case !b.size().Valid():
		return none, problem.New(problem.BadRequest, "milli_cpu, memory_mb or accelerators: allowed is 0 to %d", int64(model.MaxAmount))
	case b.RunTime < 0 || b.RunTime > maxTaskSeconds:
		return none, problem.New(problem.BadRequest, "run_time_s is %g, allowed is 0 to %d", b.RunTime, maxTaskSeconds)
	case b.MaxRun < minTaskSeconds || b.MaxRun > maxTaskSeconds:
		return none, problem.New(problem.BadRequest, "max_run_s is %g, allowed is %g to %d", b.MaxRun, minTaskSeconds, maxTaskSeconds)
	case b.Precedence < 0 || b.Precedence > maxPrecedence:
		return none, problem.New(problem.BadRequest, "precedence is %d, allowed is 0 to %d", b.Precedence, maxPrecedence)
	}
	return fleet.TaskSpec{
		Pool:       b.Pool,
		Command:    b.Command,
		Size:       b.size(),
		RunTime:    model.Duration(b.RunTime * float64(model.Second)),
		MaxRun:     model.Duration(b.MaxRun * float64(model.Second)),
		Precedence: b.Precedence,
		Idempotent: b.Idempotent,
	}, nil
}

// taskResponse is the answer to a submission or a cancellation.
type taskResponse struct {
	Task model.TaskID `json:"task"`
}

func (s *Server) submitTask(w http.ResponseWriter, r *http.Request) {
	team, key, p := s.submitterAndKey(r)
	if p != nil {
		s.refuseSubmission(w, r, p)
		return
	}
	var body TaskBody
	if p := reply.Decode(w, r, maxTaskBody, problem.BadRequest, &body); p != nil {
		s.refuse(w, p, "")
		return
	}
	spec, p := body.spec()
	if p != nil {
		s.refuse(w, p, "")
		return
	}
	id := submitID(team, key)
	submit := &fleet.SubmitTask{Task: taskIDOf(id), Team: team, Spec: spec}
	s.runCommand(w, r, http.StatusAccepted, submit.Task, fleet.Command{ID: id, SubmitTask: submit})
}

// refuseSubmission refuses a submission before its body is read. The body is read only
// to find the pool for which the refusal is counted.
func (s *Server) refuseSubmission(w http.ResponseWriter, r *http.Request, p *problem.Problem) {
	var body TaskBody
	if burn.CauseOfProblem(p.Kind) == burn.Refused && reply.Decode(w, r, maxTaskBody, problem.BadRequest, &body) == nil {
		s.refusals.countTask(s, r, body.Pool, p.Kind)
	}
	s.refuse(w, p, "")
}

func (s *Server) cancelTask(w http.ResponseWriter, r *http.Request) {
	team, key, p := s.submitterAndKey(r)
	if p != nil {
		s.refuse(w, p, "")
		return
	}
	task := model.TaskID(pat.Param(r, "id"))
	cancel := &fleet.CancelTask{Task: task, Team: team}
	id := cancelID(team, task, key)
	s.runCommand(w, r, http.StatusAccepted, task, fleet.Command{ID: id, CancelTask: cancel})
}

// runCommand submits a command and writes its result.
func (s *Server) runCommand(w http.ResponseWriter, r *http.Request, status int, task model.TaskID, command fleet.Command) {
	e := event.CommandSubmitted{Command: command}
	result, outcome := s.commands.Await(r.Context(), s.control, command.ID, e, commandTimeout)
	switch {
	case outcome == pending.QueueFull:
		if command.SubmitTask != nil {
			s.refusals.countTask(s, r, command.SubmitTask.Spec.Pool, problem.Overloaded)
		}
		s.refuse(w, problem.New(problem.Overloaded, ""), "")
	case outcome == pending.TimedOut:
		s.refuse(w, problem.New(problem.CommandOutcomeUnknown, "no result within %s", commandTimeout), "")
	case result.Problem != nil:
		s.refuse(w, result.Problem, "")
	default:
		if result.Task != "" {
			task = result.Task
		}
		reply.JSON(w, status, taskResponse{Task: task})
	}
}

func (s *Server) showTask(w http.ResponseWriter, r *http.Request) {
	team, p := s.submitter(r)
	if p != nil {
		s.refuse(w, p, "")
		return
	}
	query := s.queryIDs.Next()
	e := event.StatusRequested{Query: query, Task: model.TaskID(pat.Param(r, "id")), Team: team}
	answer, outcome := s.statuses.Await(r.Context(), s.control, query, e, statusTimeout)
	switch {
	case outcome != pending.Delivered:
		s.refuse(w, problem.New(problem.Overloaded, "no status within %s", statusTimeout), "")
	case answer.Task == nil:
		s.refuse(w, problem.New(problem.UnknownTask, ""), "")
	default:
		reply.JSON(w, http.StatusOK, statusOf(answer.Task))
	}
}

// submitter returns the team of the key sent with r.
func (s *Server) submitter(r *http.Request) (model.TeamID, *problem.Problem) {
	key, p := reply.BearerDigest(r)
	if p != nil {
		return "", p
	}
	v := s.control.View()
	if p := s.checkServing(v); p != nil {
		return "", p
	}
	return teamOfKey(v, key)
}

// submitterAndKey returns the team of r and its idempotency key, which is
// empty if the caller sent none.
func (s *Server) submitterAndKey(r *http.Request) (model.TeamID, string, *problem.Problem) {
	team, p := s.submitter(r)
	if p != nil {
		return "", "", p
	}
	parsed, p := parseOptions(http.Header{idempotencyKeyHeader: r.Header[idempotencyKeyHeader]})
	return team, parsed.idempotencyKey, p
}

func submitID(team model.TeamID, key string) model.CommandID {
	return commandID("task-", key, []byte(team))
}

func cancelID(team model.TeamID, task model.TaskID, key string) model.CommandID {
	return commandID("cancel-", key, []byte(team), []byte(task))
}

// commandID returns the id of a command: the same for a resend with the same
// idempotency key and scope, otherwise a new one.
func commandID(prefix, key string, scope ...[]byte) model.CommandID {
	if key == "" {
		return model.CommandID(prefix + uuid.NewString())
	}
	return model.CommandID(prefix + string(reply.Digest(append(scope, []byte(key))...)))
}

// taskIDOf derives the task id from the submission, so that a resend refers to the
// same task.
func taskIDOf(id model.CommandID) model.TaskID {
	return model.TaskID("t-" + string(reply.Digest([]byte(id)))[:taskIDDigits])
}
