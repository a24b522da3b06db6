package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// benchCluster is a cluster of one process, with a disk that syncs at once.
type benchCluster struct {
	b        *testing.B
	state    *State
	now      model.Time
	forwards []effect.Forward
	requests int
	teams    int
}

const (
	benchSlots    = 8 // of each target
	benchEventGap = 10 * model.Microsecond
)

// BenchmarkReduce measures Reduce for three events: the arrival of a request while the
// stated number of requests waits, the end of a running request, and the announcement
// of a target. The time may grow with the logarithm of the size.
func BenchmarkReduce(b *testing.B) {
	for _, size := range []struct{ targets, queued, teams int }{{50, 1000, 6}, {100, 2000, 12}, {200, 4000, 24}} {
		name := fmt.Sprintf("targets=%d/queued=%d/teams=%d", size.targets, size.queued, size.teams)
		b.Run(name, func(b *testing.B) {
			w := newBenchCluster(b, size.targets, size.queued, size.teams)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				w.sendRequest()
				w.endOldest()
				w.announce(i%size.targets, uint64(10+i/size.targets), false)
				i++
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(3*b.N), "ns/event")
		})
	}
}

func newBenchCluster(b *testing.B, targets, queued, teams int) *benchCluster {
	id := consensus.NodeID{Host: "h", Incarnation: "disk"}
	stored := consensus.Bootstrap[fleet.Command, *fleet.State]([]consensus.NodeID{id})
	cfg := Config{Host: "h", DataCentre: "west", Incarnation: "life", Replica: "disk", Durable: true, MaxVoters: 1}
	s, err := New(cfg, stored, 0, 1)
	require.NoError(b, err)
	w := &benchCluster{b: b, state: s, teams: teams}
	w.runTwoSeconds()
	r := firstRules()
	for i := range teams {
		r.Teams[w.team(i)] = rules.Team{Share: 10 / float64(teams), Limit: targets * benchSlots}
	}
	w.do(event.CommandSubmitted{Command: fleet.Command{ID: "c", ApplyRules: &fleet.ApplyRules{Hash: "h", Rules: r}}})
	w.runTwoSeconds()
	for i := range targets {
		for seq := range uint64(3) {
			w.announce(i, seq+1, true)
		}
	}
	for range targets*benchSlots + queued {
		w.sendRequest()
	}
	require.Len(b, w.forwards, targets*benchSlots)
	return w
}

// runTwoSeconds advances the clock by two seconds, tick by tick.
func (w *benchCluster) runTwoSeconds() {
	for range 40 {
		w.now = w.now.Add(TickInterval)
		w.do(event.Tick{})
	}
}

func (w *benchCluster) do(e event.Event) {
	w.now = w.now.Add(benchEventGap)
	for _, f := range Reduce(w.state, event.Input{At: w.now, Rand: 7, Event: e}) {
		switch f := f.(type) {
		case effect.Persist:
			if f.Term != 0 {
				w.do(event.Persisted{Term: f.Term, Index: f.Index})
			}
		case effect.Forward:
			w.forwards = append(w.forwards, f)
		}
	}
}

func (w *benchCluster) team(i int) model.TeamID {
	return model.TeamID(fmt.Sprintf("team%d", i%w.teams))
}

func (w *benchCluster) sendRequest() {
	w.requests++
	w.do(event.RequestArrived{Request: event.Request{
		ID: model.RequestID(fmt.Sprintf("r%08d", w.requests)), Team: w.team(w.requests), Queue: "proofs",
		Idempotent: true, Worth: float64(w.requests % 8), Patience: model.Hour,
	}})
}

// endOldest ends the oldest running request. At every 1000th request the clock also
// ticks, so that the lease is renewed.
func (w *benchCluster) endOldest() {
	f := w.forwards[0]
	w.forwards = w.forwards[1:]
	w.do(event.ForwardEnded{
		Request: f.Request, Attempt: f.Attempt, Outcome: message.OutcomeAnswered, Status: 200, RunTime: model.Millisecond,
	})
	if w.requests%1000 == 0 {
		w.now = w.now.Add(TickInterval)
		w.do(event.Tick{})
	}
}

func (w *benchCluster) announce(i int, seq uint64, empty bool) {
	id := model.TargetID(fmt.Sprintf("t%03d", i))
	report := message.TargetReport{Report: seq, Seq: seq, Acked: seq - 1, State: message.TargetReady, Target: fleet.Target{
		ID: id, Incarnation: "1", Address: "a", Service: "render", DataCentre: "west", Slots: benchSlots, Connections: 64,
	}}
	if !empty {
		t := w.forwards[len(w.forwards)-1]
		if t.Target == id {
			report.Running = append(report.Running, message.RunningRequest{Request: t.Request, Team: "team0"})
		}
	}
	w.do(event.TargetReported{Report: report})
}
