package daemon

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/devcluster/loopback"
	"primrosedale.example/primrosedale/logevent"
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

// startReplica starts a replica and returns a function that stops it.
func startReplica(t *testing.T, out *logBuffer, network *loopback.Network, host int, folder string, bootstrap bool) (stop func()) {
	log, err := logevent.New(logevent.Options{Out: out, Format: logevent.JSON, Level: "info"})
	require.NoError(t, err)
	d, ip := newReplica(t, network, host, folder, bootstrap, log)
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
	network := reserveNetwork(t)
	folders := make(map[int]string)
	stops := make(map[int]func())
	for host := 1; host <= 3; host++ {
		folders[host] = t.TempDir()
		stops[host] = startReplica(t, &out, network, host, folders[host], true)
	}
	stops[3]()
	startReplica(t, &out, network, 4, t.TempDir(), false)
	voters := strings.Join([]string{network.IP(1), network.IP(2), network.IP(4)}, " ")
	out.requireEvent(t, "voters_changed", "reason", voters)
	startReplica(t, &out, network, 3, folders[3], true)
	out.requireEvent(t, "replica_retired", "self", network.IP(3))
	out.requireEvent(t, "replica_replaced", "host", network.IP(3))
}
