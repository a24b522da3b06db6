package replay

import (
	"fmt"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
	"primrosedale.example/primrosedale/rulesfile"
)

// changeRules applies a rules change of the operators.
func (e *engine) changeRules(c *RulesChange) error {
	if c.Rules != "" {
		return e.applyRulesText(c.Rules)
	}
	next := e.rules.Clone()
	if next.DataCentres == nil {
		next.DataCentres = make(map[model.DataCentreID]rules.DataCentre)
	}
	next.DataCentres[c.Centre] = rules.DataCentre{Out: c.Out}
	e.obs.centreChanges = append(e.obs.centreChanges, centreChange{e.now, c.Centre, c.Out})
	e.applyRules(next, rulesfile.Hash(fmt.Appendf(nil, "%s %t %d", c.Centre, c.Out, e.rulesSeq)))
	return nil
}

// applyRulesText applies a rules file. It replaces the revision of the file by the
// next one after the current rules, so that a file of the examples can be used
// unchanged.
func (e *engine) applyRulesText(text string) error {
	file, err := rulesfile.Parse("trace", []byte(text))
	if err != nil {
		return errors.Annotate(err, "reading the rules of the trace")
	}
	e.applyRules(file.Rules.Clone(), file.Hash)
	return nil
}

func (e *engine) applyRules(next *rules.Rules, hash model.Digest) {
	base := e.rules.Revision
	next.Revision = base + 1
	e.rulesSeq++
	e.rules = next
	e.command(fleet.Command{ApplyRules: &fleet.ApplyRules{Base: base, Hash: hash, Rules: next}}, rulesCommandFormat, e.rulesSeq)
	e.drain()
}

// recordCommandAnswer records a change of the operators that was refused.
func (e *engine) recordCommandAnswer(f effect.AnswerCommand) {
	if f.Result.Problem != nil {
		e.obs.refusedChanges = append(e.obs.refusedChanges, fmt.Sprintf("%s: %s", f.ID, f.Result.Problem))
	}
}

// outSince returns the time since which a data centre has been out of service, or
// zero if it is in service.
func (e *engine) outSince(id model.DataCentreID) model.Time {
	if !e.rules.DataCentres[id].Out {
		return 0
	}
	for i := len(e.obs.centreChanges) - 1; i >= 0; i-- {
		if c := e.obs.centreChanges[i]; c.id == id && c.unavailable {
			return c.at
		}
	}
	return e.traceStart
}
