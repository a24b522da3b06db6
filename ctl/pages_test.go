package ctl

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
)

// errorColumns is the number of columns of the table in errors.md.
const errorColumns = 6

// Guards against differences between errors.md and the table of problem kinds.
func TestErrorsPageMatchesTable(t *testing.T) {
	text, err := os.ReadFile("../docs/operators/errors.md")
	require.NoError(t, err)
	seen := map[string]bool{}
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if len(cells) != errorColumns || !strings.HasPrefix(cells[0], "`") {
			continue
		}
		kind := strings.Trim(cells[0], "`")
		require.False(t, seen[kind], "%s twice", kind)
		seen[kind] = true
		row := problem.Lookup(problem.Kind(kind))
		internal := row.Title == problem.Lookup(problem.Internal).Title
		require.Equal(t, kind == string(problem.Internal), internal, "%s is no kind", kind)
		want := []string{cells[0], fmt.Sprint(row.Status), row.Title, yesNo(row.Retryable), string(row.Ran)}
		require.Equal(t, want, cells[:errorColumns-1])
		require.NotEmpty(t, cells[errorColumns-1], "%s: what to do", kind)
	}
	// An unknown kind has the title of an internal error, so that equal numbers
	// mean equal sets.
	require.Len(t, seen, problem.Kinds())
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Guards against a subcommand whose help has no example.
func TestEverySubcommandHasAnExample(t *testing.T) {
	parser, actions := (&Program{}).parser()
	require.Contains(t, parser.AdditionalHelpAppend, exitCodesHelp)
	for _, a := range actions {
		help := a.command.AdditionalHelpAppend
		require.Contains(t, help, "  primrosedalectl ", a.command.Name)
		require.Contains(t, help, a.command.Name+" ", a.command.Name)
		require.Contains(t, help, exitCodesHelp, a.command.Name)
	}
}
