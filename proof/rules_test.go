package proof

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/rulesfile"
	"primrosedale.example/primrosedale/standin"
)

// limits holds the limit of each team.
var (
	teams  = []string{"press", "archive", "orders"}
	limits = map[string]int{"press": 6, "archive": 4, "orders": 5}
)

// rulesText returns the text of a rules file. The comment that each rule needs is added
// to the extra lines too.
func rulesText(revision uint64, extra ...string) string {
	lines := append([]string{
		fmt.Sprintf("revision = %d", revision),
		`team.press = { share = 50, limit = 6 }`,
		`team.archive = { share = 30, limit = 4 }`,
		`team.orders = { share = 20, limit = 5 }`,
		`queue.proofs = { service = "render", precedence = 2, max_run_s = 10 }`,
		`queue.sync = { service = "render", precedence = 5, max_run_s = 10 }`,
		`queue.public = { service = "render", open = true, team = "archive", max_run_s = 10 }`,
	}, extra...)
	return strings.Join(lines, " # proof\n") + " # proof\n"
}

func (s *system) file(revision uint64, extra ...string) *rulesfile.File {
	f, err := rulesfile.Parse("proof", []byte(rulesText(revision, extra...)))
	require.NoError(s.t, err)
	return f
}

// prepare applies revision 1, grants a key to each team and starts targets of 8 slots,
// spread over the data centres. It returns when all targets are ready.
func (s *system) prepare(targets int, work standin.Work) {
	s.t.Helper()
	ctx := context.Background()
	operators := s.operators()
	_, err := operators.Apply(ctx, s.file(1))
	require.NoError(s.t, err)
	for _, team := range teams {
		s.keys[team], err = operators.GrantKey(ctx, team, model.TeamID(team))
		require.NoError(s.t, err)
	}
	for i := range targets {
		s.addTarget(fmt.Sprintf("render-%d", i+1), centres[i%len(centres)], work)
	}
	eventually(s.t, startLimit, "all targets are ready", func() bool { return s.readyTargets(s.leader()) == targets })
}

// startTargets starts a system of five hosts and waits until its targets are ready.
func startTargets(t *testing.T, targets int, work standin.Work) *system {
	t.Helper()
	s := startSystem(t, 3, 2)
	s.prepare(targets, work)
	return s
}

// checkOutcomes checks the outcomes of requests and the limits of the teams.
func (s *system) checkOutcomes(outcomes []outcome) tally {
	s.t.Helper()
	c := s.tally(outcomes)
	c.check(s.t)
	s.checkLimits()
	return c
}

// checkLimits fails the test if a team ever had more concurrent runs than its limit.
func (s *system) checkLimits() {
	s.t.Helper()
	_, maxRunning := s.ledger.counts()
	s.t.Logf("most concurrent runs %v, limits %v", maxRunning, limits)
	for team, limit := range limits {
		require.LessOrEqual(s.t, maxRunning[team], limit, team)
	}
}

// mixedRequest returns requests of every team and queue, idempotent and not.
func mixedRequest(i int) request {
	r := request{key: newKey(), team: teams[i%len(teams)], queue: "proofs", nonIdempotent: i%2 == 1, size: i % 4096}
	switch i % 5 {
	case 3:
		r.queue = "sync"
	case 4:
		r.queue, r.team = "public", "archive"
	}
	return r
}
