package burn

import (
	"maps"
	"math"
	"slices"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// Windows over which burn rates are computed.
const (
	ShortWindow = 5 * model.Minute
	LongWindow  = model.Hour
)

// maxPoints is the maximum number of points of one plot.
const maxPoints = 240

// ObjectiveState states whether an objective is met.
type ObjectiveState string

// The states.
const (
	NoWork ObjectiveState = "no_work" // nothing was counted in the window
	Met    ObjectiveState = "met"
	AtRisk ObjectiveState = "at_risk" // met, but the budget is being spent faster than allowed
	Missed ObjectiveState = "missed"  // the error budget is overspent
)

// Point is the remaining budget at one time of the window.
type Point struct {
	At   model.Time `json:"at"`
	Left float64    `json:"left"` // fraction, negative when overspent
}

// ObjectiveReport is the report on one objective.
type ObjectiveReport struct {
	Name string `json:"name"`
	Key
	Wanted float64        `json:"wanted"` // fraction that the objective requires to be good
	Window model.Duration `json:"window_ns"`
	State  ObjectiveState `json:"state"`
	Counts Counts         `json:"counts"` // of the window
	Good   float64        `json:"good"`   // fraction that was good, 1 without work
	// BurnShort and BurnLong are the burn rates of the last 5 minutes and of the last
	// hour. At a rate of 1, the budget is spent exactly at the end of a window.
	BurnShort  float64    `json:"burn_5m"`
	BurnLong   float64    `json:"burn_1h"`
	BudgetLeft float64    `json:"budget_left"` // fraction, negative when overspent
	Main       Cause      `json:"main_cause,omitempty"`
	Since      model.Time `json:"since,omitempty"` // first counts in the window
	Points     []Point    `json:"points,omitempty"`
}

// Report is the report on all objectives at one time.
type Report struct {
	At       model.Time        `json:"at"`
	Recorded model.Time        `json:"recorded,omitempty"` // the last Record
	Revision uint64            `json:"revision"`           // of the rules
	OnTime   bool              `json:"on_time"`            // no objective is missed
	Lines    []ObjectiveReport `json:"objectives"`         // by name
	Periods  []Period          `json:"periods"`            // of the longest window
}

// ReportInput is the input from which a Report is computed. It is immutable.
type ReportInput struct {
	Now     model.Time // wall clock of the host that computes the report
	Rules   *rules.Rules
	History History
}

// Report computes the report. It may be called on any goroutine.
func (s *ReportInput) Report() *Report {
	// The clock of the leader may be ahead of the clock of this host.
	now := max(s.Now, s.History.Time)
	r := &Report{
		At:       now,
		Recorded: s.History.Time,
		Revision: s.Rules.Revision,
		OnTime:   true,
		Lines:    []ObjectiveReport{},
	}
	longest := LongWindow
	for _, name := range slices.Sorted(maps.Keys(s.Rules.Objectives)) {
		o := s.Rules.Objectives[name]
		line := reportObjective(name, o, s.History.SeriesOf(KeyOf(o)), now)
		r.Lines = append(r.Lines, line)
		r.OnTime = r.OnTime && line.State != Missed
		longest = max(longest, o.Window)
	}
	r.Periods = periods(s.History.Events, now.Add(-longest))
	return r
}

// reportObjective computes the report on one objective.
func reportObjective(name string, o rules.Objective, s Series, now model.Time) ObjectiveReport {
	sum := s.Sum(now, o.Window)
	l := ObjectiveReport{
		Name:       name,
		Key:        s.Key,
		Wanted:     o.Good,
		Window:     o.Window,
		Counts:     sum,
		Good:       1 - badFraction(sum),
		BurnShort:  BurnRate(s.Sum(now, ShortWindow), o.Good),
		BurnLong:   BurnRate(s.Sum(now, LongWindow), o.Good),
		BudgetLeft: BudgetLeft(sum.Bad(), sum.Total(), o.Good),
		Main:       mainCause(sum),
	}
	l.State = l.state()
	l.Points = points(s, o, now)
	if len(l.Points) > 0 {
		l.Since = l.Points[0].At
	}
	return l
}

// state returns the state of the objective. For AtRisk, the long window shows that
// the high burn rate is not a brief disturbance, and the short window that it is
// still high.
func (l *ObjectiveReport) state() ObjectiveState {
	switch {
	case l.Counts.Total() == 0:
		return NoWork
	case l.BudgetLeft < 0:
		return Missed
	case l.BurnShort > 1 && l.BurnLong > 1:
		return AtRisk
	default:
		return Met
	}
}

func badFraction(c Counts) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total())
}

// allowedBad returns the fraction of bad requests that an objective allows. It is
// never zero, even for an objective of 1, which the rules exclude.
func allowedBad(good float64) float64 { return max(1-good, 1e-9) }

// BurnRate returns how many times faster than allowed the budget is spent.
func BurnRate(c Counts, good float64) float64 { return badFraction(c) / allowedBad(good) }

// BudgetLeft returns the remaining fraction of the error budget after bad out of
// total requests: 1 without bad ones, negative when overspent.
func BudgetLeft(bad, total uint64, good float64) float64 {
	if total == 0 {
		return 1
	}
	left := 1 - float64(bad)/(float64(total)*allowedBad(good))
	// 1-good is not exact in binary: without rounding, 1 bad of 100 would
	// overspend the budget of an objective of 0.99.
	return math.Round(left*1e9) / 1e9
}

func mainCause(c Counts) Cause {
	main := NotCounted
	for _, cause := range BadCauses {
		if c.Of(cause) > c.Of(main) {
			main = cause
		}
	}
	return main
}

// points returns the remaining budget over the window. It compares the bad requests
// up to each time with the budget of all requests of the window, so that the last
// point is the budget left now and the curve falls only at times of bad work.
func points(s Series, o rules.Objective, now model.Time) []Point {
	list, width := s.buckets(now, o.Window)
	total := s.Sum(now, o.Window).Total()
	if total == 0 {
		return nil
	}
	out := []Point{{At: max(list[0].Start, now.Add(-o.Window)), Left: 1}}
	var bad uint64
	step := (len(list) + maxPoints - 1) / maxPoints
	for i, b := range list {
		bad += b.Bad()
		if (i+1)%step == 0 || i == len(list)-1 {
			out = append(out, Point{At: min(b.Start.Add(width), now), Left: BudgetLeft(bad, total, o.Good)})
		}
	}
	return out
}
