package core

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/rules"
)

// burnCluster is three replicas on a network that can lose and duplicate messages.
// Writes are synced at once.
type burnCluster struct {
	t        *testing.T
	rng      *rand.Rand
	now      model.Time
	hosts    map[model.HostID]*State
	inFlight []envelope
	isolated model.HostID // neither sends nor receives
	lossy    bool
}

type envelope struct {
	from, to model.HostID
	message  message.Message
}

var burnHosts = []model.HostID{"a", "b", "c"}

func newBurnCluster(t *testing.T, seed uint64) *burnCluster {
	n := &burnCluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: model.Time(model.Hour), hosts: make(map[model.HostID]*State)}
	var voters []consensus.NodeID
	for _, h := range burnHosts {
		voters = append(voters, consensus.NodeID{Host: h, Incarnation: "first"})
	}
	for _, h := range burnHosts {
		cfg := Config{Host: h, DataCentre: "west", Incarnation: "1", Replica: "first", Durable: true, MaxVoters: 3}
		for _, other := range burnHosts {
			if other != h {
				cfg.Peers = append(cfg.Peers, other)
			}
		}
		snapshot := &logSnapshot{Index: 1, Term: 1, Voters: voters, State: &fleet.State{Index: 1}}
		s, err := New(cfg, Stored{HardState: consensus.HardState{Term: 1}, Snapshot: snapshot}, n.now, n.rng.Uint64())
		require.NoError(t, err)
		n.hosts[h] = s
	}
	return n
}

func (n *burnCluster) handle(h model.HostID, e event.Event) {
	for _, f := range Reduce(n.hosts[h], event.Input{At: n.now, Rand: n.rng.Uint64(), Event: e}) {
		switch f := f.(type) {
		case effect.Send:
			n.inFlight = append(n.inFlight, envelope{h, f.To, f.Message})
		case effect.Persist:
			n.handle(h, event.Persisted{Term: f.Term, Index: f.Index})
		}
	}
}

// step delivers the messages in flight and advances the time by a tick.
func (n *burnCluster) step() {
	n.now = n.now.Add(TickInterval)
	envelopes := n.inFlight
	n.inFlight = nil
	for _, e := range envelopes {
		if e.from == n.isolated || e.to == n.isolated {
			continue
		}
		for range n.copies() {
			n.handle(e.to, event.Received{From: e.from, Message: e.message})
		}
	}
	for _, h := range burnHosts {
		n.handle(h, event.Tick{})
	}
}

// copies returns how many times the next message is delivered.
func (n *burnCluster) copies() int {
	if !n.lossy {
		return 1
	}
	return []int{0, 1, 1, 1, 1, 1, 1, 2}[n.rng.IntN(8)]
}

func (n *burnCluster) run(d model.Duration, each func()) {
	for end := n.now.Add(d); n.now < end; n.step() {
		each()
	}
}

func (n *burnCluster) leader() model.HostID {
	for _, h := range burnHosts {
		if n.hosts[h].leading != nil {
			return h
		}
	}
	return ""
}

// Guards against counts that are lost or counted twice when the leader changes or a
// Renew is lost or duplicated, and against log entries that record nothing.
func TestCountsSurviveLeaderChanges(t *testing.T) {
	key := burn.Key{Team: "press", Service: "render"}
	for seed := range uint64(5) {
		n := newBurnCluster(t, seed)
		n.run(5*model.Second, func() {})
		leader := n.leader()
		require.NotEmpty(t, leader)
		n.handle(leader, event.CommandSubmitted{Command: fleet.Command{ID: "rules", ApplyRules: &fleet.ApplyRules{Hash: "h", Rules: &rules.Rules{
			Revision:   1,
			Teams:      map[model.TeamID]rules.Team{"press": {Share: 50, Limit: 2}},
			Queues:     map[model.QueueID]rules.Queue{"proofs": {Service: "render", MaxRun: model.Minute}},
			Objectives: map[string]rules.Objective{"o": {Team: "press", Service: "render", Good: 0.9, Window: model.Hour}},
		}}}})
		n.run(model.Second, func() {})

		var counted uint64
		n.lossy = true
		began := n.now
		n.run(2*model.Minute, func() {
			if n.rng.IntN(4) == 0 {
				counted++
				n.handle(burnHosts[n.rng.IntN(3)], event.RequestsRefused{Refusals: []event.Refusal{
					{Team: "press", Queue: "proofs", Kind: problem.Overloaded, Count: 1},
					{Team: "press", Queue: "nowhere", Kind: problem.Overloaded, Count: 1},
				}})
			}
			switch second := n.now.Sub(began) / model.Second % 15; {
			case second >= 11 && n.isolated == "":
				n.isolated = n.leader()
			case second < 11:
				n.isolated = ""
			}
		})
		n.lossy, n.isolated = false, ""
		n.run(model.Minute, func() {})
		for _, h := range burnHosts {
			history := n.hosts[h].fleet.Burn
			require.Equal(t, burn.Counts{Refused: counted}, history.SeriesOf(key).Sum(n.now, model.Hour), "seed %d host %s", seed, h)
			require.Greater(t, history.Leader.Term, uint64(5), "the leader must have changed")
		}
		idle := n.hosts["a"].fleet.Index
		n.run(model.Minute, func() {})
		require.Equal(t, idle, n.hosts["a"].fleet.Index, "nothing is recorded when nothing ends")
	}
}
