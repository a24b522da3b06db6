package maintenance

import (
	"fmt"
	"testing"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// BenchmarkAdvance measures one tick in the worst case: 60 pools below their
// minimum and no host that may be moved.
func BenchmarkAdvance(b *testing.B) {
	for _, n := range []int{50, 100, 200, 690} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fixture{fleet: fleet.New()}
			r := &rules.Rules{Revision: 1, Pools: map[model.PoolID]rules.Pool{"spare": {Spare: true}}}
			for i := range 60 {
				r.Pools[model.PoolID(fmt.Sprint("p", i))] = rules.Pool{HostsMin: 1}
			}
			f.apply(fleet.Command{ApplyRules: &fleet.ApplyRules{Hash: "h", Rules: r}})
			for i := range n {
				f.apply(fleet.Command{ReportHost: &fleet.ReportHost{
					Host: model.HostID(fmt.Sprint("h", i)), Rack: model.RackID(fmt.Sprint(i / 4)), Up: true,
				}})
			}
			p := New(f.env())
			for b.Loop() {
				f.now = f.now.Add(50 * model.Millisecond)
				var out Output
				p.Advance(f.env(), &out)
			}
		})
	}
}

// BenchmarkAdvanceSized measures one tick with 60 pools that are sized by demand,
// each with 40 queued tasks, and hosts that may not move.
func BenchmarkAdvanceSized(b *testing.B) {
	for _, n := range []int{50, 690} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fixture{fleet: fleet.New()}
			r := &rules.Rules{
				Revision: 1, Teams: map[model.TeamID]rules.Team{"t": {Limit: 1}},
				Pools: map[model.PoolID]rules.Pool{"spare": {Spare: true}}, Hosts: map[model.HostID]rules.HostPlacement{},
			}
			for i := range 60 {
				r.Pools[model.PoolID(fmt.Sprint("p", i))] = rules.Pool{HostsMin: 1, HostsMax: 50, Survive: rules.DomainRack}
			}
			for i := range n {
				r.Hosts[model.HostID(fmt.Sprint("h", i))] = rules.HostPlacement{Pool: model.PoolID(fmt.Sprint("p", i%60))}
			}
			f.apply(fleet.Command{ApplyRules: &fleet.ApplyRules{Hash: "h", Rules: r}})
			for i := range n {
				f.apply(fleet.Command{ReportHost: &fleet.ReportHost{
					Host: model.HostID(fmt.Sprint("h", i)), Rack: model.RackID(fmt.Sprint(i / 4)), Capacity: wholeHost, Up: true,
				}})
			}
			for i := range 60 * 40 {
				f.apply(fleet.Command{SubmitTask: &fleet.SubmitTask{Task: model.TaskID(fmt.Sprint(i)), Team: "t", Spec: fleet.TaskSpec{
					Pool: model.PoolID(fmt.Sprint("p", i%60)), Size: wholeHost,
				}}})
			}
			p := New(f.env())
			for b.Loop() {
				f.now = f.now.Add(50 * model.Millisecond)
				var out Output
				p.Advance(f.env(), &out)
			}
		})
	}
}
