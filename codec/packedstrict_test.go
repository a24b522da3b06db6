package codec

import (
	"bytes"
	"math"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// strictCase has a field of each kind whose packed form can be invalid.
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

// Guards against accepting input that is not the packed form of any value.
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

// Guards against accepting a well-formed packed message with invalid content.
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

// Guards against sending a message that cannot be decoded, and against leaving part of it
// in the buffer.
func TestPackerRejectsInvalidMessages(t *testing.T) {
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

// Guards against allocating memory according to a length before the elements are read.
func TestUnpackDoesNotPreallocateByLength(t *testing.T) {
	count := binaryLength(1 << 20)
	data := append([]byte{64, 0}, count...)
	data = append(data, bytes.Repeat([]byte{2}, 1<<20)...) // the first pointer's byte is neither 0 nor 1
	l := newLayoutBuilder().layoutOf(reflect.TypeFor[strictCase]())
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
