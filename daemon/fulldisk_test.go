package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/devcluster/loopback"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/platform"
	"primrosedale.example/primrosedale/storage"
)

// fillableStore is a data folder whose disk is full while full is set.
type fillableStore struct {
	logStore
	full         atomic.Bool
	pendingBatch *storage.Batch // refused because the disk was full, not written yet
}

func (s *fillableStore) Write(b storage.Batch) error {
	if s.full.Load() {
		s.pendingBatch = &b
		return storage.ErrNoSpace
	}
	return s.logStore.Write(b)
}

func (s *fillableStore) Resume() error {
	switch {
	case s.full.Load():
		return storage.ErrNoSpace
	case s.pendingBatch != nil:
		b := *s.pendingBatch
		s.pendingBatch = nil
		return s.logStore.Write(b)
	}
	return s.logStore.Resume()
}

const replicaSettings = `node = "n-%[1]s"
ip = "%[1]s"
zone = "west"
internalPorts = [17600,17615]
seeds = [%[3]s]
bootstrap = %[4]t
dataDir = %[2]q
[listen]
control = "%[1]s:18645"
[cloud]
address = "%[5]s:1"
[bounds]
holdMaxMs = 6000
stopGraceMs = 900
status_s = 120
graceS = 6
maintenanceS = 2
migrateS = 1.5
`

// reserveNetwork returns a network of loopback addresses that no other test uses meanwhile.
func reserveNetwork(t *testing.T) *loopback.Network {
	network, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, network.Release()) })
	return network
}

// newReplica returns a replica that does not run yet, and its address. The first three
// hosts of the network are the seeds, and nothing listens at the owner of the hosts.
func newReplica(t *testing.T, network *loopback.Network, host int, folder string, bootstrap bool, log logevent.Logger) (*PlatformDaemon, string) {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf(`"%s:18645"`, network.IP(i+1)))
	}
	ip := network.IP(host)
	path := filepath.Join(folder, "settings.toml")
	text := fmt.Appendf(nil, replicaSettings, ip, filepath.Join(folder, "data"), strings.Join(seeds, ","), bootstrap, network.IP(9))
	require.NoError(t, os.WriteFile(path, text, 0o600))
	s, err := platform.LoadSettings(path)
	require.NoError(t, err)
	d, err := NewPlatformDaemon(t.Context(), s, path, log)
	require.NoError(t, err)
	return d, ip
}

// fullDiskReplica starts a replica whose disk the test can make full.
func fullDiskReplica(t *testing.T, network *loopback.Network, host int) *fillableStore {
	d, ip := newReplica(t, network, host, t.TempDir(), true, logevent.Logger{})
	store := &fillableStore{logStore: d.writer.store}
	d.writer.store = store
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		if err := d.Run(ctx, nil); err != nil {
			t.Errorf("replica %s ended: %v", ip, err)
		}
	})
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return store
}

// changeEvacuation takes the data centre out of service or puts it back. It asks one
// replica after the other, starting with the given one, until the change is
// acknowledged, and returns how long that took.
func changeEvacuation(t *testing.T, network *loopback.Network, out bool, first int) time.Duration {
	method := http.MethodDelete
	if out {
		method = http.MethodPost
	}
	client := http.Client{Timeout: time.Second}
	began := time.Now()
	for i := first; time.Since(began) < 20*time.Second; i++ {
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:18645/v1/evacuation/west", network.IP(i%3+1)), nil)
		require.NoError(t, err)
		if answer, err := client.Do(request); err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return time.Since(began)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.FailNow(t, "no replica acknowledges the change")
	return 0
}

// Guards against changes that are refused or not answered after the disk of each
// replica has been full in turn while all processes kept running.
func TestFullDisksOneAfterAnother(t *testing.T) {
	const ackTime = 5 * time.Second
	network := reserveNetwork(t)
	var stores []*fillableStore
	for i := range 3 {
		stores = append(stores, fullDiskReplica(t, network, i+1))
	}
	changeEvacuation(t, network, true, 0) // waits until the cluster has formed
	changes := 0
	acknowledged := func(first int) {
		changes++
		require.Less(t, changeEvacuation(t, network, changes%2 == 0, first), ackTime, "change %d", changes)
	}
	for range 2 {
		for i, store := range stores {
			store.full.Store(true)
			for began := time.Now(); time.Since(began) < 3*time.Second; {
				acknowledged(i + 1)
				time.Sleep(100 * time.Millisecond)
			}
			store.full.Store(false)
			for first := range stores {
				acknowledged(first)
			}
		}
	}
}
