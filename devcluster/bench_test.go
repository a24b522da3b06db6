package devcluster

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/gateway"
	"primrosedale.example/primrosedale/gateway/reply"
	"primrosedale.example/primrosedale/standin"
)

// The load of the benchmark, as specified in docs/design.md 2.7.
const (
	benchRate     = 200 // requests a second
	benchRequests = 1000
	benchBody     = 1024 // bytes
)

// BenchmarkPath compares the latency of requests through a gateway with that of direct
// requests to the same target, at 200 requests a second over persistent connections. The
// goals are ratios of at most 2 at the median and 3 at the 99th percentile.
func BenchmarkPath(b *testing.B) {
	for _, work := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
		b.Run(fmt.Sprintf("work=%s", work), func(b *testing.B) { benchmarkPath(b, work) })
	}
}

func benchmarkPath(b *testing.B, work time.Duration) {
	list := layout(b, devReplicas, devFollowers)
	c := startCluster(b, list, io.Discard, true)
	environment, key := startWork(b, c, devTargets, standin.Echo(work), devRules)
	target := environment.Targets[0]
	paths := []struct {
		name  string
		build func(i int) *http.Request
	}{
		{"leader", func(int) *http.Request { return callerRequest(c, leaderOf(b, c), key, "") }},
		{"follower", func(int) *http.Request { return callerRequest(c, len(list)-1, key, "") }},
		{"claimed", func(i int) *http.Request { return callerRequest(c, len(list)-1, key, fmt.Sprint("bench-", i)) }},
		// The direct path comes last, because the leader counts requests that it finds
		// running on a target for several seconds, and the team would reach its limit.
		{"direct", func(i int) *http.Request { return directRequest(target, i) }},
	}
	b.ResetTimer()
	var latencies []*hdrhistogram.Histogram
	for _, p := range paths {
		latencies = append(latencies, measure(b, p.build))
	}
	direct := latencies[len(latencies)-1]
	for i, p := range paths {
		for _, q := range []float64{50, 99} {
			v, base := latencies[i].ValueAtQuantile(q), direct.ValueAtQuantile(q)
			b.ReportMetric(float64(v)/1000, fmt.Sprintf("%s-p%.0f-us", p.name, q))
			b.ReportMetric(float64(v)/float64(base), fmt.Sprintf("%s-p%.0f-ratio", p.name, q))
		}
	}
}

// measure starts the requests at a fixed rate, regardless of whether earlier ones have
// been answered, and returns the latencies in nanoseconds.
func measure(b *testing.B, build func(int) *http.Request) *hdrhistogram.Histogram {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	latencies := make([]time.Duration, benchRequests)
	ticker := time.NewTicker(time.Second / benchRate)
	defer ticker.Stop()
	var running sync.WaitGroup
	for i := range benchRequests {
		req := build(i)
		<-ticker.C
		running.Go(func() { latencies[i] = call(b, client, req) })
	}
	running.Wait()
	h := hdrhistogram.New(1, int64(10*time.Second), 3)
	for _, l := range latencies {
		require.NoError(b, h.RecordValue(int64(l)))
	}
	return h
}

func call(b *testing.B, client *http.Client, req *http.Request) time.Duration {
	began := time.Now()
	resp, err := client.Do(req)
	if !assert.NoError(b, err) {
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	took := time.Since(began)
	assert.NoError(b, err)
	assert.NoError(b, resp.Body.Close())
	assert.Equal(b, http.StatusOK, resp.StatusCode, string(body))
	assert.Len(b, body, benchBody)
	return took
}

func benchPayload() io.Reader { return bytes.NewReader(bytes.Repeat([]byte{'x'}, benchBody)) }

func directRequest(t *standin.Target, i int) *http.Request {
	req, _ := http.NewRequest(http.MethodPost, "http://"+t.Address()+"/run/"+devQueue, benchPayload())
	req.Header.Set(reply.RequestIDHeader, fmt.Sprint("direct-", i))
	req.Header.Set(gateway.TeamHeader, devTeam)
	req.Header.Set(gateway.AttemptHeader, "1")
	req.Header.Set(gateway.DeadlineHeader, "30")
	req.Header.Set(gateway.IncarnationHeader, string(t.Incarnation()))
	req.Header.Set(gateway.TicketHeader, fmt.Sprint(t.Counts().Acked))
	req.Header.Set(gateway.TermHeader, fmt.Sprint(uint64(math.MaxUint64)))
	return req
}

func callerRequest(c *Cluster, host int, key, idempotencyKey string) *http.Request {
	url := fmt.Sprintf("http://%s/v1/queues/%s/requests", c.Settings[host].Listen.Callers, devQueue)
	req, _ := http.NewRequest(http.MethodPost, url, benchPayload())
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return req
}

// leaderOf returns the index of the host that leads.
func leaderOf(b *testing.B, c *Cluster) int {
	b.Helper()
	for i, d := range c.daemons {
		if v := d.View(); v.Leader == c.Settings[i].Host {
			return i
		}
	}
	b.Fatal("no host leads")
	return 0
}
