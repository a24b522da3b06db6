package filefault

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one fault being reported twice: once for a value that cannot be
// parsed and once by a later check of its fallback.
func TestMergeLeavesOutKnownPlaces(t *testing.T) {
	first := Errors{{"f", 2, "team.a.limit", "0", "1 or more"}}
	more := Errors{{"f", 2, "team.a.limit", "1", "2 or more"}, {"f", 2, "team.a", "a", "b"}, {"f", 2, "team.a", "c", "d"}}
	require.Equal(t, Errors{first[0], more[1], more[2]}, first.Merge(more))
}

// Guards against an empty list of faults that counts as an error.
func TestNoFaultsAreNoError(t *testing.T) {
	require.NoError(t, Errors{}.AsError())
	require.Error(t, Errors{{}}.AsError())
}

// Guards against identifiers that need escaping in URLs, file names or TOML.
func TestIsIdentifier(t *testing.T) {
	for _, s := range []string{"a", "0", "A.b_c-9", strings.Repeat("x", 64)} {
		require.True(t, IsIdentifier(s), s)
	}
	for _, s := range []string{"", ".a", "-a", "_a", "a b", "a/b", "é", "a\n", strings.Repeat("x", 65)} {
		require.False(t, IsIdentifier(s), s)
	}
}

// Guards against a message that is unreadable because it quotes a long value.
func TestQuoteTruncates(t *testing.T) {
	require.Equal(t, `"`+strings.Repeat("a", 60)+`"...`, Quote(strings.Repeat("a", 100)))
}
