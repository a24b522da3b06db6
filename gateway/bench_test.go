package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

const (
	benchRate = 200 // requests a second
	benchBody = 1024
)

// BenchmarkPath compares the latency of requests through the gateway with direct calls
// to the same target, on keep-alive connections and at a fixed rate. Run it with a
// fixed number of iterations: -bench Path -benchtime 1000x takes 5 s for each of the
// two.
func BenchmarkPath(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "5")
		io.WriteString(w, "proof")
	}))
	defer target.Close()
	address := target.Listener.Addr().String()
	var direct *hdrhistogram.Histogram
	b.Run("direct", func(b *testing.B) {
		direct = measure(b, target.URL+"/run/public")
	})
	b.Run("gateway", func(b *testing.B) {
		through := measure(b, newForwardingFixture(b, address).http.URL+"/v1/queues/public/requests")
		if direct == nil {
			return
		}
		b.ReportMetric(ratio(through, direct, 50), "p50/direct")
		b.ReportMetric(ratio(through, direct, 99), "p99/direct")
	})
}

func ratio(a, b *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(a.ValueAtQuantile(quantile)) / float64(b.ValueAtQuantile(quantile))
}

// measure sends b.N requests at benchRate and reports latencies in
// microseconds from the tick that started each request. A request that takes
// longer than one tick delays the next by at most one tick in the figures.
func measure(b *testing.B, url string) *hdrhistogram.Histogram {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	body := strings.Repeat("b", benchBody)
	for range 20 {
		call(b, client, url, body) // opens the connections
	}
	b.ReportAllocs()
	b.ResetTimer()
	ticker := time.NewTicker(time.Second / benchRate)
	defer ticker.Stop()
	for range b.N {
		due := <-ticker.C
		call(b, client, url, body)
		histogram.RecordValue(time.Since(due).Microseconds())
	}
	b.StopTimer()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
	return histogram
}

func call(b *testing.B, client *http.Client, url, body string) {
	response, err := client.Post(url, "text/plain", strings.NewReader(body))
	require.NoError(b, err)
	content, err := io.ReadAll(response.Body)
	response.Body.Close()
	require.NoError(b, err)
	require.Equal(b, "proof", string(content))
}
