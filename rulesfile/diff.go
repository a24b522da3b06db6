package rulesfile

import (
	"cmp"
	"slices"

	"primrosedale.example/primrosedale/core/rules"
)

// Op says how a rule differs between two revisions.
type Op string

// The values of Op.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is one rule that differs between two revisions. From and To are its values
// in canonical form, empty where the rule is absent.
type Change struct {
	Rule string `json:"rule"`
	Op   Op     `json:"op"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns the rules that differ, sorted by name. Nil means no rules.
func Diff(from, to *rules.Rules) []Change {
	before, after := ruleValues(from), ruleValues(to)
	var changes []Change
	for rule, value := range before {
		next, ok := after[rule]
		switch {
		case !ok:
			changes = append(changes, Change{Rule: rule, Op: Removed, From: value})
		case next != value:
			changes = append(changes, Change{Rule: rule, Op: Changed, From: value, To: next})
		}
	}
	for rule, value := range after {
		if _, ok := before[rule]; !ok {
			changes = append(changes, Change{Rule: rule, Op: Added, To: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Rule, b.Rule) })
	return changes
}

func ruleValues(r *rules.Rules) map[string]string {
	values := map[string]string{}
	if r == nil {
		return values
	}
	for _, e := range entries(r) {
		values[e.rule] = e.value
	}
	return values
}
