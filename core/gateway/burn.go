package gateway

import (
	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
)

// End is the end of one request, counted for the service-level objectives.
type End struct {
	Team  model.TeamID
	Queue model.QueueID
	Cause burn.Cause
}

// TakeEnds returns the ends since the last call. A request whose caller
// disconnected before the answer has none.
func (t *Table) TakeEnds() []End {
	ends := t.ends
	t.ends = nil
	return ends
}

// recordEnd records the end of a request that is answered with a.
func (t *Table) recordEnd(req *request, a effect.AnswerRequest) {
	cause := burn.Failed
	switch {
	case a.Problem != nil:
		cause = burn.CauseOfProblem(a.Problem.Kind)
	case a.Answer != nil:
		cause = burn.CauseOfAnswer(a.Answer.Status, false)
	case req.done != nil:
		cause = burn.CauseOfAnswer(req.done.Status, req.startedLate)
	}
	if cause != burn.NotCounted {
		t.ends = append(t.ends, End{Team: req.Team, Queue: req.Queue, Cause: cause})
	}
}
