package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/devcluster"
)

const rulesText = `revision = %d # release desk
team.press = { share = %d, limit = 20 } # production desk
queue.proofs = { service = "render" } # editors
`

// outcome is the exit code and the output of one run of the program.
type outcome struct {
	code     int
	out, err string
}

// runProgram runs the program with these operator addresses in the environment.
func runProgram(addresses string, args ...string) outcome {
	var out, errs bytes.Buffer
	p := &Program{Args: args, Out: &out, Err: &errs, Getenv: func(string) string { return addresses }}
	code := p.Run(context.Background())
	return outcome{code, out.String(), errs.String()}
}

func writeRules(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "rules.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func writeRevision(t *testing.T, number, share int) string {
	return writeRules(t, fmt.Sprintf(rulesText, number, share))
}

// startCluster starts a cluster, waits until its leader serves and returns the
// operator addresses.
func startCluster(t *testing.T) string {
	t.Helper()
	list, err := devcluster.Layout(t.TempDir(), 3, 1)
	require.NoError(t, err)
	cluster, err := devcluster.Start(list, io.Discard, true)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop()) })
	addresses := strings.Join(cluster.OperatorAddresses(), ",")
	require.Eventually(t, func() bool {
		var s view.Status
		answer := runProgram(addresses, "status", "--output", "json")
		return answer.code == ExitOK && json.Unmarshal([]byte(answer.out), &s) == nil &&
			s.Host == s.Leader && s.Serving
	}, 20*time.Second, 50*time.Millisecond, "no leader")
	return addresses
}

// Guards against subcommands whose output or exit code differs from the operators'
// pages.
func TestCommandsOnACluster(t *testing.T) {
	a := startCluster(t)
	first, winner, loser := writeRevision(t, 1, 50), writeRevision(t, 2, 60), writeRevision(t, 2, 70)

	accepted := runProgram(a, "apply", first)
	require.Equal(t, ExitOK, accepted.code, accepted.err)
	require.Contains(t, accepted.out, "revision 1 is accepted")
	awaitRevision(t, a, first)

	differs := runProgram(a, "diff", winner)
	require.Equal(t, ExitDifferent, differs.code)
	require.Contains(t, differs.out, "{ share = 50, limit = 20 }  { share = 60, limit = 20 }")
	require.Equal(t, ExitOK, runProgram(a, "apply", winner).code)
	conflict := runProgram(a, "apply", loser)
	require.Equal(t, ExitRefused, conflict.code)
	require.Contains(t, conflict.err, "revision_conflict: the current revision is 2 with hash")
	resend := runProgram(a, "apply", winner)
	require.Equal(t, ExitOK, resend.code, "a resend of the winner")
	require.Contains(t, resend.out, "revision 2 is accepted")
	awaitRevision(t, a, winner)

	grant := runProgram(a, "key", "grant", "desk", "press")
	require.Equal(t, ExitOK, grant.code, grant.err)
	require.Len(t, strings.TrimSpace(grant.out), 43, "the key alone is on the output")
	again := runProgram(a, "key", "grant", "desk", "press")
	require.Equal(t, ExitRefused, again.code)
	require.Contains(t, again.err, "already in use")
	require.Contains(t, runProgram(a, "key", "grant", "x", "nobody").err, "unknown_team")
	require.Equal(t, ExitOK, runProgram(a, "key", "withdraw", "desk").code)
	require.Equal(t, ExitOK, runProgram(a, "key", "withdraw", "desk").code, "a resend")
	unknown := runProgram(a, "key", "withdraw", "nobody")
	require.Equal(t, ExitRefused, unknown.code)
	require.Contains(t, unknown.err, "unknown_key")

	status := runProgram(a, "status")
	require.Equal(t, ExitOK, status.code)
	require.Contains(t, status.out, "rules revision 2")
	require.Regexp(t, `press +60 +20`, status.out)
}

// awaitRevision waits until diff finds the rules of the file on every host.
func awaitRevision(t *testing.T, addresses, file string) {
	t.Helper()
	for _, address := range strings.Split(addresses, ",") {
		require.Eventually(t, func() bool {
			return runProgram(address, "diff", file).code == ExitOK
		}, 5*time.Second, 20*time.Millisecond, "host %s", address)
	}
}

// Guards against JSON output that is more than one document or lacks a documented key.
func TestJSONOutput(t *testing.T) {
	a := startCluster(t)
	file := writeRevision(t, 1, 50)
	faulty := writeRules(t, "revision = 1\nteam.press = { share = 150, limit = 20 } # desk\n")
	for _, test := range []struct {
		code int
		key  string
		args []string
	}{
		{ExitOK, "hash", []string{"check", file}},
		{ExitDifferent, "changes", []string{"diff", file}},
		{ExitOK, "revision", []string{"apply", file}},
		{ExitRefused, "error", []string{"apply", writeRevision(t, 1, 40)}},
		{ExitOK, "key", []string{"key", "grant", "desk", "press"}},
		{ExitOK, "withdrawn", []string{"key", "withdraw", "desk"}},
		{ExitOK, "entry_hosts", []string{"status"}},
		{ExitFaults, "error", []string{"check", faulty}},
	} {
		got := runProgram(a, append(test.args, "--output", "json")...)
		require.Equal(t, test.code, got.code, "%v: %s", test.args, got.out)
		var document map[string]any
		require.NoError(t, json.Unmarshal([]byte(got.out), &document), "%v: %s", test.args, got.out)
		require.Contains(t, document, test.key, "%v", test.args)
		require.Empty(t, got.err, "%v", test.args)
	}
	require.Contains(t, runProgram("", "check", faulty, "--output", "json").out, `"line": 2`)
}

// Guards against an exit code that states a change was refused or not sent although
// its outcome is unknown, as when the answer is lost.
func TestExitCodes(t *testing.T) {
	rules := writeRevision(t, 1, 50)
	faulty := writeRules(t, "revision = 1\n")
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		panic(http.ErrAbortHandler) // the request has arrived; drops its answer
	}))
	defer silent.Close()
	unknownOutcome := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusGatewayTimeout)
		fmt.Fprintf(w, `{"kind":%q,"ran":"unknown"}`, problem.CommandOutcomeUnknown)
	}))
	defer unknownOutcome.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for _, test := range []struct {
		name, address string
		code          int
		args          []string
	}{
		{"no host listens", serverAddress(closed), ExitFailed, []string{"status"}},
		{"no host listens", serverAddress(closed), ExitFailed, []string{"apply", rules}},
		{"no address", "", ExitUsage, []string{"status"}},
		{"no such file", "", ExitUsage, []string{"check", rules + ".none"}},
		{"unknown output", "", ExitUsage, []string{"check", rules, "--output", "yaml"}},
		{"half a TLS configuration", serverAddress(closed), ExitUsage, []string{"status", "--certificate", "x.pem"}},
		{"faults", "", ExitFaults, []string{"check", faulty}},
		{"the answer is lost", serverAddress(silent), ExitOutcomeUnknown, []string{"apply", rules}},
		{"the answer is lost and the next host is down", serverAddress(silent) + "," + serverAddress(closed), ExitOutcomeUnknown, []string{"apply", rules}},
		{"the outcome is unknown", serverAddress(unknownOutcome), ExitOutcomeUnknown, []string{"key", "withdraw", "desk"}},
	} {
		got := runProgram(test.address, test.args...)
		require.Equal(t, test.code, got.code, "%s: %s", test.name, got.err)
	}
	got := runProgram(serverAddress(unknownOutcome), "apply", rules)
	require.Contains(t, got.err, "waiting for a majority to accept revision 1")
	require.Contains(t, got.err, applyAdvice)
}

func serverAddress(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
