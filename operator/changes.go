package operator

import (
	"net/http"

	"goji.io/pat"

	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/gateway/pending"
	"primrosedale.example/primrosedale/gateway/reply"
)

// Limits on the size of request bodies, in bytes.
const (
	maxRulesBody = 1 << 20
	maxKeyBody   = 4 << 10
)

// maxStatusReads bounds how often the status is read again when a change of the
// rules falls between the status and the view.
const maxStatusReads = 3

// RulesAnswer is the body of GET /v1/rules.
type RulesAnswer struct {
	Revision uint64       `json:"revision"`
	Hash     model.Digest `json:"hash"`
	Rules    *rules.Rules `json:"rules"`
}

// RulesChange is the body of POST /v1/rules. A resent request must carry the same ID,
// so that the change is made once.
type RulesChange struct {
	Base  uint64          `json:"base"` // revision that the change replaces
	Hash  model.Digest    `json:"hash"` // of the rules file's text
	Rules *rules.Rules    `json:"rules"`
	ID    model.CommandID `json:"id"`
}

// KeyGrant is the body of POST /v1/keys. A resent request must carry the same ID, so
// that the change is made once.
type KeyGrant struct {
	Name string          `json:"name"`
	Team model.TeamID    `json:"team"`
	Hash model.Digest    `json:"hash"` // of the key
	ID   model.CommandID `json:"id"`
}

// ChangeAnswer is the body of the answer to an accepted change.
type ChangeAnswer struct {
	Result fleet.Result `json:"result"`
}

// showRules writes the rules and their hash. The hash comes from the status and the
// rules from the published view, so it reads both again until their revisions agree.
func (s *Server) showRules(w http.ResponseWriter, r *http.Request) {
	for range maxStatusReads {
		status, p := s.status(r.Context())
		if p != nil {
			s.writeProblem(w, p)
			return
		}
		current := s.control.View().Rules
		if current == nil {
			reply.JSON(w, http.StatusOK, RulesAnswer{Rules: &rules.Rules{}})
			return
		}
		if current.Revision == status.Revision {
			reply.JSON(w, http.StatusOK, RulesAnswer{current.Revision, status.RulesHash, current})
			return
		}
	}
	s.writeProblem(w, problem.New(problem.Overloaded, "the rules are changing"))
}

func (s *Server) applyRules(w http.ResponseWriter, r *http.Request) {
	handleChange[RulesChange](s, w, r, maxRulesBody)
}

func (s *Server) grantKey(w http.ResponseWriter, r *http.Request) {
	handleChange[KeyGrant](s, w, r, maxKeyBody)
}

// command validates the syntax of c. The reducer checks whether the rules can be applied.
func (c RulesChange) command() (fleet.Command, *problem.Problem) {
	switch {
	case c.Rules == nil:
		return fleet.Command{}, problem.New(problem.BadRequest, "rules is missing")
	case !reply.IsDigest(string(c.Hash)):
		return fleet.Command{}, badHash(c.Hash)
	}
	apply := &fleet.ApplyRules{Base: c.Base, Hash: c.Hash, Rules: c.Rules}
	return fleet.Command{ID: c.ID, ApplyRules: apply}, nil
}

// command validates the syntax of g. The reducer checks whether the team exists.
func (g KeyGrant) command() (fleet.Command, *problem.Problem) {
	switch {
	case !reply.IsIdentifier(g.Name):
		return fleet.Command{}, problem.New(problem.BadRequest, "name is %q, an identifier is expected", g.Name)
	case !reply.IsIdentifier(string(g.Team)):
		return fleet.Command{}, problem.New(problem.BadRequest, "team is %q, an identifier is expected", string(g.Team))
	case !reply.IsDigest(string(g.Hash)):
		return fleet.Command{}, badHash(g.Hash)
	}
	grant := &fleet.GrantKey{Name: g.Name, Hash: g.Hash, Team: g.Team}
	return fleet.Command{ID: g.ID, GrantKey: grant}, nil
}

// changeBody is a request body that describes a command.
type changeBody interface {
	command() (fleet.Command, *problem.Problem)
}

// handleChange decodes a body of at most limit bytes and runs the command it describes.
func handleChange[C changeBody](s *Server, w http.ResponseWriter, r *http.Request, limit int64) {
	var body C
	if p := reply.Decode(w, r, limit, problem.BadRequest, &body); p != nil {
		s.writeProblem(w, p)
		return
	}
	command, p := body.command()
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	s.submit(w, r, command)
}

func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request) {
	s.submit(w, r, fleet.Command{
		ID:          model.CommandID(r.URL.Query().Get("id")),
		WithdrawKey: &fleet.WithdrawKey{Name: pat.Param(r, "name")},
	})
}

// submit runs a command and writes its result.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, command fleet.Command) {
	if !reply.IsIdentifier(string(command.ID)) {
		s.writeProblem(w, problem.New(problem.BadRequest, "id is %q, an identifier that a resend keeps is expected", string(command.ID)))
		return
	}
	e := event.CommandSubmitted{Command: command}
	result, outcome := s.commands.Await(r.Context(), s.control, command.ID, e, commandTimeout)
	switch {
	case outcome == pending.QueueFull:
		s.writeProblem(w, problem.New(problem.Overloaded, ""))
	case outcome == pending.TimedOut:
		s.writeProblem(w, problem.New(problem.CommandOutcomeUnknown, "no result within %s, send it again with the same id", commandTimeout))
	case result.Problem != nil:
		s.writeProblem(w, result.Problem)
	default:
		reply.JSON(w, http.StatusOK, ChangeAnswer{Result: result})
	}
}

func badHash(hash model.Digest) *problem.Problem {
	return problem.New(problem.BadRequest, "hash is %q, a lower-case hexadecimal SHA-256 is expected", string(hash))
}
