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
	// slowRunTime is the run time on the queue sync. It is over the time in
	// which a lost gateway or leader is replaced, so that a run that is no longer
	// counted still runs when the next one starts.
	slowRunTime  = 5 * time.Second
	limitTargets = 4 // 32 slots for 15 running requests
	loweredLimit = 2
	// busyStarts is a number of starts that shows that work goes on.
	busyStarts = 40
	// slowEvery keeps the smallest team full of slow runs and leaves slots of the
	// others to fast ones: 2 in 60 at 120 a second, half of them of that team.
	slowEvery = 60
)

// slowSync is the run time by queue.
func slowSync(body []byte) time.Duration {
	if bytes.Contains(body[:min(len(body), 100)], []byte(" sync ")) {
		return slowRunTime
	}
	return limitRunTime
}

// pressed returns requests of every team. Half are of the team with the
// smallest limit, several times what it may run.
func pressed(i int) request {
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

// Guards against a team that runs more than its limit over all targets because
// a gateway, the leader or a side of a partition counts alone.
func TestLimitThroughFaults(t *testing.T) {
	faults := map[string]func(s *system){
		"gateways killed":    killGateways,
		"leaders killed":     killLeaders,
		"partitions healed":  partitionLeaders,
		"gateways cut off":   cutGateways,
		"targets cut off":    cutTargets,
		"leader killed late": killLeaderUnderDelay,
	}
	eachFault(t, faults, limitThrough)
}

func limitThrough(t *testing.T, inject func(*system)) {
	b := newBook()
	s := startTargets(t, limitTargets, b.echo(slowSync))
	st := s.startLoad(load{rate: 120, count: 3000, hosts: s.all(), next: pressed})
	eventually(t, startLimit, "the smallest team is at its limit", func() bool {
		return b.mostAfter("archive", time.Time{}) >= limits["archive"]
	})
	inject(s)
	s.waitBusy()
	outcomes := st.stop()
	b.waitQuiet(t)
	t.Logf("faults injected %d", rounds)
	s.checkOutcomes(outcomes)
	_, most := s.ledger.counts()
	require.Equal(t, limits["archive"], most["archive"], "the load does not reach the limit")
}

// rounds is how often each fault is injected.
const rounds = 2

// waitBusy waits until work goes on.
func (s *system) waitBusy() {
	s.t.Helper()
	seen := len(s.ledger.times())
	eventually(s.t, startLimit, "work goes on", func() bool { return len(s.ledger.times()) > seen+busyStarts })
}

func killGateways(s *system) {
	for i := range rounds {
		leader := s.leader()
		victim := s.except(leader, 0, 1, 2)[i%2]
		s.hosts[victim].kill()
		s.waitBusy()
		s.hosts[victim].start()
		s.waitServing(victim)
	}
}

func killLeaders(s *system) {
	for range rounds {
		leader := s.leader()
		s.hosts[leader].kill()
		s.leader(s.except(leader)...)
		s.waitBusy()
		s.hosts[leader].start()
		s.waitServing()
	}
}

// partitionLeaders cuts off the leader with a follower, so that both sides have
// callers and a gateway. Links to targets stay.
func partitionLeaders(s *system) {
	for range rounds {
		leader := s.leader()
		minority := []int{leader, 3}
		s.eachAcross(minority, (*link).cut)
		s.leader(s.except(minority...)...)
		s.waitBusy()
		s.eachAcross(minority, (*link).heal)
		s.waitServing()
	}
}

// eachAcross calls do for the links between the hosts of one side and others.
func (s *system) eachAcross(side []int, do func(*link)) {
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

func cutGateways(s *system) {
	for i := range rounds {
		victim := s.except(s.leader())[i]
		s.cutOff(victim)
		eventually(s.t, startLimit, "its lease ends", func() bool { return !s.hosts[victim].serving() })
		s.waitBusy()
		s.rejoin(victim)
		s.waitServing()
	}
}

// cutTargets cuts the announcements of a target that goes on working.
func cutTargets(s *system) {
	for i := range rounds {
		silent := s.targets[i]
		silent.links.each((*link).cut)
		eventually(s.t, startLimit, "the target is silent", func() bool { return s.readyTargets(s.leader()) == limitTargets-1 })
		s.waitBusy()
		silent.links.each((*link).heal)
		eventually(s.t, startLimit, "the target is back", func() bool { return s.readyTargets(s.leader()) == limitTargets })
	}
}

// killLeaderUnderDelay kills the leader while its dispatches are on their way.
func killLeaderUnderDelay(s *system) {
	for range rounds {
		leader := s.leader()
		s.from(leader, func(l *link) { l.delay(400 * time.Millisecond) })
		s.waitBusy()
		s.hosts[leader].kill()
		s.from(leader, (*link).heal)
		s.leader(s.except(leader)...)
		s.waitBusy()
		s.hosts[leader].start()
		s.waitServing()
	}
}

// Guards against new starts of a team whose limit was lowered below what it
// runs.
func TestLimitLowered(t *testing.T) {
	t.Parallel()
	b := newBook()
	s := startTargets(t, limitTargets, b.echo(slowSync))
	press := func(queue string) func(int) request {
		return func(int) request { return request{key: newKey(), team: "press", queue: queue} }
	}
	slow := s.startLoad(load{rate: 100, count: limits["press"], hosts: s.all(), next: press("sync")})
	eventually(t, startLimit, "the team runs at its limit", func() bool { return b.mostAfter("press", time.Time{}) == limits["press"] })
	fast := s.startLoad(load{rate: 60, count: 1200, hosts: s.all(), next: press("proofs")})
	text := strings.Replace(rulesText(2), "team.press = { share = 50, limit = 6 }", "team.press = { share = 50, limit = 2 }", 1)
	f, err := rulesfile.Parse("proof", []byte(text))
	require.NoError(t, err)
	s.apply(f)
	answered := time.Now()
	eventually(t, 2*slowRunTime, "work of the team starts again", func() bool {
		return s.ledger.last(func(r start) bool { return r.team == "press" }).After(answered.Add(inForceLimit))
	})
	s.waitBusy()
	outcomes := append(fast.stop(), slow.wait()...)
	b.waitQuiet(t)
	s.tally(outcomes).check(t)
	first := b.mostAfter("press", answered.Add(inForceLimit))
	t.Logf("limit lowered from %d to %d with %d running; most runs made by a start later than %s after the answer: %d; last start above it %s after the answer",
		limits["press"], loweredLimit, limits["press"], inForceLimit, first, b.lastAbove("press", loweredLimit).Sub(answered))
	require.LessOrEqual(t, first, loweredLimit)
}

// lastAbove returns the time of the last start that made more runs of the team
// than the limit.
func (b *book) lastAbove(team string, limit int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var at time.Time
	for _, s := range b.starts {
		if s.team == team && s.running > limit {
			at = s.at
		}
	}
	return at
}
