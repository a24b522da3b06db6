package daemon_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	// The daemon links every package that registers metrics.
	_ "primrosedale.example/primrosedale/daemon"
)

// Guards against a metric that the operators' page does not describe.
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/metrics.md")
	require.NoError(t, err)
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	found := 0
	for _, line := range strings.Split(out.String(), "\n") {
		name, _, _ := strings.Cut(line, " ")
		name, _, _ = strings.Cut(name, "{")
		if !strings.HasPrefix(name, "primrosedale_") {
			continue
		}
		found++
		for _, part := range []string{"_bucket", "_sum", "_count"} { // of a histogram
			name = strings.TrimSuffix(name, part)
		}
		require.Regexp(t, "\\| `"+name+"[`{]", string(page))
	}
	require.NotZero(t, found)
}
