package consensus

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// slowElection is an election on slow disks after the leader has crashed.
type slowElection struct {
	*simulation
	voters     int
	candidates int // that the fault has met
}

// TestElectionOnSlowDisks guards against terms that rise without a leader while each write
// takes 0.3 to 3 s, and against a candidate or voter that is waited for without end.
func TestElectionOnSlowDisks(t *testing.T) {
	for _, test := range []struct {
		name  string
		lost  int                           // voters lost beside the leader
		limit model.Duration                // to the lease
		fault func(*slowElection, *simHost) // called in each step for each candidate
	}{
		{"no other fault", 0, 20 * model.Second, func(*slowElection, *simHost) {}},
		{"another voter is dead", 1, 20 * model.Second, func(e *slowElection, candidate *simHost) { e.loseOther(candidate, e.kill) }},
		{"the disk of another voter hangs", 1, 20 * model.Second, func(e *slowElection, candidate *simHost) { e.loseOther(candidate, e.hang) }},
		{"the first candidate dies", 1, 20 * model.Second, func(e *slowElection, candidate *simHost) { e.loseFirst(candidate, e.kill) }},
		{"a candidate dies whose requests are sent", 1, 20 * model.Second, func(e *slowElection, candidate *simHost) {
			if !candidate.node.awaitsDisk() {
				e.loseFirst(candidate, e.kill)
			}
		}},
		{"the disk of the first candidate hangs", 1, 20 * model.Second, func(e *slowElection, candidate *simHost) { e.loseFirst(candidate, e.hang) }},
		{"two candidates restart", 0, 30 * model.Second, (*slowElection).restartTwo},
	} {
		t.Run(test.name, func(t *testing.T) {
			const termLimit = 5
			var took []model.Duration
			var terms uint64
			for seed := range uint64(600) {
				e := newSlowElection(t, seed)
				if e.voters-1-test.lost <= e.voters/2 {
					continue
				}
				term, lostAt := e.checker.highestTerm, e.now
				leader := e.await(test.fault)
				require.NotNil(t, leader, "seed %d: no leader: %s", seed, e.describe())
				took = append(took, e.now.Sub(lostAt))
				require.LessOrEqual(t, e.now.Sub(lostAt), test.limit, "seed %d", seed)
				terms = max(terms, leader.node.term-term)
				require.LessOrEqual(t, leader.node.term-term, uint64(termLimit), "seed %d", seed)
			}
			slices.Sort(took)
			t.Logf("%d elections: median %.1f s, worst %.1f s to the lease, at most %d terms", len(took),
				took[len(took)/2].Seconds(), took[len(took)-1].Seconds(), terms)
		})
	}
}

// newSlowElection returns a cluster whose disks are slow and whose leader has crashed.
func newSlowElection(t testing.TB, seed uint64) *slowElection {
	e := &slowElection{simulation: newSimulation(t, seed)}
	e.stopFaults()
	leader := e.awaitLease()
	require.NotNil(t, leader)
	e.voters = len(leader.node.membership().voters)
	for _, h := range e.hosts {
		h.slowSync = 3 * model.Second
	}
	e.kill(leader)
	return e
}

// await runs until a node holds the lease, for at most 60 s.
func (e *slowElection) await(fault func(*slowElection, *simHost)) *simHost {
	for range 6000 {
		e.step()
		if h := e.leaseHolder(); h != nil {
			return h
		}
		for _, h := range e.hosts {
			if h.running && h.node.role == Candidate {
				fault(e, h)
			}
		}
	}
	return nil
}

func (e *slowElection) kill(h *simHost) {
	e.crash(h)
	h.restartAt = e.now.Add(model.Hour)
}

func (e *slowElection) hang(h *simHost) { h.hungDisk = true }

func (e *slowElection) loseFirst(candidate *simHost, lose func(*simHost)) {
	if e.candidates == 0 {
		lose(candidate)
	}
	e.candidates++
}

func (e *slowElection) loseOther(candidate *simHost, lose func(*simHost)) {
	e.loseFirst(candidate, func(*simHost) {
		for _, h := range e.hosts {
			if h != candidate && h.running && h.durable {
				lose(h)
				return
			}
		}
	})
}

// restartTwo crashes two candidates at random times, each before or after its write.
func (e *slowElection) restartTwo(candidate *simHost) {
	if e.candidates == 2 || !e.withProbability(0.01) {
		return
	}
	e.candidates++
	e.crash(candidate)
	candidate.restartAt = e.now.Add(e.randomDuration(model.Second))
}
