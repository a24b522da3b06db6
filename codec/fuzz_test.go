package codec

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
)

// fuzzDecoder guards a decoder against panics, and against accepting a value whose encoding
// changes when it is decoded and encoded again.
func fuzzDecoder[T any](f *testing.F, decode func([]byte) (T, error), encode func(T) ([]byte, error), seeds ...string) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := decode(data)
		if err != nil {
			return
		}
		first, err := encode(value)
		require.NoError(t, err)
		value, err = decode(first)
		require.NoError(t, err)
		second, err := encode(value)
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))
	})
}

func FuzzDecodeMessage(f *testing.F) {
	fuzzDecoder(f, DecodeMessage, EncodeMessage,
		`{"grant":{"term":1,"seq":2,"duration":3}}`,
		`{"log":{"kind":6,"from":{"host":"a","inc":"b"},"to":{"host":"c","inc":""},"term":1,"entries":[{"i":1,"t":1,"k":1}],"snapshot":{"index":1,"state":{"claims":[{"team":"a","key":"b"}]}}}}`,
		`{"done":{"request":"r","attempt":1,"outcome":"answered","answer":{"status":200,"body":"eA=="},"claim":{"team":"t","key":"k"}}}`,
	)
}

func FuzzDecodeCommand(f *testing.F) {
	fuzzDecoder(f, DecodeCommand, EncodeCommand,
		`{"at":1,"claim":{"team":"t","key":"k","request":"r","gateway":"g","body":"b"}}`,
		`{"id":"x","at":1,"apply_rules":{"base":1,"hash":"h","rules":{"revision":2,"teams":{"t":{"share":1.5,"limit":2}}}}}`,
	)
}

func FuzzDecodeEntry(f *testing.F) {
	encode := func(e Entry) ([]byte, error) { return EncodeEntry(&e) }
	fuzzDecoder(f, DecodeEntry, encode,
		`{"i":1,"t":1,"k":1}`,
		`{"i":1,"t":1,"k":2,"v":[{"host":"a","inc":"b"}]}`,
		`{"i":1,"t":1,"c":{"at":1,"cancel_task":{"task":"a","team":"b"}}}`,
	)
}

func FuzzDecodeHardState(f *testing.F) {
	fuzzDecoder[consensus.HardState](f, DecodeHardState, EncodeHardState, `{"term":1,"vote":{"host":"a","inc":"b"}}`)
}

func FuzzDecodeSnapshot(f *testing.F) {
	fuzzDecoder(f, DecodeSnapshot, EncodeSnapshot,
		`{"index":1,"term":1,"voters":[{"host":"a","inc":"b"}],"state":{"index":1,"keys":{"k":{"hash":"h","team":"t"}},"claims":[{"team":"a","key":"b"},{"team":"a","key":"c"}]}}`,
	)
}
