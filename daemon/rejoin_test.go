package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/platform"
)

// logBuffer collects the log of several replicas.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(p))
	return len(p), nil
}

// requireEvent waits for an event that names a host.
func (b *logBuffer) requireEvent(t *testing.T, event, field, host string) {
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return slices.ContainsFunc(b.lines, func(line string) bool {
			return strings.Contains(line, fmt.Sprintf("%q:%q", "event", event)) && strings.Contains(line, fmt.Sprintf("%q:%q", field, host))
		})
	}, 20*time.Second, 20*time.Millisecond, "no event %s of %s", event, host)
}

// startReplica starts a replica at an address of the loopback network that no other
// test uses, and returns a function that stops it.
func startReplica(t *testing.T, out *logBuffer, ip, folder string, bootstrap bool) (stop func()) {
	text := strings.NewReplacer("127.0.21.", "127.0.22.", "18645", "18646", "17600", "17640", "17615", "17655").
		Replace(fmt.Sprintf(fullDiskSettings, ip, filepath.Join(folder, "data")))
	if !bootstrap {
		text = strings.Replace(text, "bootstrap = true", "bootstrap = false", 1)
	}
	path := filepath.Join(folder, "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := platform.LoadSettings(path)
	require.NoError(t, err)
	log, err := logevent.New(logevent.Options{Out: out, Format: logevent.JSON, Level: "info"})
	require.NoError(t, err)
	d, err := NewPlatformDaemon(t.Context(), s, path, log)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		if err := d.Run(ctx, nil); err != nil {
			t.Errorf("replica %s ended: %v", ip, err)
		}
	})
	stop = sync.OnceFunc(func() {
		cancel()
		done.Wait()
	})
	t.Cleanup(stop)
	return stop
}

// Guards against a replica that stays out of the cluster because it was removed from the
// voter set, in favour of another host, while it was stopped. Its settings still say that
// the cluster is new.
func TestRemovedReplicaJoinsAgain(t *testing.T) {
	var out logBuffer
	folders := make(map[string]string)
	stops := make(map[string]func())
	for _, ip := range []string{"127.0.22.1", "127.0.22.2", "127.0.22.3"} {
		folders[ip] = t.TempDir()
		stops[ip] = startReplica(t, &out, ip, folders[ip], true)
	}
	stops["127.0.22.3"]()
	startReplica(t, &out, "127.0.22.4", t.TempDir(), false)
	out.requireEvent(t, "voters_changed", "reason", "127.0.22.1 127.0.22.2 127.0.22.4")
	startReplica(t, &out, "127.0.22.3", folders["127.0.22.3"], true)
	out.requireEvent(t, "replica_retired", "self", "127.0.22.3")
	out.requireEvent(t, "replica_replaced", "host", "127.0.22.3")
}
