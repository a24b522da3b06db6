package schedule

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

var withoutReservations = func() Bounds {
	b := simBounds
	b.Disabled = 1 << Reservations
	return b
}()

// Load: a continuous stream of small jobs that fills four workers, and one task that needs a
// whole worker. Guards against its starvation, which the stream causes without a
// reservation.
func TestLargeTaskBesideAStreamOfSmallJobs(t *testing.T) {
	wait := func(b Bounds) (model.Duration, *testLoad) {
		l := newLoad(t, b, numberedWorkers(4, 2)...)
		l.duration = func(ref jobs.TaskRef) model.Duration {
			if ref.Job == "large" {
				return 3 * model.Second
			}
			return staggered(ref)
		}
		stream := l.smallJobs(cores(1), 8)
		for range 40 {
			stream()
			l.step()
		}
		l.submitJob("large", "press", jobs.Step{Tasks: 1, Size: cores(8), Estimate: 3 * model.Second})
		return l.waitFor(task("large"), 20*model.Second, stream), l
	}
	reserved, l := wait(simBounds)
	// It can wait 2.1 s (half its time and the target of 600 ms) and be on time.
	require.LessOrEqual(t, reserved, 2100*ms)
	require.Positive(t, l.logged[effect.ReservationMade])
	require.Positive(t, l.logged[effect.ReservationMet])
	starved, _ := wait(withoutReservations)
	require.Greater(t, starved, 10*model.Second)
}

// playSequence plays a fixed sequence of events with gangs and large tasks in a full pool,
// and returns its effects and proposals.
func playSequence(t *testing.T, b Bounds) []string {
	l := newLoad(t, b, numberedWorkers(4, 2)...)
	l.duration, l.traced = staggered, true
	stream := l.smallJobs(cores(1), 8)
	for i := range 120 {
		stream()
		switch i {
		case 20:
			l.submitJob("large", "press", jobs.Step{Tasks: 2, Size: cores(7), Estimate: model.Second}, jobs.Step{Tasks: 1, Size: cores(1), Estimate: model.Second, After: []int{0}})
		case 30:
			l.submitJob("gang", "press", jobs.Step{Tasks: 3, Size: cores(4), Estimate: model.Second, Gang: true, Colocated: true})
		case 50:
			l.accept(jobs.Command{Cancel: &jobs.Cancel{Job: "large"}})
		case 60:
			l.s.CordonHosts(map[model.HostID]bool{"host-w001": true})
		case 80:
			l.s.CordonHosts(nil)
		}
		l.step()
	}
	return l.trace
}

// Guards against a decision that changes while the feature is switched off. The hash is
// that of the effects and proposals on commit fa44f8e, before reservations.
func TestWithoutReservationsDecisionsAreAsBefore(t *testing.T) {
	const before = "d06b64641db93d7e18ad0a88c3bbb3a97ceec9f94749ec48d8062c05125ae51d"
	trace := strings.Join(playSequence(t, withoutReservations), "\n")
	require.Equal(t, before, fmt.Sprintf("%x", sha256.Sum256([]byte(trace))))
	require.NotEqual(t, trace, strings.Join(playSequence(t, simBounds), "\n"), "the sequence needs reservations")
}
