package schedule

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

var withoutReservations = func() Bounds {
	b := simBounds
	b.Disabled = AllFeatures
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
// that of the effects and proposals on commit fa44f8e, before reservations, without their
// fencing tokens.
func TestWithoutReservationsDecisionsAreAsBefore(t *testing.T) {
	const before = "808acd386f1993e70e1684655fe6ed2c2f6b223f14ffc15694dced5eff5bcd53"
	trace := strings.Join(playSequence(t, withoutReservations), "\n")
	withoutTokens := regexp.MustCompile(`"token":[0-9]+`).ReplaceAll([]byte(trace), []byte(`"token":0`))
	require.Equal(t, before, fmt.Sprintf("%x", sha256.Sum256(withoutTokens)))
	require.NotEqual(t, trace, strings.Join(playSequence(t, simBounds), "\n"), "the sequence needs reservations")
}

// fullPool returns a pool that a stream of small jobs keeps full, with a gang that waits for
// all of its workers but one and has a reservation.
func fullPool(t *testing.T, workers int) (*testLoad, func()) {
	l := newLoad(t, simBounds, numberedWorkers(workers, 2)...)
	l.duration = staggered
	stream := l.smallJobs(cores(1), 2*workers)
	for range 60 {
		stream()
		l.step()
	}
	l.submitJob("gang", "press", jobs.Step{Tasks: workers - 1, Size: cores(5), Estimate: 6 * model.Second, Gang: true, PerWorker: 1})
	require.Len(t, l.s.services["render"].reservations.holds, 1)
	return l, stream
}

// gangSlack is how long the gang of fullPool can wait and be on time: half its time and the
// target.
const gangSlack = 3600 * ms

// Load: a gang in a full fleet. Guards against its starvation by single tasks that take each
// place that becomes free.
func TestGangInAFullPool(t *testing.T) {
	l, stream := fullPool(t, 4)
	require.LessOrEqual(t, l.waitFor(task("gang"), 20*model.Second, stream), gangSlack)
}

// Load: as before, and a worker or the leader of the reservation is lost. Guards against
// a reservation that waits for a worker which takes no runs, keeps work off a worker after it
// has ended, or is forgotten by a new leader.
func TestReservationWhoseWorkerOrLeaderIsLost(t *testing.T) {
	for name, lose := range map[string]func(l *testLoad, w *worker){
		"it dies": func(l *testLoad, w *worker) { l.crash(w.info.ID) },
		"it drains": func(l *testLoad, w *worker) {
			info := *w.info
			info.Draining = true
			l.accept(jobs.Command{Announce: &info})
		},
		"its host is cordoned": func(l *testLoad, w *worker) { l.s.CordonHosts(map[model.HostID]bool{w.info.Host: true}) },
		"the pool shrinks": func(l *testLoad, w *worker) {
			info := *w.info
			info.Service = "other"
			l.accept(jobs.Command{Announce: &info})
		},
		"the leader changes": func(l *testLoad, _ *worker) { l.newLeader() },
	} {
		t.Run(name, func(t *testing.T) {
			l, stream := fullPool(t, 4)
			h := l.s.services["render"].reservations.holds[0]
			lost := l.s.workers[h.places[0].Worker]
			l.step()
			lose(l, lost)
			for range 3 { // the interval between two plans
				stream()
				l.step()
			}
			require.Len(t, l.s.services["render"].reservations.holds, 1)
			for _, place := range l.s.services["render"].reservations.holds[0].places {
				require.True(t, name == "the leader changes" || place.Worker != lost.info.ID)
			}
			require.LessOrEqual(t, l.waitFor(task("gang"), 20*model.Second, stream), gangSlack)
			require.Empty(t, l.s.services["render"].reservations.holds)
			for _, w := range l.s.workers {
				require.Empty(t, w.reserved)
			}
		})
	}
}

// Load: a large task whose reservation waits for a run of 7 times its prediction. Guards
// against a reservation that stays on its worker although another one is free sooner, and
// against one that is moved for each late end.
func TestReservationBehindAMispredictedRun(t *testing.T) {
	l := newLoad(t, simBounds, numberedWorkers(3, 1)...)
	l.duration = func(ref jobs.TaskRef) model.Duration {
		if ref.Job == "long" {
			return 7 * model.Second
		}
		return staggered(ref)
	}
	l.submitJob("long", "press", jobs.Step{Tasks: 1, Size: cores(1), Estimate: model.Second})
	stream := l.smallJobs(cores(1), 6)
	for range 30 {
		stream()
		l.step()
	}
	l.submitJob("large", "press", jobs.Step{Tasks: 1, Size: cores(8), Estimate: 10 * model.Second})
	h := l.s.services["render"].reservations.holds[0]
	long := l.running[jobs.RunRef{TaskRef: task("long"), Run: 1}].worker
	if h.places[0].Worker != long { // the prediction of the first second is for the run alone
		l.s.removeHold(h)
		h.places[0].Worker = long
		l.s.addHold(h)
	}
	require.LessOrEqual(t, l.waitFor(task("large"), 20*model.Second, stream), 5600*ms) // its slack
	require.NotEqual(t, long, l.running[jobs.RunRef{TaskRef: task("large"), Run: 1}].worker)
	require.LessOrEqual(t, l.logged[effect.ReservationAbandoned], 2)
}

// Load: all racks are full of long-running tasks but one, which a stream of small jobs fills.
// Guards against a reservation of places that never become free.
func TestColocatedGangWhenAllRacksAreFullButOne(t *testing.T) {
	l := newLoad(t, simBounds, numberedWorkers(6, 2)...)
	l.duration = func(ref jobs.TaskRef) model.Duration {
		if ref.Job == "service" {
			return 1000 * model.Second
		}
		return staggered(ref)
	}
	l.submitJob("service", "press", jobs.Step{Tasks: 4, Size: cores(7), Estimate: model.Second, LongRunning: true, PerWorker: 1})
	stream := l.smallJobs(cores(1), 12)
	for range 60 {
		stream()
		l.step()
	}
	l.submitJob("gang", "press", jobs.Step{Tasks: 4, Size: cores(3), Estimate: 6 * model.Second, Gang: true, Colocated: true})
	require.LessOrEqual(t, l.waitFor(task("gang"), 20*model.Second, stream), gangSlack)
	rack := make(map[model.RackID]bool)
	for ref, r := range l.running {
		if ref.Job == "gang" {
			rack[l.state.Workers[r.worker].Rack] = true
		}
	}
	require.Len(t, rack, 1)
}

// Load: a late large task beside a stream of small jobs that are on time. Guards against
// capacity that is held for a job without a chance while others are on time, and against its
// starvation.
func TestLateJobHoldsNothingUntilTheBound(t *testing.T) {
	l := newLoad(t, simBounds, numberedWorkers(4, 2)...)
	l.duration = staggered
	stream := l.smallJobs(cores(1), 8)
	for range 60 {
		stream()
		l.step()
	}
	l.submitJob("large", "press", jobs.Step{Tasks: 1, Size: cores(8), Estimate: model.Second})
	large := l.s.active["large"]
	large.due = l.now
	l.step()
	waited := l.waitFor(task("large"), 30*model.Second, func() {
		stream()
		p := l.s.services["render"]
		for _, h := range p.reservations.holds {
			require.True(t, !h.strict || l.now > large.due.Add(strictLateness))
			require.True(t, h.strict || !l.s.keepsOffOnTimeJob(l.loadEnv(), p, h))
		}
	})
	require.Greater(t, waited, strictLateness)
	// After the bound it waits for the predicted time of the runs on a worker, and then for
	// the longest run.
	require.LessOrEqual(t, waited, strictLateness+2*model.Second+1300*ms)
}

// Load: a large task of low precedence beside a stream of high precedence that fills the
// pool. Guards against a reservation that delays work of a higher precedence.
func TestReservationDoesNotDelayHigherPrecedence(t *testing.T) {
	l := newLoad(t, simBounds, numberedWorkers(2, 1)...)
	low := l.state.Config.Queues[0]
	low.ID, low.Precedence = "low", 1
	l.state.Config.Queues = append(l.state.Config.Queues, low)
	l.accept(jobs.Command{Submit: &jobs.Job{ID: "low", Queue: "low", Service: "render", Team: "press", Rounds: make([]jobs.Round, 1),
		Steps: []jobs.Step{{Tasks: 2, Size: cores(7), Estimate: 10 * model.Second}}}})
	l.duration = func(jobs.TaskRef) model.Duration { return 2 * model.Second }
	l.accept(jobs.Command{Submit: &jobs.Job{ID: "low2", Queue: "low", Service: "render", Team: "press", Rounds: make([]jobs.Round, 1),
		Steps: []jobs.Step{{Tasks: 1, Size: cores(8), Estimate: model.Second}}}})
	require.Len(t, l.s.services["render"].reservations.holds, 1)
	l.submitJob("high", "press", jobs.Step{Tasks: 2, Size: cores(1), Estimate: 20 * model.Second})
	require.Len(t, l.running, 4)
	l.submitJob("other", "press", jobs.Step{Tasks: 1, Size: cores(1), Estimate: 20 * model.Second})
	require.Len(t, l.running, 4, "no worker has room")
}

// Load: a large task of high precedence behind runs of 7 times their prediction, beside a
// stream of low precedence that is on time. Guards against capacity that is kept from the
// stream after the large task has become late.
func TestReservationEndsWhenItsJobIsLate(t *testing.T) {
	l := newLoad(t, simBounds, numberedWorkers(1, 1)...)
	low := l.state.Config.Queues[0]
	low.ID, low.Precedence = "low", 1
	l.state.Config.Queues = append(l.state.Config.Queues, low)
	submitLow := func(id model.JobID) {
		l.accept(jobs.Command{Submit: &jobs.Job{ID: id, Queue: "low", Service: "render", Team: "press", Rounds: make([]jobs.Round, 1),
			Steps: []jobs.Step{{Tasks: 4, Size: cores(1), Estimate: 10 * model.Second}}}})
	}
	l.duration = func(jobs.TaskRef) model.Duration { return 7 * model.Second }
	l.submitJob("first", "press", jobs.Step{Tasks: 4, Size: cores(1), Estimate: model.Second})
	l.submitJob("large", "press", jobs.Step{Tasks: 1, Size: cores(8), Estimate: 2 * model.Second})
	submitLow("low")
	require.NotNil(t, l.s.active["large"].hold)
	require.Len(t, l.running, 4)
	for !l.s.active["large"].late {
		l.step()
	}
	l.step()
	require.Len(t, l.running, 8)
	submitLow("low2")
	for range 10 {
		l.step()
	}
	require.Nil(t, l.s.active["large"].hold)
}

// Load: a large task in a full pool that a host is about to join. Guards against work kept off
// a worker although the new host is there sooner, and against a new host that small jobs
// take.
func TestLargeTaskWaitsForAHostThatJoins(t *testing.T) {
	l := newLoad(t, simBounds, numberedWorkers(2, 1)...)
	l.duration = func(jobs.TaskRef) model.Duration { return 8 * model.Second }
	l.submitJob("first", "press", jobs.Step{Tasks: 16, Size: cores(1), Estimate: 8 * model.Second})
	joining := testWorker("w100")
	joining.Service, joining.Address = "render", "w100"
	l.s.SetForecasts(map[model.ServiceID]Forecast{"render": {Incoming: []Incoming{{At: l.now.Add(model.Second), Capacity: joining.Capacity}}}})
	l.submitJob("large", "press", jobs.Step{Tasks: 1, Size: cores(8), Estimate: 20 * model.Second})
	require.True(t, l.s.active["large"].hold.onNewHost)
	for _, w := range l.s.workers {
		require.Empty(t, w.reserved)
	}
	for range 20 {
		l.step()
	}
	l.submitJob("small", "press", jobs.Step{Tasks: 8, Size: cores(1), Estimate: 8 * model.Second})
	l.accept(jobs.Command{Announce: &joining})
	require.LessOrEqual(t, l.waitFor(task("large"), 20*model.Second, func() {}), 4*stepTime)
	require.Equal(t, model.WorkerID("w100"), l.running[jobs.RunRef{TaskRef: task("large"), Run: 1}].worker)
}
