package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

type log struct {
	state State
	index uint64
}

func (l *log) apply(c Command) Result {
	l.index++
	return l.state.Apply(&c, l.index, model.Time(l.index))
}

func newLog(step Step) *log {
	l := &log{}
	l.apply(Command{Announce: &Worker{ID: "w", Address: "a"}})
	l.apply(Command{Submit: &Job{ID: "j", Steps: []Step{step}, Rounds: make([]Round, 1)}})
	return l
}

func (l *log) assign(run int) bool {
	a := Assignment{RunRef: RunRef{TaskRef: TaskRef{Job: "j"}, Run: run}, Worker: "w", Life: l.state.Workers["w"].Life}
	return l.apply(Command{Assign: &Assign{Runs: []Assignment{a}}}).Applied[0]
}

func (l *log) end(run int, o Outcome) bool {
	e := Ending{RunRef: RunRef{TaskRef: TaskRef{Job: "j"}, Run: run}, Outcome: o, MaxAttempts: 2}
	return l.apply(Command{End: &End{Runs: []Ending{e}}}).Applied[0]
}

// Guards against a run more than the attempts allow, or one after a copy was done:
// the ends of copies that were given up count once each, in whatever order they come
// and however often a worker lists them.
func TestEndsOfCopiesThatWereGivenUpCount(t *testing.T) {
	l := newLog(Step{Tasks: 1, Copies: true})
	require.True(t, l.assign(1))
	require.True(t, l.end(1, OutcomeLost))
	require.True(t, l.assign(2))
	require.True(t, l.end(1, OutcomeFailed))
	require.False(t, l.end(1, OutcomeFailed), "it is listed again to a later leader")
	require.Equal(t, Active, l.state.Jobs["j"].Phase)
	require.True(t, l.end(2, OutcomeFailed))
	require.Equal(t, Failed, l.state.Jobs["j"].Phase)

	l = newLog(Step{Tasks: 1, Copies: true})
	require.True(t, l.assign(1))
	require.True(t, l.end(1, OutcomeLost))
	require.True(t, l.end(1, OutcomeDone))
	require.False(t, l.assign(2))
	require.Equal(t, Completed, l.state.Jobs["j"].Phase)

	l = newLog(Step{Tasks: 1})
	require.True(t, l.assign(1))
	require.True(t, l.end(1, OutcomeLost))
	require.False(t, l.end(1, OutcomeDone), "without copies a run that was lost has ended")
}

// Guards against a run that is recorded twice, out of its step's turn, or for
// another life of its worker.
func TestAssignmentsThatNoLongerFit(t *testing.T) {
	l := newLog(Step{Tasks: 1})
	require.True(t, l.assign(1))
	require.False(t, l.assign(2), "it is placed")
	require.True(t, l.end(1, OutcomeStopped))
	require.False(t, l.assign(1), "its number is used")
	life := l.state.Workers["w"].Life
	l.apply(Command{Announce: &Worker{ID: "w", Address: "a", Born: 7}})
	stale := Assignment{RunRef: RunRef{TaskRef: TaskRef{Job: "j"}, Run: 2}, Worker: "w", Life: life}
	require.False(t, l.apply(Command{Assign: &Assign{Runs: []Assignment{stale}}}).Applied[0])
	require.True(t, l.assign(2))
	l.apply(Command{Cancel: &Cancel{Job: "j"}})
	require.NotNil(t, l.state.Jobs["j"].Rounds, "its run may go on")
	require.True(t, l.end(2, OutcomeStopped))
	require.Nil(t, l.state.Jobs["j"].Rounds)
}
