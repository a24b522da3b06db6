package report

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

const day = 24 * model.Hour

var now = model.Time(20_400*day + 15*model.Hour + 20*model.Minute)

// sampleReport returns the report of a fleet over a month, with objectives that are
// missed, at risk, met and without work.
func sampleReport() *burn.Report {
	h := burn.History{Leader: burn.Leader{Host: "entry-1", Term: 4}}
	r := &rules.Rules{Revision: 41, Objectives: map[string]rules.Objective{
		"press-render":  {Team: "press", Service: "render", Good: 0.99, Window: 30 * day},
		"archive-index": {Team: "archive", Service: "index", Good: 0.95, Window: 7 * day},
		"orders-sync":   {Team: "orders", Service: "sync", Good: 0.999, Window: 30 * day},
		"press-tasks":   {Team: "press", Pool: "press", Good: 0.95, Window: 7 * day},
		"trade-render":  {Team: "trade", Service: "render", Good: 0.99, Window: day},
	}}
	event := func(before model.Duration, kind burn.EventKind, name string, count int) {
		h.AddEvent(burn.Event{At: now.Add(-before), Kind: kind, Name: name, Count: count})
	}
	event(20*day, burn.WaveBegun, "kernel-9", 0)
	event(16*day, burn.WaveEnded, "kernel-9", 0)
	event(12*day+6*model.Hour, burn.HostsLost, "west", 14)
	event(12*day+6*model.Hour, burn.CentreLost, "west", 0)
	event(12*day+5*model.Hour, burn.LeaderChanged, "entry-2", 2)
	event(12*day, burn.CentreBack, "west", 0)
	event(4*day, burn.CentreOut, "north", 0)
	event(2*day, burn.CentreIn, "north", 0)
	event(day, burn.WaveBegun, "<b>kernel-10&", 0)
	seq := uint64(0)
	for d := 30 * day; d >= 0; d -= model.Hour {
		seq++
		press := burn.Counts{Good: 1000, Late: 4, Refused: 1}
		orders := burn.Counts{Good: 200}
		switch {
		case d < 12*day+6*model.Hour && d > 12*day:
			press = burn.Counts{Good: 300, Lost: 120, Late: 900, Unknown: 30, Refused: 400}
			orders = burn.Counts{Good: 150, Unknown: 7}
		case d < 20*day && d > 16*day:
			press.Late += 12
		case d <= model.Hour:
			orders = burn.Counts{Good: 200, Failed: 2}
		}
		h.Add(&burn.Record{Time: now.Add(-d), Leader: h.Leader, Advances: []burn.Advance{
			{Process: burn.Process{Host: "entry-1", Incarnation: "1"}, From: seq - 1, To: seq},
		}, Entries: []burn.Entry{
			{Key: burn.Key{Team: "press", Service: "render"}, Counts: press},
			{Key: burn.Key{Team: "press", Pool: "press"}, Counts: burn.Counts{Good: 12, Late: uint64(d/model.Hour) % 2}},
			{Key: burn.Key{Team: "orders", Service: "sync"}, Counts: orders},
			{Key: burn.Key{Team: "archive", Service: "index"}, Counts: burn.Counts{Good: 400, Late: uint64(d/model.Hour) % 7}},
		}}, 0, burn.KeysOf(r))
	}
	source := burn.ReportInput{Now: now, Rules: r, History: h}
	return source.Report()
}

// Guards against a page that is not well-formed, that loads external resources, or that
// inserts a name of the rules without escaping. If BURN_PAGE is set, the test also
// writes the page to that path for inspection.
func TestPageIsWellFormedAndSelfContained(t *testing.T) {
	empty := &burn.ReportInput{Now: now, Rules: &rules.Rules{}}
	for _, r := range []*burn.Report{empty.Report(), sampleReport()} {
		var page bytes.Buffer
		require.NoError(t, HTML(&page, r))
		requireWellFormed(t, page.String())
		external := regexp.MustCompile(`(?i)https?:|//[a-z]|\bsrc\s*=|\bhref\s*=|url\(|@import|<script|<link|<iframe|<b>kernel`)
		require.Empty(t, external.FindAllString(page.String(), -1))
		require.NotContains(t, page.String(), "ZgotmplZ", "the template refused a value")
		if name := os.Getenv("BURN_PAGE"); name != "" {
			require.NoError(t, os.WriteFile(name, page.Bytes(), 0o600))
		}
	}
}

func requireWellFormed(t *testing.T, page string) {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(page))
	depth := 0
	for {
		token, err := d.Token()
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
		switch token.(type) {
		case xml.StartElement:
			depth++
		case xml.EndElement:
			depth--
		}
	}
	require.Zero(t, depth)
}

// Guards against a headline that contradicts the objectives below it, and against a
// table that lacks an objective or event or is not sorted worst first.
func TestHeadlineAndTable(t *testing.T) {
	r := sampleReport()
	var out bytes.Buffer
	require.NoError(t, Table(&out, r))
	text := out.String()
	require.Contains(t, text, "on time? No: 1 of 5 objectives missed.")
	require.Contains(t, text, "press-render: ")
	require.Contains(t, text, "most of the rest was late")
	require.Contains(t, text, "At risk, because the budget is burning faster than it lasts: ")
	require.Contains(t, text, "Without work in the window: trade-render.")
	require.Contains(t, text, "data centre west lost")
	require.Contains(t, text, "tasks in press")
	require.Contains(t, text, "requests to render")
	require.Less(t, strings.Index(text, "press-render  press"), strings.Index(text, "archive-index  archive"), "worst first")

	var kept []burn.ObjectiveReport
	for _, l := range r.Lines {
		if l.State != burn.Missed {
			kept = append(kept, l)
		}
	}
	r.Lines = kept
	require.Equal(t, "Yes: no objective was missed.", headline(r).Answer)
	require.Equal(t, "No objective is set.", headline(&burn.Report{}).Answer)
}

// Guards against rounding that shows a missed objective as met.
func TestPercentNeverRoundsUp(t *testing.T) {
	cases := []struct {
		fraction, objective float64
		want                string
	}{
		{0.98999, 0.99, "98.9%"}, {0.99, 0.99, "99.0%"}, {0.9989, 0.999, "99.89%"}, {0.99949, 0.9995, "99.949%"},
		{0.9995, 0.9995, "99.950%"}, {1, 0.9, "100.0%"}, {0, 0.9, "0.0%"},
	}
	for _, c := range cases {
		require.Equal(t, c.want, percent(c.fraction, c.objective), fmt.Sprint(c))
	}
}
