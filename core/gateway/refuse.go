package gateway

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// KeysChanged sets the keys in force and refuses the waiting requests whose key no
// longer belongs to their team.
func (t *Table) KeysChanged(now model.Time, keys map[model.Digest]model.TeamID) []effect.Effect {
	t.keys = keys
	var out []effect.Effect
	for _, id := range t.sortedIDs() {
		req := t.held[id]
		if req.phase != waiting || t.keyValid(req) {
			continue
		}
		out = append(out, t.answer(req, effect.AnswerRequest{Request: id, Problem: req.refusalProblem(keyRejectedProblem())})...)
		out = append(out, t.withdraw(now, req)...)
	}
	return out
}

// keyValid reports whether the caller's key still belongs to the request's team.
func (t *Table) keyValid(req *request) bool {
	return req.Bearer == "" || t.keys[req.Bearer] == req.Team
}

func keyRejectedProblem() *problem.Problem {
	return problem.New(problem.KeyRejected, "the key was withdrawn before the request started")
}

// withdraw tells the owner that the request will not be started any more. The end of
// the last attempt is kept until it is settled, because that attempt may still run.
func (t *Table) withdraw(now model.Time, req *request) []effect.Effect {
	req.phase = withdrawn
	return t.resend(now, req)
}

// CallerDisconnected handles the disconnect of a caller. A waiting request is
// withdrawn. A running one is completed, because its target may already be working on
// it.
func (t *Table) CallerDisconnected(now model.Time, id model.RequestID) []effect.Effect {
	req := t.held[id]
	if req == nil || req.answered {
		return nil
	}
	req.callerGone = true
	req.answered = true
	if req.phase != waiting {
		return nil
	}
	return t.withdraw(now, req)
}

// Refuse handles the owner's decision not to run a waiting request: a refusal, or the
// stored answer of an earlier run under the same claim. A request that may hold a
// claim is withdrawn as well, because only its gateway knows that it has not started.
func (t *Table) Refuse(now model.Time, r *message.Refuse) []effect.Effect {
	req := t.held[r.Request]
	if req == nil || req.phase != waiting || r.Term != t.term {
		return nil
	}
	a := effect.AnswerRequest{Request: r.Request, Answer: r.Answer}
	if r.Answer == nil {
		a.Problem = req.refusalProblem(r.Problem)
	}
	out := t.answer(req, a)
	if req.Idempotent {
		t.remove(req)
		return out
	}
	return append(out, t.withdraw(now, req)...)
}

// refusalProblem returns p, or RetriesExhausted instead if p says that the request did
// not run and an attempt may have run.
func (req *request) refusalProblem(p *problem.Problem) *problem.Problem {
	if !req.mayHaveRun || problem.Lookup(p.Kind).Ran != problem.RanNo {
		return p
	}
	return problem.New(problem.RetriesExhausted, "%d attempts were made; then %s", req.attempt, p.Kind)
}

func refusal(id model.RequestID, p *problem.Problem) []effect.Effect {
	return []effect.Effect{effect.AnswerRequest{Request: id, Problem: p}}
}
