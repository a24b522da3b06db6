package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const shortTrace = `deployment = "vakoas"
scenario = "full"
seed = 1
seconds = 4
rules = "rules.toml"
`

// Guards against a replay whose failure a script cannot detect: values outside the
// bounds and journals that differ have an exit code of their own.
func TestReplay(t *testing.T) {
	folder := t.TempDir()
	path := func(name string) string { return filepath.Join(folder, name) }
	rules, err := os.ReadFile("../examples/vakoas/rules.toml")
	require.NoError(t, err)
	for name, text := range map[string]string{
		"rules.toml": string(rules), "trace.toml": shortTrace, "other.txt": "none of these",
		"met.toml":     "[measure]\nlateness = { max = 1 }\n",
		"missed.toml":  "[measure]\nlateness = { max = -1 }\n",
		"unknown.toml": "[measure]\nlatenes = { max = 1 }\n",
	} {
		require.NoError(t, os.WriteFile(path(name), []byte(text), 0o600))
	}
	run := func(args ...string) outcome { return runProgram("", append([]string{"replay"}, args...)...) }
	got := run(path("trace.toml"), "--expect", path("met.toml"), "--output", "json", "--record", path("journal"), "--plots", path("plots"))
	require.Equal(t, ExitOK, got.code, got.out)
	require.Empty(t, got.err, "the JSON document is all that is written")
	var result struct{ Requests int }
	require.NoError(t, json.Unmarshal([]byte(got.out), &result))
	require.Positive(t, result.Requests)
	plots, err := filepath.Glob(path("plots/*.svg"))
	require.NoError(t, err)
	require.Len(t, plots, 3)

	require.Equal(t, ExitOK, run(path("trace.toml"), "--write", path("trace")).code)
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{path("trace"), "--policy", "static"}, ExitOK},
		{[]string{path("journal")}, ExitOK},
		{[]string{path("trace"), "--expect", path("missed.toml")}, ExitDifferent},
		{[]string{path("trace"), "--expect", path("unknown.toml")}, ExitFaults},
		{[]string{path("trace"), "--policy", "none"}, ExitUsage},
		{[]string{path("other.txt")}, ExitUsage},
		{[]string{path("absent")}, ExitUsage},
	} {
		got := run(c.args...)
		require.Equal(t, c.code, got.code, "%v: %s%s", c.args, got.out, got.err)
	}
}
