package report

import (
	"fmt"
	"strings"
	"time"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/model"
)

// Dimensions of a plot in SVG units, unless stated otherwise.
const (
	plotWidth    = 900
	plotHeight   = 204
	plotLeft     = 52  // leaves room for axis labels
	plotRight    = 812 // leaves room for the label of the last value
	plotTop      = 44  // leaves room for two lines of period names
	plotBottom   = 178 // leaves room for the times
	minBandWidth = 3   // narrower bands would be invisible
	charWidth    = 6.2 // approximate width of one character
	nameTop      = 20  // baseline of the first line of names
	nameHeight   = 15
	axisMinLimit = -1 // lowest budget left that the axis can show
	markLength   = 14
	timeTicks    = 6
)

// plot is the remaining budget of one objective over its window, in the form that the
// template draws.
type plot struct {
	Width, Height, Left, Right, Top, Bottom int
	Inner                                   int // height between Top and Bottom
	MarkTop                                 int // upper end of marks
	Title                                   string
	Line                                    string // SVG path of the budget left
	Bands                                   []band
	Marks                                   []mark
	Levels                                  []label
	Times                                   []label
	Zero                                    string
	End                                     label
	Over                                    bool // the budget is overspent
}

// band is a wave or a period in which a data centre is out of service or lost.
type band struct {
	X, Width string
	Kind     burn.PeriodKind
	Name     string
	NameX    string // empty if the name would overlap an earlier one
	NameY    string
	Title    string
}

// mark is a point in time at which hosts were lost or the leader changed.
type mark struct {
	X     string
	Kind  burn.PeriodKind
	Title string
}

type label struct{ X, Y, Text string }

// scale maps times and budgets to SVG coordinates.
type scale struct {
	from, until model.Time
	axisMin     float64
}

func (s scale) x(t model.Time) float64 {
	t = min(max(t, s.from), s.until)
	return plotLeft + (plotRight-plotLeft)*float64(t-s.from)/float64(s.until-s.from)
}

func (s scale) y(left float64) float64 {
	left = max(left, s.axisMin)
	return plotTop + (plotBottom-plotTop)*(1-left)/(1-s.axisMin)
}

func formatUnits(v float64) string { return fmt.Sprintf("%.1f", v) }

// newPlot returns the plot of an objective, or nil if it has no points.
func newPlot(l burn.ObjectiveReport, r *burn.Report) *plot {
	if len(l.Points) == 0 {
		return nil
	}
	s := scale{from: r.At.Add(-l.Window), until: r.At, axisMin: max(axisMinLimit, min(-0.1, l.BudgetLeft*1.1))}
	p := &plot{
		Width: plotWidth, Height: plotHeight,
		Left: plotLeft, Right: plotRight, Top: plotTop, Bottom: plotBottom,
		Inner: plotBottom - plotTop, MarkTop: plotBottom - markLength,
		Title: fmt.Sprintf("Budget left of %s over %s", l.Name, windowText(l.Window)),
		Line:  budgetPath(l.Points, s),
		Zero:  formatUnits(s.y(0)),
		End:   label{formatUnits(plotRight + 6), formatUnits(s.y(l.BudgetLeft) + 4), fmt.Sprintf("%.0f%%", l.BudgetLeft*100)},
		Over:  l.BudgetLeft < 0,
	}
	p.addLevels(s)
	p.addTimes(s)
	p.addPeriods(s, r.Periods)
	return p
}

// budgetPath returns the SVG path of a step line, because the budget is spent in the
// bucket that ends at each point.
func budgetPath(points []burn.Point, s scale) string {
	var b strings.Builder
	fmt.Fprintf(&b, "M%s,%s", formatUnits(s.x(points[0].At)), formatUnits(s.y(points[0].Left)))
	for _, p := range points[1:] {
		fmt.Fprintf(&b, "H%sV%s", formatUnits(s.x(p.At)), formatUnits(s.y(p.Left)))
	}
	fmt.Fprintf(&b, "H%s", formatUnits(plotRight))
	return b.String()
}

func (p *plot) addLevels(s scale) {
	for _, left := range []float64{1, 0.5, 0, -0.5, -1} {
		if left >= s.axisMin {
			p.Levels = append(p.Levels, label{formatUnits(plotLeft - 6), formatUnits(s.y(left)), fmt.Sprintf("%.0f%%", left*100)})
		}
	}
}

func (p *plot) addTimes(s scale) {
	format := "15:04"
	switch window := s.until.Sub(s.from); {
	case window > 7*24*model.Hour:
		format = "2 Jan"
	case window > 24*model.Hour:
		format = "2 Jan 15:04"
	}
	for i := range timeTicks + 1 {
		at := s.from + (s.until-s.from)*model.Time(i)/timeTicks
		text := time.Unix(0, int64(at)).UTC().Format(format)
		p.Times = append(p.Times, label{formatUnits(s.x(at)), formatUnits(plotBottom + 16), text})
	}
}

// addPeriods adds the bands and marks of the window. It omits a name that would overlap
// an earlier name; the title of each band also holds the name.
func (p *plot) addPeriods(s scale, list []burn.Period) {
	free := [2]float64{plotLeft, plotLeft} // left end of the free space on each line of names
	for _, e := range list {
		until := e.Until
		if until == 0 {
			until = s.until
		}
		if until < s.from || e.From > s.until {
			continue
		}
		title := fmt.Sprintf("%s, %s %s", periodText(e), timeText(e.From), untilText(e))
		if e.Kind == burn.PeriodHostsLost || e.Kind == burn.PeriodLeader {
			p.Marks = append(p.Marks, mark{formatUnits(s.x(e.From)), e.Kind, title})
			continue
		}
		x, end := s.x(e.From), s.x(until)
		b := band{X: formatUnits(x), Width: formatUnits(max(minBandWidth, end-x)), Kind: e.Kind, Name: bandName(e), Title: title}
		nameX := min(x, plotRight-charWidth*float64(len(b.Name)))
		for i := range free {
			if nameX >= free[i] {
				b.NameX, b.NameY = formatUnits(nameX), formatUnits(nameTop+nameHeight*float64(i))
				free[i] = nameX + charWidth*float64(len(b.Name)+1)
				break
			}
		}
		p.Bands = append(p.Bands, b)
	}
}

func bandName(p burn.Period) string {
	switch p.Kind {
	case burn.PeriodCentreOut:
		return p.Name + " out"
	case burn.PeriodCentreLost:
		return p.Name + " lost"
	}
	return p.Name
}
