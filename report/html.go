package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"primrosedale.example/primrosedale/core/burn"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"time": timeText, "period": periodText, "until": untilText,
}).Parse(pageText))

// page is the data of the page template.
type page struct {
	Headline Headline
	At       string
	Recorded string
	Revision uint64
	Rows     []row
	Periods  []burn.Period // newest first
	Notes    []string
}

// row is one objective with its values as text.
type row struct {
	Name, Team, Work    string
	State               burn.ObjectiveState
	StateText           string
	Wanted, Good        string
	Ended               string
	BudgetLeft          string
	Filled              string // filled part of the budget bar in percent; empty without work
	BurnShort, BurnLong string
	HotShort, HotLong   bool // burn rate above 1
	Window              string
	SpentOn             string // causes that spent the budget, largest first
	Plot                *plot  // nil without work
}

// HTML writes the report as one self-contained page without external references. It
// returns the error of out.
func HTML(out io.Writer, r *burn.Report) error {
	p := page{
		Headline: headline(r),
		At:       fullTimeText(r.At),
		Recorded: fullTimeText(r.Recorded),
		Revision: r.Revision,
		Notes:    notes,
	}
	for _, l := range worstFirst(r.Lines) {
		p.Rows = append(p.Rows, newRow(l, r))
	}
	for i := len(r.Periods) - 1; i >= 0; i-- {
		p.Periods = append(p.Periods, r.Periods[i])
	}
	return pageTemplate.Execute(out, p)
}

func newRow(l burn.ObjectiveReport, r *burn.Report) row {
	good, left := figureTexts(l)
	out := row{
		Name: l.Name, Team: string(l.Team), Work: workText(l.Key),
		State: l.State, StateText: stateTexts[l.State],
		Wanted: percent(l.Wanted, l.Wanted), Good: good,
		Ended:      countText(l.Counts.Total()),
		BudgetLeft: left,
		Filled:     fmt.Sprintf("%.0f", 100*min(1, max(0, l.BudgetLeft))),
		BurnShort:  burnText(l.BurnShort), BurnLong: burnText(l.BurnLong),
		HotShort: l.BurnShort > 1, HotLong: l.BurnLong > 1,
		Window:  windowText(l.Window),
		SpentOn: spentOn(l.Counts),
		Plot:    newPlot(l, r),
	}
	if l.State == burn.NoWork {
		out.Filled = ""
	}
	return out
}
