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
				var out Out
				p.Advance(f.env(), &out)
			}
		})
	}
}
