package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
)

// orderedGang returns a fixture whose workers a and b have been ordered to start a member each of
// the gang of job j. The first order to b has no answer, and a runs its member.
func orderedGang(t *testing.T) (f *fixture, onA, onB order.Call) {
	a, b := testWorker("a"), testWorker("b")
	a.StartedAt, b.StartedAt = 1000, 1000
	f = newFixture(t, a, b)
	f.advanceBy(50 * ms)
	f.submit("j", jobs.Step{Tasks: 2, Size: cores(1), Gang: true, PerWorker: 1})
	onA, onB = f.takeCalls("a")[0], f.takeCalls("b")[0]
	f.startAnswered(onA, order.ClockMS(f.now/model.Time(ms)))
	f.unanswered(onB)
	return f, onA, onB
}

// Guards against a gang that starts again, since one member has failed, while an order to start
// another member may still be carried out.
func TestGangWaitsForOrdersToItsOtherMembers(t *testing.T) {
	for name, c := range map[string]struct {
		listed    jobs.Outcome // of the member on b, empty if b does not list it
		newLeader bool
	}{
		"broken":                      {listed: jobs.OutcomeGangBroken},
		"stopped":                     {listed: jobs.OutcomeStopped},
		"not listed":                  {},
		"broken, with a new leader":   {listed: jobs.OutcomeGangBroken, newLeader: true},
		"unlisted, with a new leader": {newLeader: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, onA, onB := orderedGang(t)
			sent := f.now
			if c.listed != "" {
				second := f.takeCalls("b")
				for len(second) == 0 {
					f.advanceBy(50 * ms)
					second = f.takeCalls("b")
				}
				sent = f.now
				f.startAnswered(second[0], order.ClockMS(f.now/model.Time(ms)))
			}
			if c.newLeader {
				f.calls = nil
				f.s = New(f.env())
				f.advance()
			}
			failed := order.Reply{StartedAt: 1000, Ended: []order.Ended{{Number: 1, RunRef: onA.Start.RunRef, Outcome: jobs.OutcomeFailed}}}
			other := order.Reply{StartedAt: 1000}
			if c.listed != "" {
				other.Ended = []order.Ended{{Number: 1, RunRef: onB.Start.RunRef, Outcome: c.listed}}
			}
			var again []order.Call
			for ; len(again) == 0; f.advanceBy(50 * ms) {
				require.Less(t, f.now.Sub(sent), 2*lateCallTime, "the gang does not start again")
				f.answerIfPolled("a", failed)
				f.answerIfPolled("b", other)
				for _, call := range append(f.takeCalls("a"), f.takeCalls("b")...) {
					switch {
					case call.Start == nil:
					case call.Start.Run == 1:
						f.unanswered(call)
						sent = f.now
					default:
						require.GreaterOrEqual(t, f.now.Sub(sent), lateCallTime)
						again = append(again, call)
					}
				}
			}
		})
	}
}

func (f *fixture) answerIfPolled(id model.WorkerID, r order.Reply) {
	if f.lastPoll(id).Poll != nil {
		f.answerPollWith(id, r)
	}
}
