package devcluster

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/rulesfile"
	"primrosedale.example/primrosedale/settings"
	"primrosedale.example/primrosedale/standin"
)

func layout(t testing.TB, replicas, followers int) []*settings.Settings {
	t.Helper()
	list, err := Layout(t.TempDir(), replicas, followers)
	require.NoError(t, err)
	return list
}

// startCluster starts a cluster that is stopped at the end of the test.
func startCluster(t testing.TB, list []*settings.Settings, log io.Writer, create bool) *Cluster {
	t.Helper()
	c, err := Start(list, log, create)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Stop()) })
	return c
}

// startWork starts stand-in targets for the cluster, applies the rules and returns the
// key of the team.
func startWork(t testing.TB, c *Cluster, targets int, work standin.Work, rules string) (*Environment, string) {
	t.Helper()
	environment, err := StartEnvironment(c.Settings, targets, work)
	require.NoError(t, err)
	t.Cleanup(environment.Stop)
	key, err := c.Prepare(context.Background(), devRulesName, rules)
	require.NoError(t, err)
	return environment, key
}

func apply(t testing.TB, c *Cluster, rules string) {
	t.Helper()
	file, err := rulesfile.Parse(devRulesName, []byte(rules))
	require.NoError(t, err)
	_, err = client.New(c.OperatorAddresses(), nil).Apply(context.Background(), file)
	require.NoError(t, err)
}

// safeBuffer collects the log lines of several daemons. It is safe for concurrent use.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *safeBuffer) contains(s string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.text.Bytes(), []byte(s))
}
