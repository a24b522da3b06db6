package burn

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
)

// Guards against an error kind without an assigned cause: the test fails for a new
// kind until it is listed here.
func TestEveryProblemHasACause(t *testing.T) {
	want := map[problem.Kind]Cause{
		problem.BadRequest: NotCounted, problem.BodyTooLarge: NotCounted, problem.BodyStalled: NotCounted, problem.KeyMissing: NotCounted,
		problem.KeyRejected: NotCounted, problem.UnknownQueue: NotCounted, problem.UnknownTask: NotCounted,
		problem.UnknownTeam: NotCounted, problem.KeyReused: NotCounted, problem.InProgress: NotCounted,
		problem.RevisionConflict: NotCounted, problem.RulesRejected: NotCounted, problem.UnknownKey: NotCounted,
		problem.TaskRejected: NotCounted, problem.PlanRejected: NotCounted, problem.UnknownHost: NotCounted,
		problem.AnnouncementInvalid: NotCounted, problem.ConnectionClosing: NotCounted, problem.CallSuperseded: NotCounted,
		problem.CallAbandoned: NotCounted,
		problem.Overloaded:    Refused, problem.NoLeader: Refused, problem.NoLease: Refused,
		problem.NoTarget: Refused, problem.Stopping: Refused,
		problem.PatienceExceeded: Late,
		problem.RetriesExhausted: Lost, problem.AnswerNotRetained: Lost,
		problem.UnknownJob: NotCounted, problem.UnknownWave: NotCounted, problem.JobRejected: NotCounted,
		problem.ConfigRejected: NotCounted, problem.CallKeyRejected: NotCounted,
		problem.QueueOverloaded: Refused, problem.NotConfigured: Refused,
		problem.CallOutcomeUnknown: Unknown,
		problem.OutcomeUnknown:     Unknown, problem.CommandOutcomeUnknown: Unknown,
		problem.DeadlineExceeded: Failed, problem.AnswerTooLarge: Failed, problem.Internal: Failed,
	}
	require.Len(t, want, problem.Kinds())
	for kind, cause := range want {
		require.Equal(t, cause, CauseOfProblem(kind), kind)
	}
}

// Guards against a caller's error that spends the error budget, and against a server
// error or a late start that counts as good.
func TestCauseOfAnswer(t *testing.T) {
	cases := []struct {
		status int
		late   bool
		want   Cause
	}{
		{200, false, Good}, {404, false, Good}, {499, false, Good},
		{200, true, Late}, {500, false, Failed}, {503, true, Failed},
	}
	for _, c := range cases {
		require.Equal(t, c.want, CauseOfAnswer(c.status, c.late), c)
	}
}
