package ctl

import (
	"bytes"
	"context"
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

// Guards against a replay whose failure a script cannot see: bounds that are
// left and journals that differ have an exit code of their own.
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
	run := func(args ...string) (int, []byte) {
		var out bytes.Buffer
		p := Program{Args: append([]string{"replay"}, args...), Out: &out, Err: &out, Getenv: func(string) string { return "" }}
		return p.Run(context.Background()), out.Bytes()
	}
	code, out := run(path("trace.toml"), "--expect", path("met.toml"), "--output", "json", "--record", path("journal"), "--plots", path("plots"))
	require.Equal(t, ExitOK, code, string(out))
	var result struct{ Requests int }
	require.NoError(t, json.Unmarshal(out, &result))
	require.Positive(t, result.Requests)
	plots, err := filepath.Glob(path("plots/*.svg"))
	require.NoError(t, err)
	require.Len(t, plots, 3)

	code, _ = run(path("trace.toml"), "--write", path("trace"))
	require.Equal(t, ExitOK, code)
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
		code, out := run(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
	}
}
