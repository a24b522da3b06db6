package schedule

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Fillers are slowed when a run that serves comes close to its target, and
// quickened when all beside them are well below theirs.
const (
	// paceDownAt and paceUpAt are parts of the target, in percent.
	paceDownAt = 80
	paceUpAt   = 55
	// paceStep is what a filler gains at once, in percent of full speed.
	paceStep = 15
	// paceFloor is the speed below which a filler is halted, in percent.
	paceFloor = 10
	// paceUpTime is the shortest time between two steps up.
	paceUpTime = 1500 * model.Millisecond
	// paceDownTime is the shortest time between two steps down: two reports of
	// half a second.
	paceDownTime = 700 * model.Millisecond
)

// paceFillers sets the speed of the fillers on a worker by the load of the runs
// that serve there.
func (s *Scheduler) paceFillers(env Env, out *Out, w *worker) {
	worst := int64(-1) // percent of the target
	fillers := false
	for _, r := range w.runs {
		if r.step.Target > 0 && r.phase == begun {
			worst = max(worst, r.load*100/int64(r.step.Target/model.Millisecond))
		}
		fillers = fillers || r.step.Filler
	}
	if !fillers || worst < 0 {
		return
	}
	for _, r := range sortedRunsOf(w) {
		if !r.step.Filler || r.phase != begun {
			continue
		}
		if want := wantedPace(r.pace, worst, env.Now.Sub(r.pacedAt)); want != r.pace {
			r.pacedAt, r.pace = env.Now, want
			out.Effects = append(out.Effects, s.call(w, order.Call{Pace: &order.Pace{RunRef: r.ref, Percent: want}}))
			out.log(effect.RunPaced, effect.Log{Request: model.RequestID(r.ref.Job), Task: taskName(r.ref), Worker: w.info.ID, Count: want})
		}
	}
}

// wantedPace returns the next speed of a filler, in percent.
func wantedPace(percent int, load int64, since model.Duration) int {
	switch {
	case load >= 100:
		return 0
	case load >= paceDownAt && since >= paceDownTime:
		if percent/2 < paceFloor {
			return 0
		}
		return percent / 2
	case load <= paceUpAt && since >= paceUpTime:
		return min(100, percent+paceStep)
	}
	return percent
}
