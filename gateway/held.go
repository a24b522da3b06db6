package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// heldRequest is one request whose caller waits for the answer.
type heldRequest struct {
	id          model.RequestID
	team        model.TeamID
	queue       model.QueueID
	contentType string
	traceparent string
	body        []byte

	answer   chan effect.AnswerRequest // capacity 1: a request has one answer
	attempts atomic.Int64              // attempts started

	// mu is shared by attempts and the handler. The control goroutine does not
	// take it.
	mu      sync.Mutex
	answers map[int]attemptAnswer // by attempt
}

// attemptAnswer is the complete answer that an attempt received. Only tooLarge is set
// if it exceeded the limit.
type attemptAnswer struct {
	answer   *model.Answer
	tooLarge bool
}

// setAnswer stores the answer of an attempt for the handler.
func (h *heldRequest) setAnswer(attempt int, r attemptAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.answers == nil {
		h.answers = make(map[int]attemptAnswer, 1)
	}
	h.answers[attempt] = r
}

// answerOf returns the answer of an attempt.
func (h *heldRequest) answerOf(attempt int) (attemptAnswer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.answers[attempt]
	return r, ok
}

// serveRequest holds one request of a caller until its answer is known.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := s.nextID()
	release, ok := s.reserve(r.ContentLength)
	defer release()
	if !ok {
		s.refusals.countRequest(s, r, problem.Overloaded)
		s.refuse(w, problem.New(problem.Overloaded, ""), id)
		return
	}
	h, request, p := s.admit(w, r, id)
	if p != nil {
		s.refusals.countRequest(s, r, p.Kind)
		s.refuse(w, p, id)
		return
	}
	s.requests.Store(id, h)
	defer s.requests.Delete(id)
	if !s.control.Post(event.RequestArrived{Request: request}) {
		s.refusals.countRequest(s, r, problem.Overloaded)
		s.refuse(w, problem.New(problem.Overloaded, ""), id)
		return
	}
	s.awaitAnswer(w, r, h)
}

// reserve counts one request and its body against the limits. A body without a
// declared length counts as the largest that is accepted. The caller must call release
// in either case.
func (s *Server) reserve(length int64) (release func(), ok bool) {
	if length < 0 || length > s.cfg.MaxBody {
		length = s.cfg.MaxBody
	}
	requests := s.heldCount.Add(1)
	bytes := s.heldBytes.Add(length)
	release = func() {
		s.heldCount.Add(-1)
		s.heldBytes.Add(-length)
	}
	return release, requests <= s.cfg.MaxHeldRequests && bytes <= s.cfg.MaxHeldBytes
}

// admit makes the admission checks and reads the body. The view is read again after
// the body, because a key can be withdrawn while a slow caller sends it.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, id model.RequestID) (*heldRequest, event.Request, *problem.Problem) {
	var none event.Request
	a, p := s.checkHeaders(r)
	if p != nil {
		return nil, none, p
	}
	body, p := s.readBody(w, r)
	if p != nil {
		return nil, none, p
	}
	team, p := s.teamFor(a)
	if p != nil {
		return nil, none, p
	}
	h := &heldRequest{
		id:          id,
		team:        team,
		queue:       a.queue,
		contentType: r.Header.Get("Content-Type"),
		traceparent: a.options.traceparent,
		body:        body,
		answer:      make(chan effect.AnswerRequest, 1),
	}
	return h, a.toRequest(id, team, body), nil
}

// awaitAnswer waits for the answer, the caller's disconnect or the end of the process.
// An attempt that is running continues after a disconnect.
func (s *Server) awaitAnswer(w http.ResponseWriter, r *http.Request, h *heldRequest) {
	select {
	case e := <-h.answer:
		s.writeDecision(w, h, e)
	case <-r.Context().Done():
		countAbandoned()
		s.control.PostWait(s.ctx, event.RequestAbandoned{Request: h.id})
	case <-s.ctx.Done():
		s.answerAtShutdown(w, h)
	}
}

// answerAtShutdown answers a request that is still held when the process ends. An
// attempt that starts after s.ctx has ended sends nothing, so a request without
// attempts has not run.
func (s *Server) answerAtShutdown(w http.ResponseWriter, h *heldRequest) {
	kind := problem.Stopping
	if h.attempts.Load() > 0 {
		kind = problem.OutcomeUnknown
	}
	s.refuse(w, problem.New(kind, "the host stopped"), h.id)
}
