package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// takeCodes returns the codes logged since the last call.
func (s *State) takeCodes() []effect.Code {
	var codes []effect.Code
	for _, e := range s.out {
		if l, ok := e.(effect.Log); ok {
			codes = append(codes, l.Code)
		}
	}
	s.out = nil
	return codes
}

func changeRules(revision uint64, out bool) *fleet.Command {
	return &fleet.Command{ApplyRules: &fleet.ApplyRules{Base: revision - 1, Hash: "h", Rules: &rules.Rules{
		Revision:    revision,
		Teams:       map[model.TeamID]rules.Team{"press": {Share: 50, Limit: 9}},
		Pools:       map[model.PoolID]rules.Pool{"a": {UnavailableMax: 1, Spare: true}, "b": {UnavailableMax: 1}},
		Waves:       map[string]rules.Wave{"w": {Pools: []model.PoolID{"b"}, Image: "k9"}},
		DataCentres: map[model.DataCentreID]rules.DataCentre{"west": {Out: out}},
	}}}
}

// Guards against changes of the fleet that are not logged, and against a log line for a
// repeated command that changes nothing.
func TestChangesAreLogged(t *testing.T) {
	size := model.Resources{MilliCPU: 1000}
	submit := func(pool model.PoolID) *fleet.Command {
		return &fleet.Command{SubmitTask: &fleet.SubmitTask{Task: "t", Team: "press",
			Spec: fleet.TaskSpec{Pool: pool, Size: size, Idempotent: true}}}
	}
	report := func(image string, inc model.Incarnation) *fleet.Command {
		return &fleet.Command{ReportHost: &fleet.ReportHost{
			Host: "h", DataCentre: "west", Capacity: size, Image: image, Inc: inc, Up: true}}
	}
	place := &fleet.Command{PlaceTask: &fleet.PlaceTask{Task: "t", Worker: "h", Inc: "1"}}
	end := func(epoch uint64, outcome fleet.TaskOutcome) *fleet.Command {
		return &fleet.Command{EndTask: &fleet.EndTask{Task: "t", Epoch: epoch, Outcome: outcome}}
	}
	plan := func(action fleet.HostAction) *fleet.Command {
		return &fleet.Command{PlanHost: &fleet.PlanHost{Host: "h", Action: action, Pool: "b", Image: "k9"}}
	}
	s := &State{fleet: fleet.New(), leading: &leadership{}}
	for i, step := range []struct {
		command *fleet.Command
		want    []effect.Code
	}{
		{changeRules(1, false), nil},
		{report("k8", "1"), nil},
		{submit("none"), []effect.Code{effect.TaskRefused}},
		{submit("a"), nil},
		{place, nil},
		{end(1, fleet.OutcomeLost), []effect.Code{effect.TaskLost}},
		{end(1, fleet.OutcomeLost), nil}, // a repeated command
		{place, nil},
		{end(2, fleet.OutcomeFinished), []effect.Code{effect.TaskEnded}},
		{plan(fleet.HostDrain), nil},
		{plan(fleet.HostReboot), []effect.Code{effect.HostDrained}},
		{report("k9", "2"), nil},
		{plan(fleet.HostReturn), []effect.Code{effect.HostMoved, effect.WaveStep, effect.WaveEnded}},
		{plan(fleet.HostReturn), nil}, // a repeated command
		{changeRules(2, true), []effect.Code{effect.DataCentreOut}},
		{changeRules(3, false), []effect.Code{effect.DataCentreIn}},
	} {
		before := s.stateBefore(step.command)
		result := s.fleet.Apply(uint64(i+1), step.command)
		s.logChanges(before, step.command, result)
		require.Equal(t, step.want, s.takeCodes(), "step %d: %v", i, result.Problem)
	}
}

// Guards against a new replica or term that is logged twice or not at all, and against
// a replacement that is logged as a new replica.
func TestReplicasAndTermsAreLogged(t *testing.T) {
	voters := func(ids ...consensus.NodeID) *logEntry { return &logEntry{Kind: consensus.EntryVoters, Voters: ids} }
	a, b, b2 := consensus.NodeID{Host: "a", Incarnation: "1"}, consensus.NodeID{Host: "b", Incarnation: "1"}, consensus.NodeID{Host: "b", Incarnation: "2"}
	s := &State{fleet: fleet.New(), leading: &leadership{}, replicas: make(map[model.HostID]model.Incarnation)}
	s.loadReplicas(&logSnapshot{Voters: []consensus.NodeID{a}})
	s.logVoters(voters(a, b))
	require.Equal(t, []effect.Code{effect.VotersChanged, effect.ReplicaJoined}, s.takeCodes())
	s.logVoters(voters(a))
	require.Equal(t, []effect.Code{effect.VotersChanged}, s.takeCodes())
	s.logVoters(voters(a, b2))
	require.Equal(t, []effect.Code{effect.VotersChanged, effect.ReplicaReplaced}, s.takeCodes())
	s.logTermChange(2)
	s.logTermChange(2)
	require.Equal(t, []effect.Code{effect.TermChanged}, s.takeCodes())
}
