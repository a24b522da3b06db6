package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// TestFailover guards against elections so slow that the loss of a leader stops the
// system for more than 3 s. Of these, 1.2 s are for the fence, in which the new leader
// waits until earlier serving leases have expired or were reported to it.
func TestFailover(t *testing.T) {
	const limit = 1800 * ms
	var worst model.Duration
	for seed := range uint64(300) {
		s := newSimulation(t, seed)
		s.stopFaults()
		leader := s.awaitLease()
		require.NotNil(t, leader)
		lostAt := s.now
		s.crash(leader)
		leader.restartAt = s.now.Add(model.Hour)
		require.NotNil(t, s.awaitLease(), "seed %d", seed)
		took := s.now.Sub(lostAt)
		require.LessOrEqual(t, took, limit, "seed %d", seed)
		worst = max(worst, took)
	}
	t.Logf("worst time from the loss of a leader to the next lease: %.2f s", worst.Seconds())
}

// awaitLease runs until a node holds the leader lease, for at most 10 s. It returns
// nil if none does.
func (s *simulation) awaitLease() *simHost {
	for range 1000 {
		s.step()
		if h := s.leaseHolder(); h != nil {
			return h
		}
	}
	return nil
}
