package schedule

import (
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// Best-effort runs are throttled when a run with a latency target on the same worker
// comes close to its target, and sped up when all such runs are well below theirs.
const (
	// slowDownAt and speedUpAt are response times, in percent of the target.
	slowDownAt = 80
	speedUpAt  = 55
	// speedStep is the increase of one step up, in percent of full speed.
	speedStep = 15
	// maxLoadPercent bounds the load in percent of a target.
	maxLoadPercent = 1e9
	// minSpeed is the speed below which a best-effort run is halted, in percent.
	minSpeed = 10
	// speedUpTime is the shortest time between two steps up.
	speedUpTime = 1500 * model.Millisecond
	// slowDownTime is the shortest time between two steps down. It spans two load
	// reports, which come every half second.
	slowDownTime = 700 * model.Millisecond
)

// throttleBestEffort sets the speed of the best-effort runs on a worker according to the
// load of the runs there that have a latency target.
func (s *Scheduler) throttleBestEffort(env Env, out *Out, w *worker) {
	worst := int64(-1) // highest load, in percent of the target
	bestEffort := false
	for _, r := range w.runs {
		if r.step.Target > 0 && r.phase == begun {
			worst = max(worst, loadPercent(r.load, r.step.Target))
		}
		bestEffort = bestEffort || r.step.BestEffort
	}
	if !bestEffort || worst < 0 {
		return
	}
	for _, r := range sortedRunsOf(w) {
		if !r.step.BestEffort || r.phase != begun {
			continue
		}
		if want := wantedSpeed(r.speed, worst, env.Now.Sub(r.throttledAt)); want != r.speed || r.speedLost {
			r.throttledAt, r.speed, r.speedLost = env.Now, want, false
			out.Effects = append(out.Effects, s.call(w, order.Call{Throttle: &order.Throttle{RunRef: r.ref, Percent: want}}))
			out.log(effect.RunThrottled, effect.Log{Request: model.RequestID(r.ref.Job), Task: runLabel(r.ref), Worker: w.info.ID, Count: want})
		}
	}
}

// handleThrottleReply handles the result of a call that sets the speed of a run. One that was not
// accepted is repeated with the next list, since orders may have raised the token meanwhile.
func (s *Scheduler) handleThrottleReply(w *worker, reply *order.Reply) {
	call := reply.Call.Throttle
	if r := w.runs[call.RunRef]; r != nil && r.speed == call.Percent && reply.Status != order.Accepted {
		r.speedLost = true
	}
}

// loadPercent returns a load, in milliseconds, in percent of a target, which may be
// shorter than a millisecond.
func loadPercent(load int64, target model.Duration) int64 {
	return int64(min(float64(load)*100*float64(model.Millisecond)/float64(target), maxLoadPercent))
}

// wantedSpeed returns the next speed of a best-effort run, in percent. since is the time
// since the latest change.
func wantedSpeed(percent int, load int64, since model.Duration) int {
	switch {
	case load >= 100:
		return 0
	case load >= slowDownAt && since >= slowDownTime:
		if percent/2 < minSpeed {
			return 0
		}
		return percent / 2
	case load <= speedUpAt && since >= speedUpTime:
		return min(100, percent+speedStep)
	}
	return percent
}
