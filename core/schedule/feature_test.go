package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An unknown name must be refused, because a misspelt feature would stay on unnoticed.
func TestParseFeatures(t *testing.T) {
	set, err := ParseFeatures("contention, pool-trim")
	require.NoError(t, err)
	b := Bounds{Disabled: set}
	require.False(t, b.Enabled(Contention))
	require.False(t, b.Enabled(PoolTrim))
	require.True(t, b.Enabled(Reservations))

	none, err := ParseFeatures("")
	require.NoError(t, err)
	require.Zero(t, none)

	_, err = ParseFeatures("reservation")
	require.ErrorContains(t, err, `unknown feature "reservation"`)
	require.ErrorContains(t, err, "learned-state")
}

// Guards against a feature that is off by default and cannot be switched on.
func TestDisabled(t *testing.T) {
	require.Equal(t, OffByDefault, Disabled(0, 0))
	require.Equal(t, FeatureSet(1<<Contention), Disabled(1<<PoolTrim, 0))
	require.Equal(t, OffByDefault, Disabled(1<<PoolTrim, 1<<PoolTrim))
	require.Zero(t, Disabled(OffByDefault, 0))
	require.Equal(t, AllFeatures, Disabled(0, AllFeatures))
}
