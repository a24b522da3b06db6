package proof

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/standin"
)

// leaveLimit is the value used for "a few seconds" in design 2.1, points 5 and 9.
const leaveLimit = 3 * time.Second

// Guards against work that starts in a data centre that operators have taken out,
// because its entry host is cut off or paused, or the leader's messages are delayed.
func TestDataCentreOut(t *testing.T) {
	faults := map[string]func(s *system, leader, victim int){
		"no fault":                    func(*system, int, int) {},
		"entry host cut off":          func(s *system, _, v int) { s.isolate(v) },
		"entry host receives nothing": func(s *system, _, v int) { s.eachLinkTo(v, (*link).block) },
		"entry host frozen 1.5 s":     func(s *system, _, v int) { pauseFor(1500*time.Millisecond)(s, v) },
		"leader's messages 300 ms":    delayFrom(300 * time.Millisecond),
		"leader's messages 950 ms":    delayFrom(950 * time.Millisecond),
		"leader's messages 2500 ms":   delayFrom(2500 * time.Millisecond),
	}
	eachFault(t, faults, dataCentreOut)
}

func delayFrom(d time.Duration) func(*system, int, int) {
	return func(s *system, leader, _ int) { s.eachLinkFrom(leader, func(l *link) { l.delay(d) }) }
}

func dataCentreOut(t *testing.T, begin func(s *system, leader, victim int)) {
	s := startTargets(t, 6, standin.Echo(20*time.Millisecond))
	leader := s.leader()
	victim := s.except(leader)[0]
	centre := s.hosts[victim].centre
	st := s.startLoad(load{rate: 300, count: 3000, hosts: s.allHosts(), next: mixedRequest})
	eventually(t, startLimit, "work runs in the data centre", func() bool {
		return s.ledger.count(func(r start) bool { return r.centre == centre }) > 20
	})
	out := s.file(2, fmt.Sprintf("datacentre.%s = { out = true }", centre))
	begin(s, leader, victim)
	s.apply(out, leader)
	answered := time.Now()
	time.Sleep(time.Until(answered.Add(leaveLimit + 2*time.Second))) // the load continues past the limit
	st.cancel()
	for _, l := range s.links {
		l.heal()
	}
	s.checkOutcomes(st.wait())
	last := s.ledger.last(func(r start) bool { return r.centre == centre }).Sub(answered)
	t.Logf("last start in the data centre %s after the operator's answer", last)
	require.LessOrEqual(t, last, leaveLimit)
	back := s.file(3)
	s.applyEverywhere(back)
	before := s.ledger.count(func(r start) bool { return r.centre == centre })
	s.startLoad(load{rate: 200, count: 200, hosts: s.allHosts(), next: mixedRequest}).wait()
	require.Greater(t, s.ledger.count(func(r start) bool { return r.centre == centre }), before, "work starts again after its return")
}

// slowFor returns work that runs requests of the queue sync for d and others for
// 10 ms.
func slowFor(d time.Duration) standin.Work {
	slow, fast := standin.Echo(d), standin.Echo(10*time.Millisecond)
	return func(ctx context.Context, body []byte) model.Answer {
		if bytes.Contains(body, []byte(" sync ")) {
			return slow(ctx, body)
		}
		return fast(ctx, body)
	}
}

// watchArrivals watches a count until 2 s past leaveLimit. It returns the final count
// and the time from began to its last increase.
func watchArrivals(began time.Time, count func() int) (seen int, last time.Duration) {
	seen = count()
	for time.Since(began) < leaveLimit+2*time.Second {
		if n := count(); n > seen {
			seen, last = n, time.Since(began)
		}
		time.Sleep(pollPause)
	}
	return seen, last
}

// Guards against new work for a target that has announced that it is leaving, and
// against a running request that its leaving interrupts.
func TestTargetLeaves(t *testing.T) {
	t.Parallel()
	s := startTargets(t, 3, slowFor(5*time.Second))
	st := s.startLoad(load{rate: 200, count: 1400, hosts: s.allHosts(), next: func(i int) request {
		r := request{key: newKey(), team: teams[i%3], queue: "proofs", nonIdempotent: i%2 == 1}
		if i%400 < 6 {
			r.queue = "sync"
		}
		return r
	}})
	leaving := s.targets[0]
	eventually(t, startLimit, "a slow request runs on the target", func() bool { return leaving.Counts().Running > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	began := time.Now()
	left := make(chan error, 1)
	go func() { left <- leaving.Leave(ctx) }()
	arrivals := func() int { return leaving.Counts().Refused[standin.RefusedLeaving] }
	seen, last := watchArrivals(began, arrivals)
	require.NoError(t, <-left)
	c := s.checkOutcomes(st.wait())
	t.Logf("%d requests reached the leaving target and were refused there, the last %s after it began to leave", seen, last)
	require.LessOrEqual(t, last, leaveLimit)
	require.Zero(t, c.unknown, "a request was cut off")
	again := s.addTarget(leaving.id, centres[0], standin.Echo(0))
	began = time.Now()
	eventually(t, startLimit, "the target that returned gets work", func() bool {
		s.send(0, mixedRequest(0))
		return len(again.Counts().Runs) > 0
	})
	t.Logf("a target of the same id got work %s after its return", time.Since(began))
	require.Empty(t, again.Counts().Refused, "requests meant for its earlier incarnation")
}

// Guards against new work for a target whose announcements no longer arrive,
// although it can still be reached.
func TestTargetSilent(t *testing.T) {
	t.Parallel()
	s := startTargets(t, 3, standin.Echo(10*time.Millisecond))
	st := s.startLoad(load{rate: 200, count: 1600, hosts: s.allHosts(), next: mixedRequest})
	silent := s.targets[1]
	eventually(t, startLimit, "the target works", func() bool { return len(silent.Counts().Runs) > 20 })
	silent.links.each((*link).block)
	began := time.Now()
	// Requests that the target itself refuses because of an old ticket count too.
	arrivals := func() int {
		counts := silent.Counts()
		return len(counts.Runs) + counts.Refused[standin.RefusedTicket]
	}
	_, last := watchArrivals(began, arrivals)
	s.checkOutcomes(st.stop())
	t.Logf("last request reached the silent target after %s", last)
	require.LessOrEqual(t, last, leaveLimit)
	silent.links.each((*link).heal)
	eventually(t, startLimit, "all targets are ready", func() bool { return s.readyTargets(s.leader()) == 3 })
}
