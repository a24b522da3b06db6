package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/standin"
)

// Guards against a host that accepts a withdrawn key because it has not learned of
// the withdrawal: it is cut off, paused, or receives the leader's messages late.
func TestWithdrawnKey(t *testing.T) {
	faults := map[string]keyFault{
		"cut off":           {(*system).isolate, (*system).reconnect},
		"frozen for 0.5 s":  {pauseFor(500 * time.Millisecond), noFault},
		"frozen for 4 s":    {pauseFor(4 * time.Second), noFault},
		"hears 900 ms late": {func(s *system, i int) { s.eachLinkTo(i, func(l *link) { l.delay(900 * time.Millisecond) }) }, (*system).reconnect},
	}
	eachFault(t, faults, func(t *testing.T, f keyFault) { withdrawn(t, f) })
}

// keyFault keeps a host from learning of a withdrawal.
type keyFault struct{ begin, end func(*system, int) }

func noFault(*system, int) {}

// pauseFor stops a process and resumes it after d.
func pauseFor(d time.Duration) func(*system, int) {
	return func(s *system, i int) {
		s.hosts[i].pause()
		time.AfterFunc(d, s.hosts[i].resume)
	}
}

// Guards against requests that were accepted with a key just before its withdrawal
// and start long after it, because a host that is cut off keeps them pending until
// it is reconnected.
func TestWithdrawnKeyStartsNothing(t *testing.T) {
	t.Parallel()
	require.LessOrEqual(t, withdrawn(t, keyFault{(*system).isolate, (*system).reconnect}), inForceLimit)
}

// withdrawn withdraws a key under load during a fault of one host. It returns the
// time from the operator's answer to the last start of a run with the key.
func withdrawn(t *testing.T, f keyFault) (last time.Duration) {
	s := startTargets(t, 3, standin.Echo(50*time.Millisecond))
	victim := s.except(s.leader())[3]
	others := s.except(victim)
	press := func(i int) request {
		return request{key: newKey(), team: "press", queue: "proofs", nonIdempotent: i%2 == 1}
	}
	// Half of the load goes to the faulty host.
	hosts := append([]int{victim, victim, victim}, others...)
	st := s.startLoad(load{rate: 200, count: 2000, hosts: hosts, next: press})
	eventually(t, startLimit, "work runs", func() bool { return len(s.ledger.times()) > 50 })
	f.begin(s, victim)
	require.NoError(t, s.operators(others...).WithdrawKey(context.Background(), "press"))
	answered := time.Now()
	time.Sleep(time.Until(answered.Add(inForceLimit + 2*time.Second))) // the load continues past the limit
	st.cancel()
	f.end(s, victim)
	outcomes := st.wait()
	s.waitServing()
	require.False(t, s.send(victim, press(0)).answered, "accepted after the fault")
	s.checkOutcomes(outcomes)
	var sent time.Duration
	for _, o := range outcomes {
		if o.answered {
			sent = max(sent, o.sent.Sub(answered))
		}
	}
	last = s.ledger.last(func(r start) bool { return r.team == "press" }).Sub(answered)
	t.Logf("after the answer to the withdrawal: last accepted request sent %s, last start %s", sent, last)
	require.LessOrEqual(t, sent, inForceLimit)
	return last
}
