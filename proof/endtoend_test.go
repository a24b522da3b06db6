package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/standin"
)

// Guards against answers that reach the wrong caller, lost requests and runs over a
// team's limit in the absence of faults.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	t.Run("5 hosts", func(t *testing.T) { endToEnd(t, 3, 2) })
	t.Run("9 hosts", func(t *testing.T) { endToEnd(t, 5, 4) })
}

func endToEnd(t *testing.T, replicas, followers int) {
	s := startSystem(t, replicas, followers)
	s.prepare(2, standin.Echo(5*time.Millisecond))
	outcomes := s.startLoad(load{rate: 250, count: 1000, hosts: s.allHosts(), next: mixedRequest}).wait()
	c := s.checkOutcomes(outcomes)
	require.Equal(t, 1000, c.answered)
	runs := 0
	for _, target := range s.targets { // by the request ID that the targets received
		for _, n := range target.Counts().Runs {
			runs += n
		}
	}
	require.Equal(t, 1000, runs, "runs by request id over all targets")
}
