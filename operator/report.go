package operator

import (
	"net/http"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/pending"
	"primrosedale.example/primrosedale/gateway/reply"
)

// showReport writes the burn report. The control goroutine returns its history, which
// is immutable, so the report can be computed here, off that goroutine.
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
