package schedule

import (
	"fmt"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
)

// loadInterval is the interval between log events about the leader's load.
const loadInterval = 5 * model.Second

// load counts the leader's calls to workers since its latest log event about them.
type load struct {
	since       model.Time
	starts      int // orders to start a run
	resends     int // orders sent again
	polls       int
	ends        int
	longestTick model.Duration // longest time between two ticks
}

// logLoad logs the counts of the latest interval, unless it had no calls.
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
