package devcluster

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/ctl"
	"primrosedale.example/primrosedale/operator/client"
)

const (
	objectiveRule = `objective.press-render = { team = "press", service = "render", good = 0.9, window_h = 24 } # test` + "\n"
	reportTimeout = 60 * time.Second
	reportPause   = 200 * time.Millisecond
)

// failOnRequest answers with a server error if the body contains "fail", and echoes other
// bodies.
func failOnRequest(_ context.Context, body []byte) model.Answer {
	if bytes.Contains(body, []byte("fail")) {
		return model.Answer{Status: http.StatusInternalServerError}
	}
	return model.Answer{Status: http.StatusOK, Body: body}
}

func send(t *testing.T, c *Cluster, host int, key, body string, want int) {
	t.Helper()
	req := callerRequest(c, host, key, "")
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, want, resp.StatusCode, body)
}

// awaitApplied waits until every host has applied all entries that any host had applied
// at the time of the call, such as the key that Prepare granted through one of them.
func awaitApplied(t *testing.T, c *Cluster) {
	t.Helper()
	operators := client.New(c.OperatorAddresses(), nil)
	var latest uint64
	for _, s := range operators.StatusFromEach(context.Background()) {
		require.NotNil(t, s)
		latest = max(latest, s.Applied)
	}
	require.Eventually(t, func() bool {
		for _, s := range operators.StatusFromEach(context.Background()) {
			if s == nil || s.Applied < latest {
				return false
			}
		}
		return true
	}, reportTimeout, reportPause)
}

// awaitReport waits until the report of every host counts at least total requests.
func awaitReport(t *testing.T, c *Cluster, total uint64) *burn.Report {
	t.Helper()
	var report *burn.Report
	for _, address := range c.OperatorAddresses() {
		operators := client.New([]string{address}, nil)
		require.Eventually(t, func() bool {
			r, err := operators.Report(context.Background())
			if err != nil || len(r.Lines) != 1 {
				return false
			}
			report = r
			return r.Lines[0].Counts.Total() >= total
		}, reportTimeout, reportPause, address)
	}
	return report
}

// Guards against requests that are not counted, or counted twice, between several
// gateways and the report of each host, and against a report that loses them when the
// whole system restarts.
func TestReportCountsGoodAndBadWork(t *testing.T) {
	list := layout(t, devReplicas, devFollowers)
	c := startCluster(t, list, io.Discard, true)
	_, key := startWork(t, c, devTargets, failOnRequest, devRules+objectiveRule)
	awaitApplied(t, c)

	want := burn.Counts{}
	for host := range list {
		for range 4 {
			send(t, c, host, key, "good", http.StatusOK)
			want.Good++
		}
		send(t, c, host, key, "fail", http.StatusInternalServerError)
		want.Failed++
		send(t, c, host, "wrong key", "good", http.StatusForbidden)
	}
	outRule := `datacentre.west = { out = true } # test` + "\n"
	apply(t, c, strings.Replace(devRules, "revision = 1 ", "revision = 2 ", 1)+objectiveRule+outRule)

	r := awaitReport(t, c, want.Total())
	checkReport(t, r, want)
	checkCommand(t, c)

	require.NoError(t, c.Stop())
	restarted := awaitReport(t, startCluster(t, list, io.Discard, false), want.Total())
	require.Equal(t, want, restarted.Lines[0].Counts)
}

func checkReport(t *testing.T, r *burn.Report, want burn.Counts) {
	t.Helper()
	line := r.Lines[0]
	require.Equal(t, want, line.Counts)
	require.Equal(t, burn.Missed, line.State)
	require.Equal(t, burn.Failed, line.Main)
	require.InDelta(t, -1, line.BudgetLeft, 1e-9) // 2 of 10 bad, 1 of 10 allowed
	require.InDelta(t, 2, line.BurnShort, 1e-9)
	require.False(t, r.OnTime)
	var kinds []burn.PeriodKind
	for _, p := range r.Periods {
		kinds = append(kinds, p.Kind)
	}
	require.Contains(t, kinds, burn.PeriodCentreOut)
	require.Contains(t, kinds, burn.PeriodLeader)
}

// checkCommand runs primrosedalectl report and checks its output.
func checkCommand(t *testing.T, c *Cluster) {
	t.Helper()
	page := filepath.Join(t.TempDir(), "burn.html")
	var out, errs bytes.Buffer
	program := ctl.Program{
		Args: []string{"report", "--address", c.OperatorAddresses()[0], "--html", page},
		Out:  &out, Err: &errs, Getenv: os.Getenv,
	}
	require.Equal(t, ctl.ExitOK, program.Run(context.Background()), errs.String())
	require.Contains(t, out.String(), "No: 1 of 1 objective missed.")
	written, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(written), "press-render")
}
