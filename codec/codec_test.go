package codec

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

// drawState draws a random fleet state.
func drawState(t *rapid.T) *fleet.State {
	s := emptyState()
	s.Index = rapid.Uint64().Draw(t, "index")
	s.Keys = rapid.Make[map[string]fleet.Key]().Draw(t, "keys")
	s.Hosts = rapid.Make[map[model.HostID]fleet.Host]().Draw(t, "hosts")
	s.Targets = rapid.Make[map[model.TargetID]fleet.Target]().Draw(t, "targets")
	s.Tasks = rapid.MapOf(rapid.Make[model.TaskID](), rapid.Ptr(rapid.Make[fleet.Task](), false)).Draw(t, "tasks")
	s.Rules = &rules.Rules{Teams: map[model.TeamID]rules.Team{"press": {Share: 12.5, Limit: 3}}}
	for _, record := range rapid.SliceOfN(rapid.Make[fleet.ClaimRecord](), 0, 8).Draw(t, "claims") {
		if record.Answer != nil && len(record.Answer.Body) == 0 {
			record.Answer.Body = nil // an empty body is decoded as nil
		}
		s.Claims[record.ClaimID] = &record
	}
	for _, task := range s.Tasks {
		if len(task.FailedOn) == 0 {
			task.FailedOn = nil
		}
	}
	return s
}

// emptyState returns an empty state with non-nil maps, as decoders return it.
func emptyState() *fleet.State {
	s := &fleet.State{Claims: map[fleet.ClaimID]*fleet.ClaimRecord{}}
	ensureMaps(s)
	return s
}

// Guards against a snapshot that is not decoded as it was encoded, in particular its
// claims, and against an encoder that modifies its argument.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := &Snapshot{Index: 7, Term: 3, Voters: []consensus.NodeID{{Host: "a", Incarnation: "b"}}, State: drawState(t)}
		before := fmt.Sprintf("%#v", *want.State)
		data, err := EncodeSnapshot(want)
		require.NoError(t, err)
		require.Equal(t, before, fmt.Sprintf("%#v", *want.State))
		got, err := DecodeSnapshot(data)
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// Guards against a kind of message or command that is not encoded or is decoded
// differently. The test sets each pointer of the structs in turn, so it covers new kinds
// without a change.
func TestEveryKindRoundTrips(t *testing.T) {
	for i := range reflect.TypeFor[message.Message]().NumField() {
		m := &message.Message{}
		setPointer(reflect.ValueOf(m).Elem().Field(i))
		if m.Log != nil {
			m.Log.Snapshot = &Snapshot{State: emptyState()}
			m.Log.Entries = []Entry{{Index: 1, Kind: consensus.EntryNoop}}
		}
		if m.Command != nil {
			m.Command.Command.Claim = &fleet.Claim{}
		}
		data, err := EncodeMessage(m)
		require.NoError(t, err)
		got, err := DecodeMessage(data)
		require.NoError(t, err)
		require.Equal(t, m, got)
		data, err = packMessage(m)
		require.NoError(t, err)
		got, err = UnpackMessage(data)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
	for i := range reflect.TypeFor[fleet.Command]().NumField() {
		c := &fleet.Command{ID: "c", At: 5}
		if field := reflect.ValueOf(c).Elem().Field(i); field.Kind() == reflect.Pointer {
			setPointer(field)
			data, err := EncodeEntry(&Entry{Index: 3, Term: 2, Command: c})
			require.NoError(t, err)
			got, err := DecodeEntry(data)
			require.NoError(t, err)
			require.Equal(t, c, got.Command)
		}
	}
}

func setPointer(field reflect.Value) { field.Set(reflect.New(field.Type().Elem())) }

// Guards against equal states, built in a different order, that have different encodings.
func TestEncodingIsDeterministic(t *testing.T) {
	build := func(order []int) *fleet.State {
		s := &fleet.State{Claims: map[fleet.ClaimID]*fleet.ClaimRecord{}, Keys: map[string]fleet.Key{}}
		for _, i := range order {
			id := fleet.ClaimID{Team: model.TeamID(fmt.Sprint("t", i%3)), Key: model.Digest(fmt.Sprint(i))}
			s.Claims[id] = &fleet.ClaimRecord{Claim: fleet.Claim{ClaimID: id}}
			s.Keys[fmt.Sprint(i)] = fleet.Key{}
		}
		return s
	}
	a, err := EncodeSnapshot(&Snapshot{State: build([]int{1, 2, 3, 4, 5, 6, 7})})
	require.NoError(t, err)
	b, err := EncodeSnapshot(&Snapshot{State: build([]int{7, 3, 5, 1, 6, 2, 4})})
	require.NoError(t, err)
	require.Equal(t, string(a), string(b))
}

// Guards against an encoder that writes to a state that other goroutines read (run with
// -race).
func TestEncodeConcurrentWithReads(t *testing.T) {
	id := fleet.ClaimID{Team: "press", Key: "k"}
	s := &Snapshot{State: &fleet.State{Claims: map[fleet.ClaimID]*fleet.ClaimRecord{id: {Claim: fleet.Claim{ClaimID: id}}}}}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			_, err := EncodeSnapshot(s)
			require.NoError(t, err)
			require.Len(t, s.State.Claims, 1)
		})
	}
	group.Wait()
}

// Guards against decoders that accept input other than one complete, valid value.
func TestDecodersAreStrict(t *testing.T) {
	bad := map[string]string{
		"null":          `null`,
		"empty":         ``,
		"no kind":       `{}`,
		"null kind":     `{"grant":null}`,
		"two kinds":     `{"grant":{},"settled":{}}`,
		"unknown field": `{"grant":{"extra":1}}`,
		"trailing data": `{"grant":{}} {}`,
		"trailing junk": `{"grant":{}}x`,
		"bad entry":     `{"log":{"entries":[{"i":1,"k":9}]}}`,
		"no state":      `{"log":{"snapshot":{"index":1}}}`,
		"claims twice":  `{"log":{"snapshot":{"state":{"claims":[{"team":"a","key":"b"},{"team":"a","key":"b"}]}}}}`,
		"null claim":    `{"log":{"snapshot":{"state":{"claims":[null]}}}}`,
		"null task":     `{"log":{"snapshot":{"state":{"tasks":{"a":null}}}}}`,
	}
	for name, text := range bad {
		_, err := DecodeMessage([]byte(text))
		require.ErrorIs(t, err, ErrInvalid, name)
	}
	_, err := DecodeHardState(bytes.Repeat([]byte(" "), MaxHardStateBytes+1))
	require.ErrorIs(t, err, ErrTooLarge)
}

// Guards against storing or sending a value that cannot be decoded.
func TestEncodersRejectWhatDecodersReject(t *testing.T) {
	_, err := EncodeCommand(&fleet.Command{SubmitTask: &fleet.SubmitTask{
		Spec: fleet.TaskSpec{Command: strings.Repeat("x", MaxCommandBytes)},
	}})
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = EncodeMessage(&message.Message{Ask: &message.Ask{Worth: math.NaN()}})
	require.Error(t, err)
	_, err = EncodeSnapshot(&Snapshot{})
	require.ErrorIs(t, err, ErrInvalid)
}
