package gateway

import (
	"net/http"

	"goji.io/pat"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/gateway/intake"
	"primrosedale.example/primrosedale/gateway/reply"
)

// checkServing returns a problem if this host may not accept new work.
func (s *Server) checkServing(v *view.View) *problem.Problem {
	if v.Stopping {
		return problem.New(problem.Stopping, "")
	}
	if !v.Serving(s.control.Now()) {
		return problem.New(problem.NoLease, "")
	}
	return nil
}

// teamOfQueue returns the team that a request is charged to. A key that is sent must
// be valid, even on an open queue.
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

// admission holds what is known of a request from its URL and headers.
type admission struct {
	queue   model.QueueID
	key     model.Digest // hash of the bearer token, or empty
	options options
}

// checkHeaders makes the admission checks that do not need the body.
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

// teamFor checks the admission against the current view and returns the team that the
// request is charged to. It is called before and after the body is read.
func (s *Server) teamFor(a admission) (model.TeamID, *problem.Problem) {
	v := s.control.View()
	if p := s.checkServing(v); p != nil {
		return "", p
	}
	return teamOfQueue(v, a.queue, a.key)
}

// readBody reads the whole body. It does not read a body whose declared length exceeds
// the limit, and stops at the limit if no length is declared.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem.Problem) {
	limit := s.cfg.MaxBody
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, problem.New(problem.BodyTooLarge, "the body has %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	body, err := intake.ReadBody(w, r, limit, intake.Callers)
	switch {
	case err == intake.ErrTooLarge:
		return nil, problem.New(problem.BodyTooLarge, "the body has more than %d bytes", limit)
	case err == intake.ErrStalled:
		return nil, problem.New(problem.BodyStalled, "")
	case err == intake.ErrOverloaded:
		return nil, problem.New(problem.Overloaded, "")
	case err != nil:
		return nil, problem.New(problem.BadRequest, "read body: %v", err)
	}
	return body, nil
}

// toRequest builds the request for the reducer.
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
