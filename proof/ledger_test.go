package proof

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/standin"
)

// ledger records the runs of all targets, as reported by the targets themselves.
type ledger struct {
	mu         sync.Mutex
	starts     []start
	runs       map[string]int // by request key
	running    map[string]int // by team
	maxRunning map[string]int // highest number of concurrent runs, by team
}

// start records the start of one run.
type start struct {
	key, team, target string
	centre            model.DataCentreID
	at                time.Time
}

func newLedger() *ledger {
	return &ledger{runs: map[string]int{}, running: map[string]int{}, maxRunning: map[string]int{}}
}

// record wraps the work of a target so that the ledger counts each run. The body
// contains the key and the team of the request, as written by request.body.
func (l *ledger) record(target string, centre model.DataCentreID, work standin.Work) standin.Work {
	return func(ctx context.Context, body []byte) model.Answer {
		var key, team string
		if _, err := fmt.Fscan(bytes.NewReader(body), &key, &team); err != nil {
			return model.Answer{Status: 500, Body: []byte(err.Error())}
		}
		l.begin(start{key, team, target, centre, time.Now()})
		defer l.end(team)
		return work(ctx, body)
	}
}

func (l *ledger) begin(s start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, s)
	l.runs[s.key]++
	l.running[s.team]++
	l.maxRunning[s.team] = max(l.maxRunning[s.team], l.running[s.team])
}

func (l *ledger) end(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[team]--
}

// counts returns copies of the number of runs by key and of the highest number of
// concurrent runs by team.
func (l *ledger) counts() (runs, maxRunning map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs), maps.Clone(l.maxRunning)
}

// count returns the number of starts for which match returns true.
func (l *ledger) count(match func(start) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.starts {
		if match(s) {
			n++
		}
	}
	return n
}

// last returns the time of the last start for which match returns true, or the zero
// time if there is none.
func (l *ledger) last(match func(start) bool) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var at time.Time
	for _, s := range l.starts {
		if match(s) && s.at.After(at) {
			at = s.at
		}
	}
	return at
}

// times returns the times of all starts, in order.
func (l *ledger) times() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := make([]time.Time, 0, len(l.starts))
	for _, s := range l.starts {
		times = append(times, s.at)
	}
	return times
}
