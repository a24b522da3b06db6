package codec

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
)

// Guards against builds with different message types that accept each other's packed
// messages.
func TestPackedFormatDependsOnTypes(t *testing.T) {
	describe := func(t reflect.Type) string { return newLayoutBuilder().layoutOf(t).description }
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
	for _, typ := range []reflect.Type{
		reflect.TypeFor[base](), reflect.TypeFor[renamed](), reflect.TypeFor[retyped](), reflect.TypeFor[reordered](),
	} {
		require.False(t, seen[describe(typ)], typ)
		seen[describe(typ)] = true
	}
	require.Equal(t, describe(reflect.TypeFor[base]()), describe(reflect.TypeFor[base]()))
	require.Regexp(t, `^packed1-[0-9a-f]{16}$`, PackedFormat())
}

// Guards against a change of the packed form without a new version: two builds with the
// same message types would decode each other's messages wrongly.
func TestPackedBytesAreStable(t *testing.T) {
	const changed = "the packed form has changed: change packedVersion and the name in PackedFormat too"
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
	require.Equal(t, "01010000010204020bac020200000440000001016a0bad020200000440000001016b", hex.EncodeToString(data), changed+", unless only the message types changed")
}

// Guards against types that would be packed incompletely, such as interfaces.
func TestTypesWithoutLayout(t *testing.T) {
	type recursive struct{ Next []recursive }
	for _, typ := range []reflect.Type{
		reflect.TypeFor[struct{ A any }](), reflect.TypeFor[struct{ A [2]int }](), reflect.TypeFor[recursive](),
		reflect.TypeFor[struct{ A textMarshaler }](), reflect.TypeFor[map[consensus.NodeID]int](),
	} {
		require.Panics(t, func() { newLayoutBuilder().layoutOf(typ) }, typ)
	}
}

type textMarshaler struct{ A int }

func (textMarshaler) MarshalText() ([]byte, error) { return nil, nil }
