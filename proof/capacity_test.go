package proof

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/standin"
)

// measureTime is the interval over which resource use is measured.
const measureTime = 15 * time.Second

// cost is the resource use of one process.
type cost struct {
	cpu      float64 // seconds of processor time
	resident float64 // bytes
	sent     float64 // bytes to peers
	received float64 // bytes from peers
	events   float64
}

// BenchmarkCapacity measures the resource use of the control plane per role, for an
// idle system with varying numbers of hosts, targets and workers, and for a system
// under load. docs/CAPACITY.md lists the slopes.
func BenchmarkCapacity(b *testing.B) {
	for _, c := range []struct{ followers, targets, workers, rate int }{
		{2, 0, 0, 0},
		{6, 0, 0, 0},
		{2, 25, 0, 0},
		{2, 50, 0, 0},
		{2, 100, 0, 0},
		{2, 0, 50, 0},
		{2, 0, 100, 0},
		{2, 0, 200, 0},
		{2, 0, 690, 0},
		{2, 25, 0, 50},
		{2, 25, 0, 100},
		{2, 25, 0, 200},
		{6, 50, 50, 0},
	} {
		name := fmt.Sprintf("hosts=%d/targets=%d/workers=%d/rate=%d", 3+c.followers, c.targets, c.workers, c.rate)
		b.Run(name, func(b *testing.B) { benchmarkCapacity(b, c.followers, c.targets, c.workers, c.rate) })
	}
}

func benchmarkCapacity(b *testing.B, followers, targets, workers, rate int) {
	s := startSystem(b, 3, followers)
	s.prepare(0, nil)
	startTargetsAndWorkers(b, s, targets, workers)
	leader := s.leader()
	eventually(b, startLimit, "all targets are ready", func() bool { return s.readyTargets(leader) == targets })
	var st *stream
	if rate > 0 {
		count := rate * int((measureTime+10*time.Second)/time.Second)
		st = s.startLoad(load{rate: rate, count: count, hosts: s.except(leader), next: mixedRequest})
	}
	time.Sleep(2 * time.Second) // excludes the startup from the measurement
	before := s.costs(b)
	time.Sleep(measureTime)
	after := s.costs(b)
	if st != nil {
		s.tally(st.stop()).check(b)
	}
	require.Equal(b, leader, s.leader(), "the leader changed during the measurement")
	reportCost(b, "leader", before[leader:leader+1], after[leader:leader+1])
	reportCost(b, "follower", before[len(before)-followers:], after[len(after)-followers:])
}

// startTargetsAndWorkers starts targets and workers that announce themselves to all hosts.
func startTargetsAndWorkers(b *testing.B, s *system, targets, workers int) {
	var platforms []string
	for _, h := range s.hosts {
		platforms = append(platforms, h.address(platformPort))
	}
	for i := range targets {
		t, err := standin.StartTarget(standin.TargetConfig{
			ID: model.TargetID(fmt.Sprint("t", i)), Service: "render", DataCentre: centres[i%len(centres)],
			Host: model.HostID(fmt.Sprint("th", i)), Platforms: platforms,
			Work: s.ledger.record(fmt.Sprint("t", i), centres[i%len(centres)], standin.Echo(5*time.Millisecond)),
		})
		require.NoError(b, err)
		b.Cleanup(t.Stop)
	}
	for i := range workers {
		w := standin.StartWorker(standin.WorkerConfig{
			ID: model.HostID(fmt.Sprint("w", i)), DataCentre: centres[i%len(centres)],
			Rack: model.RackID(fmt.Sprint("rack", i/4)), Platforms: platforms,
		})
		b.Cleanup(w.Stop)
	}
}

// costs reads the metrics of every host.
func (s *system) costs(b *testing.B) []cost {
	list := make([]cost, len(s.hosts))
	for i, h := range s.hosts {
		m := metricsOf(b, h)
		list[i] = cost{
			m["process_cpu_seconds_total"], m["process_resident_memory_bytes"],
			m["primrosedale_peer_sent_bytes_total"], m["primrosedale_peer_received_bytes_total"],
			m["primrosedale_control_events_total"],
		}
	}
	return list
}

func metricsOf(b *testing.B, h *host) map[string]float64 {
	resp, err := http.Get("http://" + h.address(operatorPort) + "/metrics")
	require.NoError(b, err)
	defer resp.Body.Close()
	values := make(map[string]float64)
	lines := bufio.NewScanner(io.LimitReader(resp.Body, 1<<20))
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values
}

// reportCost reports the mean over the hosts of one role.
func reportCost(b *testing.B, role string, before, after []cost) {
	var sum cost
	for i := range after {
		sum.cpu += after[i].cpu - before[i].cpu
		sum.resident += after[i].resident
		sum.sent += after[i].sent - before[i].sent
		sum.received += after[i].received - before[i].received
		sum.events += after[i].events - before[i].events
	}
	n := float64(len(after))
	seconds := measureTime.Seconds()
	b.ReportMetric(100*sum.cpu/n/seconds, role+"-%core")
	b.ReportMetric(sum.resident/n/(1<<20), role+"-MB")
	b.ReportMetric(sum.sent/n/seconds, role+"-sent-B/s")
	b.ReportMetric(sum.received/n/seconds, role+"-received-B/s")
	b.ReportMetric(sum.events/n/seconds, role+"-events/s")
}
