package operator

import (
	"net/http"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/pending"
	"primrosedale.example/primrosedale/gateway/reply"
)

// showReport answers with the burn report. The control goroutine gives its
// history, which is immutable, and the report is computed here.
func (s *Server) showReport(w http.ResponseWriter, r *http.Request) {
	query := s.queries.Next()
	e := event.StatusRequested{Query: query, Burn: true}
	answer, outcome := s.statuses.Await(r.Context(), s.control, query, e, statusTimeout)
	if outcome != pending.Delivered || answer.Burn == nil {
		s.writeProblem(w, problem.New(problem.Overloaded, "no report within %s", statusTimeout))
		return
	}
	reply.JSON(w, http.StatusOK, answer.Burn.Report())
}
