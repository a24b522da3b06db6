package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/standin"
)

// Guards against answers that reach another caller, lost requests and runs
// over a team's limit when nothing fails.
func TestEndToEnd(t *testing.T) {
	s := startSystem(t, 3, 2)
	s.prepare(2, standin.Echo(5*time.Millisecond))
	outcomes := s.startLoad(load{rate: 250, count: 1000, hosts: s.all(), next: mixed}).wait()
	c := s.tally(outcomes)
	c.check(t)
	s.checkLimits()
	require.Equal(t, 1000, c.answered)
	runs := 0
	for _, target := range s.targets {
		for _, n := range target.Counts().Runs {
			runs += n
		}
	}
	require.Equal(t, 1000, runs, "runs by request id over all targets")
}
