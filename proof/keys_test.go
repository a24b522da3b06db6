package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/standin"
)

// Guards against a host that accepts a withdrawn key because it did not hear
// of the withdrawal: it is cut off, frozen, or hears the leader late.
func TestWithdrawnKey(t *testing.T) {
	faults := map[string]struct{ begin, end func(*system, int) }{
		"cut off":           {(*system).cutOff, (*system).rejoin},
		"frozen for 0.5 s":  {freezeFor(500 * time.Millisecond), nothing},
		"frozen for 4 s":    {freezeFor(4 * time.Second), nothing},
		"hears 900 ms late": {func(s *system, i int) { s.to(i, func(l *link) { l.delay(900 * time.Millisecond) }) }, (*system).rejoin},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, 3, 2)
			s.prepare(3, standin.Echo(5*time.Millisecond))
			leader := s.leader()
			victim := s.except(leader)[3]
			withdrawn(t, s, victim, s.except(victim), func() { fault.begin(s, victim) }, func() { fault.end(s, victim) })
		})
	}
}

func nothing(*system, int) {}

// freezeFor stops a process and lets it go on after d.
func freezeFor(d time.Duration) func(*system, int) {
	return func(s *system, i int) {
		s.hosts[i].freeze()
		time.AfterFunc(d, s.hosts[i].thaw)
	}
}

func withdrawn(t *testing.T, s *system, victim int, others []int, begin, end func()) {
	press := func(int) request { return request{key: newKey(), team: "press", queue: "proofs"} }
	// Half of the load goes to the host with the fault.
	hosts := append([]int{victim, victim, victim}, others...)
	st := s.startLoad(load{rate: 200, count: 2000, hosts: hosts, next: press})
	begin()
	require.NoError(t, s.operators(others...).WithdrawKey(context.Background(), "press"))
	answered := time.Now()
	time.Sleep(time.Until(answered.Add(inForceLimit + 2*time.Second))) // the load goes on past the limit
	st.cancel()
	end()
	outcomes := st.wait()
	s.waitServing()
	require.False(t, s.send(victim, press(0)).answered, "accepted after the fault")
	s.tally(outcomes).check(t)
	s.checkLimits()
	var sent time.Duration
	for _, o := range outcomes {
		if o.answered {
			sent = max(sent, o.sent.Sub(answered))
		}
	}
	last := s.ledger.last(func(r start) bool { return r.team == "press" }).Sub(answered)
	// A request that a host accepted in time may start later, when the host
	// reaches the leader again; that start is reported, not bounded.
	t.Logf("after the answer to the withdrawal: last accepted request sent %s, last start %s", sent, last)
	require.LessOrEqual(t, sent, inForceLimit)
}
