package fleet

import (
	"fmt"
	"testing"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

const benchPools = 60

// benchState returns a state with n hosts, targets, keys, queued tasks, ended
// claims and results, in 60 pools.
func benchState(n int) *State {
	r := &rules.Rules{Revision: 1, Teams: map[model.TeamID]rules.Team{"press": {Limit: 4 * n}}}
	r.Pools = make(map[model.PoolID]rules.Pool)
	for i := range benchPools {
		r.Pools[benchPool(i)] = rules.Pool{UnavailableMax: n}
	}
	r.Hosts = make(map[model.HostID]rules.HostPlacement)
	for i := range n {
		r.Hosts[benchHost(i)] = rules.HostPlacement{Pool: benchPool(i)}
	}
	s := New()
	apply(s, Command{ApplyRules: &ApplyRules{Hash: "h", Rules: r}})
	for i := range n {
		digest := model.Digest(fmt.Sprint("d", i))
		id := ClaimID{"press", digest}
		apply(s, Command{ReportHost: &ReportHost{Host: benchHost(i), Up: true}})
		apply(s, Command{RegisterTarget: &RegisterTarget{Target: Target{ID: model.TargetID(fmt.Sprint("x", i))}}})
		apply(s, Command{GrantKey: &GrantKey{Name: fmt.Sprint("k", i), Hash: digest, Team: "press"}})
		apply(s, Command{Claim: &Claim{ClaimID: id, Request: "r"}})
		apply(s, Command{Complete: &Complete{ClaimID: id, Request: "r"}})
		c := submit(model.TaskID(fmt.Sprint("t", i)), "press", benchPool(i))
		c.ID = model.CommandID(fmt.Sprint("c", i))
		apply(s, c)
	}
	return s
}

func benchPool(i int) model.PoolID { return model.PoolID(fmt.Sprint("p", i%benchPools)) }

func benchHost(i int) model.HostID { return model.HostID(fmt.Sprint("h", i)) }

func apply(s *State, c Command) {
	c.At = s.Now + 1
	if result := s.Apply(s.Index+1, &c); result.Problem != nil {
		panic(result.Problem)
	}
}

// Guards against commands whose time grows with the size of the state: doubling
// the size should add little. Operations leave the size of the state unchanged.
func BenchmarkApply(b *testing.B) {
	operations := map[string]func(s *State, i, n int){
		"claim": func(s *State, i, n int) {
			id := ClaimID{"press", model.Digest(fmt.Sprint("new", i))}
			apply(s, Command{Claim: &Claim{ClaimID: id, Request: "r"}})
			apply(s, Command{Release: &Release{ClaimID: id, Request: "r"}})
		},
		"task": func(s *State, i, n int) {
			i %= n
			task := model.TaskID(fmt.Sprint("t", i))
			apply(s, Command{PlaceTask: &PlaceTask{Task: task, Worker: benchHost(i)}})
			apply(s, Command{EndTask: &EndTask{Task: task, Epoch: s.Tasks[task].Epoch, Outcome: OutcomeStopped}})
		},
		"host": func(s *State, i, n int) {
			host := benchHost(i % n)
			apply(s, Command{PlanHost: &PlanHost{Host: host, Action: HostDrain}})
			apply(s, Command{PlanHost: &PlanHost{Host: host, Action: HostReturn}})
		},
		"report": func(s *State, i, n int) {
			host := benchHost(i % n)
			apply(s, Command{ReportHost: &ReportHost{Host: host}})
			apply(s, Command{ReportHost: &ReportHost{Host: host, Up: true}})
		},
		"target": func(s *State, i, n int) {
			id := model.TargetID(fmt.Sprint("new", i))
			apply(s, Command{RegisterTarget: &RegisterTarget{Target: Target{ID: id}}})
			apply(s, Command{RemoveTarget: &RemoveTarget{ID: id}})
		},
		"resend": func(s *State, i, n int) {
			apply(s, Command{ID: "c1", AddMember: &AddMember{Host: "e"}})
			apply(s, Command{AddMember: &AddMember{Host: "e"}})
		},
		// An ended claim and the removal of an expired one.
		"retention": func(s *State, i, n int) {
			id := ClaimID{"press", model.Digest(fmt.Sprint("new", i))}
			s.Now += model.Time(ClaimRetention) / model.Time(n)
			apply(s, Command{Claim: &Claim{ClaimID: id, Request: "r"}})
			apply(s, Command{Complete: &Complete{ClaimID: id, Request: "r"}})
		},
	}
	for _, n := range []int{2500, 5000, 10000} {
		for name, operation := range operations {
			b.Run(fmt.Sprintf("%s/n=%d", name, n), func(b *testing.B) {
				s := benchState(n)
				for i := 0; b.Loop(); i++ {
					operation(s, i, n)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/command")
			})
		}
	}
}

// Guards against a clone for a snapshot that blocks the control goroutine for long.
func BenchmarkClone(b *testing.B) {
	for _, n := range []int{2500, 5000, 10000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			s := benchState(n)
			for b.Loop() {
				s.Clone()
			}
		})
	}
}
