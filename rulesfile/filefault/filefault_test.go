package filefault

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one slip being reported twice, once as a value that cannot
// be read and once by a later check of what was read instead.
func TestMergeLeavesOutKnownPlaces(t *testing.T) {
	first := Errors{{"f", 2, "team.a.limit", "0", "1 or more"}}
	more := Errors{{"f", 2, "team.a.limit", "1", "2 or more"}, {"f", 2, "team.a", "a", "b"}, {"f", 2, "team.a", "c", "d"}}
	require.Equal(t, Errors{first[0], more[1], more[2]}, first.Merge(more))
}

// Guards against an empty list of faults that is taken for an error.
func TestNoFaultsAreNoError(t *testing.T) {
	require.NoError(t, Errors{}.AsError())
	require.Error(t, Errors{{}}.AsError())
}

// Guards against identifiers that need escaping in URLs, files or TOML.
func TestIsIdentifier(t *testing.T) {
	for _, s := range []string{"a", "0", "A.b_c-9", strings.Repeat("x", 64)} {
		require.True(t, IsIdentifier(s), s)
	}
	for _, s := range []string{"", ".a", "-a", "_a", "a b", "a/b", "é", "a\n", strings.Repeat("x", 65)} {
		require.False(t, IsIdentifier(s), s)
	}
}

// Guards against a message that a long value makes unreadable.
func TestQuoteTruncates(t *testing.T) {
	require.Equal(t, `"`+strings.Repeat("a", 60)+`"...`, Quote(strings.Repeat("a", 100)))
}
