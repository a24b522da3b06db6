package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// testLog applies commands to a state, with increasing log indexes as times.
type testLog struct {
	state State
	index uint64
}

func (l *testLog) apply(c Command) Result {
	l.index++
	return l.state.Apply(&c, l.index, model.Time(l.index))
}

func newTestLog(step Step) *testLog {
	l := &testLog{}
	l.apply(Command{Announce: &Worker{ID: "w", Address: "a"}})
	l.apply(Command{Submit: &Job{ID: "j", Steps: []Step{step}, Rounds: make([]Round, 1)}})
	return l
}

func (l *testLog) assign(run int) bool {
	a := Assignment{RunRef: RunRef{TaskRef: TaskRef{Job: "j"}, Run: run}, Worker: "w", Incarnation: l.state.Workers["w"].Incarnation}
	return l.apply(Command{Assign: &Assign{Runs: []Assignment{a}}}).Applied[0]
}

func (l *testLog) end(run int, o Outcome) bool {
	e := Ending{RunRef: RunRef{TaskRef: TaskRef{Job: "j"}, Run: run}, Outcome: o, MaxAttempts: 2}
	return l.apply(Command{End: &End{Runs: []Ending{e}}}).Applied[0]
}

// Guards against a task that runs more often than its attempts allow, or again after
// a copy of it is done. Each end of an abandoned copy must count exactly once, in any
// order, also if the worker lists it repeatedly.
func TestEndsOfAbandonedCopiesCountOnce(t *testing.T) {
	l := newTestLog(Step{Tasks: 1, Copies: true})
	require.True(t, l.assign(1))
	require.True(t, l.end(1, OutcomeLost))
	require.True(t, l.assign(2))
	require.True(t, l.end(1, OutcomeFailed))
	require.False(t, l.end(1, OutcomeFailed), "the worker lists the same end again to a later leader")
	require.Equal(t, Active, l.state.Jobs["j"].Phase)
	require.True(t, l.end(2, OutcomeFailed))
	require.Equal(t, Failed, l.state.Jobs["j"].Phase)

	l = newTestLog(Step{Tasks: 1, Copies: true})
	require.True(t, l.assign(1))
	require.True(t, l.end(1, OutcomeLost))
	require.True(t, l.end(1, OutcomeDone))
	require.False(t, l.assign(2))
	require.Equal(t, Completed, l.state.Jobs["j"].Phase)

	l = newTestLog(Step{Tasks: 1})
	require.True(t, l.assign(1))
	require.True(t, l.end(1, OutcomeLost))
	require.False(t, l.end(1, OutcomeDone), "without copies, a lost run has ended for good")
}

// Guards against an assignment that takes effect although its task is placed already,
// its run number is used, or its worker has restarted since it was proposed.
func TestStaleAssignmentsAreIgnored(t *testing.T) {
	l := newTestLog(Step{Tasks: 1})
	require.True(t, l.assign(1))
	require.False(t, l.assign(2), "the task is placed already")
	require.True(t, l.end(1, OutcomeStopped))
	require.False(t, l.assign(1), "the run number is used already")
	earlier := l.state.Workers["w"].Incarnation
	l.apply(Command{Announce: &Worker{ID: "w", Address: "a", StartedAt: 7}})
	stale := Assignment{RunRef: RunRef{TaskRef: TaskRef{Job: "j"}, Run: 2}, Worker: "w", Incarnation: earlier}
	require.False(t, l.apply(Command{Assign: &Assign{Runs: []Assignment{stale}}}).Applied[0])
	require.True(t, l.assign(2))
	l.apply(Command{Cancel: &Cancel{Job: "j"}})
	require.NotNil(t, l.state.Jobs["j"].Rounds, "its run may still be running")
	require.True(t, l.end(2, OutcomeStopped))
	require.Nil(t, l.state.Jobs["j"].Rounds)
}

// Guards against an order on a data centre that is applied after a later one, and
// against one that is refused although it says what is in force.
func TestOrderDoesNotFollowALaterOne(t *testing.T) {
	s := &State{}
	set := func(index uint64, out bool, horizon uint64) Result {
		return s.Apply(&Command{SetOut: &SetOut{DataCentre: "west", Out: out, Horizon: horizon}}, index, 0)
	}
	require.Nil(t, set(5, true, 3).Problem)
	require.Nil(t, set(9, true, 3).Problem, "a repetition is acknowledged")
	late := set(10, false, 8)
	require.Equal(t, problem.CallSuperseded, late.Problem.Kind, "it arrived before the repetition was recorded")
	require.Equal(t, uint64(9), late.SupersededBy)
	require.True(t, s.OutOfService["west"])
	require.Equal(t, problem.CallSuperseded, set(11, false, 9).Problem.Kind)
	require.Nil(t, set(12, false, 10).Problem)
	require.False(t, s.Clone().OutOfService["west"])
	require.Equal(t, uint64(12), s.Clone().ServiceOrders["west"])
	require.Nil(t, set(13, true, 0).Problem, "an entry without a horizon, written by an earlier release, is applied")
	require.Nil(t, s.Apply(&Command{SetOut: &SetOut{DataCentre: "east", Out: true, Horizon: 2}}, 14, 0).Problem, "orders on other data centres do not count")
}

// Guards against ended jobs that a replica keeps for ever, once it has restored them from
// a snapshot.
func TestEndedJobIsForgottenAfterARestore(t *testing.T) {
	l := newTestLog(Step{Tasks: 1})
	l.apply(Command{Cancel: &Cancel{Job: "j"}})
	restored := l.state.Clone()
	restored.Apply(&Command{Forget: &Forget{Before: 100}}, 9, 100)
	require.Empty(t, restored.Jobs)
	require.Empty(t, restored.Ended)
}

// Guards against a job that is accepted after its cancelling was acknowledged: the
// submission was sent first, lay somewhere, and its caller has gone.
func TestSubmissionAfterItsCancellingIsRefused(t *testing.T) {
	l := &testLog{}
	cancelled := l.apply(Command{Cancel: &Cancel{Job: "j", Queue: "q"}})
	require.Equal(t, problem.UnknownJob, cancelled.Problem.Kind, "as for any job that is not known")
	late := l.apply(Command{Submit: &Job{ID: "j", Queue: "q", Steps: []Step{{Tasks: 1}}, Rounds: make([]Round, 1)}})
	require.Equal(t, problem.JobRejected, late.Problem.Kind)
	require.False(t, late.Changed)
	require.Equal(t, Cancelled, l.state.Jobs["j"].Phase)
	restored := l.state.Clone()
	restored.Apply(&Command{Forget: &Forget{Before: 100}}, 9, 100)
	require.Empty(t, restored.Jobs, "it is forgotten like a job that has ended")
}

// Guards against a configuration or a wave that is proposed again by a call that lay
// somewhere while its operator went on: the version and the id tell it from a later one.
func TestLateConfigurationAndWaveChangeNothing(t *testing.T) {
	l := &testLog{}
	require.True(t, l.apply(Command{Configure: &Config{Version: 5, Document: "five"}}).Changed)
	require.True(t, l.apply(Command{Configure: &Config{Version: 9, Document: "nine"}}).Changed)
	for _, version := range []uint64{5, 9} {
		late := l.apply(Command{Configure: &Config{Version: version, Document: "late"}})
		require.Nil(t, late.Problem, "it is acknowledged")
		require.False(t, late.Changed)
		require.Equal(t, "nine", l.state.Config.Document)
	}
	require.True(t, l.apply(Command{StartWave: &StartWave{Wave: 1, Hosts: []model.HostID{"h"}, Cap: 1}}).Changed)
	l.apply(Command{Maintain: &Maintain{Wave: 1, Host: "h", Accepted: true}})
	l.apply(Command{CloseWave: &CloseWave{Wave: 1}})
	late := l.apply(Command{StartWave: &StartWave{Wave: 1, Hosts: []model.HostID{"h", "i"}, Cap: 2}})
	require.Nil(t, late.Problem)
	require.False(t, late.Changed)
	require.True(t, l.state.Waves[1].Closed)
	require.Equal(t, 1, l.state.Waves[1].Cap)
}

// Guards against a run that counts as confirmed because an earlier run of its task was.
func TestConfirmHoldsForOneRun(t *testing.T) {
	l := newTestLog(Step{Tasks: 1, LongRunning: true})
	confirm := func(run int) bool {
		return l.apply(Command{Confirm: &Confirm{Runs: []RunRef{{TaskRef: TaskRef{Job: "j"}, Run: run}, {TaskRef: TaskRef{Job: "k"}}}}}).Changed
	}
	confirmed := func() bool { return l.state.Task(TaskRef{Job: "j"}).Confirmed }
	require.False(t, confirm(1), "not assigned")
	require.True(t, l.assign(1))
	require.False(t, confirm(2), "another run")
	require.True(t, confirm(1))
	require.True(t, confirmed())
	require.True(t, l.end(1, OutcomeLost))
	require.False(t, confirmed())
	require.False(t, confirm(1), "it has ended")
	require.True(t, l.assign(2))
	require.False(t, confirmed())
}
