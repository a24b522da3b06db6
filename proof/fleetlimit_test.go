package proof

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/rulesfile"
)

const (
	limitRunTime = 100 * time.Millisecond
	// slowRunTime is the run time on the queue sync. It exceeds the time in which a
	// lost gateway or leader is replaced, so that a run that is wrongly no longer
	// counted still overlaps the next one.
	slowRunTime  = 5 * time.Second
	limitTargets = 4 // 32 slots for 15 running requests
	loweredLimit = 2
	// progressStarts is the number of further starts that shows that work continues.
	progressStarts = 40
	// slowEvery keeps the team with the smallest limit at its limit with slow runs and
	// leaves slots of the other teams to fast ones: 2 in 60 requests at 120 a second
	// are slow, half of them of that team.
	slowEvery = 60
)

// runTimeByQueue returns the run time of a request by its queue.
func runTimeByQueue(body []byte) time.Duration {
	if bytes.Contains(body[:min(len(body), 100)], []byte(" sync ")) {
		return slowRunTime
	}
	return limitRunTime
}

// overloadRequest returns requests of every team. Half are of the team with the
// smallest limit and exceed that limit several times.
func overloadRequest(i int) request {
	team := "archive"
	if i%2 == 0 {
		team = teams[i/2%len(teams)]
	}
	queue := "proofs"
	if i%slowEvery < 2 {
		queue = "sync"
	}
	return request{key: newKey(), team: team, queue: queue, nonIdempotent: i%7 < 3, size: i % 2048}
}

// Guards against a team that runs more than its limit over all targets because a
// gateway, a leader or one side of a partition counts only the runs that it knows.
func TestLimitThroughFaults(t *testing.T) {
	faults := map[string]func(s *system){
		"gateways killed":    killGateways,
		"leaders killed":     killLeaders,
		"partitions healed":  partitionLeaders,
		"gateways cut off":   isolateGateways,
		"targets cut off":    blockAnnouncements,
		"leader killed late": killLeaderUnderDelay,
	}
	eachFault(t, faults, limitUnderFault)
}

func limitUnderFault(t *testing.T, inject func(*system)) {
	obs := newObservations()
	s := startTargets(t, limitTargets, obs.echo(runTimeByQueue))
	st := s.startLoad(load{rate: 120, count: 3000, hosts: s.allHosts(), next: overloadRequest})
	eventually(t, startLimit, "the smallest team is at its limit", func() bool {
		return obs.maxRunningAfter("archive", time.Time{}) >= limits["archive"]
	})
	inject(s)
	s.waitProgress()
	outcomes := st.stop()
	obs.waitIdle(t)
	t.Logf("faults injected %d", rounds)
	s.checkOutcomes(outcomes)
	_, maxRunning := s.ledger.counts()
	require.Equal(t, limits["archive"], maxRunning["archive"], "the load does not reach the limit")
}

// rounds is the number of times that each fault is injected.
const rounds = 2

// waitProgress waits until progressStarts further runs have started.
func (s *system) waitProgress() {
	s.t.Helper()
	seen := len(s.ledger.times())
	eventually(s.t, startLimit, "work continues", func() bool { return len(s.ledger.times()) > seen+progressStarts })
}

func killGateways(s *system) {
	for i := range rounds {
		leader := s.leader()
		victim := s.except(leader, 0, 1, 2)[i%2]
		s.hosts[victim].kill()
		s.waitProgress()
		s.hosts[victim].start()
		s.waitServing(victim)
	}
}

func killLeaders(s *system) {
	for range rounds {
		leader := s.leader()
		s.hosts[leader].kill()
		s.leader(s.except(leader)...)
		s.waitProgress()
		s.hosts[leader].start()
		s.waitServing()
	}
}

// partitionLeaders partitions the leader and one follower from the other hosts, so
// that both sides have a gateway with callers. Links to targets stay up.
func partitionLeaders(s *system) {
	for range rounds {
		leader := s.leader()
		minority := []int{leader, 3}
		s.eachLinkAcross(minority, (*link).block)
		s.leader(s.except(minority...)...)
		s.waitProgress()
		s.eachLinkAcross(minority, (*link).heal)
		s.waitServing()
	}
}

// eachLinkAcross calls do for the links between the hosts of one side and the others.
func (s *system) eachLinkAcross(side []int, do func(*link)) {
	in := map[int]bool{}
	for _, i := range side {
		in[i] = true
	}
	for p, l := range s.links {
		if in[p.from] != in[p.to] {
			do(l)
		}
	}
}

func isolateGateways(s *system) {
	for i := range rounds {
		victim := s.except(s.leader())[i]
		s.isolate(victim)
		eventually(s.t, startLimit, "its lease expires", func() bool { return !s.hosts[victim].serving() })
		s.waitProgress()
		s.reconnect(victim)
		s.waitServing()
	}
}

// blockAnnouncements blocks the announcements of a target that keeps working.
func blockAnnouncements(s *system) {
	for i := range rounds {
		silent := s.targets[i]
		silent.links.each((*link).block)
		eventually(s.t, startLimit, "the target is silent", func() bool { return s.readyTargets(s.leader()) == limitTargets-1 })
		s.waitProgress()
		silent.links.each((*link).heal)
		eventually(s.t, startLimit, "the target is back", func() bool { return s.readyTargets(s.leader()) == limitTargets })
	}
}

// killLeaderUnderDelay kills the leader while its dispatches are in flight.
func killLeaderUnderDelay(s *system) {
	for range rounds {
		leader := s.leader()
		s.eachLinkFrom(leader, func(l *link) { l.delay(400 * time.Millisecond) })
		s.waitProgress()
		s.hosts[leader].kill()
		s.eachLinkFrom(leader, (*link).heal)
		s.leader(s.except(leader)...)
		s.waitProgress()
		s.hosts[leader].start()
		s.waitServing()
	}
}

// Guards against new starts of a team whose limit was lowered below its number of
// running requests.
func TestLimitLowered(t *testing.T) {
	t.Parallel()
	obs := newObservations()
	s := startTargets(t, limitTargets, obs.echo(runTimeByQueue))
	press := func(queue string) func(int) request {
		return func(int) request { return request{key: newKey(), team: "press", queue: queue} }
	}
	slow := s.startLoad(load{rate: 100, count: limits["press"], hosts: s.allHosts(), next: press("sync")})
	eventually(t, startLimit, "the team runs at its limit", func() bool { return obs.maxRunningAfter("press", time.Time{}) == limits["press"] })
	fast := s.startLoad(load{rate: 60, count: 1200, hosts: s.allHosts(), next: press("proofs")})
	text := strings.Replace(rulesText(2), "team.press = { share = 50, limit = 6 }", "team.press = { share = 50, limit = 2 }", 1)
	f, err := rulesfile.Parse("proof", []byte(text))
	require.NoError(t, err)
	s.apply(f)
	answered := time.Now()
	eventually(t, 2*slowRunTime, "work of the team starts again", func() bool {
		return s.ledger.last(func(r start) bool { return r.team == "press" }).After(answered.Add(inForceLimit))
	})
	s.waitProgress()
	outcomes := append(fast.stop(), slow.wait()...)
	obs.waitIdle(t)
	s.tally(outcomes).check(t)
	first := obs.maxRunningAfter("press", answered.Add(inForceLimit))
	t.Logf("limit lowered from %d to %d with %d running; most runs made by a start later than %s after the answer: %d; last start above it %s after the answer",
		limits["press"], loweredLimit, limits["press"], inForceLimit, first, obs.lastStartAbove("press", loweredLimit).Sub(answered))
	require.LessOrEqual(t, first, loweredLimit)
}

// lastStartAbove returns the time of the last start after which the team had more
// concurrent runs than the limit.
func (obs *observations) lastStartAbove(team string, limit int) time.Time {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	var at time.Time
	for _, s := range obs.starts {
		if s.team == team && s.running > limit {
			at = s.at
		}
	}
	return at
}
