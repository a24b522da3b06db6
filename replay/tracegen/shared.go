package tracegen

import (
	"fmt"
	"regexp"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/replay"
)

// Parameters of the scenario shared-pool.
const (
	borrowedFrom          = 5.0   // seconds
	returnAt              = 60.0  // seconds; the other teams submit tasks from here on
	sharedLoad            = 1.6   // work of each team, as a multiple of its share of the cores
	borrowedLoad          = 1.5   // of the borrower's tasks, as a multiple of all cores
	borrowedRun           = 300.0 // mean true run time of the borrower's tasks in seconds
	borrowedLimit         = 400   // upper limit of the borrower
	borrowedSubmitSeconds = 20.0  // seconds in which the borrower's tasks are submitted
	sharedEndMargin       = 180.0 // seconds between the last submission and the end of the trace
)

// sharedPool makes one team fill all pools with long tasks. Then all other teams
// return with more work than their shares allow.
func (g *generator) sharedPool() {
	borrower := g.deployment.borrower
	g.trace.Header.Rules = dropRules(g.trace.Header.Rules, "wave.")
	limit := regexp.MustCompile(fmt.Sprintf(`(?m)^(team\.%s = .*limit = )\d+`, borrower))
	g.trace.Header.Rules = limit.ReplaceAllString(g.trace.Header.Rules, fmt.Sprintf("${1}%d", borrowedLimit))
	g.startWorkers(g.rules)
	cores := coresOf(g.rules)
	n := 0
	submit := func(team model.TeamID, pool model.PoolID, from, until, rate, run float64) {
		for at := from; ; n++ {
			if at += g.rand.ExpFloat64() / rate; at >= until {
				return
			}
			task := g.newTask(n, team, pool)
			task.NeverRuns = false
			task.Run = replay.Millis(float64(task.Run) * run / taskRun)
			task.DeclaredRun = replay.Millis(float64(task.DeclaredRun) * run / taskRun)
			task.MaxRun = seconds(20 * run)
			g.add(at, replay.Event{Task: task})
		}
	}
	for _, pool := range model.SortedKeys(cores) {
		tasks := borrowedLoad * cores[pool] / taskCores
		submit(borrower, pool, borrowedFrom, borrowedFrom+borrowedSubmitSeconds, tasks/borrowedSubmitSeconds, borrowedRun)
		for _, team := range model.SortedKeys(g.rules.Teams) {
			if team != borrower {
				rate := sharedLoad * g.rules.Teams[team].Share / 100 * cores[pool] / taskCores / taskRun
				submit(team, pool, returnAt, g.seconds-sharedEndMargin, rate, taskRun)
			}
		}
	}
}

// dropRules removes the rules whose names start with a prefix.
func dropRules(rules, prefix string) string {
	var kept []string
	for _, line := range strings.Split(rules, "\n") {
		if !strings.HasPrefix(line, prefix) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}
