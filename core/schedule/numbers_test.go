package schedule

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Guards against a leader that ends, and the next one with it, because a long-running
// task has a target below a millisecond.
func TestTargetBelowAMillisecond(t *testing.T) {
	for _, target := range []model.Duration{1, ms / 2, ms - 1, ms, 1 << 62} {
		f := newFixture(t, testWorker("a"))
		f.submit("j", jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true, Target: target})
		f.submit("k", jobs.Step{Tasks: 1, Size: cores(1), LongRunning: true, BestEffort: true})
		f.s = New(f.env()) // the job may already be in the log of a new leader
		f.advance()
		serving, filling := runningFully(ref("j", 0, 1)), runningFully(ref("k", 0, 1))
		serving.Load = 7
		f.answerPoll("a", []order.Running{serving, filling}, nil)
		f.takeCalls("a")
		f.answerPoll("a", []order.Running{serving, filling}, nil)
		wanted := 100
		if target < 7*ms {
			wanted = 0
		}
		require.Equal(t, wanted, f.s.runs[ref("k", 0, 1)].speed, target)
	}
}

func TestLoadPercent(t *testing.T) {
	require.Equal(t, int64(50), loadPercent(250, 500*ms))
	require.Equal(t, int64(1400), loadPercent(7, ms/2))
	require.Equal(t, int64(maxLoadPercent), loadPercent(1<<40, 1))
	require.Zero(t, loadPercent(0, 1))
}

// FuzzJobNumbers guards against numbers of a caller that end the leader: a job that is
// accepted is placed, polled and served.
func FuzzJobNumbers(f *testing.F) {
	for _, n := range []int64{0, 1, 499_999, int64(ms) - 1, int64(ms), math.MaxInt64, math.MaxInt64 - 1, -1, math.MinInt64} {
		f.Add(n, n, n, n, n, 1, 1.5, 1)
		f.Add(int64(ms), int64(ms), int64(0), n, n, int(n), 1e300, 3)
	}
	f.Fuzz(func(t *testing.T, target, estimate, firstAt, interval, load int64, perWorker int, stretch float64, tasks int) {
		fx := newFixture(t, testWorker("a"))
		fx.state.Config.Queues[0].Stretch = stretch
		j := &jobs.Job{
			ID: "j", Queue: "q", Service: "render", Team: "press", FirstAt: model.Time(firstAt), Interval: model.Duration(interval),
			Rounds: make([]jobs.Round, 2),
			Steps: []jobs.Step{{Tasks: tasks, Size: cores(1), Estimate: model.Duration(estimate), Target: model.Duration(target), PerWorker: perWorker, LongRunning: target != 0},
				{Tasks: 1, Size: cores(1), BestEffort: true, LongRunning: true, MaxUnavailable: perWorker}},
		}
		if j.Check() != nil {
			return
		}
		require.GreaterOrEqual(t, j.RoundDue(1), j.RoundDue(0))
		fx.s.RecordArrival(fx.env(), &fx.state.Config.Queues[0], j)
		fx.s.Admit(fx.env(), &fx.state.Config.Queues[0], j)
		fx.commit(jobs.Command{Submit: j})
		for range 3 {
			var running []order.Running
			for _, c := range fx.takeCalls("a") {
				if c.Start != nil {
					running = append(running, order.Running{RunRef: c.Start.RunRef, Percent: 100, Load: min(max(load, 0), 1<<40)})
				}
			}
			fx.answerPoll("a", running, nil)
			fx.s.Demand(fx.env(), "render")
			fx.advanceBy(50 * ms)
		}
	})
}
