package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

const start = model.Time(1000 * model.Second)

func newEntryTable() *Table {
	return New(Config{Host: "e", Incarnation: "i", Seeds: []model.HostID{"a", "b"}})
}

func submit(seq uint64) call.Call {
	return call.Call{Seq: seq, Patience: 3 * model.Second, Submit: &call.Submit{}}
}

// sent returns the hosts to which calls were forwarded.
func sent(effects []effect.Effect) []model.HostID {
	var to []model.HostID
	for _, e := range effects {
		if s, ok := e.(effect.Send); ok && s.Message.Call != nil {
			to = append(to, s.To)
		}
	}
	return to
}

func answers(effects []effect.Effect) []call.Answer {
	var list []call.Answer
	for _, e := range effects {
		if a, ok := e.(effect.AnswerCall); ok {
			list = append(list, a.Answer)
		}
	}
	return list
}

func leads(t *Table, now model.Time, host model.HostID) []effect.Effect {
	return t.HandleContactReply(now, host, &call.ContactReply{Leads: true, Leader: host})
}

// Guards against reporting "not run" for a call that may have been carried out, and
// "unknown" for one that was never sent.
func TestExpiredCallsReportWhetherTheyMayHaveRun(t *testing.T) {
	table := newEntryTable()
	require.Empty(t, sent(table.Accept(start, submit(1), false)))
	refused := answers(table.Advance(start.Add(unsentTimeout)))
	require.Len(t, refused, 1)
	require.Equal(t, problem.NoLeader, refused[0].Problem.Kind)
	require.Positive(t, refused[0].Problem.RetryAfter)

	leads(table, start, "a")
	require.Equal(t, []model.HostID{"a"}, sent(table.Accept(start, submit(2), false)))
	unknown := answers(table.Advance(start.Add(3 * model.Second)))
	require.Len(t, unknown, 1)
	require.Equal(t, problem.CallOutcomeUnknown, unknown[0].Problem.Kind)
}

// Guards against calls that keep waiting for a leader that is gone.
func TestCallsFollowTheLeader(t *testing.T) {
	table := newEntryTable()
	leads(table, start, "a")
	table.Accept(start, submit(1), false)
	require.Equal(t, []model.HostID{"b"}, sent(leads(table, start.Add(100*model.Millisecond), "b")))
	require.Equal(t, []model.HostID{"c"}, sent(table.HandleRedirect(start, "b", &call.Redirect{Seq: 1, Incarnation: "i", Leader: "c"})))
	require.Equal(t, []model.HostID{"c"}, sent(table.Advance(start.Add(resendTimeout+100*model.Millisecond))))
}

// Guards against operators' calls with an unknown outcome after each election: a leader that
// does not hold its lease yet returns them, and their caller's patience of 850 ms was over
// before they were sent to it again.
func TestCallsReturnedByANewLeaderAreSentAgain(t *testing.T) {
	table := New(Config{Host: "c", Incarnation: "i", Replica: true, Seeds: []model.HostID{"a", "b"}})
	table.SetLeader(start, "a")
	c := call.Call{Seq: 1, Patience: 850 * model.Millisecond, Leave: &call.Leave{}}
	require.Equal(t, []model.HostID{"a"}, sent(table.Accept(start, c, false)))
	elected := start.Add(300 * model.Millisecond)
	require.Equal(t, []model.HostID{"b"}, sent(table.SetLeader(elected, "b")))
	redirect := call.Redirect{Seq: 1, Incarnation: "i"}
	require.Empty(t, sent(table.HandleRedirect(elected, "b", &redirect)), "calls go back and forth without a pause")
	require.Empty(t, sent(table.Advance(elected.Add(returnedPause/2))))
	again := elected.Add(returnedPause)
	require.Equal(t, []model.HostID{"b"}, sent(table.Advance(again)))
	require.Empty(t, sent(table.Advance(again.Add(returnedPause))), "a call that was not returned is sent again")
	require.Empty(t, sent(table.HandleRedirect(again, "b", &redirect)))
	require.Empty(t, sent(table.Advance(again.Add(returnedPause))), "the pause does not double")
	require.Equal(t, []model.HostID{"b"}, sent(table.Advance(again.Add(2*returnedPause))))
}

// Guards against an answer that reaches a caller of a later process of the host: the
// sequence number of a call is unique only within a process.
func TestAnswersOfAnotherIncarnationAreDropped(t *testing.T) {
	table := newEntryTable()
	leads(table, start, "a")
	table.Accept(start, submit(1), false)
	require.Empty(t, table.HandleAnswer(start, &call.Answer{Seq: 1, Incarnation: "earlier"}))
	require.Len(t, table.HandleAnswer(start, &call.Answer{Seq: 1, Incarnation: "i"}), 1)
	require.Zero(t, table.Len())
}

// Guards against an entry host that stays ready although it has not heard the leader
// for long, and against one that forgets the replicas it has learned of.
func TestReadyWhileTheLeaderAnswers(t *testing.T) {
	table := newEntryTable()
	require.False(t, table.Ready(start))
	table.HandleContactReply(start, "a", &call.ContactReply{Leader: "d", Replicas: []model.HostID{"d", "f"}})
	leads(table, start, "d")
	// During an election another replica still answers.
	table.HandleContactReply(start.Add(readySilenceMax-replicaSilenceMax), "b", &call.ContactReply{Leader: "d"})
	require.True(t, table.Ready(start.Add(readySilenceMax)))
	require.False(t, table.Ready(start.Add(readySilenceMax+1)))
	asked := make(map[model.HostID]bool)
	for _, e := range table.Advance(start.Add(readySilenceMax)) {
		if s, ok := e.(effect.Send); ok && s.Message.Contact != nil {
			asked[s.To] = true
		}
	}
	require.Equal(t, map[model.HostID]bool{"a": true, "b": true, "d": true, "f": true}, asked)
}

// Guards against an unknown outcome for a call that arrived when the leader had been
// silent for long. Such a call is not sent, so that it can be refused as not run, and
// is sent as soon as the leader is heard.
func TestNothingIsSentToASilentLeader(t *testing.T) {
	table := newEntryTable()
	leads(table, start, "a")
	silent := start.Add(leaderSilenceMax)
	require.Empty(t, sent(table.Accept(silent, submit(1), false)))
	refused := answers(table.Advance(silent.Add(unsentTimeout)))
	require.Len(t, refused, 1)
	require.Equal(t, problem.NoLeader, refused[0].Problem.Kind)
	require.Empty(t, sent(table.Accept(silent, submit(2), false)))
	require.Equal(t, []model.HostID{"a"}, sent(leads(table, silent.Add(100*model.Millisecond), "a")))
}

// Guards against an entry host that stays ready although it is cut off: unlike during
// an election, no replica answers it.
func TestCutOffHostIsNotReady(t *testing.T) {
	table := newEntryTable()
	leads(table, start, "a")
	require.True(t, table.Ready(start.Add(replicaSilenceMax)))
	require.False(t, table.Ready(start.Add(replicaSilenceMax+1)))
	table.HandleContactReply(start.Add(replicaSilenceMax+1), "b", &call.ContactReply{Leader: "a"})
	require.True(t, table.Ready(start.Add(replicaSilenceMax+1)))
	require.Less(t, replicaSilenceMax, readySilenceMax)
}

// Guards against an old order that is made again as if it were new, and against a new
// one that is refused because its holder had not applied the order before it.
func TestSupersededCallIsRenewedWhileItsCallerWaits(t *testing.T) {
	superseded := &call.Answer{Seq: 1, Incarnation: "i", Problem: problem.New(problem.CallSuperseded, ""), SupersededBy: 7}
	cases := []struct {
		name    string
		waited  bool
		after   model.Duration
		renewed bool
	}{
		{"new", false, 20 * model.Millisecond, true},
		{"old", false, renewalTimeout, false},
		{"read after a pause", true, 20 * model.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newEntryTable()
			leads(table, start, "a")
			table.Accept(start, submit(1), c.waited)
			effects := table.HandleAnswer(start.Add(c.after), superseded)
			if !c.renewed {
				require.Equal(t, problem.CallSuperseded, answers(effects)[0].Problem.Kind)
				require.Zero(t, table.Len())
				return
			}
			require.Len(t, effects, 1)
			require.Equal(t, uint64(8), effects[0].(effect.Send).Message.Call.Horizon)
		})
	}
}

// Guards against a call that is passed on after its caller has given up: a process that
// was paused learns of a leader before it ends its old calls.
func TestNoCallIsSentAfterItsPatience(t *testing.T) {
	table := newEntryTable()
	table.Accept(start, submit(1), false)
	thawed := start.Add(submit(1).Patience)
	require.Empty(t, sent(leads(table, thawed, "a")))
	require.Empty(t, sent(table.HandleRedirect(thawed, "b", &call.Redirect{Seq: 1, Incarnation: "i"})))
	ended := answers(table.Advance(thawed))
	require.Len(t, ended, 1)
	require.Equal(t, problem.NoLeader, ended[0].Problem.Kind, "it was never sent")
}
