package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"primrosedale.example/primrosedale/core/burn"
)

// Table writes the report as text for a terminal. It returns the error of out.
func Table(out io.Writer, r *burn.Report) error {
	h := headline(r)
	fmt.Fprintf(out, "Every team's work on time? %s\n", h.Answer)
	for _, d := range h.Detail {
		fmt.Fprintf(out, "  %s\n", d)
	}
	fmt.Fprintf(out, "At %s, last counts %s, rules revision %d.\n", fullTimeText(r.At), fullTimeText(r.Recorded), r.Revision)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	writeObjectives(w, r)
	writePeriods(w, r)
	if err := w.Flush(); err != nil {
		return err
	}
	for i, n := range notes {
		if i == 0 {
			fmt.Fprintln(out)
		}
		if _, err := fmt.Fprintln(out, n); err != nil {
			return err
		}
	}
	return nil
}

func writeObjectives(w io.Writer, r *burn.Report) {
	if len(r.Lines) == 0 {
		return
	}
	fmt.Fprintln(w, "\nOBJECTIVE\tTEAM\tWORK\tSTATE\tWANTED\tGOOD\tENDED\tBUDGET LEFT\tBURN 5 MIN\tBURN 1 H\tWINDOW\tSPENT ON")
	for _, l := range worstFirst(r.Lines) {
		good, left := figureTexts(l)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			l.Name, l.Team, workText(l.Key), stateTexts[l.State], percent(l.Wanted, l.Wanted), good,
			countText(l.Counts.Total()), left, burnText(l.BurnShort), burnText(l.BurnLong),
			windowText(l.Window), spentOn(l.Counts))
	}
}

func writePeriods(w io.Writer, r *burn.Report) {
	if len(r.Periods) == 0 {
		return
	}
	fmt.Fprintln(w, "\nFROM\tUNTIL\tWHAT HAPPENED")
	for _, p := range r.Periods {
		fmt.Fprintf(w, "%s\t%s\t%s\n", timeText(p.From), untilText(p), periodText(p))
	}
}
