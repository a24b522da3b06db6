package schedule

import (
	"fmt"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
)

// loadInterval is the time between two log lines about the leader's load.
const loadInterval = 5 * model.Second

// load counts what a leader did since it last logged it.
type load struct {
	since       model.Time
	starts      int // orders to start a run
	resends     int // orders that were sent again
	polls       int
	ends        int
	longestTick model.Duration // time between two ticks
}

// logLoad logs the counts of the latest interval, unless nothing was called.
func (s *Scheduler) logLoad(env Env, out *Out) {
	l := &s.load
	if l.since == 0 {
		l.since = env.Now
	}
	if env.Now.Sub(l.since) < loadInterval {
		return
	}
	if l.starts+l.polls > 0 {
		out.log(effect.LeaderLoad, effect.Log{Count: l.starts, Detail: fmt.Sprintf(
			"%d orders repeated, %d ends, %d polls, an order takes %d ms, longest time between ticks %d ms",
			l.resends, l.ends, l.polls, s.orderTime/model.Millisecond, l.longestTick/model.Millisecond)})
	}
	*l = load{since: env.Now}
}
