package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against stops of long-running tasks whose log lines do not tell which decision
// stopped them, and whether others of their step were not up.
func TestStopsAreLoggedWithTheStateOfTheStep(t *testing.T) {
	f := newFixture(t, testWorker("a"), testWorker("b"))
	f.submit("j", jobs.Step{Tasks: 2, Size: cores(1), LongRunning: true, PerWorker: 1, MaxUnavailable: 1})
	list := []order.Running{runningFully(f.takeCalls("a")[0].Start.RunRef)}
	f.takeCalls("b")
	f.answerPoll("a", list, nil)
	f.answerPoll("b", []order.Running{runningFully(ref("j", 1-list[0].Index, 1))}, nil)
	details := func(code effect.Code, handle func(out *Out)) (list []string) {
		f.act(func(out *Out) {
			handle(out)
			for _, e := range out.Effects {
				if l, ok := e.(effect.Log); ok && l.Code == code {
					list = append(list, l.Detail)
				}
			}
		})
		return list
	}
	stopped := f.s.runs[list[0].RunRef]
	require.Equal(t, []string{`its host is due for maintenance; 0 of its step are not up, 1 may be, its task is in phase "placed" with run 1`},
		details(effect.RunStopped, func(out *Out) { f.s.stop(f.env(), out, stopped, "its host is due for maintenance") }))

	lost := ref("j", 1-list[0].Index, 1)
	f.act(func(out *Out) {
		f.s.giveUp(f.env(), out, f.s.runs[lost], jobs.OutcomeLost, "", "the lease of its worker is over")
	})
	require.Equal(t, []string{"run 1 on b was given up 0 ms ago: lost: the lease of its worker is over; it is at 100 percent" +
		`; 2 of its step are not up, 1 may be, its task is in phase "placed" with run 2`},
		details(effect.LostRunListed, func(out *Out) {
			listed := runningFully(lost)
			f.s.handleRunning(f.env(), out, f.s.workers["b"], &listed, 1, f.now)
		}))
}
