package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against a replica with an empty disk that never joins its cluster again
// because the leader is not among the seeds of its settings.
func TestReplicaFindsLeaderOutsideItsSeeds(t *testing.T) {
	now := model.Time(1000 * model.Second)
	s, err := New(Config{
		Host: "c", Incarnation: "2", Replica: "2", Durable: true, MaxVoters: 5,
		Peers: []model.HostID{"a", "b"}, Seeds: []model.HostID{"a", "b"},
	}, Stored{}, now, 1)
	require.NoError(t, err)
	sent := func(e event.Event) map[model.HostID][]message.Message {
		now = now.Add(TickInterval)
		to := make(map[model.HostID][]message.Message)
		for _, f := range Reduce(s, event.Input{At: now, Rand: 1, Event: e}) {
			if send, ok := f.(effect.Send); ok {
				to[send.To] = append(to[send.To], send.Message)
			}
		}
		return to
	}
	asked := false
	for range 10 {
		for _, m := range sent(event.Tick{})["a"] {
			asked = asked || m.Contact != nil
		}
	}
	require.True(t, asked, "it asks the seeds which replica leads")
	sent(event.Received{From: "a", Message: message.Message{ContactReply: &call.ContactReply{Leader: "d", Replicas: []model.HostID{"a", "b", "d"}}}})
	joins := false
	for range 10 {
		for _, m := range sent(event.Tick{})["d"] {
			joins = joins || m.Log != nil
		}
	}
	require.True(t, joins, "it asks the leader to admit it")
}

// Guards against an entry host that replicates the whole log, for which its link and
// memory are too small.
func TestPlatformEntryHostDoesNotReplicateTheLog(t *testing.T) {
	now := model.Time(1000 * model.Second)
	s, err := New(Config{Host: "e", Incarnation: "1", Replica: "1", Seeds: []model.HostID{"a"}}, Stored{}, now, 1)
	require.NoError(t, err)
	reply := message.Message{ContactReply: &call.ContactReply{Leads: true, Leader: "a", Replicas: []model.HostID{"a", "b"}}}
	Reduce(s, event.Input{At: now, Event: event.Received{From: "a", Message: reply}})
	for range 40 {
		now = now.Add(TickInterval)
		for _, f := range Reduce(s, event.Input{At: now, Rand: 1, Event: event.Tick{}}) {
			if send, ok := f.(effect.Send); ok {
				require.Nil(t, send.Message.Log)
				require.Nil(t, send.Message.Renew)
			}
		}
	}
}
