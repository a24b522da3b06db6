package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// announceOther announces a process with another ID on the host of worker a.
func (f *fixture) announceOther(id model.WorkerID, startedAt int64, address string) {
	other := testWorker(id)
	other.Service, other.Host, other.StartedAt, other.Address = "render", "host-a", startedAt, address
	f.commit(jobs.Command{Announce: &other})
}

// announceAgain announces a process of worker a, whose ID another process on its host had meanwhile.
func (f *fixture) announceAgain(startedAt int64) {
	f.announceOther("a", startedAt, "a")
}

// endedFixture returns a fixture whose worker a has left an order without an answer, and whose
// process has ended. It returns when the order was sent.
func endedFixture(t *testing.T, end func(f *fixture)) (*fixture, model.Time) {
	f, first := orderedFixture(t)
	sent := f.now
	f.unanswered(first)
	f.advanceBy(50 * ms)
	f.takeCalls("a")
	end(f)
	return f, sent
}

func endedByAnnouncement(f *fixture) { f.announceOther("b", 2000, "b") }

func endedByListOfHosts(f *fixture) {
	f.commit(jobs.Command{Depart: &jobs.Depart{Worker: "a", Incarnation: f.state.Workers["a"].Incarnation, Ended: true}})
}

// Guards against a second run beside one that a host starts under the ID that it had before: a
// process with another ID ended all runs of the first, also those whose order could still arrive.
func TestOrderMayReachAProcessUnderAnIDUsedAgain(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"another process is announced":      endedByAnnouncement,
		"the list of hosts names another":   endedByListOfHosts,
		"announced after the process ended": func(f *fixture) { endedByListOfHosts(f); endedByAnnouncement(f) },
	} {
		t.Run(name, func(t *testing.T) {
			f, sent := endedFixture(t, end)
			require.Contains(t, f.s.runs, ref("j", 0, 1))
			f.advanceBy(400 * ms)
			f.announceAgain(6000)
			running := []order.Running{runningFully(ref("j", 0, 1))}
			for f.now.Sub(sent) < maxCallDelay {
				f.replyToPolls("a", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms)), StartedAt: 6000, Running: running})
				require.Contains(t, f.s.runs, ref("j", 0, 1), "%d ms after the order", f.now.Sub(sent)/ms)
				require.Equal(t, 1, f.task("j").Run)
				f.advanceBy(50 * ms)
			}
		})
	}
}

// The same with a later process of the worker that has answered and is not announced: it may have
// started after the process with the other ID.
func TestRunOfAnUnannouncedProcessUnderAnIDUsedAgain(t *testing.T) {
	f, first := orderedFixture(t)
	f.advanceBy(900 * ms)
	f.startAnswered(first, 20)
	f.announceOther("b", 2000, "b")
	require.Contains(t, f.s.runs, ref("j", 0, 1))
}

// Guards against a wait for all runs of a host that changes its ID: only those wait whose order
// has no answer.
func TestRunsOfAHostThatChangesItsIDEndAtOnce(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"another process is announced":    endedByAnnouncement,
		"the list of hosts names another": endedByListOfHosts,
	} {
		t.Run(name, func(t *testing.T) {
			a := testWorker("a")
			a.StartedAt = 1000
			f := newFixture(t, a)
			f.advanceBy(50 * ms)
			f.submit("j", jobs.Step{Tasks: 3, Size: cores(1)})
			starts := f.takeCalls("a")
			require.Len(t, starts, 3)
			f.startAnswered(starts[0], order.ClockMS(f.now/model.Time(ms)))
			f.startAnswered(starts[1], order.ClockMS(f.now/model.Time(ms)))
			f.unanswered(starts[2])
			end(f)
			require.NotContains(t, f.s.runs, starts[0].Start.RunRef)
			require.NotContains(t, f.s.runs, starts[1].Start.RunRef)
			require.Contains(t, f.s.runs, starts[2].Start.RunRef)
			require.NotContains(t, f.state.Workers, model.WorkerID("a"))
		})
	}
}

// Guards against runs of an earlier ID that are given up while an order may arrive, or kept longer.
// The process that is up reads what was held for its own address.
func TestListUnderAnotherIDEndsTheRunsWhoseOrdersHaveArrived(t *testing.T) {
	for address, until := range map[string]func(sent, first model.Time) model.Time{
		"a": func(_, first model.Time) model.Time { return first.Add(lateCallTime) },
		"b": func(sent, _ model.Time) model.Time { return sent.Add(maxCallDelay) },
	} {
		t.Run("at address "+address, func(t *testing.T) {
			f, sent := endedFixture(t, func(f *fixture) { f.announceOther("b", 2000, address) })
			f.advanceBy(4 * model.Second)
			polledAt, first := f.now, model.Time(0)
			for f.s.runs[ref("j", 0, 1)] != nil && f.now.Sub(sent) < 60*model.Second {
				polledAt = f.now
				f.advanceBy(50 * ms)
				if f.lastPoll("b").Poll == nil {
					continue
				}
				if first == 0 {
					first = f.now
				}
				f.replyToPolls("b", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms)), StartedAt: 2000})
			}
			end := until(sent, first)
			require.GreaterOrEqual(t, polledAt, end)
			require.Less(t, f.now, end.Add(500*ms), "it was given up %d ms after the order", f.now.Sub(sent)/ms)
		})
	}
}

// Guards against runs that are kept for ever if no process on the host answers.
func TestRunsOfAnEarlierIDEndWithTheLongestLease(t *testing.T) {
	f, sent := endedFixture(t, endedByAnnouncement)
	end := sent.Add(maxCallDelay + longestLease)
	for f.s.runs[ref("j", 0, 1)] != nil && f.now.Sub(sent) < 60*model.Second {
		f.failPolls("b", order.NoAnswer, 50*ms)
	}
	require.GreaterOrEqual(t, f.now, end)
	require.Less(t, f.now, end.Add(500*ms))
}

// Guards against a run that a later process has accepted on another host, to which its ID has moved
// with the address: a list of the process that is up on the first host ended it.
func TestListUnderAnotherIDEndsNoRunOnAnotherHost(t *testing.T) {
	f, first := orderedFixture(t)
	f.advanceBy(50 * ms)
	f.startAnswered(first, 20)
	accepted := f.now
	moved := testWorker("a")
	moved.Service, moved.Host, moved.StartedAt, moved.Address = "render", "host-x", 3000, "a"
	f.commit(jobs.Command{Announce: &moved})
	f.announceOther("b", 2000, "b")
	for f.now.Sub(accepted) < longestLease {
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after a later process has accepted it", f.now.Sub(accepted)/ms)
		f.advanceBy(50 * ms)
		f.replyToPolls("a", order.Reply{Status: order.NoAnswer})
		f.replyToPolls("b", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms)), StartedAt: 2000})
	}
}

// Guards against a task that is placed on a worker whose process is known to have ended, before the
// departure of the worker is committed.
func TestNoTaskIsPlacedOnAnEndedProcess(t *testing.T) {
	f, first := orderedFixture(t)
	f.answerPollWith("a", order.Reply{StartedAt: 1000, Running: []order.Running{runningFully(first.Start.RunRef)}})
	other := testWorker("b")
	other.Service, other.Host, other.StartedAt = "render", "host-a", 2000
	var end *jobs.End
	announce := jobs.Command{Announce: &other}
	var out Out
	f.s.Committed(f.env(), &out, &announce, f.apply(announce))
	for _, p := range out.Proposals {
		if p.End != nil {
			end = p.End
		}
	}
	require.NotNil(t, end)
	ended := jobs.Command{End: end}
	out = Out{}
	f.s.Committed(f.env(), &out, &ended, f.apply(ended))
	f.s.Place(f.env(), &out)
	for _, p := range out.Proposals {
		require.Nil(t, p.Assign, "the departure of the worker is not committed")
	}
}

// Guards against an order without an answer that is forgotten on the answer of a process with another
// ID, which was announced for a service that is no pool.
func TestAnswerUnderAnotherIDKeepsRunsWhoseOrderMayArrive(t *testing.T) {
	f, first := orderedFixture(t)
	f.unanswered(first)
	sent := f.now
	f.advanceBy(50 * ms)
	f.takeCalls("a")
	other := testWorker("b")
	other.Service, other.Host, other.StartedAt = "press", "host-a", 2000
	f.commit(jobs.Command{Announce: &other})
	for f.now.Sub(sent) < maxCallDelay {
		require.Contains(t, f.s.runs, ref("j", 0, 1), "given up %d ms after its order", f.now.Sub(sent)/ms)
		f.takeCalls("a")
		f.replyToPolls("b", order.Reply{Status: order.Accepted, Clock: order.ClockMS(f.now / model.Time(ms)), StartedAt: 2000})
		f.advanceBy(50 * ms)
	}
}

// announceOtherLater announces, after d, a process with another ID on the host of a worker whose process
// has ended. It takes no calls and ends before the next process of the worker starts.
func (s *sim) announceOtherLater(w *simWorker, d model.Duration) {
	s.after(d, func() {
		other := w.info
		other.ID, other.StartedAt = w.info.ID+"+", int64(s.now/model.Time(ms))
		if s.rng.IntN(2) == 0 {
			other.Address += "+"
		}
		s.note(w.info.ID, jobs.TaskRef{}, "its host has the ID %s", other.ID)
		s.commit(&jobs.Command{Announce: &other})
	})
}

// Guards against a task that runs twice: orders are executed by a process that has the ID of the
// first process on its host again.
func TestOrdersExecutedByAProcessUnderAnIDUsedAgain(t *testing.T) {
	testHeld(t, firstSeeds(4), heldOptions{delay: maxCallDelay, restarts: true, otherIDs: true})
}
