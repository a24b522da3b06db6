package replay

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzRead guards against a panic on any input, and against a trace that changes when
// it is written and read again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"trace":1}` + "\n" + `{"at":1,"rules":{"centre":"west","out":true}}` + "\n"))
	f.Add([]byte(`{"trace":1}` + "\n" + `{"at":2}` + "\n" + `{"at":1}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var first, second bytes.Buffer
		require.NoError(t, trace.Write(&first))
		again, err := Read(bytes.NewReader(first.Bytes()))
		require.NoError(t, err)
		require.NoError(t, again.Write(&second))
		require.Equal(t, first.String(), second.String())
	})
}

// FuzzParseOutcomes guards against a panic on any input, in parsing and in checking a
// result against the outcomes.
func FuzzParseOutcomes(f *testing.F) {
	f.Add([]byte("[measure.buffer_hosts]\nmax = 3.5\n[invariant]\nlost = 0\n"))
	f.Add([]byte("[measure]\nx = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if o, err := ParseOutcomes(data); err == nil {
			_, _ = o.Check(&Result{})
		}
	})
}
