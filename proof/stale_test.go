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

// staleLimit is the length of the leader lease, 0.72 s, and of a serving lease
// granted at its end, 1 s, with some time for the question.
const staleLimit = 2 * time.Second

// Guards against a leader that accepts changes or grants leases after the
// others have another leader. A one-way cut is the hard case: the leader
// either hears everything and reaches nobody, or reaches all and hears nobody.
func TestStaleLeader(t *testing.T) {
	cuts := map[string]func(*system, int){
		"hears but is not heard": func(s *system, i int) { s.eachLinkFrom(i, (*link).block) },
		"is heard but is deaf":   func(s *system, i int) { s.eachLinkTo(i, (*link).block) },
		"cut off":                func(s *system, i int) { s.isolate(i) },
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
		// The stale leader was heard: its successor committed its entry, and
		// the change counts although its operator has no answer.
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
	revision := s.hosts[stale].status()
	require.NotNil(t, revision)
	require.EqualValues(t, 1, revision.Revision, "the stale leader applied a change")
	require.Error(t, <-answer, "the stale leader accepted a change")
	s.reconnect(stale)
	s.waitInForce(next, s.allHosts()...)
	s.checkOutcomes(st.wait())
	t.Logf("the others accepted a change %s after the cut; the stale leader served nothing from %s on", accepted, served)
}
