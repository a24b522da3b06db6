package gateway

import (
	"net/http"
	"strconv"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
)

// attemptsHeader tells the caller how many attempts were made.
const attemptsHeader = "Primrosedale-Attempts"

// writeDecision writes the answer or refusal that the reducer decided on.
func (s *Server) writeDecision(w http.ResponseWriter, h *heldRequest, e effect.AnswerRequest) {
	header := w.Header()
	header.Set(attemptsHeader, strconv.FormatInt(h.attempts.Load(), 10))
	switch {
	case e.Problem != nil:
		s.refuse(w, e.Problem, h.id)
	case e.Answer != nil:
		s.writeAnswer(w, h.id, e.Answer)
	default:
		s.writeTargetAnswer(w, h, e.Attempt)
	}
}

func (s *Server) writeTargetAnswer(w http.ResponseWriter, h *heldRequest, attempt int) {
	r, ok := h.answerOf(attempt)
	switch {
	case !ok:
		s.refuse(w, problem.New(problem.Internal, "attempt %d has no answer", attempt), h.id)
	case r.tooLarge:
		s.refuse(w, problem.New(problem.AnswerTooLarge, "at most %d bytes are passed on", s.cfg.MaxAnswer), h.id)
	default:
		s.writeAnswer(w, h.id, r.answer)
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, id model.RequestID, answer *model.Answer) {
	countAnswered()
	s.closeIfStopping(w)
	header := w.Header()
	header.Set(reply.RequestIDHeader, string(id))
	header["Content-Type"] = nil // keeps net/http from guessing one if the target sent none
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if allowsBody(answer.Status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if allowsBody(answer.Status) {
		w.Write(answer.Body) // an error means that the caller has disconnected
	}
}

func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func (s *Server) refuse(w http.ResponseWriter, p *problem.Problem, id model.RequestID) {
	countRefused(p.Kind)
	if p.Kind == problem.KeyRejected || p.Kind == problem.KeyMissing {
		s.keyRefusalLog.Emit(s.log, logevent.KeyRejected, logevent.Str(logevent.NameKind, string(p.Kind)))
	}
	s.closeIfStopping(w)
	w.Header().Set(reply.RequestIDHeader, string(id))
	reply.Problem(w, p, id, s.control.Rand())
}

// closeIfStopping makes each answer of a stopping host the last on its connection.
// Otherwise the process could exit while another request is in flight on the
// connection, and its caller could not tell that the request did not run.
func (s *Server) closeIfStopping(w http.ResponseWriter) {
	if s.control.View().Stopping {
		w.Header().Set("Connection", "close")
	}
}
