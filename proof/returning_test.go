package proof

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/announce"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/gateway"
	"primrosedale.example/primrosedale/standin"
)

// targetIncarnation is one incarnation of a target with a fixed address, which package
// standin does not offer. It counts requests that are meant for another incarnation.
type targetIncarnation struct {
	incarnation model.Incarnation
	server      *http.Server
	stopped     chan struct{}
	runs, stale atomic.Int64
}

func (s *system) startIncarnation(address string) *targetIncarnation {
	t := &targetIncarnation{incarnation: model.Incarnation(newKey()), stopped: make(chan struct{})}
	work := s.ledger.record("returning", centres[0], standin.Echo(20*time.Millisecond))
	listener, err := net.Listen("tcp", address)
	require.NoError(s.t, err)
	t.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(gateway.IncarnationHeader) != string(t.incarnation) {
			t.stale.Add(1)
			w.Header().Set(gateway.RanHeader, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		t.runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		w.Write(work(r.Context(), body).Body)
	})}
	go t.server.Serve(listener)
	go t.announce(s, address)
	s.t.Cleanup(t.stop)
	return t
}

func (t *targetIncarnation) stop() {
	if !isClosed(t.stopped) {
		close(t.stopped)
	}
	t.server.Close()
}

// announce sends announcements until the target stops. They list no running requests.
func (t *targetIncarnation) announce(s *system, address string) {
	ticker := time.NewTicker(standin.DefaultInterval)
	defer ticker.Stop()
	a := announce.TargetAnnouncement{
		Address: address, Service: "render", DataCentre: centres[0], Host: "returning-host", Slots: 8,
		Connections: 64, Incarnation: t.incarnation, State: message.TargetReady,
	}
	for !isClosed(t.stopped) {
		a.Sequence++
		body, _ := json.Marshal(a)
		host := s.hosts[a.Sequence%uint64(len(s.hosts))]
		url := "http://" + host.address(platformPort) + "/platform/v1/targets/returning"
		call, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		if response, err := http.DefaultClient.Do(call); err == nil {
			var reply announce.Reply
			if json.NewDecoder(response.Body).Decode(&reply) == nil {
				a.Acked = max(a.Acked, reply.Acked)
			}
			response.Body.Close()
		}
		select {
		case <-ticker.C:
		case <-t.stopped:
		}
	}
}

// Guards against requests meant for an earlier incarnation of a target that run on the
// next one, which listens on the same address.
func TestTargetReturnsWithItsAddress(t *testing.T) {
	t.Parallel()
	s := startTargets(t, 1, standin.Echo(20*time.Millisecond))
	address := s.hosts[0].address(firstTargetPort + 50)
	first := s.startIncarnation(address)
	st := s.startLoad(load{rate: 200, count: 1600, hosts: s.allHosts(), next: mixedRequest})
	eventually(t, startLimit, "the first incarnation works", func() bool { return first.runs.Load() > 20 })
	for range 3 {
		first.stop()
		began := time.Now()
		next := s.startIncarnation(address)
		eventually(t, startLimit, "the next incarnation works", func() bool { return next.runs.Load() > 0 })
		took, stale := time.Since(began), next.stale.Load()
		require.Less(t, took, startLimit)
		seen := len(s.ledger.times())
		eventually(t, startLimit, "work continues", func() bool { return len(s.ledger.times()) > seen+50 })
		require.Equal(t, stale, next.stale.Load(), "a request for the earlier incarnation arrived after the next one had run requests")
		t.Logf("returned at the same address: works after %s, %d requests for the earlier incarnation refused as not run", took, stale)
		first = next
	}
	s.checkOutcomes(st.stop())
}
