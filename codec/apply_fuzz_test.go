package codec

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// FuzzApplyCommand guards against a command that can be decoded but causes a panic on every
// replica that applies it.
func FuzzApplyCommand(f *testing.F) {
	for _, seed := range []string{
		`{"at":1,"apply_rules":{"base":1,"hash":"h"}}`,
		`{"at":1,"apply_rules":{"base":1,"hash":"h","rules":{"revision":2,"waves":{"w":{"pools":["a"],"image":"i"}}}}}`,
		`{"at":1,"submit_task":{"task":"t","team":"press","spec":{"pool":"a","size":{"milli_cpu":1}}}}`,
		`{"at":1,"place_task":{"task":"t","worker":"h"}}`,
		`{"at":1,"end_task":{"task":"t","epoch":1,"outcome":"lost"}}`,
		`{"at":1,"plan_host":{"host":"h","action":"drain"}}`,
		`{"at":1,"complete":{"team":"t","key":"k","request":"r","unknown":true}}`,
		`{"at":-1,"record_burn":{"record":{"time":1,"leader":{"host":"a","term":1},"entries":[{"team":"press","pool":"a","good":1}]}}}`,
	} {
		f.Add([]byte(seed))
	}
	prepared := fleet.New()
	for i, c := range []fleet.Command{
		{ApplyRules: &fleet.ApplyRules{Hash: "h", Rules: &rules.Rules{
			Revision: 1, Teams: map[model.TeamID]rules.Team{"press": {Share: 10, Limit: 5}},
			Pools:      map[model.PoolID]rules.Pool{"a": {UnavailableMax: 1, Spare: true}},
			Objectives: map[string]rules.Objective{"o": {Team: "press", Pool: "a", Good: 0.9, Window: model.Hour}},
		}}},
		{ReportHost: &fleet.ReportHost{Host: "h", DataCentre: "west", Up: true}},
		{SubmitTask: &fleet.SubmitTask{Task: "t", Team: "press", Spec: fleet.TaskSpec{Pool: "a", Size: model.Resources{MilliCPU: 1}}}},
		{PlaceTask: &fleet.PlaceTask{Task: "t", Worker: "h"}},
	} {
		require.Nil(f, prepared.Apply(uint64(i+1), &c).Problem)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			return
		}
		s := prepared.Clone()
		s.Apply(s.Index+1, c)
		_, err = EncodeSnapshot(&Snapshot{Index: s.Index, Term: 1, State: s.Clone()})
		require.NoError(t, err)
	})
}
