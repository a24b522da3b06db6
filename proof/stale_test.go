package proof

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/standin"
)

// staleLimit is the sum of the leader lease, 0.72 s, and a serving lease granted just
// before it expires, 1 s, with some time for the status request.
const staleLimit = 2 * time.Second

// Guards against a leader that accepts changes or grants leases after the other hosts
// have elected a new one. A partition in one direction is the hard case: the leader
// either receives all messages but cannot send, or sends but receives nothing.
func TestStaleLeader(t *testing.T) {
	cuts := map[string]func(*system, int){
		"receives but cannot send":   func(s *system, i int) { s.eachLinkFrom(i, (*link).block) },
		"sends but receives nothing": func(s *system, i int) { s.eachLinkTo(i, (*link).block) },
		"cut off":                    func(s *system, i int) { s.isolate(i) },
	}
	eachFault(t, cuts, staleLeader)
}

func staleLeader(t *testing.T, cut func(*system, int)) {
	s := startTargets(t, 3, standin.Echo(5*time.Millisecond))
	stale := s.leader()
	rest := s.except(stale)
	st := s.startLoad(load{rate: 100, count: 700, hosts: s.allHosts(), next: mixedRequest})
	began := time.Now()
	cut(s, stale)
	var served time.Duration
	var watched sync.WaitGroup
	watched.Go(func() {
		for served = 0; served < startLimit && s.hosts[stale].serving(); served = time.Since(began) {
			time.Sleep(pollPause)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
	defer cancel()
	own := s.markedFile(2, "stale")
	answer := make(chan error, 1)
	go func() {
		_, err := s.operators(stale).Apply(ctx, own)
		answer <- err
	}()
	next := s.markedFile(2, "next")
	_, err := s.operators(rest...).Apply(context.Background(), next)
	accepted := time.Since(began)
	if err != nil {
		// The entry of the stale leader reached its successor, which committed it. The
		// change is accepted although its operator got no answer.
		require.ErrorContains(t, err, string(own.Hash))
		next = s.markedFile(3, "next")
		s.apply(next, rest...)
	}
	watched.Wait()
	require.Less(t, served, staleLimit, "the stale leader serves")
	r := mixedRequest(0)
	refused := s.send(stale, r)
	require.Contains(t, []problem.Kind{problem.NoLease, problem.NoLeader}, refused.kind, "%+v", refused)
	s.waitInForce(next, rest...)
	status := s.hosts[stale].status()
	require.NotNil(t, status)
	require.EqualValues(t, 1, status.Revision, "the stale leader applied a change")
	require.Error(t, <-answer, "the stale leader accepted a change")
	s.reconnect(stale)
	s.waitInForce(next, s.allHosts()...)
	s.checkOutcomes(st.wait())
	t.Logf("the others accepted a change %s after the cut; the stale leader served nothing from %s on", accepted, served)
}
