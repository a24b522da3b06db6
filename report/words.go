// Package report renders the burn report as a table for terminals and as one
// self-contained HTML page.
package report

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/model"
)

// Headline is the answer at the top of a report.
type Headline struct {
	Answer string // yes, no, or that no objective is set or no work was counted
	Detail []string
	State  burn.ObjectiveState
}

// headline returns the answer to the question whether every team's work ran on time.
func headline(r *burn.Report) Headline {
	missed := withState(r, burn.Missed)
	risk := withState(r, burn.AtRisk)
	idle := withState(r, burn.NoWork)
	h := Headline{State: burn.Met}
	switch {
	case len(r.Lines) == 0:
		return Headline{Answer: "No objective is set.", State: burn.NoWork}
	case len(idle) == len(r.Lines):
		return Headline{Answer: "No work was counted yet.", State: burn.NoWork}
	case len(missed) > 0:
		h.State = burn.Missed
		h.Answer = fmt.Sprintf("No: %d of %s missed.", len(missed), plural(len(r.Lines), "objective"))
	default:
		h.Answer = "Yes: no objective was missed."
	}
	for _, l := range missed {
		h.Detail = append(h.Detail, fmt.Sprintf("%s: %s of its work was good, %s was wanted over %s; most of the rest was %s.",
			l.Name, percent(l.Good, l.Wanted), percent(l.Wanted, l.Wanted), windowText(l.Window), causeText(l.Main)))
	}
	if len(risk) > 0 {
		h.State = worseState(h.State, burn.AtRisk)
		h.Detail = append(h.Detail, "At risk, because the budget is burning faster than it lasts: "+names(risk)+".")
	}
	if len(idle) > 0 {
		h.Detail = append(h.Detail, "Without work in the window: "+names(idle)+".")
	}
	return h
}

func withState(r *burn.Report, state burn.ObjectiveState) []burn.ObjectiveReport {
	var out []burn.ObjectiveReport
	for _, l := range worstFirst(r.Lines) {
		if l.State == state {
			out = append(out, l)
		}
	}
	return out
}

func names(lines []burn.ObjectiveReport) string {
	var out []string
	for _, l := range lines {
		out = append(out, l.Name)
	}
	return strings.Join(out, ", ")
}

var severity = map[burn.ObjectiveState]int{burn.Missed: 3, burn.AtRisk: 2, burn.Met: 1, burn.NoWork: 0}

func worseState(a, b burn.ObjectiveState) burn.ObjectiveState {
	if severity[a] >= severity[b] {
		return a
	}
	return b
}

// worstFirst returns the lines sorted by severity, and then by the budget left.
func worstFirst(lines []burn.ObjectiveReport) []burn.ObjectiveReport {
	return slices.SortedStableFunc(slices.Values(lines), func(a, b burn.ObjectiveReport) int {
		if d := severity[b.State] - severity[a.State]; d != 0 {
			return d
		}
		switch {
		case a.BudgetLeft < b.BudgetLeft:
			return -1
		case a.BudgetLeft > b.BudgetLeft:
			return 1
		}
		return 0
	})
}

var stateTexts = map[burn.ObjectiveState]string{
	burn.Met: "met", burn.AtRisk: "at risk", burn.Missed: "missed", burn.NoWork: "no work",
}

// workText describes the work that an objective covers.
func workText(k burn.Key) string {
	if k.Pool != "" {
		return "tasks in " + string(k.Pool)
	}
	return "requests to " + string(k.Service)
}

func causeText(c burn.Cause) string {
	if c == burn.Unknown {
		return "of unknown outcome"
	}
	return string(c)
}

// spentOn lists the causes that spent the budget, largest first.
func spentOn(c burn.Counts) string {
	causes := slices.SortedStableFunc(slices.Values(burn.BadCauses), func(a, b burn.Cause) int {
		return int(c.Of(b)) - int(c.Of(a))
	})
	var out []string
	for _, cause := range causes {
		if n := c.Of(cause); n > 0 {
			out = append(out, countText(n)+" "+causeText(cause))
		}
	}
	if len(out) == 0 {
		return "nothing"
	}
	return strings.Join(out, ", ")
}

// percent formats a fraction with enough digits to distinguish it from the objective
// that it is compared with: two digits of the fraction that may be bad. It truncates
// instead of rounding, so that a missed objective never appears as met.
func percent(fraction, objective float64) string {
	digits := 1
	for bad := (1 - objective) * 100; bad < 0.9 && digits < 6; bad *= 10 {
		digits++
	}
	scale := 1.0
	for range digits {
		scale *= 10
	}
	truncated := float64(int64(fraction*100*scale+1e-6)) / scale
	return fmt.Sprintf("%.*f%%", digits, truncated)
}

// budgetText formats the budget left. A negative budget is shown as the amount that was
// overspent.
func budgetText(left float64) string {
	if left < 0 {
		return fmt.Sprintf("overspent by %.0f%%", max(1, -left*100))
	}
	return fmt.Sprintf("%.0f%%", left*100)
}

// noValue is shown in place of the values of an objective without work.
const noValue = "\u2013"

// figureTexts formats the good fraction and the budget left of a line.
func figureTexts(l burn.ObjectiveReport) (good, left string) {
	if l.State == burn.NoWork {
		return noValue, noValue
	}
	return percent(l.Good, l.Wanted), budgetText(l.BudgetLeft)
}

// countText formats a number with its digits in groups of three.
func countText(n uint64) string {
	text := fmt.Sprint(n)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + " " + text[i:]
	}
	return text
}

func burnText(rate float64) string { return fmt.Sprintf("%.1f×", rate) }

func windowText(d model.Duration) string {
	hours := int(d / model.Hour)
	if hours%24 == 0 && hours > 24 {
		return fmt.Sprintf("%d days", hours/24)
	}
	return fmt.Sprintf("%d h", hours)
}

func timeText(t model.Time) string {
	if t == 0 {
		return "earlier"
	}
	return time.Unix(0, int64(t)).UTC().Format("2 Jan 15:04")
}

func fullTimeText(t model.Time) string {
	if t == 0 {
		return "never"
	}
	return time.Unix(0, int64(t)).UTC().Format("2 January 2006 15:04:05 UTC")
}

// periodText describes a period in one line.
func periodText(p burn.Period) string {
	switch p.Kind {
	case burn.PeriodWave:
		text := "wave " + p.Name
		if p.Stopped {
			text += " (stopped)"
		}
		return text
	case burn.PeriodCentreOut:
		return "data centre " + p.Name + " taken out of service"
	case burn.PeriodCentreLost:
		return "data centre " + p.Name + " lost"
	case burn.PeriodHostsLost:
		return fmt.Sprintf("%s lost in data centre %s", plural(p.Count, "host"), p.Name)
	case burn.PeriodLeader:
		return fmt.Sprintf("%s of leader, to %s", plural(p.Count, "change"), p.Name)
	}
	return string(p.Kind) + " " + p.Name
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func untilText(p burn.Period) string {
	switch {
	case p.Until == 0:
		return "still"
	case p.Until == p.From:
		return ""
	}
	return timeText(p.Until)
}

// notes explain what the figures cover.
var notes = []string{
	"A request is good if it was answered whole, was started within its patience and got no server error. Each counts once, at its end.",
	"A task is good if it finished, and its last run began within its longest run time after its submission; otherwise it is late. A task is lost or unknown if it must not run twice and its worker was lost or the system stopped it, failed if its one run failed, and refused if a host could not take it.",
	"What is the caller's or the task's own fault is not counted: refusals that say so, a task that failed on 3 workers or ran longer than it declared, and requests and tasks that their caller gave up. A task counts once, when it ends: one that still waits or will run again is not counted yet.",
	"A host that crashes loses the counts that it had not yet passed on: about the last 5 seconds, up to 20 if the leader is lost with it, and all since the last leader if there is none. The requests that it held are not counted. Ended tasks are in the replicated state and are not lost. Counts appear here after up to 20 seconds.",
	"Burn 1.0× spends the error budget exactly within the window. The plots show the budget of the work of the whole window, and how bad work has spent it.",
}
