package proof

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
)

const (
	// onceRunTime is long enough to inject the fault while the requests run.
	onceRunTime      = 2 * time.Second
	finalAnswerLimit = 25 * time.Second
)

// onceCase is one fault of TestAtMostOnce.
type onceCase struct {
	name string
	// atEnd injects the fault after the answers instead of while the requests run.
	atEnd  bool
	inject func(*onceTest)
	// stored requires that each repeated request finally gets the stored answer.
	stored bool
}

// sendFactor is the number of requests sent for each that can run at a time, so that
// the fault also affects requests that wait or are about to start.
const sendFactor = 2

// onceTest is the state of one case: non-idempotent requests that are sent through one
// entry host and then repeated through the others.
type onceTest struct {
	*system
	observed *observations
	gateway  int
	leader   int
	cancel   context.CancelFunc // closes the callers' connections
	requests []request
	answers  answerTally
	first    []answer
}

// Guards against a second run of a non-idempotent request that is repeated through
// another host after its answer was lost, and against a repeated request that gets a
// different answer.
func TestAtMostOnce(t *testing.T) {
	cases := []onceCase{
		{"answer lost", false, (*onceTest).loseAnswers, true},
		{"gateway killed", false, func(o *onceTest) { o.kill(o.gateway) }, false},
		{"leader killed", false, func(o *onceTest) { o.kill(o.leader) }, true},
		{"gateway cut off", false, (*onceTest).isolateGateway, false},
		{"gateway frozen", false, (*onceTest).pauseGateway, false},
		{"group killed while running", false, (*onceTest).restartGroup, false},
		{"group killed after the answers", true, (*onceTest).restartGroup, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			atMostOnce(t, c)
		})
	}
}

func (o *onceTest) loseAnswers() {
	o.answers.faults += len(o.requests)
	o.cancel()
}

func (o *onceTest) kill(i int) {
	o.answers.faults++
	o.hosts[i].kill()
}

func (o *onceTest) isolateGateway() {
	o.answers.faults++
	o.isolate(o.gateway)
	eventually(o.t, startLimit, "its lease ends", func() bool { return !o.hosts[o.gateway].serving() })
}

func (o *onceTest) pauseGateway() {
	o.answers.faults++
	o.hosts[o.gateway].pause()
	eventually(o.t, startLimit, "its lease ends", func() bool { return !o.servingAt(o.leader, o.gateway) })
}

// servingAt reports whether the host may still hold a serving lease, according to the
// leader.
func (s *system) servingAt(leader, host int) bool {
	status := s.hosts[leader].status()
	for i := 0; status != nil && i < len(status.Hosts); i++ {
		if string(status.Hosts[i].Host) == s.hosts[host].name {
			return status.Hosts[i].Serving
		}
	}
	return status == nil
}

func (o *onceTest) restartGroup() {
	for i := range o.hosts {
		o.kill(i)
	}
	o.startAll()
	o.waitServing()
}

func atMostOnce(t *testing.T, c onceCase) {
	o := &onceTest{system: startSystem(t, 3, 2), observed: newObservations()}
	o.prepare(3, o.observed.unique(constantTime(onceRunTime)))
	o.leader = o.leaderOf()
	o.gateway = o.except(o.leader, 0, 1, 2)[0]
	done := o.sendAll()
	o.waitAtLimits()
	if c.atEnd {
		done.Wait()
	}
	c.inject(o)
	others := o.othersRunning()
	o.resendOnce(others)
	o.reconnect(o.gateway)
	o.hosts[o.gateway].resume()
	done.Wait()
	last := o.resendUntilFinal(others)
	for _, h := range o.hosts {
		if h.cmd == nil {
			h.start()
		}
	}
	o.waitServing()
	final := o.resendUntilFinal(o.allHosts())
	o.observed.waitIdle(t)
	o.answers.countTwice(o.system, o.requests)
	o.answers.check(t)
	for key, got := range final {
		require.Equal(t, last[key].answered, got.answered, "%+v then %+v", last[key], got)
		require.True(t, got.answered || !c.stored, "no stored answer: %+v", got)
	}
}

// leaderOf calls system.leader, which the field leader hides.
func (o *onceTest) leaderOf() int { return o.system.leader() }

func (o *onceTest) othersRunning() []int {
	var list []int
	for _, i := range o.runningHosts() {
		if i != o.gateway {
			list = append(list, i)
		}
	}
	return list
}

// sendAll sends sendFactor times as many requests as the limits let run at a time.
func (o *onceTest) sendAll() *sync.WaitGroup {
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	o.t.Cleanup(cancel)
	for _, team := range teams {
		for i := range sendFactor * limits[team] {
			o.requests = append(o.requests, request{key: newKey(), team: team, queue: "proofs", nonIdempotent: true, size: 500 * i})
		}
	}
	o.first = make([]answer, len(o.requests))
	var done sync.WaitGroup
	for i, r := range o.requests {
		done.Go(func() { o.first[i] = o.call(ctx, o.gateway, r) })
	}
	return &done
}

func (o *onceTest) waitAtLimits() {
	eventually(o.t, startLimit, "every team runs as many requests as its limit allows", func() bool {
		runs, _ := o.ledger.counts()
		return sendFactor*len(runs) >= len(o.requests)
	})
}

// resendOnce sends each request through each host concurrently.
func (o *onceTest) resendOnce(hosts []int) map[string]answer {
	answers := make([]answer, len(o.requests)*len(hosts))
	var all sync.WaitGroup
	for i, r := range o.requests {
		for j, h := range hosts {
			all.Go(func() { answers[i*len(hosts)+j] = o.call(context.Background(), h, r) })
		}
	}
	all.Wait()
	last := map[string]answer{}
	for _, a := range answers {
		o.answers.count(o.system, o.observed, a, true)
		if earlier, ok := last[a.key]; ok && earlier.answered && a.answered {
			require.True(o.t, bytes.Equal(earlier.content, a.content), "two answers of %s", a.key)
		}
		if !isFinal(last[a.key]) {
			last[a.key] = a
		}
	}
	return last
}

// isFinal reports whether the answer to a repeated request is final.
func isFinal(a answer) bool { return a.answered || a.kind == problem.OutcomeUnknown }

// resendUntilFinal sends each request through each host until each request has a
// final answer, and returns one answer for each request.
func (o *onceTest) resendUntilFinal(hosts []int) map[string]answer {
	var last map[string]answer
	eventually(o.t, finalAnswerLimit, "every repeated request has a final answer", func() bool {
		time.Sleep(resendPause) // a caller waits before it sends again
		last = o.resendOnce(hosts)
		return !slices.ContainsFunc(o.requests, func(r request) bool { return !isFinal(last[r.key]) })
	})
	for i, a := range o.first {
		got := last[o.requests[i].key]
		if a.answered && got.answered {
			require.Equal(o.t, string(a.content), string(got.content), "the stored answer has other bytes")
		}
	}
	return last
}

func (a answer) String() string {
	return fmt.Sprintf("%s of %s through host %d: answered %t, kind %q, ran %q, error %v", a.key, a.team, a.host, a.answered, a.kind, a.ran, a.err)
}
