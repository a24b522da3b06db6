package rules

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

func validRules() *Rules {
	return &Rules{
		Revision:    1,
		Teams:       map[model.TeamID]Team{"press": {Share: 60, Limit: 5}, "archive": {Share: 40, Limit: 1}},
		Queues:      map[model.QueueID]Queue{"proofs": {Service: "render", MaxRun: model.Minute}},
		Pools:       map[model.PoolID]Pool{"render": {HostsMin: 2, UnavailableMax: 1}},
		DataCentres: map[model.DataCentreID]DataCentre{"west": {Out: true}},
		Waves:       map[string]Wave{"kernel-9": {Pools: []model.PoolID{"render"}, Image: "k9"}},
		Objectives: map[string]Objective{
			"o": {Team: "press", Service: "render", Good: 0.99, Window: 720 * model.Hour},
		},
		Hosts: map[model.HostID]HostPlacement{"h1": {Pool: "render"}},
	}
}

// Guards against an invalid value that is accepted, or reported under the wrong rule
// or key of the rules file.
func TestCheckReportsEachFault(t *testing.T) {
	queue := func(change func(*Queue)) func(*Rules) {
		return func(r *Rules) {
			q := r.Queues["proofs"]
			change(&q)
			r.Queues["proofs"] = q
		}
	}
	objective := func(change func(*Objective)) func(*Rules) {
		return func(r *Rules) {
			o := r.Objectives["o"]
			change(&o)
			r.Objectives["o"] = o
		}
	}
	tests := []struct {
		rule, key string
		change    func(*Rules)
	}{
		{"team.press", "share", func(r *Rules) { r.Teams["press"] = Team{Share: -1, Limit: 1} }},
		{"team.press", "share", func(r *Rules) { r.Teams["press"] = Team{Share: math.NaN(), Limit: 1} }},
		{"team", "share", func(r *Rules) { r.Teams["press"] = Team{Share: 60.1, Limit: 1} }},
		{"team.press", "limit", func(r *Rules) { r.Teams["press"] = Team{Share: 60} }},
		{"team.a b", "name", func(r *Rules) { r.Teams["a b"] = Team{Limit: 1} }},
		{"queue.", "name", func(r *Rules) { r.Queues[""] = r.Queues["proofs"] }},
		{"queue.proofs", "precedence", queue(func(q *Queue) { q.Precedence = 10 })},
		{"queue.proofs", "precedence", queue(func(q *Queue) { q.Precedence = -1 })},
		{"queue.proofs", "max_run_s", queue(func(q *Queue) { q.MaxRun = model.Second - 1 })},
		{"queue.proofs", "max_run_s", queue(func(q *Queue) { q.MaxRun = 12*model.Hour + 1 })},
		{"queue.proofs", "team", queue(func(q *Queue) { q.Team = "nobody" })},
		{"queue.proofs", "team", queue(func(q *Queue) { q.Open = true })},
		{"pool.render", "hosts_max", func(r *Rules) { r.Pools["render"] = Pool{HostsMin: 3, HostsMax: 2} }},
		{"pool.render", "hosts_max", func(r *Rules) { r.Pools["render"] = Pool{HostsMax: -1} }},
		{"pool.render", "buffer", func(r *Rules) { r.Pools["render"] = Pool{Buffer: 1} }},
		{"pool.render", "buffer", func(r *Rules) { r.Pools["render"] = Pool{HostsMax: 2, Buffer: -1} }},
		{"pool.render", "survive", func(r *Rules) { r.Pools["render"] = Pool{Survive: DomainRack} }},
		{"pool.render", "survive", func(r *Rules) { r.Pools["render"] = Pool{HostsMax: 2, Survive: "row"} }},
		{"pool.render", "hosts_min", func(r *Rules) { r.Pools["render"] = Pool{HostsMin: -1} }},
		{"pool.render", "unavailable_max", func(r *Rules) { r.Pools["render"] = Pool{UnavailableMax: -1} }},
		{"datacentre.w\x7f", "name", func(r *Rules) { r.DataCentres["w\x7f"] = DataCentre{} }},
		{"wave.kernel-9", "pools", func(r *Rules) { r.Waves["kernel-9"] = Wave{Image: "k9"} }},
		{"wave.kernel-9", "pools", func(r *Rules) { r.Waves["kernel-9"].Pools[0] = "gone" }},
		{"wave.kernel-9", "image", func(r *Rules) { r.Waves["kernel-9"] = Wave{Pools: []model.PoolID{"render"}} }},
		{"objective.o", "team", objective(func(o *Objective) { o.Team = "nobody" })},
		{"objective.o", "service", objective(func(o *Objective) { o.Service = "index" })},
		{"objective.o", "service", objective(func(o *Objective) { o.Service = "" })},
		{"objective.o", "pool", objective(func(o *Objective) { o.Pool = "render" })},
		{"objective.o", "pool", objective(func(o *Objective) { o.Service, o.Pool = "", "nowhere" })},
		{"objective.o", "good", objective(func(o *Objective) { o.Good = 1 })},
		{"objective.o", "good", objective(func(o *Objective) { o.Good = 0 })},
		{"objective.o", "window_h", objective(func(o *Objective) { o.Window = 0 })},
		{"host.h1", "pool", func(r *Rules) { r.Hosts["h1"] = HostPlacement{Pool: "gone"} }},
	}
	require.Empty(t, validRules().Check())
	for _, test := range tests {
		t.Run(test.rule+" "+test.key, func(t *testing.T) {
			r := validRules()
			test.change(r)
			faults := r.Check()
			require.Len(t, faults, 1)
			require.Equal(t, test.rule, faults[0].Rule)
			require.Equal(t, test.key, faults[0].Key)
		})
	}
}

// Guards against refusals whose text differs between replicas because maps are
// iterated in random order.
func TestCheckIsSorted(t *testing.T) {
	r := &Rules{
		Teams:  map[model.TeamID]Team{"b": {Share: 101}, "a": {Share: -1}},
		Queues: map[model.QueueID]Queue{"q": {Open: true}},
	}
	first := r.Check()
	for range 20 {
		require.Equal(t, first, r.Check())
	}
	require.Equal(t, "queue.q", first[0].Rule)
	require.Equal(t, "team.b share: found 101, allowed 0 to 100", first[len(first)-1].String())
}

// Guards against a clone that shares maps or slices with the original.
func TestCloneIsDeep(t *testing.T) {
	source := validRules()
	clone := source.Clone()
	require.Equal(t, source, clone)
	clone.Waves["kernel-9"].Pools[0] = "other"
	clone.Teams["new"] = Team{}
	clear(clone.Hosts)
	require.Equal(t, validRules(), source)
}
