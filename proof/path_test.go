package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/standin"
)

const (
	firstPathPort = 7400 // of the proxies from all hosts to one target
	pathTargets   = 4
	// brokenPaths is the number of targets that get a faulty path.
	brokenPaths = 2
	// longBody is the size of requests and answers. halfBody is the number of bytes
	// after which an answer is cut, within its body.
	longBody, halfBody = 20_000, 10_000
	// slowPathEvery sets the share of slow runs, 2 in 30 requests, which keep the team
	// with the smallest limit at its limit.
	slowPathEvery, pathRunTime, briefRunTime = 30, 2 * time.Second, 300 * time.Millisecond
	// pathStarts is the number of starts to wait for during a fault.
	pathStarts = 80
)

// shortQueue has a short maximum run time, so that a run without an answer ends within
// the time of the test.
const shortQueue = `queue.short = { service = "render", max_run_s = 5 }`

// addPath starts a target that announces the address of a proxy, and returns the
// proxy.
func (s *system) addPath(i int, work standin.Work) *link {
	t := &target{id: fmt.Sprintf("path-%d", i+1)}
	var platforms []string
	for _, h := range s.hosts {
		platforms = append(platforms, h.address(platformPort))
	}
	address, centre := s.hosts[0].address(firstPathPort+i), centres[i%len(centres)]
	var err error
	t.Target, err = standin.StartTarget(standin.TargetConfig{
		ID: model.TargetID(t.id), Service: "render", DataCentre: centre, Host: model.HostID(t.id + "-host"),
		Work: s.ledger.record(t.id, centre, work), Platforms: platforms, AdvertisedAddress: address,
	})
	require.NoError(s.t, err)
	path := newLink(s.t, t.id, address, t.Address())
	t.links = []*link{path}
	s.targets = append(s.targets, t)
	return path
}

func latency(d time.Duration) string {
	return fmt.Sprintf(`{"latency":%d,"jitter":0}`, d.Milliseconds())
}

// Guards against runs over the limit, second runs and false refusals as not run when
// the path between the entry hosts and a target loses or delays requests or answers,
// while the target keeps announcing itself.
func TestPathsToTargets(t *testing.T) {
	const none = `{"timeout":0}`
	faults := map[string]func(*link){
		"requests cut":  func(l *link) { l.toxic("upstream", "timeout", none) },
		"answers cut":   func(l *link) { l.toxic("downstream", "timeout", none) },
		"cut both ways": (*link).block,
		"both 500 ms late": func(l *link) {
			l.delay(500 * time.Millisecond)
			l.toxic("downstream", "latency", latency(500*time.Millisecond))
		},
		"requests 2.5 s late": func(l *link) { l.delay(2500 * time.Millisecond) },
		"answers 2.5 s late":  func(l *link) { l.toxic("downstream", "latency", latency(2500*time.Millisecond)) },
		"answers cut in half": func(l *link) { l.toxic("downstream", "limit_data", fmt.Sprintf(`{"bytes":%d}`, halfBody)) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pathFails(t, fault)
		})
	}
}

func pathFails(t *testing.T, fault func(*link)) {
	s, obs := startSystem(t, 3, 2), newObservations()
	s.prepare(0, nil)
	change := s.file(2, shortQueue)
	s.apply(change)
	s.waitInForce(change, s.allHosts()...)
	var paths []*link
	for i := range pathTargets {
		paths = append(paths, s.addPath(i, obs.echo(pathTime)))
	}
	eventually(t, startLimit, "all targets are ready", func() bool { return s.readyTargets(s.leader()) == pathTargets })
	st := s.startLoad(load{rate: 40, count: 1000, hosts: s.allHosts(), next: pathRequest})
	eventually(t, startLimit, "the smallest team is at its limit", func() bool {
		return obs.maxRunningAfter("archive", time.Time{}) >= limits["archive"]
	})
	for _, l := range paths[:brokenPaths] {
		fault(l)
	}
	began, seen := time.Now(), len(s.ledger.times())
	eventually(t, startLimit, "work continues", func() bool { return len(s.ledger.times()) > seen+pathStarts })
	t.Logf("%d starts in %s with %d of %d paths broken", pathStarts, time.Since(began), brokenPaths, pathTargets)
	for _, l := range paths {
		l.heal()
	}
	s.waitProgress()
	outcomes := st.stop()
	obs.waitIdle(t)
	s.tally(outcomes).check(t)
	s.checkLimits()
	_, maxRunning := s.ledger.counts()
	require.Equal(t, limits["archive"], maxRunning["archive"], "the load does not reach the limit")
}

// pathTime returns the run time of a request by the size of its body.
func pathTime(body []byte) time.Duration {
	if len(body) > longBody {
		return pathRunTime
	}
	return briefRunTime
}

// pathRequest returns requests of every team, half of them of the team with the
// smallest limit.
func pathRequest(i int) request {
	r := overloadRequest(i)
	r.queue, r.size = "short", longBody
	if i%slowPathEvery < 2 {
		r.size = longBody + 1
	}
	return r
}
