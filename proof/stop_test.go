package proof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/standin"
)

// resends is enough for a caller to retry until a new leader is ready.
const resends = 100

// Guards against a graceful stop of a process that interrupts a request, refuses one
// that ran, or makes the service unavailable.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	s.prepare(3, standin.Echo(100*time.Millisecond))
	st := s.startLoad(load{rate: 80, count: 4000, hosts: s.allHosts(), resends: resends, next: mixedRequest})
	for _, h := range s.hosts {
		code, took := h.stop()
		require.Zero(t, code, "exit code of %s", h.name)
		h.start()
		s.waitServing()
		t.Logf("%s ended %s after SIGTERM", h.name, took)
	}
	s.checkAllAnswered(st.stop())
}

// checkAllAnswered checks that every request was eventually answered.
func (s *system) checkAllAnswered(outcomes []outcome) {
	s.t.Helper()
	c := s.checkOutcomes(outcomes)
	for _, o := range outcomes {
		if !o.answered {
			s.t.Logf("not answered by %s after %s: %s %v", s.hosts[o.host].name, o.ended.Sub(o.sent), o.kind, o.err)
		}
	}
	require.Zero(s.t, c.unknown, "requests cut off")
	require.Zero(s.t, c.refused, "requests refused everywhere")
}

// Guards against requests that are interrupted or refused while each target is drained
// and replaced.
func TestDrainOfTargets(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	s.prepare(3, standin.Echo(100*time.Millisecond))
	st := s.startLoad(load{rate: 80, count: 2000, hosts: s.allHosts(), next: mixedRequest})
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	for i, old := range s.targets[:3] {
		s.addTarget(fmt.Sprintf("render-new-%d", i), centres[i%len(centres)], standin.Echo(100*time.Millisecond))
		seen := len(s.ledger.times())
		eventually(t, startLimit, "work continues", func() bool { return len(s.ledger.times()) > seen+100 })
		began := time.Now()
		require.NoError(t, old.Leave(ctx))
		t.Logf("%s drained in %s", old.id, time.Since(began))
	}
	s.checkAllAnswered(st.stop())
}

// Guards against a graceful stop that hangs or loses requests because there is no
// leader to end them: the leader is killed just before the stop.
func TestStopDuringFailOver(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	s.prepare(3, standin.Echo(100*time.Millisecond))
	leader := s.leader()
	stopped := s.except(leader, 0, 1, 2)[0]
	// The callers use hosts that are not killed.
	st := s.startLoad(load{rate: 80, count: 1000, hosts: s.except(leader), resends: resends, next: mixedRequest})
	eventually(t, startLimit, "work runs", func() bool { return len(s.ledger.times()) > 50 })
	s.hosts[leader].kill()
	code, took := s.hosts[stopped].stop()
	require.Zero(t, code)
	s.leader(s.runningHosts()...)
	s.hosts[stopped].start()
	s.hosts[leader].start()
	s.waitServing()
	t.Logf("the stop during the fail-over took %s", took)
	s.checkAllAnswered(st.stop())
}
