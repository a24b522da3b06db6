package fleet

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// fixture applies commands at successive indexes.
type fixture struct {
	*State
	t  *testing.T
	at model.Time
}

// newFixture returns a state with revision 1, pools a, b and spare, and three
// hosts in pool a.
func newFixture(t *testing.T) *fixture {
	f := &fixture{State: New(), t: t}
	f.apply("", Command{ApplyRules: &ApplyRules{Hash: "hash1", Rules: testRules(1)}})
	for _, host := range []model.HostID{"h1", "h2", "h3"} {
		f.apply("", Command{ReportHost: &ReportHost{Host: host, DataCentre: "west", Up: true}})
	}
	return f
}

func testRules(revision uint64) *rules.Rules {
	return &rules.Rules{
		Revision: revision,
		Teams:    map[model.TeamID]rules.Team{"press": {Share: 50, Limit: 2}, "archive": {Share: 50, Limit: 1}},
		Pools:    map[model.PoolID]rules.Pool{"a": {HostsMin: 2, UnavailableMax: 2}, "b": {}, "spare": {Spare: true}},
		Hosts:    map[model.HostID]rules.HostPlacement{"h1": {Pool: "a"}, "h2": {Pool: "a"}, "h3": {Pool: "a"}},
	}
}

// apply applies c and requires a result of this problem kind; empty for none.
func (f *fixture) apply(want problem.Kind, c Command) Result {
	f.t.Helper()
	c.At = f.at
	result := f.Apply(f.Index+1, &c)
	got := problem.Kind("")
	if result.Problem != nil {
		got = result.Problem.Kind
	}
	require.Equal(f.t, want, got, "%+v", result.Problem)
	return result
}

func (f *fixture) applyRules(want problem.Kind, base uint64, hash model.Digest, change func(*rules.Rules)) Result {
	f.t.Helper()
	r := testRules(base + 1)
	if change != nil {
		change(r)
	}
	return f.apply(want, Command{ApplyRules: &ApplyRules{Base: base, Hash: hash, Rules: r}})
}

// Guards against two submissions on one base both being accepted, and against
// a resend of the winner being refused.
func TestApplyRulesRevisions(t *testing.T) {
	f := newFixture(t)
	require.EqualValues(t, 2, f.applyRules("", 1, "hash2", nil).Revision)
	control := f.ControlIndex
	require.Equal(t, f.Index, control)
	require.EqualValues(t, 2, f.applyRules("", 1, "hash2", nil).Revision)
	loser := f.applyRules(problem.RevisionConflict, 1, "other", nil)
	require.Contains(t, loser.Problem.Detail, "2 with hash hash2")
	f.applyRules(problem.RevisionConflict, 7, "hash8", nil)
	f.applyRules(problem.RulesRejected, 2, "hash3", func(r *rules.Rules) { r.Revision = 2 })
	f.applyRules(problem.RulesRejected, 2, "", nil)
	f.apply(problem.RulesRejected, Command{ApplyRules: &ApplyRules{Base: 2, Hash: "hash3"}})
	require.Equal(t, control, f.ControlIndex)

	for base := uint64(2); base < 70; base++ {
		f.applyRules("", base, model.Digest(fmt.Sprint("hash", base+1)), nil)
	}
	require.EqualValues(t, 30, f.applyRules("", 29, "hash30", nil).Revision)
	require.EqualValues(t, 70, f.Rules.Revision)
	require.Len(t, f.Accepted, maxAcceptedRevisions)
	f.applyRules(problem.RevisionConflict, 1, "hash2", nil)
}

// Guards against rules that remove a team or pool which keys, claims, tasks or
// hosts still refer to.
func TestApplyRulesChecksState(t *testing.T) {
	removeTeam := func(r *rules.Rules) { delete(r.Teams, "press") }
	removePool := func(r *rules.Rules) { delete(r.Pools, "b") }
	tests := []struct {
		name   string
		change func(*rules.Rules)
		begin  Command
		end    Command
	}{
		{"key", removeTeam,
			Command{GrantKey: &GrantKey{Name: "k", Hash: "h", Team: "press"}},
			Command{WithdrawKey: &WithdrawKey{Name: "k"}}},
		{"claim", removeTeam,
			Command{Claim: &Claim{ClaimID: ClaimID{"press", "k"}, Request: "r"}},
			Command{Release: &Release{ClaimID: ClaimID{"press", "k"}, Request: "r"}}},
		{"task of team", removeTeam, submit("t1", "press", "b"),
			Command{CancelTask: &CancelTask{Task: "t1", Team: "press"}}},
		{"task of pool", removePool, submit("t1", "press", "b"),
			Command{CancelTask: &CancelTask{Task: "t1", Team: "press"}}},
		{"host moving in", removePool,
			Command{PlanHost: &PlanHost{Host: "h1", Action: HostDrain, Pool: "b"}},
			Command{PlanHost: &PlanHost{Host: "h1", Action: HostReturn}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.apply("", test.begin)
			result := f.applyRules(problem.RulesRejected, 1, "hash2", test.change)
			require.Regexp(t, `^(team.press|pool.b) removed: found .*1.*, allowed none`, result.Problem.Detail)
			f.apply("", test.end)
			f.applyRules("", 1, "hash2", test.change)
		})
	}
	f := newFixture(t)
	f.applyRules(problem.RulesRejected, 1, "hash2", func(r *rules.Rules) {
		delete(r.Pools, "a")
		clear(r.Hosts)
	})
}

// Guards against a withdrawn key that becomes valid again, and against two keys
// with the same name.
func TestKeys(t *testing.T) {
	f := newFixture(t)
	grant := func(want problem.Kind, name string, hash model.Digest, team model.TeamID) {
		t.Helper()
		f.apply(want, Command{GrantKey: &GrantKey{Name: name, Hash: hash, Team: team}})
	}
	grant(problem.UnknownTeam, "k1", "d1", "nobody")
	grant(problem.BadRequest, "a b", "d1", "press")
	grant(problem.BadRequest, "k1", "", "press")
	grant("", "k1", "d1", "press")
	granted := f.Index
	grant("", "k1", "d1", "press")
	require.Equal(t, granted, f.ControlIndex)
	grant(problem.BadRequest, "k1", "d2", "press")
	grant(problem.BadRequest, "k1", "d1", "archive")
	grant(problem.BadRequest, "k2", "d1", "press")
	team, ok := f.TeamOfKey("d1")
	require.True(t, ok)
	require.EqualValues(t, "press", team)

	f.apply(problem.UnknownKey, Command{WithdrawKey: &WithdrawKey{Name: "k9"}})
	f.apply("", Command{WithdrawKey: &WithdrawKey{Name: "k1"}})
	require.Equal(t, f.Index, f.ControlIndex)
	f.apply("", Command{WithdrawKey: &WithdrawKey{Name: "k1"}})
	grant("", "k1", "d1", "press")
	grant(problem.BadRequest, "k2", "d1", "press")
	for _, hash := range []model.Digest{"d1", "d9", ""} {
		_, ok = f.TeamOfKey(hash)
		require.False(t, ok)
	}
}

// Guards against a non-idempotent request that runs twice.
func TestClaims(t *testing.T) {
	f := newFixture(t)
	id := ClaimID{"press", "key"}
	claim := func(want problem.Kind, request model.RequestID, body model.Digest) Result {
		t.Helper()
		return f.apply(want, Command{Claim: &Claim{ClaimID: id, Request: request, Body: body}})
	}
	complete := func(request model.RequestID, answer *model.Answer, unknown bool) {
		f.apply("", Command{Complete: &Complete{ClaimID: id, Request: request, Status: 200, Answer: answer, Unknown: unknown}})
	}
	f.apply(problem.UnknownTeam, Command{Claim: &Claim{ClaimID: ClaimID{"nobody", "key"}}})
	require.True(t, claim("", "r1", "body").Granted)
	require.True(t, claim("", "r1", "body").Granted)
	require.False(t, claim("", "r2", "body").Granted)
	require.NotNil(t, claim(problem.KeyReused, "r2", "other").Claim)

	f.apply("", Command{Release: &Release{ClaimID: id, Request: "r2"}})
	complete("r2", nil, false)
	held := f.Claims[id]
	require.Equal(t, ClaimHeld, held.State)
	f.at += model.Time(model.Hour)
	require.False(t, claim("", "r2", "body").Granted, "a held claim does not expire")

	complete("r1", &model.Answer{Body: make([]byte, MaxAnswerBytes)}, false)
	require.Equal(t, ClaimHeld, held.State, "records are replaced, not changed")
	complete("r1", nil, true)
	f.apply("", Command{Release: &Release{ClaimID: id, Request: "r1"}})
	result := claim("", "r1", "body")
	require.False(t, result.Granted)
	require.Equal(t, ClaimComplete, result.Claim.State)
	require.NotNil(t, result.Claim.Answer)

	f.at += model.Time(ClaimRetention)
	require.False(t, claim("", "r2", "body").Granted)
	f.at++
	require.True(t, claim("", "r2", "body").Granted)
	complete("r2", &model.Answer{Body: make([]byte, MaxAnswerBytes+1)}, false)
	require.Nil(t, f.Claims[id].Answer)
	require.Equal(t, 200, f.Claims[id].Status)

	id = ClaimID{"press", "second"}
	claim("", "r3", "body")
	require.Len(t, f.HeldClaims(), 1)
	f.apply("", Command{Release: &Release{ClaimID: id, Request: "r3"}})
	require.True(t, claim("", "r4", "body").Granted)
	complete("r4", nil, true)
	require.Equal(t, ClaimUnknown, f.Claims[id].State)
}

// Guards against a resent command that takes effect twice, and against an
// unbounded number of stored results.
func TestResendsAndRetention(t *testing.T) {
	f := newFixture(t)
	grant := Command{ID: "c1", GrantKey: &GrantKey{Name: "k", Hash: "d", Team: "nobody"}}
	first := f.apply(problem.UnknownTeam, grant)
	f.applyRules("", 1, "hash2", func(r *rules.Rules) { r.Teams["nobody"] = rules.Team{Limit: 1} })
	require.Equal(t, first, f.apply(problem.UnknownTeam, grant))
	f.at += model.Time(RecentRetention) + 1
	f.apply("", grant)

	for i := range RecentMax + 5 {
		f.apply("", Command{ID: model.CommandID(fmt.Sprint("m", i)), AddMember: &AddMember{Host: "e1"}})
	}
	require.Len(t, f.Recent, RecentMax)
	require.NotContains(t, f.Recent, model.CommandID("m4"))
	require.Contains(t, f.Recent, model.CommandID("m5"))
	require.Equal(t, map[model.HostID]Member{"e1": {}}, f.Members)

	f.apply(problem.BadRequest, Command{})
	before := f.Index
	require.Equal(t, problem.Internal, f.Apply(before, &Command{}).Problem.Kind)
	f.at = 0
	now := f.Now
	f.apply(problem.BadRequest, Command{AddMember: &AddMember{}})
	require.Equal(t, now, f.Now, "Now never decreases")
}

// Guards against an unbounded number of ended tasks, and against a command that
// takes longer the more expired entries have accumulated.
func TestTaskRetention(t *testing.T) {
	f := newFixture(t)
	for i := range TaskMax + 5 {
		task := model.TaskID(fmt.Sprint("t", i))
		f.apply("", submit(task, "press", "a"))
		f.apply("", Command{CancelTask: &CancelTask{Task: task, Team: "press"}})
	}
	require.Len(t, f.Tasks, TaskMax)
	f.at += model.Time(TaskRetention) + 1
	f.apply("", Command{AddMember: &AddMember{Host: "e1"}})
	require.Len(t, f.Tasks, TaskMax-2*maxRemovalsPerCall)
}

// Guards against a delayed removal that deletes a target which has restarted and
// registered again.
func TestTargets(t *testing.T) {
	f := newFixture(t)
	register := func(want problem.Kind, id model.TargetID, incarnation model.Incarnation) {
		f.apply(want, Command{RegisterTarget: &RegisterTarget{Target: Target{ID: id, Incarnation: incarnation}}})
	}
	register(problem.AnnouncementInvalid, "", "i1")
	register("", "x", "i1")
	register("", "x", "i2")
	f.apply("", Command{RemoveTarget: &RemoveTarget{ID: "x", Incarnation: "i1"}})
	require.Contains(t, f.Targets, model.TargetID("x"))
	f.apply("", Command{RemoveTarget: &RemoveTarget{ID: "x", Incarnation: "i2"}})
	require.Empty(t, f.Targets)
}

// Guards against a clone that shares data which either side changes afterwards.
func TestCloneIsIndependent(t *testing.T) {
	f := newFixture(t)
	f.applyRules("", 1, "hash2", nil)
	f.applyRules("", 2, "hash3", nil)
	clone := &fixture{State: f.Clone(), t: t}
	f.applyRules("", 3, "hash4", nil)
	clone.applyRules("", 3, "other", nil)
	require.EqualValues(t, "hash4", f.Accepted[3].Hash)
	require.EqualValues(t, "other", clone.Accepted[3].Hash)
}

// Guards, with the race detector, against an encoding of a clone that reads data
// which Apply writes.
func TestCloneIsEncodedConcurrently(t *testing.T) {
	f := newFixture(t)
	id := ClaimID{"press", "key"}
	f.apply("", Command{Claim: &Claim{ClaimID: id, Request: "r"}})
	f.apply("", idempotent(submit("t1", "press", "a")))
	clone := f.Clone()
	encoded := make(chan error, 1)
	go func() {
		_, err := json.Marshal(clone)
		encoded <- err
	}()
	f.applyRules("", 1, "hash2", nil)
	f.apply("", Command{Complete: &Complete{ClaimID: id, Request: "r"}})
	for epoch := range uint64(3) {
		f.place("", "t1", "h1")
		f.end("", "t1", epoch+1, OutcomeFailed)
	}
	f.plan("", "h1", HostDrain, "b", "")
	require.NoError(t, <-encoded)
}

// Guards against refusals of unbounded length, which are stored for resends.
func TestRefusalIsBounded(t *testing.T) {
	f := newFixture(t)
	result := f.applyRules(problem.RulesRejected, 1, "hash2", func(r *rules.Rules) {
		for i := range maxListedFaults + 7 {
			r.Pools[model.PoolID(fmt.Sprint("p", i))] = rules.Pool{HostsMin: -1}
		}
	})
	require.Regexp(t, `; and 7 more$`, result.Problem.Detail)
}
