package replay

import (
	"fmt"
	"slices"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"primrosedale.example/primrosedale/core/model"
)

// Outcomes are the bounds that the result of a replay must meet. Invariants that are
// not named must not be violated at all.
type Outcomes struct {
	Measure   map[string]Bound `toml:"measure"`
	Invariant map[string]int   `toml:"invariant"` // largest number of violations
}

// Bound is the range of values allowed for a measure.
type Bound struct {
	Min *float64 `toml:"min"`
	Max *float64 `toml:"max"`
}

// Verdict is the outcome of the check of one measure or invariant.
type Verdict struct {
	Name    string `json:"name"`
	Allowed string `json:"allowed"`
	OK      bool   `json:"ok"`
}

// ParseOutcomes parses an outcomes file.
func ParseOutcomes(text []byte) (*Outcomes, error) {
	o := &Outcomes{}
	err := toml.Unmarshal(text, o)
	return o, errors.Annotate(err, "reading the outcomes")
}

// Check compares a result with the bounds. It returns an error for a name
// that the result does not have.
func (o *Outcomes) Check(r *Result) ([]Verdict, error) {
	var list []Verdict
	for _, name := range model.SortedKeys(o.Measure) {
		m, known := r.Measure(name)
		if !known {
			return nil, errors.NotFoundf("measure %q of the outcomes", name)
		}
		b := o.Measure[name]
		ok := m.NotMeasured == "" && (b.Min == nil || m.Value >= *b.Min) && (b.Max == nil || m.Value <= *b.Max)
		list = append(list, Verdict{name, b.String(), ok})
	}
	for _, name := range model.SortedKeys(o.Invariant) {
		if !slices.ContainsFunc(r.Invariants, func(c InvariantCount) bool { return c.Name == name }) {
			return nil, errors.NotFoundf("invariant %q of the outcomes", name)
		}
	}
	for _, c := range r.Invariants {
		list = append(list, Verdict{c.Name, fmt.Sprintf("at most %d", o.Invariant[c.Name]), c.Count <= o.Invariant[c.Name]})
	}
	return list, nil
}

func (b Bound) String() string {
	switch {
	case b.Min != nil && b.Max != nil:
		return fmt.Sprintf("%g to %g", *b.Min, *b.Max)
	case b.Min != nil:
		return fmt.Sprintf("at least %g", *b.Min)
	case b.Max != nil:
		return fmt.Sprintf("at most %g", *b.Max)
	default:
		return "anything"
	}
}
