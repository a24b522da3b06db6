package codec

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"reflect"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/rules"
)

// pack returns a value packed by the layout of its type.
func pack[T any](v T) ([]byte, error) {
	w := writer{}
	newLayouts().of(reflect.TypeFor[T]()).write(&w, reflect.ValueOf(&v).Elem())
	return w.data, w.err
}

// unpack is the inverse of pack.
func unpack[T any](data []byte) (T, error) {
	var v T
	r := reader{data: data}
	newLayouts().of(reflect.TypeFor[T]()).read(&r, reflect.ValueOf(&v).Elem())
	if r.err == nil && len(r.data) > 0 {
		r.fail("data after the value")
	}
	return v, r.err
}

func packMessage(m *message.Message) ([]byte, error) { return new(Packer).AppendMessage(nil, m) }

// fill sets all that is encoded within v to values other than zero.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(-*n))
	case reflect.Uint8:
		v.SetUint(uint64(*n%255 + 1))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) / 8)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 3 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(key, n)
			fill(value, n)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
				fill(v.Field(i), n)
			}
		}
	}
}

// Guards against a field of any type within a message that is lost or changed on its
// way.
func TestPackedFieldsRoundTrip(t *testing.T) {
	var want message.Message
	fill(reflect.ValueOf(&want).Elem(), new(int))
	data, err := pack(want)
	require.NoError(t, err)
	got, err := unpack[message.Message](data)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against elements that are lost where a long list grows as it is read.
func TestPackedLongListsRoundTrip(t *testing.T) {
	for _, n := range []int{firstElements, firstElements + 1, 10 * firstElements} {
		want := strictCase{Map: map[string]bool{}}
		for i := range n {
			want.List = append(want.List, &i)
			want.Set = append(want.Set, i%3 == 0)
			want.Map[fmt.Sprint(i)] = i%2 == 0
		}
		data, err := pack(want)
		require.NoError(t, err)
		got, err := unpack[strictCase](data)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

// Guards against messages that differ between a peer that gets JSON and one that gets
// the packed form.
func TestPackedAgreesWithJSON(t *testing.T) {
	t.Run("command", rapid.MakeCheck(agreesWithJSON[fleet.Command]))
	t.Run("call", rapid.MakeCheck(agreesWithJSON[call.Call]))
	t.Run("reply", rapid.MakeCheck(agreesWithJSON[order.Reply]))
	t.Run("advice", rapid.MakeCheck(agreesWithJSON[order.AdviceReply]))
}

func agreesWithJSON[T any](t *rapid.T) {
	want := rapid.Make[T]().Draw(t, "value")
	data, jsonErr := encode("value", want, MaxMessageBytes)
	packed, err := pack(want)
	require.Equal(t, jsonErr == nil, err == nil)
	if err != nil {
		return
	}
	var throughJSON T
	require.NoError(t, decode("value", data, &throughJSON, MaxMessageBytes))
	again, err := pack(throughJSON)
	require.NoError(t, err)
	require.Equal(t, packed, again)
	got, err := unpack[T](packed)
	require.NoError(t, err)
	again, err = pack(got)
	require.NoError(t, err)
	require.Equal(t, packed, again)
}

// Guards against text that is not UTF-8 and reaches peers as different values.
func TestPackedTextAgreesWithJSON(t *testing.T) {
	m := &message.Message{Withdraw: &message.Withdraw{Request: "a\xff\xfeb\xe2\x82"}}
	data, err := EncodeMessage(m)
	require.NoError(t, err)
	want, err := DecodeMessage(data)
	require.NoError(t, err)
	data, err = packMessage(m)
	require.NoError(t, err)
	got, err := UnpackMessage(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against messages that change when the buffer they were read from, or written
// to, is used again.
func TestPackedMessagesShareNoBuffer(t *testing.T) {
	var p Packer
	want := benchAppend()
	want.Log.Entries = append(want.Log.Entries, Entry{Index: 1, Term: 1, Command: &fleet.Command{
		Complete: &fleet.Complete{Answer: &model.Answer{Status: 200, Body: []byte("body")}},
	}})
	data, err := p.AppendMessage(nil, want)
	require.NoError(t, err)
	for range 2 { // the entries are new, then kept ones
		got, err := UnpackMessage(data)
		require.NoError(t, err)
		clear(data)
		require.Equal(t, want, got)
		data, err = p.AppendMessage(data[:0], want)
		require.NoError(t, err)
	}
}

// Guards against a snapshot that a packed message does not carry whole.
func TestPackedSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := &message.Message{Log: &message.Log{Snapshot: &Snapshot{Index: 7, State: drawState(t)}}}
		want.Log.Snapshot.State.Rules = &rules.Rules{Teams: map[model.TeamID]rules.Team{"press": {Share: 12.5}}}
		data, err := packMessage(want)
		require.NoError(t, err)
		got, err := UnpackMessage(data)
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// Guards against equal values that have unequal bytes.
func TestPackingIsDeterministic(t *testing.T) {
	build := func(keys ...int) order.AdviceReply {
		r := order.AdviceReply{Tickets: map[model.WorkerID]string{}}
		for _, i := range keys {
			r.Tickets[model.WorkerID(fmt.Sprint(i))] = "t"
		}
		return r
	}
	a, err := pack(build(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
	require.NoError(t, err)
	b, err := pack(build(10, 3, 5, 1, 9, 6, 2, 4, 8, 7))
	require.NoError(t, err)
	require.Equal(t, a, b)

	a, err = pack(order.AdviceReply{Call: order.AdviceCall{Workers: []model.WorkerID{}}, Tickets: map[model.WorkerID]string{}})
	require.NoError(t, err)
	b, err = pack(order.AdviceReply{})
	require.NoError(t, err)
	require.Equal(t, a, b)
}

// strictCase has a field of each kind whose packed form can be wrong.
type strictCase struct {
	Bool  bool
	Small uint8
	Int   int64
	Float float64
	Text  string
	Ptr   *int
	List  []*int
	Map   map[string]bool
	Set   []bool
}

// Guards against input that is accepted although it is not the packed form of a value.
func TestUnpackIsStrict(t *testing.T) {
	good := strictCase{
		Bool: true, Small: 255, Int: -1, Float: 1, Text: "é", Ptr: new(int), List: []*int{nil, new(int)},
		Map: map[string]bool{"a": true, "b": false}, Set: []bool{true, false},
	}
	data, err := pack(good)
	require.NoError(t, err)
	got, err := unpack[strictCase](data)
	require.NoError(t, err)
	require.Equal(t, good, got)
	for n := range data {
		_, err := unpack[strictCase](data[:n])
		require.ErrorIs(t, err, ErrInvalid, "%d bytes", n)
	}
	for name, bad := range map[string][]byte{
		"data after the value":     append(bytes.Clone(data), 0),
		"unknown field":            {0, 2},
		"zero integer":             {2, 0, 0},
		"integer over its range":   {2, 0, 0x80, 0x02},
		"integer of 65 bits":       {4, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x02},
		"integer in a longer form": {4, 0, 0x81, 0x00},
		"not a number":             append([]byte{8, 0}, 1, 0, 0, 0, 0, 0, 0xf8, 0x7f),
		"infinity":                 append([]byte{8, 0}, 0, 0, 0, 0, 0, 0, 0xf0, 0x7f),
		"negative zero":            append([]byte{8, 0}, 0, 0, 0, 0, 0, 0, 0, 0x80),
		"empty text":               {16, 0, 0},
		"text that is not UTF-8":   {16, 0, 1, 0xff},
		"length over the input":    {16, 0, 0xff, 0xff, 0xff, 0xff, 0x0f, 'x'},
		"length over an int":       {16, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 'x'},
		"empty list":               {64, 0, 0},
		"flag of a pointer":        {64, 0, 1, 2},
		"keys in descending order": {128, 0, 2, 1, 'b', 1, 1, 'a', 1},
		"one key twice":            {128, 0, 2, 1, 'a', 1, 1, 'a', 1},
		"flag that is not a bool":  {0, 1, 1, 2},
		"more elements than input": {0, 1, 3, 1, 1},
		"elements of no end":       {0, 1, 0xff, 0xff, 0xff, 0xff, 0x0f, 1},
		"pointer cut off":          {32, 0},
		"bits cut off":             {1},
	} {
		_, err := unpack[strictCase](bad)
		require.ErrorIs(t, err, ErrInvalid, name)
	}
}

// Guards against messages that are accepted although their content is not allowed.
func TestUnpackMessageChecksContent(t *testing.T) {
	unchecked := func(m message.Message) []byte {
		data, err := pack(m)
		require.NoError(t, err)
		return append([]byte{packedVersion}, data...)
	}
	for name, bad := range map[string][]byte{
		"empty":         {},
		"JSON":          []byte(`{"withdraw":{"request":"1"}}`),
		"other version": {packedVersion + 1, 0, 0, 0},
		"no kind":       unchecked(message.Message{}),
		"two kinds":     unchecked(message.Message{Grant: &message.Grant{}, Settled: &message.Settled{}}),
		"bad entry":     unchecked(message.Message{Log: &message.Log{Entries: []Entry{{Index: 1, Kind: 9}}}}),
		"no state":      unchecked(message.Message{Log: &message.Log{Snapshot: &Snapshot{Index: 1}}}),
		"null task":     unchecked(message.Message{Log: &message.Log{Snapshot: &Snapshot{State: &fleet.State{Tasks: map[model.TaskID]*fleet.Task{"a": nil}}}}}),
		"no change":     unchecked(message.Message{Command: &message.Command{}}),
	} {
		_, err := UnpackMessage(bad)
		require.ErrorIs(t, err, ErrInvalid, name)
	}
	_, err := UnpackMessage(bytes.Repeat([]byte{packedVersion}, MaxMessageBytes+1))
	require.ErrorIs(t, err, ErrTooLarge)
}

// Guards against a message that is sent and cannot be read, and against part of it
// that stays in the buffer.
func TestPackerRefusesWhatReadersWould(t *testing.T) {
	var p Packer
	for name, bad := range map[string]*message.Message{
		"no kind":      {},
		"not a number": {Ask: &message.Ask{Worth: math.NaN()}},
		"infinity":     {Ask: &message.Ask{Worth: math.Inf(1)}},
	} {
		data, err := p.AppendMessage([]byte("before"), bad)
		require.ErrorIs(t, err, ErrInvalid, name)
		require.Equal(t, "before", string(data))
	}
}

// Guards against memory that is taken by a length alone.
func TestUnpackTakesMemoryAsBytesArrive(t *testing.T) {
	count := binaryLength(1 << 20)
	data := append([]byte{64, 0}, count...)
	data = append(data, bytes.Repeat([]byte{2}, 1<<20)...) // the first flag is wrong
	l := newLayouts().of(reflect.TypeFor[strictCase]())
	var v strictCase
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			r := reader{data: data}
			l.read(&r, reflect.ValueOf(&v).Elem())
		}
	}).AllocedBytesPerOp()
	require.Less(t, allocated, int64(64<<10))
}

func binaryLength(n uint64) []byte {
	w := writer{}
	w.uint(n)
	return w.data
}

// Guards against builds with other types that take each other's packed messages.
func TestPackedFormatFollowsTheTypes(t *testing.T) {
	describe := func(t reflect.Type) string { return newLayouts().of(t).description }
	type inner struct {
		A int `json:"a"`
	}
	type base struct {
		inner
		N inner  `json:"n"`
		B string `json:"b"`
	}
	type renamed struct {
		N inner  `json:"n"`
		B string `json:"c"`
	}
	type retyped struct {
		N inner  `json:"n"`
		B []byte `json:"b"`
	}
	type reordered struct {
		B string `json:"b"`
		N inner  `json:"n"`
	}
	seen := map[string]bool{}
	for _, of := range []reflect.Type{
		reflect.TypeFor[base](), reflect.TypeFor[renamed](), reflect.TypeFor[retyped](), reflect.TypeFor[reordered](),
	} {
		require.False(t, seen[describe(of)], of)
		seen[describe(of)] = true
	}
	require.Equal(t, describe(reflect.TypeFor[base]()), describe(reflect.TypeFor[base]()))
	require.Regexp(t, `^packed1-[0-9a-f]{16}$`, PackedFormat())
}

// Guards against a change of the writer that keeps the name of the form: two builds
// with the same types would misread each other's messages.
func TestPackedBytesFollowTheVersion(t *testing.T) {
	const changed = "the packed form is another: packedVersion and the name in PackedFormat have to change with it"
	require.Equal(t, fmt.Sprint("packed", packedVersion), strings.Split(PackedFormat(), "-")[0])

	type inner struct {
		E string `json:"e"`
	}
	type all struct {
		V inner             `json:"v"`
		B bool              `json:"b"`
		F bool              `json:"f"`
		I int               `json:"i"`
		U uint64            `json:"u"`
		X float64           `json:"x"`
		S string            `json:"s"`
		D []byte            `json:"d"`
		P *int              `json:"p"`
		N *inner            `json:"n"`
		L []*int            `json:"l"`
		M map[string]uint64 `json:"m"`
		T []inner           `json:"t"`
	}
	minus := -300
	data, err := pack(all{
		V: inner{"e"}, B: true, I: 300, U: 300, X: 1.5, S: "text", D: []byte{1, 2}, P: &minus,
		L: []*int{nil, &minus}, M: map[string]uint64{"b": 2, "a": 0}, T: []inner{{"x"}, {}},
	})
	require.NoError(t, err)
	require.Equal(t, "fb1d0165d804ac02000000000000f83f0474657874020102d704020001d704020161000162020201017800", hex.EncodeToString(data), changed)

	data, err = packMessage(entryAppend(cancelEntry(300, 2, "j"), cancelEntry(301, 2, "k")))
	require.NoError(t, err)
	require.Equal(t, "01010000010204020bac0202000004400001016a0bad0202000004400001016b", hex.EncodeToString(data), changed+", unless only the types of messages are others")
}

// Guards against types that would be packed in part only, such as an interface.
func TestTypesWithoutLayout(t *testing.T) {
	type recursive struct{ Next []recursive }
	for _, of := range []reflect.Type{
		reflect.TypeFor[struct{ A any }](), reflect.TypeFor[struct{ A [2]int }](), reflect.TypeFor[recursive](),
		reflect.TypeFor[struct{ A textual }](), reflect.TypeFor[map[consensus.NodeID]int](),
	} {
		require.Panics(t, func() { newLayouts().of(of) }, of)
	}
}

type textual struct{ A int }

func (textual) MarshalText() ([]byte, error) { return nil, nil }

func entryAppend(entries ...Entry) *message.Message {
	return &message.Message{Log: &message.Log{Kind: consensus.MsgAppend, Entries: entries}}
}

func cancelEntry(index, term uint64, job model.JobID) Entry {
	return Entry{Index: index, Term: term, Command: &fleet.Command{Jobs: &jobs.Command{Cancel: &jobs.Cancel{Job: job}}}}
}

// Guards against bytes of another entry that are sent in place of an entry with its
// index: an earlier term's, another log's, or one that shares its slot.
func TestPackerKeepsEntriesApart(t *testing.T) {
	var p Packer
	for _, e := range []Entry{
		cancelEntry(7, 1, "a"), cancelEntry(7, 2, "b"), cancelEntry(7, 2, "c"),
		cancelEntry(7+cachedEntries, 2, "d"), cancelEntry(7, 1, "e"),
		{Index: 7, Term: 3, Kind: consensus.EntryNoop},
		{Index: 7, Term: 4, Kind: consensus.EntryVoters, Voters: []consensus.NodeID{{Host: "a"}}},
		{Index: 7, Term: 4, Kind: consensus.EntryVoters, Voters: []consensus.NodeID{{Host: "b"}}},
	} {
		for range 2 {
			m := entryAppend(e)
			data, err := p.AppendMessage(nil, m)
			require.NoError(t, err)
			got, err := UnpackMessage(data)
			require.NoError(t, err)
			require.Equal(t, m, got)
		}
	}
}

// Guards against entries that are packed again for each follower, and against memory
// that the largest entries hold.
func TestPackerPacksEntriesOnce(t *testing.T) {
	var p Packer
	small, large := cancelEntry(1, 1, "a"), cancelEntry(2, 1, model.JobID(strings.Repeat("x", cachedEntrySize)))
	_, err := p.AppendMessage(nil, entryAppend(small, large))
	require.NoError(t, err)
	kept := p.entries[1].Load()
	require.True(t, kept.holds(&small))
	require.Nil(t, p.entries[2].Load())
	_, err = p.AppendMessage(nil, entryAppend(small))
	require.NoError(t, err)
	require.Same(t, kept, p.entries[1].Load())
}

// Guards against an entry that one message cannot carry and that spoils others.
func TestPackerAfterAnError(t *testing.T) {
	var p Packer
	bad := Entry{Index: 1, Term: 1, Command: &fleet.Command{ApplyRules: &fleet.ApplyRules{
		Rules: &rules.Rules{Teams: map[model.TeamID]rules.Team{"press": {Share: math.NaN()}}},
	}}}
	good := cancelEntry(2, 1, "a")
	for range 2 {
		_, err := p.AppendMessage(nil, entryAppend(bad, good))
		require.ErrorIs(t, err, ErrInvalid)
	}
	_, err := p.AppendMessage(nil, entryAppend(good))
	require.NoError(t, err)
}

// Guards, under the race detector, against senders that share entries.
func TestPackWhileOthersPack(t *testing.T) {
	var p Packer
	m := benchAppend()
	want, err := packMessage(m)
	require.NoError(t, err)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 20 {
				got, err := p.AppendMessage(nil, m)
				require.NoError(t, err)
				require.Equal(t, want, got)
			}
		})
	}
	group.Wait()
}

// FuzzUnpackMessage guards against panics, and against accepting input that is not the
// packed form of the message, or a message that a recording holds as another one.
func FuzzUnpackMessage(f *testing.F) {
	full := message.Message{}
	fill(reflect.ValueOf(&full).Elem(), new(int))
	for i := range reflect.TypeFor[message.Message]().NumField() {
		m := message.Message{}
		reflect.ValueOf(&m).Elem().Field(i).Set(reflect.ValueOf(full).Field(i))
		data, err := pack(m)
		require.NoError(f, err)
		f.Add(append([]byte{packedVersion}, data...))
	}
	for _, m := range []*message.Message{benchAppend(), benchSubmit(), benchContact()} {
		data, err := packMessage(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := UnpackMessage(data)
		if err != nil {
			return
		}
		first, err := packMessage(m)
		require.NoError(t, err)
		if m.Log == nil || m.Log.Snapshot == nil { // a state is completed when it is read
			require.Equal(t, data, first)
		}
		text, err := EncodeMessage(m)
		require.NoError(t, err)
		recorded, err := DecodeMessage(text)
		require.NoError(t, err)
		second, err := packMessage(recorded)
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}
