package recording_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/daemon"
	"primrosedale.example/primrosedale/devcluster"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/recording"
	"primrosedale.example/primrosedale/settings"
	"primrosedale.example/primrosedale/standin"
)

const rulesText = `revision = 1                                                       # test
team.press    = { share = 50, limit = 20 }                         # test
queue.proofs  = { service = "render", precedence = 2, max_run_s = 30 } # test
pool.press    = { hosts_min = 1, unavailable_max = 1, spare = true }   # test
`

const patience = 20 * time.Second

// process is a daemon of the test that can be stopped on its own.
type process struct {
	settings *settings.Settings
	daemon   *daemon.Daemon
	tomb     tomb.Tomb
	stop     context.CancelFunc
}

func start(t *testing.T, s *settings.Settings) *process {
	t.Helper()
	log, err := logevent.New(logevent.Options{Out: t.Output(), Format: logevent.JSON, Level: "error"})
	require.NoError(t, err)
	d, err := daemon.New(t.Context(), s, log)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{settings: s, daemon: d, stop: cancel}
	p.tomb.Go(func() error { return d.Run(&p.tomb, ctx) })
	return p
}

// send sends requests to the host until the given number were answered with status 200.
func (p *process) send(t *testing.T, key string, requests int, firstKey string) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for answered := 0; answered < requests; {
		require.True(t, time.Now().Before(deadline), "the requests were not answered in time")
		url := fmt.Sprintf("http://%s/v1/queues/proofs/requests", p.settings.Listen.Callers)
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("text"))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		if answered%2 == 0 {
			req.Header.Set("Idempotency-Key", fmt.Sprint(firstKey, answered))
		}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		if resp.StatusCode == http.StatusOK {
			answered++
		}
	}
}

// leader waits until p sees a leader in list other than the given host, and returns its
// index.
func leader(t *testing.T, p *process, list []*process, except model.HostID) int {
	t.Helper()
	found := -1
	require.Eventually(t, func() bool {
		v := p.daemon.View()
		for i, q := range list {
			if v.Leader == q.settings.Host && v.Leader != except {
				found = i
			}
		}
		return found >= 0
	}, patience, 10*time.Millisecond, "no leader was elected")
	return found
}

// Guards against decisions that depend on anything but the recorded inputs, such as the
// iteration order of a map, a clock, or a value shared with other goroutines. The
// journal of every process of a real cluster must replay to the same effects and state,
// also across a leader change and a restart.
func TestJournalsOfDaemonsReplay(t *testing.T) {
	list, err := devcluster.Layout(t.TempDir(), 3, 1)
	require.NoError(t, err)
	folder := t.TempDir()
	var processes []*process
	for i, s := range list {
		s.JournalPath = filepath.Join(folder, fmt.Sprintf("%d.journal", i))
		if s.IsReplica() {
			require.NoError(t, daemon.Init(s))
		}
		processes = append(processes, start(t, s))
	}
	environment, err := devcluster.StartEnvironment(list, 3, standin.Echo(time.Millisecond))
	require.NoError(t, err)
	key, err := (&devcluster.Cluster{Settings: list}).Prepare(context.Background(), "rules", rulesText)
	require.NoError(t, err)
	follower := processes[3]
	follower.send(t, key, 40, "before-")

	first := leader(t, follower, processes, "")
	old := processes[first]
	old.tomb.Kill(errors.New("killed by the test"))
	require.Error(t, old.tomb.Wait())
	leader(t, follower, processes, old.settings.Host)
	follower.send(t, key, 40, "after-")
	processes[first] = start(t, old.settings)
	follower.send(t, key, 10, "restarted-")

	environment.Stop()
	for _, p := range processes {
		p.stop()
		require.NoError(t, p.tomb.Wait())
	}
	for i, p := range processes {
		text, err := os.ReadFile(p.settings.JournalPath)
		require.NoError(t, err)
		report, err := recording.Verify(bytes.NewReader(text))
		require.NoError(t, err)
		require.Nil(t, report.FirstDifference, "journal of %s: %s", p.settings.Host, report.FirstDifference)
		require.Positive(t, report.States)
		require.Greater(t, report.Inputs, 50)
		t.Logf("%s: %d bytes, %+v", p.settings.Host, len(text), report)
		if i == first {
			require.Equal(t, 2, report.Runs)
		}
	}
}
