package schedule

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// replayContention plays a fixed sequence of submissions, ends and ticks that exceeds the
// capacity of four workers, and returns a digest of all orders, log events and refusals.
// It uses no random numbers and no floating-point arithmetic.
func replayContention(t *testing.T, disabled FeatureSet) string {
	f := newFixture(t, testWorker("a"), testWorker("b"), testWorker("c"), testWorker("d"))
	f.disabled = disabled
	f.state.Config.Teams = map[model.TeamID]jobs.Team{"small": {Weight: 1}, "large": {Weight: 2}, "none": {}}
	hash, number, ends := sha256.New(), map[model.WorkerID]uint64{}, map[jobs.RunRef]model.Time{}
	record := func(v any) {
		text, err := json.Marshal(v)
		require.NoError(t, err)
		hash.Write(text)
	}
	submit := func(i int) {
		q := f.state.Config.Queue("q")
		j := &jobs.Job{ID: model.JobID(fmt.Sprintf("%016x", i%97)), Queue: "q", Service: "render", Rounds: make([]jobs.Round, 1),
			Team: []model.TeamID{"small", "large", "none"}[i%3], Steps: []jobs.Step{{Tasks: 1 + i%7, Size: cores(int64(1 + i%4)), Estimate: model.Duration(200+i*37%900) * ms}}}
		if i%5 == 0 {
			j.Steps = append(j.Steps, jobs.Step{Tasks: 2, Size: cores(2), Estimate: 300 * ms, After: []int{0}})
		}
		if f.state.Jobs[j.ID] != nil {
			return
		}
		f.s.RecordArrival(f.env(), q, j)
		j.OverShare = !f.s.TakeShare(f.env(), j.Team)
		if p := f.s.Admit(f.env(), q, j); p != nil {
			record(fmt.Sprint(j.ID, p.Kind, p.RetryAfter))
			if !j.OverShare {
				f.s.ReturnShare(j.Team)
			}
			return
		}
		f.commit(jobs.Command{Submit: j})
	}
	for i := range 600 {
		f.now = f.now.Add(25 * ms)
		if i%40 < 24 {
			submit(i)
		}
		f.advance()
		for _, w := range model.SortedKeys(f.s.workers) {
			for _, c := range f.takeCalls(w) {
				c.Token = 0
				record(c)
				if c.Start != nil {
					ends[c.Start.RunRef] = f.now.Add(model.Duration(150+c.Seq*53%1400) * ms)
				}
			}
			var running []order.Running
			var ended []order.Ended
			for _, r := range sortedRunsOf(f.s.workers[w]) {
				if at, ordered := ends[r.ref]; ordered && at <= f.now {
					number[w]++
					ended = append(ended, order.Ended{Number: number[w], RunRef: r.ref, Outcome: jobs.OutcomeDone})
				} else if ordered {
					running = append(running, runningFully(r.ref))
				}
			}
			if f.s.workers[w].pendingPoll != 0 {
				f.answerPoll(w, running, ended)
			}
		}
	}
	record(f.logged)
	return fmt.Sprintf("%x", hash.Sum(nil)[:8])
}

// Guards against a changed decision while every feature is disabled. The digest was
// computed on the code before these features, without fencing tokens.
func TestDisabledFeaturesDecideAsBefore(t *testing.T) {
	require.Equal(t, "f792e278c381b40a", replayContention(t, AllFeatures))
}
