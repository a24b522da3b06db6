package schedule

import (
	"fmt"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// lostRun is an ordered run that was recorded as ended without an end in a list of its
// worker. If that was wrong, the next run of its task is a second one.
type lostRun struct {
	run    int
	worker model.WorkerID
	at     model.Time
	reason string
}

func (l *lostRun) describe(now model.Time) string {
	return fmt.Sprintf("run %d on %s was given up %d ms ago: %s", l.run, l.worker, now.Sub(l.at)/model.Millisecond, l.reason)
}

// recordLost records that an ordered run was given up.
func (j *activeJob) recordLost(now model.Time, r *run, reason string) {
	if j.lost == nil {
		j.lost = make(map[jobs.TaskRef]*lostRun)
	}
	j.lost[r.ref.TaskRef] = &lostRun{r.ref.Run, r.worker.info.ID, now, reason}
}

// logRepeated logs an order to start the task of a run that was given up.
func (s *Scheduler) logRepeated(env Env, out *Out, r *run) {
	job := s.active[r.ref.Job]
	if job == nil || job.lost[r.ref.TaskRef] == nil {
		return
	}
	out.log(effect.RunRepeated, effect.Log{Request: model.RequestID(r.ref.Job), Task: runLabel(r.ref),
		Worker: r.worker.info.ID, Detail: job.lost[r.ref.TaskRef].describe(env.Now)})
}

// logLostRunListed logs, once per worker and run, that a worker lists a run which counts as
// ended.
func (s *Scheduler) logLostRunListed(env Env, out *Out, w *worker, listed *order.Running) {
	ref := listed.RunRef
	if w.lostListed[ref] {
		return
	}
	if w.lostListed == nil {
		w.lostListed = make(map[jobs.RunRef]bool)
	}
	w.lostListed[ref] = true
	detail := "not known why it counts as ended"
	if job := s.active[ref.Job]; job == nil {
		detail = "its job has ended"
	} else if l := job.lost[ref.TaskRef]; l != nil {
		detail = l.describe(env.Now)
	}
	detail += fmt.Sprintf("; it is at %d percent", listed.Percent) + s.describeStep(env, ref)
	out.log(effect.LostRunListed, effect.Log{Request: model.RequestID(ref.Job), Task: runLabel(ref), Worker: w.info.ID, Detail: detail})
}
