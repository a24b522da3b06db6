package dispatch

import (
	"fmt"
	"testing"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// BenchmarkEvent measures events of the owner at three sizes: a request that arrives
// while the given number of others wait, together with an end that lets the next
// request start, and a report of a target. The time may grow with the logarithm of the
// size.
func BenchmarkEvent(b *testing.B) {
	for _, size := range []struct{ targets, queued, teams int }{{50, 1000, 6}, {100, 2000, 12}, {200, 4000, 24}} {
		name := fmt.Sprintf("targets=%d/queued=%d/teams=%d", size.targets, size.queued, size.teams)
		b.Run("request/"+name, func(b *testing.B) { benchmarkRequest(b, size.targets, size.queued, size.teams) })
		b.Run("report/"+name, func(b *testing.B) { benchmarkReport(b, size.targets, size.queued, size.teams) })
	}
}

const benchSlots = 8

// newLoadedFixture returns a fixture with all slots in use and queued requests, and
// the dispatches so far.
func newLoadedFixture(targets, queued, teams int) (*fixture, []*message.Dispatch) {
	r := twoTeams(1)
	r.Teams = make(map[model.TeamID]rules.Team)
	for i := range teams {
		r.Teams[benchTeam(i, teams)] = rules.Team{Share: 100 / float64(teams), Limit: targets * benchSlots}
	}
	f := newFixture(r)
	for i := range targets {
		f.ready(targetOf(fmt.Sprintf("t%03d", i), benchSlots))
	}
	for i := range targets*benchSlots + queued {
		f.ask(benchAsk(i, teams))
	}
	dispatched, _ := f.take()
	return f, dispatched
}

func benchTeam(i, teams int) model.TeamID { return model.TeamID(fmt.Sprintf("team%d", i%teams)) }

func benchAsk(i, teams int) message.Ask {
	a := askOf(i, benchTeam(i, teams), []model.QueueID{"proofs", "archive"}[i%2])
	a.Patience = model.Hour
	return a
}

// benchmarkRequest measures three events for each request: its arrival, the end of a
// running request, and the dispatch that follows.
func benchmarkRequest(b *testing.B, targets, queued, teams int) {
	f, running := newLoadedFixture(targets, queued, teams)
	next := targets*benchSlots + queued
	b.ReportAllocs()
	for b.Loop() {
		f.ask(benchAsk(next, teams))
		next++
		d := running[0]
		f.done(message.Done{Request: d.Request, Attempt: d.Attempt, Outcome: message.OutcomeAnswered, RunTime: model.Millisecond, Final: true})
		dispatched, _ := f.take()
		running = append(running[1:], dispatched...)
	}
}

func benchmarkReport(b *testing.B, targets, queued, teams int) {
	f, running := newLoadedFixture(targets, queued, teams)
	listed := make(map[model.TargetID][]message.RunningRequest)
	for _, d := range running {
		listed[d.Target] = append(listed[d.Target], message.RunningRequest{Request: d.Request, Team: "team0"})
	}
	i := 0
	regs := make([]fleet.Target, 0, targets)
	for _, id := range model.SortedKeys(f.owner.targets) {
		regs = append(regs, f.owner.targets[id].reg)
	}
	b.ReportAllocs()
	for b.Loop() {
		t := regs[i%len(regs)]
		f.report(t, listed[t.ID]...)
		f.take()
		i++
	}
}
