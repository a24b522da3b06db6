package daemon

import (
	"context"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/event"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/settings"
)

// forwarder is a control.Executor that starts an attempt for each effect.
type forwarder struct{ d *Daemon }

func (f forwarder) Execute(effect.Effect) { f.d.gateway.Forward(effect.Forward{Request: "r"}) }

// Guards against attempts that the control goroutine starts while the gateway waits for the
// attempts to end: the wait group of the attempts does not allow it.
func TestGatewayIsClosedAfterTheControlLoop(t *testing.T) {
	network := reserveNetwork(t)
	address := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr(network.IP(1)), port)
	}
	for range 20 {
		d, err := New(t.Context(), &settings.Settings{
			Cluster: "test", Host: "a",
			Peers:  []settings.Peer{{Host: "a", Address: address(1701)}, {Host: "b", Address: address(1), Replica: true}},
			Listen: settings.Listen{Peers: address(1701), Callers: address(1702), Platform: address(1703), Operators: address(1704)},
			TLS:    settings.TLS{Mode: settings.ModePlain},
		}, logevent.Logger{})
		require.NoError(t, err)
		state, err := core.New(core.Config{Host: "a", Incarnation: "1", Replica: "1", Peers: []model.HostID{"b"}}, core.Stored{}, d.loop.Now(), d.loop.Rand())
		require.NoError(t, err)
		d.loop.Start(state, forwarder{d}, nil)
		var running tomb.Tomb
		running.Go(func() error { return d.Run(&running, context.Background()) })
		for range 500 {
			d.loop.PostWait(t.Context(), event.Tick{})
		}
		running.Kill(nil)
		require.ErrorContains(t, running.Wait(), "killed")
	}
}
