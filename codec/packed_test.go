package codec

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/order"
	"primrosedale.example/primrosedale/core/rules"
)

// pack returns the packed form of v.
func pack[T any](v T) ([]byte, error) {
	w := writer{}
	newLayoutBuilder().layoutOf(reflect.TypeFor[T]()).write(&w, reflect.ValueOf(&v).Elem())
	return w.data, w.err
}

// unpack is the inverse of pack.
func unpack[T any](data []byte) (T, error) {
	var v T
	r := reader{data: data}
	newLayoutBuilder().layoutOf(reflect.TypeFor[T]()).read(&r, reflect.ValueOf(&v).Elem())
	if r.err == nil && len(r.data) > 0 {
		r.fail("data after the value")
	}
	return v, r.err
}

func packMessage(m *message.Message) ([]byte, error) { return new(Packer).AppendMessage(nil, m) }

// fillNonZero sets everything in v that is encoded to non-zero values.
func fillNonZero(v reflect.Value, n *int) {
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
		fillNonZero(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillNonZero(v.Index(0), n)
		fillNonZero(v.Index(1), n)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 3 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fillNonZero(key, n)
			fillNonZero(value, n)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
				fillNonZero(v.Field(i), n)
			}
		}
	}
}

// Guards against a field anywhere in a message that is lost or changed by packing.
func TestPackedFieldsRoundTrip(t *testing.T) {
	var want message.Message
	fillNonZero(reflect.ValueOf(&want).Elem(), new(int))
	data, err := pack(want)
	require.NoError(t, err)
	got, err := unpack[message.Message](data)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against losing elements of a list that is longer than its preallocated memory.
func TestPackedLongListsRoundTrip(t *testing.T) {
	for _, n := range []int{maxPreallocated, maxPreallocated + 1, 10 * maxPreallocated} {
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

// Guards against messages that decode to different values from JSON and from the packed
// form.
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

// Guards against invalid UTF-8 that decodes to different values from JSON and from the
// packed form.
func TestPackedInvalidUTF8AgreesWithJSON(t *testing.T) {
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

// Guards against decoded messages or cached entries that share memory with a buffer and
// change when the buffer is reused.
func TestPackedMessagesShareNoBuffer(t *testing.T) {
	var p Packer
	want := benchAppend()
	want.Log.Entries = append(want.Log.Entries, Entry{Index: 1, Term: 1, Command: &fleet.Command{
		Complete: &fleet.Complete{Answer: &model.Answer{Status: 200, Body: []byte("body")}},
	}})
	data, err := p.AppendMessage(nil, want)
	require.NoError(t, err)
	for range 2 { // the entries are packed, then taken from the cache
		got, err := UnpackMessage(data)
		require.NoError(t, err)
		clear(data)
		require.Equal(t, want, got)
		data, err = p.AppendMessage(data[:0], want)
		require.NoError(t, err)
	}
}

// Guards against a snapshot that is lost or changed in a packed message.
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

// Guards against equal values that have different packed forms.
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

// FuzzUnpackMessage guards against panics, against accepting input that is not the packed
// form of a message, and against a message that changes when it is recorded as JSON.
func FuzzUnpackMessage(f *testing.F) {
	full := message.Message{}
	fillNonZero(reflect.ValueOf(&full).Elem(), new(int))
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
		if m.Log == nil || m.Log.Snapshot == nil { // decoding replaces nil maps of a state
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
