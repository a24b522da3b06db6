package recording

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/schedule"
)

// allEvents holds one value of every event type.
var allEvents = []event.Event{
	event.Tick{}, event.StopRequested{}, event.Persisted{Term: 1, Index: 2}, event.PersistFailed{Reason: "disk"},
	event.Received{From: "b", Message: message.Message{Withdraw: &message.Withdraw{Request: "r"}}},
	event.RequestArrived{Request: event.Request{ID: "r", Worth: 0.1, Patience: 5}}, event.RequestAbandoned{Request: "r"},
	event.ForwardEnded{Request: "r", Attempt: 2, Answer: &model.Answer{Status: 200, Body: []byte("x")}},
	event.RequestsRefused{Refusals: []event.Refusal{{Team: "a", Kind: problem.Overloaded, Count: 3}}},
	event.TargetReported{Report: message.TargetReport{Seq: 4}}, event.WorkerReported{Report: message.WorkerReport{Seq: 5}},
	event.CommandSubmitted{Command: fleet.Command{ID: "c", WithdrawKey: &fleet.WithdrawKey{Name: "k"}}},
	event.StatusRequested{Query: 6},
	event.Batch{Events: []event.Event{event.Tick{}, event.Persisted{Term: 3, Index: 4}}},
	event.CallAbandoned{Seq: 7, Class: event.ClassIntake},
	event.CallArrived{Call: call.Call{Seq: 7, Query: &call.Address{Host: "a", Path: "/b"}}},
	event.WorkerReplied{Reply: order.Reply{Status: order.Accepted, Clock: 8}},
	event.HostsReplied{Reply: order.HostReply{Status: order.HostAccepted, Next: "9"}},
	event.AdviceReplied{Reply: order.AdviceReply{Tickets: map[model.WorkerID]string{"w": "t"}}},
	event.SettingsChanged{Seeds: []model.HostID{"a"}},
}

// Guards against an event type without an encoding in the journal: the journal of a
// process would be closed at the first such event.
func TestEveryEventHasAKind(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../core/event/event.go", nil, 0)
	require.NoError(t, err)
	known := make(map[string]bool)
	for _, e := range allEvents {
		known[reflect.TypeOf(e).Name()] = true
		kind, content, err := encodeEvent(e)
		require.NoError(t, err)
		decoded, err := decodeEvent(&Input{Kind: kind, Event: content})
		require.NoError(t, err)
		require.Equal(t, e, decoded)
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == "event" {
			name := f.Recv.List[0].Type.(*ast.Ident).Name
			require.True(t, known[name], "event %s is not tested", name)
		}
	}
}

// Guards against a configuration field that the start record omits: the replay would
// run with a different configuration.
func TestStartHoldsTheWholeConfiguration(t *testing.T) {
	cfg := core.Config{
		Host: "a", DataCentre: "west", Incarnation: "1", Replica: "2", Durable: true,
		Peers: []model.HostID{"b"}, MaxVoters: 3, SnapshotEvery: 4, Policy: "static", HostPolicy: "minimum",
		MaxInflight: 6, Bounds: schedule.Bounds{LeaseMax: 5}, Seeds: []model.HostID{"c"},
	}
	fields := reflect.ValueOf(cfg)
	for i := range fields.NumField() {
		require.False(t, fields.Field(i).IsZero(), "field %s is not tested", fields.Type().Field(i).Name)
	}
	stored := consensus.Bootstrap[fleet.Command, *fleet.State]([]consensus.NodeID{{Host: "a", Incarnation: "2"}})
	start, err := newStart(cfg, stored, 1, 2)
	require.NoError(t, err)
	require.Equal(t, cfg, start.config())
	decoded, err := start.Stored.decode()
	require.NoError(t, err)
	require.Equal(t, stored, decoded)
}
