package proof

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/standin"
)

var kills = flag.Int("kills", 5, "leader kills of TestFailOver; the figures of docs/PROOFS.md take 20")

// failOverGoal is the maximum fail-over time that design 2.7 sets.
const failOverGoal = 3 * time.Second

// Guards against a fail-over after the leader is killed that takes longer than
// failOverGoal, or that loses or repeats work.
func TestFailOver(t *testing.T) {
	s := startTargets(t, 6, standin.Echo(5*time.Millisecond))
	followers := s.except(0, 1, 2)
	st := s.startLoad(load{rate: 100, count: 100 * 10 * *kills, hosts: followers, resends: resends, next: mixedRequest})
	changes := s.startChanges(followers)
	var changeGaps, startGaps, elected, ready []time.Duration
	for range *kills {
		leader := s.leader()
		at := time.Now()
		s.hosts[leader].kill()
		started := func(r start) bool { return r.at.After(at.Add(failOverGoal / 10)) }
		eventually(t, startLimit, "work and changes after the kill", func() bool {
			return s.ledger.count(started) > 0 && changes.last().After(at.Add(failOverGoal/10))
		})
		s.hosts[leader].start()
		s.waitServing()
		changeGaps = append(changeGaps, longestGapAfter(changes.times(), at))
		startGaps = append(startGaps, longestGapAfter(s.ledger.times(), at))
		elected = append(elected, s.firstEvent("leader_elected", at))
		ready = append(ready, s.firstEvent("dispatch_ready", at))
	}
	revision := changes.stop()
	c := s.checkOutcomes(st.stop())
	require.Zero(t, c.unknown, "the hosts that the callers use were not killed")
	require.Zero(t, c.refused, "refused everywhere")
	for _, h := range s.hosts {
		eventually(t, startLimit, "no accepted change is lost", func() bool {
			status := h.status()
			return status != nil && status.Revision >= revision
		})
	}
	t.Logf("%d kills of the leader\n%s\n%s\n%s\n%s", *kills, tableRow("without accepted changes", changeGaps),
		tableRow("without new work started", startGaps), tableRow("until a leader is elected", elected), tableRow("until its fence has passed", ready))
	t.Run("changes", func(t *testing.T) { require.Less(t, slices.Max(changeGaps), failOverGoal) })
	t.Run("new work", func(t *testing.T) { require.Less(t, slices.Max(startGaps), failOverGoal) })
}

// longestGapAfter returns the longest interval between consecutive times of the
// sorted list, among those that end after at and begin at most failOverGoal after it.
func longestGapAfter(times []time.Time, at time.Time) time.Duration {
	longest, previous := time.Duration(0), at
	for _, x := range times {
		if x.Before(at) {
			previous = x
			continue
		}
		if previous.After(at.Add(failOverGoal)) {
			break
		}
		longest = max(longest, x.Sub(previous))
		previous = x
	}
	return longest
}

// firstEvent returns the time from at until any host first logged the event.
func (s *system) firstEvent(name string, at time.Time) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, h := range s.hosts {
		text, err := os.ReadFile(h.log())
		require.NoError(s.t, err)
		for line := range strings.Lines(string(text)) {
			stamp, rest, _ := strings.Cut(line, " ")
			logged, err := time.Parse(time.RFC3339Nano, stamp)
			if err == nil && logged.After(at) && strings.Contains(rest, " event="+name+" ") {
				first = min(first, logged.Sub(at))
			}
		}
	}
	return first
}

func tableRow(what string, gaps []time.Duration) string {
	sorted := slices.Sorted(slices.Values(gaps))
	var list []string
	for _, g := range sorted {
		list = append(list, fmt.Sprintf("%.2f", g.Seconds()))
	}
	return fmt.Sprintf("| %s | median %.2f s | worst %.2f s | all: %s |", what,
		sorted[len(sorted)/2].Seconds(), sorted[len(sorted)-1].Seconds(), strings.Join(list, " "))
}

// changeStream submits changes continuously, one after another.
type changeStream struct {
	cancel   context.CancelFunc
	done     sync.WaitGroup
	mu       sync.Mutex
	accepted []time.Time
	revision uint64
}

func (s *system) startChanges(hosts []int) *changeStream {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	c := &changeStream{cancel: cancel, revision: 1}
	c.done.Go(func() {
		operators := s.operators(hosts...)
		for ctx.Err() == nil {
			next := c.revision + 1
			if _, err := operators.Apply(ctx, s.file(next)); err != nil {
				continue
			}
			c.mu.Lock()
			c.revision = next
			c.accepted = append(c.accepted, time.Now())
			c.mu.Unlock()
		}
	})
	return c
}

func (c *changeStream) times() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.accepted)
}

func (c *changeStream) last() time.Time {
	times := c.times()
	if len(times) == 0 {
		return time.Time{}
	}
	return times[len(times)-1]
}

// stop returns the last accepted revision.
func (c *changeStream) stop() uint64 {
	c.cancel()
	c.done.Wait()
	return c.revision
}
