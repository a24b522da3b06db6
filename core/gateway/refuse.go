package gateway

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// KeysChanged refuses the waiting requests whose key no longer stands for their
// team. keys are the keys in force.
func (t *Table) KeysChanged(now model.Time, keys map[model.Digest]model.TeamID) []effect.Effect {
	t.keys = keys
	var out []effect.Effect
	for _, id := range t.sortedIDs() {
		h := t.held[id]
		if h.phase != waiting || t.keyHolds(h) {
			continue
		}
		out = append(out, t.answer(h, effect.AnswerRequest{Request: id, Problem: h.truthful(keyRejected())})...)
		out = append(out, t.withdraw(now, h)...)
	}
	return out
}

// keyHolds reports whether the caller's key still stands for the team.
func (t *Table) keyHolds(h *held) bool {
	return h.req.Bearer == "" || t.keys[h.req.Bearer] == h.req.Team
}

func keyRejected() *problem.Problem {
	return problem.New(problem.KeyRejected, "the key was withdrawn before the request started")
}

// withdraw ends a waiting request at the owner. The end of its last attempt
// stays known until it is settled: the attempt may still run.
func (t *Table) withdraw(now model.Time, h *held) []effect.Effect {
	h.phase = withdrawn
	return t.resend(now, h)
}

// Abandon handles the disconnect of a caller. A waiting request is withdrawn;
// a running one is completed, because its target may be in the middle of it.
func (t *Table) Abandon(now model.Time, id model.RequestID) []effect.Effect {
	h := t.held[id]
	if h == nil || h.answered {
		return nil
	}
	h.gone = true
	h.answered = true
	if h.phase != waiting {
		return nil
	}
	return t.withdraw(now, h)
}

// Refuse handles the owner's end of a waiting request: a refusal, or the
// stored answer of an earlier run of the same claim. A request that may hold a
// claim is withdrawn as well: only its gateway knows that it has not started.
func (t *Table) Refuse(now model.Time, r *message.Refuse) []effect.Effect {
	h := t.held[r.Request]
	if h == nil || h.phase != waiting || r.Term != t.term {
		return nil
	}
	a := effect.AnswerRequest{Request: r.Request, Answer: r.Answer}
	if r.Answer == nil {
		a.Problem = h.truthful(r.Problem)
	}
	out := t.answer(h, a)
	if h.req.Idempotent {
		t.remove(h)
		return out
	}
	return append(out, t.withdraw(now, h)...)
}

// truthful replaces a refusal that says "not run" when an attempt may have run.
func (h *held) truthful(p *problem.Problem) *problem.Problem {
	if !h.mayRan || problem.Lookup(p.Kind).Ran != problem.RanNo {
		return p
	}
	return problem.New(problem.RetriesExhausted, "%d attempts were made; then %s", h.attempt, p.Kind)
}

func refuse(id model.RequestID, p *problem.Problem) []effect.Effect {
	return []effect.Effect{effect.AnswerRequest{Request: id, Problem: p}}
}
