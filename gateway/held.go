package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/logevent"
)

// attemptsHeader tells the caller how many attempts were made.
const attemptsHeader = "Primrosedale-Attempts"

// held is one request that waits for its answer.
type held struct {
	id          model.RequestID
	team        model.TeamID
	queue       model.QueueID
	contentType string
	traceparent string
	body        []byte

	answer   chan effect.AnswerRequest // capacity 1: a request has one answer
	forwards atomic.Int64              // attempts begun

	// mu is shared by attempts and the handler. The control goroutine does not
	// take it.
	mu       sync.Mutex
	received map[int]received // by attempt
}

// received is the whole answer of an attempt, or the fact that it was over
// the limit.
type received struct {
	answer   *model.Answer
	tooLarge bool
}

func (h *held) keep(attempt int, r received) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.received == nil {
		h.received = make(map[int]received, 1)
	}
	h.received[attempt] = r
}

func (h *held) take(attempt int) (received, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.received[attempt]
	return r, ok
}

// serveRequest holds one request of a caller until its answer is known.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := s.nextID()
	release, ok := s.reserve(r.ContentLength)
	defer release()
	if !ok {
		s.refusals.count(s, r, problem.Overloaded)
		s.refuse(w, problem.New(problem.Overloaded, ""), id)
		return
	}
	h, request, p := s.accept(w, r, id)
	if p != nil {
		s.refusals.count(s, r, p.Kind)
		s.refuse(w, p, id)
		return
	}
	s.requests.Store(id, h)
	defer s.requests.Delete(id)
	if !s.control.Post(event.RequestArrived{Request: request}) {
		s.refusals.count(s, r, problem.Overloaded)
		s.refuse(w, problem.New(problem.Overloaded, ""), id)
		return
	}
	s.await(w, r, h)
}

// reserve takes the place and the memory of one request. A body without a
// declared length is counted with the largest that is accepted.
func (s *Server) reserve(length int64) (release func(), ok bool) {
	if length < 0 || length > s.cfg.MaxBody {
		length = s.cfg.MaxBody
	}
	requests := s.held.Add(1)
	bytes := s.heldBytes.Add(length)
	release = func() {
		s.held.Add(-1)
		s.heldBytes.Add(-length)
	}
	return release, requests <= s.cfg.MaxHeld && bytes <= s.cfg.MaxHeldBytes
}

// accept makes the admission checks. The view is read again after the body,
// because a key can be withdrawn while a slow caller sends it.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, id model.RequestID) (*held, event.Request, *problem.Problem) {
	var none event.Request
	a, p := s.admit(r)
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
	h := &held{
		id:          id,
		team:        team,
		queue:       a.queue,
		contentType: r.Header.Get("Content-Type"),
		traceparent: a.wishes.traceparent,
		body:        body,
		answer:      make(chan effect.AnswerRequest, 1),
	}
	return h, a.describe(id, team, body), nil
}

// await waits for the answer, the caller's disconnect or the process's end.
// An attempt that is running goes on after a disconnect.
func (s *Server) await(w http.ResponseWriter, r *http.Request, h *held) {
	select {
	case e := <-h.answer:
		s.finish(w, h, e)
	case <-r.Context().Done():
		countAbandoned()
		s.control.PostWait(s.ctx, event.RequestAbandoned{Request: h.id})
	case <-s.ctx.Done():
		s.giveUp(w, h)
	}
}

// giveUp answers at the end of the process. An attempt that begins after the
// end of s.ctx sends nothing, so a request without attempts has not run.
func (s *Server) giveUp(w http.ResponseWriter, h *held) {
	kind := problem.Stopping
	if h.forwards.Load() > 0 {
		kind = problem.OutcomeUnknown
	}
	s.refuse(w, problem.New(kind, "the host stopped"), h.id)
}

// finish writes the answer that the reducer chose.
func (s *Server) finish(w http.ResponseWriter, h *held, e effect.AnswerRequest) {
	header := w.Header()
	header.Set(attemptsHeader, strconv.FormatInt(h.forwards.Load(), 10))
	switch {
	case e.Problem != nil:
		s.refuse(w, e.Problem, h.id)
	case e.Answer != nil:
		s.writeAnswer(w, h.id, e.Answer)
	default:
		s.writeReceived(w, h, e.Attempt)
	}
}

func (s *Server) writeReceived(w http.ResponseWriter, h *held, attempt int) {
	r, ok := h.take(attempt)
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
	header["Content-Type"] = nil // no guess when the target sent none
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if allowsBody(answer.Status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if allowsBody(answer.Status) {
		w.Write(answer.Body) // an error means that the caller has gone
	}
}

func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func (s *Server) refuse(w http.ResponseWriter, p *problem.Problem, id model.RequestID) {
	countRefused(p.Kind)
	if p.Kind == problem.KeyRejected || p.Kind == problem.KeyMissing {
		s.keyless.Emit(s.log, logevent.KeyRejected, logevent.Str(logevent.NameKind, string(p.Kind)))
	}
	s.closeIfStopping(w)
	w.Header().Set(reply.RequestIDHeader, string(id))
	reply.Problem(w, p, id, s.control.Rand())
}

// closeIfStopping tells a caller of a stopping host not to use its connection
// again. Otherwise the end of the process closes a connection on which a
// request may be on its way, whose caller cannot know that it did not run.
func (s *Server) closeIfStopping(w http.ResponseWriter) {
	if s.control.View().Stopping {
		w.Header().Set("Connection", "close")
	}
}
