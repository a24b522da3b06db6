package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"goji.io/pat"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/gateway/reply"
)

// bodyReadLimit bounds the time in which a caller must send its body, so that
// a slow sender does not keep one of the held places.
const bodyReadLimit = 10 * time.Second

// checkServing refuses when this host may not accept work.
func (s *Server) checkServing(v *view.View) *problem.Problem {
	if v.Stopping {
		return problem.New(problem.Stopping, "")
	}
	if !v.Serving(s.control.Now()) {
		return problem.New(problem.NoLease, "")
	}
	return nil
}

// teamOfQueue returns the team that a request is charged to. A key that is
// sent must be in force, also on an open queue.
func teamOfQueue(v *view.View, queue model.QueueID, key model.Digest) (model.TeamID, *problem.Problem) {
	if v.Rules == nil {
		return "", problem.New(problem.UnknownQueue, "no rules are in force")
	}
	q, ok := v.Rules.Queues[queue]
	if !ok {
		return "", problem.New(problem.UnknownQueue, "queue %q", string(queue))
	}
	if key == "" && q.Open {
		return q.Team, nil
	}
	return teamOfKey(v, key)
}

func teamOfKey(v *view.View, key model.Digest) (model.TeamID, *problem.Problem) {
	if key == "" {
		return "", problem.New(problem.KeyMissing, "send Authorization: Bearer and the team's key")
	}
	team, ok := v.Teams[key]
	if !ok {
		return "", problem.New(problem.KeyRejected, "")
	}
	return team, nil
}

// admission is a request that passed the checks that need no body.
type admission struct {
	queue   model.QueueID
	key     model.Digest // hash of the bearer token, or empty
	options options
}

// checkHeaders makes the checks that need no body.
func (s *Server) checkHeaders(r *http.Request) (admission, *problem.Problem) {
	a := admission{queue: model.QueueID(pat.Param(r, "queue"))}
	var p *problem.Problem
	if a.key, p = reply.BearerDigest(r); p != nil {
		return a, p
	}
	if _, p = s.teamFor(a); p != nil {
		return a, p
	}
	a.options, p = parseOptions(r.Header)
	return a, p
}

// teamFor checks the admission against the view of this moment and returns the
// team that the request is charged to. It is called before and after the body
// is read.
func (s *Server) teamFor(a admission) (model.TeamID, *problem.Problem) {
	v := s.control.View()
	if p := s.checkServing(v); p != nil {
		return "", p
	}
	return teamOfQueue(v, a.queue, a.key)
}

// readBody reads the whole body. It reads nothing of a body whose declared
// length is over the limit, and stops at the limit of one without a length.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem.Problem) {
	limit := s.cfg.MaxBody
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, problem.New(problem.BodyTooLarge, "the body has %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	connection := http.NewResponseController(w)
	connection.SetReadDeadline(time.Now().Add(bodyReadLimit)) // not supported by test recorders
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		connection.SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	return nil, problem.New(problem.BadRequest, "read body: %v", err)
}

// readAll reads r into one allocation if its length is known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	// Reading the end lets the HTTP server watch the connection for a
	// disconnect while the request is held.
	if _, err := r.Read(make([]byte, 1)); err != nil && err != io.EOF {
		return nil, err
	}
	return body, nil
}

// toRequest builds the request as the reducer sees it.
func (a admission) toRequest(id model.RequestID, team model.TeamID, body []byte) event.Request {
	request := event.Request{
		ID:         id,
		Team:       team,
		Bearer:     a.key,
		Queue:      a.queue,
		Idempotent: a.options.idempotent,
		Worth:      a.options.worth,
		Patience:   a.options.patience,
	}
	if request.Idempotent {
		return request
	}
	request.Key = reply.Digest([]byte(id))
	if a.options.idempotencyKey != "" {
		request.Key = reply.Digest([]byte(a.options.idempotencyKey))
	}
	request.Body = reply.Digest([]byte(a.queue), body)
	return request
}
