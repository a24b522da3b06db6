package loopback

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two systems on one machine that listen on the same addresses.
func TestReservedNetworksDiffer(t *testing.T) {
	numbers := []int{3, 4, 3, 4, 3, 5, 3, 4} // second and third byte of each network that is tried
	next := func(int) int {
		n := numbers[0]
		numbers = numbers[1:]
		return n
	}
	first, err := reserve(next)
	require.NoError(t, err)
	second, err := reserve(next)
	require.NoError(t, err)
	defer second.Release()
	require.Equal(t, "127.131.4.1", first.IP(1))
	require.Equal(t, "127.131.5.1", second.IP(1))

	require.NoError(t, first.Release())
	again, err := reserve(next)
	require.NoError(t, err)
	defer again.Release()
	require.Equal(t, first.IP(1), again.IP(1))
}
