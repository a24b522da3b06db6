package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against a team whose burst makes the jobs of other teams late: it submits ten
// times its share while another team stays within its own.
func TestBurstOfOneTeamIsServedAfterOthers(t *testing.T) {
	s := make(shares)
	now := model.Time(1000 * model.Second)
	within := map[model.TeamID]int{}
	for range 400 {
		now = now.Add(25 * model.Millisecond) // 40 a second
		if s.take(now, "burst", 4) {
			within["burst"]++
		}
		if now%model.Time(model.Second) == 0 && s.take(now, "calm", 4) {
			within["calm"]++
		}
	}
	require.InDelta(t, 4*10+8, within["burst"], 2)
	require.Equal(t, 10, within["calm"])

	f := newFixture(t, testWorker("a"))
	f.state.Config.Teams["calm"] = jobs.Team{}
	for _, j := range []*jobs.Job{
		{ID: "beyond", Team: "press", OverShare: true}, {ID: "calm", Team: "calm"},
	} {
		j.Queue, j.Service, j.Rounds = "q", "render", make([]jobs.Round, 1)
		j.Steps = []jobs.Step{{Tasks: 1, Size: cores(8), Estimate: model.Second}}
		c := jobs.Command{Submit: j}
		result := f.apply(c)
		var out Out
		f.s.Committed(f.env(), &out, &c, result)
	}
	f.advance()
	starts := f.takeCalls("a")
	require.Len(t, starts, 1)
	require.Equal(t, model.JobID("calm"), starts[0].Start.Job)
}
