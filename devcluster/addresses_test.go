package devcluster

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a host that cannot listen because an outgoing connection of another process has
// taken its port: such connections to loopback addresses come from 127.0.0.1.
func TestOutgoingConnectionsTakeNoAddressOfACluster(t *testing.T) {
	free, err := FreeAddresses(3)
	require.NoError(t, err)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	for _, address := range free {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(address.Port())}}
		if c, err := dialer.Dial("tcp", server.Addr().String()); err == nil { // else another process has the port
			defer c.Close()
		}
		l, err := net.Listen("tcp", address.String())
		require.NoError(t, err)
		defer l.Close()
	}
}
